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
/// Lower bound for the number of entries that share a limit: a view may name
/// fewer than there are.
constexpr double kMinSharingEntries = 8;
/// Fraction of a retry burst that the entries divide among them.
constexpr double kBurstFraction = 0.9;
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
      follow_client(context, this->channels, this->settings.ControlLinks()),
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
      capacity_learner(RandomId()),
      chooser(this->settings.data_centre, this->settings.host, RandomId()),
      held_bytes(std::make_shared<ByteBudget>(kMaxHeldBytes)),
      target_pool(context),
      incarnation(RandomId()),
      random(RandomId()) {
  if (this->settings.learns_capacity) {
    this->chooser.UseLearntCapacity(this->capacity_learner);
  }
}

Result<void> EntryHost::Start() {
  if (this->settings.platform.has_value() &&
      this->settings.platform->reports_usage) {
    this->usage_meter.emplace(this->settings.platform->usage_window);
  }
  this->follow_client.make_hello = [this] {
    if (this->usage_meter.has_value()) {
      this->usage_meter->ReportAgain();
    }
    FollowerHello hello;
    hello.host = this->settings.host;
    hello.data_centre = this->settings.data_centre;
    hello.incarnation = this->incarnation;
    hello.config_version = this->held_text.version;
    hello.takes_compressed = true;
    return hello;
  };
  this->follow_client.on_update = [this](const FleetUpdate& update) {
    return this->ApplyUpdate(update);
  };
  this->follow_client.on_lost = [](const std::string& why) {
    LogEvent(Level::kWarn, "", "leader_lost", {{"why", why}});
  };
  Result<tcp::acceptor> opened =
      link::Listen(this->context, *this->settings.caller_endpoint);
  if (!opened.has_value()) {
    return tl::make_unexpected(opened.error());
  }
  this->acceptor = std::make_unique<tcp::acceptor>(std::move(*opened));
  this->Accept();
  this->follow_client.Start();
  this->Tick();
  return this->ready_server.Start(*this->settings.readiness_endpoint);
}

void EntryHost::Reload(const HostSettings& changed) {
  this->settings.control_hosts = changed.control_hosts;
  this->follow_client.AddControlHosts(changed.ControlLinks());
}

bool EntryHost::IsTooLateFor(TimePoint deadline) const {
  return this->is_leaving && Clock::now() >= this->accept_deadline &&
         deadline > this->leave_deadline;
}

TimePoint EntryHost::LatestEnd(TimePoint deadline) const {
  return this->is_leaving ? std::min(deadline, this->leave_deadline) : deadline;
}

bool EntryHost::IsReady() const {
  return !this->is_leaving && this->view.version() != 0;
}

CallerLimits EntryHost::LimitsInForce() const {
  return this->view.routes() == nullptr
             ? CallerLimits()
             : this->view.routes()->configuration().limits;
}

void EntryHost::Accept() {
  this->acceptor->async_accept(
      [this](const error_code& error, tcp::socket socket) {
        if (!error) {
          this->AddCaller(std::move(socket));
        }
        if (this->acceptor->is_open()) {
          this->Accept();
        }
      });
}

void EntryHost::AddCaller(tcp::socket socket) {
  const std::shared_ptr<CallerConnection> caller =
      std::make_shared<CallerConnection>(
          std::move(socket), this->LimitsInForce(), this->held_bytes);
  const std::weak_ptr<CallerConnection> weak = caller;
  caller->on_closed = [this, weak](CloseCause cause) {
    this->metrics.CountClose(cause);
    this->callers.erase(weak.lock());
  };
  caller->on_request_after_close = [this, weak] {
    this->metrics.Add(observe::Metric::kRequestsAfterClose);
    LogEvent(Level::kError, "", "request_after_close",
             {{"idle_ms", std::to_string(WholeMs(weak.lock()->IdleTime()))}});
  };
  caller->on_close_not_reported = [this](CloseCause cause) {
    this->metrics.Add(observe::Metric::kClosesNotReported);
    LogEvent(Level::kError, "", "close_not_reported",
             {{"cause", std::string(kCloseCauseNames.Name(cause))}});
  };
  caller->on_memory_full = [this] {
    this->metrics.Add(observe::Metric::kMemoryFull);
  };
  caller->on_request = [this](const std::shared_ptr<CallerConnection>& from,
                              CallerMessage message, TimePoint received_at) {
    this->OnRequest(from, std::move(message), received_at);
  };
  if (this->is_leaving) {
    caller->EndKeepAlive();
  }
  this->callers.insert(caller);
  caller->Start();
}

