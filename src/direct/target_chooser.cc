#include "gooseberryturn/direct/target_chooser.h"

#include <algorithm>

namespace gooseberryturn::direct {

namespace {

constexpr double kMsPerSecond = 1000.0;
/// Bytes between data centres have a price: a little more load is borne at
/// home before a request goes elsewhere.
constexpr double kAwayPenaltyMs = 12.0;
constexpr double kTieNoiseMs = 4.0;
/// An avoided target is used only when there is no other.
constexpr double kAvoidedPenaltyMs = 100'000.0;
constexpr double kPlainRequestMs = 10.0;
/// Share of a head's slots that requests may fill which are late already: the
/// rest is for those that can still be on time.
constexpr double kLateSlotShare = 0.85;
/// Share of a cold target's rate that all entries together use.
constexpr double kColdShare = 0.8;
/// A view may name fewer entries than there are.
constexpr double kLeastEntries = 8;

/// A target that could take the request.
struct Candidate {
  const TargetView* target = nullptr;
  std::uint32_t load = 0;
  double expected_ms = 0;
  double score = 0;
};

/// Milliseconds of a step that writes one token for each writer.
double StepMs(const EngineProfile& engine, double load) {
  const double writers = std::min(load, static_cast<double>(engine.slots));
  return engine.step_ms + engine.per_sequence_ms * writers;
}

/// Milliseconds until `tokens` of prompts are read: between two pieces of
/// prompts the engine writes `stride` tokens for its writers.
double ReadMs(const EngineProfile& engine, double load, double tokens) {
  const double plain =
      kMsPerSecond / std::max(1.0, engine.prefill_tokens_per_s);
  const double writing =
      load > 0 ? static_cast<double>(engine.stride) * StepMs(engine, load) /
                     std::max(1.0, engine.prefill_chunk_tokens)
               : 0;
  return tokens * (plain + writing);
}

/// Milliseconds until a slot is free for one that comes behind `load` others.
double SlotWaitMs(const EngineProfile& engine, const ModelProfile& model,
                  std::uint32_t load) {
  if (load < engine.slots) {
    return 0;
  }
  const double slots = static_cast<double>(engine.slots);
  const double ahead = static_cast<double>(load - engine.slots) + 1;
  const double hold_ms =
      model.time_factor * engine.mean_output_tokens * StepMs(engine, slots);
  return ahead * hold_ms / slots;
}

}  // namespace

double FirstEventMs(const EngineProfile& engine, const ModelProfile& model,
                    double prompt_tokens) {
  const double load = static_cast<double>(engine.slots);
  return model.time_factor *
         (ReadMs(engine, load, prompt_tokens) +
          static_cast<double>(engine.stride) * StepMs(engine, load));
}

double EngineMs(const EngineProfile& engine, const ModelProfile& model,
                double prompt_tokens, double answer_tokens) {
  const double slots =
      static_cast<double>(std::max<std::size_t>(1, engine.slots));
  const double read_ms =
      kMsPerSecond * prompt_tokens / std::max(1.0, engine.prefill_tokens_per_s);
  const double write_ms = answer_tokens * StepMs(engine, slots) / slots;
  return model.time_factor * (read_ms + write_ms);
}

Choice TargetChooser::Choose(const ChoiceRequest& request,
                             const FleetView& view, TargetTracker& book,
                             double cold_factor, TimePoint now) {
  const RouteTable& table = *view.routes();
  const Service* service = table.configuration().FindService(request.service);
  Choice choice;
  choice.reason = NoChoice::kNoTarget;
  if (service == nullptr) {
    return choice;
  }
  const ModelProfile* model =
      service->engine ? service->engine->FindModel(request.model) : nullptr;
  const std::vector<const TargetView*> candidates =
      service->engine ? view.Heads(request.service, request.model)
                      : view.PlainTargets(request.service);
  std::vector<Candidate> scored;
  std::uniform_real_distribution<double> noise(0, kTieNoiseMs);
  for (const TargetView* target : candidates) {
    if (std::find(request.tried.begin(), request.tried.end(), target->name) !=
        request.tried.end()) {
      continue;
    }
    const std::uint32_t load = book.Load(target->name);
    const bool is_avoided = book.IsAvoided(target->name, now);
    bool is_full = load >= kPlainLimit;
    double expected = kPlainRequestMs * static_cast<double>(load);
    if (model != nullptr) {
      const EngineProfile& engine = *service->engine;
      const double queue_ms =
          model->time_factor * ReadMs(engine, load, book.Unread(target->name));
      expected =
          queue_ms + SlotWaitMs(engine, *model, load) +
          model->time_factor *
              (ReadMs(engine, load, request.prompt_tokens) +
               static_cast<double>(engine.stride) * StepMs(engine, load));
      const bool is_late = !request.on_time_within_ms.has_value();
      const double places = static_cast<double>(engine.slots);
      const bool has_place = is_late && !request.is_resumed
                                 ? load < kLateSlotShare * places
                                 : load < engine.slots + kBeyondSlots;
      const bool is_in_time = is_late || this->delays.Predict(expected) <=
                                             *request.on_time_within_ms;
      is_full = is_avoided || !has_place || queue_ms > request.most_queue_ms ||
                !is_in_time;
    }
    if (is_full) {
      choice.reason = NoChoice::kFull;
      continue;
    }
    double score = expected + noise(this->random);
    score += target->data_centre == this->data_centre ? 0 : kAwayPenaltyMs;
    score += is_avoided ? kAvoidedPenaltyMs : 0;
    scored.push_back({target, load, expected, score});
  }
  std::sort(
      scored.begin(), scored.end(),
      [](const Candidate& a, const Candidate& b) { return a.score < b.score; });
  const double entries =
      std::max(kLeastEntries, static_cast<double>(view.entries()));
  const double cold_rate =
      service->cold_requests_per_s * cold_factor * kColdShare / entries;
  for (const Candidate& candidate : scored) {
    const bool is_limited = candidate.target->is_cold && cold_rate > 0;
    if (is_limited && !book.TakeCold(candidate.target->name, cold_rate, now)) {
      choice.reason = NoChoice::kFull;
      continue;
    }
    return {candidate.target, NoChoice::kNone, candidate.load,
            candidate.expected_ms};
  }
  return choice;
}

}  // namespace gooseberryturn::direct
