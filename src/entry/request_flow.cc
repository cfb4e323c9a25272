#include "gooseberryturn/entry/request_flow.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "gooseberryturn/control/command.h"
#include "gooseberryturn/core/http_status.h"
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
      deadline_timer(context.io.get_executor()) {}

void RequestFlow::Start() {
  const TimePoint now = Clock::now();
  this->started_at = now;
  this->capacity_deadline = now + kCapacityTimeout;
  this->retry_state.idempotent = this->route.idempotent;
  this->retry_state.deadline = now + Milliseconds(this->route.deadline_ms);
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->caller->on_disconnect = [self] { self->OnCallerDisconnect(); };
  this->deadline_timer.Set(this->retry_state.deadline,
                           [self] { self->OnDeadline(); });
  this->fingerprint = Digest(this->request.team + '\0' + this->request.path +
                             '\0' + this->request.body);
  if (!this->route.idempotent && this->request.key.empty()) {
    this->request.key = "entry-" + this->request.id;
  }
  const auto suspect =
      this->context.view_client.view().suspects.find(this->fingerprint);
  if (suspect != this->context.view_client.view().suspects.end()) {
    this->retry_state.suspect = true;
    if (suspect->second.deaths >= protocol::kQuarantineDeaths) {
      this->Refuse(this->MakeError(
          Reason::kQuarantined, Step::kRoute, Outcome::kNotRun,
          "targets failed while running it; fingerprint " + this->fingerprint));
      return;
    }
  }
  this->context.retry_budgets[this->service.name].RecordFirstAttempt(
      this->service.retry_percent);
  this->StartAttempt();
}

