#include <optional>
#include <utility>

#include "gooseberryturn/entry/request_flow.h"
#include "gooseberryturn/protocol/codec.h"

// The part of RequestFlow that keeps a call from running twice: claims, and
// what became of an attempt whose end nobody saw.
namespace gooseberryturn::entry {

namespace {

constexpr char kReplayHeader[] = "Gooseberryturn-Replayed: true\r\n";

}  // namespace

// ------------------------------------------------------------------- claims

void RequestFlow::Claim() {
  const protocol::Member& leader = this->group.members.front();
  protocol::Claim claim;
  claim.team = this->request.team;
  claim.key = this->request.key;
  claim.body_digest = this->fingerprint;
  claim.attempt = this->attempt;
  claim.replaces = this->replaced_attempt;
  claim.host = leader.host;
  claim.incarnation = leader.incarnation;
  claim.link = leader.link;
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->context.views.CallLeader(protocol::kClaimPath, protocol::Encode(claim),
                                 Clock::now() + control::ViewClient::kCallLimit,
                                 [self](const Result<std::string>& result) {
                                   if (!self->is_over) {
                                     self->OnClaimed(result);
                                   }
                                 });
}

void RequestFlow::ClaimAgain(const Error& error) {
  if (Clock::now() < this->claim_until) {
    // The same claim may be sent again: it names its attempt.
    this->After(kControlPause, [this] { this->Claim(); });
    return;
  }
  this->CloseAttempt();
  this->Refuse(this->MakeError(Reason::kControlUnavailable, Step::kClaim,
                               Outcome::kNotRun, ToString(error)));
}

void RequestFlow::OnClaimed(const Result<std::string>& result) {
  if (!result.has_value()) {
    this->context.views.LeaderUnknown();
    this->ClaimAgain(result.error());
    return;
  }
  const protocol::ClaimReply reply =
      protocol::Decode<protocol::ClaimReply>(*result).value_or(
          protocol::ClaimReply{});
  switch (reply.verdict) {
    case protocol::ClaimVerdict::kGranted:
      this->Open();
      return;
    case protocol::ClaimVerdict::kNotLeader:
      this->context.views.LeaderUnknown();
      this->ClaimAgain(this->MakeError(Reason::kControlUnavailable,
                                       Step::kClaim, Outcome::kNotRun,
                                       "not the leader"));
      return;
    default:
      this->CloseAttempt();
      this->OnKeyTaken(reply);
  }
}

void RequestFlow::OnKeyTaken(const protocol::ClaimReply& reply) {
  this->group = protocol::Group{};
  switch (reply.verdict) {
    case protocol::ClaimVerdict::kFinished:
      this->GiveKept(reply.answer, true);
      return;
    case protocol::ClaimVerdict::kMismatch:
      this->Refuse(this->MakeError(Reason::kKeyMismatch, Step::kClaim,
                                   Outcome::kNotRun,
                                   "the key was used with another body"));
      return;
    case protocol::ClaimVerdict::kFull:
      this->Refuse(this->MakeError(Reason::kOverloaded, Step::kClaim,
                                   Outcome::kNotRun,
                                   "no room for another key"));
      return;
    case protocol::ClaimVerdict::kInProgress:
      this->unreachable_until = Clock::now() + kUnreachableLimit;
      this->AskAgent(reply, this->MakeError(Reason::kKeyInProgress,
                                            Step::kClaim, Outcome::kUnknown,
                                            "another call holds the key"));
      return;
    default:
      this->Refuse(this->MakeError(
          Reason::kOutcomeUnknown, Step::kClaim, Outcome::kUnknown,
          "an earlier call with this key ended without a known outcome"));
  }
}

// --------------------------------- what became of a call that may not repeat

protocol::ClaimReply RequestFlow::OwnHolder() const {
  const protocol::Member& leader = this->group.members.front();
  protocol::ClaimReply holder;
  holder.attempt = this->attempt;
  holder.host = leader.host;
  holder.incarnation = leader.incarnation;
  holder.link = leader.link;
  return holder;
}

void RequestFlow::AskAgent(const protocol::ClaimReply& holder,
                           const Error& error) {
  const protocol::AttemptQuery query = {holder.attempt, holder.incarnation};
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->context.channels.Get(holder.link)
      ->Call(protocol::kAttemptPath, protocol::Encode(query),
             Clock::now() + kQueryLimit,
             [self, holder, error](const Result<std::string>& result) {
               if (self->is_over) {
                 return;
               }
               if (!result.has_value()) {
                 self->AskAgain(holder, error, result.error());
                 return;
               }
               self->OnAttemptReply(
                   holder, error,
                   protocol::Decode<protocol::AttemptReply>(*result).value_or(
                       protocol::AttemptReply{}));
             });
}

void RequestFlow::AskAgain(const protocol::ClaimReply& holder,
                           const Error& error, const Error& cause) {
  if (Clock::now() < this->unreachable_until) {
    this->After(kControlPause,
                [this, holder, error] { this->AskAgent(holder, error); });
    return;
  }
  // The agent may come back and tell; the key stays bound to the attempt.
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
      this->replaced_attempt = holder.attempt;
      this->attempt = holder.attempt;
      this->RetryOrRefuse(not_run);
      break;
    }
    case protocol::AttemptState::kRunning:
      this->unreachable_until = Clock::now() + kUnreachableLimit;
      this->After(kQueryPause,
                  [this, holder, error] { this->AskAgent(holder, error); });
      break;
    case protocol::AttemptState::kFinished: {
      const protocol::KeptAnswer answer = reply.answer;
      this->Settle(this->MakeSettle(holder.attempt, Outcome::kRan, answer),
                   Clock::now() + kSettleLimit,
                   [this, answer] { this->GiveKept(answer, true); });
      break;
    }
    case protocol::AttemptState::kUnknown: {
      const Error refusal = {Reason::kOutcomeUnknown, Step::kHandOver,
                             Outcome::kUnknown, holder.host, ToString(error)};
      this->Settle(this->MakeSettle(holder.attempt, Outcome::kUnknown,
                                    protocol::KeptAnswer{}),
                   Clock::now() + kSettleLimit,
                   [this, refusal] { this->Refuse(refusal); });
      break;
    }
  }
}

