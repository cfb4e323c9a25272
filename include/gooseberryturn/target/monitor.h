#ifndef GOOSEBERRYTURN_TARGET_MONITOR_H_
#define GOOSEBERRYTURN_TARGET_MONITOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"

namespace gooseberryturn::target {

/// \brief Watches the target on this host through its GET /health.
///
/// \details The answer is `{"boot": "...", "ready": true}`; another boot name
/// means that the target was restarted. Before a model engine serves under a
/// new fencing number it is told to drop everything it still holds.
class Monitor {
 public:
  /// \param is_model Whether the target knows POST /reset.
  Monitor(boost::asio::io_context& context, Endpoint target, bool is_model);

  /// \brief Called when readiness or boot changed.
  std::function<void()> on_change;
  /// \brief Called when the target was restarted.
  std::function<void()> on_restart;

  void Start();
  /// \brief A request saw the target fail; it is not ready until it answers.
  void ReportFailure();
  /// \brief Makes the target drop what it holds from before `fence`.
  void Prepare(std::uint64_t fence);

  [[nodiscard]] bool is_ready() const noexcept { return this->ready; }
  /// \brief Fence for which the target is empty, or 0.
  [[nodiscard]] std::uint64_t prepared_fence() const noexcept {
    return this->prepared;
  }
  /// \brief Number that names this run of the target.
  [[nodiscard]] std::uint64_t boot_id() const noexcept {
    return this->random_boot_id;
  }

  static constexpr Duration kInterval = std::chrono::milliseconds(200);
  static constexpr Duration kAnswerLimit = std::chrono::milliseconds(1000);
  static constexpr int kFailureLimit = 3;

 private:
  void Poll();
  void PollLater();
  void Took(const std::string& body);
  void Missed();
  void SetReady(bool is_ready);
  void SendReset();

  boost::asio::io_context& context;
  boost::asio::steady_timer timer;
  Endpoint target;
  bool is_model;
  bool ready = false;
  std::string boot;
  std::uint64_t random_boot_id = 0;
  int failures = 0;
  std::uint64_t wanted = 0;
  std::uint64_t prepared = 0;
  bool is_resetting = false;
};

}  // namespace gooseberryturn::target

#endif  // GOOSEBERRYTURN_TARGET_MONITOR_H_
