#include <algorithm>
#include <map>
#include <utility>

#include "gooseberryturn/core/compression.h"
#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

/// Shorter updates are sent as they are.
constexpr std::size_t kMinCompressedBytes = 4096;

}  // namespace

// ---------------------------------------------------------------- followers

void ControlHost::OnFollower(const std::shared_ptr<link::Stream>& stream) {
  const std::shared_ptr<Follower> follower = std::make_shared<Follower>();
  follower->stream = stream;
  const std::weak_ptr<Follower> weak = follower;
  stream->on_frame = [this, weak](protocol::FrameType /*type*/,
                                  std::string_view payload) {
    const std::shared_ptr<Follower> locked = weak.lock();
    if (locked == nullptr) {
      return;
    }
    if (locked->hello.host.empty()) {
      const std::optional<FollowerHello> hello =
          protocol::Decode<FollowerHello>(payload);
      if (!hello.has_value()) {
        LogEvent(Level::kWarn, "", "hello_not_readable",
                 {{"peer", locked->stream->peer()}});
        return;
      }
      locked->hello = *hello;
      locked->sent_config_version = hello->config_version;
      locked->last_heard_at = Clock::now();
      if (!this->IsAwaitingLease()) {
        this->SendUpdate(*locked, this->MakeCommonUpdate(),
                         locked->last_heard_at);
      }
      return;
    }
    const std::optional<EntryReport> report =
        protocol::Decode<EntryReport>(payload);
    if (report.has_value()) {
      this->OnReport(*locked, *report);
    } else {
      LogEvent(Level::kWarn, "", "report_not_readable",
               {{"host", locked->hello.host}});
    }
  };
  stream->on_close = [this, weak](link::CloseReason /*reason*/) {
    const std::shared_ptr<Follower> locked = weak.lock();
    this->followers.remove(locked);
  };
  this->followers.push_back(follower);
}

void ControlHost::OnReport(Follower& follower, const EntryReport& report) {
  const TimePoint now = Clock::now();
  follower.last_heard_at = now;
  follower.in_flight_work = report.in_flight_work;
  this->demand.AddReport(
      {follower.hello.host, follower.hello.incarnation, report.model_work},
      now);
  this->has_traffic |= report.has_received_request;
  this->RecordContents(follower, report, now);
  this->RecordCapacities(report, now);
  for (const std::string& group : report.stalled_groups) {
    this->planner.HandleGroupStall(group, now);
    this->SchedulePlan();
  }
  if (this->IsLeading() && this->UpdateSuspects(now)) {
    this->SendUpdates(now);
  }
}

void ControlHost::RecordCapacities(const EntryReport& report, TimePoint now) {
  if (!this->settings.learns_capacity) {
    return;
  }
  const std::size_t ignored =
      this->capacity_merger.AddReport(report.learnt_capacities, now);
  this->metrics.Add(observe::Metric::kLearntCapacitiesIgnored,
                    static_cast<std::int64_t>(ignored));
  for (const PaceChange& change : this->capacity_merger.TakeChanges()) {
    this->metrics.Add(change.is_slow ? observe::Metric::kTargetsSlow
                                     : observe::Metric::kTargetsRecovered);
    LogEvent(change.is_slow ? Level::kWarn : Level::kInfo, "",
             change.is_slow ? "target_slow" : "target_recovered",
             {{"target", change.target},
              {"group", this->GroupNameOfHead(change.target)},
              {"time_factor", std::to_string(change.time_factor)}});
  }
}

std::string ControlHost::GroupNameOfHead(const std::string& target) const {
  for (const auto& slot : this->groups.slots) {
    const GroupView& group = slot.second.item;
    if (!group.members.empty() && group.members.front() == target) {
      return group.name;
    }
  }
  return "";
}

const std::vector<InFlightWork>& ControlHost::SumInFlightWork(TimePoint now) {
  if (now < this->in_flight_summed_at + kInFlightSumInterval) {
    return this->in_flight_work;
  }
  this->in_flight_summed_at = now;
  std::map<std::string, InFlightWork> sums;
  for (const std::shared_ptr<Follower>& follower : this->followers) {
    if (now >= follower->last_heard_at + kFollowerTimeout) {
      continue;
    }
    for (const InFlightWork& work : follower->in_flight_work) {
      InFlightWork& sum = sums[work.target];
      sum.target = work.target;
      sum.requests += work.requests;
      sum.pending_prefill_tokens += work.pending_prefill_tokens;
    }
  }
  this->in_flight_work.clear();
  for (const std::pair<const std::string, InFlightWork>& entry : sums) {
    this->in_flight_work.push_back(entry.second);
  }
  return this->in_flight_work;
}

