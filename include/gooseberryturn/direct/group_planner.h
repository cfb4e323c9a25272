#ifndef GOOSEBERRYTURN_DIRECT_GROUP_PLANNER_H_
#define GOOSEBERRYTURN_DIRECT_GROUP_PLANNER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/configuration.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/direct/model_demand.h"
#include "gooseberryturn/direct/model_load_limiter.h"
#include "gooseberryturn/direct/registry.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief What the planner wants done.
struct PlannedActions {
  std::vector<Order> orders;
  std::vector<std::string> probes;        ///< Targets to be asked for a report.
  std::vector<std::string> lost_members;  ///< Found dead this time.
};

/// \brief What the planner looks at.
struct PlanInput {
  const Registry& registry;
  const Configuration& configuration;
  std::set<std::string> evacuated;
  std::map<std::string, std::uint32_t> in_flight_work;  ///< By target id.
  bool has_traffic = false;
  Duration heartbeat = std::chrono::seconds(1);
  Duration stall = std::chrono::seconds(5);
  std::vector<ModelDemand> demand;  ///< As measured; empty before.
};

/// \brief Forms, opens and dissolves replica groups; one at the leader.
///
/// \details Free of sockets and clocks. Invariants:
/// - a head is ordered to open only after every member reported ready under
///   the group's name and epoch;
/// - a member gets another group only after the head of its last one closed,
///   broke, or is certainly gone;
/// - names and epochs are never used twice: epochs hold the leader's term.
class GroupPlanner {
 public:
  /// \brief Begins a term with the groups an earlier leader told of.
  void StartLeading(std::uint64_t term, const std::vector<GroupView>& known,
                    TimePoint now);
  /// \brief Decides what is to be done now.
  [[nodiscard]] PlannedActions Plan(const PlanInput& input, TimePoint now);

  void HandleOrderOutcome(const Order& order, OrderOutcome outcome,
                          TimePoint now);
  /// \brief Entries saw that nothing comes from the head any more.
  void HandleGroupStall(const std::string& group, TimePoint now);
  /// \brief A probe was answered (`report`) or not.
  void HandleProbeResult(const std::string& target,
                         const std::optional<EngineReport>& report,
                         TimePoint now);

  [[nodiscard]] std::vector<GroupView> Groups() const;
  /// \brief Counts changes of any group.
  [[nodiscard]] std::uint64_t revision() const noexcept {
    return this->changes;
  }

  static constexpr Duration kResendOrder = std::chrono::milliseconds(400);
  static constexpr Duration kProbeEvery = std::chrono::milliseconds(120);
  static constexpr Duration kProbeSuspectEvery = std::chrono::milliseconds(600);
  static constexpr int kProbesToSuspect = 2;
  /// Entries report a stalled group several times a second while it lasts.
  static constexpr Duration kStallReportLife = std::chrono::milliseconds(500);
  /// A new leader first lets the targets announce what they hold.
  static constexpr Duration kSettle = std::chrono::milliseconds(2500);
  /// With no groups yet: until every target has announced itself once.
  static constexpr Duration kFirstSettle = std::chrono::milliseconds(1700);
  /// The first groups are formed once no new target spoke up for so long.
  static constexpr Duration kQuietBeforeFirst = std::chrono::milliseconds(600);
  static constexpr Duration kFirstLimit = std::chrono::milliseconds(3500);
  /// With known groups: what targets announce themselves is enough to form.
  static constexpr Duration kFormAfter = std::chrono::milliseconds(700);
  /// Added to the time until a head breaks that lost a member.
  static constexpr Duration kBreakMargin = std::chrono::milliseconds(400);
  static constexpr Duration kFormingLimit = std::chrono::seconds(8);
  static constexpr Duration kCloseLimit = std::chrono::seconds(6);
  /// Covers an order to leave that a member carries out late.
  static constexpr Duration kOrphanMargin = std::chrono::seconds(3);
  static constexpr Duration kRebalanceEvery = std::chrono::milliseconds(2500);
  /// Loads take this share of their time before traffic begins.
  static constexpr double kEarlyLoadShare = 0.1;

