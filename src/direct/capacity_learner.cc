#include "gooseberryturn/direct/capacity_learner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberryturn::direct {

namespace {

constexpr double kMsPerSecond = 1000;

/// Events of a stream come every 50 ms or so: a few hundred milliseconds are
/// enough to tell a slow head.
constexpr DecayingMean::Smoothing kHeadSmoothing = {
    std::chrono::milliseconds(300), 2};
/// The times of plain answers vary by half and more.
constexpr DecayingMean::Smoothing kPlainSmoothing = {
    std::chrono::milliseconds(1000), 5};
/// Weight of a time to the first event, which also depends on prompts that the
/// entry does not know of yet, compared with an event gap.
constexpr double kFirstEventWeight = 0.5;
/// Largest ratio of a time to the first event, for the same reason.
constexpr double kMaxFirstEventRatio = 4;
/// Shorter expected times say nothing.
constexpr double kMinExpectedMs = 1;
/// Weight of the newest answer in the mean of its service.
constexpr double kServiceWeight = 1.0 / 64;
/// Bound of one answer relative to a mean, against the long tail of answers.
constexpr double kMaxAnswerRatio = 4;
/// A failure counts as an answer that takes this many times the mean of the
/// service, so that a target that fails fast does not look fast: a failure is
/// worse than any slow answer.
constexpr double kFailureRatio = 16;
/// Weight of a failure of a head compared with an event gap: a request has many
/// events and fails once.
constexpr double kFailureWeight = 10;
/// Weight of the answers on which the unloaded time of a target rests.
constexpr double kMinUnloadedWeight = 8;
/// Time in which the unloaded time grows by a factor of e, so that it follows a
/// target that has become slower at any load.
constexpr Duration kUnloadedRiseTime = std::chrono::seconds(30);
/// Answers that take longer than the unloaded time by this factor mean that the
/// target has too many requests.
constexpr double kLoadedRatio = 2;
constexpr double kSlowDecrease = 0.8;
constexpr double kRefusalDecrease = 0.7;
/// A limit says something, and changes by answers, only when the load is at
/// least this share of it.
constexpr double kMinLoadShare = 0.5;
/// An entry may use this many times its equal share of a limit, as entries do
/// not get the same number of requests.
constexpr double kOwnShareFactor = 1.5;
/// Growth of a limit without answers, up to its initial value.
constexpr double kIdleIncreasePerS = 1;
/// Part of the way to the merged limit that the own one goes at each update.
constexpr double kMergeShare = 0.3;
/// Weight that a factor keeps when all its samples are old: with no newer one
/// it stays in use, and relaxes.
constexpr double kRetainedWeight = 0.001;
/// Samples that a decrease counts for, so that it spreads fast.
constexpr std::uint32_t kDecreaseSamples = 10;

}  // namespace

CapacityLearner::TargetState* CapacityLearner::FindOrAdd(
    const TargetIncarnation& target) {
  const auto found = this->targets.find(target.target);
  if (found == this->targets.end() && this->targets.size() >= kMaxTargets) {
    return nullptr;
  }
  TargetState& state = found == this->targets.end()
                           ? this->targets[target.target]
                           : found->second;
  if (state.start_time_ms > target.start_time_ms) {
    return nullptr;
  }
  if (state.start_time_ms < target.start_time_ms) {
    state = TargetState();
    state.start_time_ms = target.start_time_ms;
  }
  return &state;
}

// ----------------------------------------------------------------- group heads

void CapacityLearner::AddHeadSample(TargetState& state, double ratio,
                                    double weight, TimePoint now) {
  state.factor.Add(std::clamp(ratio, 0.0, kMaxTimeFactor), weight,
                   kHeadSmoothing, now);
  state.unreported_samples += 1;
  UpdateNotable(state);
  this->ScheduleProbe(state, now);
}

void CapacityLearner::ObserveFirstEvent(const TargetIncarnation& head,
                                        double expected_ms, double actual_ms,
                                        TimePoint now) {
  TargetState* state = this->FindOrAdd(head);
  if (state == nullptr || expected_ms < kMinExpectedMs) {
    return;
  }
  this->AddHeadSample(*state,
                      std::min(kMaxFirstEventRatio, actual_ms / expected_ms),
                      kFirstEventWeight, now);
}

