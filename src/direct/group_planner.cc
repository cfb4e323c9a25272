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

/// Groups that one leader may form in one term.
constexpr std::uint64_t kEpochsPerTerm = 1U << 20U;
constexpr double kSameModelSeconds = 0.2;
constexpr double kSilentHeartbeats = 2.2;
/// A target that is this long silent and answers no probe is dead, also when
/// no entry sends to it.
constexpr double kDeadHeartbeats = 3.5;
/// The worst covered model must gain by this factor when groups are closed.
constexpr double kRebalanceGain = 1.15;
constexpr Duration kRebalanceEvery = std::chrono::milliseconds(2500);
/// Time to form a group counts against its gain by this scale.
constexpr double kFormingScaleSeconds = 4;
/// A load may take this much longer than published before it is repeated.
constexpr double kStagingPatience = 1.5;
/// Loads take this share of their time before traffic begins.
constexpr double kEarlyLoadShare = 0.1;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

bool IsIn(const EngineReport& report, const GroupView& group) {
  return report.membership.has_value() &&
         report.membership->group == group.name &&
         report.membership->epoch == group.epoch;
}

bool HasStaged(const EngineReport& report, const std::string& model) {
  return std::find(report.staged.begin(), report.staged.end(), model) !=
         report.staged.end();
}

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

void GroupPlanner::GroupStalled(const std::string& name, TimePoint now) {
  const auto found = this->groups.find(name);
  if (found != this->groups.end()) {
    found->second.stalled_at = now;
  }
}

void GroupPlanner::ProbeAnswered(const std::string& target,
                                 const std::optional<EngineReport>& report,
                                 TimePoint now) {
  Doubt& doubt = this->doubts[target];
  if (report.has_value()) {
    doubt.failed_probes = 0;
    return;
  }
  doubt.failed_probes += 1;
  doubt.failed_at = now;
  doubt.probe_at = std::min(doubt.probe_at, now);
}

void GroupPlanner::OrderAnswered(const Order& order, OrderOutcome outcome,
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
  return record == nullptr ||
         (life != group.lives.end() && life->second != record->view.born_ms);
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
  const auto work = input.open_work.find(group.view.members.front());
  const bool has_work = work != input.open_work.end() && work->second > 0;
  const Duration dead_after = FromSeconds(
      kDeadHeartbeats * std::chrono::duration<double>(input.heartbeat).count());
  return is_stalled || (!has_work && now >= record.heard_at + dead_after);
}

void GroupPlanner::ProbeMembers(const Group& group, const PlanInput& input,
                                PlannedWork& work, TimePoint now) {
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
      doubt.probe_at = now + kProbeEvery;
      work.probes.push_back(id);
    }
  }
}

void GroupPlanner::FollowForming(Group& group, const PlanInput& input,
                                 PlannedWork& work, TimePoint now) {
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
                                 PlannedWork& work, TimePoint now) {
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
                              PlannedWork& work, TimePoint now) {
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
  const auto work = input.open_work.find(group.view.members.front());
  const bool is_idle = work == input.open_work.end() || work->second == 0;
  const bool had_time = now + kCloseLimit >= group.close_at + 2 * kResendOrder;
  if ((is_idle && had_time) || now >= group.close_at) {
    this->SetPhase(group, GroupPhase::kDissolving);
  }
}

