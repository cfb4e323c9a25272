#include <algorithm>
#include <map>
#include <utility>

#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

void GroupPlanner::AdoptAnnouncedGroups(const PlanInput& input, TimePoint now) {
  // Members of each unrecorded group by rank, as they announced themselves.
  std::map<std::string, std::map<std::size_t, std::string>> members_by_rank;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const EngineReport& report = entry.second.view.engine;
    const bool is_member =
        report.membership.has_value() &&
        report.membership->state != MemberState::kNone &&
        !this->dissolved_groups.IsDissolved(entry.second, input.registry) &&
        this->group_by_target.count(entry.first) == 0 &&
        !entry.second.is_unconfirmed;
    if (is_member) {
      members_by_rank[report.membership->group][report.membership->rank] =
          entry.first;
    }
  }
  for (const std::pair<const std::string, std::map<std::size_t, std::string>>&
           entry : members_by_rank) {
    const auto head = entry.second.find(0);
    if (head == entry.second.end() || this->groups.count(entry.first) > 0) {
      continue;
    }
    const TargetView& view = input.registry.Find(head->second)->view;
    const MemberState state = view.engine.membership->state;
    const bool may_be_serving = state == MemberState::kOpen ||
                                state == MemberState::kClosing ||
                                state == MemberState::kReady;
    if (!may_be_serving) {
      continue;
    }
    const Service* service = input.configuration.FindService(view.service);
    const ModelProfile* model =
        service == nullptr || !service->engine
            ? nullptr
            : service->engine->FindModel(view.engine.loaded_model);
    Group group;
    group.view.name = entry.first;
    group.view.epoch = view.engine.membership->epoch;
    group.view.service = view.service;
    group.view.model = view.engine.loaded_model;
    group.view.domain = view.engine.domain;
    group.may_be_open = true;
    for (const std::pair<const std::size_t, std::string>& member :
         entry.second) {
      group.view.members.push_back(member.second);
      group.start_times_ms[member.second] =
          input.registry.Find(member.second)->view.start_time_ms;
      this->group_by_target[member.second] = entry.first;
    }
    const bool is_complete = model != nullptr &&
                             group.view.members.size() == model->size &&
                             state == MemberState::kOpen;
    if (!is_complete && now < this->settled_at) {
      for (const std::string& id : group.view.members) {
        this->group_by_target.erase(id);
      }
      continue;
    }
    group.view.phase =
        is_complete ? GroupPhase::kOpen : GroupPhase::kDissolving;
    group.close_deadline = now + kCloseTimeout;
    LogEvent(
        Level::kInfo, "", "group_adopted",
        {{"group", entry.first}, {"whole", is_complete ? "true" : "false"}});
    this->groups[entry.first] = std::move(group);
    this->change_count += 1;
  }
}

void GroupPlanner::ReleaseOrphans(const PlanInput& input,
                                  PlannedActions& actions, TimePoint now) {
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const std::optional<Membership>& membership =
        entry.second.view.engine.membership;
    const bool is_orphan =
        membership.has_value() && membership->rank != 0 &&
        membership->state != MemberState::kNone &&
        this->group_by_target.count(entry.first) == 0 &&
        !this->dissolved_groups.IsDissolved(entry.second, input.registry);
    if (!is_orphan) {
      this->orphans.erase(entry.first);
    } else if (this->orphans.insert({entry.first, now}).second) {
      Order order;
      order.kind = OrderKind::kLeave;
      order.target = entry.first;
      order.group = membership->group;
      order.epoch = membership->epoch;
      this->RaiseFence(entry.first);
      order.fence = this->FenceOf(entry.first);
      actions.orders.push_back(order);
    }
  }
}

void GroupPlanner::PostponeFirstGroups(const PlanInput& input, TimePoint now) {
  const std::size_t count = input.registry.targets().size();
  const bool is_first_forming = !input.has_traffic && this->groups.empty();
  if (is_first_forming && count != this->known_target_count) {
    this->forming_starts_at = std::max(
        this->forming_starts_at,
        std::min(now + kInitialQuietTime, this->first_forming_deadline));
  }
  this->known_target_count = count;
}

}  // namespace gooseberryturn::direct
