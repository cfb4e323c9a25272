#ifndef GOOSEBERRYTURN_PLACEMENT_POLICY_H_
#define GOOSEBERRYTURN_PLACEMENT_POLICY_H_

#include <cstdint>

#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::placement {

/// \brief How groups are placed and repaired.
enum class Policy : std::uint8_t {
  kFirstFit,  ///< Baseline: first domain with enough free hosts; a group that
              ///< lost a host is dissolved and formed again.
  kBestFit,   ///< Data centre with the fewest groups, then the domain with the
              ///< fewest free hosts; repairs keep the surviving hosts.
};

inline constexpr NameTable<Policy, 2> kPolicyNames = {
    {"first_fit", "best_fit"}};

}  // namespace gooseberryturn::placement

#endif  // GOOSEBERRYTURN_PLACEMENT_POLICY_H_
