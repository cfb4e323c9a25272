#ifndef GOOSEBERRYTURN_DUTY_USAGE_METER_H_
#define GOOSEBERRYTURN_DUTY_USAGE_METER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/duty/fleet_clock.h"
#include "gooseberryturn/duty/usage_record.h"

namespace gooseberryturn::duty {

/// \brief Number of the window that contains `unix_ms`.
[[nodiscard]] std::int64_t WindowAt(std::int64_t unix_ms, Duration window);

/// \brief Counts, at one entry, the requests that targets began to run, by
/// window and team.
///
/// \details A stream counts at its first event. Another request counts when it
/// was handed to the target, once its answer, or the lack of one, shows that it
/// may have run. A request counts once however often it is sent. Made for 50
/// new requests a second of 10 teams, and 1,000 in progress.
class UsageMeter {
 public:
  explicit UsageMeter(Duration window) : window(window) {}

  /// \brief Sets the fleet's time, as an update states it; 0 if unknown.
  /// \param own_unix_ms Used until the fleet's time is known.
  void SetTime(std::int64_t unix_ms, std::int64_t own_unix_ms, TimePoint now);
  /// \brief A request that is no stream is handed to a target.
  void BeginAttempt(std::uint64_t request, const std::string& team,
                    TimePoint now);
  /// \brief The attempt in progress, if any, has ended.
  /// \param has_begun The target may have begun to run it.
  void EndAttempt(std::uint64_t request, bool has_begun);
  /// \brief The first event of a stream has arrived.
  void RecordFirstEvent(std::uint64_t request, const std::string& team,
                        TimePoint now);
  /// \brief The request has ended; an attempt in progress no longer counts.
  void EndRequest(std::uint64_t request) { this->requests.erase(request); }
  /// \brief The totals that have changed since the last report, and a marker:
  /// counts for the windows before it are final.
  [[nodiscard]] std::vector<UsageCount> TakeReport(TimePoint now);
  /// \brief The next report has all totals of the last kWindows windows.
  void ReportAgain();

  static constexpr std::int64_t kWindows = 8;
  /// An attempt without an answer counts after this time: a target that does
  /// not execute a request says so at once.
  static constexpr Duration kAnswerTimeout = std::chrono::seconds(2);

 private:
  /// A request in progress.
  struct Request {
    std::string team;
    bool is_counted = false;
    bool is_attempted = false;    ///< An attempt is in progress.
    std::int64_t begun_in = 0;    ///< Window of that attempt.
    TimePoint presumed_begun_at;  ///< It counts then, without an answer.
  };

  /// The current window; nothing before the first SetTime.
  [[nodiscard]] std::optional<std::int64_t> CurrentWindow(TimePoint now);
  /// The request with this id, unless it was counted or its team has no name.
  [[nodiscard]] Request* FindUncounted(std::uint64_t id,
                                       const std::string& team);
  void Count(Request& request, std::int64_t in);

  Duration window;
  FollowedClock clock;
  std::int64_t newest_window = 0;
  std::map<std::uint64_t, Request> requests;
  WindowCounts totals;
  /// Windows and teams whose totals the next report has.
  std::set<std::pair<std::int64_t, std::string>> changed;
};

}  // namespace gooseberryturn::duty

#endif  // GOOSEBERRYTURN_DUTY_USAGE_METER_H_
