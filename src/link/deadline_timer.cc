#include "gooseberryturn/link/deadline_timer.h"

#include <utility>

namespace gooseberryturn::link {

DeadlineTimer::DeadlineTimer(const boost::asio::any_io_executor& executor)
    : timer(executor) {}

void DeadlineTimer::Set(TimePoint deadline, std::function<void()> on_expired) {
  this->current =
      std::make_shared<std::function<void()>>(std::move(on_expired));
  this->timer.expires_after(deadline - Clock::now());
  const std::weak_ptr<std::function<void()>> weak = this->current;
  this->timer.async_wait([weak](const boost::system::error_code& error) {
    const std::shared_ptr<std::function<void()>> call = weak.lock();
    if (!error && call != nullptr) {
      (*call)();
    }
  });
}

void DeadlineTimer::Cancel() {
  this->current.reset();
  this->timer.cancel();
}

}  // namespace gooseberryturn::link
