#include "gooseberryturn/direct/control_relay.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "gooseberryturn/direct/call_forwarder.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr char kMetricsPath[] = "/metrics";

}  // namespace

ControlRelay::ControlRelay(boost::asio::io_context& context,
                           HostSettings host_settings, Dialect host_dialect,
                           observe::Metrics& metrics)
    : settings(std::move(host_settings)),
      dialect(std::move(host_dialect)),
      metrics(metrics),
      channels(context),
      server(context,
             [this](const HttpRequest& call, AsyncHttpServer::Reply reply) {
               this->OnCall(call, std::move(reply));
             }) {
  this->AddControlHosts(this->settings.ControlLinks());
}

Result<void> ControlRelay::Start() {
  return this->server.Start(*this->settings.control_endpoint);
}

void ControlRelay::Leave(const std::function<void()>& on_left) {
  this->server.Stop(Clock::now() + kLeaveTimeout, on_left);
}

void ControlRelay::Reload(const HostSettings& changed) {
  this->AddControlHosts(changed.ControlLinks());
}

void ControlRelay::AddControlHosts(const std::vector<Endpoint>& links) {
  for (const Endpoint& link : links) {
    const bool is_known =
        std::find(this->control_links.begin(), this->control_links.end(),
                  link) != this->control_links.end();
    if (!is_known && !(link == this->settings.link())) {
      this->control_links.push_back(link);
    }
  }
}

void ControlRelay::OnCall(const HttpRequest& call,
                          AsyncHttpServer::Reply reply) {
  if (call.method == "GET" && call.path == kMetricsPath) {
    reply({kOk, "text/plain; version=0.0.4", this->metrics.Render()});
    return;
  }
  const TimePoint deadline = Clock::now() + kCallTimeout;
  const ForwardHook forward = [this, deadline](const ForwardedCall& forwarded,
                                               OnForwarded on_answer) {
    this->Forward(forwarded, std::move(on_answer), kMaxAttempts, deadline);
  };
  const OnForwarded on_answer =
      [this, call, reply](const std::optional<ForwardedAnswer>& answer) {
        if (answer.has_value()) {
          reply({answer->status, "application/json", answer->body});
        } else {
          this->Refuse(call, reply, "no leader answered");
        }
      };
  if (IsOrder(this->dialect, call)) {
    ForwardOrder(call, reply, deadline, forward, on_answer,
                 [this, call, reply] {
                   this->metrics.Add(observe::Metric::kLateOrders);
                   this->Refuse(call, reply, "the order came late");
                 });
  } else {
    forward(ToForwarded(call), on_answer);
  }
}

void ControlRelay::Refuse(const HttpRequest& call,
                          const AsyncHttpServer::Reply& reply,
                          const std::string& why) const {
  observe::LogEvent(observe::Level::kWarn, "", "call_refused",
                    {{"path", call.path}, {"why", why}});
  reply({kUnavailable, "application/json", this->dialect.write_error(why)});
}

void ControlRelay::Forward(const ForwardedCall& call, OnForwarded on_answer,
                           int attempts_left, TimePoint deadline) {
  const TimePoint now = Clock::now();
  if (attempts_left == 0 || now >= deadline || this->control_links.empty()) {
    on_answer(std::nullopt);
    return;
  }
  const std::size_t attempted = this->preferred % this->control_links.size();
  ForwardCall(
      this->channels, this->control_links[attempted], call,
      std::min(deadline, now + kAttemptTimeout),
      [this, call, on_answer = std::move(on_answer), attempts_left, deadline,
       attempted](const std::optional<ForwardedAnswer>& answer) {
        if (answer.has_value() && answer->status != 0) {
          on_answer(answer);
          return;
        }
        this->preferred = attempted + 1;
        if (answer.has_value()) {
          this->FollowHint(*answer);
        }
        this->Forward(call, on_answer, attempts_left - 1, deadline);
      });
}

void ControlRelay::FollowHint(const ForwardedAnswer& answer) {
  this->AddControlHosts(answer.control_hosts);
  const auto leader = std::find(this->control_links.begin(),
                                this->control_links.end(), answer.leader);
  if (leader != this->control_links.end()) {
    this->preferred =
        static_cast<std::size_t>(leader - this->control_links.begin());
  }
}

}  // namespace gooseberryturn::direct
