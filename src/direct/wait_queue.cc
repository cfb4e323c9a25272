#include "gooseberryturn/direct/wait_queue.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace gooseberryturn::direct {

namespace {

/// True when `a` is to be dispatched before `b`.
bool GoesBefore(const QueuedRequest& a, const QueuedRequest& b, TimePoint now) {
  const bool is_late_a = now >= a.dispatch_by;
  const bool is_late_b = now >= b.dispatch_by;
  if (is_late_a != is_late_b) {
    return is_late_b;
  }
  if (a.priority != b.priority) {
    return a.priority < b.priority;
  }
  if (is_late_a) {
    return std::tie(a.queue_deadline, a.id) < std::tie(b.queue_deadline, b.id);
  }
  return std::tie(a.dispatch_by, a.id) > std::tie(b.dispatch_by, b.id);
}

}  // namespace

std::string QueueKey(const std::string& service, const std::string& model) {
  return service + "/" + model;
}

std::vector<std::uint64_t> WaitQueue::DispatchOrder(
    const std::string& queue_key, TimePoint now) const {
  std::vector<QueuedRequest> matching;
  for (const std::pair<const std::uint64_t, QueuedRequest>& entry :
       this->requests) {
    if (entry.second.queue_key == queue_key) {
      matching.push_back(entry.second);
    }
  }
  std::sort(matching.begin(), matching.end(),
            [now](const QueuedRequest& a, const QueuedRequest& b) {
              return GoesBefore(a, b, now);
            });
  std::vector<std::uint64_t> ids;
  ids.reserve(matching.size());
  for (const QueuedRequest& request : matching) {
    ids.push_back(request.id);
  }
  return ids;
}

std::vector<std::string> WaitQueue::QueueKeys() const {
  std::set<std::string> queue_keys;
  for (const std::pair<const std::uint64_t, QueuedRequest>& entry :
       this->requests) {
    queue_keys.insert(entry.second.queue_key);
  }
  return {queue_keys.begin(), queue_keys.end()};
}

std::vector<std::uint64_t> WaitQueue::TakeExpired(TimePoint now) {
  std::vector<std::uint64_t> expired;
  for (auto entry = this->requests.begin(); entry != this->requests.end();) {
    const bool is_expired = now >= entry->second.queue_deadline;
    if (is_expired) {
      expired.push_back(entry->first);
    }
    entry = is_expired ? this->requests.erase(entry) : std::next(entry);
  }
  return expired;
}

std::size_t WaitQueue::Count(const std::string& queue_key, bool is_late,
                             TimePoint now) const {
  std::size_t count = 0;
  for (const std::pair<const std::uint64_t, QueuedRequest>& entry :
       this->requests) {
    const QueuedRequest& request = entry.second;
    const bool counts = request.queue_key == queue_key &&
                        (now >= request.dispatch_by) == is_late;
    count += counts ? 1 : 0;
  }
  return count;
}

std::size_t WaitQueue::CountAhead(const std::string& queue_key, int priority,
                                  TimePoint dispatch_by, TimePoint now) const {
  QueuedRequest candidate;
  candidate.id = ~std::uint64_t{0};  // Newer than all in the queue.
  candidate.queue_key = queue_key;
  candidate.priority = priority;
  candidate.dispatch_by = dispatch_by;
  candidate.queue_deadline = dispatch_by;
  std::size_t ahead = 0;
  for (const std::pair<const std::uint64_t, QueuedRequest>& entry :
       this->requests) {
    const bool is_ahead = entry.second.queue_key == queue_key &&
                          GoesBefore(entry.second, candidate, now);
    ahead += is_ahead ? 1 : 0;
  }
  return ahead;
}

}  // namespace gooseberryturn::direct
