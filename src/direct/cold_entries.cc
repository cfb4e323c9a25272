#include "gooseberryturn/direct/cold_entries.h"

#include <algorithm>
#include <map>

#include "gooseberryturn/core/id.h"

namespace gooseberryturn::direct {

bool AssignColdEntries(const std::string& target,
                       const std::vector<std::string>& entries,
                       std::vector<std::string>& assigned) {
  if (assigned.size() >= kColdEntries) {
    return false;
  }
  // Rendezvous hashing: each target ranks the entries in an order of its own.
  std::map<std::string, std::string> entry_by_rank;
  for (const std::string& entry : entries) {
    const bool is_assigned =
        std::find(assigned.begin(), assigned.end(), entry) != assigned.end();
    if (!is_assigned) {
      entry_by_rank[Digest(target + "\n" + entry)] = entry;
    }
  }
  const std::size_t before = assigned.size();
  for (const std::pair<const std::string, std::string>& ranked :
       entry_by_rank) {
    if (assigned.size() < kColdEntries) {
      assigned.push_back(ranked.second);
    }
  }
  return assigned.size() > before;
}

}  // namespace gooseberryturn::direct
