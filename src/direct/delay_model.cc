#include "gooseberryturn/direct/delay_model.h"

#include <algorithm>

namespace gooseberryturn::direct {

namespace {

/// Bounds of the slope: more work must never predict an earlier first event,
/// nor one that is delayed out of proportion.
constexpr double kMinSlope = 0.2;
constexpr double kMaxSlope = 1.5;
/// Variance of the expected times below which they do not determine a slope;
/// then it is 1.
constexpr double kMinVariance = 100;

}  // namespace

void DelayModel::Observe(double expected_ms, double actual_ms) noexcept {
  const double actual = std::min(actual_ms, expected_ms + kMaxExcessMs);
  const double retained = 1 - kDecay;
  this->observations = std::min(this->observations + 1, kMinObservations);
  this->weight = this->weight * retained + 1;
  this->expected_sum = this->expected_sum * retained + expected_ms;
  this->actual_sum = this->actual_sum * retained + actual;
  this->expected_square_sum =
      this->expected_square_sum * retained + expected_ms * expected_ms;
  this->product_sum = this->product_sum * retained + expected_ms * actual;
}

double DelayModel::Predict(double expected_ms) const noexcept {
  if (this->observations < kMinObservations) {
    return expected_ms;
  }
  const double expected_mean = this->expected_sum / this->weight;
  const double actual_mean = this->actual_sum / this->weight;
  const double variance =
      this->expected_square_sum / this->weight - expected_mean * expected_mean;
  const double covariance =
      this->product_sum / this->weight - expected_mean * actual_mean;
  const double slope =
      variance < kMinVariance
          ? 1
          : std::clamp(covariance / variance, kMinSlope, kMaxSlope);
  return std::max(0.0, actual_mean + slope * (expected_ms - expected_mean));
}

}  // namespace gooseberryturn::direct
