#include "gooseberryturn/routing/retry_decision.h"

namespace gooseberryturn::routing {

namespace {

/// True when an attempt at another target would fail for the same reason.
bool IsPermanent(Reason reason) {
  switch (reason) {
    case Reason::kBadRequest:
    case Reason::kTooLarge:
    case Reason::kDeadline:
    case Reason::kQuarantined:
      return true;
    default:
      return false;
  }
}

}  // namespace

Result<void> DecideRetry(const RetryState& state, const Error& error,
                         RetryBudget& budget, TimePoint now) {
  const bool is_safe = error.outcome == Outcome::kNotRun ||
                       (error.outcome == Outcome::kUnknown && state.idempotent);
  const bool is_out_of_attempts =
      state.attempts >= kMaxAttempts ||
      (state.suspect && state.suspect_attempts >= kMaxSuspectAttempts);
  const bool is_late = now + kMinRemaining >= state.deadline;
  if (!is_safe || is_out_of_attempts || is_late || state.head_sent ||
      IsPermanent(error.reason)) {
    return tl::make_unexpected(error);
  }
  if (!budget.TakeRetry()) {
    Error final_error = error;
    final_error.message += "; the retry budget is exhausted";
    return tl::make_unexpected(final_error);
  }
  return {};
}

}  // namespace gooseberryturn::routing
