#ifndef GOOSEBERRYTURN_CORE_STEP_H_
#define GOOSEBERRYTURN_CORE_STEP_H_

#include <cstdint>

#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn {

/// \brief Step of a request or of an operator's command at which an error
/// occurred.
enum class Step : std::uint8_t {
  kSettings,
  kDocument,
  kAccept,
  kRoute,
  kClaim,
  kConnect,
  kHandOver,
  kAdmit,
  kEngine,
  kRelay,
  kReply,
  kCommit,
  kStorage,
};

inline constexpr NameTable<Step, 13> kStepNames = {
    {"settings", "document", "accept", "route", "claim", "connect", "hand_over",
     "admit", "engine", "relay", "reply", "commit", "storage"}};

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_STEP_H_
