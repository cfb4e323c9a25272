#ifndef GOOSEBERRYTURN_DIRECT_CONTROL_HOST_H_
#define GOOSEBERRYTURN_DIRECT_CONTROL_HOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/consensus/driver.h"
#include "gooseberryturn/control/versioned_map.h"
#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/direct/capacity_merger.h"
#include "gooseberryturn/direct/configuration_text.h"
#include "gooseberryturn/direct/crash_tracker.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/direct/duty_runner.h"
#include "gooseberryturn/direct/fleet_state.h"
#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/direct/heartbeat_relay.h"
#include "gooseberryturn/direct/in_flight_totals.h"
#include "gooseberryturn/direct/pending_calls.h"
#include "gooseberryturn/direct/quorum_leave.h"
#include "gooseberryturn/direct/quorum_planner.h"
#include "gooseberryturn/direct/registry.h"
#include "gooseberryturn/direct/update_encoder.h"
#include "gooseberryturn/direct/view.h"
#include "gooseberryturn/direct/work_pacer.h"
#include "gooseberryturn/duty/scale_planner.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::direct {

/// \brief A control host. It replicates the log; as the leader it also keeps
/// the registry of targets, plans the groups and sends updates to followers.
class ControlHost {
 public:
  ControlHost(boost::asio::io_context& context, HostSettings settings,
              Dialect dialect, observe::Metrics& metrics);

  /// \brief Opens the log in the data folder and starts to serve. Fails when
  /// the log or its snapshot cannot be read, or when it cannot listen on an
  /// endpoint.
  [[nodiscard]] Result<void> Start();
  /// \brief Answers the calls in progress, gives up leadership and its vote,
  /// stops and then calls `on_done`.
  ///
  /// \details Until the calls are answered the host goes on as it was, as the
  /// leader too, so that changes that it has accepted are still committed. Then
  /// it waits until the log holds that it is no member; see QuorumLeave.
  void Leave(std::function<void()> on_done);
  /// \brief Applies the settings that may change at runtime: the control hosts.
  void Reload(const HostSettings& changed) {
    this->settings.control_hosts = changed.control_hosts;
  }

