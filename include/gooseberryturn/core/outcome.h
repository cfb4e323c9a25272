#ifndef GOOSEBERRYTURN_CORE_OUTCOME_H_
#define GOOSEBERRYTURN_CORE_OUTCOME_H_

#include <cstdint>

#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn {

/// \brief What is known about whether the target ran a request.
enum class Outcome : std::uint8_t {
  kNotRun,   ///< The target has not run it and never will.
  kRan,      ///< The target ran it to its end.
  kUnknown,  ///< It was handed over; whether it ran is not known.
};

inline constexpr NameTable<Outcome, 3> kOutcomeNames = {
    {"not_run", "ran", "unknown"}};

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_OUTCOME_H_
