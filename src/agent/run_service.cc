#include "gooseberryturn/agent/run_service.h"

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

tl::unexpected<Error> NotRun(Reason reason, const std::string& message) {
  return tl::make_unexpected(
      Error{reason, Step::kAdmit, Outcome::kNotRun, std::string(), message});
}

}  // namespace

RunService::RunService(boost::asio::io_context& context, Endpoint target,
                       target::Monitor& monitor, observe::Metrics& metrics)
    : context(context),
      target(std::move(target)),
      monitor(monitor),
      metrics(metrics) {}

void RunService::Start(link::Listener& listener) {
  listener.Serve(protocol::kRunPath,
                 [this](const std::shared_ptr<link::Stream>& stream) {
                   this->OnStream(stream);
                 });
  listener.ServeMessage(
      protocol::kAttemptPath,
      [this](const std::shared_ptr<link::Stream>& stream,
             std::string_view payload) { this->OnQuery(stream, payload); });
}

void RunService::Configure(const config::Service& next) {
  this->service = next;
  this->gate.Configure(next);
  this->metrics.Set(observe::Metric::kConcurrencyLimit,
                    this->gate.load().limit);
}

void RunService::StartCold() {
  this->gate.StartCold();
  this->metrics.Set(observe::Metric::kConcurrencyLimit,
                    this->gate.load().limit);
}

// ---------------------------------------------------------------- hand-over

void RunService::OnStream(const std::shared_ptr<link::Stream>& stream) {
  const RunPtr run = std::make_shared<Run>();
  run->stream = stream;
  stream->on_frame = [this, run](FrameType type, std::string_view payload) {
    this->OnFrame(run, type, payload);
  };
  stream->on_peer_end = [this, run] { this->OnBodyEnd(run); };
  stream->on_writable = [this, run] {
    if (run->exchange != nullptr && !this->is_held) {
      run->exchange->Resume();
    }
  };
  stream->on_close = [this, run](link::CloseReason /*reason*/) {
    this->OnEntryGone(run);
  };
}

void RunService::OnFrame(const RunPtr& run, FrameType type,
                         std::string_view payload) {
  if (run->is_over) {
    return;
  }
  if (type == FrameType::kMessage && !run->has_order) {
    const std::optional<protocol::HandOver> order =
        protocol::Decode<protocol::HandOver>(payload);
    if (!order.has_value()) {
      this->Refuse(run, NotRun(Reason::kBadRequest, "not a hand-over").value());
      return;
    }
    run->order = *order;
    run->has_order = true;
    run->deadline = Clock::now() + Milliseconds(order->remaining_ms);
    const std::uint64_t limit =
        static_cast<std::uint64_t>(this->service.limits.max_body_bytes);
    if (order->body_bytes > limit) {
      this->Refuse(run,
                   NotRun(Reason::kTooLarge, "the body is too long").value());
    }
    return;
  }
  const bool is_expected =
      type == FrameType::kBody && run->has_order &&
      run->body.size() + payload.size() <= run->order.body_bytes;
  if (!is_expected) {
    this->Refuse(run,
                 NotRun(Reason::kBadRequest, "an unexpected frame").value());
    return;
  }
  run->body.append(payload);
}

void RunService::OnBodyEnd(const RunPtr& run) {
  if (run->is_over || run->exchange != nullptr) {
    return;
  }
  const bool is_whole =
      run->has_order && run->body.size() == run->order.body_bytes;
  if (!is_whole) {
    this->Refuse(run, NotRun(Reason::kBadRequest, "the body was cut").value());
    return;
  }
  this->HandOver(run);
}

Result<void> RunService::BeginAttempt(const Run& run, TimePoint now) {
  if (run.order.idempotent || this->attempts.Begin(run.order.attempt, now)) {
    return {};
  }
  const protocol::AttemptReply known =
      this->attempts.Query(run.order.attempt, now);
  Error error =
      NotRun(Reason::kTombstone, "the attempt was seen before").value();
  if (known.state != protocol::AttemptState::kNeverRun) {
    error.outcome = Outcome::kUnknown;
  }
  return tl::make_unexpected(error);
}

Result<void> RunService::TakeSuspect(const Run& run) {
  if (!run.order.suspect) {
    return {};
  }
  for (const RunPtr& other : this->runs) {
    if (other->order.suspect) {
      return NotRun(Reason::kTargetBusy, "another suspect request is running");
    }
  }
  return {};
}

void RunService::HandOver(const RunPtr& run) {
  const TimePoint now = Clock::now();
  run->order.remaining_ms = RemainingMs(run->deadline, now);
  const Result<void> suspect = this->TakeSuspect(*run);
  if (!suspect.has_value()) {
    this->Refuse(run, suspect.error());
    return;
  }
  const Result<admission::Reservation> admitted =
      this->gate.Admit(run->order, this->standing());
  if (!admitted.has_value()) {
    this->Refuse(run, admitted.error());
    return;
  }
  const Result<void> begun = this->BeginAttempt(*run, now);
  if (!begun.has_value()) {
    this->gate.Release(*admitted);
    this->Refuse(run, begun.error());
    return;
  }
  run->reservation = *admitted;
  run->admitted_at = now;
  target::Request request;
  request.path = run->order.path;
  request.content_type = run->order.content_type;
  request.request_id = run->order.request_id;
  request.key = run->order.key;
  request.fence = run->order.fence;
  request.body = std::move(run->body);
  run->exchange = std::make_shared<target::Exchange>(
      this->context, this->target, std::move(request), run->deadline);
  run->exchange->on_head = [this, run](int status, const std::string& type) {
    this->OnHead(run, status, type);
  };
  run->exchange->on_body = [this, run](std::string_view bytes) {
    this->OnBody(run, bytes);
  };
  run->exchange->on_done = [this, run](const Result<void>& result) {
    this->OnDone(run, result);
  };
  this->runs.insert(run);
  this->metrics.Add(observe::Metric::kRequests);
  this->metrics.Set(observe::Metric::kInFlight, this->gate.load().in_flight);
  this->metrics.Set(observe::Metric::kReservedTokens,
                    this->gate.reserved_tokens());
  run->exchange->Start();
}

