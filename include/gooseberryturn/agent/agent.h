#ifndef GOOSEBERRYTURN_AGENT_AGENT_H_
#define GOOSEBERRYTURN_AGENT_AGENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>

#include "gooseberryturn/agent/group_lease_manager.h"
#include "gooseberryturn/agent/request_executor.h"
#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/control/view_client.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/http_server.h"
#include "gooseberryturn/observe/metrics.h"
#include "gooseberryturn/target/monitor.h"

namespace gooseberryturn::agent {

/// \brief The agent process, which runs beside the target on each host.
///
/// \details Reports the host to control, takes part in the leases of its group
/// and decides which requests reach the target.
class Agent {
 public:
  Agent(boost::asio::io_context& context, const config::AgentSettings& settings,
        observe::Metrics& metrics);

  /// \brief Starts listening and registers the host with control.
  [[nodiscard]] Result<void> Start();
  /// \brief Drains the group of this host, then calls `on_left`.
  void Leave(std::function<void()> on_left);
  /// \brief True when the view lease is valid, the target is ready and the host
  /// is not leaving.
  [[nodiscard]] bool IsReady() const;

  /// \brief Interval between the periodic checks.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  /// \brief How long the group may lack a member before the requests of a
  /// model service are aborted; answers are paused meanwhile.
  static constexpr Duration kMissingMemberTimeout = std::chrono::seconds(3);

 private:
  void OnViewChange();
  void OnWholeChange();
  void Tick();
  /// As leader with no request in progress, releases leaving members. Reports
  /// this host as drained when it is leaving, has no request in progress and
  /// leads its group or is released; then calls `on_left`, if set.
  void CheckDrained(TimePoint now);
  [[nodiscard]] admission::AgentState MakeAgentState() const;
  [[nodiscard]] protocol::HostReport MakeReport() const;
  [[nodiscard]] bool IsLeaving() const;
  /// The group that this incarnation of the host belongs to, or null.
  [[nodiscard]] const protocol::Group* FindOwnGroup() const;
  [[nodiscard]] bool IsDataCentreOut() const;

  boost::asio::steady_timer timer;
  config::AgentSettings settings;
  std::uint64_t incarnation;
  link::ChannelPool channels;
  link::Listener listener;
  control::ViewClient view_client;
  target::Monitor monitor;
  GroupLeaseManager lease_manager;
  RequestExecutor executor;
  bool is_stopping = false;
  bool is_drained = false;
  bool was_whole = false;
  bool was_data_centre_out = false;
  TimePoint abort_at;
  std::uint64_t last_fence = 0;  ///< Fence after the last view change.
  std::function<void()> on_left;
};

}  // namespace gooseberryturn::agent

#endif  // GOOSEBERRYTURN_AGENT_AGENT_H_
