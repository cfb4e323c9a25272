#include "gooseberryturn/direct/delay_model.h"

#include <algorithm>

namespace gooseberryturn::direct {

namespace {

/// Later first events are never predicted for less work, nor much later ones.
constexpr double kLeastSlope = 0.2;
constexpr double kMostSlope = 1.5;
/// Spread of the expected times below which only their mean says something.
constexpr double kLeastVariance = 100;

}  // namespace

void DelayModel::Observe(double expected_ms, double actual_ms) noexcept {
  const double actual = std::min(actual_ms, expected_ms + kMostExcessMs);
  const double keep = 1 - kForget;
  this->observations = std::min(this->observations + 1, kLeastObservations);
  this->weight = this->weight * keep + 1;
  this->expected_sum = this->expected_sum * keep + expected_ms;
  this->actual_sum = this->actual_sum * keep + actual;
  this->expected_square_sum =
      this->expected_square_sum * keep + expected_ms * expected_ms;
  this->product_sum = this->product_sum * keep + expected_ms * actual;
}

double DelayModel::Predict(double expected_ms) const noexcept {
  if (this->observations < kLeastObservations) {
    return expected_ms;
  }
  const double expected_mean = this->expected_sum / this->weight;
  const double actual_mean = this->actual_sum / this->weight;
  const double variance =
      this->expected_square_sum / this->weight - expected_mean * expected_mean;
  const double covariance =
      this->product_sum / this->weight - expected_mean * actual_mean;
  const double slope =
      variance < kLeastVariance
          ? 1
          : std::clamp(covariance / variance, kLeastSlope, kMostSlope);
  return std::max(0.0, actual_mean + slope * (expected_ms - expected_mean));
}

}  // namespace gooseberryturn::direct
