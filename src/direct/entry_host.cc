#include "gooseberryturn/direct/entry_host.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/direct/request_flow.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using boost::asio::ip::tcp;
using boost::system::error_code;
using observe::Level;
using observe::LogEvent;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr double kLeastEntries = 8;
constexpr double kBurstShare = 0.9;
constexpr char kMetricsPath[] = "/metrics";

}  // namespace

EntryHost::EntryHost(boost::asio::io_context& context,
                     HostSettings host_settings, Dialect host_dialect,
                     observe::Metrics& metrics)
    : context(context),
      timer(context),
      settings(std::move(host_settings)),
      dialect(std::move(host_dialect)),
      metrics(metrics),
      channels(context),
      follow(context, this->channels, this->settings.ControlLinks()),
      ready_server(
          context,
          [this](const HttpRequest& call, const AsyncHttpServer::Reply& reply) {
            if (call.path == kMetricsPath) {
              reply({kOk, "text/plain; version=0.0.4", this->metrics.Render()});
            } else if (call.path == this->dialect.ready_path) {
              reply({this->IsReady() ? kOk : kUnavailable, "text/plain", ""});
            } else {
              reply({kNotFound, "text/plain", ""});
            }
          }),
      chooser(this->settings.data_centre, RandomId()),
      target_pool(context),
      incarnation(RandomId()),
      random(RandomId()) {}

Result<void> EntryHost::Start() {
  this->follow.make_hello = [this] {
    FollowerHello hello;
    hello.host = this->settings.host;
    hello.data_centre = this->settings.data_centre;
    hello.incarnation = this->incarnation;
    hello.config_version = this->view.version();
    return hello;
  };
  this->follow.on_update = [this](const FleetUpdate& update) {
    this->TakeUpdate(update);
  };
  this->follow.on_lost = [](const std::string& why) {
    LogEvent(Level::kWarn, "", "leader_lost", {{"why", why}});
  };
  Result<tcp::acceptor> opened =
      link::Listen(this->context, *this->settings.caller_endpoint);
  if (!opened.has_value()) {
    return tl::make_unexpected(opened.error());
  }
  this->acceptor = std::make_unique<tcp::acceptor>(std::move(*opened));
  this->Accept();
  this->follow.Start();
  this->Tick();
  return this->ready_server.Start(*this->settings.readiness_endpoint);
}

void EntryHost::Reload(const HostSettings& changed) {
  this->settings.control_hosts = changed.control_hosts;
  this->follow.SetControlHosts(changed.ControlLinks());
}

bool EntryHost::IsReady() const {
  return !this->is_leaving && this->view.version() != 0;
}

void EntryHost::Accept() {
  this->acceptor->async_accept([this](const error_code& error,
                                      tcp::socket socket) {
    if (!this->acceptor->is_open()) {
      return;
    }
    if (!error) {
      const CallerLimits limits =
          this->view.routes() == nullptr
              ? CallerLimits()
              : this->view.routes()->configuration().limits;
      const std::shared_ptr<CallerConnection> caller =
          std::make_shared<CallerConnection>(std::move(socket), limits);
      const std::weak_ptr<CallerConnection> weak = caller;
      caller->on_closed = [this, weak] { this->callers.erase(weak.lock()); };
      caller->on_request = [this](const std::shared_ptr<CallerConnection>& from,
                                  CallerMessage message,
                                  TimePoint received_at) {
        this->OnRequest(from, std::move(message), received_at);
      };
      this->callers.insert(caller);
      caller->Start();
    }
    this->Accept();
  });
}

void EntryHost::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                          CallerMessage message, TimePoint received_at) {
  this->metrics.Add(observe::Metric::kRequests);
  this->has_served = true;
  const std::uint64_t number = this->next_flow++;
  const std::shared_ptr<RequestFlow> flow = std::make_shared<RequestFlow>(
      *this, number, caller, std::move(message), received_at);
  this->flows[number] = flow;
  flow->Start();
}

void EntryHost::RemoveFlow(std::uint64_t number) { this->flows.erase(number); }

routing::RetryBudget& EntryHost::RetryBudgetOf(const std::string& service) {
  // The burst of a service is shared by all entries.
  const double entries = this->SharingEntries();
  return this->budgets
      .emplace(service, routing::RetryBudget(
                            kBurstShare * this->settings.retry_burst / entries))
      .first->second;
}

double EntryHost::SharingEntries() const {
  return std::max<double>(kLeastEntries, this->view.entries());
}

std::size_t EntryHost::MaxIdleConnections(const std::string& service) const {
  const Service* found =
      this->view.routes()->configuration().FindService(service);
  return IdleConnectionLimit(found == nullptr ? 0 : found->max_connections,
                             this->SharingEntries());
}

std::int64_t EntryHost::ViewAgeMs() const {
  return WholeMs(Clock::now() - this->follow.heard_at());
}

