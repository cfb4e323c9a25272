#include "gooseberryturn/direct/capacity_merger.h"

#include <algorithm>
#include <utility>

namespace gooseberryturn::direct {

namespace {

/// The mean follows within a few reports, which arrive every 100 ms.
constexpr DecayingMean::Smoothing kReportSmoothing = {
    std::chrono::milliseconds(300), 0};

}  // namespace

std::size_t CapacityMerger::AddReport(
    const std::vector<LearntCapacity>& reported, TimePoint now) {
  std::size_t ignored = 0;
  for (const LearntCapacity& learnt : reported) {
    if (!IsValid(learnt) || learnt.samples == 0 ||
        !this->is_registered(learnt.target, learnt.start_time_ms)) {
      ignored += 1;
      continue;
    }
    TargetState& state = this->targets[learnt.target];
    if (state.start_time_ms != learnt.start_time_ms) {
      state = TargetState();
      state.start_time_ms = learnt.start_time_ms;
    }
    const double weight =
        static_cast<double>(std::min(learnt.samples, kMaxReportedSamples));
    state.factor.Add(static_cast<double>(learnt.time_factor), weight,
                     kReportSmoothing, now);
    if (learnt.request_limit > 0) {
      state.limit.Add(static_cast<double>(learnt.request_limit), weight,
                      kReportSmoothing, now);
    }
    this->UpdatePace(learnt.target, state, now);
  }
  return ignored;
}

void CapacityMerger::UpdatePace(const std::string& target, TargetState& state,
                                TimePoint now) {
  const double factor = state.factor.value();
  const bool has_evidence =
      state.factor.Weight(kReportSmoothing.decay_time, now) >= kMinSlowSamples;
  const bool is_new_slow =
      !state.is_slow && has_evidence && factor >= kSlowFactor;
  const bool has_recovered = state.is_slow && factor < kRecoveredFactor;
  if (is_new_slow || has_recovered) {
    state.is_slow = is_new_slow;
    this->changes.push_back({target, is_new_slow, factor});
  }
}

const std::vector<LearntCapacity>& CapacityMerger::Notable(TimePoint now) {
  if (now < this->refreshed_at + kRefreshInterval) {
    return this->notable;
  }
  this->refreshed_at = now;
  this->notable.clear();
  for (auto item = this->targets.begin(); item != this->targets.end();) {
    TargetState& state = item->second;
    const Duration age = now - state.factor.last_added_at();
    if (age >= kForgetTime ||
        !this->is_registered(item->first, state.start_time_ms)) {
      item = this->targets.erase(item);
      continue;
    }
    const double factor = RelaxFactor(state.factor.value(), age);
    const bool has_limit = state.limit.HasSamples() &&
                           now < state.limit.last_added_at() + kNotableTime;
    if (IsNotable(factor)) {
      state.notable_until = now + kNotableTime;
    }
    if (has_limit || now < state.notable_until) {
      const double weight =
          state.factor.Weight(kReportSmoothing.decay_time, now);
      this->notable.push_back(
          {item->first, state.start_time_ms, static_cast<float>(factor),
           has_limit ? static_cast<float>(state.limit.value()) : 0,
           static_cast<std::uint32_t>(weight)});
    }
    ++item;
  }
  return this->notable;
}

std::vector<PaceChange> CapacityMerger::TakeChanges() {
  return std::exchange(this->changes, {});
}

}  // namespace gooseberryturn::direct
