#include "gooseberryturn/direct/configuration_check.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gooseberryturn::direct {

namespace {

std::string NameOf(const Route& route) {
  return "route " + route.host + route.path_prefix;
}

std::string NameOf(const Service& service) { return "service " + service.name; }

std::string NameOf(const Service& service, const ModelProfile& model) {
  return "model " + service.name + "/" + model.name;
}

std::string NameOf(const Team& team) { return "team " + team.name; }

/// Collects the findings of one configuration.
class Checker {
 public:
  explicit Checker(const Configuration& configuration)
      : configuration(configuration) {}

  std::vector<Finding> Check() {
    const Result<void> valid = Validate(this->configuration);
    if (!valid.has_value()) {
      this->AddError(FindingKind::kInvalid, "configuration",
                     valid.error().message);
    }
    for (const Route& route : this->configuration.routes) {
      this->CheckLocation(route);
      this->CheckRoute(route);
    }
    for (const Service& service : this->configuration.services) {
      this->CheckService(service);
    }
    this->CheckTeams();
    this->CheckCallerLimits();
    std::stable_sort(this->findings.begin(), this->findings.end(),
                     [](const Finding& left, const Finding& right) {
                       return left.severity < right.severity;
                     });
    return std::move(this->findings);
  }

 private:
  void AddError(FindingKind kind, const std::string& subject,
                const std::string& message) {
    this->findings.push_back({FindingSeverity::kError, kind, subject, message});
  }
  void AddHint(FindingKind kind, const std::string& subject,
               const std::string& message) {
    this->findings.push_back({FindingSeverity::kHint, kind, subject, message});
  }

  /// Checks which requests the route matches.
  void CheckLocation(const Route& route) {
    const std::string& prefix = route.path_prefix;
    const std::string subject = NameOf(route);
    if (!this->locations.insert({route.host, prefix}).second) {
      this->AddError(FindingKind::kHiddenRoute, subject,
                     "never matches: an earlier route has the same host and "
                     "prefix");
    }
    if (prefix.empty()) {
      this->AddHint(FindingKind::kPrefix, subject,
                    "the empty prefix matches every path of the host");
    } else if (prefix.front() != '/') {
      this->AddError(FindingKind::kPrefix, subject,
                     "never matches: the prefix doesn't begin with a slash");
    } else if (prefix.back() != '/') {
      this->AddHint(FindingKind::kPrefix, subject,
                    "the prefix doesn't end with a slash: it also matches "
                    "longer names");
    }
    if (prefix.find('?') != std::string::npos) {
      this->AddError(FindingKind::kPrefix, subject,
                     "never matches: paths are compared without their query");
    }
  }

  void CheckRoute(const Route& route) {
    const std::string subject = NameOf(route);
    if (route.objective_ms > route.timeout_ms) {
      this->AddHint(FindingKind::kObjective, subject,
                    "the objective of " + std::to_string(route.objective_ms) +
                        " ms is above the timeout of " +
                        std::to_string(route.timeout_ms) + " ms");
    } else if (route.objective_ms <= 0) {
      this->AddHint(FindingKind::kObjective, subject,
                    "with an objective of 0 ms every request is late");
    }
    std::set<std::string> named;
    for (const WeightedService& weighted : route.services) {
      if (weighted.weight <= 0) {
        this->AddHint(FindingKind::kNoShare, subject,
                      "service " + weighted.service + " gets no requests");
      }
      if (!named.insert(weighted.service).second) {
        this->AddHint(FindingKind::kNoShare, subject,
                      "service " + weighted.service + " is named twice");
      }
    }
  }

  void CheckService(const Service& service) {
    const auto names_service = [&service](const WeightedService& weighted) {
      return weighted.service == service.name;
    };
    const bool is_used = std::any_of(
        this->configuration.routes.begin(), this->configuration.routes.end(),
        [&names_service](const Route& route) {
          return std::any_of(route.services.begin(), route.services.end(),
                             names_service);
        });
    if (!is_used) {
      this->AddHint(FindingKind::kUnusedService, NameOf(service),
                    "no route names it");
    }
    if (service.cold_requests_per_s <= 0) {
      this->AddHint(FindingKind::kColdRate, NameOf(service),
                    "its targets get no requests while they are cold");
    }
    if (service.engine.has_value()) {
      this->CheckEngine(service, *service.engine);
    }
    if (service.scaling.has_value()) {
      this->CheckScaling(service, *service.scaling);
    }
  }

  void CheckEngine(const Service& service, const EngineProfile& engine) {
    const std::string subject = NameOf(service);
    if (engine.slots == 0) {
      this->AddError(FindingKind::kEngine, subject,
                     "groups with 0 slots serve nothing");
    }
    if (engine.models.empty()) {
      this->AddError(FindingKind::kEngine, subject,
                     "no group can form without a model");
      return;
    }
    if (engine.max_concurrent_loads == 0 || engine.loads_per_s <= 0) {
      this->AddError(FindingKind::kEngine, subject,
                     "no model may be loaded: its limit on loads is 0");
    }
    std::set<std::string> names;
    for (const ModelProfile& model : engine.models) {
      if (!names.insert(model.name).second) {
        this->AddError(FindingKind::kModel, NameOf(service, model),
                       "is listed twice");
      }
      this->CheckModel(service, model);
    }
  }

