#ifndef GOOSEBERRYTURN_DIRECT_ENTRY_HOST_H_
#define GOOSEBERRYTURN_DIRECT_ENTRY_HOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/direct/caller_connection.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/follow_client.h"
#include "gooseberryturn/direct/target_chooser.h"
#include "gooseberryturn/direct/target_connection.h"
#include "gooseberryturn/direct/target_tracker.h"
#include "gooseberryturn/direct/wait_queue.h"
#include "gooseberryturn/observe/metrics.h"
#include "gooseberryturn/routing/retry_budget.h"

namespace gooseberryturn::direct {

class RequestFlow;

/// \brief An entry that reaches targets directly: takes callers' connections,
/// follows the leader and holds what all requests share.
class EntryHost {
 public:
  EntryHost(boost::asio::io_context& context, HostSettings settings,
            Dialect dialect, observe::Metrics& metrics);

  [[nodiscard]] Result<void> Start();
  /// \brief Takes over what may change while it runs: the control hosts.
  void Reload(const HostSettings& changed);
  /// \brief Takes no new work and calls `on_done` once the open requests are
  /// answered or the time to stop is nearly over.
  void Leave(std::function<void()> on_done);
  [[nodiscard]] bool IsReady() const;

  static constexpr Duration kTick = std::chrono::milliseconds(50);
  static constexpr Duration kReportEvery = std::chrono::milliseconds(100);
  static constexpr std::size_t kMaxCutRequests = 512;
  /// The balancer sends nothing new after two missed questions.
  static constexpr Duration kAcceptAfterLeave = std::chrono::milliseconds(2300);
  static constexpr Duration kLeaveMargin = std::chrono::milliseconds(900);

 private:
  friend class RequestFlow;

  void Accept();
  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 CallerMessage message, TimePoint received_at);
  void TakeUpdate(const FleetUpdate& update);
  void SendReport(TimePoint now);
  void Tick();
  void DispatchQueued();
  void FollowLeave(TimePoint now);
  /// \brief Entries that share what a target or service bears; a view may
  /// name fewer than there are.
  [[nodiscard]] double SharingEntries() const;
  /// \brief Connections kept at rest at one target of `service`.
  [[nodiscard]] std::size_t MaxIdleConnections(
      const std::string& service) const;
  [[nodiscard]] routing::RetryBudget& RetryBudgetOf(const std::string& service);
  void RemoveFlow(std::uint64_t number);
  /// Age of the last word of a leader, milliseconds.
  [[nodiscard]] std::int64_t ViewAgeMs() const;
  /// Tells the leader, with the next report, that a request was cut off.
  void ReportCutOff(CutRequest cut);

  boost::asio::io_context& context;
  boost::asio::steady_timer timer;
  HostSettings settings;
  Dialect dialect;
  observe::Metrics& metrics;
  link::ChannelPool channels;
  FollowClient follow;
  AsyncHttpServer ready_server;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  FleetView view;
  TargetTracker target_tracker;
  TargetChooser chooser;
  TargetConnectionPool target_pool;
  WaitQueue wait_queue;
  DemandMeter demand;
  std::map<std::string, routing::RetryBudget> budgets;
  std::map<std::uint64_t, std::shared_ptr<RequestFlow>> flows;
  std::set<std::shared_ptr<CallerConnection>> callers;
  std::uint64_t next_flow = 1;
  std::uint64_t incarnation;
  std::mt19937_64 random;
  TimePoint report_at;
  std::size_t reported_stalls = 0;
  std::vector<CutRequest> cut_requests;
  bool has_served = false;
  bool is_leaving = false;
  bool is_trying_waiters = false;
  TimePoint accept_until;
  TimePoint leave_until;
  std::function<void()> on_left;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_ENTRY_HOST_H_
