#include "gooseberryturn/direct/priority_map.h"

#include <algorithm>
#include <cstddef>
#include <set>

#include "gooseberryturn/direct/configuration.h"

namespace gooseberryturn::direct {

namespace {

/// Steps from the most urgent engine priority to the least urgent one.
constexpr std::size_t kSteps =
    PriorityMap::kLeastUrgent - PriorityMap::kMostUrgent;

/// Priorities that requests of `route` can have.
std::set<int> PrioritiesOf(const Route& route,
                           const Configuration& configuration) {
  const bool needs_team = configuration.has_teams && !route.is_public;
  if (!needs_team) {
    return {route.priority};
  }
  std::set<int> priorities;
  for (const Team& team : configuration.teams) {
    priorities.insert(team.priority.value_or(route.priority));
  }
  return priorities;
}

}  // namespace

PriorityMap::PriorityMap(const Configuration& configuration) {
  std::map<std::string, std::set<int>> of_routes;
  std::map<std::string, std::set<int>> of_requests;
  for (const Route& route : configuration.routes) {
    const std::set<int> priorities = PrioritiesOf(route, configuration);
    for (const WeightedService& used : route.services) {
      const Service* service = configuration.FindService(used.service);
      if (service != nullptr && service->engine.has_value()) {
        of_routes[used.service].insert(route.priority);
        of_requests[used.service].insert(priorities.begin(), priorities.end());
      }
    }
  }
  for (const std::pair<const std::string, std::set<int>>& service :
       of_requests) {
    // Teams with one priority of their own can make those of the routes
    // irrelevant.
    if (of_routes[service.first].size() > 1 && service.second.size() > 1) {
      this->priorities_by_service[service.first] = {service.second.begin(),
                                                    service.second.end()};
    }
  }
}

std::optional<int> PriorityMap::EnginePriority(const std::string& service,
                                               int priority) const {
  const auto found = this->priorities_by_service.find(service);
  if (found == this->priorities_by_service.end()) {
    return std::nullopt;
  }
  const std::vector<int>& priorities = found->second;
  const std::size_t last = priorities.size() - 1;
  const auto position =
      std::lower_bound(priorities.begin(), priorities.end(), priority);
  const std::size_t rank =
      std::min(last, static_cast<std::size_t>(position - priorities.begin()));
  return kMostUrgent + static_cast<int>(rank * kSteps / last);
}

}  // namespace gooseberryturn::direct