 private:
  /// A group and what was ordered for it.
  struct Group {
    GroupView view;
    std::map<std::string, std::int64_t>
        lives;  ///< start_time_ms of each member.
    std::map<std::string, TimePoint> resend_at;  ///< Of a member's order.
    std::set<std::string> acknowledged;
    TimePoint give_up_at;
    TimePoint close_at;  ///< End of the time to finish work.
    std::optional<TimePoint> stalled_at;
    bool may_be_open = false;  ///< The head was ordered to open.
    bool is_head_closed = false;
    std::optional<TimePoint> broken_at;  ///< From then on it is broken.
    int unanswered_leaves = 0;
  };

  /// A copy of a model that a host should be given.
  struct Staging {
    std::string target;
    const ModelProfile* model = nullptr;
    double need = 0;
  };

  /// Hosts without a group, by fabric domain.
  using FreeHosts = std::map<std::string, std::vector<std::string>>;

  /// A group that free hosts could form.
  struct Candidate {
    const ModelProfile* model = nullptr;
    std::string domain;
    std::vector<std::string> members;
    double seconds = 0;  ///< Until its last member has joined.
  };

  /// Hosts of a domain are kept for a model until its group is formed.
  struct Reservation {
    std::string model;
    TimePoint until;
  };

  /// Hosts that will be free, the last of them at `free_at`.
  struct Returning {
    std::vector<std::string> targets;
    TimePoint free_at;
  };

  /// Groups to be closed for another model, and what that gains.
  struct Move {
    std::string domain;
    std::vector<std::string> closed;
    double gain_s = 0;
    TimePoint until;  ///< The domain's hosts are kept for the model.
  };

  /// Doubts about a target.
  struct Doubt {
    int failed_probes = 0;
    TimePoint probe_at;
    TimePoint failed_at;
  };

  void FollowGroup(Group& group, const PlanInput& input, PlannedActions& work,
                   TimePoint now);
  void FollowForming(Group& group, const PlanInput& input, PlannedActions& work,
                     TimePoint now);
  void FollowOpening(Group& group, const PlanInput& input, PlannedActions& work,
                     TimePoint now);
  void FollowOpen(Group& group, const PlanInput& input, PlannedActions& work,
                  TimePoint now);
  void FollowClosing(Group& group, const PlanInput& input, TimePoint now);
  void FollowDissolving(Group& group, const PlanInput& input,
                        PlannedActions& work, TimePoint now);
  void SetPhase(Group& group, GroupPhase phase);
  void ProbeMembers(const Group& group, const PlanInput& input,
                    PlannedActions& work, TimePoint now);
  [[nodiscard]] bool IsMemberGone(const Group& group, const std::string& id,
                                  const PlanInput& input) const;
  [[nodiscard]] bool IsSuspect(const std::string& id,
                               const TargetRecord& record) const;
  [[nodiscard]] bool IsMemberDead(const Group& group, const std::string& id,
                                  const PlanInput& input, TimePoint now) const;
  [[nodiscard]] bool IsSilent(const TargetRecord& record,
                              const PlanInput& input, TimePoint now) const;
  void AdoptAnnounced(const PlanInput& input, TimePoint now);
  void AwaitAnnouncements(const PlanInput& input, TimePoint now);
  void FollowOrphans(const PlanInput& input, PlannedActions& work,
                     TimePoint now);
  [[nodiscard]] bool IsReleased(const std::string& id,
                                const TargetRecord& record,
                                const PlanInput& input, TimePoint now) const;

