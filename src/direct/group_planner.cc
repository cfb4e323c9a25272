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

constexpr double kSilentHeartbeats = 2.2;

/// A target that is this long silent and answers no probe is dead, also when
/// no entry sends to it.
constexpr double kDeadHeartbeats = 3.5;

}  // namespace

// ------------------------------------------------------------------- events

void GroupPlanner::StartLeading(std::uint64_t leader_term,
                                const std::vector<GroupView>& known,
                                TimePoint now) {
  *this = GroupPlanner();
  this->term = leader_term;
  this->settled_at = now + (known.empty() ? kFirstSettle : kSettle);
  this->form_at = now + (known.empty() ? kFirstSettle : kFormAfter);
  this->first_limit = now + kFirstLimit;
  for (const GroupView& view : known) {
    Group group;
    group.view = view;
    // The earlier leader may have gone on after it last told of the group.
    group.may_be_open = true;
    group.give_up_at = now + kSettle + kFormingLimit;
    group.close_at = now + kCloseLimit;
    if (!view.closing_for.empty()) {
      this->reserved[view.domain] = {view.closing_for, now + kRebalanceEvery};
    }
    for (const std::string& member : view.members) {
      group.resend_at[member] = now + kResendOrder;
      this->group_of[member] = view.name;
    }
    this->groups[view.name] = std::move(group);
  }
  this->changes += 1;
}

void GroupPlanner::HandleGroupStall(const std::string& name, TimePoint now) {
  const auto found = this->groups.find(name);
  if (found != this->groups.end()) {
    found->second.stalled_at = now;
  }
}

void GroupPlanner::HandleProbeResult(const std::string& target,
                                     const std::optional<EngineReport>& report,
                                     TimePoint now) {
  Doubt& doubt = this->doubts[target];
  if (report.has_value()) {
    doubt.failed_probes = 0;
    return;
  }
  doubt.failed_probes += 1;
  doubt.failed_at = now;
}

