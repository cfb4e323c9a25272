#ifndef GOOSEBERRYTURN_ROUTING_POLICY_H_
#define GOOSEBERRYTURN_ROUTING_POLICY_H_

#include <cstdint>

#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::routing {

/// \brief How a group is chosen.
enum class Policy : std::uint8_t {
  kRandom,     ///< Baseline: any group that is not out.
  kTwoChoice,  ///< Nearest data centre with room, the better of two.
};

inline constexpr NameTable<Policy, 2> kPolicyNames = {{"random", "two_choice"}};

}  // namespace gooseberryturn::routing

#endif  // GOOSEBERRYTURN_ROUTING_POLICY_H_
