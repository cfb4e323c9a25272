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

/// \brief What may be repeated on a route.
enum class RouteKind : std::uint8_t {
  kSafe,       ///< Idempotent: may run more than once.
  kUnsafe,     ///< Runs at most once.
  kStreaming,  ///< Events with increasing ids; idempotent if resumable.
};

inline constexpr NameTable<RouteKind, 3> kRouteKindNames = {
    {"safe", "unsafe", "streaming"}};

/// \brief A service and its share of a route's requests.
struct WeightedService {
  std::string service;
  double weight = 0;
};

/// \brief Where requests of one host and path prefix go.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kUnsafe;
  std::int64_t timeout_ms = 0;  ///< Longest time a caller is kept waiting.
  std::int64_t objective_ms = 0;
  int priority = 0;  ///< 0 is the most urgent.
  std::vector<WeightedService> services;
  int attempts = 1;  ///< Targets that one request may be sent to.
  bool is_public = false;
  bool is_resumable = false;

  /// \brief True when a request may be run again.
  [[nodiscard]] bool IsIdempotent() const noexcept;
};

/// \brief A model that a service's engines can serve in groups.
struct ModelProfile {
  std::string name;
  std::size_t size = 1;    ///< Hosts of one group.
  double share = 0;        ///< Of the service's work, at the start.
  double time_factor = 1;  ///< Factor on all times of a group.
  double load_s = 0;       ///< From the weight store.
  double warm_s = 0;       ///< From the host's own copy.
};

/// \brief Published figures of a service's engines.
struct EngineProfile {
  std::size_t slots = 1;            ///< Requests of a group at a time.
  double step_ms = 0;               ///< A step of one token for all writers.
  double per_sequence_ms = 0;       ///< Added to a step for each writer.
  double prefill_tokens_per_s = 0;  ///< Prompt tokens read.
  double prefill_chunk_tokens = 1;  ///< Prompt tokens read in one piece.
  std::size_t stride = 1;           ///< Steps of a pass, tokens of an event.
  double loads_per_s = 0;           ///< Loads that may start, of all hosts.
  std::size_t max_concurrent_loads = 1;  ///< Beyond it each load takes longer.
  double mean_output_tokens = 0;         ///< Mean tokens of an answer.

  std::vector<ModelProfile> models;

  [[nodiscard]] const ModelProfile* FindModel(
      std::string_view name) const noexcept;
};

/// \brief Targets that serve the same requests.
struct Service {
  std::string name;
  std::size_t max_connections = 0;  ///< Of one target, from all callers.
  double cold_requests_per_s = 0;   ///< What a cold target bears.
  std::optional<EngineProfile> engine;
};

/// \brief What callers may send.
struct CallerLimits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 4 * 1024 * 1024;
  std::int64_t header_timeout_ms = 3000;
  std::int64_t idle_timeout_ms = 15'000;
};

/// \brief A team and the keys by which its callers are known.
struct Team {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;  ///< Goes before the route's priority.
};

/// \brief One version of everything operators declare.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  bool has_teams = false;
  std::vector<Team> teams;

  [[nodiscard]] const Service* FindService(
      std::string_view name) const noexcept;
};

/// \brief Checks what no single field shows: names, weights, keys, places.
/// \returns kBadRequest with the first fault.
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

  /// \brief The route of `host` with the longest prefix of `path`, or null.
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
