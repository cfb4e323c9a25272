#include "gooseberryturn/direct/wait_queue.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace gooseberryturn::direct {

namespace {

/// True when `a` goes before `b`.
bool GoesBefore(const Waiter& a, const Waiter& b, TimePoint now) {
  const bool is_late_a = now >= a.objective_at;
  const bool is_late_b = now >= b.objective_at;
  if (is_late_a != is_late_b) {
    return is_late_b;
  }
  if (a.priority != b.priority) {
    return a.priority < b.priority;
  }
  if (is_late_a) {
    return std::tie(a.give_up_at, a.id) < std::tie(b.give_up_at, b.id);
  }
  return std::tie(a.objective_at, a.id) > std::tie(b.objective_at, b.id);
}

}  // namespace

std::vector<std::uint64_t> WaitQueue::DispatchOrder(const std::string& lane,
                                                    TimePoint now) const {
  std::vector<Waiter> found;
  for (const std::pair<const std::uint64_t, Waiter>& entry : this->waiters) {
    if (entry.second.lane == lane) {
      found.push_back(entry.second);
    }
  }
  std::sort(found.begin(), found.end(),
            [now](const Waiter& a, const Waiter& b) {
              return GoesBefore(a, b, now);
            });
  std::vector<std::uint64_t> ids;
  ids.reserve(found.size());
  for (const Waiter& waiter : found) {
    ids.push_back(waiter.id);
  }
  return ids;
}

std::vector<std::string> WaitQueue::QueueKeys() const {
  std::set<std::string> lanes;
  for (const std::pair<const std::uint64_t, Waiter>& entry : this->waiters) {
    lanes.insert(entry.second.lane);
  }
  return {lanes.begin(), lanes.end()};
}

std::vector<std::uint64_t> WaitQueue::TakeExpired(TimePoint now) {
  std::vector<std::uint64_t> overdue;
  for (auto entry = this->waiters.begin(); entry != this->waiters.end();) {
    const bool is_over = now >= entry->second.give_up_at;
    if (is_over) {
      overdue.push_back(entry->first);
    }
    entry = is_over ? this->waiters.erase(entry) : std::next(entry);
  }
  return overdue;
}

std::size_t WaitQueue::CountAhead(const std::string& lane, int priority,
                                  TimePoint objective_at, TimePoint now) const {
  Waiter self;
  self.id = ~std::uint64_t{0};  // Newer than all that wait.
  self.lane = lane;
  self.priority = priority;
  self.objective_at = objective_at;
  self.give_up_at = objective_at;
  std::size_t ahead = 0;
  for (const std::pair<const std::uint64_t, Waiter>& entry : this->waiters) {
    const bool is_ahead =
        entry.second.lane == lane && GoesBefore(entry.second, self, now);
    ahead += is_ahead ? 1 : 0;
  }
  return ahead;
}

}  // namespace gooseberryturn::direct
