#ifndef GOOSEBERRYTURN_DIRECT_DELAY_MODEL_H_
#define GOOSEBERRYTURN_DIRECT_DELAY_MODEL_H_

namespace gooseberryturn::direct {

/// \brief Learns how long first events really take from what the published
/// figures say: a line through recent pairs, older ones weighing less.
///
/// \code
///   DelayModel delays;
///   delays.Observe(120, 230);
///   const double first_event_ms = delays.Predict(120);
/// \endcode
class DelayModel {
 public:
  /// \brief A first event that was expected after `expected_ms` came after
  /// `actual_ms`.
  void Observe(double expected_ms, double actual_ms) noexcept;
  /// \brief Milliseconds until a first event; `expected_ms` itself before
  /// enough was observed.
  [[nodiscard]] double Predict(double expected_ms) const noexcept;

  static constexpr int kLeastObservations = 30;
  /// Weight that an observation loses with each later one.
  static constexpr double kForget = 0.003;
  /// A target that stands still says nothing of the usual delay.
  static constexpr double kMostExcessMs = 600;

 private:
  int observations = 0;
  double weight = 0;
  double expected_sum = 0;
  double actual_sum = 0;
  double expected_square_sum = 0;
  double product_sum = 0;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_DELAY_MODEL_H_
