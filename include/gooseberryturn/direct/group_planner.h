#ifndef GOOSEBERRYTURN_DIRECT_GROUP_PLANNER_H_
#define GOOSEBERRYTURN_DIRECT_GROUP_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/configuration.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/direct/dissolved_groups.h"
#include "gooseberryturn/direct/model_demand.h"
#include "gooseberryturn/direct/model_load_limiter.h"
#include "gooseberryturn/direct/registry.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief Actions that the leader carries out after a call of Plan.
struct PlannedActions {
  std::vector<Order> orders;
  std::vector<std::string> probes;  ///< Ids of targets to ask for a report.
  /// Members found dead by this call, without those whose end the registry
  /// knows.
  std::vector<std::string> lost_members;
};

/// \brief State of the fleet on which a plan is based.
struct PlanInput {
  const Registry& registry;
  const Configuration& configuration;
  std::set<std::string> evacuated;  ///< Data centres taken out of service.
  /// Requests in flight, by target id.
  std::map<std::string, std::uint32_t> in_flight_work;
  /// True once an entry has received a request, even one that it refused, or
  /// once a leader has taken over recorded groups.
  bool has_traffic = false;
  Duration heartbeat = std::chrono::seconds(1);
  /// Time after the loss of a member after which the group's head breaks by
  /// itself.
  Duration member_loss_timeout = std::chrono::seconds(5);
  std::vector<ModelDemand> demand;  ///< Empty until measured.
};

/// \brief What the planner takes for the demand and supply of one model.
struct ModelCapacity {
  std::string service;
  std::string model;
  std::size_t open_groups = 0;
  double busy_groups = 0;  ///< Demand, at least its assumed minimum.
  /// Hosts of groups that serve or are to serve, divided by those that the
  /// demand keeps busy.
  double coverage = 0;
};

/// \brief Forms, opens and dissolves replica groups; runs on the leader.
///
/// \details Hosts and engines are identified by the id of their target: the
/// words host, engine and target name the same thing here, and a member is a
/// target in a group. Does no I/O and reads no clock. Invariants:
/// - a head is ordered to open only after every member has reported ready with
///   the group's name and epoch;
/// - a member is assigned to another group only after the head of its previous
///   group has closed, has broken, or has certainly ended;
/// - group names and epochs are never reused: an epoch contains the leader's
///   term;
/// - an order to leave raises the fence of the target that it goes to, so that
///   copies of earlier orders that arrive later bring no group back. Where one
///   comes back all the same, as the target restarted or checks no fences, what
///   its head announces then counts for more than that it had left.
class GroupPlanner {
 public:
  /// \brief Starts a term with the groups that earlier leaders recorded.
  /// Discards all other state.
  void StartLeading(std::uint64_t term, const std::vector<GroupView>& known,
                    TimePoint now);
  /// \brief Advances every group and returns the actions that are due.
  [[nodiscard]] PlannedActions Plan(const PlanInput& input, TimePoint now);

  /// \brief Records how a target answered an order.
  void HandleOrderOutcome(const Order& order, OrderOutcome outcome,
                          TimePoint now);
  /// \brief Records that an entry gets no more output from the group's head.
  void HandleGroupStall(const std::string& group, TimePoint now);
  /// \brief Records the answer to a probe; no `report` means that it failed, at
  /// once if the connection `is_refused`.
  void HandleProbeResult(const std::string& target,
                         const std::optional<EngineReport>& report,
                         bool is_refused, TimePoint now);

  [[nodiscard]] std::vector<GroupView> Groups() const;
  /// \brief Demand and supply of each model as of the last plan's counts.
  [[nodiscard]] std::vector<ModelCapacity> Capacities(
      const PlanInput& input) const;
  /// \brief Increases with each change of any group.
  [[nodiscard]] std::uint64_t revision() const noexcept {
    return this->change_count;
  }

