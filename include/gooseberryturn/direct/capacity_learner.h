#ifndef GOOSEBERRYTURN_DIRECT_CAPACITY_LEARNER_H_
#define GOOSEBERRYTURN_DIRECT_CAPACITY_LEARNER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/decaying_mean.h"
#include "gooseberryturn/direct/learnt_capacity.h"
#include "gooseberryturn/direct/target_notices.h"

namespace gooseberryturn::direct {

/// \brief One event of a stream after the first.
struct EventGap {
  double expected_ms = 0;  ///< From the published figures, at the known load.
  TimePoint began_at;      ///< When the event before it arrived.
};

/// \brief The answer of a plain target to one request.
struct PlainAnswer {
  std::string service;
  double time_ms = 0;
  std::uint32_t load = 0;  ///< Requests in flight before it was sent.
  bool has_failed = false;
  bool is_unfinished = false;  ///< It takes longer than `time_ms`.
};

/// \brief What is to be expected of a target.
struct TargetEstimate {
  /// On the expected times; 1 while it is not notably different.
  double time_factor = 1;
  /// Requests of all entries that a plain target takes well.
  double request_limit = kUnknownRequestLimit;
  /// Requests of this entry within that: others' are known with a delay, so
  /// that all entries would fill the same room.
  double own_limit = kUnknownRequestLimit;
  /// True if a slow target, from which no entry has had samples for a while,
  /// is to get one request of this entry.
  bool is_probe_due = false;

  static constexpr double kUnknownRequestLimit = 16;
};

/// \brief Learns from the answers at this entry how fast each target is and how
/// many requests a plain target takes well.
///
/// \details Group heads: the mean of observed over expected times, of which
/// event gaps give many samples. Plain targets: answer times against those of
/// the whole service, and a request limit of all entries together by a gradient
/// method, as in TCP Vegas (Brakmo and Peterson, 1995): the limit decreases by
/// a factor when answers take longer than the target's own time at low load, or
/// when it refuses, and increases by one for each limit's worth of good
/// answers.
///
/// Designed for 400 targets in a choice and 100 answers or 10,000 events per
/// second at one entry.
///
/// \code
///   learner.ObserveEventGap(head, {50, began_at}, now);
///   expected_ms *= learner.Estimate(head, start_ms, now).time_factor;
///   report.learnt_capacities = learner.TakeReport(now);
///   learner.ApplyMerged(update.learnt_capacities, view.entries(), now);
/// \endcode
class CapacityLearner {
 public:
  explicit CapacityLearner(std::uint64_t seed) : random(seed) {}

  /// \brief Records the time to the first event of a stream at a head, where
  /// `expected_ms` was predicted without a learnt factor.
  void ObserveFirstEvent(const TargetIncarnation& head, double expected_ms,
                         double actual_ms, TimePoint now);
  /// \brief Records a later event of a stream at a head.
  ///
  /// \details A single gap longer than kSilence is a stall, which TargetTracker
  /// handles; only a head that goes on with such gaps is slow.
  void ObserveEventGap(const TargetIncarnation& head, const EventGap& gap,
                       TimePoint now);
  /// \brief Records that a head answered with an error of its own.
  void ObserveFailure(const TargetIncarnation& head, TimePoint now);
  /// \brief Records an answer of a plain target, or one that it did not end in
  /// time.
  void ObserveAnswer(const TargetIncarnation& target, const PlainAnswer& answer,
                     TimePoint now);
  /// \brief Records that a plain target refused a request when it had `load`
  /// others.
  void ObserveRefusal(const TargetIncarnation& target, std::uint32_t load,
                      TimePoint now);
  /// \brief Records that a request is sent to `target`, which ends a probe that
  /// is due.
  void RecordSent(const TargetIncarnation& target, TimePoint now);

  /// \brief Takes over what all entries learnt, as the leader sends it, among
  /// `entries` entries.
  /// \returns Number of values ignored as out of bounds or of an earlier
  /// incarnation.
  std::size_t ApplyMerged(const std::vector<LearntCapacity>& merged,
                          std::size_t entries, TimePoint now);
  /// \brief What was learnt of the targets that gave samples since the last
  /// call, at most kMaxReported. Forgets targets of which nothing was heard for
  /// kForgetTime.
  [[nodiscard]] std::vector<LearntCapacity> TakeReport(TimePoint now);

