#include <algorithm>
#include <map>
#include <utility>

#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

void GroupPlanner::AdoptAnnounced(const PlanInput& input, TimePoint now) {
  // Groups that no earlier leader told of: learnt from their members' words.
  std::map<std::string, std::map<std::size_t, std::string>> ranks;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const EngineReport& report = entry.second.view.engine;
    const bool is_member =
        report.membership.has_value() &&
        report.membership->state != MemberState::kNone &&
        this->closed_epochs.count(report.membership->epoch) == 0 &&
        this->group_of.count(entry.first) == 0 && !entry.second.is_adopted;
    if (is_member) {
      ranks[report.membership->group][report.membership->rank] = entry.first;
    }
  }
  for (const std::pair<const std::string, std::map<std::size_t, std::string>>&
           entry : ranks) {
    const auto head = entry.second.find(0);
    if (head == entry.second.end() || this->groups.count(entry.first) > 0) {
      continue;
    }
    const TargetView& view = input.registry.Find(head->second)->view;
    const MemberState state = view.engine.membership->state;
    const bool may_serve = state == MemberState::kOpen ||
                           state == MemberState::kClosing ||
                           state == MemberState::kReady;
    if (!may_serve) {
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
      group.lives[member.second] =
          input.registry.Find(member.second)->view.start_time_ms;
      this->group_of[member.second] = entry.first;
    }
    const bool is_whole = model != nullptr &&
                          group.view.members.size() == model->size &&
                          state == MemberState::kOpen;
    if (!is_whole && now < this->settled_at) {
      for (const std::string& id : group.view.members) {
        this->group_of.erase(id);
      }
      continue;
    }
    group.view.phase = is_whole ? GroupPhase::kOpen : GroupPhase::kDissolving;
    group.close_at = now + kCloseLimit;
    LogEvent(Level::kInfo, "", "group_adopted",
             {{"group", entry.first}, {"whole", is_whole ? "true" : "false"}});
    this->groups[entry.first] = std::move(group);
    this->changes += 1;
  }
}

void GroupPlanner::FollowOrphans(const PlanInput& input, PlannedActions& work,
                                 TimePoint now) {
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const std::optional<Membership>& last = entry.second.view.engine.membership;
    const bool is_orphan = last.has_value() && last->rank != 0 &&
                           last->state != MemberState::kNone &&
                           this->group_of.count(entry.first) == 0 &&
                           this->closed_epochs.count(last->epoch) == 0;
    if (!is_orphan) {
      this->orphans.erase(entry.first);
    } else if (this->orphans.insert({entry.first, now}).second) {
      Order order;
      order.kind = OrderKind::kLeave;
      order.target = entry.first;
      order.group = last->group;
      order.epoch = last->epoch;
      order.fence = this->term;
      work.orders.push_back(order);
    }
  }
}

void GroupPlanner::AwaitAnnouncements(const PlanInput& input, TimePoint now) {
  const std::size_t count = input.registry.targets().size();
  const bool is_first_time = !input.has_traffic && this->groups.empty();
  if (is_first_time && count != this->targets_seen) {
    this->form_at = std::max(
        this->form_at, std::min(now + kQuietBeforeFirst, this->first_limit));
  }
  this->targets_seen = count;
}

}  // namespace gooseberryturn::direct