  /// Shorter than ControlHost::kOrderTimeout, so an order may be repeated while
  /// an earlier copy is unanswered.
  static constexpr Duration kOrderResendInterval =
      std::chrono::milliseconds(400);
  /// Shorter than ControlHost::kProbeTimeout, so a target may be probed while
  /// an earlier probe is unanswered.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(120);
  /// Used instead after kFailedProbesToSuspect failed probes in a row.
  static constexpr Duration kSuspectProbeInterval =
      std::chrono::milliseconds(600);
  static constexpr int kFailedProbesToSuspect = 2;
  /// A sound target may be silent for about a second. A member with work is
  /// lost only when its probes have failed for longer, unless they are refused:
  /// an order to leave would end the answers of its group.
  static constexpr Duration kSilenceAllowance = std::chrono::milliseconds(1000);
  /// Entries repeat the report several times a second while a group is
  /// stalled.
  static constexpr Duration kStallReportLifetime =
      std::chrono::milliseconds(500);
  /// Time that a new leader gives targets to announce their state.
  static constexpr Duration kSettleTime = std::chrono::milliseconds(2500);
  /// Used without known groups: every target has announced itself by then.
  static constexpr Duration kSettleTimeWithoutGroups =
      std::chrono::milliseconds(1700);
  /// The first groups are formed once no new target has appeared for this
  /// time, or after kInitialFormingTimeout.
  static constexpr Duration kInitialQuietTime = std::chrono::milliseconds(600);
  static constexpr Duration kInitialFormingTimeout =
      std::chrono::milliseconds(3500);
  /// Used with known groups: the targets announced by then are enough to form
  /// further groups.
  static constexpr Duration kFormingDelay = std::chrono::milliseconds(700);
  /// Added to the time after which a head that lost a member breaks.
  static constexpr Duration kBreakMargin = std::chrono::milliseconds(400);
  /// Time for a group to open, and the base of the time for it to form, to
  /// which twice the expected forming time is added (kSettleTime for a recorded
  /// one).
  static constexpr Duration kFormingTimeout = std::chrono::seconds(8);
  /// Time for the running requests of a closing group to finish.
  static constexpr Duration kCloseTimeout = std::chrono::seconds(6);
  /// Loads of copies are chosen among all targets; the interval between two
  /// choices grows with their number. Up to 150 targets each plan has one.
  static constexpr Duration kStagingIntervalPerTarget =
      std::chrono::microseconds(100);
  /// Covers an order to leave that a member executes late.
  static constexpr Duration kOrphanMargin = std::chrono::seconds(3);
  /// Shortest time for which a fabric domain stays reserved after a
  /// reassignment, unless the group that it is for starts sooner: longer where
  /// requests of closing groups have to end first. A reserved domain is not
  /// reassigned.
  static constexpr Duration kReservationTime = std::chrono::milliseconds(2500);
  /// Time allowed from the release of a member until it is ordered to join.
  static constexpr Duration kRejoinMargin = std::chrono::milliseconds(500);
  /// Factor on the published load time while there is no traffic yet.
  static constexpr double kPreTrafficLoadFactor = 0.1;

 private:
  /// A group and the state of the orders for it.
  struct Group {
    GroupView view;
    std::map<std::string, std::int64_t> start_times_ms;  ///< Of each member.
    std::map<std::string, TimePoint> resend_at;          ///< By member.
    std::set<std::string> acknowledged;
    TimePoint give_up_at;      ///< Deadline for forming and for opening.
    TimePoint close_deadline;  ///< Until then, requests may finish.
    std::optional<TimePoint> last_stall_report_at;
    bool may_be_open = false;  ///< The head may have been ordered to open.
    bool is_head_closed = false;
    /// Given up without anybody who knows whether the head still serves.
    bool may_be_adopted = false;
    /// When a member left, after which the head breaks by itself.
    std::optional<TimePoint> member_left_at;
    std::string left_member;  ///< The one that left, if one did.
    /// Its last announcement before the next plan.
    std::optional<AnnouncementMark> left_as;
    int unanswered_head_leaves = 0;
    /// Targets whose fence an order to leave has raised in this phase.
    std::set<std::string> fenced;
  };

