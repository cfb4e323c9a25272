#ifndef GOOSEBERRYTURN_DIRECT_CRASH_TRACKER_H_
#define GOOSEBERRYTURN_DIRECT_CRASH_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/crash_report.h"
#include "gooseberryturn/direct/target_notices.h"

namespace gooseberryturn::direct {

/// \brief How an incarnation of a target ended.
enum class TargetEnd : std::uint8_t {
  kCrashed,
  kLeft,  ///< It had said that it would leave.
};

/// \brief What became of a content.
enum class SuspicionChange : std::uint8_t {
  kHeld,         ///< Requests with it wait from now on.
  kCleared,      ///< It was answered whole, or its targets have not crashed.
  kQuarantined,  ///< Requests with it are refused from now on.
  kEnded,        ///< No such request came for long: it may be tried again.
};

inline constexpr NameTable<SuspicionChange, 4> kSuspicionChangeNames = {
    {"held", "cleared", "quarantined", "ended"}};

/// \brief A change of the state of a content, for the log.
struct SuspicionEvent {
  SuspicionChange change = SuspicionChange::kHeld;
  std::string content;
  std::vector<TargetIncarnation> crashes;
};

/// \brief Finds content that crashes the targets which run it: a part of
/// prompts, or a whole request that comes again. Used by the leader.
///
/// \details Many requests are in progress at a target that crashes, and most
/// are innocent. A content is quarantined when several targets have crashed
/// while they ran requests with it and no target has answered one whole since:
/// - A whole answer clears all content of its request of earlier crashes, so
///   popular content is cleared within moments.
/// - Content that was not answered lately is held after its first crash, or as
///   soon as its target is silent: its requests wait, and one at a time is
///   tried, until it is cleared or quarantined.
/// - A crash that quarantined content explains counts against no other.
///
/// A crash must be known by other means (RecordEnd): an answer lost on the
/// network makes nothing suspect for longer than kMatchWindow.
class CrashTracker {
 public:
  /// \brief Takes over what an earlier leader recorded.
  /// \param term Of the leader that uses this; numbers of its trials differ
  /// from those of other leaders.
  void Restore(const std::vector<SuspectRecord>& records, std::uint64_t term,
               TimePoint now);

  void RecordCut(const CutRequest& cut, TimePoint now);
  /// \brief Records that a target answered a request with `content` whole and
  /// has outlived it.
  void RecordAnswer(const std::string& content, TimePoint answered_at);
  void RecordEnd(const TargetIncarnation& incarnation, TargetEnd end,
                 TimePoint now);
  /// \brief Records that a request with quarantined content was refused.
  void RecordRefusal(const std::string& content, TimePoint now);
  /// \brief Asks for a trial of held content at `entry`, where requests wait.
  void RequestTrial(const std::string& content, const std::string& entry,
                    TimePoint now);
  /// \brief Ends a quarantine or a suspicion by an operator's order.
  /// \returns False if the content is neither.
  bool Clear(const std::string& content);
  /// \brief Forgets what has expired and decides what is quarantined.
  void Update(TimePoint now);

  /// \brief Quarantined content, at most kMaxPublished.
  [[nodiscard]] std::vector<std::string> Quarantined() const;
  /// \brief Held content, at most kMaxPublished.
  [[nodiscard]] std::vector<HeldContent> Held() const;
  /// \brief Whole requests that one more crash may quarantine, at most
  /// kMaxPublished.
  [[nodiscard]] std::vector<std::string> Watched() const;
  /// \brief Content with crashes, for the log; at most kMaxPublished.
  [[nodiscard]] std::vector<SuspectRecord> Records() const;
  /// \brief Grows with each change of what is published or recorded.
  [[nodiscard]] std::uint64_t revision() const noexcept {
    return this->change_count;
  }
  [[nodiscard]] std::vector<SuspicionEvent> TakeEvents();

