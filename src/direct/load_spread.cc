#include "gooseberryturn/direct/load_spread.h"

#include <algorithm>
#include <cstddef>

namespace gooseberryturn::direct {

namespace {

/// Lower bound of the arriving work, so that the least delayed head always has
/// a weight.
constexpr double kMinArrivingMs = 1;

/// The delay to which `arriving_ms` raises the least delayed heads.
double CommonLevel(std::vector<double> delays_ms, double arriving_ms) {
  std::sort(delays_ms.begin(), delays_ms.end());
  double sum = arriving_ms;
  double level = 0;
  for (std::size_t count = 1; count <= delays_ms.size(); ++count) {
    sum += delays_ms[count - 1];
    level = sum / static_cast<double>(count);
    if (count < delays_ms.size() && level <= delays_ms[count]) {
      return level;
    }
  }
  return level;
}

}  // namespace

std::vector<double> SpreadWeights(const std::vector<double>& delays_ms,
                                  double arriving_ms) {
  const double level =
      CommonLevel(delays_ms, std::max(kMinArrivingMs, arriving_ms));
  std::vector<double> weights;
  weights.reserve(delays_ms.size());
  for (const double delay_ms : delays_ms) {
    weights.push_back(std::max(0.0, level - delay_ms));
  }
  return weights;
}

}  // namespace gooseberryturn::direct