void GroupPlanner::HandleOrderOutcome(const Order& order, OrderOutcome outcome,
                                      TimePoint now) {
  const auto found = this->groups.find(order.group);
  if (found == this->groups.end()) {
    return;
  }
  Group& group = found->second;
  const bool is_taken =
      outcome == OrderOutcome::kBegun || outcome == OrderOutcome::kDone;
  const bool is_head = order.target == group.view.members.front();
  switch (order.kind) {
    case OrderKind::kJoin:
    case OrderKind::kOpen:
      if (is_taken) {
        group.acknowledged.insert(order.target);
      } else if (outcome != OrderOutcome::kNoAnswer &&
                 group.view.phase == GroupPhase::kForming) {
        group.give_up_at = now;
      }
      break;
    case OrderKind::kLeave:
      if (outcome == OrderOutcome::kNoAnswer) {
        group.unanswered_leaves += is_head ? 1 : 0;
      } else if (is_head) {
        // It left, it never was in the group, or it is another target.
        group.is_head_closed = outcome != OrderOutcome::kStale;
      } else if (is_taken && !group.broken_at.has_value()) {
        group.broken_at = now;
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

// ----------------------------------------------------------------- following

Order GroupPlanner::MakeOrder(OrderKind kind, const Group& group,
                              const std::string& target) const {
  Order order;
  order.kind = kind;
  order.target = target;
  order.group = group.view.name;
  order.epoch = group.view.epoch;
  order.fence = this->term;
  if (kind == OrderKind::kJoin) {
    order.model = group.view.model;
    order.members = group.view.members;
  }
  return order;
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
  this->changes += 1;
}

bool GroupPlanner::IsSilent(const TargetRecord& record, const PlanInput& input,
                            TimePoint now) const {
  const Duration limit =
      FromSeconds(kSilentHeartbeats *
                  std::chrono::duration<double>(input.heartbeat).count());
  return now >= record.heard_at + limit;
}

bool GroupPlanner::IsMemberGone(const Group& group, const std::string& id,
                                const PlanInput& input) const {
  const TargetRecord* record = input.registry.Find(id);
  const auto life = group.lives.find(id);
  return record == nullptr || (life != group.lives.end() &&
                               life->second != record->view.start_time_ms);
}

bool GroupPlanner::IsSuspect(const std::string& id,
                             const TargetRecord& record) const {
  const auto doubt = this->doubts.find(id);
  return doubt != this->doubts.end() &&
         doubt->second.failed_probes >= kProbesToSuspect &&
         record.heard_at < doubt->second.failed_at;
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
  const bool is_stalled = group.stalled_at.has_value() &&
                          now < *group.stalled_at + kStallReportLife;
  const auto work = input.in_flight_work.find(group.view.members.front());
  const bool has_work = work != input.in_flight_work.end() && work->second > 0;
  const Duration dead_after = FromSeconds(
      kDeadHeartbeats * std::chrono::duration<double>(input.heartbeat).count());
  return is_stalled || (!has_work && now >= record.heard_at + dead_after);
}

void GroupPlanner::ProbeMembers(const Group& group, const PlanInput& input,
                                PlannedActions& work, TimePoint now) {
  const bool is_stalled = group.stalled_at.has_value() &&
                          now < *group.stalled_at + kStallReportLife;
  for (const std::string& id : group.view.members) {
    const TargetRecord* record = input.registry.Find(id);
    if (record == nullptr) {
      continue;
    }
    const bool is_doubtful = is_stalled || this->IsSilent(*record, input, now);
    Doubt& doubt = this->doubts[id];
    if (!is_doubtful) {
      doubt.failed_probes = 0;
    } else if (now >= doubt.probe_at) {
      const bool is_suspect = doubt.failed_probes >= kProbesToSuspect;
      doubt.probe_at = now + (is_suspect ? kProbeSuspectEvery : kProbeEvery);
      work.probes.push_back(id);
    }
  }
}

void GroupPlanner::FollowGroup(Group& group, const PlanInput& input,
                               PlannedActions& work, TimePoint now) {
  for (const std::string& id : group.view.members) {
    const TargetRecord* record = input.registry.Find(id);
    if (record != nullptr && group.lives.count(id) == 0) {
      group.lives[id] = record->view.start_time_ms;
    }
  }
  switch (group.view.phase) {
    case GroupPhase::kForming:
      this->FollowForming(group, input, work, now);
      break;
    case GroupPhase::kOpening:
      this->FollowOpening(group, input, work, now);
      break;
    case GroupPhase::kOpen:
      this->FollowOpen(group, input, work, now);
      break;
    case GroupPhase::kClosing:
      this->FollowClosing(group, input, now);
      break;
    case GroupPhase::kDissolving:
      this->FollowDissolving(group, input, work, now);
      break;
  }
}

PlannedActions GroupPlanner::Plan(const PlanInput& input, TimePoint now) {
  PlannedActions work;
  this->CountHosts(input);
  for (auto entry = this->groups.begin(); entry != this->groups.end();) {
    Group& group = entry->second;
    this->FollowGroup(group, input, work, now);
    const bool is_over =
        group.view.phase == GroupPhase::kDissolving &&
        (group.is_head_closed ||
         (group.broken_at.has_value() &&
          now >= *group.broken_at + input.stall + kBreakMargin));
    if (!is_over) {
      ++entry;
      continue;
    }
    for (const std::string& id : group.view.members) {
      this->group_of.erase(id);
    }
    this->closed_epochs.insert(group.view.epoch);
    LogEvent(Level::kInfo, "", "group_dissolved", {{"group", entry->first}});
    entry = this->groups.erase(entry);
    this->changes += 1;
  }
  this->AdoptAnnounced(input, now);
  if (now >= this->settled_at) {
    this->FollowOrphans(input, work, now);
  }
  this->AwaitAnnouncements(input, now);
  if (now >= this->form_at) {
    this->FormGroups(input, work, now);
    this->StageModels(input, work, now);
  }
  return work;
}

}  // namespace gooseberryturn::direct
