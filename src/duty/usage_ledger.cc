#include "gooseberryturn/duty/usage_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gooseberryturn/duty/usage_meter.h"

namespace gooseberryturn::duty {

void UsageLedger::StartLeading(TimePoint now) {
  this->entries.clear();
  this->CollectAgain(now);
}

void UsageLedger::CollectAgain(TimePoint now) {
  this->collect_until = now + kCollectTime;
}

bool UsageLedger::IsValid(const UsageCount& count) {
  return count.window > 0 && count.requests <= kMaxRequests &&
         count.team.size() <= kMaxTeamBytes;
}

void UsageLedger::RecordTotal(Entry& entry, const UsageCount& count) {
  TeamCounts& teams = entry.totals[count.window];
  const auto known = teams.find(count.team);
  if (known == teams.end()) {
    // Not counted as late: a new leader hears all totals once more.
    teams[count.team] = count.requests;
    return;
  }
  if (count.requests <= known->second) {
    return;
  }
  if (count.window < this->first_open_window) {
    this->late += count.requests - known->second;
  }
  known->second = count.requests;
}

void UsageLedger::RecordReport(const EntryRun& run,
                               const std::vector<UsageCount>& counts,
                               TimePoint now) {
  if (counts.empty()) {
    return;
  }
  const bool is_new = this->entries.count(run) == 0;
  Entry& entry = this->entries[run];
  entry.heard_at = now;
  if (is_new) {
    for (std::pair<const EntryRun, Entry>& other : this->entries) {
      const bool is_earlier_run = other.first.host == run.host &&
                                  other.first.incarnation != run.incarnation;
      other.second.is_replaced |= is_earlier_run;
    }
  }
  for (const UsageCount& count : counts) {
    if (!IsValid(count)) {
      this->ignored += 1;
    } else if (count.team.empty()) {
      entry.first_open = count.window;
    } else if (count.requests > 0) {
      this->RecordTotal(entry, count);
    }
  }
}

std::vector<EntryUsage> UsageLedger::TotalsToLog(const UsageRecord& record,
                                                 const std::string& own_host,
                                                 TimePoint now) const {
  std::vector<EntryUsage> missing;
  for (const std::pair<const EntryRun, Entry>& known : this->entries) {
    const Entry& entry = known.second;
    const bool has_ended =
        entry.is_replaced || now >= entry.heard_at + kSilenceTimeout;
    const bool is_on_own_host = known.first.host == own_host;
    if (!has_ended && !is_on_own_host) {
      continue;
    }
    EntryUsage usage = {known.first, entry.totals};
    usage.counts.erase(usage.counts.begin(),
                       usage.counts.lower_bound(record.next_window()));
    const auto logged = record.totals().find(known.first);
    WindowCounts merged =
        logged == record.totals().end() ? WindowCounts() : logged->second;
    const WindowCounts before = merged;
    MergeTotals(merged, usage.counts);
    if (merged != before) {
      missing.push_back(std::move(usage));
    }
  }
  return missing;
}

TeamCounts UsageLedger::Sum(const UsageRecord& record,
                            std::int64_t closing) const {
  std::map<EntryRun, WindowCounts> by_entry;
  const auto add = [&by_entry, closing](const EntryRun& run,
                                        const WindowCounts& totals) {
    const auto counts = totals.find(closing);
    if (counts != totals.end()) {
      MergeTotals(by_entry[run], {{closing, counts->second}});
    }
  };
  for (const std::pair<const EntryRun, WindowCounts>& logged :
       record.totals()) {
    add(logged.first, logged.second);
  }
  for (const std::pair<const EntryRun, Entry>& known : this->entries) {
    add(known.first, known.second.totals);
  }
  TeamCounts sum;
  for (std::pair<const EntryRun, WindowCounts>& entry : by_entry) {
    for (const std::pair<const std::string, std::uint64_t>& team :
         entry.second[closing]) {
      if (team.second > 0) {
        sum[team.first] += team.second;
      }
    }
  }
  return sum;
}

std::optional<std::int64_t> UsageLedger::FirstOpen(
    const UsageRecord& record) const {
  if (record.next_window() != 0) {
    return record.next_window();
  }
  std::optional<std::int64_t> first;
  const auto add = [&first](const WindowCounts& totals) {
    if (!totals.empty()) {
      const std::int64_t window = totals.begin()->first;
      first = std::min(first.value_or(window), window);
    }
  };
  for (const std::pair<const EntryRun, WindowCounts>& logged :
       record.totals()) {
    add(logged.second);
  }
  for (const std::pair<const EntryRun, Entry>& known : this->entries) {
    add(known.second.totals);
  }
  return first;
}

bool UsageLedger::IsFinal(std::int64_t closing) const {
  return !this->entries.empty() &&
         std::all_of(this->entries.begin(), this->entries.end(),
                     [closing](const std::pair<const EntryRun, Entry>& known) {
                       return known.second.is_replaced ||
                              known.second.first_open > closing;
                     });
}

std::optional<UsageReport> UsageLedger::NextClosed(const UsageRecord& record,
                                                   std::int64_t unix_ms,
                                                   TimePoint now) const {
  if (now < this->collect_until) {
    return std::nullopt;
  }
  const std::optional<std::int64_t> open = this->FirstOpen(record);
  if (!open.has_value()) {
    return std::nullopt;
  }
  const std::int64_t current = WindowAt(unix_ms, this->window);
  // After a long outage the windows for which nothing is known are left out.
  const std::int64_t closing = std::max(*open, current - kMaxWindows);
  const std::int64_t end_ms = (closing + 1) * WholeMs(this->window);
  if (unix_ms < end_ms) {
    return std::nullopt;
  }
  const TimePoint ended_at = now - Milliseconds(unix_ms - end_ms);
  const bool is_overdue = now >= ended_at + this->report_timeout / 2;
  const bool is_final =
      ended_at >= this->collect_until && this->IsFinal(closing);
  if (!is_overdue && !is_final) {
    return std::nullopt;
  }
  return UsageReport{closing, this->Sum(record, closing)};
}

void UsageLedger::Expire(const UsageRecord& record, std::int64_t unix_ms,
                         TimePoint now) {
  this->first_open_window = record.next_window();
  const std::int64_t current = WindowAt(unix_ms, this->window);
  const std::int64_t first = std::max(
      current - kMaxWindows, record.next_window() - UsageMeter::kWindows);
  for (auto known = this->entries.begin(); known != this->entries.end();) {
    Entry& entry = known->second;
    WindowCounts& totals = entry.totals;
    totals.erase(totals.begin(), totals.lower_bound(first));
    const auto future = totals.upper_bound(current + 1);
    this->ignored +=
        static_cast<std::uint64_t>(std::distance(future, totals.end()));
    totals.erase(future, totals.end());
    if (entry.first_open > current + 1) {
      entry.first_open = 0;
    }
    const bool is_over = now >= entry.heard_at + kForgetTimeout;
    known = is_over ? this->entries.erase(known) : std::next(known);
  }
}

}  // namespace gooseberryturn::duty
