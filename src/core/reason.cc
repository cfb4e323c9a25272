#include "gooseberryturn/core/reason.h"

namespace gooseberryturn {

int HttpStatusOf(Reason reason) noexcept {
  switch (reason) {
    case Reason::kBadRequest:
      return 400;
    case Reason::kUnknownTeam:
      return 403;
    case Reason::kNoRoute:
      return 404;
    case Reason::kSlowCaller:
      return 408;
    case Reason::kKeyInProgress:
      return 409;
    case Reason::kAnswerNotKept:
      return 410;
    case Reason::kTooLarge:
      return 413;
    case Reason::kKeyMismatch:
    case Reason::kQuarantined:
      return 422;
    case Reason::kTeamLimit:
      return 429;
    case Reason::kTargetFailed:
    case Reason::kLinkLost:
    case Reason::kAnswerCut:
    case Reason::kOutcomeUnknown:
      return 502;
    case Reason::kDeadline:
      return 504;
    default:
      return 503;
  }
}

int RetryAfterSeconds(Reason reason) noexcept {
  switch (HttpStatusOf(reason)) {
    case 409:
    case 429:
    case 503:
      return 1;
    default:
      return 0;
  }
}

}  // namespace gooseberryturn