  /// A model to copy from the weight store to a host.
  struct Staging {
    std::string target;  ///< Id of the target on the host.
    const ModelProfile* model = nullptr;
    double priority = 0;
  };

  /// How much spares with a copy of one model are needed, by fabric domain.
  struct SpareDemand {
    const ModelProfile* model = nullptr;
    std::map<std::string, double> exposed_work;  ///< See ExposedWorkByDomain.
    std::map<std::string, std::size_t> spares;   ///< That have the model.
  };

  /// A copy that was ordered.
  struct StagingInProgress {
    std::string model;
    TimePoint until;  ///< It is ordered again then.
  };

  /// Ids of the targets on hosts that may join a group, by fabric domain.
  using FreeHosts = std::map<std::string, std::vector<std::string>>;

  /// A host that may join a group, now or after its broken group is gone.
  struct AvailableHost {
    std::string id;        ///< Of its target.
    double free_in_s = 0;  ///< Seconds until it is free; 0 if it is.
  };

  /// Hosts that may join a group, by fabric domain.
  using AvailableHosts = std::map<std::string, std::vector<AvailableHost>>;

  /// A group that available hosts can form.
  struct Candidate {
    const ModelProfile* model = nullptr;
    std::string domain;
    std::vector<std::string> members;
    double forming_s = 0;     ///< Until its last member has joined.
    bool is_waiting = false;  ///< A member is not free yet.
  };

  /// The groups that the hosts of each fabric domain can form, one for each
  /// model.
  using CandidatesByDomain = std::map<std::string, std::vector<Candidate>>;

  /// Reserves the free hosts of a fabric domain for one model.
  struct Reservation {
    std::string model;
    TimePoint until;
  };

  /// Members of dissolving groups; all of them are free by `free_at`.
  struct PendingRelease {
    std::vector<std::string> targets;
    TimePoint free_at;
  };

  /// Groups of a domain to close so that another model can use their hosts.
  struct Reassignment {
    std::string domain;
    std::vector<std::string> closed_groups;
    double gain_s = 0;  ///< See GainFromClosing.
    TimePoint until;    ///< End of the domain's reservation for the model.
  };

  /// Failure detection for one target.
  struct ProbeState {
    int failed_probes = 0;       ///< In a row.
    bool is_refused = false;     ///< The last one: nothing listens there.
    TimePoint first_failure_at;  ///< Of these.
    TimePoint next_probe_at;
    TimePoint last_failure_at;
  };

