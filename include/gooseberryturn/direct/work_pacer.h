#ifndef GOOSEBERRYTURN_DIRECT_WORK_PACER_H_
#define GOOSEBERRYTURN_DIRECT_WORK_PACER_H_

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Limits repeated work to a share of the time of its thread.
///
/// \details After a run that took t, the next one is due no sooner than
/// t * (1 / share - 1) after its end, and never later than `max_pause` after
/// it, so that a pause of the whole host doesn't delay the work for long. A run
/// shorter than kFreeRun is followed by no pause: at small fleets the work is
/// always due. Designed for plans and updates at 3,000 targets and 300
/// followers.
class WorkPacer {
 public:
  /// \param share Largest part of the time that the work may take, above 0 and
  /// at most 1.
  WorkPacer(double share, Duration max_pause) noexcept
      : share(share), max_pause(max_pause) {}

  [[nodiscard]] bool IsDue(TimePoint now) const noexcept {
    return now >= this->next_at;
  }
  void RecordRun(TimePoint started_at, TimePoint ended_at) noexcept;

  static constexpr Duration kFreeRun = std::chrono::milliseconds(2);

 private:
  double share;
  Duration max_pause;
  TimePoint next_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_WORK_PACER_H_
