#include "gooseberryturn/agent/request_executor.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"
#include "gooseberryturn/protocol/frame.h"

namespace gooseberryturn::agent {

using observe::Level;
using observe::LogEvent;
using protocol::FrameType;

namespace {

tl::unexpected<Error> NotRunError(Reason reason, const std::string& message) {
  return tl::make_unexpected(
      Error{reason, Step::kAdmit, Outcome::kNotRun, std::string(), message});
}

}  // namespace

RequestExecutor::RequestExecutor(boost::asio::io_context& context,
                                 Endpoint target, target::Monitor& monitor,
                                 observe::Metrics& metrics)
    : context(context),
      target(std::move(target)),
      monitor(monitor),
      metrics(metrics) {}

void RequestExecutor::Start(link::Listener& listener) {
  listener.Serve(protocol::kRunPath,
                 [this](const std::shared_ptr<link::Stream>& stream) {
                   this->OnStream(stream);
                 });
  listener.ServeMessage(protocol::kAttemptPath,
                        [this](const std::shared_ptr<link::Stream>& stream,
                               std::string_view payload) {
                          this->OnAttemptQuery(stream, payload);
                        });
}

void RequestExecutor::Configure(const config::Service& new_service) {
  this->service = new_service;
  this->admission_controller.Configure(new_service);
  this->metrics.Set(observe::Metric::kConcurrencyLimit,
                    this->admission_controller.load().limit);
}

void RequestExecutor::StartCold() {
  this->admission_controller.StartCold();
  this->metrics.Set(observe::Metric::kConcurrencyLimit,
                    this->admission_controller.load().limit);
}

// ---------------------------------------------------------------- hand-over

void RequestExecutor::OnStream(const std::shared_ptr<link::Stream>& stream) {
  const ExecutionPtr execution = std::make_shared<Execution>();
  execution->stream = stream;
  stream->on_frame = [this, execution](FrameType type,
                                       std::string_view payload) {
    this->OnFrame(execution, type, payload);
  };
  stream->on_peer_end = [this, execution] { this->OnBodyEnd(execution); };
  stream->on_writable = [this, execution] {
    if (execution->exchange != nullptr && !this->is_paused) {
      execution->exchange->Resume();
    }
  };
  stream->on_close = [this, execution](link::CloseReason /*reason*/) {
    this->OnStreamClose(execution);
  };
}

void RequestExecutor::OnFrame(const ExecutionPtr& execution, FrameType type,
                              std::string_view payload) {
  if (execution->is_finished) {
    return;
  }
  if (type == FrameType::kMessage && !execution->has_hand_over) {
    const std::optional<protocol::HandOver> hand_over =
        protocol::Decode<protocol::HandOver>(payload);
    if (!hand_over.has_value()) {
      this->Refuse(execution,
                   NotRunError(Reason::kBadRequest,
                               "the first message is not a hand-over")
                       .value());
      return;
    }
    execution->hand_over = *hand_over;
    execution->has_hand_over = true;
    execution->deadline = Clock::now() + Milliseconds(hand_over->remaining_ms);
    const std::uint64_t limit =
        static_cast<std::uint64_t>(this->service.limits.max_body_bytes);
    if (hand_over->body_bytes > limit) {
      this->Refuse(
          execution,
          NotRunError(Reason::kTooLarge, "the body is too long").value());
    }
    return;
  }
  const bool is_expected = type == FrameType::kBody &&
                           execution->has_hand_over &&
                           execution->body.size() + payload.size() <=
                               execution->hand_over.body_bytes;
  if (!is_expected) {
    this->Refuse(execution,
                 NotRunError(Reason::kBadRequest,
                             "unexpected frame or too many body bytes")
                     .value());
    return;
  }
  execution->body.append(payload);
}

void RequestExecutor::OnBodyEnd(const ExecutionPtr& execution) {
  if (execution->is_finished || execution->exchange != nullptr) {
    return;
  }
  const bool is_complete =
      execution->has_hand_over &&
      execution->body.size() == execution->hand_over.body_bytes;
  if (!is_complete) {
    this->Refuse(execution,
                 NotRunError(Reason::kBadRequest,
                             "the request ended before its body was complete")
                     .value());
    return;
  }
  this->Dispatch(execution);
}

Result<void> RequestExecutor::BeginAttempt(const Execution& execution,
                                           TimePoint now) {
  if (execution.hand_over.idempotent ||
      this->attempt_table.Begin(execution.hand_over.attempt, now)) {
    return {};
  }
  const protocol::AttemptReply earlier =
      this->attempt_table.Query(execution.hand_over.attempt, now);
  Error error =
      NotRunError(Reason::kTombstone,
                  "the attempt is not new, or the table of attempts is full")
          .value();
  if (earlier.state != protocol::AttemptState::kNeverRun) {
    error.outcome = Outcome::kUnknown;
  }
  return tl::make_unexpected(error);
}

Result<void> RequestExecutor::CheckSuspectLimit(const Execution& execution) {
  if (!execution.hand_over.suspect) {
    return {};
  }
  for (const ExecutionPtr& other : this->executions) {
    if (other->hand_over.suspect) {
      return NotRunError(Reason::kTargetBusy,
                         "another suspect request is running");
    }
  }
  return {};
}

void RequestExecutor::Dispatch(const ExecutionPtr& execution) {
  const TimePoint now = Clock::now();
  execution->hand_over.remaining_ms = RemainingMs(execution->deadline, now);
  const Result<void> allowed = this->CheckSuspectLimit(*execution);
  if (!allowed.has_value()) {
    this->Refuse(execution, allowed.error());
    return;
  }
  const Result<admission::Reservation> admitted =
      this->admission_controller.Admit(execution->hand_over,
                                       this->agent_state());
  if (!admitted.has_value()) {
    this->Refuse(execution, admitted.error());
    return;
  }
  const Result<void> begun = this->BeginAttempt(*execution, now);
  if (!begun.has_value()) {
    this->admission_controller.Release(*admitted);
    this->Refuse(execution, begun.error());
    return;
  }
  execution->reservation = *admitted;
  execution->admitted_at = now;
  target::Request request;
  request.path = execution->hand_over.path;
  request.content_type = execution->hand_over.content_type;
  request.request_id = execution->hand_over.request_id;
  request.idempotency_key = execution->hand_over.key;
  request.fence = execution->hand_over.fence;
  request.body = std::move(execution->body);
  execution->exchange = std::make_shared<target::Exchange>(
      this->context, this->target, std::move(request), execution->deadline);
  // Leases may have ended since the request was admitted.
  execution->exchange->may_send = [this, execution] {
    return admission::CheckAgentState(execution->hand_over,
                                      this->agent_state());
  };
  execution->exchange->on_head = [this,
                                  execution](const target::ResponseHead& head) {
    this->OnHead(execution, head);
  };
  execution->exchange->on_body = [this, execution](std::string_view bytes) {
    this->OnBody(execution, bytes);
  };
  execution->exchange->on_done = [this, execution](const Result<void>& result) {
    this->OnDone(execution, result);
  };
  this->executions.insert(execution);
  this->metrics.Add(observe::Metric::kRequests);
  this->metrics.Set(observe::Metric::kInFlight,
                    this->admission_controller.load().in_flight);
  this->metrics.Set(observe::Metric::kReservedTokens,
                    this->admission_controller.reserved_tokens());
  execution->exchange->Start();
}

// ------------------------------------------------------------------ answers

void RequestExecutor::OnHead(const ExecutionPtr& execution,
                             const target::ResponseHead& head) {
  this->monitor.ObserveBoot(head.boot_name);
  execution->time_to_first_byte = Clock::now() - execution->admitted_at;
  execution->kept_answer.status = head.status;
  execution->kept_answer.content_type = head.content_type;
  execution->stream->Send(protocol::EncodeFrame(
      FrameType::kMessage,
      protocol::Encode(protocol::AnswerHead{head.status, head.content_type})));
}

void RequestExecutor::AppendToKeptAnswer(const ExecutionPtr& execution,
                                         std::string_view bytes) {
  protocol::KeptAnswer& kept = execution->kept_answer;
  if (execution->hand_over.idempotent || !kept.is_kept) {
    return;
  }
  if (kept.body.size() + bytes.size() >
      admission::AttemptTable::kMaxAnswerBytes) {
    kept.DropBody();
    return;
  }
  kept.body.append(bytes);
}

bool RequestExecutor::IsBufferFull(const Execution& execution) {
  // The bytes of a closed stream are never sent.
  return !execution.stream->is_closed() &&
         execution.stream->unsent_bytes() >= link::Stream::kHighWaterBytes;
}

void RequestExecutor::OnBody(const ExecutionPtr& execution,
                             std::string_view bytes) {
  if (execution->sent_bytes == 0) {
    execution->time_to_first_byte = Clock::now() - execution->admitted_at;
  }
  AppendToKeptAnswer(execution, bytes);
  execution->stream->Send(protocol::EncodeChunk(execution->sent_bytes, bytes));
  execution->sent_bytes += bytes.size();
  execution->digest.Update(bytes);
  if (IsBufferFull(*execution) || this->is_paused) {
    execution->exchange->Pause();
  }
}

void RequestExecutor::OnDone(const ExecutionPtr& execution,
                             const Result<void>& result) {
  execution->is_finished = true;
  this->executions.erase(execution);
  this->admission_controller.Release(execution->reservation);
  Error error;
  if (result.has_value()) {
    this->admission_controller.RecordCompletion(execution->time_to_first_byte);
    this->metrics.Add(observe::Metric::kAnswers);
  } else {
    error = result.error();
    if (error.reason == Reason::kTargetFailed) {
      this->monitor.ReportFailure();
    }
  }
  if (!execution->hand_over.idempotent) {
    if (result.has_value()) {
      this->attempt_table.MarkFinished(execution->hand_over.attempt,
                                       execution->kept_answer);
    } else if (error.outcome == Outcome::kNotRun) {
      this->attempt_table.MarkNeverRun(execution->hand_over.attempt);
    } else {
      this->attempt_table.MarkUnknown(execution->hand_over.attempt);
    }
  }
  this->metrics.Set(observe::Metric::kInFlight,
                    this->admission_controller.load().in_flight);
  this->metrics.Set(observe::Metric::kReservedTokens,
                    this->admission_controller.reserved_tokens());
  this->metrics.Set(observe::Metric::kConcurrencyLimit,
                    this->admission_controller.load().limit);
  this->SendEnd(execution, error);
  if (!execution->stream->is_closed()) {
    this->unsent_answers.insert(execution);
  }
  execution->exchange = nullptr;
  if (this->on_request_finished) {
    this->on_request_finished();
  }
}

bool RequestExecutor::HasUnsentAnswer(TimePoint now) const {
  return std::any_of(this->unsent_answers.begin(), this->unsent_answers.end(),
                     [now](const ExecutionPtr& execution) {
                       return now < execution->deadline;
                     });
}

void RequestExecutor::Refuse(const ExecutionPtr& execution, Error error) {
  execution->is_finished = true;
  execution->body.clear();
  this->SendEnd(execution, error);
}

void RequestExecutor::SendEnd(const ExecutionPtr& execution,
                              const Error& error) {
  if (error.reason != Reason::kNone) {
    this->metrics.CountRefusal(error.reason);
    LogEvent(Level::kInfo, execution->hand_over.request_id, "refused",
             observe::FieldsOf(error));
  }
  protocol::AnswerEnd end;
  end.error = protocol::ToWire(error);
  end.length = execution->sent_bytes;
  end.digest = execution->digest.Hex();
  end.load = this->admission_controller.load();
  if (error.reason == Reason::kTargetFailed) {
    end.target_death = this->monitor.boot_id();
  }
  execution->stream->Send(
      protocol::EncodeFrame(FrameType::kEnd, protocol::Encode(end)));
  execution->stream->Finish();
}

void RequestExecutor::OnStreamClose(const ExecutionPtr& execution) {
  this->unsent_answers.erase(execution);
  const std::shared_ptr<target::Exchange> exchange = execution->exchange;
  if (execution->is_finished || exchange == nullptr) {
    execution->is_finished = true;
    return;
  }
  if (execution->hand_over.idempotent) {
    exchange->Cancel({Reason::kLinkLost, Step::kRelay, Outcome::kUnknown,
                      execution->stream->peer(),
                      "the entry closed the stream"});
    return;
  }
  // A non-idempotent request continues, so that its outcome can be queried.
  exchange->Resume();
}

// -------------------------------------------------------------------- group

void RequestExecutor::PauseAnswers(bool paused) {
  if (paused == this->is_paused) {
    return;
  }
  this->is_paused = paused;
  // An answer may end when it is resumed, which changes `executions`.
  const std::vector<ExecutionPtr> changed(this->executions.begin(),
                                          this->executions.end());
  for (const ExecutionPtr& execution : changed) {
    const std::shared_ptr<target::Exchange> exchange = execution->exchange;
    if (exchange == nullptr) {
      continue;
    }
    if (paused) {
      exchange->Pause();
    } else if (!IsBufferFull(*execution)) {
      exchange->Resume();
    }
  }
}

void RequestExecutor::AbortModelRequests(Reason reason,
                                         const std::string& message) {
  if (this->service.kind != config::ServiceKind::kModel) {
    return;
  }
  const std::vector<ExecutionPtr> aborted(this->executions.begin(),
                                          this->executions.end());
  for (const ExecutionPtr& execution : aborted) {
    execution->exchange->Cancel(
        {reason, Step::kEngine, Outcome::kUnknown, std::string(), message});
  }
}

void RequestExecutor::OnAttemptQuery(
    const std::shared_ptr<link::Stream>& stream, std::string_view payload) {
  const std::optional<protocol::AttemptQuery> query =
      protocol::Decode<protocol::AttemptQuery>(payload);
  if (!query.has_value()) {
    stream->Cancel();
    return;
  }
  protocol::AttemptReply reply;
  if (query->incarnation == this->agent_state().incarnation) {
    reply = this->attempt_table.Query(query->attempt, Clock::now());
  }
  link::Reply(*stream, reply);
}

}  // namespace gooseberryturn::agent
