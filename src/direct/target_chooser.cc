#include "gooseberryturn/direct/target_chooser.h"

#include <algorithm>

#include "gooseberryturn/direct/cold_entries.h"

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
/// Share of a group head's slots that late requests may fill; the rest is kept
/// for requests that can still be on time.
constexpr double kLateSlotShare = 0.85;
/// Share of a cold target's rate limit that all entries together use.
constexpr double kColdRateShare = 0.8;

/// A target that can take the request.
struct Candidate {
  const TargetView* target = nullptr;
  std::uint32_t load = 0;
  double expected_ms = 0;
  double score = 0;  ///< The lowest wins.
};

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

double TargetChooser::PredictFirstEventMs(const std::string& service,
                                          const std::string& model,
                                          double expected_ms) const {
  const auto known = this->delays.find({service, model});
  return known == this->delays.end() ? expected_ms
                                     : known->second.Predict(expected_ms);
}

Choice TargetChooser::Choose(const ChoiceRequest& request,
                             const FleetView& view, TargetTracker& tracker,
                             double cold_factor, TimePoint now) {
  const RouteTable& table = *view.routes();
  const Service* service = table.configuration().FindService(request.service);
  Choice choice;
  choice.reason = ChoiceFailure::kNoTarget;
  if (service == nullptr) {
    return choice;
  }
  const ModelProfile* model =
      service->engine ? service->engine->FindModel(request.model) : nullptr;
  const std::vector<const TargetView*> candidates =
      service->engine ? view.Heads(request.service, request.model)
                      : view.PlainTargets(request.service);
  std::vector<Candidate> scored;
  std::uniform_real_distribution<double> noise(0, kTieBreakNoiseMs);
  for (const TargetView* target : candidates) {
    if (std::find(request.tried_targets.begin(), request.tried_targets.end(),
                  target->name) != request.tried_targets.end()) {
      continue;
    }
    const std::uint32_t load = tracker.Load(target->name);
    const bool is_avoided = tracker.IsAvoided(target->name, now);
    bool is_unavailable = load >= kMaxPlainRequests;
    double expected_ms = kPlainRequestMs * static_cast<double>(load);
    if (model != nullptr) {
      const EngineProfile& engine = *service->engine;
      const double prefill_wait_ms =
          model->time_factor *
          PrefillMs(engine, load, tracker.PendingPrefillTokens(target->name));
      expected_ms =
          prefill_wait_ms + SlotWaitMs(engine, *model, load) +
          model->time_factor *
              (PrefillMs(engine, load, request.prompt_tokens) +
               static_cast<double>(engine.stride) * DecodeStepMs(engine, load));
      const bool is_late = !request.time_to_objective_ms.has_value();
      const double slots = static_cast<double>(engine.slots);
      const bool has_slot = is_late && !request.is_resumed
                                ? load < kLateSlotShare * slots
                                : load < engine.slots + kMaxBeyondSlots;
      const bool is_on_time =
          is_late || this->PredictFirstEventMs(request.service, request.model,
                                               expected_ms) <=
                         *request.time_to_objective_ms;
      is_unavailable = is_avoided || !has_slot ||
                       prefill_wait_ms > request.max_prefill_wait_ms ||
                       !is_on_time;
    }
    if (is_unavailable) {
      choice.reason = ChoiceFailure::kFull;
      continue;
    }
    double score = expected_ms + noise(this->random);
    score += target->data_centre == this->data_centre ? 0 : kRemotePenaltyMs;
    score += is_avoided ? kAvoidedPenaltyMs : 0;
    scored.push_back({target, load, expected_ms, score});
  }
  std::sort(
      scored.begin(), scored.end(),
      [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
  const double cold_rate = service->cold_requests_per_s * cold_factor *
                           kColdRateShare / static_cast<double>(kColdEntries);
  for (const Candidate& candidate : scored) {
    if (!this->TakeColdRequest(*candidate.target, tracker, cold_rate, now)) {
      choice.reason = ChoiceFailure::kFull;
      continue;
    }
    return {candidate.target, ChoiceFailure::kNone, candidate.load,
            candidate.expected_ms};
  }
  return choice;
}

}  // namespace gooseberryturn::direct
