#ifndef GOOSEBERRYTURN_DIRECT_CONTROL_HOST_H_
#define GOOSEBERRYTURN_DIRECT_CONTROL_HOST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryturn/consensus/driver.h"
#include "gooseberryturn/control/versioned.h"
#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/direct/crash_tracker.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/direct/fleet_state.h"
#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/direct/quorum_planner.h"
#include "gooseberryturn/direct/registry.h"
#include "gooseberryturn/direct/view.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::direct {

/// \brief A control host: its part of the replicated log and, at the leader,
/// the registry of targets, the keeper of groups and the followers.
class ControlHost {
 public:
  ControlHost(boost::asio::io_context& context, HostSettings settings,
              Dialect dialect, observe::Metrics& metrics);

  /// \brief Opens the data folder and starts to serve.
  [[nodiscard]] Result<void> Start();
  /// \brief Stops to serve; nothing that was acknowledged depends on more.
  void Leave(const std::function<void()>& on_left);
  /// \brief Takes over what may change while it runs: the control hosts.
  void Reload(const HostSettings& changed) {
    this->settings.control_hosts = changed.control_hosts;
  }

  /// The hosts of a region hear each other within a few milliseconds.
  static constexpr Duration kElectionMin = std::chrono::milliseconds(400);
  static constexpr Duration kElectionMax = std::chrono::milliseconds(800);
  static constexpr Duration kTick = std::chrono::milliseconds(50);
  /// A plan looks at every target: changes that come sooner wait for the tick.
  static constexpr Duration kPlanGap = std::chrono::milliseconds(15);
  static constexpr Duration kSumEvery = std::chrono::milliseconds(20);
  static constexpr Duration kNoteEvery = std::chrono::milliseconds(100);
  static constexpr Duration kLoadEvery = std::chrono::milliseconds(100);
  static constexpr Duration kUpdateAtLeastEvery =
      std::chrono::milliseconds(250);
  static constexpr Duration kCallLimit = std::chrono::milliseconds(850);
  static constexpr Duration kOrderLimit = std::chrono::milliseconds(700);
  static constexpr Duration kProbeLimit = std::chrono::milliseconds(220);
  static constexpr Duration kJoinEvery = std::chrono::milliseconds(400);
  static constexpr Duration kFollowerLife = std::chrono::milliseconds(1500);
  /// A new leader keeps what earlier ones knew until targets spoke up.
  static constexpr Duration kSettle = std::chrono::milliseconds(2500);
  static constexpr std::size_t kMaxUnsentBytes = 256U * 1024U;

 private:
  /// An entry or control host that follows this leader.
  struct Follower {
    std::shared_ptr<link::Stream> stream;
    FollowerHello hello;
    std::uint64_t sent_revision = 0;
    std::uint64_t sent_config = 0;
    std::vector<InFlightWork> open_work;
    TimePoint heard_at;
    TimePoint sent_at;
    TimePoint load_sent_at;
    bool is_first = true;
    bool has_full = false;  ///< It was told everything at once.
  };

  [[nodiscard]] Result<std::unique_ptr<consensus::Driver>> OpenLog();
  [[nodiscard]] consensus::Membership FirstMembership() const;
  void ServeLinks();
  /// \brief The answer to a call that only a leader can answer.
  [[nodiscard]] ForwardedAnswer NotLeading() const;
  void Tick();

  // Calls of operators and targets.
  void OnCall(HttpRequest call, AsyncHttpServer::Reply reply);
  void HandleAsLeader(const HttpRequest& call, AsyncHttpServer::Reply reply);
  void Announce(const std::string& id, const HttpRequest& call,
                const AsyncHttpServer::Reply& reply);
  void PutConfiguration(const HttpRequest& call, AsyncHttpServer::Reply reply);
  void GetConfiguration(const AsyncHttpServer::Reply& reply);
  void SetEvacuated(const std::string& data_centre, bool is_out,
                    AsyncHttpServer::Reply reply);
  void Propose(const FleetCommand& command, AsyncHttpServer::Reply reply);
  [[nodiscard]] HttpResponse Fault(int status, const std::string& why) const;

  // Leader.
  [[nodiscard]] bool IsLeading() const;
  /// Begins to lead once everything committed before is applied.
  void TakeOverWhenCurrent();
  /// Puts what changed of targets and groups into the log.
  void NoteChanges(TimePoint now);
  void KeepQuorum(TimePoint now);
  void KeepGroups(TimePoint now);
  /// Plans again once the events at hand are taken.
  void PlanSoon();
  void RefreshGroups();
  void GiveOrder(const Order& order);
  void Probe(const std::string& target);
  void OnFollow(const std::shared_ptr<link::Stream>& stream);
  void OnReport(Follower& follower, const EntryReport& report);
  void PushAll(TimePoint now);
  /// What an update tells each follower alike.
  [[nodiscard]] FleetUpdate CommonUpdate(TimePoint now);
  void Push(Follower& follower, const FleetUpdate& common, TimePoint now);
  /// Link of the leader when that is another host, else empty.
  [[nodiscard]] Endpoint OtherLeader() const;
  /// Links of all members of the quorum.
  [[nodiscard]] std::vector<Endpoint> MemberLinks() const;
  void PutTarget(const std::string& id);
  /// Open work of all entries; summed up once for all followers.
  [[nodiscard]] const std::vector<InFlightWork>& SumOpenWork(TimePoint now);
  void RefreshConfiguration();

  // Not leading.
  void AskToJoin(TimePoint now);

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
  std::uint64_t disk = 0;

  Registry registry;
  GroupPlanner planner;
  QuorumPlanner quorum;
  CrashTracker crashes;
  DemandAggregator demand;
  std::list<std::shared_ptr<Follower>> followers;
  control::Versioned<TargetView> targets;
  control::Versioned<GroupView> groups;
  std::uint64_t revision = 1;
  std::uint64_t seen_plan_revision = 0;
  std::optional<Configuration> configuration;
  std::uint64_t parsed_version = 0;
  bool is_elected = false;  ///< Leads the log.
  bool is_leading = false;  ///< And knows all that was committed before.
  std::uint64_t noted_revision = 0;
  TimePoint note_at;
  bool has_traffic = false;
  bool is_plan_due = false;
  TimePoint planned_at;
  std::vector<InFlightWork> open_work;  ///< Of all entries together.
  TimePoint summed_at;
  TimePoint settled_at;
  TimePoint join_at;
  TimePoint expire_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CONTROL_HOST_H_
