#ifndef GOOSEBERRYTURN_DIRECT_DELAY_MODEL_H_
#define GOOSEBERRYTURN_DIRECT_DELAY_MODEL_H_

namespace gooseberryturn::direct {

/// \brief Predicts the time to the first event from the one expected by the
/// published figures.
///
/// \details Linear regression over the observed pairs, weighted so that older
/// ones decay exponentially.
///
/// \code
///   DelayModel delays;
///   delays.Observe(120, 230);
///   const double first_event_ms = delays.Predict(120);
/// \endcode
class DelayModel {
 public:
  /// \brief Adds a first event that came after `actual_ms`.
  void Observe(double expected_ms, double actual_ms) noexcept;
  /// \brief Predicted milliseconds to the first event; `expected_ms` itself
  /// before kMinObservations.
  [[nodiscard]] double Predict(double expected_ms) const noexcept;

  static constexpr int kMinObservations = 30;
  /// Share of its weight that an observation loses with each later one.
  static constexpr double kDecay = 0.003;
  /// Limit on how much later than expected an observation counts: a target that
  /// stalls says nothing about the usual delay.
  static constexpr double kMaxExcessMs = 600;

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
