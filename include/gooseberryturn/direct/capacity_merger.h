#ifndef GOOSEBERRYTURN_DIRECT_CAPACITY_MERGER_H_
#define GOOSEBERRYTURN_DIRECT_CAPACITY_MERGER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/decaying_mean.h"
#include "gooseberryturn/direct/learnt_capacity.h"

namespace gooseberryturn::direct {

/// \brief A target that became slow, or recovered.
struct PaceChange {
  std::string target;
  bool is_slow = false;
  double time_factor = 1;
};

/// \brief The leader's mean of what the entries learnt of each target.
///
/// \details Reports are folded into one mean for each target, weighted by their
/// samples, so that neither state nor work grows with targets times entries.
/// Designed for 300 entries and 3,000 targets, of which each entry reports
/// those that answered it in the last 100 ms.
///
/// \code
///   ignored += merger.AddReport(report.learnt_capacities, now);
///   update.learnt_capacities = merger.Notable(now);
/// \endcode
class CapacityMerger {
 public:
  /// Returns whether a target is registered with this start time.
  using IsRegistered =
      std::function<bool(const std::string& target, std::int64_t start_ms)>;

  explicit CapacityMerger(IsRegistered is_registered)
      : is_registered(std::move(is_registered)) {}

  /// \brief Adds the report of an entry.
  /// \returns Number of values ignored: out of bounds, or of a target or an
  /// incarnation that is not registered.
  std::size_t AddReport(const std::vector<LearntCapacity>& reported,
                        TimePoint now);
  /// \brief Values that entries need: those that differ from 1, have a limit,
  /// or did so within kNotableTime. Computed at most every kRefreshInterval.
  /// Forgets targets that no entry reports.
  [[nodiscard]] const std::vector<LearntCapacity>& Notable(TimePoint now);
  /// \brief Targets that became slow or recovered since the last call.
  [[nodiscard]] std::vector<PaceChange> TakeChanges();
  /// \brief Number of targets with state.
  [[nodiscard]] std::size_t size() const noexcept {
    return this->targets.size();
  }

  /// A value is still sent for this time after it has returned to 1, so that
  /// entries which get no answers of the target learn of it.
  static constexpr Duration kNotableTime = std::chrono::seconds(5);
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);
  /// A target that no entry reports is forgotten after this time.
  static constexpr Duration kForgetTime = std::chrono::seconds(60);
  /// A target is reported as slow from this factor on,
  static constexpr double kSlowFactor = 2;
  /// and as recovered below this one.
  static constexpr double kRecoveredFactor = 1.3;
  /// Samples that a target needs to be reported as slow.
  static constexpr double kMinSlowSamples = 5;

 private:
  struct TargetState {
    std::int64_t start_time_ms = 0;
    DecayingMean factor = DecayingMean(1);
    DecayingMean limit = DecayingMean(0);
    TimePoint notable_until;
    bool is_slow = false;
  };
  static_assert(sizeof(TargetState) <= 100, "a target's state is small");

  void UpdatePace(const std::string& target, TargetState& state, TimePoint now);

  IsRegistered is_registered;
  std::map<std::string, TargetState> targets;
  std::vector<PaceChange> changes;
  std::vector<LearntCapacity> notable;
  TimePoint refreshed_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CAPACITY_MERGER_H_
