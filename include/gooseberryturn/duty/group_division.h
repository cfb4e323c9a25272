#ifndef GOOSEBERRYTURN_DUTY_GROUP_DIVISION_H_
#define GOOSEBERRYTURN_DUTY_GROUP_DIVISION_H_

#include <cstddef>
#include <vector>

namespace gooseberryturn::duty {

/// \brief Groups of one model that demand calls for.
struct GroupNeed {
  std::size_t size = 1;  ///< Hosts in a group.
  std::size_t groups = 0;
};

/// \brief Whole groups, divided over data centres.
struct GroupDivision {
  std::vector<std::size_t> hosts;        ///< In groups, by data centre.
  std::vector<std::size_t> group_sizes;  ///< Of the placed groups.
  bool is_complete = true;               ///< False if some had no room.
};

/// \brief Divides groups over data centres: the largest first, each to the data
/// centre with the fewest hosts that has room for it.
/// \param room Hosts that each data centre may have in groups.
[[nodiscard]] GroupDivision DivideGroups(std::vector<GroupNeed> needs,
                                         const std::vector<std::size_t>& room);

/// \brief True when groups of these sizes, the largest first, fit in `room`.
/// Each is placed where most room is left, so that rarely a possible division
/// is not found.
[[nodiscard]] bool FitGroups(const std::vector<std::size_t>& group_sizes,
                             std::vector<std::size_t> room);

}  // namespace gooseberryturn::duty

#endif  // GOOSEBERRYTURN_DUTY_GROUP_DIVISION_H_
