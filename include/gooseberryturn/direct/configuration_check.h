#ifndef GOOSEBERRYTURN_DIRECT_CONFIGURATION_CHECK_H_
#define GOOSEBERRYTURN_DIRECT_CONFIGURATION_CHECK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/direct/configuration.h"

namespace gooseberryturn::direct {

/// \brief What a finding means for the operator.
enum class FindingSeverity : std::uint8_t {
  kError,  ///< The configuration is refused, or an entry of it can't work.
  kHint,   ///< It works, probably not as intended.
};

inline constexpr NameTable<FindingSeverity, 2> kFindingSeverityNames = {
    {"error", "hint"}};

/// \brief What a finding is about.
enum class FindingKind : std::uint8_t {
  kInvalid,            ///< Refused by Validate.
  kHiddenRoute,        ///< Another one has the same host and prefix.
  kPrefix,             ///< Never matches, or more than it seems.
  kUnusedService,      ///< No route names it.
  kNoShare,            ///< The weights of a route give a service nothing.
  kNoKeys,             ///< No caller can use a team or the routes.
  kObjective,          ///< Not within the timeout.
  kModel,              ///< Size, name or share of a model.
  kEngine,             ///< Serves nothing.
  kScalingLimits,      ///< Contradict each other or the models.
  kColdRate,           ///< Cold targets get no requests.
  kCallerLimits,       ///< No request gets through.
  kVersionNotGreater,  ///< Than the one in force: it would be ignored.
};

inline constexpr NameTable<FindingKind, 13> kFindingKindNames = {
    {"invalid", "hidden_route", "prefix", "unused_service", "no_share",
     "no_keys", "objective", "model", "engine", "scaling_limits", "cold_rate",
     "caller_limits", "version_not_greater"}};

/// \brief A fault or an oddity of a configuration. Contains no team key.
struct Finding {
  FindingSeverity severity = FindingSeverity::kError;
  FindingKind kind = FindingKind::kInvalid;
  std::string subject;  ///< Entry concerned, such as "service llm".
  std::string message;
};

/// \brief What happened to an entry or a value of a configuration.
enum class ChangeKind : std::uint8_t { kAdded, kRemoved, kChanged };

inline constexpr NameTable<ChangeKind, 3> kChangeKindNames = {
    {"added", "removed", "changed"}};

/// \brief A difference between two configurations. Contains no team key.
struct ConfigurationChange {
  ChangeKind kind = ChangeKind::kChanged;
  std::string subject;  ///< Entry concerned, such as "service llm".
  std::string field;    ///< Empty for a whole entry.
  std::string before;   ///< Value, if `field` was there.
  std::string after;    ///< Value, if `field` is there.
};

/// \brief Faults and oddities of a configuration, errors first.
[[nodiscard]] std::vector<Finding> CheckConfiguration(
    const Configuration& configuration);

/// \brief The same, and those that show only beside the version in force.
[[nodiscard]] std::vector<Finding> CheckConfiguration(
    const Configuration& configuration, const Configuration& in_force);

/// \brief What `next` changes, by route, service, model, team and limit. Keys
/// of teams are compared, and reported as counts only.
[[nodiscard]] std::vector<ConfigurationChange> CompareConfigurations(
    const Configuration& in_force, const Configuration& next);

/// More hosts than a replica group of any model has.
inline constexpr std::size_t kMaxPlausibleGroupSize = 1024;

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CONFIGURATION_CHECK_H_