void CapacityLearner::ObserveEventGap(const TargetIncarnation& head,
                                      const EventGap& gap, TimePoint now) {
  TargetState* state = this->FindOrAdd(head);
  if (state == nullptr || gap.expected_ms < kMinExpectedMs) {
    return;
  }
  const Duration actual = now - gap.began_at;
  if (actual > kSilence) {
    const bool is_repeated = state->silence_ended_at != TimePoint() &&
                             gap.began_at >= state->silence_ended_at &&
                             now < state->silence_ended_at + kSilenceMemory;
    if (!is_repeated) {
      state->silence_ended_at = now;
      return;
    }
  }
  const double actual_ms =
      kMsPerSecond * std::chrono::duration<double>(actual).count();
  this->AddHeadSample(*state, actual_ms / gap.expected_ms, 1, now);
}

void CapacityLearner::ObserveFailure(const TargetIncarnation& head,
                                     TimePoint now) {
  TargetState* state = this->FindOrAdd(head);
  if (state != nullptr) {
    this->AddHeadSample(*state, kFailureRatio, kFailureWeight, now);
  }
}

// --------------------------------------------------------------- plain targets

void CapacityLearner::ObserveAnswer(const TargetIncarnation& target,
                                    const PlainAnswer& answer, TimePoint now) {
  TargetState* state = this->FindOrAdd(target);
  if (state == nullptr || answer.time_ms < 0) {
    return;
  }
  double& service = this->service_ms[answer.service];
  if (answer.is_unfinished &&
      answer.time_ms <= std::max(service, state->answer_ms.value())) {
    return;
  }
  if (service <= 0) {
    service = std::max(kMinExpectedMs, answer.time_ms);
  }
  if (!answer.has_failed) {
    const double time_ms = std::min(answer.time_ms, kMaxAnswerRatio * service);
    service += kServiceWeight * (time_ms - service);
    service = std::max(kMinExpectedMs, service);
  }
  const Duration since = now - state->answer_ms.last_added_at();
  if (!state->answer_ms.HasSamples()) {
    state->answer_ms = DecayingMean(service);
  }
  const double time_ms =
      answer.has_failed ? kFailureRatio * service
                        : std::min(answer.time_ms,
                                   kMaxAnswerRatio * state->answer_ms.value());
  state->answer_ms.Add(time_ms, 1, kPlainSmoothing, now);
  state->service_ms = static_cast<float>(service);
  state->unreported_samples += 1;
  this->UpdateUnloadedTime(*state, since, now);
  this->AdjustLimit(*state, answer.load, now);
  UpdateNotable(*state);
  this->ScheduleProbe(*state, now);
}

void CapacityLearner::UpdateUnloadedTime(TargetState& state, Duration since,
                                         TimePoint now) {
  const double weight = state.answer_ms.Weight(kPlainSmoothing.decay_time, now);
  if (weight < kMinUnloadedWeight) {
    return;
  }
  const double answer_ms = state.answer_ms.value();
  double unloaded_ms = static_cast<double>(state.unloaded_ms);
  if (unloaded_ms <= 0) {
    unloaded_ms = answer_ms;
  }
  const std::chrono::duration<double> age = since;
  unloaded_ms *= std::exp(age / kUnloadedRiseTime);
  state.unloaded_ms = static_cast<float>(std::min(unloaded_ms, answer_ms));
}

void CapacityLearner::AdjustLimit(TargetState& state, std::uint32_t load,
                                  TimePoint now) {
  const double limit = CurrentLimit(state, now);
  const double sent = static_cast<double>(load) + 1;
  if (sent < kMinLoadShare * limit) {
    return;
  }
  const double unloaded_ms = static_cast<double>(state.unloaded_ms);
  const bool is_loaded =
      unloaded_ms > 0 && state.answer_ms.value() > kLoadedRatio * unloaded_ms;
  if (is_loaded) {
    this->DecreaseLimit(state, load, kSlowDecrease, kSlowInterval, now);
  } else if (unloaded_ms > 0 && (state.has_limit || sent >= limit)) {
    // The other entries see as many answers, and share the limit.
    const double increase = std::min(1.0, this->entries / limit);
    state.limit =
        static_cast<float>(std::min(kMaxRequestLimit, limit + increase));
    state.limit_changed_at = now;
    state.has_limit = true;
  }
}

