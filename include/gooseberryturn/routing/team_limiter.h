#ifndef GOOSEBERRYTURN_ROUTING_TEAM_LIMITER_H_
#define GOOSEBERRYTURN_ROUTING_TEAM_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>

#include "gooseberryturn/config/document.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"

namespace gooseberryturn::routing {

/// \brief Holds each team to its contract at one entry.
///
/// \details A contract is split evenly among the live entries. The rate is a
/// token bucket that holds one second of requests.
class TeamLimiter {
 public:
  /// \brief Admits one request of `team`, or says why not.
  [[nodiscard]] Result<void> Admit(const config::Team& team,
                                   std::int64_t entries, TimePoint now);
  /// \brief One admitted request of `team` is over.
  void Release(const std::string& team);
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
