#include "gooseberryturn/duty/group_division.h"

#include <algorithm>

namespace gooseberryturn::duty {

namespace {

/// Index of the data centre with the fewest hosts that has room for a group of
/// `size`; the number of data centres if none has.
std::size_t ChooseDataCentre(const std::vector<std::size_t>& hosts,
                             const std::vector<std::size_t>& room,
                             std::size_t size) {
  std::size_t chosen = hosts.size();
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    const bool has_room = hosts[index] + size <= room[index];
    const bool is_better =
        chosen == hosts.size() || hosts[index] < hosts[chosen];
    chosen = has_room && is_better ? index : chosen;
  }
  return chosen;
}

}  // namespace

GroupDivision DivideGroups(std::vector<GroupNeed> needs,
                           const std::vector<std::size_t>& room) {
  std::sort(needs.begin(), needs.end(),
            [](const GroupNeed& left, const GroupNeed& right) {
              return left.size > right.size;
            });
  GroupDivision division;
  division.hosts.resize(room.size());
  for (const GroupNeed& need : needs) {
    for (std::size_t group = 0; group < need.groups; ++group) {
      const std::size_t chosen =
          ChooseDataCentre(division.hosts, room, need.size);
      if (chosen == room.size()) {
        division.is_complete = false;
        break;
      }
      division.hosts[chosen] += need.size;
      division.group_sizes.push_back(need.size);
    }
  }
  return division;
}

bool FitGroups(const std::vector<std::size_t>& group_sizes,
               std::vector<std::size_t> room) {
  for (const std::size_t size : group_sizes) {
    const auto largest = std::max_element(room.begin(), room.end());
    if (largest == room.end() || *largest < size) {
      return false;
    }
    *largest -= size;
  }
  return true;
}

}  // namespace gooseberryturn::duty
