#include "gooseberryturn/admission/concurrency_limit.h"

#include <algorithm>

namespace gooseberryturn::admission {

namespace {

/// Each first token that is not slow moves the average by its difference from
/// the average, divided by this.
constexpr int kAverageWeight = 16;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(std::int64_t cold, std::int64_t warm)
    : cold(cold), warm(warm), current(cold) {}

void ConcurrencyLimit::Reset() noexcept {
  this->current = this->cold;
  this->average = Duration::zero();
  this->slow_streak = 0;
  this->is_cold_again = false;
}

void ConcurrencyLimit::Configure(std::int64_t cold_limit,
                                 std::int64_t warm_limit) noexcept {
  this->cold = cold_limit;
  this->warm = warm_limit;
  this->current = std::clamp(this->current, this->cold, this->warm);
}

void ConcurrencyLimit::RecordCompletion(Duration first_token) {
  const bool is_slow = this->average > Duration::zero() &&
                       first_token > kColdFloor &&
                       first_token > kColdFactor * this->average;
  if (is_slow) {
    this->slow_streak += 1;
    if (this->slow_streak >= kColdStreak) {
      this->current = this->cold;
      this->slow_streak = 0;
      this->is_cold_again = true;
    }
    return;
  }
  this->slow_streak = 0;
  this->is_cold_again = false;
  this->average =
      this->average == Duration::zero()
          ? first_token
          : this->average + (first_token - this->average) / kAverageWeight;
  this->current = std::min(this->current + 1, this->warm);
}

}  // namespace gooseberryturn::admission
