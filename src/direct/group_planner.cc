#include "gooseberryturn/direct/group_planner.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

/// A target whose last heartbeat is older than this many heartbeat intervals is
/// silent: it is probed and gets no new group.
constexpr double kSilentHeartbeats = 2.2;

/// A target that has been silent for this many heartbeat intervals and answers
/// no probe is dead, also if no entry sends it requests.
constexpr double kDeadHeartbeats = 3.5;

/// Fences reserved for each term. Fences stay exact as JSON numbers (53 bits)
/// up to a term of two million.
constexpr std::uint64_t kFencesPerTerm = 1ULL << 32U;

}  // namespace

// ------------------------------------------------------------------- inputs

void GroupPlanner::StartLeading(std::uint64_t leader_term,
                                const std::vector<GroupView>& known,
                                TimePoint now) {
  *this = GroupPlanner();
  this->term = leader_term;
  this->settled_at =
      now + (known.empty() ? kSettleTimeWithoutGroups : kSettleTime);
  this->forming_starts_at =
      now + (known.empty() ? kSettleTimeWithoutGroups : kFormingDelay);
  this->first_forming_deadline = now + kInitialFormingTimeout;
  for (const GroupView& view : known) {
    Group group;
    group.view = view;
    // The earlier leader may have opened the group after it last recorded it.
    group.may_be_open = true;
    group.give_up_at = now + kSettleTime + kFormingTimeout;
    group.close_deadline = now + kCloseTimeout;
    if (!view.closing_for.empty()) {
      this->reservations[view.domain] = {view.closing_for,
                                         now + kCloseTimeout + kRejoinMargin};
    }
    for (const std::string& member : view.members) {
      group.resend_at[member] = now + kOrderResendInterval;
      this->group_by_target[member] = view.name;
    }
    this->groups[view.name] = std::move(group);
  }
  this->change_count += 1;
}

void GroupPlanner::HandleGroupStall(const std::string& name, TimePoint now) {
  const auto found = this->groups.find(name);
  if (found != this->groups.end()) {
    found->second.last_stall_report_at = now;
  }
}

void GroupPlanner::HandleProbeResult(const std::string& target,
                                     const std::optional<EngineReport>& report,
                                     bool is_refused, TimePoint now) {
  ProbeState& probe_state = this->probe_states[target];
  probe_state.is_refused = is_refused;
  if (report.has_value()) {
    probe_state.failed_probes = 0;
    return;
  }
  if (probe_state.failed_probes == 0) {
    probe_state.first_failure_at = now;
  }
  probe_state.failed_probes += 1;
  probe_state.last_failure_at = now;
}

void GroupPlanner::HandleOrderOutcome(const Order& order, OrderOutcome outcome,
                                      TimePoint now) {
  // The order was sent before a later order to leave; its answer is outdated.
  if (order.fence != this->FenceOf(order.target)) {
    const auto staging = this->stagings.find(order.target);
    const bool is_refused_copy =
        order.kind == OrderKind::kStage && outcome == OrderOutcome::kStale &&
        staging != this->stagings.end() && staging->second.model == order.model;
    if (is_refused_copy) {
      this->stagings.erase(staging);  // It is ordered again.
    }
    return;
  }
  const auto found = this->groups.find(order.group);
  if (found == this->groups.end()) {
    return;
  }
  Group& group = found->second;
  const bool is_accepted =
      outcome == OrderOutcome::kBegun || outcome == OrderOutcome::kDone;
  const bool is_head = order.target == group.view.members.front();
  switch (order.kind) {
    case OrderKind::kJoin:
    case OrderKind::kOpen:
      if (is_accepted) {
        group.acknowledged.insert(order.target);
      } else if (outcome != OrderOutcome::kNoAnswer &&
                 group.view.phase == GroupPhase::kForming) {
        group.give_up_at = now;
      }
      break;
    case OrderKind::kLeave:
      if (outcome == OrderOutcome::kNoAnswer) {
        group.unanswered_head_leaves += is_head ? 1 : 0;
      } else if (is_head) {
        // Every answer but kStale counts as closed: the head has left (kDone)
        // or is leaving (kBegun), the order does not fit its state (kConflict),
        // or another target is at its address (kOtherTarget). kStale does not
        // tell: the engine knows a higher fence or a higher epoch.
        group.is_head_closed = outcome != OrderOutcome::kStale;
      } else if (is_accepted && !group.member_left_at.has_value()) {
        group.member_left_at = now;
        group.left_member = order.target;
      }
      break;
    case OrderKind::kClose:
    case OrderKind::kStage:
      break;
  }
}