  /// \brief Crashed targets after which content is quarantined, if no other
  /// content may be to blame for the same crashes.
  static constexpr std::size_t kCrashesToQuarantine = 3;
  /// \brief The same for any content.
  static constexpr std::size_t kCrashesToQuarantineAny = 5;
  /// Longest time between a cut and the crash of its target, either first.
  static constexpr Duration kMatchWindow = std::chrono::seconds(8);
  /// Crashes are forgotten when the last one is this long ago.
  static constexpr Duration kSuspectLifetime = std::chrono::minutes(10);
  /// The same for whole requests, of which most never come again.
  static constexpr Duration kRequestLifetime = std::chrono::seconds(60);
  /// A quarantine ends when no request with its content came for so long.
  static constexpr Duration kQuarantineTime = std::chrono::minutes(10);
  /// Content that was answered whole in this time is not held.
  static constexpr Duration kSoundTime = std::chrono::seconds(60);
  /// Time after which a trial without a result is followed by another.
  static constexpr Duration kTrialTime = std::chrono::seconds(3);
  /// Time in which entries tell a new leader what was answered. Until then it
  /// quarantines no whole request, and no part that was answered lately.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(2000);
  static constexpr std::size_t kMaxSuspects = 4096;
  static constexpr std::size_t kMaxAnswers = 16'384;
  /// Cuts that are kept of one content, at different incarnations.
  static constexpr std::size_t kMaxCuts = 16;
  static constexpr std::size_t kMaxPublished = 128;
  /// Trials of one leader have consecutive numbers.
  static constexpr std::uint64_t kTrialsPerTerm = std::uint64_t{1} << 32U;
  static constexpr Duration kExpiryInterval = std::chrono::milliseconds(200);

 private:
  /// Requests with a content that were cut at one incarnation of a target.
  struct Cut {
    TimePoint at;
    bool is_observed = false;
    bool is_recent = false;
    bool is_crash = false;
  };
  using CutsByTarget = std::map<TargetIncarnation, Cut>;

  struct KnownEnd {
    TargetEnd end = TargetEnd::kCrashed;
    TimePoint at;
  };

  struct Trial {
    std::string entry;
    std::uint64_t number = 0;
    TimePoint ends_at;
  };

  struct Suspect {
    CutsByTarget cuts;
    std::set<std::string> parts;  ///< Of a whole request: its parts.
    Trial trial;
    TimePoint last_seen_at;     ///< Last cut or refusal.
    bool was_answered = false;  ///< In kSoundTime before its first cut.
    bool is_quarantined = false;
    bool is_held = false;
  };
  using SuspectMap = std::map<std::string, Suspect>;

  void AddCut(const std::string& content, const TargetIncarnation& incarnation,
              const Cut& cut);
  /// Makes room for one more suspect: drops one that is far from quarantine,
  /// a whole request before a part, the oldest first.
  /// \returns False if all are quarantined.
  [[nodiscard]] bool DropWeakest();
  /// True if quarantined content was in progress at `incarnation` as well.
  [[nodiscard]] bool IsExplained(const TargetIncarnation& incarnation) const;
  /// Takes the crashes of `content` off all others that are not quarantined.
  void Explain(const std::string& content);
  void Expire(TimePoint now);
  void ExpireCuts(Suspect& suspect, TimePoint now);
  /// Quarantines the content that is to blame for enough crashes.
  void Decide(TimePoint now);
  [[nodiscard]] bool MayBeQuarantined(const std::string& content,
                                      const Suspect& suspect) const;
  /// Crashes of a whole request at which no part was in progress that is held
  /// and not its own.
  [[nodiscard]] std::size_t CountUnexplained(const Suspect& request) const;
  /// True if other content was at all targets that crashed with `content`.
  [[nodiscard]] bool IsAmbiguous(const std::string& content,
                                 const Suspect& suspect) const;
  void UpdateHeld();
  [[nodiscard]] static bool MustBeHeld(const std::string& content,
                                       const Suspect& suspect);
  [[nodiscard]] static std::vector<TargetIncarnation> CrashesOf(
      const Suspect& suspect);
  void AddEvent(SuspicionChange change, const std::string& content,
                const Suspect& suspect);
  SuspectMap::iterator Erase(SuspectMap::iterator entry);

  SuspectMap suspects;
  std::map<std::string, TimePoint> answers;
  /// Incarnations that ended less than kMatchWindow ago.
  std::map<TargetIncarnation, KnownEnd> ends;
  std::vector<SuspicionEvent> events;
  std::uint64_t change_count = 0;
  std::uint64_t trial_count = 0;
  std::size_t quarantined_count = 0;
  TimePoint next_expiry_at;
  TimePoint settled_at;  ///< kSettleTime after Restore.
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CRASH_TRACKER_H_
