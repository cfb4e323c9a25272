#ifndef GOOSEBERRYTURN_DIRECT_WAIT_QUEUE_H_
#define GOOSEBERRYTURN_DIRECT_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Key of the wait queue for requests of one model.
[[nodiscard]] std::string QueueKey(const std::string& service,
                                   const std::string& model);

/// \brief A request that waits until a target can take it.
struct QueuedRequest {
  std::uint64_t id = 0;
  std::string queue_key;     ///< Service and model.
  int priority = 0;          ///< 0 is the most urgent.
  TimePoint dispatch_by;     ///< Dispatched later, it misses its objective.
  TimePoint queue_deadline;  ///< Leaves the queue without a target then.
};

/// \brief Requests that no target could take, in the order of their next try.
///
/// \details Keeps most served requests on time while more arrive than can be
/// served: requests that can still meet their objective go first, by priority
/// and then the one with the latest `dispatch_by` first, because a queue in
/// order of arrival would make all of them late. Late requests follow, by
/// priority and then the one with the earliest queue deadline first.
class WaitQueue {
 public:
  void Add(const QueuedRequest& request) {
    this->requests[request.id] = request;
  }
  void Remove(std::uint64_t id) { this->requests.erase(id); }
  /// \brief Ids of the requests with `queue_key`, next to dispatch first.
  [[nodiscard]] std::vector<std::uint64_t> DispatchOrder(
      const std::string& queue_key, TimePoint now) const;
  /// \brief Keys of all requests in the queue.
  [[nodiscard]] std::vector<std::string> QueueKeys() const;
  /// \brief Removes the requests whose queue deadline is over.
  /// \returns Their ids.
  [[nodiscard]] std::vector<std::uint64_t> TakeExpired(TimePoint now);
  /// \brief Number of requests with `queue_key` that can still meet their
  /// objective, or that are late.
  [[nodiscard]] std::size_t Count(const std::string& queue_key, bool is_late,
                                  TimePoint now) const;
  [[nodiscard]] std::size_t size() const noexcept {
    return this->requests.size();
  }
  /// \brief Number of requests in the queue that go before a new one with these
  /// values, whose queue deadline is taken to be `dispatch_by`. If the new one
  /// is late already, that lies in the past: a late request of its priority in
  /// the queue counts only if its queue deadline is no later than that.
  [[nodiscard]] std::size_t CountAhead(const std::string& queue_key,
                                       int priority, TimePoint dispatch_by,
                                       TimePoint now) const;

 private:
  std::map<std::uint64_t, QueuedRequest> requests;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_WAIT_QUEUE_H_
