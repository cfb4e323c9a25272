#include "gooseberryturn/direct/target_tracker.h"

#include <algorithm>

namespace gooseberryturn::direct {

namespace {

/// What other entries hold: the sum less this entry's part of it.
std::uint32_t Others(std::uint32_t total, std::uint32_t reported) {
  return total > reported ? total - reported : 0;
}

}  // namespace

void TargetTracker::Begin(const std::string& target,
                          std::uint32_t prompt_tokens, TimePoint now) {
  Entry& entry = this->entries[target];
  if (entry.own == 0) {
    entry.progress_at = now;
  }
  entry.own += 1;
  entry.unread += prompt_tokens;
}

void TargetTracker::Read(const std::string& target,
                         std::uint32_t prompt_tokens) {
  Entry& entry = this->entries[target];
  entry.unread -= std::min(entry.unread, prompt_tokens);
}

void TargetTracker::End(const std::string& target, Evidence evidence,
                        TimePoint now) {
  Entry& entry = this->entries[target];
  entry.own -= entry.own > 0 ? 1 : 0;
  if (evidence == Evidence::kGood) {
    entry.bad_in_row = 0;
    entry.progress_at = now;
  } else if (evidence == Evidence::kBad) {
    entry.bad_in_row += 1;
    if (entry.bad_in_row >= kBadToAvoid) {
      const int doublings = std::min(entry.bad_in_row - kBadToAvoid, 3);
      entry.avoid_until =
          now + std::min(kLongestAvoid, kFirstAvoid * (1 << doublings));
    }
  }
}

void TargetTracker::Progress(const std::string& target, TimePoint now) {
  this->entries[target].progress_at = now;
}

void TargetTracker::SetTotals(const std::vector<OpenWork>& totals) {
  for (std::pair<const std::string, Entry>& entry : this->entries) {
    entry.second.total = 0;
    entry.second.unread_total = 0;
  }
  for (const OpenWork& work : totals) {
    Entry& entry = this->entries[work.target];
    entry.total = work.requests;
    entry.unread_total = work.unread_tokens;
  }
}

std::vector<OpenWork> TargetTracker::ReportOpenWork() {
  std::vector<OpenWork> work;
  for (std::pair<const std::string, Entry>& entry : this->entries) {
    entry.second.reported = entry.second.own;
    entry.second.unread_reported = entry.second.unread;
    if (entry.second.own > 0) {
      work.push_back({entry.first, entry.second.own, entry.second.unread});
    }
  }
  return work;
}

std::uint32_t TargetTracker::Load(const std::string& target) const {
  const auto found = this->entries.find(target);
  if (found == this->entries.end()) {
    return 0;
  }
  const Entry& entry = found->second;
  return entry.own + Others(entry.total, entry.reported);
}

std::uint32_t TargetTracker::Unread(const std::string& target) const {
  const auto found = this->entries.find(target);
  if (found == this->entries.end()) {
    return 0;
  }
  const Entry& entry = found->second;
  return entry.unread + Others(entry.unread_total, entry.unread_reported);
}

bool TargetTracker::IsStalled(const std::string& target, TimePoint now) const {
  const auto found = this->entries.find(target);
  return found != this->entries.end() && found->second.own > 0 &&
         now >= found->second.progress_at + kStallAfter;
}

std::vector<std::string> TargetTracker::StalledTargets(TimePoint now) const {
  std::vector<std::string> stalled;
  for (const std::pair<const std::string, Entry>& entry : this->entries) {
    if (this->IsStalled(entry.first, now)) {
      stalled.push_back(entry.first);
    }
  }
  return stalled;
}

bool TargetTracker::IsAvoided(const std::string& target, TimePoint now) const {
  const auto found = this->entries.find(target);
  return found != this->entries.end() &&
         (now < found->second.avoid_until || this->IsStalled(target, now));
}

bool TargetTracker::TakeCold(const std::string& target, double per_s,
                             TimePoint now) {
  Entry& entry = this->entries[target];
  const double since =
      std::chrono::duration<double>(now - entry.cold_at).count();
  entry.cold_credit = std::min(1.0, entry.cold_credit + since * per_s);
  entry.cold_at = now;
  if (entry.cold_credit < 1.0) {
    return false;
  }
  entry.cold_credit -= 1.0;
  return true;
}

}  // namespace gooseberryturn::direct
