#ifndef GOOSEBERRYTURN_ROUTING_TEAM_LIMITER_H_
#define GOOSEBERRYTURN_ROUTING_TEAM_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>

#include "gooseberryturn/config/document.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"

namespace gooseberryturn::routing {

/// \brief Enforces each team's request rate and concurrency limits at one
/// entry.
///
/// \details Each live entry enforces an equal share of a team's limits, but
/// allows at least one request in progress. The rate limit is a token bucket
/// that holds one second of requests, at least one.
class TeamLimiter {
 public:
  /// \brief Admits one request of `team`, or fails with kTeamLimit.
  /// \param entries Number of live entries.
  [[nodiscard]] Result<void> Admit(const config::Team& team,
                                   std::int64_t entries, TimePoint now);
  /// \brief Records that an admitted request of `team` is over.
  void Release(const std::string& team);
  /// \brief Admitted requests of `team` that are not over yet.
  [[nodiscard]] std::int64_t InFlight(const std::string& team) const;

 private:
  struct Usage {
    double tokens = 0;
    TimePoint refilled_at;
    bool is_new = true;
    std::int64_t in_flight = 0;
  };

  std::map<std::string, Usage> usages;
};

}  // namespace gooseberryturn::routing

#endif  // GOOSEBERRYTURN_ROUTING_TEAM_LIMITER_H_
