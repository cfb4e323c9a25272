#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <utility>

#include "gooseberryturn/direct/crash_tracker.h"
#include "gooseberryturn/direct/entry_host.h"
#include "gooseberryturn/direct/request_content.h"
#include "gooseberryturn/direct/request_flow.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

namespace http = boost::beast::http;
using observe::Level;
using observe::LogEvent;

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// Share of a request's total time that one attempt may take on an idempotent
/// route without streaming, measured from the start of the attempt even while
/// bytes arrive. An attempt that takes longer is abandoned if a retry is
/// allowed. Two such attempts take less than the total time.
constexpr double kAttemptTimeShare = 0.42;
/// Bounds of the Retry-After, which is drawn at random between them.
constexpr double kMinRetryAfterS = 0.15;
constexpr double kMaxRetryAfterS = 0.7;
/// The Retry-After is rounded to this.
constexpr double kRetryAfterStepS = 0.01;
/// Upper bound of the Retry-After as a share of the remaining time. Callers
/// honour one of at most a third of their remaining time.
constexpr double kRetryAfterShare = 0.25;
}  // namespace

// --------------------------------------------------------------- completion

void RequestFlow::GiveUp() {
  if (this->is_done) {
    return;
  }
  if (this->is_head_sent) {
    this->caller->Abort();
    this->Finish("cut");
  } else if (this->possible_executions > 0) {
    this->Refuse(kBadGateway, Reason::kOutcomeUnknown);
  } else {
    this->Refuse(kUnavailable, Reason::kOverloaded);
  }
}

bool RequestFlow::EndIfPaused(TimePoint resumes_at) {
  if (this->IsMoving()) {
    return false;
  }
  if (this->is_head_sent && resumes_at < this->queue_deadline) {
    return false;
  }
  this->LeaveQueue();
  if (this->is_head_sent || this->possible_executions > 0) {
    this->GiveUp();
  } else {
    this->retry_at = resumes_at;
    this->Refuse(kUnavailable, Reason::kTargetPaused);
  }
  return true;
}

double RequestFlow::RetryAfterSeconds(Reason reason) {
  const TimePoint now = Clock::now();
  if (reason == Reason::kTargetPaused) {
    return std::chrono::duration<double>(this->retry_at - now).count();
  }
  if (reason == Reason::kLeaving) {
    // Another entry may take at once what this one no longer takes.
    return 0;
  }
  if (reason == Reason::kQuarantined) {
    return std::chrono::duration<double>(CrashTracker::kQuarantineTime).count();
  }
  const double remaining_s =
      std::chrono::duration<double>(this->deadline - now).count();
  const double max_s = std::max(0.0, remaining_s) * kRetryAfterShare;
  const double return_time_s =
      reason == Reason::kOverloaded ? this->ReturnTimeSeconds(now) : 0;
  if (return_time_s > kMaxRetryAfterS) {
    const double latest_s = std::min(return_time_s, max_s);
    std::uniform_real_distribution<double> draw(
        std::min(kMinRetryAfterS, latest_s), latest_s);
    return draw(this->entry.random);
  }
  std::uniform_real_distribution<double> draw(kMinRetryAfterS, kMaxRetryAfterS);
  return std::min(draw(this->entry.random), max_s);
}

double RequestFlow::ReturnTimeSeconds(TimePoint now) {
  const AdmissionReserve* reserve = this->entry.FindReserve(this->QueueKey());
  if (reserve == nullptr) {
    return 0;
  }
  const int priority = this->Priority();
  // Requests of its own priority wait before it, too.
  const int less_urgent =
      priority < std::numeric_limits<int>::max() ? priority + 1 : priority;
  const double waiting_ms =
      this->entry.wait_queue.MoreUrgentMs(this->QueueKey(), less_urgent, now);
  return std::chrono::duration<double>(
             reserve->ReturnTime(priority, waiting_ms, now))
      .count();
}

void RequestFlow::RecordOverload(TimePoint now) {
  AdmissionReserve* reserve = this->entry.FindReserve(this->QueueKey());
  if (reserve != nullptr) {
    reserve->RecordRefusal(this->engine_ms, now);
  }
  if (this->entry.HasIdleRoom(this->service, this->model, now)) {
    this->entry.metrics.Add(observe::Metric::kRefusalsWithRoom);
    LogEvent(Level::kWarn, this->caller_attempt_id, "refused_with_room",
             {{"route", this->route->name},
              {"model", this->model},
              {"tries", std::to_string(this->tried_targets.size())}});
  }
}

