#ifndef GOOSEBERRYTURN_DIRECT_TARGET_TRACKER_H_
#define GOOSEBERRYTURN_DIRECT_TARGET_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief What an exchange says of the health of its target.
enum class Evidence : std::uint8_t {
  kNone,  ///< The caller left, or the target was merely full.
  kGood,  ///< A whole answer came.
  kBad,   ///< Cut, mute, invalid or no connection.
};

inline constexpr NameTable<Evidence, 3> kEvidenceNames = {
    {"none", "good", "bad"}};

/// \brief What one entry knows of the load and health of each target.
///
/// \details Load is its own open requests, which it knows at once, and those
/// of the other entries, which the leader tells some 100 ms late.
class TargetTracker {
 public:
  void Begin(const std::string& target, std::uint32_t prompt_tokens,
             TimePoint now);
  /// \brief The first event of a request came: its prompt was read.
  void Read(const std::string& target, std::uint32_t prompt_tokens);
  void End(const std::string& target, Evidence evidence, TimePoint now);
  /// \brief Bytes came from the target.
  void Progress(const std::string& target, TimePoint now);
  /// \brief Takes the sums of all entries, this one's last report included.
  void SetTotals(const std::vector<OpenWork>& totals);
  /// \brief This entry's open work, noted as reported.
  [[nodiscard]] std::vector<OpenWork> ReportOpenWork();
  /// \brief Open requests of all entries at `target`.
  [[nodiscard]] std::uint32_t Load(const std::string& target) const;
  /// \brief Prompt tokens of all entries that `target` has not read yet.
  [[nodiscard]] std::uint32_t Unread(const std::string& target) const;
  /// \brief Targets with work from which nothing came for kStallAfter.
  [[nodiscard]] std::vector<std::string> StalledTargets(TimePoint now) const;
  [[nodiscard]] bool IsStalled(const std::string& target, TimePoint now) const;
  /// \brief True while answers of the target say that it is ill.
  [[nodiscard]] bool IsAvoided(const std::string& target, TimePoint now) const;
  /// \brief Takes one of the few requests that a cold target bears.
  [[nodiscard]] bool TakeCold(const std::string& target, double per_s,
                              TimePoint now);

  static constexpr Duration kStallAfter = std::chrono::milliseconds(320);
  static constexpr Duration kFirstAvoid = std::chrono::milliseconds(500);
  static constexpr Duration kLongestAvoid = std::chrono::seconds(4);
  static constexpr int kBadToAvoid = 2;

 private:
  struct Entry {
    std::uint32_t own = 0;
    std::uint32_t reported = 0;
    std::uint32_t total = 0;
    std::uint32_t unread = 0;
    std::uint32_t unread_reported = 0;
    std::uint32_t unread_total = 0;
    TimePoint progress_at;
    int bad_in_row = 0;
    TimePoint avoid_until;
    double cold_credit = 0;
    TimePoint cold_at;
  };

  std::map<std::string, Entry> entries;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_TARGET_TRACKER_H_