void CapacityLearner::ObserveRefusal(const TargetIncarnation& target,
                                     std::uint32_t load, TimePoint now) {
  TargetState* state = this->FindOrAdd(target);
  if (state != nullptr) {
    this->DecreaseLimit(*state, load, kRefusalDecrease, kRefusalInterval, now);
    UpdateNotable(*state);
    this->ScheduleProbe(*state, now);
  }
}

void CapacityLearner::DecreaseLimit(TargetState& state, std::uint32_t load,
                                    double factor, Duration interval,
                                    TimePoint now) {
  const double limit = CurrentLimit(state, now);
  const double sent = static_cast<double>(load) + 1;
  // Beyond its limit a target is expected to be slow or to refuse.
  const bool is_beyond = state.has_limit && sent > limit + 1;
  if (is_beyond || (state.limit_decreased_at != TimePoint() &&
                    now < state.limit_decreased_at + interval)) {
    return;
  }
  state.limit =
      static_cast<float>(std::max(1.0, factor * std::min(limit, sent)));
  state.limit_changed_at = now;
  state.limit_decreased_at = now;
  state.has_limit = true;
  state.unreported_samples += kDecreaseSamples;
  this->decrease_count += 1;
}

double CapacityLearner::CurrentLimit(const TargetState& state, TimePoint now) {
  const double limit = static_cast<double>(state.limit);
  if (!state.has_limit || limit >= kInitialLimit) {
    return limit;
  }
  const TimePoint since =
      std::max(state.limit_changed_at, state.answer_ms.last_added_at());
  const double idle_s =
      std::max(0.0, std::chrono::duration<double>(now - since).count());
  return std::min(kInitialLimit, limit + kIdleIncreasePerS * idle_s);
}

// ------------------------------------------------------------ shared estimates

std::size_t CapacityLearner::ApplyMerged(
    const std::vector<LearntCapacity>& merged, std::size_t entry_count,
    TimePoint now) {
  this->entries = std::max(1.0, static_cast<double>(entry_count));
  std::size_t ignored = 0;
  for (const LearntCapacity& learnt : merged) {
    TargetState* state =
        IsValid(learnt) ? this->FindOrAdd({learnt.target, learnt.start_time_ms})
                        : nullptr;
    if (state == nullptr) {
      ignored += 1;
      continue;
    }
    state->merged_factor = learnt.time_factor;
    state->merged_weight = static_cast<float>(learnt.samples);
    state->merged_at = now;
    if (learnt.samples > 0) {
      this->ScheduleProbe(*state, now);
    }
    if (learnt.request_limit > 0) {
      const double own = CurrentLimit(*state, now);
      const double all = static_cast<double>(learnt.request_limit);
      state->limit = static_cast<float>(own + kMergeShare * (all - own));
      state->limit_changed_at = now;
      state->has_limit = true;
    }
    UpdateNotable(*state);
  }
  return ignored;
}

std::vector<LearntCapacity> CapacityLearner::TakeReport(TimePoint now) {
  std::vector<LearntCapacity> report;
  for (auto item = this->targets.begin(); item != this->targets.end();) {
    TargetState& state = item->second;
    const TimePoint heard_at =
        std::max({SampledAt(state), state.merged_at, state.limit_changed_at,
                  state.silence_ended_at});
    if (state.unreported_samples == 0 && now >= heard_at + kForgetTime) {
      item = this->targets.erase(item);
      continue;
    }
    const std::string& target = item->first;
    ++item;
    if (state.unreported_samples == 0 || report.size() >= kMaxReported) {
      continue;
    }
    const std::uint32_t samples =
        std::min(kMaxReportedSamples, state.unreported_samples);
    state.unreported_samples = 0;
    report.push_back({target, state.start_time_ms,
                      static_cast<float>(OwnFactor(state)),
                      state.has_limit ? state.limit : 0, samples});
  }
  return report;
}