void EntryHost::ReportCutOff(CutRequest cut) {
  if (this->cut_requests.size() < kMaxCutRequests) {
    this->cut_requests.push_back(std::move(cut));
  }
}

void EntryHost::TakeUpdate(const FleetUpdate& update) {
  std::shared_ptr<const RouteTable> table;
  if (!update.config_text.empty() &&
      update.config_version > this->view.version()) {
    const Result<Configuration> read =
        this->dialect.read_configuration(update.config_text);
    if (read.has_value()) {
      table = std::make_shared<const RouteTable>(*read);
    }
    LogEvent(read.has_value() ? Level::kInfo : Level::kError, "",
             "configuration_in_force",
             {{"version", std::to_string(update.config_version)},
              {"before", std::to_string(this->view.version())}});
  }
  this->view.Apply(update, std::move(table));
  if (!update.in_flight_work.empty()) {
    this->target_tracker.SetTotals(update.in_flight_work);
  }
  for (const std::string& gone : update.removed_targets) {
    this->target_pool.CloseIdle(gone);
  }
  this->DispatchQueued();
}

void EntryHost::SendReport(TimePoint now) {
  EntryReport report;
  for (const std::string& target : this->target_tracker.StalledTargets(now)) {
    const GroupView* group = this->view.GroupOfHead(target);
    if (group != nullptr) {
      report.stalled_groups.push_back(group->name);
    }
  }
  const bool is_new_stall =
      report.stalled_groups.size() > this->reported_stalls;
  if (now < this->report_at && !is_new_stall) {
    return;
  }
  this->report_at = now + kReportEvery;
  this->reported_stalls = report.stalled_groups.size();
  report.in_flight_work = this->target_tracker.ReportOpenWork();
  report.cut_requests = this->cut_requests;
  report.has_served = this->has_served;
  report.config_version = this->view.version();
  report.model_work = this->demand.Totals();
  if (this->follow.Send(report)) {
    this->cut_requests.clear();
  }
}

void EntryHost::DispatchQueued() {
  if (this->is_trying_waiters || this->wait_queue.size() == 0) {
    return;
  }
  this->is_trying_waiters = true;
  const TimePoint now = Clock::now();
  for (const std::string& lane : this->wait_queue.QueueKeys()) {
    for (const std::uint64_t number :
         this->wait_queue.DispatchOrder(lane, now)) {
      const auto found = this->flows.find(number);
      if (found == this->flows.end()) {
        this->wait_queue.Remove(number);
        continue;
      }
      const std::shared_ptr<RequestFlow> flow = found->second;
      if (!flow->TryDispatch()) {
        break;
      }
    }
  }
  this->is_trying_waiters = false;
}

void EntryHost::Tick() {
  const TimePoint now = Clock::now();
  this->SendReport(now);
  this->target_pool.Expire(now);
  std::vector<std::shared_ptr<RequestFlow>> open;
  open.reserve(this->flows.size());
  for (const auto& entry : this->flows) {
    open.push_back(entry.second);
  }
  for (const std::shared_ptr<RequestFlow>& flow : open) {
    flow->Tick(now);
  }
  for (const std::uint64_t number : this->wait_queue.TakeExpired(now)) {
    const auto found = this->flows.find(number);
    if (found != this->flows.end()) {
      const std::shared_ptr<RequestFlow> flow = found->second;
      flow->GiveUp();
    }
  }
  this->DispatchQueued();
  if (this->is_leaving) {
    this->FollowLeave(now);
  }
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](const error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void EntryHost::Leave(std::function<void()> on_done) {
  const TimePoint now = Clock::now();
  this->is_leaving = true;
  this->on_left = std::move(on_done);
  this->accept_until = now + kAcceptAfterLeave;
  this->leave_until = now + this->settings.grace_period - kLeaveMargin;
  LogEvent(Level::kInfo, "", "leaving",
           {{"open", std::to_string(this->flows.size())}});
}

void EntryHost::FollowLeave(TimePoint now) {
  if (now < this->accept_until || !this->on_left) {
    return;
  }
  if (this->acceptor->is_open()) {
    error_code ignored;
    this->acceptor->close(ignored);
    const std::set<std::shared_ptr<CallerConnection>> open = this->callers;
    for (const std::shared_ptr<CallerConnection>& caller : open) {
      caller->Leave();
    }
  }
  if (now >= this->leave_until) {
    const std::map<std::uint64_t, std::shared_ptr<RequestFlow>> open =
        this->flows;
    for (const auto& entry : open) {
      entry.second->Abort();
    }
  }
  if (this->flows.empty() &&
      (this->callers.empty() || now >= this->leave_until)) {
    std::exchange(this->on_left, nullptr)();
  }
}

}  // namespace gooseberryturn::direct
