#include <optional>
#include <utility>

#include "gooseberryturn/core/http_status.h"
#include "gooseberryturn/entry/request_flow.h"
#include "gooseberryturn/protocol/codec.h"

// The part of RequestFlow that keeps a non-idempotent request from running
// twice: it claims the idempotency key and finds out the outcome of an attempt
// whose answer did not arrive.
namespace gooseberryturn::entry {

namespace {

constexpr char kReplayHeader[] = "Gooseberryturn-Replayed: true\r\n";

}  // namespace

// ------------------------------------------------------------------- claims

void RequestFlow::SendClaim() {
  const protocol::Member& leader = this->group.members.front();
  protocol::Claim claim;
  claim.team = this->request.team;
  claim.key = this->request.key;
  claim.body_digest = this->fingerprint;
  claim.attempt = this->attempt_id;
  claim.replaces = this->replaced_attempt_id;
  claim.host = leader.host;
  claim.incarnation = leader.incarnation;
  claim.link = leader.link;
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->context.view_client.CallLeader(
      protocol::kClaimPath, protocol::Encode(claim),
      Clock::now() + control::ViewClient::kCallTimeout,
      [self](const Result<std::string>& result) {
        if (!self->is_finished) {
          self->OnClaimReply(result);
        }
      });
}

void RequestFlow::RetryClaim(const Error& error) {
  if (Clock::now() < this->claim_deadline) {
    // Sending a claim again is safe: it is granted again to the same attempt.
    this->RunAfter(kCallRetryDelay, [this] { this->SendClaim(); });
    return;
  }
  this->CloseAttempt();
  this->Refuse(this->MakeError(Reason::kControlUnavailable, Step::kClaim,
                               Outcome::kNotRun, ToString(error)));
}

void RequestFlow::OnClaimReply(const Result<std::string>& result) {
  if (!result.has_value()) {
    this->context.view_client.TryNextControlHost();
    this->RetryClaim(result.error());
    return;
  }
  const protocol::ClaimReply reply =
      protocol::Decode<protocol::ClaimReply>(*result).value_or(
          protocol::ClaimReply{});
  switch (reply.verdict) {
    case protocol::ClaimVerdict::kGranted:
      if (this->is_caller_disconnected) {
        this->EndWithoutCaller();
        return;
      }
      this->OpenStream();
      return;
    case protocol::ClaimVerdict::kNotLeader:
      this->context.view_client.TryNextControlHost();
      this->RetryClaim(this->MakeError(Reason::kControlUnavailable,
                                       Step::kClaim, Outcome::kNotRun,
                                       "the control host is not the leader"));
      return;
    default:
      this->CloseAttempt();
      this->OnClaimRejected(reply);
  }
}

void RequestFlow::OnClaimRejected(const protocol::ClaimReply& reply) {
  this->group = protocol::Group{};
  switch (reply.verdict) {
    case protocol::ClaimVerdict::kFinished:
      this->SendKeptAnswer(reply.answer, true);
      return;
    case protocol::ClaimVerdict::kMismatch:
      this->Refuse(
          this->MakeError(Reason::kKeyMismatch, Step::kClaim, Outcome::kNotRun,
                          "the idempotency key was used with another request"));
      return;
    case protocol::ClaimVerdict::kFull:
      this->Refuse(this->MakeError(Reason::kOverloaded, Step::kClaim,
                                   Outcome::kNotRun,
                                   "the table of idempotency keys is full"));
      return;
    case protocol::ClaimVerdict::kInProgress:
      this->query_deadline = Clock::now() + kUnreachableTimeout;
      this->QueryAttempt(
          reply, this->MakeError(Reason::kKeyInProgress, Step::kClaim,
                                 Outcome::kUnknown,
                                 "another attempt holds the idempotency key"));
      return;
    default:
      this->Refuse(this->MakeError(
          Reason::kOutcomeUnknown, Step::kClaim, Outcome::kUnknown,
          "the outcome of an earlier request with this idempotency key is "
          "unknown"));
  }
}

// -------------------------------------- outcome of a non-idempotent request

protocol::ClaimReply RequestFlow::MakeOwnHolder() const {
  const protocol::Member& leader = this->group.members.front();
  protocol::ClaimReply holder;
  holder.attempt = this->attempt_id;
  holder.host = leader.host;
  holder.incarnation = leader.incarnation;
  holder.link = leader.link;
  return holder;
}

void RequestFlow::QueryAttempt(const protocol::ClaimReply& holder,
                               const Error& error) {
  const protocol::AttemptQuery query = {holder.attempt, holder.incarnation};
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->context.channels.Get(holder.link)
      ->Call(protocol::kAttemptPath, protocol::Encode(query),
             Clock::now() + kQueryTimeout,
             [self, holder, error](const Result<std::string>& result) {
               if (self->is_finished) {
                 return;
               }
               if (!result.has_value()) {
                 self->RetryQuery(holder, error, result.error());
                 return;
               }
               self->OnAttemptReply(
                   holder, error,
                   protocol::Decode<protocol::AttemptReply>(*result).value_or(
                       protocol::AttemptReply{}));
             });
}

void RequestFlow::RetryQuery(const protocol::ClaimReply& holder,
                             const Error& error, const Error& cause) {
  if (Clock::now() < this->query_deadline) {
    this->RunAfter(kCallRetryDelay, [this, holder, error] {
      this->QueryAttempt(holder, error);
    });
    return;
  }
  // The key stays bound to the attempt: once the agent is reachable again, a
  // resend may still find out how the attempt ended.
  this->Refuse({Reason::kOutcomeUnknown, Step::kHandOver, Outcome::kUnknown,
                holder.host, ToString(cause)});
}

void RequestFlow::OnAttemptReply(const protocol::ClaimReply& holder,
                                 const Error& error,
                                 const protocol::AttemptReply& reply) {
  switch (reply.state) {
    case protocol::AttemptState::kNeverRun: {
      Error not_run = error;
      not_run.outcome = Outcome::kNotRun;
      this->replaced_attempt_id = holder.attempt;
      this->attempt_id = holder.attempt;
      this->RetryOrRefuse(not_run);
      break;
    }
    case protocol::AttemptState::kRunning:
      this->query_deadline = Clock::now() + kUnreachableTimeout;
      this->RunAfter(kQueryInterval, [this, holder, error] {
        this->QueryAttempt(holder, error);
      });
      break;
    case protocol::AttemptState::kFinished: {
      const protocol::KeptAnswer answer = reply.answer;
      if (!IsFinalHttpStatus(answer.status)) {
        this->SettleUnknown(holder, error);
        return;
      }
      this->RecordOutcome(
          this->MakeSettle(holder.attempt, Outcome::kRan, answer),
          Clock::now() + kSettleTimeout,
          [this, answer] { this->SendKeptAnswer(answer, true); });
      break;
    }
    case protocol::AttemptState::kUnknown:
      this->SettleUnknown(holder, error);
      break;
  }
}

void RequestFlow::SettleUnknown(const protocol::ClaimReply& holder,
                                const Error& error) {
  const Error refusal = {Reason::kOutcomeUnknown, Step::kHandOver,
                         Outcome::kUnknown, holder.host, ToString(error)};
  this->RecordOutcome(this->MakeSettle(holder.attempt, Outcome::kUnknown,
                                       protocol::KeptAnswer{}),
                      Clock::now() + kSettleTimeout,
                      [this, refusal] { this->Refuse(refusal); });
}

protocol::Settle RequestFlow::MakeSettle(
    std::uint64_t attempt_id, Outcome outcome,
    const protocol::KeptAnswer& answer) const {
  return {this->request.team, this->request.key, attempt_id, outcome, answer};
}

void RequestFlow::RecordOutcome(const protocol::Settle& settle,
                                TimePoint give_up_at,
                                std::function<void()> next) {
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  // The outcome is known: the deadline must not turn it into an unknown one.
  this->deadline_timer.Cancel();
  this->context.view_client.CallLeader(
      protocol::kSettlePath, protocol::Encode(settle),
      Clock::now() + control::ViewClient::kCallTimeout,
      [self, settle, give_up_at, next](const Result<std::string>& result) {
        const protocol::SettleReply reply =
            result.has_value()
                ? protocol::Decode<protocol::SettleReply>(*result).value_or(
                      protocol::SettleReply{})
                : protocol::SettleReply{};
        if (reply.is_leader || Clock::now() >= give_up_at) {
          next();
          return;
        }
        self->context.view_client.TryNextControlHost();
        self->RunAfter(kCallRetryDelay, [self, settle, give_up_at, next] {
          self->RecordOutcome(settle, give_up_at, next);
        });
      });
}

void RequestFlow::SendKeptAnswer(const protocol::KeptAnswer& answer,
                                 bool is_replay) {
  if (!answer.is_kept) {
    this->Refuse({Reason::kAnswerNotKept, Step::kReply, Outcome::kRan,
                  std::string(),
                  "the request ran, but its answer was too long to keep"});
    return;
  }
  if (!IsFinalHttpStatus(answer.status)) {
    // Stored by a build that passed such answers of targets on.
    this->Refuse({Reason::kOutcomeUnknown, Step::kReply, Outcome::kUnknown,
                  std::string(), "the stored answer has no valid status"});
    return;
  }
  this->context.metrics.Add(observe::Metric::kAnswers);
  this->context.metrics.Observe(observe::Timing::kRequest,
                                Clock::now() - this->started_at);
  if (!this->is_caller_disconnected) {
    this->caller->SendAnswer(answer.status, answer.content_type, answer.body,
                             is_replay ? kReplayHeader : "");
  }
  this->FinishRequest();
}

}  // namespace gooseberryturn::entry
