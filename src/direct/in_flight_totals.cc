#include "gooseberryturn/direct/in_flight_totals.h"

#include <iterator>

namespace gooseberryturn::direct {

void InFlightTotals::SetReport(std::uint64_t entry,
                               const std::vector<InFlightWork>& work,
                               TimePoint now) {
  Report& report = this->reports[entry];
  this->Subtract(report.work);
  report = {work, now + kReportLifetime};
  for (const InFlightWork& item : work) {
    Sum& sum = this->sums[item.target];
    sum.requests += item.requests;
    sum.pending_prefill_tokens += item.pending_prefill_tokens;
    sum.reports += 1;
  }
}

void InFlightTotals::Remove(std::uint64_t entry) {
  const auto known = this->reports.find(entry);
  if (known != this->reports.end()) {
    this->Subtract(known->second.work);
    this->reports.erase(known);
  }
}

void InFlightTotals::Expire(TimePoint now) {
  for (auto report = this->reports.begin(); report != this->reports.end();) {
    if (now < report->second.expires_at) {
      ++report;
      continue;
    }
    this->Subtract(report->second.work);
    report = this->reports.erase(report);
  }
}

std::vector<InFlightWork> InFlightTotals::Sums() const {
  std::vector<InFlightWork> work;
  work.reserve(this->sums.size());
  for (const std::pair<const std::string, Sum>& entry : this->sums) {
    work.push_back({entry.first, entry.second.requests,
                    entry.second.pending_prefill_tokens});
  }
  return work;
}

void InFlightTotals::Subtract(const std::vector<InFlightWork>& work) {
  for (const InFlightWork& item : work) {
    const auto sum = this->sums.find(item.target);
    sum->second.requests -= item.requests;
    sum->second.pending_prefill_tokens -= item.pending_prefill_tokens;
    sum->second.reports -= 1;
    if (sum->second.reports == 0) {
      this->sums.erase(sum);
    }
  }
}

}  // namespace gooseberryturn::direct
