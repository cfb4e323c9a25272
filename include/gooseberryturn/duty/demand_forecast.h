#ifndef GOOSEBERRYTURN_DUTY_DEMAND_FORECAST_H_
#define GOOSEBERRYTURN_DUTY_DEMAND_FORECAST_H_

#include <deque>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::duty {

/// \brief Predicts the demand for one model from its last samples.
///
/// \details The level is the mean of the last seconds. The slope is that of a
/// least-squares line through the history, reduced by a multiple of its
/// standard error, so that noise has no trend. Designed for one sample a
/// second.
class DemandForecast {
 public:
  /// \brief Adds a sample, in hosts that are kept busy.
  /// \returns False if it was ignored: not a number, negative, above
  /// kMaxBusyHosts, or not later than the last one.
  bool Add(double busy_hosts, TimePoint now);
  /// \brief Mean of the samples within kLevelWindow of the last one; 0 without
  /// any.
  [[nodiscard]] double Level() const;
  /// \brief Increase per second, 0 unless demand grows significantly.
  [[nodiscard]] double Slope() const;
  /// \brief Demand at the end of `horizon`, without kIgnoredGrowth: at least
  /// the level, at most kMaxGrowth times the level.
  [[nodiscard]] double Predict(Duration horizon) const;

  /// More than any fleet has; bounds the work of a decision.
  static constexpr double kMaxBusyHosts = 1e5;
  static constexpr Duration kHistory = std::chrono::seconds(16);
  /// Longer than the smoothing of the samples.
  static constexpr Duration kLevelWindow = std::chrono::seconds(3);
  /// Growth by this share of the level is not predicted: the spare capacity of
  /// a service covers it, and noise rarely exceeds it.
  static constexpr double kIgnoredGrowth = 0.2;
  /// A step up looks like a steep slope, which does not last.
  static constexpr double kMaxGrowth = 1.5;
  /// Samples that a slope needs.
  static constexpr std::size_t kMinSamples = 5;
  /// Samples are smoothed, so their errors are correlated and the standard
  /// error is underestimated.
  static constexpr double kSlopeConfidence = 4.5;

 private:
  struct Sample {
    TimePoint at;
    double busy_hosts = 0;
  };

  std::deque<Sample> samples;  ///< Oldest first.
};

}  // namespace gooseberryturn::duty

#endif  // GOOSEBERRYTURN_DUTY_DEMAND_FORECAST_H_