bool ControlHost::IsAwaitingLease() const {
  return this->is_elected && !this->IsLeading();
}

void ControlHost::SendUpdates(TimePoint now) {
  if (this->IsAwaitingLease()) {
    return;
  }
  const FleetUpdate common = this->MakeCommonUpdate();
  const std::list<std::shared_ptr<Follower>> all = this->followers;
  for (const std::shared_ptr<Follower>& follower : all) {
    if (!follower->hello.host.empty()) {
      this->SendUpdate(*follower, common, now);
    }
  }
}

FleetUpdate ControlHost::MakeCommonUpdate() {
  FleetUpdate update;
  update.is_leader = this->IsLeading();
  if (!update.is_leader) {
    update.leader = this->RemoteLeader();
    return update;
  }
  update.term = this->driver->node().term();
  update.config_version = this->state.version();
  update.evacuated.assign(this->state.evacuated().begin(),
                          this->state.evacuated().end());
  update.quarantined = this->crash_tracker.Quarantined();
  update.held = this->crash_tracker.Held();
  update.watched = this->crash_tracker.Watched();
  update.control_hosts = this->MemberLinks();
  update.entries = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(this->FollowingEntries().size()));
  return update;
}

std::vector<std::string> ControlHost::FollowingEntries() const {
  std::vector<std::string> entries;
  for (const std::shared_ptr<Follower>& follower : this->followers) {
    if (!follower->hello.host.empty()) {
      entries.push_back(follower->hello.host);
    }
  }
  return entries;
}

void ControlHost::AssignColdEntries() {
  for (const std::string& changed :
       this->registry.AssignColdEntries(this->FollowingEntries())) {
    this->PublishTarget(changed);
  }
}

void ControlHost::SendUpdate(Follower& follower, const FleetUpdate& common,
                             TimePoint now) {
  if (!common.is_leader) {
    follower.stream->Send(protocol::EncodeFrame(protocol::FrameType::kMessage,
                                                protocol::Encode(common)));
    follower.stream->Finish();
    return;
  }
  const bool is_settled = now >= this->settled_at;
  const bool is_full_state_due = is_settled && !follower.has_full_state;
  const bool has_changes = follower.is_new || is_full_state_due ||
                           follower.sent_revision < this->revision ||
                           follower.sent_config_version < common.config_version;
  const bool is_in_flight_due =
      now >= follower.in_flight_sent_at + kInFlightSendInterval;
  if (!has_changes && !is_in_flight_due &&
      now < follower.last_sent_at + kMaxUpdateInterval) {
    return;
  }
  if (follower.stream->unsent_bytes() > kMaxUnsentBytes) {
    return;
  }
  FleetUpdate update = common;
  update.is_full = is_full_state_due;
  this->AddConfiguration(follower, update);
  const std::uint64_t from =
      follower.is_new || is_full_state_due ? 0 : follower.sent_revision;
  this->targets.CollectChanges(from, update.targets, update.removed_targets);
  this->groups.CollectChanges(from, update.groups, update.removed_groups);
  if (is_in_flight_due) {
    update.in_flight_work = this->SumInFlightWork(now);
    if (this->settings.learns_capacity) {
      update.learnt_capacities = this->capacity_merger.Notable(now);
    }
    follower.in_flight_sent_at = now;
  }
  follower.is_new = false;
  follower.has_full_state |= is_full_state_due;
  follower.sent_revision = this->revision;
  follower.last_sent_at = now;
  std::string payload = protocol::Encode(update);
  if (follower.hello.takes_compressed &&
      payload.size() >= kMinCompressedBytes) {
    payload = Compress(payload);
  }
  follower.stream->Send(
      protocol::EncodeFrame(protocol::FrameType::kMessage, payload));
}

void ControlHost::AddConfiguration(Follower& follower, FleetUpdate& update) {
  if (follower.sent_config_version >= update.config_version) {
    return;
  }
  if (follower.hello.takes_compressed) {
    // A change is sent as soon as it is applied, before OnApplied runs.
    this->configuration_history.Record(this->state.version(),
                                       this->state.text());
    update.config_patch =
        this->configuration_history.PatchFrom(follower.sent_config_version);
  } else {
    update.config_text = this->state.text();
  }
  follower.sent_config_version = update.config_version;
}

}  // namespace gooseberryturn::direct