void GroupPlanner::FollowDissolving(Group& group, const PlanInput& input,
                                    PlannedWork& work, TimePoint now) {
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

void GroupPlanner::FollowGroup(Group& group, const PlanInput& input,
                               PlannedWork& work, TimePoint now) {
  for (const std::string& id : group.view.members) {
    const TargetRecord* record = input.registry.Find(id);
    if (record != nullptr && group.lives.count(id) == 0) {
      group.lives[id] = record->view.born_ms;
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
          input.registry.Find(member.second)->view.born_ms;
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

void GroupPlanner::FollowOrphans(const PlanInput& input, PlannedWork& work,
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

PlannedWork GroupPlanner::Plan(const PlanInput& input, TimePoint now) {
  PlannedWork work;
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

// ------------------------------------------------------------------ forming

double GroupPlanner::JoinSeconds(const TargetRecord& record,
                                 const ModelProfile& model) const {
  if (record.view.last_model == model.name) {
    return kSameModelSeconds;
  }
  return HasStaged(record.view.engine, model.name) ? model.warm_s
                                                   : model.load_s;
}

std::map<std::string, std::vector<std::string>> GroupPlanner::FreeByDomain(
    const Service& service, const PlanInput& input, TimePoint now) const {
  std::map<std::string, std::vector<std::string>> free;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const TargetRecord& record = entry.second;
    const bool is_usable =
        record.view.service == service.name && !record.view.is_leaving &&
        !record.is_adopted && !this->IsSilent(record, input, now) &&
        this->group_of.count(entry.first) == 0 &&
        input.evacuated.count(record.view.data_centre) == 0 &&
        !this->IsSuspect(entry.first, record);
    if (is_usable && this->IsReleased(entry.first, record, input, now)) {
      free[record.view.engine.domain].push_back(entry.first);
    }
  }
  return free;
}

bool GroupPlanner::IsReleased(const std::string& id, const TargetRecord& record,
                              const PlanInput& input, TimePoint now) const {
  const std::optional<Membership>& last = record.view.engine.membership;
  if (!last.has_value() || last->state == MemberState::kNone ||
      this->closed_epochs.count(last->epoch) > 0) {
    return true;
  }
  if (last->rank == 0) {
    return last->state != MemberState::kOpen &&
           last->state != MemberState::kClosing;
  }
  const auto orphan = this->orphans.find(id);
  return orphan != this->orphans.end() &&
         now >= orphan->second + input.stall + kOrphanMargin;
}

bool GroupPlanner::IsEvacuated(const GroupView& group,
                               const PlanInput& input) const {
  const TargetRecord* head = input.registry.Find(group.members.front());
  return head != nullptr && input.evacuated.count(head->view.data_centre) > 0;
}

std::map<std::string, double> GroupPlanner::Coverage(
    const Service& service, const PlanInput& input) const {
  std::map<std::string, double> coverage;
  for (const ModelProfile& model : service.engine->models) {
    coverage[model.name] = 0;
  }
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    const GroupView& view = entry.second.view;
    const ModelProfile* model = service.engine->FindModel(view.model);
    const bool counts = view.service == service.name && model != nullptr &&
                        view.phase != GroupPhase::kDissolving &&
                        view.phase != GroupPhase::kClosing &&
                        !this->IsEvacuated(view, input);
    if (counts && model->share > 0) {
      coverage[view.model] +=
          static_cast<double>(view.members.size()) / model->share;
    }
  }
  return coverage;
}

void GroupPlanner::StartGroup(const Service& service, const ModelProfile& model,
                              const std::string& domain,
                              const std::vector<std::string>& members,
                              const PlanInput& input, PlannedWork& work,
                              TimePoint now) {
  this->counter += 1;
  Group group;
  group.view.epoch = this->term * kEpochsPerTerm + this->counter;
  group.view.name = "g" + std::to_string(group.view.epoch);
  group.view.service = service.name;
  group.view.model = model.name;
  group.view.domain = domain;
  group.view.members = members;
  double seconds = 0;
  for (const std::string& id : members) {
    const TargetRecord& record = *input.registry.Find(id);
    const double join = this->JoinSeconds(record, model);
    seconds = std::max(seconds, join);
    group.lives[id] = record.view.born_ms;
    group.resend_at[id] = now + kResendOrder;
    this->group_of[id] = group.view.name;
    work.orders.push_back(this->MakeOrder(OrderKind::kJoin, group, id));
  }
  group.give_up_at = now + FromSeconds(2 * seconds) + kFormingLimit;
  LogEvent(Level::kInfo, "", "group_started",
           {{"group", group.view.name},
            {"model", model.name},
            {"domain", domain},
            {"expected_s", std::to_string(seconds)}});
  this->groups[group.view.name] = std::move(group);
  this->changes += 1;
}

void GroupPlanner::FormFor(const Service& service, const PlanInput& input,
                           PlannedWork& work, TimePoint now) {
  std::map<std::string, std::vector<std::string>> free =
      this->FreeByDomain(service, input, now);
  for (;;) {
    const std::map<std::string, double> coverage =
        this->Coverage(service, input);
    const ModelProfile* best_model = nullptr;
    std::string best_domain;
    std::vector<std::string> best_members;
    double best_score = 0;
    for (std::pair<const std::string, std::vector<std::string>>& domain :
         free) {
      for (const ModelProfile& model : service.engine->models) {
        const auto kept = this->reserved.find(domain.first);
        const bool is_kept_for_other = kept != this->reserved.end() &&
                                       now < kept->second.until &&
                                       kept->second.model != model.name;
        if (domain.second.size() < model.size || is_kept_for_other) {
          continue;
        }
        std::vector<std::string> ids = domain.second;
        const auto cost = [this, &input, &model](const std::string& id) {
          return this->JoinSeconds(*input.registry.Find(id), model);
        };
        std::stable_sort(ids.begin(), ids.end(),
                         [&cost](const std::string& a, const std::string& b) {
                           return cost(a) < cost(b);
                         });
        ids.resize(model.size);
        double seconds = cost(ids.back());
        std::size_t load_count = 0;
        for (const std::string& id : ids) {
          load_count += cost(id) >= model.load_s ? 1 : 0;
        }
        if (!input.has_traffic) {
          seconds *= kEarlyLoadShare;
        } else if (load_count > 0) {
          // A copy is staged first, so that hosts which need no load are not
          // held up by those that do.
          continue;
        }
        const double need = 1.0 / (1.0 + coverage.at(model.name));
        const double score = need / (1.0 + seconds / kFormingScaleSeconds);
        if (score > best_score) {
          best_score = score;
          best_model = &model;
          best_domain = domain.first;
          best_members = ids;
        }
      }
    }
    if (best_model == nullptr) {
      return;
    }
    std::vector<std::string>& rest = free[best_domain];
    rest.erase(std::remove_if(rest.begin(), rest.end(),
                              [&best_members](const std::string& id) {
                                return std::find(best_members.begin(),
                                                 best_members.end(),
                                                 id) != best_members.end();
                              }),
               rest.end());
    this->StartGroup(service, *best_model, best_domain, best_members, input,
                     work, now);
  }
}

void GroupPlanner::FormGroups(const PlanInput& input, PlannedWork& work,
                              TimePoint now) {
  for (const Service& service : input.configuration.services) {
    if (service.engine.has_value()) {
      this->Rebalance(service, input, now);
      this->FormFor(service, input, work, now);
    }
  }
}

std::vector<std::string> GroupPlanner::GroupsToClose(
    const Service& service, const ModelProfile& poor, const std::string& domain,
    const std::vector<std::string>& spares, const PlanInput& input) const {
  const auto is_capable = [this, &input, &poor](const std::string& id) {
    const TargetRecord* record = input.registry.Find(id);
    return record != nullptr && this->JoinSeconds(*record, poor) < poor.load_s;
  };
  std::size_t capable = static_cast<std::size_t>(
      std::count_if(spares.begin(), spares.end(), is_capable));
  std::vector<std::string> closed;
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    const GroupView& view = entry.second.view;
    if (capable >= poor.size) {
      break;
    }
    const bool is_other = view.service == service.name &&
                          view.domain == domain && view.model != poor.name &&
                          view.phase == GroupPhase::kOpen &&
                          !this->IsEvacuated(view, input);
    const std::size_t gain = static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(), is_capable));
    if (is_other && gain > 0) {
      closed.push_back(entry.first);
      capable += gain;
    }
  }
  if (capable < poor.size) {
    closed.clear();
  }
  return closed;
}

void GroupPlanner::Rebalance(const Service& service, const PlanInput& input,
                             TimePoint now) {
  if (now < this->rebalance_at) {
    return;
  }
  const std::map<std::string, double> coverage = this->Coverage(service, input);
  const ModelProfile* poor = nullptr;
  for (const ModelProfile& model : service.engine->models) {
    const bool is_poorer =
        poor == nullptr || coverage.at(model.name) < coverage.at(poor->name);
    poor = model.share > 0 && is_poorer ? &model : poor;
  }
  if (poor == nullptr) {
    return;
  }
  const double before = coverage.at(poor->name);
  std::map<std::string, std::vector<std::string>> domains =
      this->FreeByDomain(service, input, now);
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    if (entry.second.view.service == service.name) {
      domains.insert({entry.second.view.domain, {}});
    }
  }
  double best = before * kRebalanceGain;
  std::string best_domain;
  std::vector<std::string> best_closed;
  for (const std::pair<const std::string, std::vector<std::string>>& domain :
       domains) {
    const std::vector<std::string> closed =
        this->GroupsToClose(service, *poor, domain.first, domain.second, input);
    if (closed.empty()) {
      continue;
    }
    std::map<std::string, double> after = coverage;
    after[poor->name] += static_cast<double>(poor->size) / poor->share;
    for (const std::string& name : closed) {
      const GroupView& view = this->groups.at(name).view;
      const ModelProfile* model = service.engine->FindModel(view.model);
      after[view.model] -=
          static_cast<double>(view.members.size()) / model->share;
    }
    double least = after.begin()->second;
    for (const std::pair<const std::string, double>& value : after) {
      least = std::min(least, value.second);
    }
    if (least > best) {
      best = least;
      best_domain = domain.first;
      best_closed = closed;
    }
  }
  for (const std::string& name : best_closed) {
    Group& group = this->groups.at(name);
    LogEvent(Level::kInfo, "", "group_rebalanced",
             {{"group", name},
              {"for_model", poor->name},
              {"least_coverage_before", std::to_string(before)},
              {"least_coverage_after", std::to_string(best)}});
    group.view.closing_for = poor->name;
    this->SetPhase(group, GroupPhase::kClosing);
    group.close_at = now + kCloseLimit;
    this->rebalance_at = now + kRebalanceEvery;
    this->reserved[best_domain] = {poor->name, now + kRebalanceEvery};
  }
}

