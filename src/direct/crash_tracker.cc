#include "gooseberryturn/direct/crash_tracker.h"

#include <algorithm>
#include <iterator>

namespace gooseberryturn::direct {

void CrashTracker::Count(const std::string& fingerprint,
                         const std::string& target, TimePoint now) {
  Suspect& suspect = this->suspects[fingerprint];
  suspect.targets.insert(target);
  suspect.last_at = now;
}

void CrashTracker::ReportCutOff(const std::string& fingerprint,
                                const std::string& target, TimePoint now) {
  const auto death = this->deaths.find(target);
  if (death != this->deaths.end() && now < death->second + kMatchWindow) {
    this->Count(fingerprint, target, now);
  } else if (this->reports.size() < kMaxReports) {
    this->reports.push_back({fingerprint, target, now});
  }
}

void CrashTracker::RecordCrash(const std::string& target, TimePoint now) {
  this->deaths[target] = now;
  for (const CutOff& report : this->reports) {
    if (report.target == target) {
      this->Count(report.fingerprint, target, now);
    }
  }
}

std::vector<std::string> CrashTracker::Quarantined(TimePoint now) {
  this->reports.erase(std::remove_if(this->reports.begin(), this->reports.end(),
                                     [now](const CutOff& report) {
                                       return now >= report.at + kMatchWindow;
                                     }),
                      this->reports.end());
  for (auto death = this->deaths.begin(); death != this->deaths.end();) {
    const bool is_old = now >= death->second + kMatchWindow;
    death = is_old ? this->deaths.erase(death) : std::next(death);
  }
  std::vector<std::string> names;
  for (auto suspect = this->suspects.begin();
       suspect != this->suspects.end();) {
    if (now >= suspect->second.last_at + kMemory) {
      suspect = this->suspects.erase(suspect);
      continue;
    }
    if (suspect->second.targets.size() >= kDeathsToQuarantine) {
      names.push_back(suspect->first);
    }
    ++suspect;
  }
  return names;
}

}  // namespace gooseberryturn::direct
