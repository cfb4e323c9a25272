#include "gooseberryturn/core/time.h"

#include <ctime>

namespace gooseberryturn {

namespace {

/// About 30 years: a point in time plus this is far below the largest one.
constexpr double kMaxSeconds = 1e9;

}  // namespace

TimePoint Clock::now() noexcept {
  timespec spec{};
  clock_gettime(CLOCK_BOOTTIME, &spec);
  const Duration since_boot = std::chrono::seconds(spec.tv_sec) +
                              std::chrono::nanoseconds(spec.tv_nsec);
  return TimePoint(since_boot);
}

std::int64_t RemainingMs(TimePoint deadline, TimePoint now) noexcept {
  if (deadline <= now) {
    return 0;
  }
  return std::chrono::duration_cast<Milliseconds>(deadline - now).count();
}

std::int64_t WholeMs(Duration duration) noexcept {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

Duration FromSeconds(double seconds) noexcept {
  if (!(seconds > -kMaxSeconds && seconds < kMaxSeconds)) {
    seconds = seconds > 0 ? kMaxSeconds : -kMaxSeconds;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace gooseberryturn
