#ifndef GOOSEBERRYTURN_DIRECT_TARGET_NOTICES_H_
#define GOOSEBERRYTURN_DIRECT_TARGET_NOTICES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Whether the text of a Retry-After header can be followed.
enum class PauseState : std::uint8_t {
  kNone,     ///< No header.
  kValid,    ///< Seconds, whole or fractional.
  kBounded,  ///< Longer than kMaxPause, which is used instead.
  kIgnored,  ///< Negative, a date, or not a number.
};

inline constexpr NameTable<PauseState, 4> kPauseStateNames = {
    {"none", "valid", "bounded", "ignored"}};

/// \brief A pause that a target asks for.
struct RequestedPause {
  PauseState state = PauseState::kNone;
  Duration time = Duration(0);  ///< 0 unless kValid or kBounded.
};

/// Longest pause that is followed: a wrong value must not take a target out of
/// service for good.
inline constexpr Duration kMaxPause = std::chrono::minutes(5);

/// \brief Reads a Retry-After header in seconds.
[[nodiscard]] RequestedPause ReadPause(std::string_view retry_after);

/// \brief One incarnation of a target.
struct TargetIncarnation {
  std::string target;              ///< Id.
  std::int64_t start_time_ms = 0;  ///< Unix time.

  friend bool operator<(const TargetIncarnation& a,
                        const TargetIncarnation& b) {
    return std::tie(a.target, a.start_time_ms) <
           std::tie(b.target, b.start_time_ms);
  }
};

/// \brief What targets have said of themselves in their answers to this entry:
/// that they leave, or that they want nothing for some time.
///
/// \details An observation of one entry about one incarnation of one target,
/// told by the target's id and the time of its start. No newer view,
/// configuration or reload ends it, only a later start. The target is the one
/// that answered: for a replica group that is its head, through which all
/// requests of the group go. A head that leaves takes no new work for its
/// group; a member that leaves is known by its announcement only, as members
/// answer no requests.
///
/// After a pause the target gets one request of this entry at a time, and one
/// more for each good answer, so that not all that waited comes at once.
class TargetNotices {
 public:
  /// \brief Records that the target leaves.
  /// \returns False if that was known.
  bool RecordLeaving(const TargetIncarnation& incarnation);
  /// \brief Records that the target wants no requests until `until`. A deadline
  /// is never brought forward.
  /// \returns The deadline in force.
  TimePoint RecordPause(const TargetIncarnation& incarnation, TimePoint until);
  /// \brief Records a good answer, which counts if the target returns from a
  /// pause.
  void RecordGoodAnswer(const TargetIncarnation& incarnation, TimePoint now);

  [[nodiscard]] bool IsLeaving(const TargetIncarnation& incarnation) const;
  /// \brief End of the target's pause, if it lasts at `now`.
  [[nodiscard]] std::optional<TimePoint> PausedUntil(
      const TargetIncarnation& incarnation, TimePoint now) const;
  /// \brief Most requests of this entry in flight at a target that returns from
  /// a pause; empty for all others.
  [[nodiscard]] std::optional<std::uint32_t> RequestLimit(
      const TargetIncarnation& incarnation) const;

  /// A target with this limit has returned.
  static constexpr std::uint32_t kFullLimit = 8;
  /// Of more targets the ones noticed first are forgotten.
  static constexpr std::size_t kMaxTargets = 4096;

 private:
  struct Notice {
    std::int64_t start_time_ms = 0;
    std::uint64_t number = 0;  ///< Order in which notices were made.
    bool is_leaving = false;
    TimePoint paused_until;
    std::optional<std::uint32_t>
        request_limit;  ///< While it returns from a pause.
  };

  /// The notice of this incarnation of the target, or null.
  [[nodiscard]] const Notice* Find(const TargetIncarnation& incarnation) const;
  /// The same, added if there is none.
  [[nodiscard]] Notice& FindOrAdd(const TargetIncarnation& incarnation);

  std::map<std::string, Notice> notices;  ///< By target id.
  std::uint64_t next_number = 0;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_TARGET_NOTICES_H_
