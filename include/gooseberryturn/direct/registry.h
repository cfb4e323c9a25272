#ifndef GOOSEBERRYTURN_DIRECT_REGISTRY_H_
#define GOOSEBERRYTURN_DIRECT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/announcement.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief What the leader knows of one target.
struct TargetRecord {
  TargetView view;
  std::uint64_t sequence = 0;
  TimePoint heard_at;
  TimePoint cold_until;
  bool is_adopted = false;  ///< Known only from an earlier leader.
};

/// \brief How an announcement was taken.
enum class AnnouncementResult : std::uint8_t { kNew, kChanged, kSame, kStale };

inline constexpr NameTable<AnnouncementResult, 4> kAnnouncementResultNames = {
    {"new", "changed", "same", "old"}};

/// \brief All targets that announced themselves.
///
/// \details A target that falls silent stays known for kForgetAfter: it may
/// only be cut off from the control hosts and still serve callers. Late
/// announcements are told by `start_time_ms` and `sequence`.
class Registry {
 public:
  /// \brief Takes an announcement.
  AnnouncementResult HandleAnnouncement(const Announcement& announcement,
                                        TimePoint now);
  /// \brief The target says that it leaves; it stays known until it is silent.
  void MarkLeaving(const std::string& id, TimePoint now);
  /// \brief Takes a target over from an earlier leader, unless it is known.
  void Adopt(const TargetView& view, TimePoint now);
  /// \brief Ends cold times and forgets targets; returns ids that changed.
  [[nodiscard]] std::vector<std::string> Expire(TimePoint now);

  [[nodiscard]] const TargetRecord* Find(const std::string& id) const;
  [[nodiscard]] const std::map<std::string, TargetRecord>& targets()
      const noexcept {
    return this->records;
  }
  [[nodiscard]] std::vector<std::string> TakeRemoved();

  static constexpr Duration kForgetAfter = std::chrono::seconds(30);
  static constexpr Duration kForgetLeftAfter = std::chrono::seconds(12);

 private:
  /// A target that withdrew; late words of the same life are ignored.
  struct Tombstone {
    std::int64_t start_time_ms = 0;
    TimePoint forget_at;
  };

  /// Targets that were last heard of at `address`.
  [[nodiscard]] std::set<std::string> IdsAt(const Endpoint& address) const;
  void SetAddress(TargetRecord& record, const Endpoint& address);
  void ClearAddress(const TargetRecord& record);
  /// Forgets a target. \returns What follows it.
  std::map<std::string, TargetRecord>::iterator Remove(
      std::map<std::string, TargetRecord>::iterator entry);
  void RemoveOlderAt(const Endpoint& address, const std::string& id,
                     std::int64_t start_time_ms);
  [[nodiscard]] bool IsOutlived(const Announcement& announcement) const;

  std::map<std::string, TargetRecord> records;
  std::map<std::string, std::set<std::string>> ids_by_address;
  std::map<std::string, Tombstone> tombstones;
  std::vector<std::string> removed;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_REGISTRY_H_
