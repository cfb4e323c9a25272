#include "gooseberryturn/entry/entry.h"

#include <algorithm>
#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::entry {

using observe::Level;
using observe::LogEvent;

namespace {

/// Body limit of connections accepted before the configuration has arrived.
constexpr std::size_t kDefaultMaxBodyBytes = 64U * 1024U * 1024U;

protocol::Renew MakeIdentity(const config::EntrySettings& settings) {
  protocol::Renew identity;
  identity.role = protocol::Role::kEntry;
  identity.host = settings.common.host;
  identity.data_centre = settings.common.data_centre;
  identity.incarnation = RandomId();
  return identity;
}

tl::unexpected<Error> Refuse(Reason reason, Step step,
                             const std::string& message) {
  return tl::make_unexpected(
      Error{reason, step, Outcome::kNotRun, "entry", message});
}

}  // namespace

Entry::Entry(boost::asio::io_context& context,
             const config::EntrySettings& settings, observe::Metrics& metrics)
    : context(context),
      settings(settings),
      metrics(metrics),
      channels(context),
      view_client(
          context, this->channels, settings.control, MakeIdentity(settings),
          std::chrono::seconds(settings.serve_without_control_s), metrics),
      chooser(settings.common.data_centre, settings.routing, RandomId()) {
  this->view_client.on_change = [this] {
    this->chooser.Prune(this->view_client.view());
  };
}

Result<void> Entry::Start() {
  Result<boost::asio::ip::tcp::acceptor> opened =
      link::Listen(this->context, this->settings.callers);
  if (!opened.has_value()) {
    return tl::make_unexpected(opened.error());
  }
  this->acceptor =
      std::make_unique<boost::asio::ip::tcp::acceptor>(std::move(*opened));
  this->view_client.Start();
  this->Accept();
  return {};
}

bool Entry::IsReady() const {
  return !this->is_leaving && this->view_client.HasLease(Clock::now()) &&
         !this->view_client.view().services.empty();
}

CallerLimits Entry::MakeLimits() const {
  std::int64_t max_body = 0;
  for (const auto& service : this->view_client.view().services) {
    max_body = std::max(max_body, service.second.limits.max_body_bytes);
  }
  CallerLimits limits;
  limits.max_header_bytes =
      static_cast<std::size_t>(this->settings.max_header_bytes);
  limits.max_body_bytes =
      max_body == 0 ? kDefaultMaxBodyBytes : static_cast<std::size_t>(max_body);
  limits.header_timeout = Milliseconds(this->settings.header_timeout_ms);
  limits.write_timeout = Milliseconds(this->settings.write_timeout_ms);
  return limits;
}

void Entry::Accept() {
  this->acceptor->async_accept([this](const boost::system::error_code& error,
                                      boost::asio::ip::tcp::socket socket) {
    if (!this->acceptor->is_open()) {
      return;
    }
    const bool has_capacity = this->metrics.Get(observe::Metric::kConnections) <
                              this->settings.max_connections;
    if (!error && has_capacity) {
      const std::shared_ptr<CallerSession> session =
          std::make_shared<CallerSession>(std::move(socket), this->MakeLimits(),
                                          this->metrics);
      session->on_request = [this](const std::shared_ptr<CallerSession>& caller,
                                   const CallerRequest& request) {
        this->OnRequest(caller, request);
      };
      session->on_request_end = [this] { this->OnAnswerWritten(); };
      session->is_closing = [this] { return this->is_leaving; };
      session->Start();
    } else if (!error) {
      this->metrics.CountRefusal(Reason::kOverloaded);
    }
    this->Accept();
  });
}

Result<void> Entry::AdmitRequest(const CallerRequest& request,
                                 const config::Service*& service,
                                 const config::Route*& route) {
  if (this->is_leaving) {
    return Refuse(Reason::kLeaving, Step::kAccept,
                  "this entry is shutting down");
  }
  if (this->view_client.view().services.empty()) {
    return Refuse(Reason::kNoView, Step::kAccept,
                  "this entry has no configuration yet");
  }
  if (request.method != "POST") {
    return Refuse(Reason::kBadRequest, Step::kAccept,
                  "only the POST method is supported");
  }
  for (const auto& named_service : this->view_client.view().services) {
    for (const config::Route& candidate : named_service.second.routes) {
      if (candidate.path == request.path) {
        service = &named_service.second;
        route = &candidate;
      }
    }
  }
  if (route == nullptr) {
    return Refuse(Reason::kNoRoute, Step::kRoute,
                  "no service has a route with the path " + request.path);
  }
  const std::size_t max_body =
      static_cast<std::size_t>(service->limits.max_body_bytes);
  if (request.body.size() > max_body) {
    return Refuse(
        Reason::kTooLarge, Step::kAccept,
        "the body is longer than " + std::to_string(max_body) + " bytes");
  }
  const auto team = this->view_client.view().teams.find(request.team);
  if (team == this->view_client.view().teams.end()) {
    return Refuse(Reason::kUnknownTeam, Step::kAccept,
                  "the Gooseberryturn-Team header does not name a known team");
  }
  return this->team_limiter.Admit(
      team->second, this->view_client.live_entries(), Clock::now());
}

void Entry::OnRequest(const std::shared_ptr<CallerSession>& caller,
                      const CallerRequest& request) {
  this->metrics.Add(observe::Metric::kRequests);
  this->open_answers += 1;
  const config::Service* service = nullptr;
  const config::Route* route = nullptr;
  const Result<void> admitted = this->AdmitRequest(request, service, route);
  if (!admitted.has_value()) {
    LogEvent(Level::kInfo, request.id, "refused",
             observe::FieldsOf(admitted.error()));
    caller->Refuse(admitted.error());
    return;
  }
  this->active_requests += 1;
  this->metrics.Set(observe::Metric::kInFlight, this->active_requests);
  const std::shared_ptr<RequestFlow> flow = std::make_shared<RequestFlow>(
      FlowContext{this->context, this->channels, this->view_client,
                  this->chooser, this->retry_budgets, this->metrics},
      caller, request, *service, *route);
  flow->on_finished = [this, team = request.team] {
    this->OnRequestFinished(team);
  };
  flow->Start();
}

void Entry::OnRequestFinished(const std::string& team) {
  this->team_limiter.Release(team);
  this->active_requests -= 1;
  this->metrics.Set(observe::Metric::kInFlight, this->active_requests);
  this->CheckLeft();
}

void Entry::OnAnswerWritten() {
  this->open_answers -= 1;
  this->CheckLeft();
}

void Entry::CheckLeft() {
  const bool has_left =
      this->is_leaving && this->active_requests == 0 && this->open_answers == 0;
  if (!has_left || !this->on_left) {
    return;
  }
  const std::function<void()> callback = std::move(this->on_left);
  this->on_left = nullptr;
  callback();
}

void Entry::Leave(std::function<void()> callback) {
  this->is_leaving = true;
  LogEvent(Level::kInfo, "", "leaving",
           {{"in_flight", std::to_string(this->active_requests)}});
  this->on_left = std::move(callback);
  this->CheckLeft();
}

}  // namespace gooseberryturn::entry
