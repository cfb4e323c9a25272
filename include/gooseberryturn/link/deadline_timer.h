#ifndef GOOSEBERRYTURN_LINK_DEADLINE_TIMER_H_
#define GOOSEBERRYTURN_LINK_DEADLINE_TIMER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::link {

/// \brief Calls a function once its deadline has passed.
///
/// \details A deadline that was replaced or cancelled never acts. A
/// `steady_timer` alone does not promise that: once it has expired, its
/// completion is queued and runs without an error, even if the timer is
/// cancelled or set anew before.
///
/// \code
///   DeadlineTimer timer(socket.get_executor());
///   timer.Set(Clock::now() + kIdleTimeout, [this] { this->Close(); });
/// \endcode
class DeadlineTimer {
 public:
  explicit DeadlineTimer(const boost::asio::any_io_executor& executor);
  ~DeadlineTimer() { this->Cancel(); }
  DeadlineTimer(const DeadlineTimer&) = delete;
  DeadlineTimer& operator=(const DeadlineTimer&) = delete;

  /// \brief Replaces the deadline and the function. `on_expired` is not called
  /// after this timer was destroyed.
  void Set(TimePoint deadline, std::function<void()> on_expired);
  void Cancel();

 private:
  boost::asio::steady_timer timer;
  /// Function of the current deadline. Only its completion can still reach it;
  /// those of earlier deadlines find their own function gone.
  std::shared_ptr<std::function<void()>> current;
};

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_DEADLINE_TIMER_H_
