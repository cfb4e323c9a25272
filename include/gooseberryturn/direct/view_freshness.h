#ifndef GOOSEBERRYTURN_DIRECT_VIEW_FRESHNESS_H_
#define GOOSEBERRYTURN_DIRECT_VIEW_FRESHNESS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Tells an entry whether the leader's last update may be out of date.
///
/// \details Updates may have waited for seconds at a busy leader or on the way.
/// So reports are numbered, and updates name the last one that the leader had
/// handled: what an update says was current when that report was sent, or
/// later. Clocks of two hosts are not compared.
///
/// \code
///   report.number = freshness.RecordSent(now);
///   freshness.RecordHandled(number_in_update);
///   if (freshness.IsStale(now)) ...
/// \endcode
class ViewFreshness {
 public:
  /// \returns The number of the report that is sent now.
  std::uint64_t RecordSent(TimePoint now);
  /// \brief Records that the leader had handled report `number`; ignored for
  /// one that this process has not sent.
  void RecordHandled(std::uint64_t number);
  /// \brief True when the last update was current more than kMaxAge ago. False
  /// before the first one that names a report.
  [[nodiscard]] bool IsStale(TimePoint now) const noexcept {
    return this->is_known && now > this->current_at + kMaxAge;
  }

  /// Longer than reports and updates are apart, also with 300 entries, and
  /// shorter than the time within which a configuration is in force everywhere.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1500);
  static constexpr std::size_t kMaxUnhandled = 256;

 private:
  std::uint64_t last_number = 0;
  std::deque<std::pair<std::uint64_t, TimePoint>> unhandled;
  TimePoint current_at;
  bool is_known = false;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_VIEW_FRESHNESS_H_
