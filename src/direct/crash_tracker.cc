#include "gooseberryturn/direct/crash_tracker.h"

#include <algorithm>
#include <iterator>

namespace gooseberryturn::direct {

void CrashTracker::AddCrash(const std::string& fingerprint,
                            const std::string& target, TimePoint now) {
  Suspect& suspect = this->suspects[fingerprint];
  suspect.targets.insert(target);
  suspect.last_crash_at = now;
}

void CrashTracker::ReportCutOff(const std::string& fingerprint,
                                const std::string& target, TimePoint now) {
  const auto crash = this->crashes.find(target);
  if (crash != this->crashes.end() && now < crash->second + kMatchWindow) {
    this->AddCrash(fingerprint, target, now);
  } else if (this->reports.size() < kMaxReports) {
    this->reports.push_back({fingerprint, target, now});
  }
}

void CrashTracker::RecordCrash(const std::string& target, TimePoint now) {
  this->crashes[target] = now;
  for (const CutOffReport& report : this->reports) {
    if (report.target == target) {
      this->AddCrash(report.fingerprint, target, now);
    }
  }
}

std::vector<std::string> CrashTracker::Quarantined(TimePoint now) {
  this->reports.erase(std::remove_if(this->reports.begin(), this->reports.end(),
                                     [now](const CutOffReport& report) {
                                       return now >=
                                              report.reported_at + kMatchWindow;
                                     }),
                      this->reports.end());
  for (auto crash = this->crashes.begin(); crash != this->crashes.end();) {
    const bool is_expired = now >= crash->second + kMatchWindow;
    crash = is_expired ? this->crashes.erase(crash) : std::next(crash);
  }
  std::vector<std::string> quarantined;
  for (auto suspect = this->suspects.begin();
       suspect != this->suspects.end();) {
    if (now >= suspect->second.last_crash_at + kSuspectLifetime) {
      suspect = this->suspects.erase(suspect);
      continue;
    }
    if (suspect->second.targets.size() >= kCrashesToQuarantine) {
      quarantined.push_back(suspect->first);
    }
    ++suspect;
  }
  return quarantined;
}

}  // namespace gooseberryturn::direct