  void CheckModel(const Service& service, const ModelProfile& model) {
    const std::string subject = NameOf(service, model);
    if (model.size == 0) {
      this->AddError(FindingKind::kModel, subject, "a group of 0 hosts");
    } else if (model.size > kMaxPlausibleGroupSize) {
      this->AddHint(FindingKind::kModel, subject,
                    "a group of " + std::to_string(model.size) +
                        " hosts is larger than plausible");
    }
    if (model.share <= 0) {
      this->AddHint(FindingKind::kModel, subject,
                    "with a share of 0 no hosts are reassigned to it");
    }
    if (model.warm_s > model.load_s) {
      this->AddHint(FindingKind::kModel, subject,
                    "a load from the host's own copy takes longer than one "
                    "from the weight store");
    }
  }

  void CheckScaling(const Service& service, const ScalingLimits& limits) {
    const std::string subject = NameOf(service);
    if (limits.min_targets > limits.max_targets) {
      this->AddError(FindingKind::kScalingLimits, subject,
                     "the minimum of " + std::to_string(limits.min_targets) +
                         " targets is above the maximum of " +
                         std::to_string(limits.max_targets));
    }
    if (limits.max_targets == 0) {
      this->AddHint(FindingKind::kScalingLimits, subject,
                    "with a maximum of 0 targets it serves nothing");
    }
    if (!service.engine.has_value()) {
      return;
    }
    const std::vector<ModelProfile>& models = service.engine->models;
    const bool fits_none =
        !models.empty() && std::all_of(models.begin(), models.end(),
                                       [&limits](const ModelProfile& model) {
                                         return model.size > limits.max_targets;
                                       });
    if (fits_none && limits.max_targets > 0) {
      this->AddError(FindingKind::kScalingLimits, subject,
                     "the maximum of " + std::to_string(limits.max_targets) +
                         " targets is below the size of its smallest model");
      return;
    }
    for (const ModelProfile& model : models) {
      if (model.size > limits.max_targets) {
        this->AddHint(FindingKind::kScalingLimits, NameOf(service, model),
                      "a group of " + std::to_string(model.size) +
                          " hosts is above the maximum of " +
                          std::to_string(limits.max_targets) + " targets");
      }
    }
  }

  void CheckTeams() {
    bool has_key = false;
    for (const Team& team : this->configuration.teams) {
      has_key |= !team.keys.empty();
      if (team.keys.empty()) {
        this->AddHint(FindingKind::kNoKeys, NameOf(team), "has no key");
      }
      if (std::count(team.keys.begin(), team.keys.end(), "") > 0) {
        this->AddHint(FindingKind::kNoKeys, NameOf(team), "has an empty key");
      }
    }
    const bool needs_key = std::any_of(
        this->configuration.routes.begin(), this->configuration.routes.end(),
        [](const Route& route) { return !route.is_public; });
    if (this->configuration.has_teams && needs_key && !has_key) {
      this->AddError(FindingKind::kNoKeys, "teams",
                     "no caller can use the routes that are not public: no "
                     "team has a key");
    }
  }

  void CheckCallerLimits() {
    const CallerLimits& limits = this->configuration.limits;
    if (limits.max_header_bytes == 0) {
      this->AddError(FindingKind::kCallerLimits, "limits",
                     "with a header limit of 0 bytes no request gets through");
    }
    if (limits.max_body_bytes == 0) {
      this->AddHint(FindingKind::kCallerLimits, "limits",
                    "with a body limit of 0 bytes requests can't have a body");
    }
    if (limits.header_timeout_ms <= 0) {
      this->AddHint(FindingKind::kCallerLimits, "limits",
                    "with a header timeout of 0 ms a request must arrive as a "
                    "whole");
    }
    if (limits.idle_timeout_ms <= 0) {
      this->AddHint(FindingKind::kCallerLimits, "limits",
                    "with an idle timeout of 0 ms connections aren't kept "
                    "between requests");
    }
  }

  const Configuration& configuration;
  std::set<std::pair<std::string, std::string>> locations;
  std::vector<Finding> findings;
};

}  // namespace

std::vector<Finding> CheckConfiguration(const Configuration& configuration) {
  return Checker(configuration).Check();
}

std::vector<Finding> CheckConfiguration(const Configuration& configuration,
                                        const Configuration& in_force) {
  std::vector<Finding> findings = CheckConfiguration(configuration);
  if (configuration.version <= in_force.version) {
    findings.insert(findings.begin(),
                    {FindingSeverity::kError, FindingKind::kVersionNotGreater,
                     "configuration",
                     "version " + std::to_string(configuration.version) +
                         " would be ignored: version " +
                         std::to_string(in_force.version) + " is in force"});
  }
  return findings;
}

}  // namespace gooseberryturn::direct