  /// Messages between hosts of a region take a few milliseconds.
  static constexpr Duration kElectionTimeoutMin =
      std::chrono::milliseconds(400);
  static constexpr Duration kElectionTimeoutMax =
      std::chrono::milliseconds(800);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  /// A plan examines every target; changes that arrive within this time after
  /// one are planned at the next tick.
  static constexpr Duration kMinPlanInterval = std::chrono::milliseconds(15);
  /// Time for which a sum of the in-flight work of all entries is reused.
  static constexpr Duration kInFlightSumInterval =
      std::chrono::milliseconds(20);
  static constexpr Duration kFleetDeltaInterval =
      std::chrono::milliseconds(100);
  static constexpr Duration kInFlightSendInterval =
      std::chrono::milliseconds(100);
  /// Bytes per second, before compression, that the requests in flight may take
  /// in the updates to all followers; they are sent less often then.
  static constexpr double kMaxInFlightBytesPerS = 40e6;
  static constexpr double kInFlightWorkBytes = 24;  ///< Of one target.
  /// Largest parts of the time spent on plans and on updates, and the longest
  /// pause between two of them. Most of the time is left to messages.
  static constexpr double kMaxPlanShare = 0.1;
  static constexpr double kMaxUpdateShare = 0.1;
  static constexpr Duration kMaxPacedPause = std::chrono::milliseconds(200);
  /// Targets that announce themselves to the leader directly. With more, its
  /// answers name the other control hosts; see HeartbeatRelay.
  static constexpr std::size_t kMaxDirectTargets = 1200;
  /// A control host that is silent for longer is named to no target.
  static constexpr Duration kNamedHostSilence = std::chrono::milliseconds(700);
  static constexpr Duration kSummaryTimeout = std::chrono::milliseconds(400);
  static constexpr Duration kCapacityLogInterval = std::chrono::seconds(1);
  static constexpr Duration kScalingInterval = std::chrono::seconds(1);
  /// Followers get an update at least this often, even without changes.
  static constexpr Duration kMaxUpdateInterval = std::chrono::milliseconds(250);
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(850);
  /// Time for which the leader waits for the commit of a change. Shorter than
  /// kCallTimeout, so that its answer still reaches a host that forwarded the
  /// call.
  static constexpr Duration kCommitTimeout = std::chrono::milliseconds(700);
  /// A planned stop is over this long before the grace period ends.
  static constexpr Duration kLeaveMargin = std::chrono::milliseconds(500);
  /// Longest time that a planned stop waits for connections of callers.
  static constexpr Duration kLeaveTimeout = std::chrono::milliseconds(2000);
  static constexpr Duration kOrderTimeout = std::chrono::milliseconds(700);
  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(220);
  /// Each takes a connection. Further ones are left to a later plan, so that a
  /// busy leader, to which many targets seem silent, doesn't probe them all at
  /// once.
  static constexpr std::size_t kMaxProbesInFlight = 500;
  static_assert(GroupPlanner::kOrderResendInterval < kOrderTimeout,
                "an order may be repeated while an earlier one is unanswered");
  static_assert(GroupPlanner::kProbeInterval < kProbeTimeout,
                "a target may be probed while an earlier probe is unanswered");
  static_assert(kCommitTimeout < kCallTimeout,
                "an answer must reach a host that forwarded the call");
  static constexpr Duration kJoinRequestInterval =
      std::chrono::milliseconds(400);
  /// Time that targets have to announce themselves to a new leader. Until then
  /// its updates don't replace what followers know from earlier leaders.
  static constexpr Duration kSettleTime = GroupPlanner::kSettleTime;
  /// A follower with more unsent bytes gets no update until some are sent.
  static constexpr std::size_t kMaxUnsentBytes = 256U * 1024U;
  /// With more unsent bytes its updates leave out the requests in flight, which
  /// the next ones replace.
  static constexpr std::size_t kMaxUnsentInFlightBytes = 32U * 1024U;

 private:
  /// An entry or control host that follows this leader.
  struct Follower {
    std::shared_ptr<link::Stream> stream;
    std::uint64_t number = 0;  ///< Unique among all streams of followers.
    FollowerHello hello;
    std::uint64_t handled_report = 0;  ///< Number of its last report.
    std::uint64_t sent_revision = 0;   ///< Of the last update.
    std::uint64_t sent_config_version = 0;
    /// Version that the follower was told of without its text.
    std::uint64_t notified_config_version = 0;
    TimePoint last_sent_at;
    TimePoint in_flight_sent_at;
    bool is_new = true;           ///< No update was sent yet.
    bool has_full_state = false;  ///< Got a full update from this leader.
  };

  [[nodiscard]] Result<std::unique_ptr<consensus::Driver>> OpenLog();
  [[nodiscard]] consensus::Membership InitialMembership() const;
  /// Registers the handlers for streams from other hosts.
  void ServeStreams();
  /// Answer to a forwarded call when this host is not the leader.
  [[nodiscard]] ForwardedAnswer NotLeaderAnswer() const;
  void Tick();
  /// Stops, as part of Leave, once no call waits for its answer and the quorum
  /// no longer counts on this host.
  void FinishLeaveIfReady();
  /// Asks the leader, or every control host if it is not known, to remove this
  /// host from the quorum.
  void RequestToLeave(TimePoint now);