  void FormGroups(const PlanInput& input, PlannedActions& work, TimePoint now);
  /// The group of free hosts that adds most, if any can be formed.
  [[nodiscard]] std::optional<Candidate> BestCandidate(const Service& service,
                                                       const FreeHosts& free,
                                                       const PlanInput& input,
                                                       TimePoint now) const;
  /// The group of `model` that its hosts at hand form soonest.
  [[nodiscard]] std::optional<Candidate> CandidateOf(
      const ModelProfile& model, const std::string& domain,
      std::vector<std::string> hosts, const PlanInput& input,
      TimePoint now) const;
  void FormFor(const Service& service, FreeHosts free, const PlanInput& input,
               PlannedActions& work, TimePoint now);
  [[nodiscard]] FreeHosts FreeByDomain(const Service& service,
                                       const PlanInput& input,
                                       TimePoint now) const;
  [[nodiscard]] bool IsEvacuated(const GroupView& group,
                                 const PlanInput& input) const;
  /// Counts the hosts of each service, once a plan.
  void CountHosts(const PlanInput& input);
  /// Hosts that the work for a model keeps busy.
  [[nodiscard]] double BusyHosts(const Service& service,
                                 const ModelProfile& model,
                                 const PlanInput& input) const;
  /// By model: hosts in its groups over those that its work keeps busy.
  [[nodiscard]] std::map<std::string, double> Coverage(
      const Service& service, const PlanInput& input) const;
  void StartGroup(const Service& service, const Candidate& candidate,
                  const PlanInput& input, PlannedActions& work, TimePoint now);
  /// Groups of other models whose members, with the spares of `domain`, make
  /// a group of `poor`; empty when they do not, or none is needed.
  [[nodiscard]] std::vector<std::string> GroupsToClose(
      const Service& service, const ModelProfile& poor,
      const std::string& domain, const std::vector<std::string>& spares,
      const PlanInput& input) const;
  /// Share of the service's work that groups of this coverage serve well.
  [[nodiscard]] static double Served(
      const Service& service, const std::map<std::string, double>& coverage);
  [[nodiscard]] static const ModelProfile* PoorestModel(
      const Service& service, const std::map<std::string, double>& coverage);
  /// Seconds of all work that are served more when the groups `closed` give
  /// their hosts to one of `poor`.
  [[nodiscard]] double GainOfClosing(
      const Service& service, const ModelProfile& poor,
      const std::vector<std::string>& closed,
      const std::map<std::string, double>& coverage,
      const PlanInput& input) const;
  /// The closing of groups in one domain that gains most; none is closed when
  /// none pays.
  [[nodiscard]] Move BestMove(const Service& service, const ModelProfile& poor,
                              const std::map<std::string, double>& coverage,
                              const FreeHosts& free, const PlanInput& input,
                              TimePoint now) const;
  /// Members of groups that are being dissolved, by fabric domain.
  [[nodiscard]] std::map<std::string, Returning> ReturningByDomain(
      const Service& service, const PlanInput& input, TimePoint now) const;
  void Rebalance(const Service& service, const FreeHosts& free,
                 const PlanInput& input, TimePoint now);
  /// Hosts of each fabric domain that can join `model` without a load.
  [[nodiscard]] std::map<std::string, std::size_t> CapableByDomain(
      const Service& service, const ModelProfile& model,
      const PlanInput& input) const;
  [[nodiscard]] bool MayStage(const TargetRecord& record,
                              const Service& service, const PlanInput& input,
                              TimePoint now) const;
  /// Copies that hosts should be given, the most needed first: the weight
  /// store is slow, so each load goes where it soonest makes a group.
  [[nodiscard]] std::vector<Staging> StagingByNeed(const Service& service,
                                                   const PlanInput& input,
                                                   TimePoint now) const;
  void StageModels(const PlanInput& input, PlannedActions& work, TimePoint now);
  [[nodiscard]] double JoinSeconds(const TargetRecord& record,
                                   const ModelProfile& model) const;
  [[nodiscard]] Order MakeOrder(OrderKind kind, const Group& group,
                                const std::string& target) const;

  std::uint64_t term = 0;
  std::uint64_t counter = 0;
  std::uint64_t changes = 0;
  TimePoint settled_at;
  TimePoint form_at;
  TimePoint first_limit;
  std::size_t targets_seen = 0;
  std::map<std::string, std::size_t> hosts_of;  ///< By service.
  TimePoint rebalance_at;
  std::map<std::string, Group> groups;
  std::map<std::string, std::string> group_of;  ///< By target id.
  std::map<std::string, Doubt> doubts;
  std::map<std::string, TimePoint> staging_until;
  std::map<std::string, Reservation> reserved;  ///< By fabric domain.
  std::set<std::uint64_t> closed_epochs;
  /// Members of groups that nobody knows, with the time they were found.
  std::map<std::string, TimePoint> orphans;
  ModelLoadLimiter loads;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_GROUP_PLANNER_H_