void RequestFlow::Refuse(int status, Reason reason) {
  const http::status code = http::int_to_status(static_cast<unsigned>(status));
  std::string lines = "HTTP/1.1 " + std::to_string(status) + " " +
                      std::string(http::obsolete_reason(code)) + "\r\n";
  if (!this->caller_attempt_id.empty()) {
    lines += this->entry.dialect.headers.attempt + ": " +
             this->caller_attempt_id + "\r\n";
  }
  if (status == kUnavailable) {
    const double retry_after_s = this->RetryAfterSeconds(reason);
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", retry_after_s);
    lines += std::string("Retry-After: ") + text.data() + "\r\n";
    if (reason == Reason::kOverloaded) {
      this->RecordOverload(Clock::now());
    }
    if (reason == Reason::kOverloaded && this->IsOrderedByPriority()) {
      this->entry.early_retries.Record(
          this->Fingerprint(),
          Clock::now() + FromSeconds(retry_after_s - kRetryAfterStepS));
    }
  }
  this->caller->SendAnswer(std::move(lines), "");
  this->entry.metrics.CountRefusal(reason);
  this->Finish("refused_" + std::to_string(status) + "_" +
               std::string(kReasonNames.Name(reason)));
}

void RequestFlow::CancelAttempt(HealthSignal signal) {
  if (this->connection != nullptr) {
    this->ReportCut(this->IsTargetStalled(Clock::now()));
  }
  const std::shared_ptr<TargetConnection> used =
      std::exchange(this->connection, nullptr);
  if (used != nullptr) {
    this->MeterEnd(ExchangeEnd::kCancelled, used.get());
    this->ObserveAbandoned(Clock::now());
    this->attempt_number += 1;
    this->EndPrefill();
    this->SetPaused(false);
    this->entry.target_tracker.EndRequest(this->target, signal, Clock::now());
    used->Cancel();
  }
}

void RequestFlow::CancelPendingWork() {
  this->LeaveQueue();
  this->CancelAttempt(HealthSignal::kNone);
}

void RequestFlow::Finish(const std::string& outcome) {
  if (this->is_done) {
    return;
  }
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->is_done = true;
  this->CancelPendingWork();
  if (this->entry.usage_meter.has_value()) {
    this->entry.usage_meter->EndRequest(this->flow_id);
  }
  this->caller->on_disconnected = nullptr;
  this->caller->on_input_end = nullptr;
  this->caller->on_writable = nullptr;
  const auto elapsed_ms = [this](TimePoint time) {
    return time == TimePoint()
               ? std::string()
               : std::to_string(WholeMs(time - this->received_at));
  };
  const std::int64_t total_ms = WholeMs(Clock::now() - this->received_at);
  LogEvent(
      Level::kInfo, this->caller_attempt_id, "request_ended",
      {{"outcome", outcome},
       {"route", this->route == nullptr ? "" : this->route->name},
       {"model", this->model},
       {"parts", JoinNames(this->shared_parts)},
       {"target", this->target},
       {"tries", std::to_string(this->tried_targets.size())},
       {"runs", std::to_string(this->possible_executions)},
       {"events", std::to_string(this->event_count)},
       {"waited_ms", elapsed_ms(this->first_attempt_at)},
       {"first_event_ms", elapsed_ms(this->first_event_at)},
       {"longest_pause_ms", std::to_string(WholeMs(this->longest_event_gap))},
       {"ms", std::to_string(total_ms)},
       {"load", std::to_string(this->load_at_choice)},
       {"expected_ms", std::to_string(static_cast<std::int64_t>(
                           this->expected_first_event_ms))},
       {"predicted_ms", std::to_string(static_cast<std::int64_t>(
                            this->predicted_first_event_ms))},
       {"sent_late", this->is_sent_late ? "true" : "false"},
       {"waiting", std::to_string(this->entry.wait_queue.size())},
       {"view_age_ms", std::to_string(this->entry.ViewAgeMs())},
       {"config_version", std::to_string(this->entry.view.version())}});
  this->entry.metrics.Observe(observe::Timing::kRequest,
                              Clock::now() - this->received_at);
  this->entry.metrics.Add(observe::Metric::kInFlight, -1);
  this->entry.RemoveFlow(this->flow_id);
}

