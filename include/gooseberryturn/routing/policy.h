#ifndef GOOSEBERRYTURN_ROUTING_POLICY_H_
#define GOOSEBERRYTURN_ROUTING_POLICY_H_

#include <cstdint>

#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::routing {

/// \brief How the group of an attempt is chosen.
enum class Policy : std::uint8_t {
  kRandom,     ///< Baseline: any usable group, whatever its load or distance.
  kTwoChoice,  ///< Less loaded of two random groups, nearest data centres
               ///< first.
};

inline constexpr NameTable<Policy, 2> kPolicyNames = {{"random", "two_choice"}};

}  // namespace gooseberryturn::routing

#endif  // GOOSEBERRYTURN_ROUTING_POLICY_H_
