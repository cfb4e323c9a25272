#include "gooseberryturn/direct/length_estimator.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <numeric>
#include <system_error>

namespace gooseberryturn::direct {

namespace {

/// Ratio in the middle of a class.
double RatioOf(std::size_t number) {
  const double octaves =
      (static_cast<double>(number) + 0.5) / LengthEstimator::kClassesPerOctave;
  return LengthEstimator::kLeastRatio * std::exp2(octaves);
}

std::size_t ClassOf(double ratio) {
  const double octaves = std::log2(ratio / LengthEstimator::kLeastRatio);
  const double number =
      std::floor(octaves * LengthEstimator::kClassesPerOctave);
  return static_cast<std::size_t>(std::clamp(
      number, 0.0, static_cast<double>(LengthEstimator::kClasses - 1)));
}

}  // namespace

std::optional<double> ReadLengthHint(std::string_view text) noexcept {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, value);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end;
  const double tokens = static_cast<double>(value);
  if (!is_number || tokens < 1 || tokens > kMaxHintTokens) {
    return std::nullopt;
  }
  return tokens;
}

LengthEstimate LengthEstimator::Expect(const std::string& route,
                                       std::optional<double> hint,
                                       double mean_tokens) const {
  const auto known = this->ratios.find(route);
  if (!hint.has_value() || known == this->ratios.end()) {
    return {mean_tokens, 0};
  }
  const Histogram& histogram = known->second;
  const double weight =
      std::accumulate(histogram.begin(), histogram.end(), 0.0);
  double mean_ratio = 0;
  double mean_square = 0;
  for (std::size_t number = 0; number < kClasses; ++number) {
    const double share = histogram[number] / weight;
    const double ratio = RatioOf(number);
    mean_ratio += share * ratio;
    mean_square += share * ratio * ratio;
  }
  const double trust = weight / (weight + kPriorAnswers);
  const double variance = std::max(0.0, mean_square - mean_ratio * mean_ratio);
  return {mean_tokens + trust * (*hint * mean_ratio - mean_tokens),
          *hint * std::sqrt(variance)};
}

void LengthEstimator::RecordAnswer(const std::string& route,
                                   std::optional<double> hint, double tokens) {
  // The comparison is false for a value that is not a number.
  const bool is_usable = hint.has_value() && *hint > 0 && tokens > 0;
  if (!is_usable) {
    return;
  }
  if (this->ratios.size() >= kMaxRoutes && this->ratios.count(route) == 0) {
    this->ratios.clear();
  }
  Histogram& histogram = this->ratios[route];
  for (double& weight : histogram) {
    weight *= 1 - kDecay;
  }
  histogram[ClassOf(tokens / *hint)] += 1;
}

}  // namespace gooseberryturn::direct
