#ifndef GOOSEBERRYTURN_DIRECT_ENTRY_HOST_H_
#define GOOSEBERRYTURN_DIRECT_ENTRY_HOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "gooseberryturn/direct/admission_reserve.h"
#include "gooseberryturn/direct/answered_contents.h"
#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/direct/caller_connection.h"
#include "gooseberryturn/direct/capacity_learner.h"
#include "gooseberryturn/direct/cut_reports.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/direct/early_retries.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/follow_client.h"
#include "gooseberryturn/direct/length_estimator.h"
#include "gooseberryturn/direct/priority_map.h"
#include "gooseberryturn/direct/target_chooser.h"
#include "gooseberryturn/direct/target_connection.h"
#include "gooseberryturn/direct/target_tracker.h"
#include "gooseberryturn/direct/view_freshness.h"
#include "gooseberryturn/direct/wait_queue.h"
#include "gooseberryturn/duty/usage_meter.h"
#include "gooseberryturn/observe/metrics.h"
#include "gooseberryturn/routing/retry_budget.h"

namespace gooseberryturn::direct {

class RequestFlow;

/// \brief An entry: a front-end host that accepts callers' requests and sends
/// them straight to targets, without agents.
///
/// \details Follows the leader and holds the state shared by all requests.
class EntryHost {
 public:
  EntryHost(boost::asio::io_context& context, HostSettings settings,
            Dialect dialect, observe::Metrics& metrics);

  /// \brief Starts to accept callers and to follow the leader. Fails when it
  /// cannot listen on an endpoint.
  [[nodiscard]] Result<void> Start();
  /// \brief Applies the settings that may change at runtime: the control hosts.
  void Reload(const HostSettings& changed);
  /// \brief Reports this entry as not ready and ends keep-alive on all
  /// connections. After kAcceptTimeAfterLeave it closes idle connections and
  /// takes only requests whose deadline is within the grace period. Calls
  /// `on_done` once no request is in flight, or the grace period is nearly
  /// over.
  void Leave(std::function<void()> on_done);
  /// \brief True while a configuration is known and Leave was not called.
  [[nodiscard]] bool IsReady() const;

  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  static constexpr Duration kReportInterval = std::chrono::milliseconds(100);
  /// Reports are less frequent with more entries, so that the leader gets no
  /// more than 1,000 a second.
  static constexpr Duration kReportIntervalPerEntry =
      std::chrono::milliseconds(1);
  /// The load balancer sends no new connections after two failed readiness
  /// checks, unless too few other entries are ready.
  static constexpr Duration kAcceptTimeAfterLeave =
      std::chrono::milliseconds(2300);
  /// Requests in flight are aborted this long before the grace period ends.
  static constexpr Duration kLeaveMargin = std::chrono::milliseconds(900);
  /// Content is held no longer than this after the last update.
  static constexpr Duration kHeldTime = std::chrono::seconds(5);
  /// A delay of the event loop from which on it is logged.
  static constexpr Duration kLongLoopDelay = std::chrono::milliseconds(25);
  /// Some of it is held twice for a moment, as bytes received and bytes to
  /// send.
  static constexpr std::size_t kMaxHeldBytes = 24U * 1024U * 1024U;

 private:
  friend class RequestFlow;

