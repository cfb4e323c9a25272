#include "gooseberryturn/direct/cut_reports.h"

#include <cstdint>
#include <utility>

namespace gooseberryturn::direct {

void CutReports::Add(CutRequest cut, TimePoint now) {
  this->is_urgent |= cut.is_observed;
  if (this->waiting.size() >= kMaxReports) {
    this->waiting.pop_front();
  }
  const TimePoint at = now - Milliseconds(cut.age_ms);
  this->waiting.push_back({std::move(cut), at});
}

std::vector<CutRequest> CutReports::Waiting(TimePoint now) const {
  std::vector<CutRequest> cuts;
  for (const Report& report : this->waiting) {
    cuts.push_back(report.cut);
    cuts.back().age_ms = static_cast<std::uint32_t>(WholeMs(now - report.at));
  }
  return cuts;
}

void CutReports::RecordSent(TimePoint now) {
  for (Report& report : this->waiting) {
    this->sent.push_back(std::move(report));
  }
  this->waiting.clear();
  this->is_urgent = false;
  while (!this->sent.empty() && (this->sent.size() > kMaxReports ||
                                 now >= this->sent.front().at + kResendTime)) {
    this->sent.pop_front();
  }
}

void CutReports::SendAgain() {
  this->waiting.insert(this->waiting.begin(), this->sent.begin(),
                       this->sent.end());
  this->sent.clear();
  this->is_urgent = !this->waiting.empty();
  while (this->waiting.size() > kMaxReports) {
    this->waiting.pop_front();
  }
}

}  // namespace gooseberryturn::direct
