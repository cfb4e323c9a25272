#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

bool BelongsTo(const EngineReport& report, const GroupView& group) {
  return report.membership.has_value() &&
         report.membership->group == group.name &&
         report.membership->epoch == group.epoch;
}

}  // namespace

// --------------------------------------------------------- phase transitions

bool GroupPlanner::IsRetired(const GroupView& group, const PlanInput& input) {
  const Service* service = input.configuration.FindService(group.service);
  const ModelProfile* model = service == nullptr || !service->engine.has_value()
                                  ? nullptr
                                  : service->engine->FindModel(group.model);
  return model == nullptr || model->size != group.members.size();
}

void GroupPlanner::RetireGroup(Group& group, TimePoint now) {
  if (group.view.phase == GroupPhase::kClosing ||
      group.view.phase == GroupPhase::kDissolving) {
    return;
  }
  LogEvent(Level::kInfo, "", "group_retired",
           {{"group", group.view.name},
            {"service", group.view.service},
            {"model", group.view.model},
            {"size", std::to_string(group.view.members.size())}});
  if (group.view.phase == GroupPhase::kOpen) {
    this->SetPhase(group, GroupPhase::kClosing);
    group.close_deadline = now + kCloseTimeout;
    return;
  }
  group.is_head_closed = !group.may_be_open;
  this->SetPhase(group, GroupPhase::kDissolving);
}

void GroupPlanner::AdvanceForming(Group& group, const PlanInput& input,
                                  PlannedActions& actions, TimePoint now) {
  const TargetRecord* head = input.registry.Find(group.view.members.front());
  if (head != nullptr && BelongsTo(head->view.engine, group.view) &&
      head->view.engine.membership->state == MemberState::kOpen) {
    // An earlier leader opened it, so all members were ready then.
    this->SetPhase(group, GroupPhase::kOpen);
    return;
  }
  bool has_failed = now >= group.give_up_at;
  std::size_t ready = 0;
  for (const std::string& id : group.view.members) {
    const TargetRecord* record = input.registry.Find(id);
    if (this->IsMemberGone(group, id, input) || record->view.is_leaving ||
        this->IsSilent(*record, input, now)) {
      has_failed = true;
      continue;
    }
    const EngineReport& report = record->view.engine;
    const bool is_member = BelongsTo(report, group.view);
    has_failed |= this->dissolved_groups.IsRevived(*record, input.registry);
    if (is_member && report.membership->state == MemberState::kReady) {
      ready += 1;
    } else if (!has_failed && now >= group.resend_at[id] && !is_member &&
               group.acknowledged.count(id) == 0) {
      group.resend_at[id] = now + kOrderResendInterval;
      actions.orders.push_back(this->MakeOrder(OrderKind::kJoin, group, id));
    }
  }
  if (has_failed) {
    group.is_head_closed = !group.may_be_open;
    this->SetPhase(group, GroupPhase::kDissolving);
  } else if (ready == group.view.members.size()) {
    this->SetPhase(group, GroupPhase::kOpening);
    group.may_be_open = true;
    group.give_up_at = now + kFormingTimeout;
    this->AdvanceOpening(group, input, actions, now);
  }
}

void GroupPlanner::AdvanceOpening(Group& group, const PlanInput& input,
                                  PlannedActions& actions, TimePoint now) {
  const std::string& head = group.view.members.front();
  for (const std::string& id : group.view.members) {
    if (this->IsMemberGone(group, id, input)) {
      this->SetPhase(group, GroupPhase::kDissolving);
      return;
    }
  }
  const EngineReport& report = input.registry.Find(head)->view.engine;
  if (BelongsTo(report, group.view) &&
      report.membership->state == MemberState::kOpen) {
    this->SetPhase(group, GroupPhase::kOpen);
    return;
  }
  if (now >= group.give_up_at) {
    this->SetPhase(group, GroupPhase::kDissolving);
    return;
  }
  if (now >= group.resend_at[head]) {
    // An acknowledged order is repeated too, but less often.
    const bool is_acknowledged = group.acknowledged.count(head) > 0;
    group.resend_at[head] =
        now + (is_acknowledged ? 3 : 1) * kOrderResendInterval;
    actions.orders.push_back(this->MakeOrder(OrderKind::kOpen, group, head));
  }
}

