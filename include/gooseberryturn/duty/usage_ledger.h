#ifndef GOOSEBERRYTURN_DUTY_USAGE_LEDGER_H_
#define GOOSEBERRYTURN_DUTY_USAGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/duty/calls.h"
#include "gooseberryturn/duty/usage_record.h"

namespace gooseberryturn::duty {

/// \brief Adds up, at the leader, the usage that entries report, and decides
/// when a window is closed.
///
/// \details Totals are kept by entry and incarnation and only grow, so that
/// repeated and older reports change nothing. A window is closed when all
/// entries have stated that their counts for it are final, or when half of the
/// time allowed for its report is over. A new leader does not know which
/// entries there are, and uses the whole of that time for the windows that
/// ended before its first kCollectTime was over. Made for 300 entries that
/// report about three times a second, and 10 teams.
class UsageLedger {
 public:
  explicit UsageLedger(const PlatformSettings& settings)
      : window(settings.usage_window),
        report_timeout(settings.usage_report_timeout) {}

  /// \brief Forgets all entries; live ones report all their totals again.
  void StartLeading(TimePoint now);
  /// \brief Gives entries kCollectTime to report: this host has just begun to
  /// lead, or was frozen.
  void CollectAgain(TimePoint now);
  /// \brief Records the report of an entry.
  void RecordReport(const EntryRun& run, const std::vector<UsageCount>& counts,
                    TimePoint now);
  /// \brief Totals that the log lacks, of entries that have ended and of the
  /// entry on `own_host`, which may be lost together with this leader.
  [[nodiscard]] std::vector<EntryUsage> TotalsToLog(const UsageRecord& record,
                                                    const std::string& own_host,
                                                    TimePoint now) const;
  /// \brief The next window and its content, if it is to be closed.
  [[nodiscard]] std::optional<UsageReport> NextClosed(const UsageRecord& record,
                                                      std::int64_t unix_ms,
                                                      TimePoint now) const;
  /// \brief Forgets what is no longer needed, and counts for windows that lie
  /// in the future or more than kMaxWindows in the past: an entry has counted
  /// them by a wrong time of day.
  void Expire(const UsageRecord& record, std::int64_t unix_ms, TimePoint now);

  /// \brief Counts that were not valid or plausible and were ignored.
  [[nodiscard]] std::uint64_t ignored_counts() const noexcept {
    return this->ignored;
  }
  /// \brief Requests that were reported after their window was closed.
  [[nodiscard]] std::uint64_t late_requests() const noexcept {
    return this->late;
  }

  static constexpr Duration kCollectTime = std::chrono::seconds(2);
  /// The totals of an entry that is silent for longer are written to the log.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1500);
  /// An entry that is silent for longer is no longer waited for.
  static constexpr Duration kForgetTimeout = std::chrono::seconds(30);
  static constexpr std::int64_t kMaxWindows = 64;
  static constexpr std::uint64_t kMaxRequests = 1'000'000'000;
  static constexpr std::size_t kMaxTeamBytes = 256;

 private:
  struct Entry {
    WindowCounts totals;
    std::int64_t first_open = 0;  ///< Counts for windows before it are final.
    TimePoint heard_at;
    bool is_replaced = false;  ///< A later run of the host has reported.
  };

  [[nodiscard]] static bool IsValid(const UsageCount& count);
  void RecordTotal(Entry& entry, const UsageCount& count);
  /// Counts of all entries for one window.
  [[nodiscard]] TeamCounts Sum(const UsageRecord& record,
                               std::int64_t closing) const;
  /// The first window that is open; nothing before the first request.
  [[nodiscard]] std::optional<std::int64_t> FirstOpen(
      const UsageRecord& record) const;
  /// True if no entry that is known may still count requests in `closing`.
  [[nodiscard]] bool IsFinal(std::int64_t closing) const;

  Duration window;
  Duration report_timeout;
  std::map<EntryRun, Entry> entries;
  TimePoint collect_until;
  std::int64_t first_open_window = 0;  ///< As Expire was last told.
  std::uint64_t ignored = 0;
  std::uint64_t late = 0;
};

}  // namespace gooseberryturn::duty

#endif  // GOOSEBERRYTURN_DUTY_USAGE_LEDGER_H_
