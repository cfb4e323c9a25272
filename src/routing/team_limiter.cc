#include "gooseberryturn/routing/team_limiter.h"

#include <algorithm>
#include <chrono>

namespace gooseberryturn::routing {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

tl::unexpected<Error> Refuse(const std::string& message) {
  return tl::make_unexpected(Error{Reason::kTeamLimit, Step::kAccept,
                                   Outcome::kNotRun, std::string(), message});
}

}  // namespace

Result<void> TeamLimiter::Admit(const config::Team& team, std::int64_t entries,
                                TimePoint now) {
  const double share =
      1.0 / static_cast<double>(std::max<std::int64_t>(1, entries));
  const double rate = static_cast<double>(team.requests_per_second) * share;
  const double burst = std::max(1.0, rate);
  Usage& usage = this->usages[team.name];
  if (usage.is_new) {
    usage.is_new = false;
    usage.tokens = burst;
    usage.refilled_at = now;
  }
  usage.tokens =
      std::min(burst, usage.tokens + rate * Seconds(now - usage.refilled_at));
  usage.refilled_at = now;
  const double max_in_flight =
      std::max(1.0, static_cast<double>(team.in_flight) * share);
  if (static_cast<double>(usage.in_flight) >= max_in_flight) {
    return Refuse("team " + team.name + " has too many requests in progress");
  }
  if (usage.tokens < 1.0) {
    return Refuse("team " + team.name + " exceeds its requests per second");
  }
  usage.tokens -= 1.0;
  usage.in_flight += 1;
  return {};
}

void TeamLimiter::Release(const std::string& team) {
  this->usages[team].in_flight -= 1;
}

std::int64_t TeamLimiter::InFlight(const std::string& team) const {
  const auto found = this->usages.find(team);
  return found == this->usages.end() ? 0 : found->second.in_flight;
}

}  // namespace gooseberryturn::routing
