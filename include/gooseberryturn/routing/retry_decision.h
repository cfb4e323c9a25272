#ifndef GOOSEBERRYTURN_ROUTING_RETRY_DECISION_H_
#define GOOSEBERRYTURN_ROUTING_RETRY_DECISION_H_

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/routing/retry_budget.h"

namespace gooseberryturn::routing {

/// \brief Where a request stands when an attempt failed.
struct RetryState {
  bool idempotent = true;
  bool head_sent = false;  ///< The caller already received part of an answer.
  bool suspect = false;    ///< A target died with it.
  int attempts = 0;        ///< Attempts made so far.
  int suspect_attempts = 0;
  TimePoint deadline;
};

inline constexpr int kMaxAttempts = 4;
/// \brief Attempts as a suspect: the death that made it one, and one more.
inline constexpr int kMaxSuspectAttempts = 1;
/// \brief With less time left than this a retry cannot help.
inline constexpr Duration kLeastRemaining = std::chrono::milliseconds(20);

/// \brief Whether a request may be tried again after `error`.
///
/// \details Only what certainly did not run or may be repeated is tried again,
/// only before the caller received anything, and only within the budget.
/// \returns Nothing to try again, else the error for the caller.
[[nodiscard]] Result<void> DecideRetry(const RetryState& record,
                                       const Error& error, RetryBudget& budget,
                                       TimePoint now);

}  // namespace gooseberryturn::routing

#endif  // GOOSEBERRYTURN_ROUTING_RETRY_DECISION_H_