  void AdvanceGroup(Group& group, const PlanInput& input,
                    PlannedActions& actions, TimePoint now);
  /// True when the configuration has no such model any more, or one of another
  /// size: such a group gets no requests and is closed.
  [[nodiscard]] static bool IsRetired(const GroupView& group,
                                      const PlanInput& input);
  /// Closes an open group, whose answers in progress may end; gives up one that
  /// is not open yet.
  void RetireGroup(Group& group, TimePoint now);
  void AdvanceForming(Group& group, const PlanInput& input,
                      PlannedActions& actions, TimePoint now);
  void AdvanceOpening(Group& group, const PlanInput& input,
                      PlannedActions& actions, TimePoint now);
  void AdvanceOpen(Group& group, const PlanInput& input,
                   PlannedActions& actions, TimePoint now);
  void AdvanceClosing(Group& group, const PlanInput& input, TimePoint now);
  void AdvanceDissolving(Group& group, const PlanInput& input,
                         PlannedActions& actions, TimePoint now);
  void SetPhase(Group& group, GroupPhase phase);
  /// Starts to wait again when the member whose leave is to break the head is
  /// back in the group.
  void CheckLeftMember(Group& group, const PlanInput& input);
  void ProbeMembers(const Group& group, const PlanInput& input,
                    PlannedActions& actions, TimePoint now);
  /// True when the target is no longer registered or has restarted.
  [[nodiscard]] bool IsMemberGone(const Group& group, const std::string& id,
                                  const PlanInput& input) const;
  /// True when the target's run in this group is known to have ended. One that
  /// is just gone may go on.
  [[nodiscard]] bool HasMemberEnded(const Group& group, const std::string& id,
                                    const PlanInput& input) const;
  /// True when several probes failed and no heartbeat has arrived since.
  [[nodiscard]] bool IsSuspect(const std::string& id,
                               const TargetRecord& record) const;
  /// True when the member is gone, or suspect and other evidence confirms it:
  /// the group is stalled, or it is idle and the member is silent for long.
  [[nodiscard]] bool IsMemberDead(const Group& group, const std::string& id,
                                  const PlanInput& input, TimePoint now) const;
  /// True when heartbeats are overdue.
  [[nodiscard]] bool IsSilent(const TargetRecord& record,
                              const PlanInput& input, TimePoint now) const;
  /// Takes over groups that members announce but no earlier leader recorded.
  void AdoptAnnouncedGroups(const PlanInput& input, TimePoint now);
  /// Waits for further targets before the first groups are formed.
  void PostponeFirstGroups(const PlanInput& input, TimePoint now);
  /// Orders each member of an unknown group, once, to leave it; IsReleased
  /// frees the member after some time whether or not it answers. Heads get no
  /// such order: AdoptAnnouncedGroups takes over their groups if they may be
  /// serving.
  void ReleaseOrphans(const PlanInput& input, PlannedActions& actions,
                      TimePoint now);
  /// True when the head of the target's previous group cannot serve any more.
  [[nodiscard]] bool IsReleased(const std::string& id,
                                const TargetRecord& record,
                                const PlanInput& input, TimePoint now) const;