  // Calls of operators and targets.
  void OnCall(HttpRequest call, AsyncHttpServer::Reply reply);
  /// Answers a call of a target if it brings no news, else forwards it.
  void HandleAsRelay(const HttpRequest& call, const Endpoint& leader,
                     const AsyncHttpServer::Reply& reply);
  /// Forwards an announcement and learns from the answer whether the leader
  /// lets this host summarise the next ones.
  void ForwardAnnouncement(const Announcement& announcement,
                           const HttpRequest& call, const Endpoint& leader,
                           const AsyncHttpServer::Reply& reply);
  /// Sends the leader the summary of the targets heard here, if it is due.
  void SendSummary(TimePoint now);
  /// Forwards the announcements that the leader asks for in its answer.
  void HandleSummaryAnswer(const HeartbeatSummary& summary,
                           const std::optional<HeartbeatAnswer>& answer,
                           TimePoint sent_at);
  [[nodiscard]] HeartbeatAnswer HandleSummary(const HeartbeatSummary& summary);
  /// Value of ForwardedAnswer::summary_term in the answer to `call`.
  [[nodiscard]] std::uint64_t SummaryTerm(const ForwardedCall& call) const;
  /// True when other control hosts are to answer announcements without news.
  [[nodiscard]] bool IsSharingAnnouncements() const {
    return this->registry.targets().size() > kMaxDirectTargets;
  }
  /// The control host that `target` is to call next.
  [[nodiscard]] Endpoint NextHostFor(const std::string& target) const;
  void HandleAsLeader(const ForwardedCall& call, AsyncHttpServer::Reply reply);
  /// What an order names that must change nothing that a later one has changed;
  /// 0 for other calls.
  [[nodiscard]] std::uint64_t RevisionOf(const HttpRequest& call) const;
  void RefuseLateOrder(const HttpRequest& call,
                       const AsyncHttpServer::Reply& reply);
  /// Answers the calls that have waited for kCommitTimeout. Whether such a
  /// change will be applied is not known; its caller sends it again.
  void ExpireCalls(TimePoint now);
  void HandleAnnouncement(const std::string& id, const HttpRequest& call,
                          const AsyncHttpServer::Reply& reply);
  /// False for a service that the configuration doesn't name: whoever announces
  /// it is no target to use.
  [[nodiscard]] bool IsServiceKnown(const Announcement& announcement) const;
  /// Hands an announcement to the registry and publishes what it changes.
  AnnouncementResult RegisterAnnouncement(const Announcement& announcement);
  /// Answers with `body` once the log holds that the target is leaving, so that
  /// the next leader keeps what this one acknowledged.
  void AcknowledgeLeaving(const std::string& target, const std::string& body,
                          const AsyncHttpServer::Reply& reply);
  void PutConfiguration(const HttpRequest& call, AsyncHttpServer::Reply reply);
  void GetConfiguration(const AsyncHttpServer::Reply& reply);
  void SetEvacuated(const ForwardedCall& forwarded, const ControlCall& order,
                    const AsyncHttpServer::Reply& reply);
  void Propose(const FleetCommand& command, AsyncHttpServer::Reply reply);
  [[nodiscard]] HttpResponse ErrorResponse(int status,
                                           const std::string& why) const;

