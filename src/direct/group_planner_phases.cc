#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

bool IsIn(const EngineReport& report, const GroupView& group) {
  return report.membership.has_value() &&
         report.membership->group == group.name &&
         report.membership->epoch == group.epoch;
}

}  // namespace

// ------------------------------------------------- from one phase to the next

void GroupPlanner::FollowForming(Group& group, const PlanInput& input,
                                 PlannedActions& work, TimePoint now) {
  const TargetRecord* head = input.registry.Find(group.view.members.front());
  if (head != nullptr && IsIn(head->view.engine, group.view) &&
      head->view.engine.membership->state == MemberState::kOpen) {
    // An earlier leader opened it, which it did with all members ready.
    this->SetPhase(group, GroupPhase::kOpen);
    return;
  }
  bool is_lost = now >= group.give_up_at;
  std::size_t ready = 0;
  for (const std::string& id : group.view.members) {
    const TargetRecord* record = input.registry.Find(id);
    if (this->IsMemberGone(group, id, input) || record->view.is_leaving ||
        this->IsSilent(*record, input, now)) {
      is_lost = true;
      continue;
    }
    const EngineReport& report = record->view.engine;
    const bool is_member = IsIn(report, group.view);
    if (is_member && report.membership->state == MemberState::kReady) {
      ready += 1;
    } else if (now >= group.resend_at[id] && !is_member &&
               group.acknowledged.count(id) == 0) {
      group.resend_at[id] = now + kResendOrder;
      work.orders.push_back(this->MakeOrder(OrderKind::kJoin, group, id));
    }
  }
  if (is_lost) {
    group.is_head_closed = !group.may_be_open;
    this->SetPhase(group, GroupPhase::kDissolving);
  } else if (ready == group.view.members.size()) {
    this->SetPhase(group, GroupPhase::kOpening);
    group.may_be_open = true;
    group.give_up_at = now + kFormingLimit;
    this->FollowOpening(group, input, work, now);
  }
}

void GroupPlanner::FollowOpening(Group& group, const PlanInput& input,
                                 PlannedActions& work, TimePoint now) {
  const std::string& head = group.view.members.front();
  for (const std::string& id : group.view.members) {
    if (this->IsMemberGone(group, id, input)) {
      this->SetPhase(group, GroupPhase::kDissolving);
      return;
    }
  }
  const EngineReport& report = input.registry.Find(head)->view.engine;
  if (IsIn(report, group.view) &&
      report.membership->state == MemberState::kOpen) {
    this->SetPhase(group, GroupPhase::kOpen);
    return;
  }
  if (now >= group.give_up_at) {
    this->SetPhase(group, GroupPhase::kDissolving);
    return;
  }
  if (now >= group.resend_at[head]) {
    const bool is_known = group.acknowledged.count(head) > 0;
    group.resend_at[head] = now + (is_known ? 3 : 1) * kResendOrder;
    work.orders.push_back(this->MakeOrder(OrderKind::kOpen, group, head));
  }
}

void GroupPlanner::FollowOpen(Group& group, const PlanInput& input,
                              PlannedActions& work, TimePoint now) {
  this->ProbeMembers(group, input, work, now);
  const TargetRecord* head = input.registry.Find(group.view.members.front());
  bool is_broken = false;
  bool is_leaving = false;
  for (const std::string& id : group.view.members) {
    if (this->IsMemberDead(group, id, input, now)) {
      is_broken = true;
      work.lost_members.push_back(id);
      LogEvent(Level::kWarn, "", "member_lost",
               {{"group", group.view.name}, {"target", id}});
    } else {
      is_leaving |= input.registry.Find(id)->view.is_leaving;
    }
  }
  if (!is_broken && !head->is_adopted && now >= this->settled_at) {
    const EngineReport& report = head->view.engine;
    const bool is_open = IsIn(report, group.view) &&
                         (report.membership->state == MemberState::kOpen ||
                          report.membership->state == MemberState::kClosing);
    is_broken = !is_open;
  }
  if (is_broken) {
    this->SetPhase(group, GroupPhase::kDissolving);
    this->FollowDissolving(group, input, work, now);
  } else if (is_leaving) {
    this->SetPhase(group, GroupPhase::kClosing);
    group.close_at = now + kCloseLimit;
  }
}

void GroupPlanner::FollowClosing(Group& group, const PlanInput& input,
                                 TimePoint now) {
  const auto work = input.in_flight_work.find(group.view.members.front());
  const bool is_idle = work == input.in_flight_work.end() || work->second == 0;
  const bool had_time = now + kCloseLimit >= group.close_at + 2 * kResendOrder;
  if ((is_idle && had_time) || now >= group.close_at) {
    this->SetPhase(group, GroupPhase::kDissolving);
  }
}

void GroupPlanner::FollowDissolving(Group& group, const PlanInput& input,
                                    PlannedActions& work, TimePoint now) {
  const std::string& head = group.view.members.front();
  const TargetRecord* record = input.registry.Find(head);
  if (this->IsMemberGone(group, head, input)) {
    group.is_head_closed = true;
  } else if (!record->is_adopted && record->view.engine.membership &&
             record->view.engine.membership->epoch > group.view.epoch) {
    group.is_head_closed = true;
  }
  const bool is_broken = group.broken_at.has_value() &&
                         now >= *group.broken_at + input.stall + kBreakMargin;
  if (group.is_head_closed || is_broken) {
    return;  // Its members are freed by FollowGroup's caller.
  }
  if (now >= group.resend_at[head]) {
    group.resend_at[head] = now + kResendOrder;
    work.orders.push_back(this->MakeOrder(OrderKind::kLeave, group, head));
  }
  // A head that cannot be reached breaks some time after a member left it.
  const bool is_unreachable = group.unanswered_leaves > 0 ||
                              this->IsMemberDead(group, head, input, now);
  if (!is_unreachable || group.broken_at.has_value()) {
    return;
  }
  for (const std::string& id : group.view.members) {
    if (id != head && !this->IsMemberGone(group, id, input) &&
        now >= group.resend_at[id]) {
      group.resend_at[id] = now + kResendOrder;
      work.orders.push_back(this->MakeOrder(OrderKind::kLeave, group, id));
    }
  }
}

}  // namespace gooseberryturn::direct
