#ifndef GOOSEBERRYTURN_DIRECT_CRASH_TRACKER_H_
#define GOOSEBERRYTURN_DIRECT_CRASH_TRACKER_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Finds requests that crash each target that runs them; at the leader.
///
/// \details Entries report what was cut off at which target. A report counts
/// only if that target is then known to have died, so that answers lost on
/// their way do not make a request suspect. One death counts once for a
/// request, however many copies of it were running there.
class CrashTracker {
 public:
  /// \brief The request with `fingerprint` was cut off at `target`.
  void ReportCutOff(const std::string& fingerprint, const std::string& target,
                    TimePoint now);
  /// \brief `target` died: it is silent for good or began a new life.
  void RecordCrash(const std::string& target, TimePoint now);
  /// \brief Requests that are to be rejected.
  [[nodiscard]] std::vector<std::string> Quarantined(TimePoint now);

  /// \brief Deaths after which a request is rejected.
  static constexpr std::size_t kDeathsToQuarantine = 3;
  /// A report waits this long for news of its target, and the reverse.
  static constexpr Duration kMatchWindow = std::chrono::seconds(8);
  /// Deaths further apart than this are not put down to one request.
  static constexpr Duration kMemory = std::chrono::seconds(60);
  static constexpr std::size_t kMaxReports = 4096;

 private:
  /// A request cut off at a target of which no death is known yet.
  struct CutOff {
    std::string fingerprint;
    std::string target;
    TimePoint at;
  };

  /// The deaths that a request took part in.
  struct Suspect {
    std::set<std::string> targets;
    TimePoint last_at;
  };

  void Count(const std::string& fingerprint, const std::string& target,
             TimePoint now);

  std::vector<CutOff> reports;
  std::map<std::string, TimePoint> deaths;
  std::map<std::string, Suspect> suspects;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CRASH_TRACKER_H_