bool RequestFlow::OnInputEnd() {
  this->has_input_ended = true;
  this->ExtendInputEnd(Clock::now());
  const bool is_stream = this->route->kind == RouteKind::kStreaming;
  const bool is_being_answered =
      this->IsMoving() && (!is_stream || this->is_head_sent);
  if (!is_being_answered) {
    this->EndAfterInput();
  }
  return true;
}

bool RequestFlow::IsInputEndOver(TimePoint now) const {
  const bool is_plain = this->route->kind != RouteKind::kStreaming;
  const bool must_run_once = is_plain && !this->route->IsIdempotent();
  // While it is paused, bytes are on their way to the caller.
  return this->has_input_ended && !must_run_once && !this->is_paused &&
         now >= this->input_end_deadline;
}

void RequestFlow::EndAfterInput() {
  this->possible_executions += this->connection != nullptr ? 1 : 0;
  this->CancelPendingWork();
  if (this->is_head_sent) {
    this->caller->Abort();
    this->Finish("cut_input_ended");
  } else {
    this->Refuse(this->possible_executions > 0 ? kBadGateway : kUnavailable,
                 Reason::kInputEnded);
  }
}

void RequestFlow::Abort() {
  if (this->is_done) {
    return;
  }
  if (this->connection != nullptr) {
    this->possible_executions += 1;
  }
  this->CancelPendingWork();
  this->GiveUp();
}

void RequestFlow::Tick(TimePoint now) {
  if (this->is_done || (this->is_queued && this->RefuseIfTooLate())) {
    return;
  }
  if (now >= this->deadline) {
    if (this->is_head_sent) {
      this->caller->Abort();
      this->Finish("deadline");
    } else if (this->connection != nullptr || this->possible_executions > 0) {
      this->Refuse(kGatewayTimeout, Reason::kDeadline);
    } else {
      this->Refuse(kUnavailable, Reason::kDeadline);
    }
    return;
  }
  if (this->IsInputEndOver(now)) {
    this->EndAfterInput();
    return;
  }
  if (this->is_held) {
    this->TickHeld(now);
    return;
  }
  if (this->connection != nullptr && this->IsTargetStalled(now)) {
    this->ReportCut(true);
  }
  const bool may_move = this->connection != nullptr && !this->is_queued &&
                        this->route->IsIdempotent();
  if (may_move && this->IsAttemptLost(now) && this->HasRetry(true)) {
    // The attempt goes on until another target takes the request.
    this->queue_deadline = std::min(this->deadline, now + kMaxQueueTime);
    this->Dispatch();
  }
}

bool RequestFlow::IsTargetStalled(TimePoint now) const {
  return !this->is_paused &&
         this->entry.target_tracker.IsStalled(this->target, now);
}

bool RequestFlow::IsAttemptLost(TimePoint now) const {
  if (this->route->kind == RouteKind::kStreaming) {
    const bool is_group_broken = this->entry.view.IsBroken(this->target);
    const bool is_stream_stalled =
        now >= this->last_progress_at + kStreamStallTimeout &&
        this->IsTargetStalled(now);
    return is_group_broken || is_stream_stalled;
  }
  const Duration limit = std::chrono::duration_cast<Duration>(
      kAttemptTimeShare * (this->deadline - this->received_at));
  return now >= this->attempt_started_at + limit;
}

bool RequestFlow::TryLeaveTarget(TimePoint now) {
  if (!this->TryTakeRetry(true)) {
    return false;
  }
  LogEvent(
      Level::kInfo, this->caller_attempt_id, "target_given_up",
      {{"target", this->target},
       {"events", std::to_string(this->event_count)},
       {"silent_ms", std::to_string(WholeMs(now - this->last_progress_at))}});
  this->possible_executions += 1;
  this->CancelAttempt(HealthSignal::kBad);
  return true;
}

void RequestFlow::LeaveQueue() {
  if (!this->is_queued) {
    return;
  }
  this->entry.wait_queue.Remove(this->flow_id);
  this->is_queued = false;
}

void RequestFlow::OnQueueExpired() {
  this->is_queued = false;
  if (this->connection == nullptr) {
    this->GiveUp();
  }
}

}  // namespace gooseberryturn::direct
