#include "gooseberryturn/direct/entry_host.h"
#include "gooseberryturn/direct/request_flow.h"

namespace gooseberryturn::direct {

namespace {

constexpr unsigned kMisdirected = 421;
constexpr unsigned kServerError = 500;
constexpr unsigned kServiceUnavailable = 503;

double FractionalMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

// ---------------------------------------- what the target's answers tell of it

void RequestFlow::ObserveEvent(TimePoint now) {
  if (!this->entry.settings.learns_capacity || this->FindModel() == nullptr) {
    return;
  }
  CapacityLearner& learner = this->entry.capacity_learner;
  const bool is_first = this->attempt_event_at == TimePoint();
  if (is_first && !this->is_head_sent) {
    const double predicted_ms = this->entry.chooser.PredictFirstEventMs(
        this->service, this->model, this->published_first_event_ms);
    learner.ObserveFirstEvent(this->target_incarnation, predicted_ms,
                              FractionalMs(now - this->attempt_started_at),
                              now);
  } else if (!is_first && !this->is_gap_paused) {
    const TargetTracker& tracker = this->entry.target_tracker;
    EventGap gap;
    gap.began_at = this->attempt_event_at;
    gap.expected_ms = EventGapMs(*this->FindEngine(), *this->FindModel(),
                                 tracker.Load(this->target),
                                 tracker.PendingPrefillTokens(this->target));
    learner.ObserveEventGap(this->target_incarnation, gap, now);
  }
  this->attempt_event_at = now;
  this->is_gap_paused = false;
}

void RequestFlow::ObserveAnswerEnd(ExchangeEnd end, bool is_whole,
                                   TimePoint now) {
  if (!this->entry.settings.learns_capacity || end == ExchangeEnd::kCancelled ||
      end == ExchangeEnd::kNotSent) {
    return;
  }
  const unsigned status = this->answer_head.result_int();
  if (is_whole && status == kMisdirected) {
    // Another target may be at the address: it says nothing of this one.
    return;
  }
  const bool is_not_executed =
      !this->answer_head[this->entry.dialect.headers.not_executed].empty();
  const bool has_failed = !is_whole || status >= kServerError;
  CapacityLearner& learner = this->entry.capacity_learner;
  if (this->FindEngine() != nullptr) {
    // A cut is handled by TargetTracker and the leader.
    if (is_whole && has_failed && !is_not_executed) {
      learner.ObserveFailure(this->target_incarnation, now);
    }
    return;
  }
  if (is_whole && is_not_executed) {
    if (status == kServiceUnavailable) {
      learner.ObserveRefusal(this->target_incarnation, this->load_at_choice,
                             now);
    }
    return;
  }
  PlainAnswer answer;
  answer.service = this->service;
  answer.time_ms = FractionalMs(now - this->attempt_started_at);
  answer.load = this->load_at_choice;
  answer.has_failed = has_failed;
  learner.ObserveAnswer(this->target_incarnation, answer, now);
}

void RequestFlow::ObserveAbandoned(TimePoint now) {
  if (!this->entry.settings.learns_capacity || this->FindEngine() != nullptr) {
    return;
  }
  PlainAnswer answer;
  answer.service = this->service;
  answer.time_ms = FractionalMs(now - this->attempt_started_at);
  answer.load = this->load_at_choice;
  answer.is_unfinished = true;
  this->entry.capacity_learner.ObserveAnswer(this->target_incarnation, answer,
                                             now);
}

}  // namespace gooseberryturn::direct
