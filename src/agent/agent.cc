#include "gooseberryturn/agent/agent.h"

#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::agent {

using observe::Level;
using observe::LogEvent;

namespace {

protocol::Renew MakeSelf(const config::AgentSettings& settings,
                         std::uint64_t incarnation) {
  protocol::Renew self;
  self.role = protocol::Role::kAgent;
  self.host = settings.common.host;
  self.data_centre = settings.common.data_centre;
  self.incarnation = incarnation;
  return self;
}

}  // namespace

Agent::Agent(boost::asio::io_context& context,
             const config::AgentSettings& settings, observe::Metrics& metrics)
    : timer(context),
      settings(settings),
      incarnation(RandomId()),
      channels(context),
      listener(context),
      views(context, this->channels, settings.control,
            MakeSelf(settings, this->incarnation),
            std::chrono::seconds(settings.serve_without_control_s), metrics),
      monitor(context, settings.target, settings.is_model),
      keeper(context, this->channels, this->monitor, settings.common.host,
             this->incarnation),
      runs(context, settings.target, this->monitor, metrics) {
  this->views.make_report = [this] { return this->MakeReport(); };
  this->views.on_change = [this] { this->OnView(); };
  this->monitor.on_change = [this] { this->views.RenewNow(); };
  this->monitor.on_restart = [this] { this->runs.StartCold(); };
  this->keeper.host_state = [this] {
    return HostState{this->views.HasLease(Clock::now()), this->IsLeaving()};
  };
  this->keeper.on_change = [this] { this->OnGroupChange(); };
  this->runs.standing = [this] { return this->MakeStanding(); };
}

Result<void> Agent::Start() {
  this->keeper.Start(this->listener);
  this->runs.Start(this->listener);
  const Result<void> listening = this->listener.Start(this->settings.link);
  if (!listening.has_value()) {
    return listening;
  }
  this->monitor.Start();
  this->views.Start();
  this->Tick();
  return {};
}

bool Agent::IsReady() const {
  return this->views.HasLease(Clock::now()) && this->monitor.is_ready() &&
         !this->IsLeaving();
}

bool Agent::IsLeaving() const {
  return this->is_stopping || this->views.is_drain_requested();
}

// --------------------------------------------------------------------- view

const protocol::Group* Agent::OwnGroup() const {
  for (const auto& entry : this->views.view().groups) {
    for (const protocol::Member& member : entry.second.members) {
      const bool is_self = member.host == this->settings.common.host &&
                           member.incarnation == this->incarnation;
      if (is_self) {
        return &entry.second;
      }
    }
  }
  return nullptr;
}

void Agent::OnView() {
  const auto service = this->views.view().services.find(this->settings.service);
  if (service != this->views.view().services.end()) {
    this->runs.Configure(service->second);
  }
  const bool is_out = this->IsDataCentreOut();
  if (this->was_out && !is_out) {
    // Caches went stale meanwhile: the load ramps up with completed work.
    this->runs.StartCold();
  }
  this->was_out = is_out;
  this->keeper.Assign(this->OwnGroup());
  const std::uint64_t fence = this->keeper.group().fence;
  if (this->served_fence != 0 && fence != this->served_fence) {
    this->runs.CutModelRuns(Reason::kStaleFence, "the group was assigned anew");
  }
  this->served_fence = fence;
}

bool Agent::IsDataCentreOut() const {
  const auto place =
      this->views.view().data_centres.find(this->settings.common.data_centre);
  return place == this->views.view().data_centres.end() || place->second.out;
}

void Agent::OnGroupChange() { this->views.RenewNow(); }

admission::Standing Agent::MakeStanding() const {
  const TimePoint now = Clock::now();
  admission::Standing standing;
  standing.incarnation = this->incarnation;
  standing.has_view = this->views.HasLease(now);
  standing.data_centre_out = this->IsDataCentreOut();
  standing.target_ready = this->monitor.is_ready();
  standing.leaving = this->keeper.IsAnyLeaving();
  if (this->keeper.is_leader()) {
    standing.group = this->keeper.group().name;
    standing.fence = this->keeper.group().fence;
    standing.group_whole = this->keeper.IsWhole(now);
  }
  return standing;
}

protocol::HostReport Agent::MakeReport() const {
  protocol::HostReport report;
  report.service = this->settings.service;
  report.fabric_domain = this->settings.fabric_domain;
  report.link = this->settings.link;
  report.target_ready = this->monitor.is_ready();
  report.leaving = this->IsLeaving();
  report.drained = this->is_drained;
  report.group_serving = this->keeper.IsWhole(Clock::now());
  report.load = this->runs.load();
  return report;
}

// -------------------------------------------------------------------- duties

void Agent::Tick() {
  const TimePoint now = Clock::now();
  const bool is_whole = this->keeper.IsWhole(now);
  if (is_whole != this->was_whole) {
    this->was_whole = is_whole;
    this->cut_at = now + kMissingLimit;
    if (this->keeper.is_leader()) {
      this->runs.HoldAnswers(!is_whole);
    }
  }
  if (!is_whole && this->runs.running() > 0 && now >= this->cut_at) {
    this->runs.CutModelRuns(Reason::kGroupNotWhole,
                            "a member of the group is missing");
  }
  this->CheckDrained(now);
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void Agent::CheckDrained(TimePoint now) {
  const bool is_idle = this->runs.running() == 0;
  if (this->keeper.is_leader() && is_idle && this->keeper.IsAnyLeaving()) {
    this->keeper.ReleaseMembers();
  }
  const bool may_go = this->keeper.is_leader() || this->keeper.IsReleased(now);
  const bool is_done = this->IsLeaving() && is_idle && may_go;
  if (is_done != this->is_drained) {
    this->is_drained = is_done;
    this->views.RenewNow();
  }
  if (is_done && this->is_stopping && this->on_left) {
    const std::function<void()> hook = std::move(this->on_left);
    this->on_left = nullptr;
    this->listener.GoAway();
    hook();
  }
}

void Agent::Leave(std::function<void()> hook) {
  this->is_stopping = true;
  this->on_left = std::move(hook);
  LogEvent(Level::kInfo, "", "leaving",
           {{"running", std::to_string(this->runs.running())}});
  this->views.RenewNow();
}

}  // namespace gooseberryturn::agent
