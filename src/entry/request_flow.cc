#include "gooseberryturn/entry/request_flow.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "gooseberryturn/control/command.h"
#include "gooseberryturn/core/id.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"
#include "gooseberryturn/protocol/frame.h"

namespace gooseberryturn::entry {

using observe::Level;
using observe::LogEvent;
using protocol::FrameType;

namespace {

constexpr std::size_t kBodyFrameBytes = 16U * 1024U;
constexpr std::size_t kChunkHeaderBytes =
    protocol::kFrameHeaderBytes + protocol::kChunkOffsetBytes;

bool IsBusy(Reason reason) {
  return reason == Reason::kTargetBusy || reason == Reason::kMemoryFull;
}

}  // namespace

RequestFlow::RequestFlow(FlowContext context,
                         std::shared_ptr<CallerSession> caller,
                         CallerRequest request, config::Service service,
                         config::Route route)
    : context(context),
      caller(std::move(caller)),
      request(std::move(request)),
      service(std::move(service)),
      route(std::move(route)),
      timer(context.io),
      deadline_timer(context.io) {}

void RequestFlow::Start() {
  const TimePoint now = Clock::now();
  this->started_at = now;
  this->room_until = now + kRoomLimit;
  this->record.idempotent = this->route.idempotent;
  this->record.deadline = now + Milliseconds(this->route.deadline_ms);
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->caller->on_gone = [self] { self->CallerGone(); };
  this->deadline_timer.expires_after(Milliseconds(this->route.deadline_ms));
  this->deadline_timer.async_wait(
      [self](const boost::system::error_code& error) {
        if (!error && !self->is_over) {
          self->OnDeadline();
        }
      });
  this->fingerprint = Digest(this->request.team + '\0' + this->request.path +
                             '\0' + this->request.body);
  if (!this->route.idempotent && this->request.key.empty()) {
    this->request.key = "entry-" + this->request.id;
  }
  const auto suspect =
      this->context.views.view().suspects.find(this->fingerprint);
  if (suspect != this->context.views.view().suspects.end()) {
    this->record.suspect = true;
    if (suspect->second.deaths >= protocol::kQuarantineDeaths) {
      this->Refuse(this->MakeError(
          Reason::kQuarantined, Step::kRoute, Outcome::kNotRun,
          "targets died of it: fingerprint " + this->fingerprint));
      return;
    }
  }
  this->context.budgets[this->service.name].FirstAttempt(
      this->service.retry_percent);
  this->Attempt();
}

void RequestFlow::After(Duration pause, std::function<void()> next) {
  this->timer.expires_after(pause);
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->timer.async_wait(
      [self, next = std::move(next)](const boost::system::error_code& error) {
        if (!error && !self->is_over) {
          next();
        }
      });
}

std::string RequestFlow::PeerName() const {
  return this->group.members.empty()
             ? std::string()
             : this->group.name + " at " + this->group.members.front().host;
}

Error RequestFlow::MakeError(Reason reason, Step step, Outcome outcome,
                             const std::string& message) const {
  return {reason, step, outcome, this->PeerName(), message};
}

Error RequestFlow::WithPeer(Error error) const {
  error.peer = this->PeerName();
  return error;
}

// ------------------------------------------------------------------- choice

void RequestFlow::Attempt() {
  const TimePoint now = Clock::now();
  if (!this->context.views.HasLease(now)) {
    this->WaitForRoom();
    return;
  }
  const protocol::Group* chosen = this->context.chooser.Choose(
      this->context.views.view(), this->service.name, this->excluded, now);
  if (chosen == nullptr) {
    this->WaitForRoom();
    return;
  }
  this->group = *chosen;
  this->attempt = RandomId();
  this->record.attempts += 1;
  this->record.suspect_attempts += this->record.suspect ? 1 : 0;
  this->is_outstanding = true;
  this->was_handed_over = false;
  this->check = stream::AnswerCheck();
  this->kept = protocol::KeptAnswer{};
  this->context.chooser.Sent(this->group, now);
  if (this->route.idempotent) {
    this->Open();
    return;
  }
  this->claim_until = now + kClaimLimit;
  this->Claim();
}

void RequestFlow::WaitForRoom() {
  const TimePoint now = Clock::now();
  if (now < this->room_until) {
    this->excluded.clear();
    this->After(kBusyPause, [this] { this->Attempt(); });
    return;
  }
  const bool has_view = this->context.views.HasLease(now);
  const auto& groups = this->context.views.view().groups;
  const bool has_group =
      std::any_of(groups.begin(), groups.end(), [this](const auto& entry) {
        return entry.second.service == this->service.name;
      });
  this->group = protocol::Group{};
  if (!has_view) {
    this->Refuse(this->MakeError(Reason::kNoView, Step::kRoute,
                                 Outcome::kNotRun,
                                 "this entry is cut off from control"));
  } else if (!has_group) {
    this->Refuse(
        this->MakeError(Reason::kNoTarget, Step::kRoute, Outcome::kNotRun,
                        "no group of " + this->service.name + " is formed"));
  } else {
    this->Refuse(
        this->MakeError(Reason::kOverloaded, Step::kRoute, Outcome::kNotRun,
                        "no group of " + this->service.name + " has room"));
  }
}

// ------------------------------------------------------- hand-over and relay

void RequestFlow::Open() {
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->context.channels.Get(this->group.members.front().link)
      ->Open(protocol::kRunPath,
             [self, opened_for = this->attempt](
                 const Result<std::shared_ptr<link::Stream>>& opened) {
               const bool is_stale =
                   self->is_over || self->attempt != opened_for;
               if (!opened.has_value()) {
                 if (!is_stale) {
                   self->AttemptFailed(opened.error());
                 }
                 return;
               }
               if (is_stale) {
                 (*opened)->Cancel();
                 return;
               }
               self->SendOrder(*opened);
             });
}

void RequestFlow::SendOrder(const std::shared_ptr<link::Stream>& opened) {
  this->stream = opened;
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  const std::uint64_t current = this->attempt;
  opened->EnableManualFlowControl();
  opened->on_frame = [self, current](FrameType type, std::string_view payload) {
    if (!self->is_over && self->attempt == current && self->stream != nullptr) {
      self->OnFrame(type, payload);
    }
  };
  opened->on_close = [self, current](link::CloseReason reason) {
    if (!self->is_over && self->attempt == current && self->stream != nullptr) {
      self->OnStreamClose(reason);
    }
  };
  protocol::HandOver order;
  order.request_id = this->request.id;
  order.attempt = this->attempt;
  order.team = this->request.team;
  order.service = this->service.name;
  order.path = this->request.path;
  order.content_type = this->request.content_type;
  order.key = this->route.idempotent ? std::string() : this->request.key;
  order.idempotent = this->route.idempotent;
  order.group = this->group.name;
  order.fence = this->group.fence;
  order.incarnation = this->group.members.front().incarnation;
  order.remaining_ms = RemainingMs(this->record.deadline, Clock::now());
  order.body_bytes = this->request.body.size();
  order.suspect = this->record.suspect;
  this->was_handed_over = true;
  opened->Send(
      protocol::EncodeFrame(FrameType::kMessage, protocol::Encode(order)));
  const std::string_view body = this->request.body;
  for (std::size_t start = 0; start < body.size(); start += kBodyFrameBytes) {
    opened->Send(protocol::EncodeFrame(FrameType::kBody,
                                       body.substr(start, kBodyFrameBytes)));
  }
  opened->Finish();
}

void RequestFlow::OnFrame(FrameType type, std::string_view payload) {
  switch (type) {
    case FrameType::kMessage:
      this->stream->Consume(protocol::kFrameHeaderBytes + payload.size());
      this->OnHead(payload);
      break;
    case FrameType::kChunk:
      this->stream->Consume(kChunkHeaderBytes);
      this->OnChunk(payload);
      break;
    case FrameType::kEnd:
      this->OnEnd(payload);
      break;
    case FrameType::kBody:
      break;
  }
}

void RequestFlow::OnHead(std::string_view payload) {
  const std::optional<protocol::AnswerHead> decoded =
      protocol::Decode<protocol::AnswerHead>(payload);
  if (decoded.has_value()) {
    this->head = *decoded;
    this->check.Begin();
  }
}

void RequestFlow::OnChunk(std::string_view payload) {
  const Result<std::string_view> bytes = this->check.Take(payload);
  if (!bytes.has_value()) {
    this->AttemptFailed(this->WithPeer(bytes.error()));
    return;
  }
  if (this->route.idempotent) {
    this->RelayPiece(*bytes);
    return;
  }
  this->stream->Consume(bytes->size());
  if (this->kept.body.size() + bytes->size() > kMaxKeptBytes) {
    this->AttemptFailed(
        this->MakeError(Reason::kAnswerCut, Step::kRelay, Outcome::kUnknown,
                        "the answer is longer than can be kept for a resend"));
    return;
  }
  this->kept.body.append(*bytes);
}

void RequestFlow::RelayPiece(std::string_view bytes) {
  if (!this->caller->has_started()) {
    this->record.head_sent = true;
    this->context.metrics.Observe(observe::Timing::kFirstByte,
                                  Clock::now() - this->started_at);
    const std::weak_ptr<RequestFlow> weak = this->weak_from_this();
    this->caller->on_written = [weak](std::size_t size) {
      const std::shared_ptr<RequestFlow> self = weak.lock();
      if (self != nullptr && self->stream != nullptr) {
        self->stream->Consume(size);
      }
    };
    this->caller->StartStream(this->head.status, this->head.content_type);
  }
  this->context.metrics.Add(observe::Metric::kAnswerBytes,
                            static_cast<std::int64_t>(bytes.size()));
  this->caller->SendPiece(bytes);
}

void RequestFlow::OnEnd(std::string_view payload) {
  const std::optional<protocol::AnswerEnd> end =
      protocol::Decode<protocol::AnswerEnd>(payload);
  if (!end.has_value()) {
    this->AttemptFailed(this->MakeError(Reason::kAnswerCut, Step::kRelay,
                                        Outcome::kUnknown, "no end"));
    return;
  }
  this->context.chooser.Reported(this->group.name, end->load, Clock::now());
  if (end->error.reason != Reason::kNone) {
    this->ReportDeath(end->target_death);
    this->AttemptFailed(this->WithPeer(protocol::FromWire(end->error)));
    return;
  }
  const Result<void> whole = this->check.Finish(*end);
  if (!whole.has_value()) {
    this->AttemptFailed(this->WithPeer(whole.error()));
    return;
  }
  this->AttemptDone();
}

void RequestFlow::OnStreamClose(link::CloseReason reason) {
  const bool is_refused = reason == link::CloseReason::kRefused;
  this->stream = nullptr;
  this->AttemptFailed(this->MakeError(
      is_refused ? Reason::kLeaving : Reason::kLinkLost, Step::kRelay,
      is_refused ? Outcome::kNotRun : Outcome::kUnknown,
      "stream " + std::string(link::kCloseReasonNames.Name(reason))));
}

// ---------------------------------------------------------- end of an attempt

void RequestFlow::CloseAttempt() {
  if (this->is_outstanding) {
    this->is_outstanding = false;
    this->context.chooser.Done(this->group.name);
  }
  if (this->stream != nullptr) {
    const std::shared_ptr<link::Stream> open = std::move(this->stream);
    this->stream = nullptr;
    open->Cancel();
  }
}

void RequestFlow::AttemptDone() {
  // The peer has ended the stream; nothing is left to cancel.
  this->stream = nullptr;
  this->CloseAttempt();
  if (this->record.suspect) {
    this->ReportDeath(0);
  }
  if (!this->route.idempotent) {
    this->kept.status = this->head.status;
    this->kept.content_type = this->head.content_type;
    const protocol::KeptAnswer answer = this->kept;
    this->Settle(this->MakeSettle(this->attempt, Outcome::kRan, answer),
                 Clock::now() + kSettleLimit,
                 [this, answer] { this->GiveKept(answer, false); });
    return;
  }
  this->context.metrics.Add(observe::Metric::kAnswers);
  this->context.metrics.Observe(observe::Timing::kRequest,
                                Clock::now() - this->started_at);
  if (this->caller->has_started()) {
    this->caller->FinishStream();
  } else {
    this->caller->Answer(this->head.status, this->head.content_type,
                         std::string(), std::string());
  }
  this->Over();
}

void RequestFlow::AttemptFailed(Error error) {
  const TimePoint now = Clock::now();
  if (IsBusy(error.reason)) {
    this->context.chooser.Busy(this->group.name, now);
  } else {
    this->context.chooser.Failed(this->group.name, now);
  }
  this->CloseAttempt();
  if (this->route.idempotent || error.outcome == Outcome::kNotRun) {
    this->replaced_attempt = this->attempt;
    this->may_have_run =
        this->may_have_run || error.outcome != Outcome::kNotRun;
    if (IsBusy(error.reason) && now < this->room_until) {
      // A full target refused before it did any work: not a failed attempt.
      this->record.attempts -= 1;
      this->record.suspect_attempts -= this->record.suspect ? 1 : 0;
      this->context.metrics.CountRetry(error.reason);
      this->WaitForRoom();
      return;
    }
    this->RetryOrRefuse(error);
    return;
  }
  this->unreachable_until = now + kUnreachableLimit;
  this->AskAgent(this->OwnHolder(), error);
}

void RequestFlow::RetryOrRefuse(const Error& error) {
  this->excluded.insert(this->group.name);
  const Result<void> decision = routing::DecideRetry(
      this->record, error, this->context.budgets[this->service.name],
      Clock::now());
  if (decision.has_value()) {
    this->context.metrics.CountRetry(error.reason);
    LogEvent(Level::kInfo, this->request.id, "retry", observe::FieldsOf(error));
    this->Attempt();
    return;
  }
  if (this->route.idempotent) {
    this->Refuse(decision.error());
    return;
  }
  const Error refusal = decision.error();
  this->Settle(
      this->MakeSettle(this->attempt, Outcome::kNotRun, protocol::KeptAnswer{}),
      Clock::now() + kSettleLimit, [this, refusal] { this->Refuse(refusal); });
}

void RequestFlow::ReportDeath(std::uint64_t death) {
  const bool is_cleared =
      death == 0 && this->record.suspect && this->stream == nullptr;
  if (death == 0 && !is_cleared) {
    return;
  }
  this->record.suspect = true;
  control::ReportDeath report;
  report.death = death;
  report.fingerprints = {this->fingerprint};
  this->context.views.CallLeader(protocol::kDeathPath, protocol::Encode(report),
                                 Clock::now() + control::ViewClient::kCallLimit,
                                 [](const Result<std::string>& /*result*/) {});
}

void RequestFlow::OnDeadline() {
  const bool is_unknown = this->was_handed_over;
  this->CloseAttempt();
  const Error error = this->MakeError(
      Reason::kDeadline, is_unknown ? Step::kRelay : Step::kRoute,
      is_unknown ? Outcome::kUnknown : Outcome::kNotRun,
      "no whole answer before the deadline");
  this->Refuse(error);
}

// --------------------------------------------------------- end of the request

void RequestFlow::Refuse(Error error) {
  if (this->may_have_run && error.outcome == Outcome::kNotRun) {
    // The last attempt did not run, but an earlier one may have.
    error.outcome = Outcome::kUnknown;
  }
  LogEvent(Level::kInfo, this->request.id, "refused", observe::FieldsOf(error));
  if (this->is_caller_gone) {
    this->context.metrics.CountRefusal(error.reason);
  } else if (this->record.head_sent) {
    this->caller->BreakStream(error);
  } else {
    this->caller->Refuse(error);
  }
  this->Over();
}

void RequestFlow::CallerGone() {
  if (this->is_over) {
    return;
  }
  this->is_caller_gone = true;
  if (this->route.idempotent) {
    this->CloseAttempt();
    this->Over();
  }
  // A call that may not be repeated goes on, so that its end is recorded.
}

void RequestFlow::Over() {
  if (this->is_over) {
    return;
  }
  this->is_over = true;
  this->CloseAttempt();
  this->timer.cancel();
  this->deadline_timer.cancel();
  if (this->on_over) {
    const std::function<void()> hook = std::move(this->on_over);
    this->on_over = nullptr;
    hook();
  }
}

}  // namespace gooseberryturn::entry
