#ifndef GOOSEBERRYTURN_CORE_REASON_H_
#define GOOSEBERRYTURN_CORE_REASON_H_

#include <cstddef>
#include <cstdint>

#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn {

/// \brief Why a request was refused, retried or aborted.
enum class Reason : std::uint8_t {
  kNone,
  kBadRequest,
  kNoRoute,
  kUnknownTeam,
  kTeamLimit,
  kOverloaded,
  kNoTarget,
  kNoView,  ///< The entry or agent holds no valid view lease.
  kDataCentreOut,
  kLeaving,           ///< The process, or a host of the group, stops or drains.
  kStaleIncarnation,  ///< The agent was restarted since the entry's view.
  kStaleFence,        ///< The assignment changed since the entry's view.
  kGroupNotWhole,     ///< A member of the group holds no valid lease.
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
  kQuarantined,  ///< Targets crashed while they ran this request.
  kAnswerCut,
  kSlowCaller,
  kTombstone,      ///< The attempt was seen before or is refused for good.
  kAnswerNotKept,  ///< The request ran, but its answer was not stored.
  kTargetPaused,   ///< All targets asked for a pause that still lasts.
  kSuspect,     ///< Waited because targets crashed while they ran its content.
  kInputEnded,  ///< Its caller ended its sending side, and may have left.
};

inline constexpr std::size_t kReasonCount = 31;

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
     "answer_not_kept",
     "target_paused",
     "suspect",
     "input_ended"}};

/// \brief HTTP status that the caller gets for `reason`.
[[nodiscard]] int HttpStatusOf(Reason reason) noexcept;

/// \brief Seconds for the Retry-After header, or 0 when a retry cannot help.
[[nodiscard]] int RetryAfterSeconds(Reason reason) noexcept;

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_REASON_H_