double CapacityLearner::OwnFactor(const TargetState& state) {
  if (state.answer_ms.HasSamples()) {
    return std::clamp(
        state.answer_ms.value() / static_cast<double>(state.service_ms),
        kMinTimeFactor, kMaxTimeFactor);
  }
  // The known load of a head counts requests that still wait, so a head that
  // seems faster than published may be an ordinary one.
  return std::clamp(state.factor.value(), 1.0, kMaxTimeFactor);
}

TimePoint CapacityLearner::SampledAt(const TargetState& state) {
  const TimePoint own =
      std::max(state.factor.last_added_at(), state.answer_ms.last_added_at());
  return state.merged_weight >= 1 ? std::max(own, state.merged_at) : own;
}

double CapacityLearner::CombinedFactor(const TargetState& state,
                                       TimePoint now) {
  const bool is_plain = state.answer_ms.HasSamples();
  const DecayingMean& own = is_plain ? state.answer_ms : state.factor;
  const Duration decay_time =
      is_plain ? kPlainSmoothing.decay_time : kHeadSmoothing.decay_time;
  const double own_weight =
      own.HasSamples() ? own.Weight(decay_time, now) + kRetainedWeight : 0;
  const std::chrono::duration<double> merged_age = now - state.merged_at;
  const double merged_weight =
      state.merged_at == TimePoint()
          ? 0
          : (static_cast<double>(state.merged_weight) + kRetainedWeight) *
                std::exp(-merged_age / kHeadSmoothing.decay_time);
  const double sum = own_weight + merged_weight;
  if (sum <= 0) {
    return 1;
  }
  const double own_factor =
      RelaxFactor(OwnFactor(state), now - own.last_added_at());
  const double merged_factor = RelaxFactor(
      static_cast<double>(state.merged_factor), now - state.merged_at);
  return (own_weight * own_factor + merged_weight * merged_factor) / sum;
}

void CapacityLearner::UpdateNotable(TargetState& state) {
  state.is_notable = IsNotable(OwnFactor(state)) ||
                     IsNotable(static_cast<double>(state.merged_factor));
}

TargetEstimate CapacityLearner::Estimate(const std::string& target,
                                         std::int64_t start_time_ms,
                                         TimePoint now) const {
  TargetEstimate estimate;
  const auto found = this->targets.find(target);
  if (found == this->targets.end() ||
      found->second.start_time_ms != start_time_ms) {
    return estimate;
  }
  const TargetState& state = found->second;
  estimate.request_limit = CurrentLimit(state, now);
  if (state.has_limit) {
    estimate.own_limit =
        std::max(1.0, kOwnShareFactor * estimate.request_limit / this->entries);
  }
  if (!state.is_notable) {
    return estimate;
  }
  const double factor = CombinedFactor(state, now);
  if (IsNotable(factor)) {
    estimate.time_factor = factor;
    estimate.is_probe_due = IsProbeDue(state, factor, now);
  }
  return estimate;
}

// ---------------------------------------------------------------------- probes

void CapacityLearner::ScheduleProbe(TargetState& state, TimePoint now) {
  std::uniform_real_distribution<double> draw(0, 1);
  const Duration spread =
      std::chrono::duration_cast<Duration>(draw(this->random) * kProbeSpread);
  state.probe_at = now + kProbeInterval + spread;
}

bool CapacityLearner::IsProbeDue(const TargetState& state, double factor,
                                 TimePoint now) {
  return factor > 1 && state.probe_at != TimePoint() && now >= state.probe_at &&
         now >= SampledAt(state) + kProbeInterval;
}

void CapacityLearner::RecordSent(const TargetIncarnation& target,
                                 TimePoint now) {
  const TargetEstimate estimate =
      this->Estimate(target.target, target.start_time_ms, now);
  if (estimate.is_probe_due) {
    this->probe_count += 1;
    this->ScheduleProbe(this->targets.at(target.target), now);
  }
}

}  // namespace gooseberryturn::direct