void EntryHost::CloseAcceptor() {
  if (!this->acceptor->is_open()) {
    return;
  }
  // Closing it would reset the connections that wait in the kernel's queue.
  error_code error;
  this->acceptor->non_blocking(true, error);
  while (!error) {
    tcp::socket socket(this->context);
    this->acceptor->accept(socket, error);
    if (!error) {
      this->AddCaller(std::move(socket));
    }
  }
  this->acceptor->close(error);
}

void EntryHost::OnRequest(const std::shared_ptr<CallerConnection>& caller,
                          CallerMessage message, TimePoint received_at) {
  this->metrics.Add(observe::Metric::kRequests);
  this->has_received_request = true;
  const std::uint64_t flow_id = this->next_flow_id++;
  const std::shared_ptr<RequestFlow> flow = std::make_shared<RequestFlow>(
      *this, flow_id, caller, std::move(message), received_at);
  this->flows[flow_id] = flow;
  flow->Start();
}

void EntryHost::RemoveFlow(std::uint64_t flow_id) {
  this->flows.erase(flow_id);
}

routing::RetryBudget& EntryHost::RetryBudgetOf(const std::string& service) {
  // The burst limit of a service applies to all entries together.
  const double entries = this->EntriesSharingLimits();
  return this->retry_budgets
      .emplace(service,
               routing::RetryBudget(kBurstFraction *
                                    this->settings.retry_burst / entries))
      .first->second;
}

double EntryHost::EntriesSharingLimits() const {
  return std::max<double>(kMinSharingEntries, this->view.entries());
}

std::size_t EntryHost::MaxIdleConnections(const std::string& service) const {
  const Service* found =
      this->view.routes()->configuration().FindService(service);
  return IdleConnectionLimit(found == nullptr ? 0 : found->max_connections,
                             this->EntriesSharingLimits());
}

std::int64_t EntryHost::ViewAgeMs() const {
  return WholeMs(Clock::now() - this->follow_client.last_heard_at());
}

TargetLife EntryHost::LifeOf(const TargetIncarnation& target,
                             TimePoint now) const {
  const TargetView* known = this->view.FindTarget(target.target);
  if (known == nullptr || known->start_time_ms != target.start_time_ms) {
    return TargetLife::kEnded;
  }
  const bool is_plain = known->engine.domain.empty();
  if (!is_plain && this->view.GroupOfHead(target.target) == nullptr) {
    return TargetLife::kEnded;
  }
  return this->target_tracker.IsStalled(target.target, now)
             ? TargetLife::kUnknown
             : TargetLife::kAlive;
}

void EntryHost::SettleAnswers(TimePoint now) {
  std::vector<CutRequest> cut = this->answered_contents.Settle(
      now, [this, now](const TargetIncarnation& target) {
        return this->LifeOf(target, now);
      });
  for (CutRequest& request : cut) {
    this->cut_reports.Add(std::move(request), now);
  }
}

bool EntryHost::IsOutOfTouch(TimePoint now) const {
  return now >= this->follow_client.last_heard_at() + kHeldTime;
}

bool EntryHost::TakeTrial(const HeldContent& held) {
  std::uint64_t& taken = this->taken_trials[held.content];
  if (held.trial_entry != this->settings.host || taken == held.trial_number) {
    return false;
  }
  taken = held.trial_number;
  return true;
}

void EntryHost::ForgetTrials() {
  for (auto trial = this->taken_trials.begin();
       trial != this->taken_trials.end();) {
    const bool is_held = this->view.FindHeld(trial->first) != nullptr;
    trial = is_held ? std::next(trial) : this->taken_trials.erase(trial);
  }
}

