#ifndef GOOSEBERRYTURN_DIRECT_CONTROL_RELAY_H_
#define GOOSEBERRYTURN_DIRECT_CONTROL_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/direct/call_forwarder.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/direct/view.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::direct {

/// \brief A control host without a disk. It does not replicate the log but
/// forwards the calls of operators and targets to the leader.
///
/// \details Stores nothing. A call that no leader answers in time gets status
/// 503, upon which the caller tries another host.
class ControlRelay {
 public:
  ControlRelay(boost::asio::io_context& context, HostSettings settings,
               Dialect dialect, observe::Metrics& metrics);

  [[nodiscard]] Result<void> Start();
  /// \brief Answers the calls in progress and then calls `on_left`.
  void Leave(const std::function<void()>& on_left);
  /// \brief Adds control hosts that are not known yet.
  void Reload(const HostSettings& changed);

  /// Callers give up after one second.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(850);
  static constexpr Duration kAttemptTimeout = std::chrono::milliseconds(350);
  static constexpr int kMaxAttempts = 4;
  /// Longest time that a planned stop waits for calls in progress.
  static constexpr Duration kLeaveTimeout = std::chrono::milliseconds(2000);

 private:
  void OnCall(const HttpRequest& call, AsyncHttpServer::Reply reply);
  void Forward(const ForwardedCall& call, OnForwarded on_answer,
               int attempts_left, TimePoint deadline);
  void Refuse(const HttpRequest& call, const AsyncHttpServer::Reply& reply,
              const std::string& why) const;
  /// Turns to the leader that a host which isn't the leader has named.
  void FollowHint(const ForwardedAnswer& answer);
  void AddControlHosts(const std::vector<Endpoint>& links);

  HostSettings settings;
  Dialect dialect;
  observe::Metrics& metrics;
  link::ChannelPool channels;
  AsyncHttpServer server;
  std::vector<Endpoint> control_links;  ///< Of control hosts with a disk.
  std::size_t preferred = 0;            ///< Index of the one to try first.
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CONTROL_RELAY_H_