std::map<std::string, std::size_t> GroupPlanner::CapableByDomain(
    const Service& service, const ModelProfile& model,
    const PlanInput& input) const {
  std::map<std::string, std::size_t> capable;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const TargetRecord& record = entry.second;
    const bool counts = record.view.service == service.name &&
                        !record.view.is_leaving &&
                        !this->IsSuspect(entry.first, record) &&
                        input.evacuated.count(record.view.data_centre) == 0 &&
                        this->JoinSeconds(record, model) < model.load_s;
    capable[record.view.engine.domain] += counts ? 1 : 0;
  }
  return capable;
}

bool GroupPlanner::MayStage(const TargetRecord& record, const Service& service,
                            const PlanInput& input, TimePoint now) const {
  const auto staging = this->staging_until.find(record.view.name);
  const bool is_staging =
      staging != this->staging_until.end() && now < staging->second;
  const auto group = this->group_of.find(record.view.name);
  const bool is_forming =
      group != this->group_of.end() &&
      this->groups.at(group->second).view.phase != GroupPhase::kOpen;
  const std::vector<std::string>& staged = record.view.engine.staged;
  // A host keeps the last model it served at hand, so one copy of another
  // model is worth keeping.
  const bool has_other_copy = std::any_of(
      staged.begin(), staged.end(), [&record](const std::string& model) {
        return model != record.view.last_model;
      });
  return record.view.service == service.name && !record.view.is_leaving &&
         !record.is_adopted && !this->IsSilent(record, input, now) &&
         !this->IsSuspect(record.view.name, record) && !is_staging &&
         !is_forming && !has_other_copy;
}