  // Leader.
  /// True while leading and holding the lease.
  [[nodiscard]] bool IsLeading() const;
  /// Starts to lead when this host is elected, holds the lease and has applied
  /// all committed log entries.
  void StartLeadingIfReady();
  /// Proposes the changes of targets and groups since the last proposal.
  void ProposeFleetDelta(TimePoint now);
  /// Changes the membership of the quorum if QuorumPlanner asks for it.
  void UpdateQuorum(TimePoint now);
  /// Runs the planner and carries out its actions.
  void PlanGroups(TimePoint now);
  /// Logs demand and supply of each model once per kCapacityLogInterval.
  void LogCapacities(const PlanInput& input, TimePoint now);
  /// Decides the wanted numbers of targets once per kScalingInterval, if the
  /// platform scales, and logs and counts the changes.
  void PlanScaling(const PlanInput& input, TimePoint now);
  /// Data centres with a host or target of the fleet, or with a wanted number.
  [[nodiscard]] std::set<std::string> KnownDataCentres() const;
  /// Takes the wanted numbers of targets, to be sent to the platform.
  void PublishScaleOrders(std::vector<duty::ScaleOrder> orders);
  /// Plans after the events that are already queued, unless the last plan is
  /// less than kMinPlanInterval ago.
  void SchedulePlan();
  /// Copies the groups of the planner to `groups` if they changed.
  void PublishGroups();
  void SendOrder(const Order& order);
  /// Records what a target says of itself in an answer to an order or a probe:
  /// that it leaves.
  void RecordNotices(const TargetIncarnation& incarnation,
                     const Result<HttpResponse>& response);
  /// The report in the answer to a probe, if it has one.
  [[nodiscard]] std::optional<EngineReport> ReadReport(
      const Result<HttpResponse>& response) const;
  /// Asks at the address of `run` whether it has ended. If so, the announcement
  /// that would replace it is handled.
  void ProbeContested(const TargetIncarnation& run,
                      const Announcement& announcement);
  /// Asks a target for its state and passes the result to the planner.
  void Probe(const std::string& target);
  void OnFollower(const std::shared_ptr<link::Stream>& stream);
  void OnReport(Follower& follower, const EntryReport& report);
  /// Merges what an entry learnt of the targets, and logs those that became
  /// slow or recovered.
  void RecordCapacities(const EntryReport& report, TimePoint now);
  /// Name of the group that `target` heads, or an empty string.
  [[nodiscard]] std::string GroupNameOfHead(const std::string& target) const;
  /// Records what a report says of content that may crash targets.
  void RecordContents(const Follower& follower, const EntryReport& report,
                      TimePoint now);
  /// Decides which content is held or quarantined, and logs the changes.
  /// \returns Whether followers have to be told.
  [[nodiscard]] bool UpdateSuspects(TimePoint now);
  void LogSuspicion(const SuspicionEvent& event);
  /// Proposes the suspects to the log if they have changed.
  void ProposeSuspects(TimePoint now);
  /// Answers an operator who lists quarantined content.
  void ListQuarantine(const AsyncHttpServer::Reply& reply) const;
  /// Ends the quarantine of a content by an operator's order.
  void ClearQuarantine(const std::string& content,
                       const AsyncHttpServer::Reply& reply);
  /// True while this host is elected and cannot prove that it still leads. Its
  /// followers are then left waiting: sent away, all would come back at once
  /// and ask for everything.
  [[nodiscard]] bool IsAwaitingLease() const;
  /// Sends the updates that are due, unless the last ones took so long that
  /// they have to wait; see WorkPacer.
  void SendUpdates(TimePoint now);
  /// The same without a wait, for changes by operators.
  void SendUpdatesNow(TimePoint now);
  /// The fields of an update that are the same for all followers.
  [[nodiscard]] FleetUpdate MakeCommonUpdate();
  /// Encodes updates of this moment.
  [[nodiscard]] UpdateEncoder MakeUpdateEncoder(TimePoint now);
  /// Adds to an update what followers with `needs` lack.
  void FillUpdate(const UpdateNeeds& needs, FleetUpdate& update, TimePoint now);
  /// Sends an update if one is due for this follower.
  void SendUpdate(Follower& follower, UpdateEncoder& encoder, TimePoint now);
  /// Tells a follower that can take no update now of a new configuration.
  static void NotifyVersion(Follower& follower, UpdateEncoder& encoder);
  /// Interval between two updates with the requests in flight.
  [[nodiscard]] Duration InFlightSendInterval() const;
  /// Link of the leader if it is another host, else an empty endpoint.
  [[nodiscard]] Endpoint RemoteLeader() const;
  /// Links of all members of the quorum.
  [[nodiscard]] std::vector<Endpoint> MemberLinks() const;
  /// Copies a target from the registry to `targets`, or removes it there.
  void PublishTarget(const std::string& id);
  /// Names of the entries that follow.
  [[nodiscard]] std::vector<std::string> FollowingEntries() const;
  /// Assigns entries to the cold targets that lack some.
  void AssignColdEntries();
  /// Work in flight of all entries, recomputed at most once per
  /// kInFlightSumInterval.
  [[nodiscard]] const std::vector<InFlightWork>& SumInFlightWork(TimePoint now);
  /// Records the replicated configuration for the followers; as the leader
  /// also parses it.
  void OnApplied();
  /// Parses the replicated configuration if its version changed.
  void ParseConfiguration();
  /// Adds the configuration to an update for followers that lack it.
  void AddConfiguration(const UpdateNeeds& needs, FleetUpdate& update);

