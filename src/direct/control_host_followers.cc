#include <algorithm>

#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

// ---------------------------------------------------------------- followers

void ControlHost::OnFollower(const std::shared_ptr<link::Stream>& stream) {
  const std::shared_ptr<Follower> follower = std::make_shared<Follower>();
  follower->stream = stream;
  follower->number = ++this->last_follower;
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
      // Many followers come at once after a change of the leader. Those that
      // have to wait then share the encoding of their first update.
      const TimePoint now = Clock::now();
      if (!this->IsAwaitingLease() && this->update_pacer.IsDue(now)) {
        UpdateEncoder encoder = this->MakeUpdateEncoder(now);
        this->SendUpdate(*locked, encoder, now);
        this->update_pacer.RecordRun(now, Clock::now());
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
    if (locked != nullptr) {
      this->in_flight_totals.Remove(locked->number);
      this->followers.remove(locked);
    }
  };
  this->followers.push_back(follower);
}

void ControlHost::OnReport(Follower& follower, const EntryReport& report) {
  const TimePoint now = Clock::now();
  follower.handled_report = report.number;
  this->in_flight_totals.SetReport(follower.number, report.in_flight_work, now);
  this->demand.AddReport(
      {follower.hello.host, follower.hello.incarnation, report.model_work},
      now);
  this->has_traffic |= report.has_received_request;
  this->RecordContents(follower, report, now);
  if (this->duties != nullptr) {
    this->duties->RecordReport(follower.hello, report, now);
  }
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
  this->in_flight_totals.Expire(now);
  this->in_flight_work = this->in_flight_totals.Sums();
  return this->in_flight_work;
}

bool ControlHost::IsAwaitingLease() const {
  return this->is_elected && !this->IsLeading();
}

void ControlHost::SendUpdates(TimePoint now) {
  if (!this->IsLeading() || this->update_pacer.IsDue(now)) {
    this->SendUpdatesNow(now);
  }
}

void ControlHost::SendUpdatesNow(TimePoint now) {
  if (this->IsAwaitingLease()) {
    return;
  }
  const TimePoint started_at = Clock::now();
  UpdateEncoder encoder = this->MakeUpdateEncoder(now);
  const std::list<std::shared_ptr<Follower>> all = this->followers;
  for (const std::shared_ptr<Follower>& follower : all) {
    if (!follower->hello.host.empty()) {
      this->SendUpdate(*follower, encoder, now);
    }
  }
  this->update_pacer.RecordRun(started_at, Clock::now());
}

UpdateEncoder ControlHost::MakeUpdateEncoder(TimePoint now) {
  return UpdateEncoder(
      this->MakeCommonUpdate(),
      [this, now](const UpdateNeeds& needs, FleetUpdate& update) {
        this->FillUpdate(needs, update, now);
      });
}

void ControlHost::FillUpdate(const UpdateNeeds& needs, FleetUpdate& update,
                             TimePoint now) {
  this->AddConfiguration(needs, update);
  this->targets.CollectChanges(needs.from_revision, update.targets,
                               update.removed_targets);
  this->groups.CollectChanges(needs.from_revision, update.groups,
                              update.removed_groups);
  if (needs.has_in_flight_work) {
    update.in_flight_work = this->SumInFlightWork(now);
    for (const std::shared_ptr<Follower>& follower : this->followers) {
      update.handled_reports.push_back(
          {follower->hello.incarnation, follower->handled_report});
    }
    if (this->settings.learns_capacity) {
      update.learnt_capacities = this->capacity_merger.Notable(now);
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
  update.unix_ms =
      this->duties == nullptr ? 0 : this->duties->UnixMs(Clock::now());
  const std::ptrdiff_t entries =
      std::count_if(this->followers.begin(), this->followers.end(),
                    [](const std::shared_ptr<Follower>& follower) {
                      return !follower->hello.host.empty();
                    });
  update.entries =
      static_cast<std::uint32_t>(std::max<std::ptrdiff_t>(1, entries));
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

Duration ControlHost::InFlightSendInterval() const {
  const double bytes = kInFlightWorkBytes *
                       static_cast<double>(this->in_flight_work.size()) *
                       static_cast<double>(this->followers.size());
  return std::max(kInFlightSendInterval,
                  FromSeconds(bytes / kMaxInFlightBytesPerS));
}

void ControlHost::NotifyVersion(Follower& follower, UpdateEncoder& encoder) {
  const std::uint64_t version = encoder.common().config_version;
  const bool is_known = follower.is_new ||
                        follower.sent_config_version >= version ||
                        follower.notified_config_version >= version;
  if (!is_known) {
    follower.notified_config_version = version;
    follower.stream->Send(encoder.CommonFrame());
  }
}

void ControlHost::SendUpdate(Follower& follower, UpdateEncoder& encoder,
                             TimePoint now) {
  if (!encoder.common().is_leader) {
    follower.stream->Send(encoder.CommonFrame());
    follower.stream->Finish();
    return;
  }
  const std::uint64_t config_version = encoder.common().config_version;
  const bool is_settled = now >= this->settled_at;
  const bool is_full_state_due = is_settled && !follower.has_full_state;
  const bool is_configuration_due =
      follower.sent_config_version < config_version;
  const bool has_changes = follower.is_new || is_full_state_due ||
                           follower.sent_revision < this->revision ||
                           is_configuration_due;
  const bool is_in_flight_due =
      now >= follower.in_flight_sent_at + this->InFlightSendInterval() &&
      follower.stream->unsent_bytes() <= kMaxUnsentInFlightBytes;
  if (!has_changes && !is_in_flight_due &&
      now < follower.last_sent_at + kMaxUpdateInterval) {
    return;
  }
  if (follower.stream->unsent_bytes() > kMaxUnsentBytes) {
    NotifyVersion(follower, encoder);
    return;
  }
  UpdateNeeds needs;
  needs.is_full = is_full_state_due;
  needs.from_revision =
      follower.is_new || is_full_state_due ? 0 : follower.sent_revision;
  needs.from_config_version = follower.sent_config_version;
  needs.has_in_flight_work = is_in_flight_due;
  needs.takes_compressed = follower.hello.takes_compressed;
  if (is_in_flight_due) {
    follower.in_flight_sent_at = now;
  }
  follower.is_new = false;
  follower.has_full_state |= is_full_state_due;
  follower.sent_revision = this->revision;
  follower.sent_config_version =
      std::max(follower.sent_config_version, config_version);
  follower.last_sent_at = now;
  follower.stream->Send(encoder.Frame(needs));
}

void ControlHost::AddConfiguration(const UpdateNeeds& needs,
                                   FleetUpdate& update) {
  if (needs.from_config_version >= update.config_version) {
    return;
  }
  if (!needs.takes_compressed) {
    update.config_text = this->state.text();
    return;
  }
  // A change is sent as soon as it is applied, before OnApplied runs.
  this->configuration_history.Record(this->state.version(), this->state.text());
  update.config_patch =
      this->configuration_history.PatchFrom(needs.from_config_version);
}

}  // namespace gooseberryturn::direct
