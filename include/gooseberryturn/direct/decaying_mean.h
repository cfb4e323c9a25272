#ifndef GOOSEBERRYTURN_DIRECT_DECAYING_MEAN_H_
#define GOOSEBERRYTURN_DIRECT_DECAYING_MEAN_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Mean of weighted samples whose weights decay exponentially with time.
///
/// \code
///   mean.Add(1.8, 1, {std::chrono::milliseconds(300), 2}, now);
///   const double factor = mean.value();
/// \endcode
class DecayingMean {
 public:
  explicit DecayingMean(double initial) : mean(static_cast<float>(initial)) {}

  /// \brief How fast earlier samples lose their weight.
  struct Smoothing {
    Duration decay_time;  ///< In which a weight decays to 1/e.
    /// Weight that the mean keeps, so that one sample after a long time does
    /// not replace it.
    double min_weight;
  };

  void Add(double value, double sample_weight, const Smoothing& smoothing,
           TimePoint now) noexcept {
    const double kept =
        std::max(smoothing.min_weight, this->Weight(smoothing.decay_time, now));
    const double sum = kept + sample_weight;
    this->mean = static_cast<float>(
        (kept * static_cast<double>(this->mean) + sample_weight * value) / sum);
    this->weight = static_cast<float>(sum);
    this->added_at = now;
  }
  [[nodiscard]] double value() const noexcept {
    return static_cast<double>(this->mean);
  }
  /// \brief Sum of the weights at `now`.
  [[nodiscard]] double Weight(Duration decay_time,
                              TimePoint now) const noexcept {
    const std::chrono::duration<double> age = now - this->added_at;
    return this->weight > 0
               ? static_cast<double>(this->weight) * std::exp(-age / decay_time)
               : 0;
  }
  /// \brief True once a sample was added.
  [[nodiscard]] bool HasSamples() const noexcept { return this->weight > 0; }
  /// \brief Time of the latest sample.
  [[nodiscard]] TimePoint last_added_at() const noexcept {
    return this->added_at;
  }

 private:
  TimePoint added_at;
  float mean;
  float weight = 0;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_DECAYING_MEAN_H_
