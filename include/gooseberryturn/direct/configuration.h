#ifndef GOOSEBERRYTURN_DIRECT_CONFIGURATION_H_
#define GOOSEBERRYTURN_DIRECT_CONFIGURATION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::direct {

/// \brief Whether requests of a route may be executed more than once.
enum class RouteKind : std::uint8_t {
  kSafe,       ///< Idempotent: may be executed more than once.
  kUnsafe,     ///< Executed at most once.
  kStreaming,  ///< Event stream, increasing ids; idempotent if resumable.
};

inline constexpr NameTable<RouteKind, 3> kRouteKindNames = {
    {"safe", "unsafe", "streaming"}};

/// \brief A service and its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 0;
};

/// \brief Handling of requests with one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kUnsafe;
  std::int64_t timeout_ms = 0;    ///< Longest time until the answer ends.
  std::int64_t objective_ms = 0;  ///< Objective for the first event.
  int priority = 0;               ///< 0 is the most urgent.
  std::vector<WeightedService> services;
  int max_executions = 1;     ///< Limit on possible executions of a request.
  bool is_public = false;     ///< Needs no team key.
  bool is_resumable = false;  ///< Streams can resume after the last event.

  /// \brief True when a request may be executed more than once.
  [[nodiscard]] bool IsIdempotent() const noexcept;
};

/// \brief A model that groups of a service's engines can serve.
struct ModelProfile {
  std::string name;
  std::size_t size = 1;    ///< Hosts in a group.
  double share = 0;        ///< Initial share of the service's work.
  double time_factor = 1;  ///< Multiplies all times of a group.
  double load_s = 0;       ///< Load time from the weight store.
  double warm_s = 0;       ///< Load time from the host's own copy.
};

/// \brief Published performance figures of a service's engines.
struct EngineProfile {
  std::size_t slots = 1;       ///< Concurrent requests per group.
  double step_ms = 0;          ///< Base time of a decode step.
  double per_sequence_ms = 0;  ///< Added to a step per active sequence.
  double prefill_tokens_per_s = 0;
  double prefill_chunk_tokens = 1;  ///< Prompt tokens between decode steps.
  std::size_t stride = 1;  ///< Decode steps between chunks; tokens per event.
  double loads_per_s = 0;  ///< Model loads started per second, all hosts.
  std::size_t max_concurrent_loads = 1;  ///< With more, each takes longer.
  double mean_output_tokens = 0;

  std::vector<ModelProfile> models;

  [[nodiscard]] const ModelProfile* FindModel(
      std::string_view name) const noexcept;
};

/// \brief Bounds within which the platform adds and removes targets.
struct ScalingLimits {
  std::size_t min_targets = 0;  ///< In each data centre.
  std::size_t max_targets = 0;  ///< In each data centre.
  double start_s = 0;           ///< From the order until a new target serves.
};

/// \brief A set of targets that serve the same requests.
struct Service {
  std::string name;
  std::size_t max_connections = 0;  ///< To one target, in total.
  double cold_requests_per_s = 0;   ///< Limit for one cold target.
  std::optional<EngineProfile> engine;
  std::optional<ScalingLimits> scaling;  ///< Empty if it isn't scaled.
};

/// \brief Limits on requests and connections of callers.
struct CallerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  std::int64_t header_timeout_ms = 3000;
  std::int64_t idle_timeout_ms = 15'000;
};

/// \brief A team and the API keys that identify its callers.
struct Team {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< Overrides the route's priority.
};

/// \brief One version of the configuration set by operators.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  bool has_teams = false;  ///< Routes that are not public need a team key.
  std::vector<Team> teams;

  [[nodiscard]] const Service* FindService(
      std::string_view name) const noexcept;
};

/// \brief Checks consistency across fields: unique service names, routes and
/// team keys, known services, valid weights, timeouts and scaling limits.
/// \returns kBadRequest with the first error.
[[nodiscard]] Result<void> Validate(const Configuration& configuration);

/// \brief Finds the route and the team of a request.
///
/// \code
///   RouteTable table(configuration);
///   const Route* route = table.FindRoute("shop.example", "/menus/4");
/// \endcode
class RouteTable {
 public:
  explicit RouteTable(Configuration configuration);

  /// \brief The route of `host` with the longest matching path prefix, or null.
  [[nodiscard]] const Route* FindRoute(std::string_view host,
                                       std::string_view path) const;
  /// \brief The team that holds `key`, or null.
  [[nodiscard]] const Team* FindTeam(std::string_view key) const;
  [[nodiscard]] const Configuration& configuration() const noexcept {
    return this->config;
  }

 private:
  Configuration config;
  std::map<std::string, std::vector<std::size_t>, std::less<>> routes_by_host;
  std::map<std::string, std::size_t, std::less<>> team_by_key;
};

/// \brief Picks a service of `route` by weight; `draw` is within [0, 1).
[[nodiscard]] const std::string& PickService(const Route& route, double draw);

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CONFIGURATION_H_
