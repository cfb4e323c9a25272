#include <algorithm>
#include <map>
#include <utility>

#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

// ---------------------------------------------------------------- followers

void ControlHost::OnFollow(const std::shared_ptr<link::Stream>& stream) {
  const std::shared_ptr<Follower> follower = std::make_shared<Follower>();
  follower->stream = stream;
  const std::weak_ptr<Follower> weak = follower;
  stream->on_frame = [this, weak](protocol::FrameType /*type*/,
                                  std::string_view payload) {
    const std::shared_ptr<Follower> held = weak.lock();
    if (held == nullptr) {
      return;
    }
    if (held->hello.host.empty()) {
      const std::optional<FollowerHello> hello =
          protocol::Decode<FollowerHello>(payload);
      if (!hello.has_value()) {
        LogEvent(Level::kWarn, "", "hello_not_readable",
                 {{"peer", held->stream->peer()}});
        return;
      }
      held->hello = *hello;
      held->sent_config = hello->config_version;
      held->heard_at = Clock::now();
      this->Push(*held, this->CommonUpdate(held->heard_at), held->heard_at);
      return;
    }
    const std::optional<EntryReport> report =
        protocol::Decode<EntryReport>(payload);
    if (report.has_value()) {
      this->OnReport(*held, *report);
    } else {
      LogEvent(Level::kWarn, "", "report_not_readable",
               {{"host", held->hello.host}});
    }
  };
  stream->on_close = [this, weak](link::CloseReason /*reason*/) {
    const std::shared_ptr<Follower> held = weak.lock();
    this->followers.remove(held);
  };
  this->followers.push_back(follower);
}

void ControlHost::OnReport(Follower& follower, const EntryReport& report) {
  const TimePoint now = Clock::now();
  follower.heard_at = now;
  follower.open_work = report.in_flight_work;
  this->demand.AddReport(
      {follower.hello.host, follower.hello.incarnation, report.model_work},
      now);
  this->has_traffic |= report.has_served;
  for (const CutRequest& cut : report.cut_requests) {
    this->crashes.ReportCutOff(cut.fingerprint, cut.target, now);
  }
  for (const std::string& group : report.stalled_groups) {
    this->planner.HandleGroupStall(group, now);
    this->PlanSoon();
  }
}

const std::vector<InFlightWork>& ControlHost::SumOpenWork(TimePoint now) {
  if (now < this->summed_at + kSumEvery) {
    return this->open_work;
  }
  this->summed_at = now;
  std::map<std::string, InFlightWork> sums;
  for (const std::shared_ptr<Follower>& follower : this->followers) {
    if (now >= follower->heard_at + kFollowerLife) {
      continue;
    }
    for (const InFlightWork& work : follower->open_work) {
      InFlightWork& sum = sums[work.target];
      sum.target = work.target;
      sum.requests += work.requests;
      sum.pending_prompt_tokens += work.pending_prompt_tokens;
    }
  }
  this->open_work.clear();
  for (const std::pair<const std::string, InFlightWork>& entry : sums) {
    this->open_work.push_back(entry.second);
  }
  return this->open_work;
}

void ControlHost::PushAll(TimePoint now) {
  const FleetUpdate common = this->CommonUpdate(now);
  const std::list<std::shared_ptr<Follower>> all = this->followers;
  for (const std::shared_ptr<Follower>& follower : all) {
    if (!follower->hello.host.empty()) {
      this->Push(*follower, common, now);
    }
  }
}

FleetUpdate ControlHost::CommonUpdate(TimePoint now) {
  FleetUpdate update;
  update.is_leader = this->IsLeading();
  if (!update.is_leader) {
    update.leader = this->OtherLeader();
    return update;
  }
  update.term = this->driver->node().term();
  update.config_version = this->state.version();
  update.evacuated.assign(this->state.evacuated().begin(),
                          this->state.evacuated().end());
  update.quarantined = this->crashes.Quarantined(now);
  update.control_hosts = this->MemberLinks();
  const auto entries =
      std::count_if(this->followers.begin(), this->followers.end(),
                    [](const std::shared_ptr<Follower>& follower) {
                      return !follower->hello.host.empty();
                    });
  update.entries =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(entries));
  return update;
}

void ControlHost::Push(Follower& follower, const FleetUpdate& common,
                       TimePoint now) {
  if (!common.is_leader) {
    follower.stream->Send(protocol::EncodeFrame(protocol::FrameType::kMessage,
                                                protocol::Encode(common)));
    follower.stream->Finish();
    return;
  }
  const bool is_settled = now >= this->settled_at;
  const bool is_full_due = is_settled && !follower.has_full;
  const bool has_changes = follower.is_first || is_full_due ||
                           follower.sent_revision < this->revision ||
                           follower.sent_config < common.config_version;
  const bool is_load_due = now >= follower.load_sent_at + kLoadEvery;
  if (!has_changes && !is_load_due &&
      now < follower.sent_at + kUpdateAtLeastEvery) {
    return;
  }
  if (follower.stream->unsent_bytes() > kMaxUnsentBytes) {
    return;
  }
  FleetUpdate update = common;
  update.is_full = is_full_due;
  if (follower.sent_config < update.config_version) {
    update.config_text = this->state.text();
    follower.sent_config = update.config_version;
  }
  const std::uint64_t from =
      follower.is_first || is_full_due ? 0 : follower.sent_revision;
  this->targets.CollectChanges(from, update.targets, update.removed_targets);
  this->groups.CollectChanges(from, update.groups, update.removed_groups);
  if (is_load_due) {
    update.in_flight_work = this->SumOpenWork(now);
    follower.load_sent_at = now;
  }
  follower.is_first = false;
  follower.has_full |= is_full_due;
  follower.sent_revision = this->revision;
  follower.sent_at = now;
  follower.stream->Send(protocol::EncodeFrame(protocol::FrameType::kMessage,
                                              protocol::Encode(update)));
}

}  // namespace gooseberryturn::direct
