#ifndef GOOSEBERRYTURN_DIRECT_COLD_ENTRIES_H_
#define GOOSEBERRYTURN_DIRECT_COLD_ENTRIES_H_

#include <cstddef>
#include <string>
#include <vector>

namespace gooseberryturn::direct {

/// \brief Entries that may send to one cold target. Each gets this fraction of
/// the target's rate.
///
/// \details Each entry's part of the rate allows one request at once. With all
/// of many entries taking part, these alone exceed the rate of a target.
inline constexpr std::size_t kColdEntries = 8;

/// \brief Adds entries to those that may send to the cold target `target`,
/// until there are kColdEntries.
///
/// \details None is ever taken away: one that lost its leader still uses its
/// part. Which ones are added depends on the target and spreads evenly.
/// \param assigned The entries assigned so far.
/// \param entries The entries that follow the leader.
/// \returns True if some were added.
bool AssignColdEntries(const std::string& target,
                       const std::vector<std::string>& entries,
                       std::vector<std::string>& assigned);

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_COLD_ENTRIES_H_
