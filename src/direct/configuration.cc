#include "gooseberryturn/direct/configuration.h"

#include <set>
#include <utility>

namespace gooseberryturn::direct {

namespace {

tl::unexpected<Error> InvalidConfiguration(const std::string& message) {
  return tl::make_unexpected(Error{Reason::kBadRequest, Step::kDocument,
                                   Outcome::kNotRun, "operator", message});
}

Result<void> ValidateRoute(const Route& route,
                           const Configuration& configuration) {
  if (route.timeout_ms <= 0) {
    return InvalidConfiguration("route " + route.name +
                                ": timeout must be positive");
  }
  double total_weight = 0;
  for (const WeightedService& weighted : route.services) {
    if (weighted.weight < 0) {
      return InvalidConfiguration("route " + route.name +
                                  ": negative service weight");
    }
    if (configuration.FindService(weighted.service) == nullptr) {
      return InvalidConfiguration("route " + route.name + ": unknown service " +
                                  weighted.service);
    }
    total_weight += weighted.weight;
  }
  if (total_weight <= 0) {
    return InvalidConfiguration("route " + route.name +
                                ": service weights add up to 0");
  }
  return {};
}

}  // namespace

bool Route::IsIdempotent() const noexcept {
  switch (this->kind) {
    case RouteKind::kSafe:
      return true;
    case RouteKind::kStreaming:
      return this->is_resumable;
    case RouteKind::kUnsafe:
      return false;
  }
  return false;
}

const ModelProfile* EngineProfile::FindModel(
    std::string_view name) const noexcept {
  for (const ModelProfile& model : this->models) {
    if (model.name == name) {
      return &model;
    }
  }
  return nullptr;
}

const Service* Configuration::FindService(
    std::string_view name) const noexcept {
  for (const Service& service : this->services) {
    if (service.name == name) {
      return &service;
    }
  }
  return nullptr;
}

Result<void> Validate(const Configuration& configuration) {
  std::set<std::string> service_names;
  for (const Service& service : configuration.services) {
    if (!service_names.insert(service.name).second) {
      return InvalidConfiguration("duplicate service name " + service.name);
    }
    if (service.scaling.has_value() &&
        service.scaling->min_targets > service.scaling->max_targets) {
      return InvalidConfiguration("service " + service.name +
                                  ": scaling min is above max");
    }
  }
  std::set<std::pair<std::string, std::string>> locations;
  for (const Route& route : configuration.routes) {
    const Result<void> result = ValidateRoute(route, configuration);
    if (!result.has_value()) {
      return result;
    }
    if (!locations.insert({route.host, route.path_prefix}).second) {
      return InvalidConfiguration("duplicate route for " + route.host +
                                  route.path_prefix);
    }
  }
  std::map<std::string, std::string> team_by_key;
  for (const Team& team : configuration.teams) {
    for (const std::string& key : team.keys) {
      const auto inserted = team_by_key.insert({key, team.name});
      if (!inserted.second && inserted.first->second != team.name) {
        return InvalidConfiguration("teams " + team.name + " and " +
                                    inserted.first->second + " share a key");
      }
    }
  }
  return {};
}

RouteTable::RouteTable(Configuration configuration)
    : config(std::move(configuration)) {
  for (std::size_t index = 0; index < this->config.routes.size(); ++index) {
    this->routes_by_host[this->config.routes[index].host].push_back(index);
  }
  for (std::size_t index = 0; index < this->config.teams.size(); ++index) {
    for (const std::string& key : this->config.teams[index].keys) {
      this->team_by_key[key] = index;
    }
  }
}

const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  const auto found = this->routes_by_host.find(host);
  if (found == this->routes_by_host.end()) {
    return nullptr;
  }
  const Route* best = nullptr;
  for (const std::size_t index : found->second) {
    const Route& route = this->config.routes[index];
    const bool is_match =
        path.substr(0, route.path_prefix.size()) == route.path_prefix;
    if (is_match && (best == nullptr ||
                     route.path_prefix.size() > best->path_prefix.size())) {
      best = &route;
    }
  }
  return best;
}

const Team* RouteTable::FindTeam(std::string_view key) const {
  const auto found = this->team_by_key.find(key);
  return found == this->team_by_key.end() ? nullptr
                                          : &this->config.teams[found->second];
}

const std::string& PickService(const Route& route, double draw) {
  double total_weight = 0;
  for (const WeightedService& weighted : route.services) {
    total_weight += weighted.weight;
  }
  double remaining = draw * total_weight;
  for (const WeightedService& weighted : route.services) {
    if (remaining < weighted.weight) {
      return weighted.service;
    }
    remaining -= weighted.weight;
  }
  return route.services.back().service;
}

}  // namespace gooseberryturn::direct
