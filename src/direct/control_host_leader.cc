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

void ControlHost::RefreshConfiguration() {
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

void ControlHost::TakeOverWhenCurrent() {
  const consensus::Node& node = this->driver->node();
  const bool is_current = this->driver->HasLease(Clock::now()) &&
                          this->state.applied_index() >= node.commit_index();
  if (this->is_leading || !this->is_elected || !is_current) {
    return;
  }
  const TimePoint now = Clock::now();
  this->is_leading = true;
  this->settled_at = now + kSettle;
  this->followers.clear();
  this->registry = Registry();
  this->demand = DemandAggregator();
  this->targets = {};
  this->groups = {};
  this->revision += 1;
  for (const std::pair<const std::string, TargetView>& entry :
       this->state.targets()) {
    this->registry.Adopt(entry.second, now);
    this->targets.Put(entry.second, this->revision);
  }
  std::vector<GroupView> known;
  for (const std::pair<const std::string, GroupView>& entry :
       this->state.groups()) {
    known.push_back(entry.second);
    this->groups.Put(entry.second, this->revision);
  }
  this->noted_revision = this->revision;
  this->has_traffic |= !known.empty();
  this->planner.StartLeading(node.term(), known, now);
  this->quorum.StartLeading(node.membership(), now);
  LogEvent(Level::kInfo, "", "leading",
           {{"term", std::to_string(node.term())},
            {"config_version", std::to_string(this->state.version())},
            {"targets_known", std::to_string(this->state.targets().size())},
            {"groups_known", std::to_string(known.size())}});
}

void ControlHost::NoteChanges(TimePoint now) {
  if (this->noted_revision == this->revision || now < this->note_at) {
    return;
  }
  this->note_at = now + kNoteEvery;
  FleetCommand command;
  command.kind = FleetCommandKind::kFleetDelta;
  FleetDelta& note = command.delta;
  this->targets.Since(this->noted_revision, note.targets, note.removed_targets);
  this->groups.Since(this->noted_revision, note.groups, note.removed_groups);
  this->noted_revision = this->revision;
  // A note that fails means that another host leads, which makes its own.
  if (!note.IsEmpty()) {
    this->driver->Propose(protocol::Encode(command),
                          [](const Result<consensus::Index>& /*applied*/) {});
  }
}

void ControlHost::PutTarget(const std::string& target) {
  this->revision += 1;
  const TargetRecord* record = this->registry.Find(target);
  if (record == nullptr) {
    this->targets.Remove(target, this->revision);
  } else {
    this->targets.Put(record->view, this->revision);
  }
}

void ControlHost::PlanSoon() {
  if (this->is_plan_due || Clock::now() < this->planned_at + kPlanGap) {
    return;
  }
  this->is_plan_due = true;
  boost::asio::post(this->context, [this] {
    this->is_plan_due = false;
    if (this->IsLeading()) {
      const TimePoint now = Clock::now();
      const std::uint64_t before = this->revision;
      this->KeepGroups(now);
      if (this->revision != before) {
        this->PushAll(now);
      }
    }
  });
}

void ControlHost::RefreshGroups() {
  if (this->seen_plan_revision == this->planner.revision()) {
    return;
  }
  this->seen_plan_revision = this->planner.revision();
  this->revision += 1;
  std::map<std::string, GroupView> next;
  for (const GroupView& view : this->planner.Groups()) {
    next[view.name] = view;
  }
  std::vector<std::string> gone;
  for (const auto& slot : this->groups.slots) {
    if (next.count(slot.first) == 0) {
      gone.push_back(slot.first);
    }
  }
  for (const std::string& name : gone) {
    this->groups.Remove(name, this->revision);
  }
  for (const std::pair<const std::string, GroupView>& entry : next) {
    const GroupView* old = this->groups.Find(entry.first);
    if (old == nullptr || old->phase != entry.second.phase) {
      this->groups.Put(entry.second, this->revision);
    }
  }
}

void ControlHost::KeepQuorum(TimePoint now) {
  const consensus::Node& node = this->driver->node();
  const QuorumInput input = {
      node.membership(), this->id, node.commit_index(),
      [&node](consensus::NodeId peer) { return node.MatchIndex(peer); },
      this->settings.tolerated_hosts};
  const std::optional<consensus::Membership> next =
      this->quorum.NextMembership(input, now);
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

void ControlHost::KeepGroups(TimePoint now) {
  if (!this->configuration.has_value()) {
    return;
  }
  PlanInput input = {this->registry,          *this->configuration,
                     this->state.evacuated(), {},
                     this->has_traffic,       this->settings.heartbeat,
                     this->settings.stall,    this->demand.Demand(now)};
  for (const InFlightWork& work : this->SumOpenWork(now)) {
    input.in_flight_work[work.target] = work.requests;
  }
  this->planned_at = now;
  const PlannedActions work = this->planner.Plan(input, now);
  for (const std::string& lost : work.lost_members) {
    this->crashes.RecordCrash(lost, now);
  }
  for (const Order& order : work.orders) {
    this->GiveOrder(order);
  }
  for (const std::string& target : work.probes) {
    this->Probe(target);
  }
  this->RefreshGroups();
}

}  // namespace gooseberryturn::direct
