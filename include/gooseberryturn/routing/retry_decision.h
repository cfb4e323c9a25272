#ifndef GOOSEBERRYTURN_ROUTING_RETRY_DECISION_H_
#define GOOSEBERRYTURN_ROUTING_RETRY_DECISION_H_

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/routing/retry_budget.h"

namespace gooseberryturn::routing {

/// \brief State of a request on which a retry depends.
struct RetryState {
  bool idempotent = true;
  bool head_sent = false;    ///< The caller already received part of an answer.
  bool suspect = false;      ///< A target crashed while it ran this request.
  int attempts = 0;          ///< Attempts made so far.
  int suspect_attempts = 0;  ///< Those made while the request was a suspect.
  TimePoint deadline;
};

inline constexpr int kMaxAttempts = 4;
/// \brief Limit on the attempts made while a request is a suspect.
inline constexpr int kMaxSuspectAttempts = 1;
/// \brief Less time than this before the deadline is too short for a retry.
inline constexpr Duration kMinRemaining = std::chrono::milliseconds(20);

/// \brief Decides whether a request is retried after `error`.
///
/// \details A request is retried only if it certainly did not run, or may have
/// run and is idempotent; if another target would not fail for the same reason,
/// the caller has received nothing yet, attempts and time are left and `budget`
/// allows it. The retry is taken from `budget`.
/// \returns No error when the request is to be retried, else the error for the
/// caller.
[[nodiscard]] Result<void> DecideRetry(const RetryState& state,
                                       const Error& error, RetryBudget& budget,
                                       TimePoint now);

}  // namespace gooseberryturn::routing

#endif  // GOOSEBERRYTURN_ROUTING_RETRY_DECISION_H_
