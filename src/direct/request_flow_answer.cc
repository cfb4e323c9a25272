#include <algorithm>
#include <utility>

#include "gooseberryturn/direct/entry_host.h"
#include "gooseberryturn/direct/request_flow.h"
#include "gooseberryturn/observe/log.h"
#include "header_text.h"

namespace gooseberryturn::direct {

namespace http = boost::beast::http;
using observe::Level;
using observe::LogEvent;

namespace {

constexpr int kOk = 200;
constexpr unsigned kFirstRedirection = 300;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr std::size_t kMaxLoggedHeaderBytes = 64;
constexpr char kEventStream[] = "text/event-stream";

}  // namespace

// ---------------------------------------------------------------------- answer

void RequestFlow::EndPrefill() {
  this->entry.target_tracker.EndPrefill(
      this->target, std::exchange(this->pending_prefill_tokens, 0));
}

void RequestFlow::OnProgress(TimePoint now) {
  this->entry.target_tracker.RecordProgress(this->target, now);
  this->last_progress_at = now;
  // The target is no longer silent, so no other one is needed.
  this->LeaveQueue();
}

void RequestFlow::RecordNotices(const ResponseHead& head, TimePoint now) {
  const int status = static_cast<int>(head.result_int());
  if (status == kMisdirected) {
    // Another target may be at the address: it says nothing of this one.
    return;
  }
  TargetNotices& notices = this->entry.target_tracker.notices();
  const bool is_leaving =
      ToView(head[this->entry.dialect.headers.leaving]) == kLeavingValue;
  if (is_leaving && notices.RecordLeaving(this->target_incarnation)) {
    this->entry.metrics.Add(observe::Metric::kTargetsLeaving);
    LogEvent(Level::kInfo, this->caller_attempt_id, "target_leaving",
             {{"target", this->target}, {"status", std::to_string(status)}});
  }
  if (status == kServiceUnavailable) {
    this->RecordPause(head, now);
  } else if (status < kServerError) {
    notices.RecordGoodAnswer(this->target_incarnation, now);
  }
}

void RequestFlow::RecordPause(const ResponseHead& head, TimePoint now) {
  const std::string_view text = ToView(head[http::field::retry_after]);
  const RequestedPause pause = ReadPause(text);
  if (pause.state == PauseState::kNone) {
    return;
  }
  observe::Metrics& metrics = this->entry.metrics;
  TimePoint until = now;
  if (pause.state == PauseState::kIgnored) {
    metrics.Add(observe::Metric::kTargetPausesIgnored);
  } else {
    until = this->entry.target_tracker.notices().RecordPause(
        this->target_incarnation, now + pause.time);
    metrics.Add(observe::Metric::kTargetPauses);
    metrics.Add(observe::Metric::kTargetPausesBounded,
                pause.state == PauseState::kBounded ? 1 : 0);
  }
  LogEvent(Level::kInfo, this->caller_attempt_id, "target_pause",
           {{"target", this->target},
            {"retry_after", std::string(text.substr(0, kMaxLoggedHeaderBytes))},
            {"as", std::string(kPauseStateNames.Name(pause.state))},
            {"pauses_ms", std::to_string(WholeMs(until - now))}});
}

void RequestFlow::OnHead(const ResponseHead& head) {
  const TimePoint now = Clock::now();
  this->OnProgress(now);
  this->RecordNotices(head, now);
  this->answer_head = head;
  const HeaderNames& names = this->entry.dialect.headers;
  const std::string_view content_type = ToView(head[http::field::content_type]);
  // An answer with a Content-Encoding is not taken for the target's own.
  this->is_streaming =
      head.result_int() == kOk && this->route->kind == RouteKind::kStreaming &&
      !head[names.target_marker].empty() &&
      head[http::field::content_encoding].empty() &&
      content_type.substr(0, sizeof(kEventStream) - 1) == kEventStream;
}

void RequestFlow::OnBody(std::string_view bytes) {
  const TimePoint now = Clock::now();
  this->OnProgress(now);
  this->EndPrefill();
  if (this->attempt_began_at == TimePoint()) {
    this->attempt_began_at = now;
  }
  if (!this->is_streaming) {
    this->answer_body.append(bytes);
    if (this->answer_body.size() > kMaxBufferedBytes) {
      this->connection->Reject("the answer is too long");
    } else {
      (void)this->HoldBytes(this->answer_body.size());
    }
    return;
  }
  const bool is_bounded = this->splitter.Feed(
      bytes, [this](const StreamEvent& event) { this->OnEvent(event); });
  if (!is_bounded) {
    this->connection->Reject("an event is too long");
  } else if (!this->HoldBytes(this->splitter.incomplete_event().size())) {
    return;
  } else if (this->caller->unsent_bytes() > CallerConnection::kHighWaterBytes) {
    this->SetPaused(true);
  }
}

void RequestFlow::SetPaused(bool paused) {
  if (this->is_paused == paused) {
    return;
  }
  const TimePoint now = Clock::now();
  this->is_paused = paused;
  this->is_gap_paused = true;
  this->entry.target_tracker.SetPaused(this->target, paused, now);
  if (!paused) {
    this->last_progress_at = now;
    this->ExtendInputEnd(now);
  }
  if (this->connection != nullptr) {
    this->connection->SetPaused(paused);
  }
}

bool RequestFlow::HoldBytes(std::size_t bytes) {
  if (this->connection == nullptr || this->answer_share.Resize(bytes)) {
    return true;
  }
  this->entry.metrics.Add(observe::Metric::kMemoryFull);
  LogEvent(Level::kWarn, this->caller_attempt_id, "memory_full",
           {{"target", this->target}, {"bytes", std::to_string(bytes)}});
  this->connection->Cancel();
  return false;
}

void RequestFlow::OnEvent(const StreamEvent& event) {
  const bool is_repeated = event.id.has_value() &&
                           this->last_event_id.has_value() &&
                           *event.id <= *this->last_event_id;
  if (is_repeated || this->is_done) {
    return;
  }
  const TimePoint now = Clock::now();
  this->ObserveEvent(now);
  if (!this->is_head_sent) {
    this->is_head_sent = true;
    this->first_event_at = now;
    this->MeterFirstEvent(now);
    if (this->FindModel() != nullptr) {
      this->entry.chooser.RecordFirstEvent(
          this->service, this->model, this->expected_first_event_ms,
          static_cast<double>(WholeMs(now - this->attempt_started_at)));
    }
    this->caller->BeginChunks(this->SerializeAnswerHead());
    this->entry.metrics.Observe(observe::Timing::kFirstByte,
                                now - this->received_at);
  } else {
    this->longest_event_gap =
        std::max(this->longest_event_gap, now - this->last_event_at);
  }
  this->last_event_at = now;
  if (event.id.has_value()) {
    this->last_event_id = event.id;
  }
  this->event_count += 1;
  this->ExtendInputEnd(now);
  this->caller->SendChunk(event.bytes);
}

void RequestFlow::OnEnd(ExchangeEnd end, const std::string& cause) {
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  const std::shared_ptr<TargetConnection> used =
      std::exchange(this->connection, nullptr);
  this->LeaveQueue();
  this->MeterEnd(end, used.get());
  const TimePoint now = Clock::now();
  const bool is_rejected =
      end == ExchangeEnd::kComplete &&
      !this->answer_head[this->entry.dialect.headers.not_executed].empty();
  const bool is_too_late = end == ExchangeEnd::kNotSent &&
                           now >= this->entry.LatestEnd(this->deadline);
  const bool is_broken_off = this->is_streaming &&
                             end == ExchangeEnd::kComplete &&
                             !this->splitter.incomplete_event().empty();
  HealthSignal signal = HealthSignal::kBad;
  if (end == ExchangeEnd::kCancelled || is_rejected || is_too_late) {
    signal = HealthSignal::kNone;
  } else if (end == ExchangeEnd::kComplete && !is_broken_off) {
    signal = HealthSignal::kGood;
  }
  this->EndPrefill();
  this->SetPaused(false);
  this->entry.target_tracker.EndRequest(this->target, signal, now);
  this->entry.target_pool.Release(
      this->target, used, this->entry.MaxIdleConnections(this->service));
  if (this->is_done) {
    return;
  }
  this->ObserveAnswerEnd(end, end == ExchangeEnd::kComplete && !is_broken_off,
                         now);
  if (end == ExchangeEnd::kCut || is_broken_off) {
    this->ReportCut(true);
  } else if (end == ExchangeEnd::kComplete && !is_rejected &&
             this->answer_head.result_int() < kFirstRedirection) {
    this->RecordAnswered(now);
  }
  if (this->is_streaming) {
    this->OnStreamEnd(end, cause);
  } else if (end == ExchangeEnd::kComplete) {
    this->OnCompleteAnswer();
  } else {
    this->OnAttemptFailed(cause, end != ExchangeEnd::kNotSent);
  }
  this->entry.DispatchQueued();
}

void RequestFlow::OnStreamEnd(ExchangeEnd end, const std::string& cause) {
  // An answer without a length ends when its connection closes: one that stops
  // in the middle of an event is incomplete.
  const bool has_whole_events = this->splitter.incomplete_event().empty();
  if (end != ExchangeEnd::kComplete || !has_whole_events) {
    this->OnAttemptFailed(
        has_whole_events ? cause : "stream ended in the middle of an event",
        true);
    return;
  }
  if (!this->is_head_sent) {
    this->is_head_sent = true;
    this->caller->BeginChunks(this->SerializeAnswerHead());
  }
  this->caller->EndChunks();
  if (this->FindEngine() != nullptr) {
    const double tokens = static_cast<double>(this->event_count) *
                          static_cast<double>(this->FindEngine()->stride);
    this->entry.demand.RecordAnswer(this->route->name, tokens);
    this->entry.lengths.RecordAnswer(this->route->name, this->length_hint,
                                     tokens);
  }
  this->entry.metrics.Add(observe::Metric::kAnswers);
  this->Finish("served");
}

void RequestFlow::OnCompleteAnswer() {
  const HeaderNames& names = this->entry.dialect.headers;
  const int status = static_cast<int>(this->answer_head.result_int());
  const bool is_not_executed =
      status == kMisdirected || !this->answer_head[names.not_executed].empty();
  if (is_not_executed) {
    this->OnAttemptFailed("not_run_" + std::to_string(status), false);
    return;
  }
  const bool is_success = status >= kOk && status < 300;
  // An answer without the marker, or with a Content-Encoding, is not taken for
  // the target's own.
  const bool is_from_target =
      !this->answer_head[names.target_marker].empty() &&
      this->answer_head[http::field::content_encoding].empty();
  if (this->is_head_sent || (is_success && !is_from_target)) {
    this->OnAttemptFailed("unusable_" + std::to_string(status), true);
    return;
  }
  if (status >= kServerError && this->route->IsIdempotent() &&
      this->TryTakeRetry(true)) {
    LogEvent(Level::kInfo, this->caller_attempt_id, "try_failed",
             {{"target", this->target}, {"end", std::to_string(status)}});
    this->possible_executions += 1;
    this->queue_deadline =
        std::min(this->deadline, Clock::now() + kMaxQueueTime);
    this->Dispatch();
    return;
  }
  this->ForwardAnswer();
}

bool RequestFlow::MayRetry(bool may_have_executed) const {
  if (may_have_executed &&
      (!this->route->IsIdempotent() || this->is_trial ||
       this->possible_executions + 1 >= this->route->max_executions)) {
    return false;
  }
  return Clock::now() < this->entry.LatestEnd(this->deadline) &&
         !this->has_input_ended && this->tried_targets.size() < kMaxAttempts;
}

bool RequestFlow::HasRetry(bool may_have_executed) const {
  return this->MayRetry(may_have_executed) &&
         this->entry.RetryBudgetOf(this->service).HasRetry();
}

bool RequestFlow::TryTakeRetry(bool may_have_executed) {
  const bool is_allowed = this->MayRetry(may_have_executed) &&
                          this->entry.RetryBudgetOf(this->service).TakeRetry();
  if (is_allowed) {
    this->entry.metrics.CountRetry(may_have_executed ? Reason::kAnswerCut
                                                     : Reason::kTargetBusy);
  }
  return is_allowed;
}

void RequestFlow::OnAttemptFailed(const std::string& cause,
                                  bool may_have_executed) {
  const TimePoint now = Clock::now();
  if (may_have_executed && !this->IsKnownSound(now)) {
    this->not_before = now + kSuspicionDelay;
  }
  const bool is_retried =
      !this->tried_targets.empty() && this->TryTakeRetry(may_have_executed);
  LogEvent(Level::kInfo, this->caller_attempt_id, "try_failed",
           {{"target", this->target},
            {"why", cause},
            {"may_have_run", may_have_executed ? "true" : "false"},
            {"events", std::to_string(this->event_count)},
            {"again", is_retried ? "true" : "false"}});
  this->possible_executions += may_have_executed ? 1 : 0;
  if (!is_retried) {
    this->GiveUp();
    return;
  }
  this->queue_deadline = std::min(this->deadline, now + kMaxQueueTime);
  this->Dispatch();
}

void RequestFlow::ForwardAnswer() {
  this->entry.metrics.Add(observe::Metric::kAnswers);
  this->caller->SendAnswer(this->SerializeAnswerHead(), this->answer_body);
  this->caller->HoldUntilSent(std::move(this->answer_share));
  this->Finish("answered_" + std::to_string(this->answer_head.result_int()));
}

std::string RequestFlow::SerializeAnswerHead() const {
  std::string lines = "HTTP/1.1 " +
                      std::to_string(this->answer_head.result_int()) + " " +
                      std::string(this->answer_head.reason()) + "\r\n";
  for (const http::fields::value_type& field : this->answer_head) {
    const std::string_view name = ToView(field.name_string());
    if (!IsHopByHopHeader(name)) {
      lines.append(name).append(": ").append(ToView(field.value()));
      lines += "\r\n";
    }
  }
  return lines;
}

}  // namespace gooseberryturn::direct
