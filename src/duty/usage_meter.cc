#include "gooseberryturn/duty/usage_meter.h"

#include <algorithm>

namespace gooseberryturn::duty {

std::int64_t WindowAt(std::int64_t unix_ms, Duration window) {
  return unix_ms / std::max<std::int64_t>(1, WholeMs(window));
}

void UsageMeter::SetTime(std::int64_t unix_ms, std::int64_t own_unix_ms,
                         TimePoint now) {
  const bool is_known = unix_ms > 0 && unix_ms <= FleetClock::kMaxUnixMs;
  if (is_known) {
    this->clock.Set(unix_ms, now);
  } else if (!this->clock.UnixMs(now).has_value()) {
    this->clock.Set(own_unix_ms, now);
  }
}

std::optional<std::int64_t> UsageMeter::CurrentWindow(TimePoint now) {
  const std::optional<std::int64_t> unix_ms = this->clock.UnixMs(now);
  if (!unix_ms.has_value()) {
    return std::nullopt;
  }
  const std::int64_t current = WindowAt(*unix_ms, this->window);
  // A small correction of the time must not lead back into a window whose
  // counts were reported as final.
  const bool is_small_step_back = current + 1 == this->newest_window;
  this->newest_window = is_small_step_back ? this->newest_window : current;
  return this->newest_window;
}

void UsageMeter::Count(Request& request, std::int64_t in) {
  request.is_counted = true;
  this->totals[in][request.team] += 1;
  this->changed.insert({in, request.team});
}

UsageMeter::Request* UsageMeter::FindUncounted(std::uint64_t id,
                                               const std::string& team) {
  if (team.empty()) {
    return nullptr;
  }
  Request& request = this->requests[id];
  request.team = team;
  return request.is_counted ? nullptr : &request;
}

void UsageMeter::BeginAttempt(std::uint64_t id, const std::string& team,
                              TimePoint now) {
  const std::optional<std::int64_t> current = this->CurrentWindow(now);
  Request* request = this->FindUncounted(id, team);
  if (request == nullptr || !current.has_value()) {
    return;
  }
  request->is_attempted = true;
  request->begun_in = *current;
  request->presumed_begun_at = now + kAnswerTimeout;
}

void UsageMeter::EndAttempt(std::uint64_t id, bool has_begun) {
  const auto found = this->requests.find(id);
  if (found == this->requests.end() || !found->second.is_attempted) {
    return;
  }
  Request& request = found->second;
  request.is_attempted = false;
  if (has_begun && !request.is_counted) {
    this->Count(request, request.begun_in);
  }
}

void UsageMeter::RecordFirstEvent(std::uint64_t id, const std::string& team,
                                  TimePoint now) {
  const std::optional<std::int64_t> current = this->CurrentWindow(now);
  Request* request = this->FindUncounted(id, team);
  if (request != nullptr && current.has_value()) {
    this->Count(*request, *current);
  }
}

std::vector<UsageCount> UsageMeter::TakeReport(TimePoint now) {
  const std::optional<std::int64_t> current = this->CurrentWindow(now);
  if (!current.has_value()) {
    return {};
  }
  std::int64_t first_open = *current;
  for (std::pair<const std::uint64_t, Request>& entry : this->requests) {
    Request& request = entry.second;
    if (!request.is_attempted || request.is_counted) {
      continue;
    }
    if (now >= request.presumed_begun_at) {
      this->Count(request, request.begun_in);
    } else {
      first_open = std::min(first_open, request.begun_in);
    }
  }
  this->totals.erase(this->totals.begin(),
                     this->totals.lower_bound(*current - kWindows + 1));
  std::vector<UsageCount> report = {{first_open, "", 0}};
  for (const std::pair<std::int64_t, std::string>& key : this->changed) {
    const auto teams = this->totals.find(key.first);
    if (teams != this->totals.end()) {
      report.push_back({key.first, key.second, teams->second[key.second]});
    }
  }
  this->changed.clear();
  return report;
}

void UsageMeter::ReportAgain() {
  for (const std::pair<const std::int64_t, TeamCounts>& window : this->totals) {
    for (const std::pair<const std::string, std::uint64_t>& team :
         window.second) {
      this->changed.insert({window.first, team.first});
    }
  }
}

}  // namespace gooseberryturn::duty
