#ifndef GOOSEBERRYTURN_DIRECT_PRIORITY_MAP_H_
#define GOOSEBERRYTURN_DIRECT_PRIORITY_MAP_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberryturn::direct {

struct Configuration;

/// \brief Engine priorities of the requests of one configuration.
///
/// \details A group head admits the request with the lowest engine priority
/// first; one without the header counts as 5. Where the routes of an engine
/// service differ in priority and its requests do too, the engine priorities of
/// the requests are the ranks of their priorities, spread between kMostUrgent
/// and kLeastUrgent.
/// Other services have none, and their requests are sent without the header:
/// priorities of teams alone only order what waits at an entry.
///
/// Designed for a handful of distinct priorities in each service. With more
/// ranks than engine priorities, neighbouring ranks share one.
///
/// \code
///   const PriorityMap priorities(configuration);
///   const std::optional<int> sent = priorities.EnginePriority("llm", 1);
/// \endcode
class PriorityMap {
 public:
  /// \brief Priorities before a configuration is known: none.
  PriorityMap() = default;
  explicit PriorityMap(const Configuration& configuration);

  /// \brief Priority at the engine for a request with `priority`; empty if the
  /// routes of `service` or its requests all have the same one. A priority that
  /// the configuration doesn't contain counts as the next less urgent one, or
  /// as the least urgent.
  [[nodiscard]] std::optional<int> EnginePriority(const std::string& service,
                                                  int priority) const;
  /// \brief True if the requests of `service` have engine priorities.
  [[nodiscard]] bool HasSeveral(const std::string& service) const {
    return this->priorities_by_service.count(service) > 0;
  }

  /// \brief Engine priority of a resumed stream: its caller has waited already.
  static constexpr int kResumed = 2;
  static constexpr int kMostUrgent = 3;
  static constexpr int kLeastUrgent = 6;
  /// \brief Engine priority of a request that can no longer meet its objective:
  /// it must not displace one that can.
  static constexpr int kLate = 7;

 private:
  /// Distinct priorities of the requests, in ascending order, of engine
  /// services whose routes and requests have several.
  std::map<std::string, std::vector<int>> priorities_by_service;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_PRIORITY_MAP_H_