protocol::Settle RequestFlow::MakeSettle(
    std::uint64_t settled, Outcome outcome,
    const protocol::KeptAnswer& answer) const {
  return {this->request.team, this->request.key, settled, outcome, answer};
}

void RequestFlow::Settle(const protocol::Settle& settle, TimePoint give_up_at,
                         std::function<void()> next) {
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  // A deadline must not hide an outcome that is already known.
  this->deadline_timer.cancel();
  this->context.views.CallLeader(
      protocol::kSettlePath, protocol::Encode(settle),
      Clock::now() + control::ViewClient::kCallLimit,
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
        self->context.views.LeaderUnknown();
        self->After(kControlPause, [self, settle, give_up_at, next] {
          self->Settle(settle, give_up_at, next);
        });
      });
}

void RequestFlow::GiveKept(const protocol::KeptAnswer& answer, bool is_replay) {
  if (!answer.is_kept) {
    this->Refuse({Reason::kAnswerNotKept, Step::kReply, Outcome::kRan,
                  std::string(), "it ran, but its answer is too long to keep"});
    return;
  }
  this->context.metrics.Add(observe::Metric::kAnswers);
  this->context.metrics.Observe(observe::Timing::kRequest,
                                Clock::now() - this->started_at);
  if (!this->is_caller_gone) {
    this->caller->Answer(answer.status, answer.content_type, answer.body,
                         is_replay ? kReplayHeader : "");
  }
  this->Over();
}

}  // namespace gooseberryturn::entry
