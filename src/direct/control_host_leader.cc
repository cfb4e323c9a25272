#include <boost/asio/post.hpp>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

// ------------------------------------------------------------------- leader

void ControlHost::OnApplied() {
  this->configuration_history.Record(this->state.version(), this->state.text());
  if (this->has_taken_over) {
    this->ParseConfiguration();
  }
  this->StartLeadingIfReady();
}

void ControlHost::ParseConfiguration() {
  if (this->parsed_version == this->state.version()) {
    return;
  }
  const Result<Configuration> read =
      this->dialect.read_configuration(this->state.text());
  if (read.has_value()) {
    this->configuration = *read;
  } else {
    LogEvent(Level::kError, "", "configuration_not_readable",
             {{"why", read.error().message}});
  }
  this->parsed_version = this->state.version();
  LogEvent(Level::kInfo, "", "configuration_in_force",
           {{"version", std::to_string(this->parsed_version)}});
}

void ControlHost::StartLeadingIfReady() {
  const consensus::Node& node = this->driver->node();
  const bool is_current = this->driver->HasLease(Clock::now()) &&
                          this->state.applied_index() >= node.commit_index();
  if (this->has_taken_over || !this->is_elected || !is_current) {
    return;
  }
  const TimePoint now = Clock::now();
  this->ParseConfiguration();
  this->has_taken_over = true;
  this->settled_at = now + kSettleTime;
  this->followers.clear();
  this->registry = Registry();
  this->contested_targets.clear();
  this->crash_tracker.Restore(this->state.suspects(), node.term(), now);
  this->proposed_suspects = protocol::Encode(this->state.suspects());
  this->demand = DemandAggregator();
  this->scale_planner = duty::ScalePlanner();
  this->scale_orders.clear();
  this->in_flight_totals = InFlightTotals();
  this->targets = {};
  this->groups = {};
  this->revision += 1;
  for (const std::pair<const std::string, TargetView>& entry :
       this->state.targets()) {
    this->registry.AddRecorded(entry.second, now);
    this->targets.Put(entry.second, this->revision);
  }
  std::vector<GroupView> known_groups;
  for (const std::pair<const std::string, GroupView>& entry :
       this->state.groups()) {
    known_groups.push_back(entry.second);
    this->groups.Put(entry.second, this->revision);
  }
  this->proposed_revision = this->revision;
  this->has_traffic |= !known_groups.empty();
  this->planner.StartLeading(node.term(), known_groups, now);
  this->quorum_planner.StartLeading(node.membership(), now);
  if (this->duties != nullptr) {
    this->duties->StartLeading(now);
  }
  LogEvent(Level::kInfo, "", "leading",
           {{"term", std::to_string(node.term())},
            {"config_version", std::to_string(this->state.version())},
            {"targets_known", std::to_string(this->state.targets().size())},
            {"groups_known", std::to_string(known_groups.size())}});
}

void ControlHost::ProposeFleetDelta(TimePoint now) {
  if (this->proposed_revision == this->revision || now < this->next_delta_at) {
    return;
  }
  this->next_delta_at = now + kFleetDeltaInterval;
  FleetCommand command;
  command.kind = FleetCommandKind::kFleetDelta;
  FleetDelta& delta = command.delta;
  this->targets.CollectChanges(this->proposed_revision, delta.targets,
                               delta.removed_targets);
  this->groups.CollectChanges(this->proposed_revision, delta.groups,
                              delta.removed_groups);
  this->proposed_revision = this->revision;
  // If the proposal fails, another host leads and proposes its own changes.
  if (!delta.IsEmpty()) {
    this->driver->Propose(protocol::Encode(command),
                          [](const Result<consensus::Index>& /*applied*/) {});
  }
}

void ControlHost::PublishTarget(const std::string& target) {
  this->revision += 1;
  const TargetRecord* record = this->registry.Find(target);
  if (record == nullptr) {
    this->targets.Remove(target, this->revision);
  } else {
    this->targets.Put(record->view, this->revision);
  }
}