void GroupPlanner::AdvanceOpen(Group& group, const PlanInput& input,
                               PlannedActions& actions, TimePoint now) {
  this->ProbeMembers(group, input, actions, now);
  const TargetRecord* head = input.registry.Find(group.view.members.front());
  bool is_broken = false;
  bool is_leaving = false;
  for (const std::string& id : group.view.members) {
    if (this->IsMemberDead(group, id, input, now)) {
      is_broken = true;
      if (!this->IsMemberGone(group, id, input)) {
        actions.lost_members.push_back(id);
      }
      LogEvent(Level::kWarn, "", "member_lost",
               {{"group", group.view.name}, {"target", id}});
    } else {
      is_leaving |= input.registry.Find(id)->view.is_leaving;
    }
  }
  if (!is_broken && !head->is_unconfirmed && now >= this->settled_at) {
    const EngineReport& report = head->view.engine;
    const bool is_open = BelongsTo(report, group.view) &&
                         (report.membership->state == MemberState::kOpen ||
                          report.membership->state == MemberState::kClosing);
    is_broken = !is_open;
  }
  if (is_broken) {
    this->SetPhase(group, GroupPhase::kDissolving);
    this->AdvanceDissolving(group, input, actions, now);
  } else if (is_leaving) {
    this->SetPhase(group, GroupPhase::kClosing);
    group.close_deadline = now + kCloseTimeout;
  }
}

void GroupPlanner::AdvanceClosing(Group& group, const PlanInput& input,
                                  TimePoint now) {
  const auto in_flight = input.in_flight_work.find(group.view.members.front());
  const bool is_idle =
      in_flight == input.in_flight_work.end() || in_flight->second == 0;
  // True once 2 * kOrderResendInterval (800 ms) have passed since closing
  // began: `close_deadline` is kCloseTimeout after that time.
  const bool has_waited =
      now + kCloseTimeout >= group.close_deadline + 2 * kOrderResendInterval;
  if ((is_idle && has_waited) || now >= group.close_deadline) {
    this->SetPhase(group, GroupPhase::kDissolving);
  }
}

void GroupPlanner::CheckLeftMember(Group& group, const PlanInput& input) {
  if (group.left_member.empty()) {
    return;
  }
  if (!group.left_as.has_value()) {
    group.left_as = LastAnnouncement(input.registry, group.left_member);
    return;
  }
  const TargetRecord* record = input.registry.Find(group.left_member);
  const bool is_back = record != nullptr &&
                       HasAnnouncedSince(*record, *group.left_as) &&
                       BelongsTo(record->view.engine, group.view);
  if (is_back) {
    group.fenced.erase(group.left_member);
    group.left_member.clear();
    group.left_as.reset();
    group.member_left_at.reset();
  }
}

void GroupPlanner::AdvanceDissolving(Group& group, const PlanInput& input,
                                     PlannedActions& actions, TimePoint now) {
  const std::string& head = group.view.members.front();
  // That the head is elsewhere is not read from an announcement, which may come
  // from another writer: its answer to the order to leave says so.
  if (this->HasMemberEnded(group, head, input)) {
    group.is_head_closed = true;
  }
  this->CheckLeftMember(group, input);
  const bool is_broken =
      group.member_left_at.has_value() &&
      now >= *group.member_left_at + input.member_loss_timeout + kBreakMargin;
  if (group.is_head_closed || is_broken) {
    return;  // Plan erases the group.
  }
  if (now >= group.resend_at[head]) {
    group.resend_at[head] = now + kOrderResendInterval;
    actions.orders.push_back(this->MakeLeave(group, head));
  }
  // A head that cannot be reached breaks by itself once a member has left.
  const bool is_unreachable = group.unanswered_head_leaves > 0 ||
                              this->IsMemberDead(group, head, input, now);
  if (!is_unreachable || group.member_left_at.has_value()) {
    return;
  }
  bool has_member = false;
  for (const std::string& id : group.view.members) {
    if (id == head || this->IsMemberGone(group, id, input)) {
      continue;
    }
    has_member = true;
    if (now >= group.resend_at[id]) {
      group.resend_at[id] = now + kOrderResendInterval;
      actions.orders.push_back(this->MakeLeave(group, id));
    }
  }
  if (!has_member) {
    // Nobody is left to be told. If the head is there, its group is found again
    // by what it announces.
    group.member_left_at = now;
    group.may_be_adopted = true;
  }
}

}  // namespace gooseberryturn::direct
