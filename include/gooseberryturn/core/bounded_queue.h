#ifndef GOOSEBERRYTURN_CORE_BOUNDED_QUEUE_H_
#define GOOSEBERRYTURN_CORE_BOUNDED_QUEUE_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn {

/// \brief Bounded queue between two threads.
///
/// \details Adding to a full queue fails at once instead of blocking, so that
/// two threads that feed each other cannot deadlock.
template <typename Item>
class BoundedQueue {
 public:
  explicit BoundedQueue(std::size_t capacity) : capacity(capacity) {}

  /// \brief Adds an item; false when the queue is full or closed.
  [[nodiscard]] bool TryPush(Item item) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->closed || this->items.size() >= this->capacity) {
      return false;
    }
    this->items.push_back(std::move(item));
    this->not_empty.notify_one();
    return true;
  }

  /// \brief Waits for an item; std::nullopt once the queue is closed and empty.
  [[nodiscard]] std::optional<Item> Pop() {
    std::unique_lock<std::mutex> guard(this->mutex);
    this->not_empty.wait(
        guard, [this] { return this->closed || !this->items.empty(); });
    if (this->items.empty()) {
      return std::nullopt;
    }
    Item item = std::move(this->items.front());
    this->items.pop_front();
    return item;
  }

  /// \brief Refuses new items and wakes waiting readers; items already queued
  /// can still be popped.
  void Close() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->closed = true;
    this->not_empty.notify_all();
  }

  /// \brief Waits until the queue is closed, for no longer than `limit`; for
  /// the thread that pops.
  /// \returns Whether it is closed.
  [[nodiscard]] bool WaitUntilClosed(Duration limit) {
    std::unique_lock<std::mutex> guard(this->mutex);
    return this->not_empty.wait_for(guard, limit,
                                    [this] { return this->closed; });
  }

 private:
  const std::size_t capacity;
  std::mutex mutex;
  std::condition_variable not_empty;
  std::deque<Item> items;
  bool closed = false;
};

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_BOUNDED_QUEUE_H_
