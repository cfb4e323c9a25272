#include "gooseberryturn/admission/admission_controller.h"

namespace gooseberryturn::admission {

namespace {

tl::unexpected<Error> Refuse(Reason reason, const std::string& message) {
  return tl::make_unexpected(
      Error{reason, Step::kAdmit, Outcome::kNotRun, std::string(), message});
}

}  // namespace

Result<void> CheckAgentState(const protocol::HandOver& request,
                             const AgentState& state) {
  if (request.incarnation != state.incarnation) {
    return Refuse(Reason::kStaleIncarnation, "the agent was restarted");
  }
  if (!state.has_view) {
    return Refuse(Reason::kNoView, "the agent has no valid view lease");
  }
  if (state.data_centre_out) {
    return Refuse(Reason::kDataCentreOut, "the data centre is out");
  }
  if (state.leaving) {
    return Refuse(Reason::kLeaving, "a host of the group is leaving");
  }
  if (request.group != state.group || request.fence != state.fence) {
    return Refuse(Reason::kStaleFence, "the assignment of the group changed");
  }
  if (!state.group_whole) {
    return Refuse(Reason::kGroupNotWhole, "a member of the group is missing");
  }
  if (!state.target_ready) {
    return Refuse(Reason::kTargetBusy, "the target is not ready");
  }
  if (request.remaining_ms <= 0) {
    return Refuse(Reason::kDeadline, "the deadline has passed");
  }
  return {};
}

void AdmissionController::Configure(const config::Service& new_service) {
  const bool is_first = this->service.name.empty();
  this->service = new_service;
  if (is_first) {
    this->concurrency = ConcurrencyLimit(new_service.limits.cold_in_flight,
                                         new_service.limits.in_flight);
  } else {
    this->concurrency.Configure(new_service.limits.cold_in_flight,
                                new_service.limits.in_flight);
  }
}

void AdmissionController::StartCold() noexcept { this->concurrency.Reset(); }

std::int64_t AdmissionController::TokensFor(
    std::uint64_t body_bytes) const noexcept {
  if (this->service.kind == config::ServiceKind::kPlain) {
    return 0;
  }
  const std::int64_t prompt =
      static_cast<std::int64_t>(body_bytes) / kBytesPerToken + 1;
  return prompt + this->service.limits.max_output_tokens;
}

Result<Reservation> AdmissionController::Admit(
    const protocol::HandOver& request, const AgentState& state) {
  const Result<void> checked = CheckAgentState(request, state);
  if (!checked.has_value()) {
    return tl::make_unexpected(checked.error());
  }
  const std::int64_t wanted = this->TokensFor(request.body_bytes);
  if (wanted > this->service.limits.memory_tokens) {
    return Refuse(Reason::kTooLarge,
                  "the request needs more memory than the target has");
  }
  if (this->in_flight >= this->concurrency.limit()) {
    return Refuse(Reason::kTargetBusy,
                  "the target is at its concurrency limit");
  }
  if (this->tokens + wanted > this->service.limits.memory_tokens) {
    return Refuse(Reason::kMemoryFull,
                  "the target has too little unreserved memory");
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
