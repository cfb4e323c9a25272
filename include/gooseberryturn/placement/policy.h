#ifndef GOOSEBERRYTURN_PLACEMENT_POLICY_H_
#define GOOSEBERRYTURN_PLACEMENT_POLICY_H_

#include <cstdint>

#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::placement {

/// \brief How groups are placed and repaired.
enum class Policy : std::uint8_t {
  kFirstFit,  ///< Baseline: first domain with room, re-form broken groups.
  kBestFit,   ///< Tightest domain, repair by the fewest moves.
};

inline constexpr NameTable<Policy, 2> kPolicyNames = {
    {"first_fit", "best_fit"}};

}  // namespace gooseberryturn::placement

#endif  // GOOSEBERRYTURN_PLACEMENT_POLICY_H_