  void Accept();
  /// Accepts the connections that are established and closes the acceptor.
  void CloseAcceptor();
  void AddCaller(boost::asio::ip::tcp::socket socket);
  /// Limits of the configuration in force, or defaults before the first one.
  [[nodiscard]] CallerLimits LimitsInForce() const;
  void OnRequest(const std::shared_ptr<CallerConnection>& caller,
                 CallerMessage message, TimePoint received_at);
  /// Applies an update; false if its configuration cannot be restored, which
  /// is then asked for as a whole.
  [[nodiscard]] bool ApplyUpdate(const FleetUpdate& update);
  /// Text of the update's configuration, `held` if it brings none.
  [[nodiscard]] Result<ConfigurationText> ReadText(
      const FleetUpdate& update) const;
  /// Takes over what all entries learnt of the targets.
  void ApplyLearntCapacities(const FleetUpdate& update);
  /// True when a newer configuration than this entry's is or may be in force.
  [[nodiscard]] bool MayBeBehind(TimePoint now) const {
    return this->view.IsBehind() || this->freshness.IsStale(now);
  }
  /// Lets the chooser divide the room that new figures show.
  void BeginRound(TimePoint now);
  /// Brings the reserves up to date with the configuration and open groups.
  void UpdateReserves();
  /// The reserve of a model whose requests differ in priority, or null.
  [[nodiscard]] AdmissionReserve* FindReserve(const std::string& queue_key);
  /// True if less than half of the slots of the model are taken and none of its
  /// requests waits.
  [[nodiscard]] bool HasIdleRoom(const std::string& service,
                                 const std::string& model, TimePoint now);
  /// Sends a report if one is due or further groups are stalled.
  void SendReport(TimePoint now);
  /// True if this entry is leaving and may have ended before `deadline`, so
  /// that a new request with that deadline might be cut.
  [[nodiscard]] bool IsTooLateFor(TimePoint deadline) const;
  /// Records by how much the event loop runs late.
  void RecordLoopDelay(TimePoint now);
  /// When a request with that deadline ends at the latest: this entry may leave
  /// before.
  [[nodiscard]] TimePoint LatestEnd(TimePoint deadline) const;
  void Tick();
  /// Tries to dispatch the requests in the wait queue.
  void DispatchQueued();
  /// Tries to dispatch one of them.
  /// \returns False if those behind it have to wait too.
  [[nodiscard]] bool TryDispatchQueued(std::uint64_t flow_id);
  /// Closes connections and aborts requests as their deadlines pass.
  void AdvanceLeave(TimePoint now);
  /// \brief Number of entries among which the limits of a target or service are
  /// divided. At least kMinSharingEntries, as the view may count too few.
  [[nodiscard]] double EntriesSharingLimits() const;
  /// \brief Idle connections to keep to one target of `service`.
  [[nodiscard]] std::size_t MaxIdleConnections(
      const std::string& service) const;
  [[nodiscard]] routing::RetryBudget& RetryBudgetOf(const std::string& service);
  void RemoveFlow(std::uint64_t flow_id);
  /// Milliseconds since the last update from a leader.
  [[nodiscard]] std::int64_t ViewAgeMs() const;
  [[nodiscard]] TargetLife LifeOf(const TargetIncarnation& target,
                                  TimePoint now) const;
  /// Counts the answers whose targets have outlived them.
  void SettleAnswers(TimePoint now);
  /// True when no leader was heard of for kHeldTime: what is held may have been
  /// cleared since, and nobody grants trials.
  [[nodiscard]] bool IsOutOfTouch(TimePoint now) const;
  /// Takes a trial that was granted to this entry.
  /// \returns False if it was granted to another or taken before.
  [[nodiscard]] bool TakeTrial(const HeldContent& held);
  /// Lets all requests act on content that is newly held, cleared or
  /// quarantined.
  void RecheckContents();
  /// Forgets the trials of content that is no longer held.
  void ForgetTrials();

  boost::asio::io_context& context;
  boost::asio::steady_timer timer;
  HostSettings settings;
  Dialect dialect;
  observe::Metrics& metrics;
  link::ChannelPool channels;
  FollowClient follow_client;
  AsyncHttpServer ready_server;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  FleetView view;
  ViewFreshness freshness;
  PriorityMap priorities;  ///< Of the configuration in force.
  /// Base of the next patch. Held also when the configuration is not valid.
  ConfigurationText held_text;
  TargetTracker target_tracker;
  /// Used only with HostSettings::learns_capacity.
  CapacityLearner capacity_learner;
  TargetChooser chooser;
  /// Held for callers and targets: bodies of requests, answers and events.
  std::shared_ptr<ByteBudget> held_bytes;
  TargetConnectionPool target_pool;
  WaitQueue wait_queue;
  EarlyRetries early_retries;
  /// By queue key, of models whose requests differ in priority.
  std::map<std::string, AdmissionReserve> reserves;
  DemandMeter demand;
  LengthEstimator lengths;
  std::optional<duty::UsageMeter> usage_meter;  ///< If usage is reported.
  std::map<std::string, routing::RetryBudget> retry_budgets;
  std::map<std::uint64_t, std::shared_ptr<RequestFlow>> flows;
  std::set<std::shared_ptr<CallerConnection>> callers;
  std::uint64_t next_flow_id = 1;
  std::uint64_t incarnation;
  std::mt19937_64 random;
  TimePoint next_report_at;
  TimePoint next_tick_at;
  std::size_t reported_stall_count = 0;
  CutReports cut_reports;
  AnsweredContents answered_contents;
  std::set<std::string> held_contents;     ///< For the next report.
  std::set<std::string> refused_contents;  ///< For the next report.
  /// Number of the last trial taken, by content.
  std::map<std::string, std::uint64_t> taken_trials;
  std::uint64_t leader_term = 0;  ///< Of the last update.
  bool has_received_request = false;
  bool is_leaving = false;
  bool is_dispatching_queued = false;
  TimePoint accept_deadline;  ///< All requests are taken until then.
  TimePoint leave_deadline;   ///< Requests in flight are aborted then.
  std::function<void()> on_left;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_ENTRY_HOST_H_