void ControlHost::SchedulePlan() {
  const TimePoint now = Clock::now();
  if (this->is_plan_scheduled || !this->plan_pacer.IsDue(now) ||
      now < this->last_plan_at + kMinPlanInterval) {
    return;
  }
  this->is_plan_scheduled = true;
  boost::asio::post(this->context, [this] {
    this->is_plan_scheduled = false;
    if (this->IsLeading()) {
      const TimePoint plan_at = Clock::now();
      const std::uint64_t before = this->revision;
      this->PlanGroups(plan_at);
      if (this->revision != before) {
        this->SendUpdates(plan_at);
      }
    }
  });
}

void ControlHost::PublishGroups() {
  if (this->published_plan_revision == this->planner.revision()) {
    return;
  }
  this->published_plan_revision = this->planner.revision();
  this->revision += 1;
  std::map<std::string, GroupView> next;
  for (const GroupView& view : this->planner.Groups()) {
    next[view.name] = view;
  }
  std::vector<std::string> removed_groups;
  for (const auto& slot : this->groups.slots) {
    if (next.count(slot.first) == 0) {
      removed_groups.push_back(slot.first);
    }
  }
  for (const std::string& name : removed_groups) {
    this->groups.Remove(name, this->revision);
  }
  for (const std::pair<const std::string, GroupView>& entry : next) {
    const GroupView* old = this->groups.Find(entry.first);
    if (old == nullptr || old->phase != entry.second.phase) {
      this->groups.Put(entry.second, this->revision);
    }
  }
}

void ControlHost::UpdateQuorum(TimePoint now) {
  const std::optional<consensus::Membership> next =
      this->quorum_planner.NextMembership(
          MakeQuorumInput(this->driver->node(), this->settings.tolerated_hosts,
                          now),
          now);
  if (!next.has_value()) {
    return;
  }
  const Result<void> changed = this->driver->ChangeMembership(*next);
  if (changed.has_value()) {
    LogEvent(Level::kInfo, "", "quorum_changed",
             {{"hosts", std::to_string(next->peers.size())},
              {"voters", std::to_string(next->VoterCount())}});
  }
}

void ControlHost::LogCapacities(const PlanInput& input, TimePoint now) {
  if (now < this->next_capacity_log_at) {
    return;
  }
  this->next_capacity_log_at = now + kCapacityLogInterval;
  for (const ModelCapacity& capacity : this->planner.Capacities(input)) {
    LogEvent(Level::kInfo, "", "model_capacity",
             {{"service", capacity.service},
              {"model", capacity.model},
              {"open_groups", std::to_string(capacity.open_groups)},
              {"busy_groups", std::to_string(capacity.busy_groups)},
              {"coverage", std::to_string(capacity.coverage)}});
  }
}

void ControlHost::PlanGroups(TimePoint now) {
  if (!this->configuration.has_value()) {
    return;
  }
  PlanInput input = {this->registry,
                     *this->configuration,
                     this->state.evacuated(),
                     {},
                     this->has_traffic,
                     this->settings.heartbeat,
                     this->settings.member_loss_timeout,
                     this->demand.Demand(now)};
  for (const InFlightWork& work : this->SumInFlightWork(now)) {
    input.in_flight_work[work.target] = work.requests;
  }
  this->last_plan_at = now;
  const PlannedActions actions = this->planner.Plan(input, now);
  for (const std::string& lost : actions.lost_members) {
    const TargetRecord* record = this->registry.Find(lost);
    if (record != nullptr) {
      this->crash_tracker.RecordEnd(record->view.Incarnation(),
                                    TargetEnd::kCrashed, now);
    }
  }
  for (const Order& order : actions.orders) {
    this->SendOrder(order);
  }
  for (const std::string& target : actions.probes) {
    this->Probe(target);
  }
  this->PublishGroups();
  this->LogCapacities(input, now);
  this->PlanScaling(input, now);
  this->plan_pacer.RecordRun(now, Clock::now());
}

}  // namespace gooseberryturn::direct
