#ifndef GOOSEBERRYTURN_DIRECT_REGISTRY_H_
#define GOOSEBERRYTURN_DIRECT_REGISTRY_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/announcement.h"
#include "gooseberryturn/direct/heartbeat_relay.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief The leader's state for one target.
struct TargetRecord {
  TargetView view;
  std::uint64_t sequence = 0;  ///< Of the last announcement.
  std::string content;         ///< See ContentDigest; empty if unconfirmed.
  TimePoint last_heard_at;
  TimePoint cold_until;
  TimePoint in_group_since;  ///< It first announced its present group.
  /// Recorded by an earlier leader and not announced since.
  bool is_unconfirmed = false;
};

/// \brief An incarnation of a target that is no longer registered.
struct EndedIncarnation {
  TargetIncarnation incarnation;
  bool was_leaving = false;  ///< It had said that it would leave.
};

/// \brief Effect of an announcement on the registry.
enum class AnnouncementResult : std::uint8_t {
  kNew,      ///< First announcement of a target or, after a restart, of a run.
  kChanged,  ///< The view of the target changed.
  kSame,     ///< The view of the target is the same as before.
  kStale,    ///< Ignored; see Registry::HandleAnnouncement.
  /// It would replace members of groups that may go on; see
  /// Registry::ContestedRuns.
  kContested
};

inline constexpr NameTable<AnnouncementResult, 5> kAnnouncementResultNames = {
    {"new", "changed", "same", "old", "contested"}};

/// \brief What an answer from the address of a run says of it.
enum class RunState : std::uint8_t { kUnknown, kRunning, kEnded };

inline constexpr NameTable<RunState, 3> kRunStateNames = {
    {"unknown", "running", "ended"}};

/// \brief The targets that have announced themselves to the leader.
///
/// \details A silent target is kept for kSilentRetention: it may only be
/// partitioned from the control hosts and still serve callers. Announcements
/// that arrive late are recognised by `start_time_ms` and `sequence`. Both may
/// come from another writer, though: a record that its target does not continue
/// gives way to one that goes on announcing itself for kTakeoverTime. A member
/// of a group, which may head an open one, is replaced at once only when its
/// end was confirmed by somebody who knows: by what answers at its address.
class Registry {
 public:
  /// \brief Registers or updates the target, unless the announcement is stale:
  /// out of order, from a run of a target that has ended since, or from another
  /// address than the run's.
  /// \param unix_ms The time of day; without it, any start is credible.
  AnnouncementResult HandleAnnouncement(
      const Announcement& announcement, TimePoint now,
      std::int64_t unix_ms = std::numeric_limits<std::int64_t>::max());
  /// \brief Refreshes a target that another control host has heard.
  /// \returns False if this registry knows of no such run with just that
  /// content, so that it must be announced in full.
  [[nodiscard]] bool Refresh(const HeardTarget& heard, TimePoint now);
  /// \brief Runs of members of groups that the announcement would replace:
  /// others at its address, and an earlier one under its id.
  [[nodiscard]] std::vector<TargetIncarnation> ContestedRuns(
      const Announcement& announcement) const;
  /// \brief Tells from the answer at the address of a member of a group whether
  /// the member's run goes on. A report doesn't name its target, but no other
  /// run is in the same group.
  /// \param is_other_target Who answered is another target, or has no reports.
  /// \param report What was reported, if anything.
  [[nodiscard]] RunState StateOf(const TargetIncarnation& run,
                                 bool is_other_target,
                                 const std::optional<EngineReport>& report,
                                 TimePoint now) const;
  /// \brief Removes a run that is known to have ended.
  void ConfirmEnd(const TargetIncarnation& run, TimePoint now);
  /// \brief True when the run is known to have ended, and is not just no longer
  /// heard of.
  [[nodiscard]] bool HasEnded(const TargetIncarnation& run) const;
  /// \brief Marks a target that withdrew; it is kept until it is silent for
  /// kLeavingRetention.
  void MarkLeaving(const std::string& id, TimePoint now);
  /// \brief Adds a target that an earlier leader recorded, unless it is known.
  void AddRecorded(const TargetView& view, TimePoint now);
  /// \brief Ends cold periods and removes targets that stayed silent.
  /// \returns Ids of the targets that are no longer cold.
  [[nodiscard]] std::vector<std::string> Expire(TimePoint now);

