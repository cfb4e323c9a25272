#ifndef GOOSEBERRYTURN_CORE_REASON_H_
#define GOOSEBERRYTURN_CORE_REASON_H_

#include <cstddef>
#include <cstdint>

#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn {

/// \brief Why a request was refused, retried or broken off.
enum class Reason : std::uint8_t {
  kNone,
  kBadRequest,
  kNoRoute,
  kUnknownTeam,
  kTeamLimit,
  kOverloaded,
  kNoTarget,
  kNoView,
  kDataCentreOut,
  kLeaving,
  kStaleIncarnation,
  kStaleFence,
  kGroupNotWhole,
  kTargetBusy,
  kMemoryFull,
  kTooLarge,
  kDeadline,
  kTargetFailed,
  kLinkLost,
  kControlUnavailable,
  kKeyInProgress,
  kKeyMismatch,
  kOutcomeUnknown,
  kQuarantined,
  kAnswerCut,
  kSlowCaller,
  kTombstone,
  kAnswerNotKept,
};

inline constexpr std::size_t kReasonCount = 28;

inline constexpr NameTable<Reason, kReasonCount> kReasonNames = {
    {"none",
     "bad_request",
     "no_route",
     "unknown_team",
     "team_limit",
     "overloaded",
     "no_target",
     "no_view",
     "data_centre_out",
     "leaving",
     "stale_incarnation",
     "stale_fence",
     "group_not_whole",
     "target_busy",
     "memory_full",
     "too_large",
     "deadline",
     "target_failed",
     "link_lost",
     "control_unavailable",
     "key_in_progress",
     "key_mismatch",
     "outcome_unknown",
     "quarantined",
     "answer_cut",
     "slow_caller",
     "tombstone",
     "answer_not_kept"}};

/// \brief HTTP status a caller is given for `reason`.
[[nodiscard]] int HttpStatusOf(Reason reason) noexcept;

/// \brief Seconds for the Retry-After header, or 0 when a retry cannot help.
[[nodiscard]] int RetryAfterSeconds(Reason reason) noexcept;

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_REASON_H_
