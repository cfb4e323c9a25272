#ifndef GOOSEBERRYTURN_DIRECT_WAIT_QUEUE_H_
#define GOOSEBERRYTURN_DIRECT_WAIT_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief A request that waits for room.
struct Waiter {
  std::uint64_t id = 0;
  std::string lane;  ///< Service and model it waits for.
  int priority = 0;  ///< 0 is the most urgent.
  /// Sent until then, its first byte is on time.
  TimePoint objective_at;
  TimePoint give_up_at;  ///< Nobody waits for it any more after this.
};

/// \brief Order in which requests that found no room are tried again.
///
/// \details Answers the load pattern in which more arrives than is served for
/// a while: those that can still be on time go first, by priority and then
/// the newest; a queue in order of arrival would make all of them late. What
/// is late already goes after them, the one that must give up first ahead.
class WaitQueue {
 public:
  void Add(const Waiter& waiter) { this->waiters[waiter.id] = waiter; }
  void Remove(std::uint64_t id) { this->waiters.erase(id); }
  /// \brief Ids of one lane in the order in which they should be tried.
  [[nodiscard]] std::vector<std::uint64_t> DispatchOrder(
      const std::string& lane, TimePoint now) const;
  /// \brief Lanes in which somebody waits.
  [[nodiscard]] std::vector<std::string> QueueKeys() const;
  /// \brief Takes out the waiters whose time is over.
  [[nodiscard]] std::vector<std::uint64_t> TakeExpired(TimePoint now);
  [[nodiscard]] std::size_t size() const noexcept {
    return this->waiters.size();
  }
  /// \brief Waiters of `lane` that go before one with this urgency.
  [[nodiscard]] std::size_t CountAhead(const std::string& lane, int priority,
                                       TimePoint objective_at,
                                       TimePoint now) const;

 private:
  std::map<std::uint64_t, Waiter> waiters;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_WAIT_QUEUE_H_