std::vector<GroupView> GroupPlanner::Groups() const {
  std::vector<GroupView> views;
  views.reserve(this->groups.size());
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    views.push_back(entry.second.view);
  }
  return views;
}

// ------------------------------------------------------- failure detection

Order GroupPlanner::MakeOrder(OrderKind kind, const Group& group,
                              const std::string& target) const {
  Order order;
  order.kind = kind;
  order.target = target;
  order.group = group.view.name;
  order.epoch = group.view.epoch;
  order.fence = this->FenceOf(target);
  if (kind == OrderKind::kJoin) {
    order.model = group.view.model;
    order.members = group.view.members;
  }
  return order;
}

Order GroupPlanner::MakeLeave(Group& group, const std::string& target) {
  if (group.fenced.insert(target).second) {
    this->RaiseFence(target);
  }
  return this->MakeOrder(OrderKind::kLeave, group, target);
}

std::uint64_t GroupPlanner::FenceOf(const std::string& target) const {
  const auto raised = this->raised_fences.find(target);
  return this->term * kFencesPerTerm +
         (raised == this->raised_fences.end() ? 0 : raised->second);
}

void GroupPlanner::SetPhase(Group& group, GroupPhase phase) {
  LogEvent(Level::kInfo, "", "group_phase",
           {{"group", group.view.name},
            {"model", group.view.model},
            {"domain", group.view.domain},
            {"from", std::string(kGroupPhaseNames.Name(group.view.phase))},
            {"to", std::string(kGroupPhaseNames.Name(phase))}});
  group.view.phase = phase;
  group.resend_at.clear();
  group.acknowledged.clear();
  group.fenced.clear();
  this->change_count += 1;
}

bool GroupPlanner::IsSilent(const TargetRecord& record, const PlanInput& input,
                            TimePoint now) const {
  const Duration limit =
      FromSeconds(kSilentHeartbeats *
                  std::chrono::duration<double>(input.heartbeat).count());
  return now >= record.last_heard_at + limit;
}

bool GroupPlanner::IsMemberGone(const Group& group, const std::string& id,
                                const PlanInput& input) const {
  const TargetRecord* record = input.registry.Find(id);
  const auto known_start = group.start_times_ms.find(id);
  return record == nullptr ||
         (known_start != group.start_times_ms.end() &&
          known_start->second != record->view.start_time_ms);
}

bool GroupPlanner::HasMemberEnded(const Group& group, const std::string& id,
                                  const PlanInput& input) const {
  const auto known_start = group.start_times_ms.find(id);
  return known_start != group.start_times_ms.end() &&
         input.registry.HasEnded({id, known_start->second});
}

bool GroupPlanner::IsSuspect(const std::string& id,
                             const TargetRecord& record) const {
  const auto probe_state = this->probe_states.find(id);
  return probe_state != this->probe_states.end() &&
         probe_state->second.failed_probes >= kFailedProbesToSuspect &&
         record.last_heard_at < probe_state->second.last_failure_at;
}