std::vector<GroupPlanner::Staging> GroupPlanner::StagingByNeed(
    const Service& service, const PlanInput& input, TimePoint now) const {
  const std::map<std::string, double> coverage = this->Coverage(service, input);
  std::map<std::string, std::map<std::string, std::size_t>> capable;
  for (const ModelProfile& model : service.engine->models) {
    capable[model.name] = this->CapableByDomain(service, model, input);
  }
  std::vector<Staging> wanted;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const TargetRecord& record = entry.second;
    if (!this->MayStage(record, service, input, now)) {
      continue;
    }
    Staging best;
    for (const ModelProfile& model : service.engine->models) {
      if (model.name == record.view.last_model) {
        continue;
      }
      const std::size_t there = capable[model.name][record.view.engine.domain];
      const std::size_t missing = there < model.size ? model.size - there : 1;
      const double need = 1.0 / (1.0 + coverage.at(model.name)) /
                          static_cast<double>(missing) / model.load_s;
      if (need > best.need) {
        best = {entry.first, &model, need};
      }
    }
    if (best.model != nullptr) {
      wanted.push_back(best);
    }
  }
  std::stable_sort(wanted.begin(), wanted.end(),
                   [](const Staging& one, const Staging& other) {
                     return one.need > other.need;
                   });
  return wanted;
}

void GroupPlanner::StageModels(const PlanInput& input, PlannedWork& work,
                               TimePoint now) {
  for (const Service& service : input.configuration.services) {
    if (!service.engine.has_value()) {
      continue;
    }
    for (const Staging& staging : this->StagingByNeed(service, input, now)) {
      const double seconds = input.has_traffic
                                 ? staging.model->load_s
                                 : kEarlyLoadShare * staging.model->load_s;
      if (input.has_traffic) {
        if (!this->loads.MayStart(*service.engine, 1, now)) {
          return;
        }
        this->loads.Started(now, now + FromSeconds(seconds));
      }
      Order order;
      order.kind = OrderKind::kStage;
      order.target = staging.target;
      order.model = staging.model->name;
      order.fence = this->term;
      work.orders.push_back(order);
      this->staging_until[staging.target] =
          now + FromSeconds(kStagingPatience * seconds) + kResendOrder;
    }
  }
}

}  // namespace gooseberryturn::direct