  /// \brief What is to be expected of the incarnation of `target` that
  /// started at `start_time_ms`.
  [[nodiscard]] TargetEstimate Estimate(const std::string& target,
                                        std::int64_t start_time_ms,
                                        TimePoint now) const;
  /// \brief Number of requests sent as probes.
  [[nodiscard]] std::uint64_t probes() const noexcept {
    return this->probe_count;
  }
  /// \brief Number of times that a limit was decreased.
  [[nodiscard]] std::uint64_t decreases() const noexcept {
    return this->decrease_count;
  }
  /// \brief Number of targets with state.
  [[nodiscard]] std::size_t size() const noexcept {
    return this->targets.size();
  }

  static constexpr double kInitialLimit = TargetEstimate::kUnknownRequestLimit;
  /// A gap that TargetTracker takes for a stall.
  static constexpr Duration kSilence = std::chrono::milliseconds(320);
  /// Two such gaps within this time belong together.
  static constexpr Duration kSilenceMemory = std::chrono::seconds(2);
  static constexpr Duration kProbeInterval = std::chrono::seconds(1);
  /// Time over which the probes of all entries are spread.
  static constexpr Duration kProbeSpread = std::chrono::seconds(2);
  /// Least time between two decreases of one limit by refusals: about the time
  /// until the effect of the first is seen.
  static constexpr Duration kRefusalInterval = std::chrono::milliseconds(150);
  /// The same by slow answers, whose mean follows later.
  static constexpr Duration kSlowInterval = std::chrono::milliseconds(500);
  static constexpr Duration kForgetTime = std::chrono::seconds(60);
  static constexpr std::size_t kMaxReported = 1024;
  /// Of further targets nothing is learnt.
  static constexpr std::size_t kMaxTargets = 8192;

 private:
  struct TargetState {
    std::int64_t start_time_ms = 0;
    DecayingMean factor = DecayingMean(1);     ///< Of a head.
    DecayingMean answer_ms = DecayingMean(0);  ///< Of a plain target.
    float service_ms = 0;   ///< Of its service at its last answer.
    float unloaded_ms = 0;  ///< Own answer time at low load; 0 if unknown.
    float limit = static_cast<float>(kInitialLimit);
    float merged_factor = 1;
    float merged_weight = 0;
    std::uint32_t unreported_samples = 0;
    TimePoint merged_at;
    TimePoint limit_changed_at;
    TimePoint limit_decreased_at;
    TimePoint silence_ended_at;  ///< Of the last gap longer than kSilence.
    TimePoint probe_at;          ///< The next probe, if nothing comes before.
    bool has_limit = false;
    /// False while neither the own nor the merged factor is notable.
    bool is_notable = false;
  };
  static_assert(sizeof(TargetState) + sizeof(std::string) <= 200,
                "a target's state is small");

  /// The state of this incarnation, new if there is none, or null if a later
  /// one is known.
  [[nodiscard]] TargetState* FindOrAdd(const TargetIncarnation& target);
  void AddHeadSample(TargetState& state, double ratio, double weight,
                     TimePoint now);
  void UpdateUnloadedTime(TargetState& state, Duration since, TimePoint now);
  /// Changes the limit after an answer that was sent at `load`.
  void AdjustLimit(TargetState& state, std::uint32_t load, TimePoint now);
  /// Decreases the limit by a factor, unless it was decreased within
  /// `interval`.
  void DecreaseLimit(TargetState& state, std::uint32_t load, double factor,
                     Duration interval, TimePoint now);
  static void UpdateNotable(TargetState& state);
  [[nodiscard]] static bool IsProbeDue(const TargetState& state, double factor,
                                       TimePoint now);
  [[nodiscard]] static double OwnFactor(const TargetState& state);
  /// Time of the last sample that any entry is known to have.
  [[nodiscard]] static TimePoint SampledAt(const TargetState& state);
  [[nodiscard]] static double CombinedFactor(const TargetState& state,
                                             TimePoint now);
  [[nodiscard]] static double CurrentLimit(const TargetState& state,
                                           TimePoint now);
  void ScheduleProbe(TargetState& state, TimePoint now);

  std::unordered_map<std::string, TargetState> targets;
  /// Mean answer time of each plain service, milliseconds.
  std::map<std::string, double> service_ms;
  double entries = 1;
  std::mt19937_64 random;
  std::uint64_t probe_count = 0;
  std::uint64_t decrease_count = 0;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CAPACITY_LEARNER_H_