void EntryHost::RecheckContents() {
  if (!this->view.HasSuspects()) {
    return;
  }
  const TimePoint now = Clock::now();
  const std::map<std::uint64_t, std::shared_ptr<RequestFlow>> open =
      this->flows;
  for (const auto& entry : open) {
    entry.second->RecheckContents(now);
  }
}

void EntryHost::DispatchQueued() {
  if (this->is_dispatching_queued || this->wait_queue.size() == 0) {
    return;
  }
  this->is_dispatching_queued = true;
  const TimePoint now = Clock::now();
  for (const std::string& queue_key : this->wait_queue.QueueKeys()) {
    std::set<std::uint64_t> tried;
    std::optional<std::uint64_t> next =
        this->wait_queue.Next(queue_key, now, tried);
    while (next.has_value() && this->TryDispatchQueued(*next)) {
      tried.insert(*next);
      next = this->wait_queue.Next(queue_key, now, tried);
    }
  }
  this->is_dispatching_queued = false;
}

bool EntryHost::TryDispatchQueued(std::uint64_t flow_id) {
  const auto found = this->flows.find(flow_id);
  if (found == this->flows.end()) {
    this->wait_queue.Remove(flow_id);
    return true;
  }
  const std::shared_ptr<RequestFlow> flow = found->second;
  // One that moves to another target must not hold up those behind it.
  return flow->TryDispatch() || flow->IsMoving();
}

void EntryHost::RecordLoopDelay(TimePoint now) {
  if (this->next_tick_at == TimePoint()) {
    return;
  }
  const Duration delay = std::max(Duration(0), now - this->next_tick_at);
  this->metrics.Observe(observe::Timing::kLoopDelay, delay);
  if (delay >= kLongLoopDelay) {
    LogEvent(Level::kInfo, "", "event_loop_late",
             {{"ms", std::to_string(WholeMs(delay))},
              {"open", std::to_string(this->flows.size())},
              {"config_version", std::to_string(this->view.version())}});
  }
}

void EntryHost::Tick() {
  const TimePoint now = Clock::now();
  this->RecordLoopDelay(now);
  this->SettleAnswers(now);
  this->SendReport(now);
  this->target_pool.Expire(now);
  this->early_retries.Expire(now);
  std::vector<std::shared_ptr<RequestFlow>> open;
  open.reserve(this->flows.size());
  for (const auto& entry : this->flows) {
    open.push_back(entry.second);
  }
  for (const std::shared_ptr<RequestFlow>& flow : open) {
    flow->Tick(now);
  }
  for (const std::uint64_t flow_id : this->wait_queue.TakeExpired(now)) {
    const auto found = this->flows.find(flow_id);
    if (found != this->flows.end()) {
      const std::shared_ptr<RequestFlow> flow = found->second;
      flow->OnQueueExpired();
    }
  }
  this->DispatchQueued();
  if (this->is_leaving) {
    this->AdvanceLeave(now);
  }
  this->next_tick_at = Clock::now() + kTickInterval;
  this->timer.expires_after(kTickInterval);
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
  this->accept_deadline = now + kAcceptTimeAfterLeave;
  this->leave_deadline = now + this->settings.grace_period - kLeaveMargin;
  LogEvent(Level::kInfo, "", "leaving",
           {{"open", std::to_string(this->flows.size())}});
  for (const std::shared_ptr<CallerConnection>& caller : this->callers) {
    caller->EndKeepAlive();
  }
}

void EntryHost::AdvanceLeave(TimePoint now) {
  if (now < this->accept_deadline || !this->on_left) {
    return;
  }
  const std::set<std::shared_ptr<CallerConnection>> open_callers =
      this->callers;
  for (const std::shared_ptr<CallerConnection>& caller : open_callers) {
    caller->CloseIfIdle(now);
  }
  const bool is_time_up = now >= this->leave_deadline;
  if (is_time_up) {
    const std::map<std::uint64_t, std::shared_ptr<RequestFlow>> open =
        this->flows;
    for (const auto& entry : open) {
      entry.second->Abort();
    }
  }
  if (!this->flows.empty()) {
    return;
  }
  this->CloseAcceptor();
  if (this->callers.empty() || is_time_up) {
    std::exchange(this->on_left, nullptr)();
  }
}

}  // namespace gooseberryturn::direct