  /// Creates `duties` if the settings name a platform and a duty.
  void CreateDuties();
  void SendToPlatform(const duty::PlatformCall& call, TimePoint deadline,
                      std::function<bool()> may_send,
                      const DutyHooks::OnOutcome& on_outcome);

  // Not leading.
  /// Asks the other control hosts to be added to the quorum.
  void RequestToJoin(TimePoint now);
  /// Links of all known control hosts but this one.
  [[nodiscard]] std::vector<Endpoint> HostsToJoin() const;

  boost::asio::io_context& context;
  boost::asio::steady_timer timer;
  HostSettings settings;
  Dialect dialect;
  observe::Metrics& metrics;
  link::ChannelPool channels;
  link::Listener listener;
  AsyncHttpServer server;
  FleetState state;
  std::unique_ptr<consensus::Driver> driver;
  consensus::NodeId id = 0;
  std::uint64_t disk_id = 0;

  Registry registry;
  GroupPlanner planner;
  std::set<std::string> contested_targets;  ///< See ProbeContested.
  QuorumPlanner quorum_planner;
  std::unique_ptr<DutyRunner> duties;  ///< Null without duties.
  CrashTracker crash_tracker;
  /// Used only with HostSettings::learns_capacity.
  CapacityMerger capacity_merger;
  std::uint64_t sent_suspects_revision = 0;      ///< Of the crash tracker.
  std::uint64_t proposed_suspects_revision = 0;  ///< Of the crash tracker.
  std::string proposed_suspects;                 ///< Encoded.
  TimePoint next_suspects_at;
  DemandAggregator demand;
  std::list<std::shared_ptr<Follower>> followers;
  std::uint64_t last_follower = 0;  ///< Number of the latest stream.
  InFlightTotals in_flight_totals;
  WorkPacer plan_pacer{kMaxPlanShare, kMaxPacedPause};
  WorkPacer update_pacer{kMaxUpdateShare, kMaxPacedPause};
  HeartbeatRelay heartbeats;  ///< Used while another host leads.
  std::size_t probes_in_flight = 0;
  control::VersionedMap<TargetView> targets;
  control::VersionedMap<GroupView> groups;
  std::uint64_t revision = 1;                 ///< Of `targets` and `groups`.
  std::uint64_t published_plan_revision = 0;  ///< Of the planner.
  std::optional<Configuration> configuration;
  ConfigurationHistory configuration_history;
  PendingCalls pending_calls;     ///< Handled as the leader.
  std::function<void()> on_left;  ///< Empty unless leaving.
  TimePoint leave_deadline;       ///< See kLeaveMargin.
  QuorumLeave quorum_leave;
  bool has_stopped_serving = false;  ///< `server` has stopped.
  std::uint64_t parsed_version = 0;  ///< Of `configuration`.
  bool is_elected = false;           ///< Leader of the log.
  /// Elected, and has since taken over the recorded state of the fleet; see
  /// StartLeadingIfReady. Stays true while the lease is lost; see IsLeading.
  bool has_taken_over = false;
  std::uint64_t proposed_revision = 0;  ///< Last proposed to the log.
  TimePoint next_delta_at;
  bool has_traffic = false;  ///< See PlanInput.
  bool is_plan_scheduled = false;
  TimePoint last_plan_at;
  TimePoint next_capacity_log_at;
  duty::ScalePlanner scale_planner;
  std::vector<duty::ScaleOrder> scale_orders;  ///< Wanted numbers of targets.
  TimePoint next_scaling_at;
  std::vector<InFlightWork> in_flight_work;  ///< Sum over all entries.
  TimePoint in_flight_summed_at;
  TimePoint settled_at;  ///< Full updates are sent from then on.
  TimePoint next_join_request_at;
  std::vector<Endpoint> members_by_answers;  ///< See JoinAnswer.
  TimePoint next_expiry_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CONTROL_HOST_H_
