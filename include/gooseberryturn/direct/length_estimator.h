#ifndef GOOSEBERRYTURN_DIRECT_LENGTH_ESTIMATOR_H_
#define GOOSEBERRYTURN_DIRECT_LENGTH_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryturn::direct {

/// \brief Reads a caller's estimate of its output tokens.
/// \returns Empty for anything but a whole number between 1 and
/// kMaxHintTokens.
[[nodiscard]] std::optional<double> ReadLengthHint(
    std::string_view text) noexcept;

/// \brief Largest estimate of output tokens that is used.
inline constexpr double kMaxHintTokens = 1'000'000;

/// \brief Expected number of output tokens.
struct LengthEstimate {
  double tokens = 0;
  double deviation = 0;  ///< Standard deviation, tokens; 0 without a hint.
};

/// \brief Expects the length of an answer from the caller's hint and from how
/// wrong the hints of its route were.
///
/// \details Keeps a histogram of the ratio of tokens to hint for each route;
/// older answers decay exponentially. Hints that are right at the median
/// underestimate the mean where the tail is long, which the mean ratio
/// corrects. While few answers with hints are known, the hint counts for
/// little: the estimate lies between it and the mean of the route.
///
/// Designed for routes whose hints are off by a factor of up to 16. A greater
/// ratio counts as the last class of the histogram, so that a caller with
/// absurd hints changes its own route by a bounded amount only.
///
/// \code
///   estimator.RecordAnswer("chat", hint, tokens);
///   const double expected = estimator.Expect("chat", hint, mean).tokens;
/// \endcode
class LengthEstimator {
 public:
  /// \param mean_tokens Mean length on the route, the result without a hint.
  [[nodiscard]] LengthEstimate Expect(const std::string& route,
                                      std::optional<double> hint,
                                      double mean_tokens) const;
  /// \brief Records a complete answer. One without a hint is ignored.
  void RecordAnswer(const std::string& route, std::optional<double> hint,
                    double tokens);

  /// With more routes, as names change with configurations, all are learnt
  /// anew.
  static constexpr std::size_t kMaxRoutes = 4096;
  /// Number of answers with which hint and mean of the route count alike.
  static constexpr double kPriorAnswers = 10;
  /// Share of its weight that an answer loses with each later one.
  static constexpr double kDecay = 0.005;
  /// Classes of the ratio: each half an octave wide, from 1/16 to 16.
  static constexpr std::size_t kClasses = 16;
  static constexpr double kLeastRatio = 1.0 / 16;
  static constexpr double kClassesPerOctave = 2;

 private:
  using Histogram = std::array<double, kClasses>;

  std::map<std::string, Histogram> ratios;  ///< By route.
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_LENGTH_ESTIMATOR_H_
