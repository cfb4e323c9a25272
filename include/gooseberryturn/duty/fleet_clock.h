#ifndef GOOSEBERRYTURN_DUTY_FLEET_CLOCK_H_
#define GOOSEBERRYTURN_DUTY_FLEET_CLOCK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::duty {

/// \brief The time of day of this host, in Unix milliseconds.
[[nodiscard]] std::int64_t OwnUnixMs();

/// \brief The time of day that a fleet goes by, in Unix milliseconds: the
/// median over the clocks of its hosts.
///
/// \details Kept by the leader. Each host's time of day is taken as an offset
/// to the leader's Clock, so that a wrong or jumping time of day on fewer than
/// half of the hosts has no effect. With an even number of hosts the middle
/// offset that is nearer to the last result is used. Made for 300 entries that
/// report about three times a second.
class FleetClock {
 public:
  /// \brief Forgets all hosts. No time is known for kCollectTime.
  void StartLeading(TimePoint now);
  /// \brief Records the time of day of a host when its message arrived. Times
  /// outside of 1970 to 9999 are ignored.
  void Record(const std::string& host, std::int64_t unix_ms, TimePoint now);
  /// \brief The fleet's time, or nothing while it is not known.
  [[nodiscard]] std::optional<std::int64_t> UnixMs(TimePoint now);

  /// Time in which entries report to a new leader.
  static constexpr Duration kCollectTime = std::chrono::seconds(1);
  /// A host that is silent for longer no longer counts.
  static constexpr Duration kSampleTimeout = std::chrono::seconds(5);
  static constexpr Duration kUpdateInterval = std::chrono::milliseconds(200);
  static constexpr std::int64_t kMaxUnixMs = 253'402'128'000'000;

 private:
  struct Sample {
    std::int64_t offset_ms = 0;  ///< Time of day minus the leader's Clock.
    TimePoint expires_at;
  };

  void Update(TimePoint now);

  std::map<std::string, Sample> samples;
  std::optional<std::int64_t> offset_ms;
  TimePoint collect_until;
  TimePoint next_update_at;
};

/// \brief The fleet's time at an entry: as the last update said, and by the
/// entry's Clock since then.
class FollowedClock {
 public:
  void Set(std::int64_t unix_ms, TimePoint now) {
    this->offset_ms = unix_ms - WholeMs(now.time_since_epoch());
  }
  [[nodiscard]] std::optional<std::int64_t> UnixMs(TimePoint now) const {
    if (!this->offset_ms.has_value()) {
      return std::nullopt;
    }
    return *this->offset_ms + WholeMs(now.time_since_epoch());
  }

 private:
  std::optional<std::int64_t> offset_ms;
};

}  // namespace gooseberryturn::duty

#endif  // GOOSEBERRYTURN_DUTY_FLEET_CLOCK_H_
