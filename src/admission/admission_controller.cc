#include "gooseberryturn/admission/admission_controller.h"

namespace gooseberryturn::admission {

namespace {

tl::unexpected<Error> Refuse(Reason reason, const std::string& message) {
  return tl::make_unexpected(
      Error{reason, Step::kAdmit, Outcome::kNotRun, std::string(), message});
}

}  // namespace

Result<void> CheckAgentState(const protocol::HandOver& order,
                             const AgentState& standing) {
  if (order.incarnation != standing.incarnation) {
    return Refuse(Reason::kStaleIncarnation, "the agent was restarted");
  }
  if (!standing.has_view) {
    return Refuse(Reason::kNoView, "the agent is cut off from control");
  }
  if (standing.data_centre_out) {
    return Refuse(Reason::kDataCentreOut, "the data centre is out");
  }
  if (standing.leaving) {
    return Refuse(Reason::kLeaving, "the group is leaving");
  }
  if (order.group != standing.group || order.fence != standing.fence) {
    return Refuse(Reason::kStaleFence, "the group was assigned anew");
  }
  if (!standing.group_whole) {
    return Refuse(Reason::kGroupNotWhole, "a member of the group is missing");
  }
  if (!standing.target_ready) {
    return Refuse(Reason::kTargetBusy, "the target is not ready");
  }
  if (order.remaining_ms <= 0) {
    return Refuse(Reason::kDeadline, "the deadline has passed");
  }
  return {};
}

void AdmissionController::Configure(const config::Service& next) {
  const bool is_first = this->service.name.empty();
  this->service = next;
  if (is_first) {
    this->warm =
        ConcurrencyLimit(next.limits.cold_in_flight, next.limits.in_flight);
  } else {
    this->warm.Configure(next.limits.cold_in_flight, next.limits.in_flight);
  }
}

void AdmissionController::StartCold() noexcept { this->warm.Reset(); }

std::int64_t AdmissionController::TokensFor(
    std::uint64_t body_bytes) const noexcept {
  if (this->service.kind == config::ServiceKind::kPlain) {
    return 0;
  }
  const std::int64_t prompt =
      static_cast<std::int64_t>(body_bytes) / kBytesPerToken + 1;
  return prompt + this->service.limits.max_output_tokens;
}

Result<Reservation> AdmissionController::Admit(const protocol::HandOver& order,
                                               const AgentState& standing) {
  const Result<void> checked = CheckAgentState(order, standing);
  if (!checked.has_value()) {
    return tl::make_unexpected(checked.error());
  }
  const std::int64_t wanted = this->TokensFor(order.body_bytes);
  if (wanted > this->service.limits.memory_tokens) {
    return Refuse(Reason::kTooLarge, "the request never fits the target");
  }
  if (this->in_flight >= this->warm.limit()) {
    return Refuse(Reason::kTargetBusy, "the target bears no more requests");
  }
  if (this->tokens + wanted > this->service.limits.memory_tokens) {
    return Refuse(Reason::kMemoryFull, "the target's memory is reserved");
  }
  this->in_flight += 1;
  this->tokens += wanted;
  return Reservation{wanted};
}

void AdmissionController::Release(const Reservation& reservation) noexcept {
  this->in_flight -= 1;
  this->tokens -= reservation.tokens;
}

}  // namespace gooseberryturn::admission
