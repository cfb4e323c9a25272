#include "gooseberryturn/duty/usage_record.h"

#include <algorithm>

namespace gooseberryturn::duty {

void MergeTotals(WindowCounts& totals, const WindowCounts& counts) {
  for (const std::pair<const std::int64_t, TeamCounts>& window : counts) {
    TeamCounts& teams = totals[window.first];
    for (const std::pair<const std::string, std::uint64_t>& team :
         window.second) {
      std::uint64_t& total = teams[team.first];
      total = std::max(total, team.second);
    }
  }
}

void UsageRecord::AddTotals(const EntryUsage& usage) {
  WindowCounts open = usage.counts;
  open.erase(open.begin(), open.lower_bound(this->first_open));
  if (!open.empty()) {
    MergeTotals(this->ended_totals[usage.run], open);
  }
}

void UsageRecord::CloseWindow(std::int64_t window, const TeamCounts& counts) {
  if (window < this->first_open) {
    return;
  }
  this->first_open = window + 1;
  this->reports[window] = counts;
  if (this->reports.size() > kMaxReports) {
    this->reports.erase(this->reports.begin());
  }
  for (auto entry = this->ended_totals.begin();
       entry != this->ended_totals.end();) {
    WindowCounts& totals = entry->second;
    totals.erase(totals.begin(), totals.lower_bound(this->first_open));
    entry = totals.empty() ? this->ended_totals.erase(entry) : std::next(entry);
  }
}

}  // namespace gooseberryturn::duty
