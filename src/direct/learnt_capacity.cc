#include "gooseberryturn/direct/learnt_capacity.h"

#include <algorithm>
#include <cmath>

namespace gooseberryturn::direct {

bool IsValid(const LearntCapacity& learnt) noexcept {
  // A NaN compares false to every bound.
  const double factor = static_cast<double>(learnt.time_factor);
  const double limit = static_cast<double>(learnt.request_limit);
  return factor >= kMinTimeFactor && factor <= kMaxTimeFactor &&
         (limit == 0 || (limit >= 1 && limit <= kMaxRequestLimit));
}

bool IsNotable(double time_factor) noexcept {
  return time_factor > 1 + kNotableDifference ||
         time_factor < 1 / (1 + kNotableDifference);
}

double RelaxFactor(double time_factor, Duration age) noexcept {
  const std::chrono::duration<double> idle = std::max(Duration(0), age);
  return 1 + (time_factor - 1) * std::exp(-idle / kFactorRelaxTime);
}

}  // namespace gooseberryturn::direct
