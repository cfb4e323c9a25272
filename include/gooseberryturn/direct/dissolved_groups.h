#ifndef GOOSEBERRYTURN_DIRECT_DISSOLVED_GROUPS_H_
#define GOOSEBERRYTURN_DIRECT_DISSOLVED_GROUPS_H_

#include <cstdint>
#include <map>
#include <string>

#include "gooseberryturn/direct/registry.h"

namespace gooseberryturn::direct {

/// \brief Names an announcement of a target: later ones of the same run have a
/// higher sequence.
struct AnnouncementMark {
  std::int64_t start_time_ms = 0;
  std::uint64_t sequence = 0;
};

/// \brief The last announcement of a target, or the default if it is not
/// registered.
[[nodiscard]] AnnouncementMark LastAnnouncement(const Registry& registry,
                                                const std::string& target);

/// \brief True if the target has announced itself after `mark`.
[[nodiscard]] bool HasAnnouncedSince(const TargetRecord& record,
                                     const AnnouncementMark& mark);

/// \brief The groups that were dissolved, and which of them have come back.
///
/// \details Members of a dissolved group may go on announcing it, and are free
/// all the same. A group has come back when its head announces, after it had
/// left, that it may be serving: late copies of orders to join and to open were
/// carried out.
class DissolvedGroups {
 public:
  /// \brief Records that a group is dissolved.
  /// \param may_be_open Its head may have been ordered to open.
  void Record(std::uint64_t epoch, const std::string& head, bool may_be_open,
              const Registry& registry);
  /// \brief True if the target announces a group that has come back.
  [[nodiscard]] bool IsRevived(const TargetRecord& record,
                               const Registry& registry) const;
  /// \brief True if the target announces a dissolved group that has not come
  /// back.
  [[nodiscard]] bool IsDissolved(const TargetRecord& record,
                                 const Registry& registry) const;

 private:
  /// A dissolved group.
  struct DissolvedGroup {
    std::string head;
    AnnouncementMark dissolved_as;  ///< The head's last announcement before.
    bool may_be_open = false;
  };

  std::map<std::uint64_t, DissolvedGroup> groups;  ///< By epoch.
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_DISSOLVED_GROUPS_H_
