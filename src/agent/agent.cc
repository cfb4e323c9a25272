#include "gooseberryturn/agent/agent.h"

#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::agent {

using observe::Level;
using observe::LogEvent;

namespace {

protocol::Renew MakeIdentity(const config::AgentSettings& settings,
                             std::uint64_t incarnation) {
  protocol::Renew identity;
  identity.role = protocol::Role::kAgent;
  identity.host = settings.common.host;
  identity.data_centre = settings.common.data_centre;
  identity.incarnation = incarnation;
  return identity;
}

}  // namespace

Agent::Agent(boost::asio::io_context& context,
             const config::AgentSettings& settings, observe::Metrics& metrics)
    : timer(context),
      settings(settings),
      incarnation(RandomId()),
      channels(context),
      listener(context),
      view_client(context, this->channels, settings.control,
                  MakeIdentity(settings, this->incarnation),
                  std::chrono::seconds(settings.serve_without_control_s),
                  metrics),
      monitor(context, settings.target, settings.is_model),
      lease_manager(context, this->channels, this->monitor,
                    settings.common.host, this->incarnation),
      executor(context, settings.target, this->monitor, metrics) {
  this->view_client.make_report = [this] { return this->MakeReport(); };
  this->view_client.on_change = [this] { this->OnViewChange(); };
  this->monitor.on_change = [this] { this->view_client.RenewNow(); };
  this->monitor.on_restart = [this] { this->executor.StartCold(); };
  this->lease_manager.host_state = [this] {
    return HostState{this->view_client.HasLease(Clock::now()),
                     this->IsLeaving()};
  };
  this->lease_manager.on_change = [this] { this->OnWholeChange(); };
  this->executor.agent_state = [this] { return this->MakeAgentState(); };
}

Result<void> Agent::Start() {
  this->lease_manager.Start(this->listener);
  this->executor.Start(this->listener);
  const Result<void> listening = this->listener.Start(this->settings.link);
  if (!listening.has_value()) {
    return listening;
  }
  this->monitor.Start();
  this->view_client.Start();
  this->Tick();
  return {};
}

bool Agent::IsReady() const {
  return this->view_client.HasLease(Clock::now()) && this->monitor.is_ready() &&
         !this->IsLeaving();
}

bool Agent::IsLeaving() const {
  return this->is_stopping || this->view_client.is_drain_requested();
}

// --------------------------------------------------------------------- view

const protocol::Group* Agent::FindOwnGroup() const {
  for (const auto& named_group : this->view_client.view().groups) {
    for (const protocol::Member& member : named_group.second.members) {
      const bool is_self = member.host == this->settings.common.host &&
                           member.incarnation == this->incarnation;
      if (is_self) {
        return &named_group.second;
      }
    }
  }
  return nullptr;
}

void Agent::OnViewChange() {
  const auto service =
      this->view_client.view().services.find(this->settings.service);
  if (service != this->view_client.view().services.end()) {
    this->executor.Configure(service->second);
  }
  const bool is_data_centre_out = this->IsDataCentreOut();
  if (this->was_data_centre_out && !is_data_centre_out) {
    // The target's caches became stale in the meantime: the limit starts low
    // and rises as requests complete.
    this->executor.StartCold();
  }
  this->was_data_centre_out = is_data_centre_out;
  this->lease_manager.Assign(this->FindOwnGroup());
  const std::uint64_t fence = this->lease_manager.group().fence;
  if (this->last_fence != 0 && fence != this->last_fence) {
    this->executor.AbortModelRequests(Reason::kStaleFence,
                                      "the assignment of the group changed");
  }
  this->last_fence = fence;
}

bool Agent::IsDataCentreOut() const {
  const auto data_centre = this->view_client.view().data_centres.find(
      this->settings.common.data_centre);
  return data_centre == this->view_client.view().data_centres.end() ||
         data_centre->second.out;
}

void Agent::OnWholeChange() { this->view_client.RenewNow(); }

admission::AgentState Agent::MakeAgentState() const {
  const TimePoint now = Clock::now();
  admission::AgentState state;
  state.incarnation = this->incarnation;
  state.has_view = this->view_client.HasLease(now);
  state.data_centre_out = this->IsDataCentreOut();
  state.target_ready = this->monitor.is_ready();
  state.leaving = this->lease_manager.IsAnyLeaving();
  if (this->lease_manager.is_leader()) {
    state.group = this->lease_manager.group().name;
    state.fence = this->lease_manager.group().fence;
    state.group_whole = this->lease_manager.IsWhole(now);
  }
  return state;
}

protocol::HostReport Agent::MakeReport() const {
  protocol::HostReport report;
  report.service = this->settings.service;
  report.fabric_domain = this->settings.fabric_domain;
  report.link = this->settings.link;
  report.target_ready = this->monitor.is_ready();
  report.leaving = this->IsLeaving();
  report.drained = this->is_drained;
  report.group_serving = this->lease_manager.IsWhole(Clock::now());
  report.load = this->executor.load();
  return report;
}

// ------------------------------------------------------------ periodic checks

void Agent::Tick() {
  const TimePoint now = Clock::now();
  const bool is_whole = this->lease_manager.IsWhole(now);
  if (is_whole != this->was_whole) {
    this->was_whole = is_whole;
    this->abort_at = now + kMissingMemberTimeout;
  }
  // Leadership can end while the group is not whole.
  this->executor.PauseAnswers(this->lease_manager.is_leader() && !is_whole);
  if (!is_whole && this->executor.running() > 0 && now >= this->abort_at) {
    this->executor.AbortModelRequests(Reason::kGroupNotWhole,
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
  const bool is_idle = this->executor.running() == 0;
  if (this->lease_manager.is_leader() && is_idle &&
      this->lease_manager.IsAnyLeaving()) {
    this->lease_manager.ReleaseMembers();
  }
  const bool may_leave =
      this->lease_manager.is_leader() || this->lease_manager.IsReleased(now);
  const bool is_now_drained = this->IsLeaving() && is_idle && may_leave &&
                              !this->executor.HasUnsentAnswer(now);
  if (is_now_drained != this->is_drained) {
    this->is_drained = is_now_drained;
    this->view_client.RenewNow();
  }
  if (is_now_drained && this->is_stopping && this->on_left) {
    const std::function<void()> callback = std::move(this->on_left);
    this->on_left = nullptr;
    this->listener.GoAway();
    callback();
  }
}

void Agent::Leave(std::function<void()> callback) {
  this->is_stopping = true;
  this->on_left = std::move(callback);
  LogEvent(Level::kInfo, "", "leaving",
           {{"running", std::to_string(this->executor.running())}});
  this->view_client.RenewNow();
}

}  // namespace gooseberryturn::agent
