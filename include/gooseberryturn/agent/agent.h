#ifndef GOOSEBERRYTURN_AGENT_AGENT_H_
#define GOOSEBERRYTURN_AGENT_AGENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>

#include "gooseberryturn/agent/group_keeper.h"
#include "gooseberryturn/agent/run_service.h"
#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/control/view_client.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/http_server.h"
#include "gooseberryturn/observe/metrics.h"
#include "gooseberryturn/target/monitor.h"

namespace gooseberryturn::agent {

/// \brief The process in the slot beside each target.
class Agent {
 public:
  Agent(boost::asio::io_context& context, const config::AgentSettings& settings,
        observe::Metrics& metrics);

  /// \brief Listens and announces the host.
  [[nodiscard]] Result<void> Start();
  /// \brief Leaves: drains the group, then calls `on_left`.
  void Leave(std::function<void()> on_left);
  /// \brief True when the agent has a view and its target is ready.
  [[nodiscard]] bool IsReady() const;

  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  /// \brief How long answers are held back before they are cut when a member
  /// is missing.
  static constexpr Duration kMissingLimit = std::chrono::seconds(3);

 private:
  void OnView();
  void OnGroupChange();
  void Tick();
  void CheckDrained(TimePoint now);
  [[nodiscard]] admission::AgentState MakeAgentState() const;
  [[nodiscard]] protocol::HostReport MakeReport() const;
  [[nodiscard]] bool IsLeaving() const;
  [[nodiscard]] const protocol::Group* OwnGroup() const;
  [[nodiscard]] bool IsDataCentreOut() const;

  boost::asio::steady_timer timer;
  config::AgentSettings settings;
  std::uint64_t incarnation;
  link::ChannelPool channels;
  link::Listener listener;
  control::ViewClient views;
  target::Monitor monitor;
  GroupKeeper keeper;
  RunService runs;
  bool is_stopping = false;
  bool is_drained = false;
  bool was_whole = false;
  bool was_out = false;
  TimePoint cut_at;
  std::uint64_t served_fence = 0;
  std::function<void()> on_left;
};

}  // namespace gooseberryturn::agent

#endif  // GOOSEBERRYTURN_AGENT_AGENT_H_
