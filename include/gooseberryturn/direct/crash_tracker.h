#ifndef GOOSEBERRYTURN_DIRECT_CRASH_TRACKER_H_
#define GOOSEBERRYTURN_DIRECT_CRASH_TRACKER_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Finds requests that crash the targets which execute them; used by the
/// leader.
///
/// \details Entries report which request was cut off at which target. A report
/// counts only if that target is known to have crashed at about the same time,
/// so that an answer lost on the network does not make a request suspect. A
/// target counts once for a request, however many copies of it were in progress
/// there.
class CrashTracker {
 public:
  /// \brief Records that the request with `fingerprint` was cut off at
  /// `target`.
  void ReportCutOff(const std::string& fingerprint, const std::string& target,
                    TimePoint now);
  /// \brief Records that `target` crashed: it disappeared or was restarted.
  void RecordCrash(const std::string& target, TimePoint now);
  /// \brief Fingerprints of requests to reject; forgets what has expired.
  [[nodiscard]] std::vector<std::string> Quarantined(TimePoint now);

  /// \brief Crashed targets after which a request is rejected.
  static constexpr std::size_t kCrashesToQuarantine = 3;
  /// Longest time between a report and the crash of its target, either first.
  static constexpr Duration kMatchWindow = std::chrono::seconds(8);
  /// Crashes further apart than this are not attributed to one request.
  static constexpr Duration kSuspectLifetime = std::chrono::seconds(60);
  static constexpr std::size_t kMaxReports = 4096;

 private:
  /// A request cut off at a target that is not known to have crashed.
  struct CutOffReport {
    std::string fingerprint;
    std::string target;
    TimePoint reported_at;
  };

  /// A request that was in progress at targets when they crashed.
  struct Suspect {
    std::set<std::string> targets;
    TimePoint last_crash_at;
  };

  void AddCrash(const std::string& fingerprint, const std::string& target,
                TimePoint now);

  std::vector<CutOffReport> reports;
  std::map<std::string, TimePoint> crashes;
  std::map<std::string, Suspect> suspects;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CRASH_TRACKER_H_