bool GroupPlanner::IsMemberDead(const Group& group, const std::string& id,
                                const PlanInput& input, TimePoint now) const {
  if (this->IsMemberGone(group, id, input)) {
    return true;
  }
  const TargetRecord& record = *input.registry.Find(id);
  if (!this->IsSuspect(id, record)) {
    return false;
  }
  const bool is_stalled =
      group.last_stall_report_at.has_value() &&
      now < *group.last_stall_report_at + kStallReportLifetime;
  const auto in_flight = input.in_flight_work.find(group.view.members.front());
  const bool has_work =
      in_flight != input.in_flight_work.end() && in_flight->second > 0;
  const Duration dead_after = FromSeconds(
      kDeadHeartbeats * std::chrono::duration<double>(input.heartbeat).count());
  const ProbeState& probe_state = this->probe_states.at(id);
  const bool is_silent_for_long =
      probe_state.is_refused ||
      now >= probe_state.first_failure_at + kSilenceAllowance;
  return (is_stalled && is_silent_for_long) ||
         (!has_work && now >= record.last_heard_at + dead_after);
}

void GroupPlanner::ProbeMembers(const Group& group, const PlanInput& input,
                                PlannedActions& actions, TimePoint now) {
  const bool is_stalled =
      group.last_stall_report_at.has_value() &&
      now < *group.last_stall_report_at + kStallReportLifetime;
  for (const std::string& id : group.view.members) {
    const TargetRecord* record = input.registry.Find(id);
    if (record == nullptr) {
      continue;
    }
    const bool needs_probe = is_stalled || this->IsSilent(*record, input, now);
    ProbeState& probe_state = this->probe_states[id];
    if (!needs_probe) {
      probe_state.failed_probes = 0;
    } else if (now >= probe_state.next_probe_at) {
      const bool is_suspect =
          probe_state.failed_probes >= kFailedProbesToSuspect;
      probe_state.next_probe_at =
          now + (is_suspect ? kSuspectProbeInterval : kProbeInterval);
      actions.probes.push_back(id);
    }
  }
}

void GroupPlanner::AdvanceGroup(Group& group, const PlanInput& input,
                                PlannedActions& actions, TimePoint now) {
  for (const std::string& id : group.view.members) {
    const TargetRecord* record = input.registry.Find(id);
    if (record != nullptr && group.start_times_ms.count(id) == 0) {
      group.start_times_ms[id] = record->view.start_time_ms;
    }
  }
  if (IsRetired(group.view, input)) {
    this->RetireGroup(group, now);
  }
  switch (group.view.phase) {
    case GroupPhase::kForming:
      this->AdvanceForming(group, input, actions, now);
      break;
    case GroupPhase::kOpening:
      this->AdvanceOpening(group, input, actions, now);
      break;
    case GroupPhase::kOpen:
      this->AdvanceOpen(group, input, actions, now);
      break;
    case GroupPhase::kClosing:
      this->AdvanceClosing(group, input, now);
      break;
    case GroupPhase::kDissolving:
      this->AdvanceDissolving(group, input, actions, now);
      break;
  }
}

PlannedActions GroupPlanner::Plan(const PlanInput& input, TimePoint now) {
  PlannedActions actions;
  this->CountHosts(input);
  for (auto entry = this->groups.begin(); entry != this->groups.end();) {
    Group& group = entry->second;
    this->AdvanceGroup(group, input, actions, now);
    const bool is_dissolved =
        group.view.phase == GroupPhase::kDissolving &&
        (group.is_head_closed ||
         (group.member_left_at.has_value() &&
          now >= *group.member_left_at + input.member_loss_timeout +
                     kBreakMargin));
    if (!is_dissolved) {
      ++entry;
      continue;
    }
    for (const std::string& id : group.view.members) {
      this->group_by_target.erase(id);
    }
    if (!group.may_be_adopted) {
      this->dissolved_groups.Record(group.view.epoch,
                                    group.view.members.front(),
                                    group.may_be_open, input.registry);
    }
    LogEvent(Level::kInfo, "", "group_dissolved", {{"group", entry->first}});
    entry = this->groups.erase(entry);
    this->change_count += 1;
  }
  this->AdoptAnnouncedGroups(input, now);
  if (now >= this->settled_at) {
    this->ReleaseOrphans(input, actions, now);
  }
  this->PostponeFirstGroups(input, now);
  if (now >= this->forming_starts_at) {
    this->FormGroups(input, actions, now);
    this->StageModels(input, actions, now);
  }
  return actions;
}

}  // namespace gooseberryturn::direct
