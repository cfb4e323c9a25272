#include "gooseberryturn/direct/target_chooser.h"

#include <algorithm>
#include <limits>

#include "gooseberryturn/direct/cold_entries.h"
#include "gooseberryturn/direct/load_spread.h"

namespace gooseberryturn::direct {

namespace {

constexpr double kMsPerSecond = 1000.0;
/// Traffic between data centres costs money: slightly more load is accepted in
/// this one before a request goes to another.
constexpr double kRemotePenaltyMs = 12.0;
constexpr double kTieBreakNoiseMs = 4.0;
/// Makes an avoided plain target the last resort. An avoided group head is not
/// chosen at all.
constexpr double kAvoidedPenaltyMs = 100'000.0;
/// Expected delay for each request in flight at a plain target.
constexpr double kPlainRequestMs = 10.0;
/// A plain target that is slower than its service by this factor takes no
/// request well.
constexpr double kSlowPlainFactor = 2.5;
/// Makes a plain target that has as many requests as it takes well the choice
/// after all others that are not avoided.
constexpr double kBeyondLimitPenaltyMs = 50'000.0;
/// Share of a group head's slots that late requests may fill; the rest is kept
/// for requests that can still be on time.
constexpr double kLateSlotShare = 0.85;
/// Prefill that a head works off until the next figures of its load arrive.
constexpr double kPrefillPerRoundMs = 100;
/// Share of a cold target's rate limit that all entries together use.
constexpr double kColdRateShare = 0.8;

/// What is left of `limit` when `reserved` of it is kept for others, but for a
/// part that is never kept.
double WithoutReserve(double limit, double reserved) {
  return limit - std::min(reserved, TargetChooser::kMaxReservedShare * limit);
}

/// Milliseconds of a decode step: one token for each active sequence.
double DecodeStepMs(const EngineProfile& engine, double load) {
  const double sequences = std::min(load, static_cast<double>(engine.slots));
  return engine.step_ms + engine.per_sequence_ms * sequences;
}

/// Milliseconds to prefill `tokens` prompt tokens. Between two prefill chunks
/// the engine runs `stride` decode steps for its active sequences.
double PrefillMs(const EngineProfile& engine, double load, double tokens) {
  const double prefill_ms_per_token =
      kMsPerSecond / std::max(1.0, engine.prefill_tokens_per_s);
  const double decode_ms_per_token =
      load > 0
          ? static_cast<double>(engine.stride) * DecodeStepMs(engine, load) /
                std::max(1.0, engine.prefill_chunk_tokens)
          : 0;
  return tokens * (prefill_ms_per_token + decode_ms_per_token);
}

/// Milliseconds until a slot is free for a request behind `load` others.
double SlotWaitMs(const EngineProfile& engine, const ModelProfile& model,
                  std::uint32_t load) {
  if (load < engine.slots) {
    return 0;
  }
  const double slots = static_cast<double>(engine.slots);
  const double ahead = static_cast<double>(load - engine.slots) + 1;
  const double slot_hold_ms = model.time_factor * engine.mean_output_tokens *
                              DecodeStepMs(engine, slots);
  return ahead * slot_hold_ms / slots;
}

}  // namespace

double FirstEventMs(const EngineProfile& engine, const ModelProfile& model,
                    double prompt_tokens) {
  const double load = static_cast<double>(engine.slots);
  return model.time_factor *
         (PrefillMs(engine, load, prompt_tokens) +
          static_cast<double>(engine.stride) * DecodeStepMs(engine, load));
}

double EngineTimeMs(const EngineProfile& engine, const ModelProfile& model,
                    double prompt_tokens, double output_tokens) {
  const double slots =
      static_cast<double>(std::max<std::size_t>(1, engine.slots));
  const double prefill_ms =
      kMsPerSecond * prompt_tokens / std::max(1.0, engine.prefill_tokens_per_s);
  const double decode_ms = output_tokens * DecodeStepMs(engine, slots) / slots;
  return model.time_factor * (prefill_ms + decode_ms);
}

double EventGapMs(const EngineProfile& engine, const ModelProfile& model,
                  double load, double pending_prefill_tokens) {
  const double chunk_tokens =
      std::min(engine.prefill_chunk_tokens, pending_prefill_tokens);
  const double prefill_ms =
      kMsPerSecond * chunk_tokens / std::max(1.0, engine.prefill_tokens_per_s);
  return model.time_factor *
         (static_cast<double>(engine.stride) * DecodeStepMs(engine, load) +
          prefill_ms);
}

TargetEstimate TargetChooser::EstimateOf(const TargetView& target,
                                         TimePoint now) const {
  return this->learner == nullptr
             ? TargetEstimate()
             : this->learner->Estimate(target.name, target.start_time_ms, now);
}

double TargetChooser::LearntDelayMs(const Candidate& candidate,
                                    const TargetEstimate& estimate) {
  const double load = static_cast<double>(candidate.load);
  const bool is_probe = estimate.is_probe_due && candidate.load == 0;
  const double time_factor = is_probe ? 1 : estimate.time_factor;
  return time_factor * kPlainRequestMs * (load + 1);
}

bool TargetChooser::TakeColdRequest(const TargetView& target,
                                    TargetTracker& tracker, double per_s,
                                    TimePoint now) const {
  if (!target.is_cold || per_s <= 0) {
    return true;
  }
  const bool is_assigned =
      std::find(target.cold_entries.begin(), target.cold_entries.end(),
                this->entry) != target.cold_entries.end();
  return is_assigned && tracker.TakeColdRequest(target.name, per_s, now);
}

void TargetChooser::RecordPrompt(const std::string& service,
                                 const std::string& model,
                                 double prompt_tokens) {
  double& mean = this->models[{service, model}].mean_prompt_tokens;
  mean += mean > 0 ? kPromptWeight * (prompt_tokens - mean) : prompt_tokens;
}

double TargetChooser::PredictFirstEventMs(const std::string& service,
                                          const std::string& model,
                                          double expected_ms) const {
  const auto known = this->models.find({service, model});
  return known == this->models.end()
             ? expected_ms
             : known->second.delays.Predict(expected_ms);
}

std::vector<TargetChooser::Candidate> TargetChooser::PlainCandidates(
    const std::vector<const TargetView*>& targets, const TargetTracker& tracker,
    TimePoint now) {
  std::uniform_real_distribution<double> noise(0, kTieBreakNoiseMs);
  std::vector<Candidate> candidates;
  for (const TargetView* target : targets) {
    Candidate candidate;
    candidate.target = target;
    candidate.load = tracker.Load(target->name);
    const TargetEstimate estimate = this->EstimateOf(*target, now);
    const double load = static_cast<double>(candidate.load);
    if (candidate.load >= kMaxPlainRequests &&
        load + 1 > estimate.request_limit) {
      continue;
    }
    candidate.published_ms = kPlainRequestMs * load;
    candidate.expected_ms = this->learner == nullptr
                                ? candidate.published_ms
                                : LearntDelayMs(candidate, estimate);
    candidate.score = candidate.expected_ms + noise(this->random);
    candidate.score +=
        target->data_centre == this->data_centre ? 0 : kRemotePenaltyMs;
    const double own = tracker.OwnRequests(target->name);
    const bool is_probe = estimate.is_probe_due && candidate.load == 0;
    const bool is_slow = estimate.time_factor >= kSlowPlainFactor && !is_probe;
    const bool is_beyond_limit = load + 1 > estimate.request_limit ||
                                 own + 1 > estimate.own_limit || is_slow;
    candidate.score += is_beyond_limit ? kBeyondLimitPenaltyMs : 0;
    candidate.score +=
        tracker.IsAvoided(target->name, now) ? kAvoidedPenaltyMs : 0;
    candidates.push_back(candidate);
  }
  std::sort(
      candidates.begin(), candidates.end(),
      [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
  return candidates;
}

std::optional<TargetChooser::Candidate> TargetChooser::MeasureHead(
    const TargetView& head, const ChoiceRequest& request,
    const EngineProfile& engine, const ModelProfile& model,
    const TargetTracker& tracker, const TargetEstimate& estimate) const {
  Candidate candidate;
  candidate.target = &head;
  candidate.load = tracker.Load(head.name);
  const double load = static_cast<double>(candidate.load);
  const bool is_probe = estimate.is_probe_due && candidate.load == 0;
  const double learnt_factor = is_probe ? 1 : estimate.time_factor;
  const double published_wait_ms =
      model.time_factor *
      PrefillMs(engine, load, tracker.PendingPrefillTokens(head.name));
  candidate.published_ms =
      published_wait_ms + SlotWaitMs(engine, model, candidate.load) +
      model.time_factor *
          (PrefillMs(engine, load, request.prompt_tokens) +
           static_cast<double>(engine.stride) * DecodeStepMs(engine, load));
  const double prefill_wait_ms = learnt_factor * published_wait_ms;
  candidate.expected_ms = learnt_factor * candidate.published_ms;
  const auto history = this->models.find({request.service, request.model});
  const double typical_tokens = history == this->models.end()
                                    ? request.prompt_tokens
                                    : history->second.mean_prompt_tokens;
  candidate.typical_ms = learnt_factor * model.time_factor *
                         PrefillMs(engine, load, std::max(1.0, typical_tokens));
  const bool is_late = !request.time_to_objective_ms.has_value();
  const double slots = static_cast<double>(engine.slots);
  const double slot_limit = is_late && !request.is_resumed
                                ? kLateSlotShare * slots
                                : slots + kMaxBeyondSlots;
  const double slot_room =
      WithoutReserve(slot_limit, request.reserved_requests) - load;
  const double max_prefill_wait_ms =
      WithoutReserve(request.max_prefill_wait_ms,
                     request.reserved_requests * candidate.typical_ms);
  double prefill_room_ms = max_prefill_wait_ms - prefill_wait_ms;
  if (!is_late) {
    const double predicted_ms = this->PredictFirstEventMs(
        request.service, request.model, candidate.expected_ms);
    prefill_room_ms =
        std::min(prefill_room_ms, *request.time_to_objective_ms - predicted_ms);
  }
  if (slot_room <= 0 || prefill_room_ms < 0) {
    return std::nullopt;
  }
  const double prefill_room =
      (prefill_room_ms + kPrefillPerRoundMs) / candidate.typical_ms;
  candidate.room = std::min(slot_room, std::max(1.0, prefill_room));
  return candidate;
}

double TargetChooser::Contenders(const ChoiceRequest& request) const {
  if (request.is_resumed) {
    // A lost group breaks off streams of all entries at the same time.
    return this->room_share.entries() * static_cast<double>(request.waiting);
  }
  return this->room_share.Contenders(request.Pool(), request.waiting);
}

void TargetChooser::Spread(std::vector<Candidate>& heads, double contenders) {
  std::vector<double> delays_ms;
  double typical_ms = 0;
  for (const Candidate& head : heads) {
    const bool is_local = head.target->data_centre == this->data_centre;
    delays_ms.push_back(head.expected_ms + (is_local ? 0 : kRemotePenaltyMs));
    typical_ms += head.typical_ms / static_cast<double>(heads.size());
  }
  const std::vector<double> weights =
      SpreadWeights(delays_ms, contenders * typical_ms);
  // The least of exponential variables is the one of a head with a probability
  // in proportion to its weight.
  std::exponential_distribution<double> draw(1);
  for (std::size_t number = 0; number < heads.size(); ++number) {
    heads[number].score = weights[number] > 0
                              ? draw(this->random) / weights[number]
                              : std::numeric_limits<double>::max();
  }
  std::sort(
      heads.begin(), heads.end(),
      [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
}

std::vector<TargetChooser::Candidate> TargetChooser::HeadsWithRoom(
    const std::vector<const TargetView*>& heads, const ChoiceRequest& request,
    const EngineProfile& engine, const ModelProfile& model,
    const TargetTracker& tracker, TimePoint now) const {
  std::vector<Candidate> candidates;
  std::vector<const TargetView*> slow;
  std::size_t usable = 0;
  for (const TargetView* head : heads) {
    if (tracker.IsAvoided(head->name, now)) {
      continue;
    }
    usable += 1;
    const TargetEstimate estimate = this->EstimateOf(*head, now);
    const std::optional<Candidate> candidate =
        this->MeasureHead(*head, request, engine, model, tracker, estimate);
    if (candidate.has_value()) {
      candidates.push_back(*candidate);
    } else if (estimate.time_factor > 1) {
      slow.push_back(head);
    }
  }
  // A request that can still be on time waits for a head that is not slow, if
  // there is one. All others are better served slowly than refused.
  const bool is_on_time = request.time_to_objective_ms.has_value();
  if (is_on_time && slow.size() < usable) {
    return candidates;
  }
  for (const TargetView* head : slow) {
    std::optional<Candidate> candidate = this->MeasureHead(
        *head, request, engine, model, tracker, TargetEstimate());
    if (candidate.has_value()) {
      candidate->expected_ms *= this->EstimateOf(*head, now).time_factor;
      candidates.push_back(*candidate);
    }
  }
  return candidates;
}

std::vector<TargetChooser::Candidate> TargetChooser::HeadCandidates(
    const std::vector<const TargetView*>& heads, const ChoiceRequest& request,
    const EngineProfile& engine, const ModelProfile& model,
    const TargetTracker& tracker, TimePoint now) {
  std::vector<Candidate> candidates =
      this->HeadsWithRoom(heads, request, engine, model, tracker, now);
  double room = 0;
  for (const Candidate& candidate : candidates) {
    room += candidate.room;
  }
  const double contenders = this->Contenders(request);
  if (!this->room_share.MaySend(request.Pool(), room, request.waiting,
                                contenders, now)) {
    return {};
  }
  this->Spread(candidates, contenders);
  return candidates;
}

std::vector<const TargetView*> TargetChooser::UsableTargets(
    const std::vector<const TargetView*>& targets, const ChoiceRequest& request,
    const TargetTracker& tracker, TimePoint now, Choice& choice) {
  const TargetNotices& notices = tracker.notices();
  std::vector<const TargetView*> usable;
  const bool are_all_leaving =
      !targets.empty() &&
      std::all_of(targets.begin(), targets.end(),
                  [&notices](const TargetView* target) {
                    return notices.IsLeaving(target->Incarnation());
                  });
  choice.reason =
      are_all_leaving ? ChoiceFailure::kLeaving : ChoiceFailure::kNoTarget;
  for (const TargetView* target : targets) {
    const TargetIncarnation incarnation = target->Incarnation();
    if (notices.IsLeaving(incarnation)) {
      continue;
    }
    const std::optional<TimePoint> paused_until =
        notices.PausedUntil(incarnation, now);
    if (paused_until.has_value()) {
      const bool is_first = choice.reason != ChoiceFailure::kPaused;
      choice.reason = ChoiceFailure::kPaused;
      choice.resumes_at =
          is_first ? *paused_until : std::min(choice.resumes_at, *paused_until);
    } else if (!request.HasTried(target->name)) {
      usable.push_back(target);
    }
  }
  if (usable.empty()) {
    return usable;
  }
  choice.reason = ChoiceFailure::kFull;
  usable.erase(std::remove_if(usable.begin(), usable.end(),
                              [&tracker, &notices](const TargetView* target) {
                                const std::optional<std::uint32_t> limit =
                                    notices.RequestLimit(target->Incarnation());
                                return limit.has_value() &&
                                       tracker.OwnRequests(target->name) >=
                                           *limit;
                              }),
               usable.end());
  return usable;
}

Choice TargetChooser::Choose(const ChoiceRequest& request,
                             const FleetView& view, TargetTracker& tracker,
                             double cold_factor, TimePoint now) {
  const RouteTable& table = *view.routes();
  const Service* service = table.configuration().FindService(request.service);
  const bool is_plain = service != nullptr && !service->engine.has_value();
  const ModelProfile* model = service == nullptr || is_plain
                                  ? nullptr
                                  : service->engine->FindModel(request.model);
  Choice choice;
  if (model == nullptr && !is_plain) {
    choice.reason = ChoiceFailure::kNotConfigured;
    return choice;
  }
  const std::vector<const TargetView*> targets =
      UsableTargets(is_plain ? view.PlainTargets(request.service)
                             : view.Heads(request.service, *model),
                    request, tracker, now, choice);
  if (targets.empty()) {
    return choice;
  }
  const std::vector<Candidate> candidates =
      model == nullptr
          ? this->PlainCandidates(targets, tracker, now)
          : this->HeadCandidates(targets, request, *service->engine, *model,
                                 tracker, now);
  const double cold_rate = service->cold_requests_per_s * cold_factor *
                           kColdRateShare / static_cast<double>(kColdEntries);
  for (const Candidate& candidate : candidates) {
    if (!this->TakeColdRequest(*candidate.target, tracker, cold_rate, now)) {
      continue;
    }
    if (model != nullptr) {
      this->room_share.RecordSent(request.Pool());
    }
    choice.target = candidate.target;
    choice.reason = ChoiceFailure::kNone;
    choice.load = candidate.load;
    choice.expected_ms = candidate.expected_ms;
    choice.published_ms = candidate.published_ms;
    if (this->learner != nullptr) {
      this->learner->RecordSent(candidate.target->Incarnation(), now);
    }
    return choice;
  }
  return choice;
}

}  // namespace gooseberryturn::direct