void RequestFlow::RunAfter(Duration delay, std::function<void()> next) {
  this->timer.expires_after(delay);
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->timer.async_wait(
      [self, next = std::move(next)](const boost::system::error_code& error) {
        if (!error && !self->is_finished) {
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

// ---------------------------------------------------------- group selection

void RequestFlow::StartAttempt() {
  if (this->is_caller_disconnected) {
    this->EndWithoutCaller();
    return;
  }
  const TimePoint now = Clock::now();
  if (!this->context.view_client.HasLease(now)) {
    this->WaitForCapacity();
    return;
  }
  const protocol::Group* chosen = this->context.chooser.Choose(
      this->context.view_client.view(), this->service.name,
      this->excluded_groups, now);
  if (chosen == nullptr) {
    this->WaitForCapacity();
    return;
  }
  this->group = *chosen;
  this->attempt_id = RandomId();
  this->retry_state.attempts += 1;
  this->retry_state.suspect_attempts += this->retry_state.suspect ? 1 : 0;
  this->is_outstanding = true;
  this->was_handed_over = false;
  this->answer_verifier = stream::AnswerVerifier();
  this->kept_answer = protocol::KeptAnswer{};
  this->context.chooser.RecordSent(this->group, now);
  if (this->route.idempotent) {
    this->OpenStream();
    return;
  }
  this->claim_deadline = now + kClaimTimeout;
  this->SendClaim();
}

void RequestFlow::WaitForCapacity() {
  const TimePoint now = Clock::now();
  if (now < this->capacity_deadline) {
    this->excluded_groups.clear();
    this->RunAfter(kCapacityCheckInterval, [this] { this->StartAttempt(); });
    return;
  }
  const bool has_view = this->context.view_client.HasLease(now);
  const auto& groups = this->context.view_client.view().groups;
  const bool has_group = std::any_of(
      groups.begin(), groups.end(), [this](const auto& named_group) {
        return named_group.second.service == this->service.name;
      });
  this->group = protocol::Group{};
  if (!has_view) {
    this->Refuse(
        this->MakeError(Reason::kNoView, Step::kRoute, Outcome::kNotRun,
                        "this entry has no valid view lease from control"));
  } else if (!has_group) {
    this->Refuse(
        this->MakeError(Reason::kNoTarget, Step::kRoute, Outcome::kNotRun,
                        "service " + this->service.name + " has no group"));
  } else {
    this->Refuse(
        this->MakeError(Reason::kOverloaded, Step::kRoute, Outcome::kNotRun,
                        "no group of " + this->service.name + " has capacity"));
  }
}

// ------------------------------------------------------- hand-over and relay

void RequestFlow::OpenStream() {
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->context.channels.Get(this->group.members.front().link)
      ->Open(protocol::kRunPath,
             [self, opened_attempt_id = this->attempt_id](
                 const Result<std::shared_ptr<link::Stream>>& opened) {
               const bool is_stale =
                   self->is_finished || self->attempt_id != opened_attempt_id;
               if (!opened.has_value()) {
                 if (!is_stale) {
                   self->OnAttemptFailed(opened.error());
                 }
                 return;
               }
               if (is_stale) {
                 (*opened)->Cancel();
                 return;
               }
               self->SendHandOver(*opened);
             });
}

void RequestFlow::SendHandOver(const std::shared_ptr<link::Stream>& opened) {
  if (Clock::now() >= this->retry_state.deadline) {
    opened->Cancel();
    this->OnDeadline();
    return;
  }
  if (this->is_caller_disconnected) {
    opened->Cancel();
    this->EndWithoutCaller();
    return;
  }
  this->stream = opened;
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  const std::uint64_t sent_attempt_id = this->attempt_id;
  opened->EnableManualFlowControl();
  opened->on_frame = [self, sent_attempt_id](FrameType type,
                                             std::string_view payload) {
    if (!self->is_finished && self->attempt_id == sent_attempt_id &&
        self->stream != nullptr) {
      self->OnFrame(type, payload);
    }
  };
  opened->on_close = [self, sent_attempt_id](link::CloseReason reason) {
    if (!self->is_finished && self->attempt_id == sent_attempt_id &&
        self->stream != nullptr) {
      self->OnStreamClose(reason);
    }
  };
  protocol::HandOver hand_over;
  hand_over.request_id = this->request.id;
  hand_over.attempt = this->attempt_id;
  hand_over.team = this->request.team;
  hand_over.service = this->service.name;
  hand_over.path = this->request.path;
  hand_over.content_type = this->request.content_type;
  hand_over.key = this->route.idempotent ? std::string() : this->request.key;
  hand_over.idempotent = this->route.idempotent;
  hand_over.group = this->group.name;
  hand_over.fence = this->group.fence;
  hand_over.incarnation = this->group.members.front().incarnation;
  hand_over.remaining_ms =
      RemainingMs(this->retry_state.deadline, Clock::now());
  hand_over.body_bytes = this->request.body.size();
  hand_over.suspect = this->retry_state.suspect;
  this->was_handed_over = true;
  opened->Send(
      protocol::EncodeFrame(FrameType::kMessage, protocol::Encode(hand_over)));
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
  if (!decoded.has_value() || !IsFinalHttpStatus(decoded->status)) {
    this->OnAttemptFailed(this->MakeError(Reason::kTargetFailed, Step::kRelay,
                                          Outcome::kUnknown,
                                          "the head of the answer is invalid"));
    return;
  }
  this->answer_head = *decoded;
  this->answer_verifier.Begin();
}

void RequestFlow::OnChunk(std::string_view payload) {
  const Result<std::string_view> bytes =
      this->answer_verifier.VerifyChunk(payload);
  if (!bytes.has_value()) {
    this->OnAttemptFailed(this->WithPeer(bytes.error()));
    return;
  }
  if (this->route.idempotent) {
    this->RelayBytes(*bytes);
    return;
  }
  this->stream->Consume(bytes->size());
  if (this->kept_answer.body.size() + bytes->size() > kMaxKeptAnswerBytes) {
    this->OnAttemptFailed(
        this->MakeError(Reason::kAnswerCut, Step::kRelay, Outcome::kUnknown,
                        "the answer is too long to keep for a resend"));
    return;
  }
  this->kept_answer.body.append(*bytes);
}

void RequestFlow::RelayBytes(std::string_view bytes) {
  if (!this->caller->has_started_stream()) {
    this->retry_state.head_sent = true;
    this->context.metrics.Observe(observe::Timing::kFirstByte,
                                  Clock::now() - this->started_at);
    const std::weak_ptr<RequestFlow> weak = this->weak_from_this();
    this->caller->on_written = [weak](std::size_t size) {
      const std::shared_ptr<RequestFlow> self = weak.lock();
      if (self != nullptr && self->stream != nullptr) {
        self->stream->Consume(size);
      }
    };
    this->caller->StartStream(this->answer_head.status,
                              this->answer_head.content_type);
  }
  this->context.metrics.Add(observe::Metric::kAnswerBytes,
                            static_cast<std::int64_t>(bytes.size()));
  this->caller->SendChunk(bytes);
}

void RequestFlow::OnEnd(std::string_view payload) {
  const std::optional<protocol::AnswerEnd> end =
      protocol::Decode<protocol::AnswerEnd>(payload);
  if (!end.has_value()) {
    this->OnAttemptFailed(
        this->MakeError(Reason::kAnswerCut, Step::kRelay, Outcome::kUnknown,
                        "the end of the answer cannot be decoded"));
    return;
  }
  this->context.chooser.RecordLoad(this->group.name, end->load, Clock::now());
  if (end->error.reason != Reason::kNone) {
    this->ReportDeath(end->target_death);
    this->OnAttemptFailed(this->WithPeer(protocol::FromWire(end->error)));
    return;
  }
  const Result<void> verified = this->answer_verifier.VerifyEnd(*end);
  if (!verified.has_value()) {
    this->OnAttemptFailed(this->WithPeer(verified.error()));
    return;
  }
  this->OnAttemptFinished();
}

void RequestFlow::OnStreamClose(link::CloseReason reason) {
  const bool is_refused = reason == link::CloseReason::kRefused;
  this->stream = nullptr;
  this->OnAttemptFailed(this->MakeError(
      is_refused ? Reason::kLeaving : Reason::kLinkLost, Step::kRelay,
      is_refused ? Outcome::kNotRun : Outcome::kUnknown,
      "stream closed: " + std::string(link::kCloseReasonNames.Name(reason))));
}

// ---------------------------------------------------------- end of an attempt

void RequestFlow::CloseAttempt() {
  if (this->is_outstanding) {
    this->is_outstanding = false;
    this->context.chooser.RecordDone(this->group.name);
  }
  if (this->stream != nullptr) {
    const std::shared_ptr<link::Stream> open = std::move(this->stream);
    this->stream = nullptr;
    open->Cancel();
  }
}

void RequestFlow::OnAttemptFinished() {
  // The peer has ended the stream; nothing is left to cancel.
  this->stream = nullptr;
  this->CloseAttempt();
  if (this->retry_state.suspect) {
    this->ReportDeath(0);
  }
  if (!this->route.idempotent) {
    this->kept_answer.status = this->answer_head.status;
    this->kept_answer.content_type = this->answer_head.content_type;
    const protocol::KeptAnswer answer = this->kept_answer;
    this->RecordOutcome(
        this->MakeSettle(this->attempt_id, Outcome::kRan, answer),
        Clock::now() + kSettleTimeout,
        [this, answer] { this->SendKeptAnswer(answer, false); });
    return;
  }
  this->context.metrics.Add(observe::Metric::kAnswers);
  this->context.metrics.Observe(observe::Timing::kRequest,
                                Clock::now() - this->started_at);
  if (this->caller->has_started_stream()) {
    this->caller->FinishStream();
  } else {
    this->caller->SendAnswer(this->answer_head.status,
                             this->answer_head.content_type, std::string(),
                             std::string());
  }
  this->FinishRequest();
}

void RequestFlow::OnAttemptFailed(Error error) {
  const TimePoint now = Clock::now();
  if (IsBusy(error.reason)) {
    this->context.chooser.RecordBusy(this->group.name, now);
  } else {
    this->context.chooser.RecordFailure(this->group.name, now);
  }
  this->CloseAttempt();
  if (this->route.idempotent || error.outcome == Outcome::kNotRun) {
    this->replaced_attempt_id = this->attempt_id;
    this->may_have_run =
        this->may_have_run || error.outcome != Outcome::kNotRun;
    const bool may_wait =
        now < this->capacity_deadline && !this->is_caller_disconnected;
    if (IsBusy(error.reason) && may_wait) {
      // A busy target refuses before it does any work, so the attempt does not
      // count against the limit on attempts.
      this->retry_state.attempts -= 1;
      this->retry_state.suspect_attempts -= this->retry_state.suspect ? 1 : 0;
      this->context.metrics.CountRetry(error.reason);
      this->WaitForCapacity();
      return;
    }
    this->RetryOrRefuse(error);
    return;
  }
  this->query_deadline = now + kUnreachableTimeout;
  this->QueryAttempt(this->MakeOwnHolder(), error);
}

void RequestFlow::RetryOrRefuse(const Error& error) {
  if (this->is_caller_disconnected) {
    this->EndWithoutCaller();
    return;
  }
  this->excluded_groups.insert(this->group.name);
  const Result<void> decision = routing::DecideRetry(
      this->retry_state, error, this->context.retry_budgets[this->service.name],
      Clock::now());
  if (decision.has_value()) {
    this->context.metrics.CountRetry(error.reason);
    LogEvent(Level::kInfo, this->request.id, "retry", observe::FieldsOf(error));
    this->StartAttempt();
    return;
  }
  if (this->route.idempotent) {
    this->Refuse(decision.error());
    return;
  }
  const Error refusal = decision.error();
  this->RecordOutcome(this->MakeSettle(this->attempt_id, Outcome::kNotRun,
                                       protocol::KeptAnswer{}),
                      Clock::now() + kSettleTimeout,
                      [this, refusal] { this->Refuse(refusal); });
}

void RequestFlow::ReportDeath(std::uint64_t death) {
  const bool is_cleared =
      death == 0 && this->retry_state.suspect && this->stream == nullptr;
  if (death == 0 && !is_cleared) {
    return;
  }
  this->retry_state.suspect = true;
  control::ReportDeath report;
  report.death = death;
  report.fingerprints = {this->fingerprint};
  this->context.view_client.CallLeader(
      protocol::kDeathPath, protocol::Encode(report),
      Clock::now() + control::ViewClient::kCallTimeout,
      [](const Result<std::string>& /*result*/) {});
}

void RequestFlow::OnDeadline() {
  const bool is_unknown = this->was_handed_over;
  this->CloseAttempt();
  const Error error = this->MakeError(
      Reason::kDeadline, is_unknown ? Step::kRelay : Step::kRoute,
      is_unknown ? Outcome::kUnknown : Outcome::kNotRun,
      "the deadline passed before the answer was complete");
  this->Refuse(error);
}

// --------------------------------------------------------- end of the request

void RequestFlow::Refuse(Error error) {
  if (this->may_have_run && error.outcome == Outcome::kNotRun) {
    // The last attempt did not run, but an earlier one may have.
    error.outcome = Outcome::kUnknown;
  }
  LogEvent(Level::kInfo, this->request.id, "refused", observe::FieldsOf(error));
  if (this->is_caller_disconnected) {
    this->context.metrics.CountRefusal(error.reason);
  } else if (this->retry_state.head_sent) {
    this->caller->AbortStream(error);
  } else {
    this->caller->Refuse(error);
  }
  this->FinishRequest();
}

void RequestFlow::OnCallerDisconnect() {
  if (this->is_finished) {
    return;
  }
  this->is_caller_disconnected = true;
  if (this->route.idempotent) {
    this->CloseAttempt();
    this->FinishRequest();
  }
  // A non-idempotent request that was handed over continues, so that its
  // outcome is recorded; another one ends before its next step.
}

void RequestFlow::EndWithoutCaller() {
  this->CloseAttempt();
  if (this->attempt_id == 0) {
    this->FinishRequest();
    return;
  }
  this->RecordOutcome(this->MakeSettle(this->attempt_id, Outcome::kNotRun,
                                       protocol::KeptAnswer{}),
                      Clock::now() + kSettleTimeout,
                      [this] { this->FinishRequest(); });
}

void RequestFlow::FinishRequest() {
  if (this->is_finished) {
    return;
  }
  this->is_finished = true;
  this->CloseAttempt();
  this->timer.cancel();
  this->deadline_timer.Cancel();
  if (this->on_finished) {
    const std::function<void()> callback = std::move(this->on_finished);
    this->on_finished = nullptr;
    callback();
  }
}

}  // namespace gooseberryturn::entry
