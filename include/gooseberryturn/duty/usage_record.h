#ifndef GOOSEBERRYTURN_DUTY_USAGE_RECORD_H_
#define GOOSEBERRYTURN_DUTY_USAGE_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace gooseberryturn::duty {

/// \brief Requests of a team that targets began to run in one window.
///
/// \details A count without a team is a marker: the counts of its sender for
/// all earlier windows are final.
struct UsageCount {
  std::int64_t window = 0;  ///< See duty::PlatformSettings::usage_window.
  std::string team;
  std::uint64_t requests = 0;

  MSGPACK_DEFINE(window, team, requests)
};

/// \brief Requests by team.
using TeamCounts = std::map<std::string, std::uint64_t>;

/// \brief Requests by window and team.
using WindowCounts = std::map<std::int64_t, TeamCounts>;

/// \brief Raises each count of `totals` to that of `counts`. Totals only grow,
/// so the order and the repetition of merges don't matter.
void MergeTotals(WindowCounts& totals, const WindowCounts& counts);

/// \brief One run of an entry.
struct EntryRun {
  std::string host;
  std::uint64_t incarnation = 0;  ///< Differs after each restart.

  [[nodiscard]] bool operator<(const EntryRun& other) const {
    return std::tie(this->host, this->incarnation) <
           std::tie(other.host, other.incarnation);
  }
  MSGPACK_DEFINE(host, incarnation)
};

/// \brief Totals of one run of an entry.
struct EntryUsage {
  EntryRun run;
  WindowCounts counts;

  MSGPACK_DEFINE(run, counts)
};

/// \brief Usage in the replicated state: totals of entries that have ended,
/// and the content of the reports that the platform has not acknowledged.
///
/// \details Changed by log commands only. The content of a window is set once:
/// it is the same in every call, whichever host makes it.
class UsageRecord {
 public:
  /// \brief Records totals of an entry for the windows that are open.
  void AddTotals(const EntryUsage& usage);
  /// \brief Sets the content of a window, unless it is closed already. The
  /// oldest report goes when there are more than kMaxReports.
  void CloseWindow(std::int64_t window, const TeamCounts& counts);
  /// \brief Records that the platform has acknowledged a window.
  void Acknowledge(std::int64_t window) { this->reports.erase(window); }

  /// \brief The first window that is open; 0 before the first one was closed.
  [[nodiscard]] std::int64_t next_window() const noexcept {
    return this->first_open;
  }
  /// \brief Totals for open windows, by entry.
  [[nodiscard]] const std::map<EntryRun, WindowCounts>& totals()
      const noexcept {
    return this->ended_totals;
  }
  /// \brief Content of the closed windows that are not acknowledged.
  [[nodiscard]] const WindowCounts& unacknowledged() const noexcept {
    return this->reports;
  }

  static constexpr std::size_t kMaxReports = 64;

 private:
  std::int64_t first_open = 0;
  std::map<EntryRun, WindowCounts> ended_totals;
  WindowCounts reports;

 public:
  MSGPACK_DEFINE(first_open, ended_totals, reports)
};

}  // namespace gooseberryturn::duty

#endif  // GOOSEBERRYTURN_DUTY_USAGE_RECORD_H_