  /// \brief Assigns `entries` to the cold targets that lack some.
  /// \returns Ids of the targets that got some.
  [[nodiscard]] std::vector<std::string> AssignColdEntries(
      const std::vector<std::string>& entries);
  /// \brief The same for one target.
  /// \returns Whether it got some.
  bool AssignColdEntries(const std::string& id,
                         const std::vector<std::string>& entries);

  /// \brief The record of a target, or null if it is not registered.
  [[nodiscard]] const TargetRecord* Find(const std::string& id) const;
  [[nodiscard]] const std::map<std::string, TargetRecord>& targets()
      const noexcept {
    return this->records;
  }
  /// \brief Returns the ids removed since the last call.
  [[nodiscard]] std::vector<std::string> TakeRemoved();
  /// \brief Returns the incarnations that ended since the last call: removed,
  /// or followed by a later one under the same id.
  [[nodiscard]] std::vector<EndedIncarnation> TakeEnded();

  static constexpr Duration kSilentRetention = std::chrono::seconds(30);
  static constexpr Duration kLeavingRetention = std::chrono::seconds(12);
  /// Time for which a confirmed end is kept, longer than any group of the run
  /// takes to be dissolved.
  static constexpr Duration kEndRetention = std::chrono::seconds(60);
  /// A target's report shows the state of up to this time ago.
  static constexpr Duration kMaxReportAge = std::chrono::milliseconds(1000);
  /// Longer than announcements are usually late.
  static constexpr Duration kTakeoverTime = std::chrono::seconds(5);
  /// In that time, each with a higher sequence than the one before.
  static constexpr int kTakeoverAnnouncements = 5;
  /// A start that lies further ahead replaces no other run: clocks of hosts
  /// differ by less.
  static constexpr std::int64_t kMaxClockDifferenceMs = 24LL * 60 * 60 * 1000;

 private:
  /// A target that withdrew. Late announcements of the same run don't register
  /// it again.
  struct Tombstone {
    std::int64_t start_time_ms = 0;
    TimePoint forget_at;
  };

  /// Stale announcements of one run, since the record that they are older than
  /// was last heard of.
  struct Contender {
    std::int64_t start_time_ms = 0;
    std::uint64_t sequence = 0;
    int announcements = 0;
    TimePoint since;
  };

  /// Ids of the targets whose last known address is `address`.
  [[nodiscard]] std::set<std::string> IdsAt(const Endpoint& address) const;
  void SetAddress(TargetRecord& record, const Endpoint& address);
  void ClearAddress(const TargetRecord& record);
  /// Removes a target.
  /// \returns The next entry.
  std::map<std::string, TargetRecord>::iterator Remove(
      std::map<std::string, TargetRecord>::iterator entry);
  /// Removes other targets at `address` that started at `start_time_ms` or
  /// before.
  void RemoveOlderAt(const Endpoint& address, const std::string& id,
                     std::int64_t start_time_ms);
  /// Other targets at the same address that started later.
  [[nodiscard]] std::vector<std::string> SupersedingIds(
      const Announcement& announcement) const;
  /// True when the announcement would replace another run.
  [[nodiscard]] bool ReplacesRun(const Announcement& announcement) const;
  /// True for one that is older than a record of its target or its address, or
  /// that places a known run at another address.
  [[nodiscard]] bool ContradictsRecord(const Announcement& announcement) const;
  /// When a record that the announcement contradicts was last heard of.
  [[nodiscard]] TimePoint NewerHeardAt(const Announcement& announcement) const;
  /// When one of the contested runs was last heard of.
  [[nodiscard]] TimePoint ContestedHeardAt(
      const std::vector<TargetIncarnation>& runs) const;
  /// Counts an announcement that would replace records, of which one was last
  /// `heard_at`.
  /// \returns Whether it takes their place.
  [[nodiscard]] bool TakesOver(const Announcement& announcement,
                               TimePoint heard_at, TimePoint now);

  std::map<std::string, TargetRecord> records;
  std::map<std::string, std::set<std::string>> ids_by_address;
  std::map<std::string, Tombstone> tombstones;
  std::map<std::string, Contender> contenders;  ///< By id.
  /// Latest confirmed end of each target; Tombstone::start_time_ms is the
  /// run's.
  std::map<std::string, Tombstone> confirmed_ends;
  std::vector<std::string> removed;
  std::vector<EndedIncarnation> ended;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_REGISTRY_H_