// ------------------------------------------------------------------ answers

void RunService::OnHead(const RunPtr& run, int status,
                        const std::string& type) {
  run->first_token = Clock::now() - run->admitted_at;
  run->kept.status = status;
  run->kept.content_type = type;
  run->stream->Send(protocol::EncodeFrame(
      FrameType::kMessage,
      protocol::Encode(protocol::AnswerHead{status, type})));
}

void RunService::Keep(const RunPtr& run, std::string_view bytes) {
  protocol::KeptAnswer& kept = run->kept;
  if (run->order.idempotent || !kept.is_kept) {
    return;
  }
  if (kept.body.size() + bytes.size() >
      admission::AttemptTable::kMaxAnswerBytes) {
    kept.DropBody();
    return;
  }
  kept.body.append(bytes);
}

void RunService::OnBody(const RunPtr& run, std::string_view bytes) {
  if (run->length == 0) {
    run->first_token = Clock::now() - run->admitted_at;
  }
  Keep(run, bytes);
  run->stream->Send(protocol::EncodeChunk(run->length, bytes));
  run->length += bytes.size();
  run->digest.Update(bytes);
  const bool is_full =
      !run->stream->is_closed() &&
      run->stream->unsent_bytes() >= link::Stream::kHighWaterBytes;
  if (is_full || this->is_held) {
    run->exchange->Pause();
  }
}

void RunService::OnDone(const RunPtr& run, const Result<void>& result) {
  run->is_over = true;
  this->runs.erase(run);
  this->gate.Release(run->reservation);
  Error error;
  if (result.has_value()) {
    this->gate.Completed(run->first_token);
    this->metrics.Add(observe::Metric::kAnswers);
  } else {
    error = result.error();
    if (error.reason == Reason::kTargetFailed) {
      this->monitor.SawFailure();
    }
  }
  if (!run->order.idempotent) {
    if (result.has_value()) {
      this->attempts.Finished(run->order.attempt, run->kept);
    } else if (error.outcome == Outcome::kNotRun) {
      this->attempts.NotRun(run->order.attempt);
    } else {
      this->attempts.Failed(run->order.attempt);
    }
  }
  this->metrics.Set(observe::Metric::kInFlight, this->gate.load().in_flight);
  this->metrics.Set(observe::Metric::kReservedTokens,
                    this->gate.reserved_tokens());
  this->metrics.Set(observe::Metric::kConcurrencyLimit,
                    this->gate.load().limit);
  this->SendEnd(run, error);
  run->exchange = nullptr;
  if (this->on_idle_change) {
    this->on_idle_change();
  }
}

void RunService::Refuse(const RunPtr& run, Error error) {
  run->is_over = true;
  run->body.clear();
  this->SendEnd(run, error);
}

void RunService::SendEnd(const RunPtr& run, const Error& error) {
  if (error.reason != Reason::kNone) {
    this->metrics.CountRefusal(error.reason);
    LogEvent(Level::kInfo, run->order.request_id, "refused",
             observe::FieldsOf(error));
  }
  protocol::AnswerEnd end;
  end.error = protocol::ToWire(error);
  end.length = run->length;
  end.digest = run->digest.Hex();
  end.load = this->gate.load();
  if (error.reason == Reason::kTargetFailed) {
    end.target_death = this->monitor.boot_number();
  }
  run->stream->Send(
      protocol::EncodeFrame(FrameType::kEnd, protocol::Encode(end)));
  run->stream->Finish();
}

void RunService::OnEntryGone(const RunPtr& run) {
  const std::shared_ptr<target::Exchange> exchange = run->exchange;
  if (run->is_over || exchange == nullptr) {
    run->is_over = true;
    return;
  }
  if (run->order.idempotent) {
    exchange->Cancel({Reason::kLinkLost, Step::kRelay, Outcome::kUnknown,
                      run->stream->peer(), "the entry gave up"});
    return;
  }
  // A call that may not be repeated runs to its end, for whoever asks later.
  exchange->Resume();
}

// -------------------------------------------------------------------- group

void RunService::HoldAnswers(bool held) {
  this->is_held = held;
  for (const RunPtr& run : this->runs) {
    if (!held && run->stream->unsent_bytes() < link::Stream::kHighWaterBytes) {
      run->exchange->Resume();
    } else if (held) {
      run->exchange->Pause();
    }
  }
}

void RunService::CutModelRuns(Reason reason, const std::string& message) {
  if (this->service.kind != config::ServiceKind::kModel) {
    return;
  }
  const std::vector<RunPtr> cut(this->runs.begin(), this->runs.end());
  for (const RunPtr& run : cut) {
    run->exchange->Cancel(
        {reason, Step::kEngine, Outcome::kUnknown, std::string(), message});
  }
}

void RunService::OnQuery(const std::shared_ptr<link::Stream>& stream,
                         std::string_view payload) {
  const std::optional<protocol::AttemptQuery> query =
      protocol::Decode<protocol::AttemptQuery>(payload);
  if (!query.has_value()) {
    stream->Cancel();
    return;
  }
  protocol::AttemptReply reply;
  if (query->incarnation == this->standing().incarnation) {
    reply = this->attempts.Query(query->attempt, Clock::now());
  }
  link::Reply(*stream, reply);
}

}  // namespace gooseberryturn::agent
