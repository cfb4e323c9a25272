#include "gooseberryturn/direct/target_tracker.h"

#include <algorithm>

namespace gooseberryturn::direct {

namespace {

/// Work of the other entries: the sum over all less this entry's own part.
std::uint32_t WorkOfOthers(std::uint32_t total, std::uint32_t reported) {
  return total > reported ? total - reported : 0;
}

}  // namespace

void TargetTracker::BeginRequest(const std::string& target,
                                 std::uint32_t prompt_tokens, TimePoint now) {
  TargetState& state = this->targets[target];
  if (state.own_requests == state.paused_requests) {
    state.last_progress_at = now;
  }
  state.own_requests += 1;
  state.own_pending_prefill_tokens += prompt_tokens;
}

void TargetTracker::EndPrefill(const std::string& target,
                               std::uint32_t prompt_tokens) {
  TargetState& state = this->targets[target];
  state.own_pending_prefill_tokens -=
      std::min(state.own_pending_prefill_tokens, prompt_tokens);
}

void TargetTracker::EndRequest(const std::string& target, HealthSignal signal,
                               TimePoint now) {
  TargetState& state = this->targets[target];
  state.own_requests -= state.own_requests > 0 ? 1 : 0;
  if (signal == HealthSignal::kGood) {
    state.consecutive_failures = 0;
    state.last_progress_at = now;
  } else if (signal == HealthSignal::kBad) {
    state.last_broken_at = now;
    state.consecutive_failures += 1;
    if (state.consecutive_failures >= kFailuresToAvoid) {
      const int doublings =
          std::min(state.consecutive_failures - kFailuresToAvoid, 3);
      state.avoid_until =
          now + std::min(kMaxAvoidTime, kMinAvoidTime * (1 << doublings));
    }
  }
}

void TargetTracker::RecordProgress(const std::string& target, TimePoint now) {
  this->targets[target].last_progress_at = now;
}

void TargetTracker::SetPaused(const std::string& target, bool is_paused,
                              TimePoint now) {
  TargetState& state = this->targets[target];
  if (is_paused) {
    state.paused_requests += 1;
    return;
  }
  if (state.own_requests == state.paused_requests) {
    state.last_progress_at = now;
  }
  state.paused_requests -= state.paused_requests > 0 ? 1 : 0;
}

void TargetTracker::SetTotals(const std::vector<InFlightWork>& totals) {
  for (std::pair<const std::string, TargetState>& item : this->targets) {
    item.second.total_requests = 0;
    item.second.total_pending_prefill_tokens = 0;
  }
  for (const InFlightWork& work : totals) {
    TargetState& state = this->targets[work.target];
    state.total_requests = work.requests;
    state.total_pending_prefill_tokens = work.pending_prefill_tokens;
  }
}

std::vector<InFlightWork> TargetTracker::ReportInFlightWork() {
  std::vector<InFlightWork> work;
  for (std::pair<const std::string, TargetState>& item : this->targets) {
    item.second.reported_requests = item.second.own_requests;
    item.second.reported_pending_prefill_tokens =
        item.second.own_pending_prefill_tokens;
    if (item.second.own_requests > 0) {
      work.push_back({item.first, item.second.own_requests,
                      item.second.own_pending_prefill_tokens});
    }
  }
  return work;
}

std::uint32_t TargetTracker::OwnRequests(const std::string& target) const {
  const auto found = this->targets.find(target);
  return found == this->targets.end() ? 0 : found->second.own_requests;
}

std::uint32_t TargetTracker::Load(const std::string& target) const {
  const auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return 0;
  }
  const TargetState& state = found->second;
  return state.own_requests +
         WorkOfOthers(state.total_requests, state.reported_requests);
}

std::uint32_t TargetTracker::PendingPrefillTokens(
    const std::string& target) const {
  const auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return 0;
  }
  const TargetState& state = found->second;
  return state.own_pending_prefill_tokens +
         WorkOfOthers(state.total_pending_prefill_tokens,
                      state.reported_pending_prefill_tokens);
}

bool TargetTracker::IsStalled(const std::string& target, TimePoint now) const {
  const auto found = this->targets.find(target);
  return found != this->targets.end() &&
         found->second.own_requests > found->second.paused_requests &&
         now >= found->second.last_progress_at + kStallTimeout;
}

std::vector<std::string> TargetTracker::StalledTargets(TimePoint now) const {
  std::vector<std::string> stalled;
  for (const std::pair<const std::string, TargetState>& item : this->targets) {
    if (this->IsStalled(item.first, now)) {
      stalled.push_back(item.first);
    }
  }
  return stalled;
}

std::vector<std::string> TargetTracker::BrokenTargets(TimePoint now) const {
  std::vector<std::string> broken;
  for (const std::pair<const std::string, TargetState>& item : this->targets) {
    const TargetState& state = item.second;
    const bool is_recent = state.last_broken_at != TimePoint() &&
                           now < state.last_broken_at + kBrokenTime;
    if (is_recent && state.last_progress_at <= state.last_broken_at) {
      broken.push_back(item.first);
    }
  }
  return broken;
}

bool TargetTracker::IsAvoided(const std::string& target, TimePoint now) const {
  const auto found = this->targets.find(target);
  return found != this->targets.end() &&
         (now < found->second.avoid_until || this->IsStalled(target, now));
}

bool TargetTracker::TakeColdRequest(const std::string& target, double per_s,
                                    TimePoint now) {
  TargetState& state = this->targets[target];
  const double elapsed_s =
      std::chrono::duration<double>(now - state.cold_refilled_at).count();
  state.cold_credit = std::min(1.0, state.cold_credit + elapsed_s * per_s);
  state.cold_refilled_at = now;
  if (state.cold_credit < 1.0) {
    return false;
  }
  state.cold_credit -= 1.0;
  return true;
}

}  // namespace gooseberryturn::direct