  void FormGroups(const PlanInput& input, PlannedActions& actions,
                  TimePoint now);
  /// The group that adds most to the work served, if any can be formed.
  [[nodiscard]] std::optional<Candidate> BestCandidate(
      const Service& service, const CandidatesByDomain& candidates,
      const std::map<std::string, double>& coverage,
      const PlanInput& input) const;
  /// What `hosts` of `domain` can form.
  [[nodiscard]] std::vector<Candidate> MakeCandidates(
      const Service& service, const std::string& domain,
      const std::vector<AvailableHost>& hosts, const PlanInput& input,
      TimePoint now) const;
  /// The group of `model` that `hosts` can form soonest, if any.
  [[nodiscard]] std::optional<Candidate> MakeCandidate(
      const ModelProfile& model, const std::string& domain,
      const std::vector<AvailableHost>& hosts, const PlanInput& input,
      TimePoint now) const;
  /// Free hosts, and the usable members of broken groups whose heads are
  /// certain to break at a known time.
  [[nodiscard]] AvailableHosts AvailableHostsByDomain(
      const Service& service, const FreeHosts& free_hosts,
      const PlanInput& input, TimePoint now) const;
  /// Forms the groups that add most, one after the other.
  ///
  /// \details Hosts become free in small numbers. A larger group that can be
  /// formed with hosts that are free soon keeps its free members from smaller
  /// ones: otherwise these take the hosts piece by piece, and no larger group
  /// is ever formed again.
  void FormServiceGroups(const Service& service, const FreeHosts& free_hosts,
                         const PlanInput& input, PlannedActions& actions,
                         TimePoint now);
  /// Members of a broken group that may join another one.
  [[nodiscard]] std::vector<std::string> UsableMembers(
      const Group& group, const PlanInput& input) const;
  [[nodiscard]] FreeHosts FreeHostsByDomain(const Service& service,
                                            const PlanInput& input,
                                            TimePoint now) const;
  [[nodiscard]] bool IsEvacuated(const GroupView& group,
                                 const PlanInput& input) const;
  /// Counts the hosts of each service; called once per plan.
  void CountHosts(const PlanInput& input);
  /// Number of hosts that the demand for `model` keeps busy.
  [[nodiscard]] double BusyHosts(const Service& service,
                                 const ModelProfile& model,
                                 const PlanInput& input) const;
  /// By model: hosts in its groups divided by BusyHosts.
  [[nodiscard]] std::map<std::string, double> Coverage(
      const Service& service, const PlanInput& input) const;
  /// Coverage with the groups for which domains are reserved.
  [[nodiscard]] std::map<std::string, double> PlannedCoverage(
      const Service& service, const PlanInput& input, TimePoint now) const;
  [[nodiscard]] bool IsReserved(const std::string& domain, TimePoint now) const;
  void StartGroup(const Service& service, const Candidate& candidate,
                  const PlanInput& input, PlannedActions& actions,
                  TimePoint now);
  /// Groups of other models to close so that their members and
  /// `available_hosts` can form a group of `underserved`. Empty when that is
  /// impossible, or possible without closing any.
  [[nodiscard]] std::vector<std::string> GroupsToClose(
      const Service& service, const ModelProfile& underserved,
      const std::string& domain,
      const std::vector<std::string>& available_hosts,
      const PlanInput& input) const;
  /// Share of the service's work that is served well at this coverage.
  [[nodiscard]] static double ServedFraction(
      const Service& service, const std::map<std::string, double>& coverage);
  [[nodiscard]] static const ModelProfile* LeastCoveredModel(
      const Service& service, const std::map<std::string, double>& coverage);
  /// Gain when `closed_groups` make room for a group of `underserved`, in
  /// seconds: each change of the served fraction of the service's work times
  /// its duration, added up.
  [[nodiscard]] double GainFromClosing(
      const Service& service, const ModelProfile& underserved,
      const std::vector<std::string>& closed_groups,
      const std::map<std::string, double>& coverage,
      const PlanInput& input) const;
  /// True if requests are in flight at any of the groups.
  [[nodiscard]] bool HasWork(const std::vector<std::string>& names,
                             const PlanInput& input) const;
  /// The reassignment within one domain that gains most; it closes no groups
  /// if none gains enough.
  [[nodiscard]] Reassignment BestReassignment(
      const Service& service, const ModelProfile& underserved,
      const std::map<std::string, double>& coverage,
      const FreeHosts& free_hosts, const PlanInput& input, TimePoint now) const;
  /// Usable members of dissolving groups, by fabric domain.
  [[nodiscard]] std::map<std::string, PendingRelease> PendingReleasesByDomain(
      const Service& service, const PlanInput& input, TimePoint now) const;
  /// Closes groups in favour of the model with the least coverage if that
  /// gains enough.
  void Rebalance(const Service& service, const FreeHosts& free_hosts,
                 const PlanInput& input, TimePoint now);
  /// Number of hosts per fabric domain that can join a group of `model`
  /// without a load from the weight store.
  [[nodiscard]] std::map<std::string, std::size_t> CapableHostsByDomain(
      const Service& service, const ModelProfile& model,
      const PlanInput& input) const;
  /// True while an ordered copy is being made.
  [[nodiscard]] bool IsStaging(const std::string& target, TimePoint now) const;
  /// True for a host in no group that can join one of `model` without a load,
  /// or will once its ordered copy is there.
  [[nodiscard]] bool IsSpareWith(const TargetRecord& record,
                                 const std::string& model, TimePoint now) const;
  [[nodiscard]] std::map<std::string, std::size_t> CountSparesByDomain(
      const std::string& model, const PlanInput& input, TimePoint now) const;
  /// By fabric domain: hosts in groups of `model`, any of which may be lost,
  /// times the share of the model's work that goes with its group.
  [[nodiscard]] std::map<std::string, double> ExposedWorkByDomain(
      const Service& service, const ModelProfile& model,
      const PlanInput& input) const;
  /// True when a load may be ordered at the host.
  [[nodiscard]] bool CanLoad(const TargetRecord& record, const Service& service,
                             const PlanInput& input, TimePoint now) const;
  /// True when a spare or a member of an open group has no copy of another
  /// model.
  [[nodiscard]] bool CanStage(const TargetRecord& record,
                              const Service& service, const PlanInput& input,
                              TimePoint now) const;
  [[nodiscard]] std::vector<SpareDemand> SpareDemands(const Service& service,
                                                      const PlanInput& input,
                                                      TimePoint now) const;
  /// The copy that `spare` should hold, which may be one that it has; no model
  /// if its domain has no groups.
  [[nodiscard]] Staging BestCopyForSpare(const TargetRecord& spare,
                                         std::vector<SpareDemand>& demands,
                                         TimePoint now) const;
  /// Copies for hosts in no group.
  ///
  /// \details Groups lose single members all the time, and large ones most
  /// often. A spare with a copy of the same model completes the group at once;
  /// without one, the survivors of a large group drift to smaller models. So
  /// the spares of a domain are divided by what its groups may lose, and one
  /// whose model has enough others gets another copy.
  [[nodiscard]] std::vector<Staging> StagingsOfSpares(const Service& service,
                                                      const PlanInput& input,
                                                      TimePoint now) const;
  /// Copies for members of open groups, so that they can be reassigned, and for
  /// spares of domains without groups. The weight store is slow, so loads that
  /// complete a group soonest come first.
  [[nodiscard]] std::vector<Staging> StagingsOfMembers(const Service& service,
                                                       const PlanInput& input,
                                                       TimePoint now) const;
  /// All copies in the order in which to make them: spares go first, since they
  /// complete a group without closing another one.
  [[nodiscard]] std::vector<Staging> StagingsInOrder(const Service& service,
                                                     const PlanInput& input,
                                                     TimePoint now) const;
  void StageModels(const PlanInput& input, PlannedActions& actions,
                   TimePoint now);
  /// Time that the host takes to join a group of `model`.
  [[nodiscard]] double JoinSeconds(const TargetRecord& record,
                                   const ModelProfile& model) const;
  [[nodiscard]] Order MakeOrder(OrderKind kind, const Group& group,
                                const std::string& target) const;
  /// An order to leave, which raises the fence of the target once a phase.
  [[nodiscard]] Order MakeLeave(Group& group, const std::string& target);
  /// Fencing number of the orders to `target`: the term, then the number of
  /// times that it was raised.
  [[nodiscard]] std::uint64_t FenceOf(const std::string& target) const;
  void RaiseFence(const std::string& target) {
    this->raised_fences[target] += 1;
  }

  std::uint64_t term = 0;           ///< Of this leader.
  std::uint64_t formed_groups = 0;  ///< In this term.
  std::uint64_t change_count = 0;
  TimePoint settled_at;  ///< Announcements are complete from then on.
  TimePoint forming_starts_at;
  TimePoint first_forming_deadline;
  std::size_t known_target_count = 0;
  std::map<std::string, std::size_t> host_counts;  ///< By service.
  std::map<std::string, Group> groups;             ///< By name.
  std::unordered_map<std::string, std::string>
      group_by_target;                                       ///< By target id.
  std::unordered_map<std::string, ProbeState> probe_states;  ///< By target id.
  std::unordered_map<std::string, StagingInProgress>
      stagings;               ///< By target id.
  TimePoint next_staging_at;  ///< See kStagingIntervalPerTarget.
  std::map<std::string, Reservation> reservations;  ///< By fabric domain.
  DissolvedGroups dissolved_groups;
  std::unordered_map<std::string, std::uint64_t>
      raised_fences;  ///< By target id; see FenceOf.
  /// Members of unknown groups, with the time at which they were found.
  std::unordered_map<std::string, TimePoint> orphans;
  ModelLoadLimiter load_limiter;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_GROUP_PLANNER_H_
