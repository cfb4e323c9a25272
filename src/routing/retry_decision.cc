#include "gooseberryturn/routing/retry_decision.h"

namespace gooseberryturn::routing {

namespace {

/// Reasons that another target would give as well.
bool IsFinal(Reason reason) {
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

Result<void> DecideRetry(const RetryState& record, const Error& error,
                         RetryBudget& budget, TimePoint now) {
  const bool is_safe =
      error.outcome == Outcome::kNotRun ||
      (error.outcome == Outcome::kUnknown && record.idempotent);
  const bool is_spent =
      record.attempts >= kMaxAttempts ||
      (record.suspect && record.suspect_attempts >= kMaxSuspectAttempts);
  const bool is_late = now + kLeastRemaining >= record.deadline;
  if (!is_safe || is_spent || is_late || record.head_sent ||
      IsFinal(error.reason)) {
    return tl::make_unexpected(error);
  }
  if (!budget.TakeRetry()) {
    Error refused = error;
    refused.message += "; the retry budget is spent";
    return tl::make_unexpected(refused);
  }
  return {};
}

}  // namespace gooseberryturn::routing
