#ifndef GOOSEBERRYTURN_CORE_TIME_H_
#define GOOSEBERRYTURN_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace gooseberryturn {

/// \brief Monotonic clock that also counts the time a host was suspended.
///
/// \details Leases are compared against this clock only, and only within the
/// process that read it. Messages carry remaining durations, never points in
/// time.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;  // NOLINT: named by the standard

  /// \brief Reads the clock.
  [[nodiscard]] static time_point now() noexcept;
};

using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// \brief Whole milliseconds left until `deadline`; 0 when it has passed.
[[nodiscard]] std::int64_t RemainingMs(TimePoint deadline,
                                       TimePoint now) noexcept;

/// \brief Milliseconds of a duration, rounded towards zero.
[[nodiscard]] std::int64_t WholeMs(Duration duration) noexcept;

/// \brief Converts fractional seconds to a duration of at most 30 years; what
/// is no number becomes -30 years.
[[nodiscard]] Duration FromSeconds(double seconds) noexcept;

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_TIME_H_
