#ifndef GOOSEBERRYTURN_DIRECT_MODEL_LOAD_LIMITER_H_
#define GOOSEBERRYTURN_DIRECT_MODEL_LOAD_LIMITER_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/configuration.h"

namespace gooseberryturn::direct {

/// \brief Limits how many models are loaded from the weight store at a time and
/// per second.
class ModelLoadLimiter {
 public:
  /// \brief True when `count` loads may start now.
  [[nodiscard]] bool MayStart(const EngineProfile& engine, std::size_t count,
                              TimePoint now) {
    this->DropExpired(now);
    const double max_starts =
        std::max(1.0, engine.loads_per_s * kWindowSeconds * kRateShare);
    const bool is_within_rate =
        static_cast<double>(this->starts.size() + count) <= max_starts;
    return is_within_rate &&
           this->ends.size() + count <= engine.max_concurrent_loads;
  }
  /// \brief Records a load that starts now and takes until `end`.
  void RecordStart(TimePoint now, TimePoint end) {
    this->starts.push_back(now);
    this->ends.push_back(end);
  }

 private:
  void DropExpired(TimePoint now) {
    while (!this->starts.empty() && this->starts.front() + kWindow <= now) {
      this->starts.pop_front();
    }
    this->ends.erase(
        std::remove_if(this->ends.begin(), this->ends.end(),
                       [now](TimePoint end) { return end <= now; }),
        this->ends.end());
  }

  static constexpr double kWindowSeconds = 5;
  static constexpr Duration kWindow = std::chrono::seconds(5);
  /// Share of the published rate that is used: late orders of an earlier leader
  /// may still start loads.
  static constexpr double kRateShare = 0.7;

  std::deque<TimePoint> starts;
  std::vector<TimePoint> ends;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_MODEL_LOAD_LIMITER_H_
