#ifndef GOOSEBERRYTURN_DIRECT_CONTROL_RELAY_H_
#define GOOSEBERRYTURN_DIRECT_CONTROL_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <vector>

#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/direct/view.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::direct {

/// \brief A control host without a disk: it has no part in the log and passes
/// the calls of operators and targets on to the leader.
///
/// \details Nothing is kept here: a call that no leader answered gets 503,
/// and its caller goes on to another host.
class ControlRelay {
 public:
  ControlRelay(boost::asio::io_context& context, HostSettings settings,
               Dialect dialect, observe::Metrics& metrics);

  [[nodiscard]] Result<void> Start();
  void Leave(const std::function<void()>& on_left);
  /// \brief Takes over control hosts that were not known yet.
  void Reload(const HostSettings& changed);

  /// Below the second after which callers give up.
  static constexpr Duration kCallLimit = std::chrono::milliseconds(850);
  static constexpr Duration kTryLimit = std::chrono::milliseconds(350);
  static constexpr int kMostTries = 4;

 private:
  void OnCall(const HttpRequest& call, AsyncHttpServer::Reply reply);
  void Try(const HttpRequest& call, AsyncHttpServer::Reply reply,
           int tries_left, TimePoint deadline);
  void Learn(const std::vector<Endpoint>& links);

  HostSettings settings;
  Dialect dialect;
  observe::Metrics& metrics;
  link::ChannelPool channels;
  AsyncHttpServer server;
  std::vector<Endpoint> hosts;  ///< Links of control hosts with a disk.
  std::size_t current = 0;      ///< The one that is asked first.
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CONTROL_RELAY_H_
