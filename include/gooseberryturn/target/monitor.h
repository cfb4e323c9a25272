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

/// \brief Polls GET /health of the target on this host.
///
/// \details The answer is `{"boot": "...", "ready": true}`; a different boot
/// name means that the target was restarted. After kMaxConsecutiveFailures
/// failed polls in a row the target counts as not ready. Before a model engine
/// serves under a new fence, POST /reset makes it drop everything it still
/// holds. Must be used only in the thread of the context and stay alive while
/// the context runs.
class Monitor {
 public:
  /// \param is_model_engine Whether the target is a model engine, which
  /// supports POST /reset.
  Monitor(boost::asio::io_context& context, Endpoint target,
          bool is_model_engine);

  /// \brief Called when the readiness changed or a model engine was reset.
  std::function<void()> on_change;
  /// \brief Called when the boot name changed, also when it is first seen.
  std::function<void()> on_restart;

  void Start();
  /// \brief Marks the target as not ready until a poll finds it ready again; to
  /// be called when a request saw the target fail.
  void ReportFailure();
  /// \brief Notices a restart by the boot name in an answer to a request,
  /// without waiting for the next poll. Ignored if empty, or before the first
  /// successful poll.
  void ObserveBoot(const std::string& name);
  /// \brief Prepares the target to serve under `fence`: a model engine is
  /// reset.
  ///
  /// \details A reset that fails is sent again after the next successful poll.
  /// prepared_fence() tells when the target is prepared.
  void Prepare(std::uint64_t fence);

  [[nodiscard]] bool is_ready() const noexcept { return this->ready; }
  /// \brief Fence that the target was last prepared for, 0 if none since its
  /// start.
  [[nodiscard]] std::uint64_t prepared_fence() const noexcept {
    return this->completed_fence;
  }
  /// \brief Random number that identifies the current run of the target; 0
  /// until the first successful poll.
  [[nodiscard]] std::uint64_t boot_id() const noexcept {
    return this->random_boot_id;
  }

  static constexpr Duration kPollInterval = std::chrono::milliseconds(200);
  static constexpr Duration kRequestTimeout = std::chrono::milliseconds(1000);
  static constexpr int kMaxConsecutiveFailures = 3;

 private:
  void Poll();
  void SchedulePoll();
  void HandleHealth(const std::string& body);
  void HandlePollFailure();
  /// Records that the run of the target is the one named `name`.
  void SetBoot(const std::string& name);
  void SetReady(bool is_ready);
  void SendReset();

  boost::asio::io_context& context;
  boost::asio::steady_timer timer;
  Endpoint target;
  bool is_model_engine;
  bool ready = false;
  std::string boot_name;
  std::uint64_t random_boot_id = 0;
  int consecutive_failures = 0;
  std::uint64_t requested_fence = 0;
  std::uint64_t completed_fence = 0;
  bool is_resetting = false;
};

}  // namespace gooseberryturn::target

#endif  // GOOSEBERRYTURN_TARGET_MONITOR_H_
