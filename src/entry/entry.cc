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

/// Bodies above this are cut off before the route is known.
constexpr std::size_t kMaxBodyBytes = 64U * 1024U * 1024U;

protocol::Renew MakeSelf(const config::EntrySettings& settings) {
  protocol::Renew self;
  self.role = protocol::Role::kEntry;
  self.host = settings.common.host;
  self.data_centre = settings.common.data_centre;
  self.incarnation = RandomId();
  return self;
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
      views(context, this->channels, settings.control, MakeSelf(settings),
            std::chrono::seconds(settings.serve_without_control_s), metrics),
      chooser(settings.common.data_centre, settings.routing, RandomId()) {
  this->views.on_change = [this] { this->chooser.Prune(this->views.view()); };
}

Result<void> Entry::Start() {
  Result<boost::asio::ip::tcp::acceptor> opened =
      link::Listen(this->context, this->settings.callers);
  if (!opened.has_value()) {
    return tl::make_unexpected(opened.error());
  }
  this->acceptor =
      std::make_unique<boost::asio::ip::tcp::acceptor>(std::move(*opened));
  this->views.Start();
  this->Accept();
  return {};
}

bool Entry::IsReady() const {
  return !this->is_leaving && this->views.HasLease(Clock::now()) &&
         !this->views.view().services.empty();
}

CallerLimits Entry::MakeLimits() const {
  std::int64_t body = 0;
  for (const auto& service : this->views.view().services) {
    body = std::max(body, service.second.limits.max_body_bytes);
  }
  CallerLimits limits;
  limits.max_header_bytes =
      static_cast<std::size_t>(this->settings.max_header_bytes);
  limits.max_body_bytes =
      body == 0 ? kMaxBodyBytes : static_cast<std::size_t>(body);
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
    const bool has_room = this->metrics.Get(observe::Metric::kConnections) <
                          this->settings.max_connections;
    if (!error && has_room) {
      const std::shared_ptr<CallerSession> session =
          std::make_shared<CallerSession>(std::move(socket), this->MakeLimits(),
                                          this->metrics);
      session->on_request = [this](const std::shared_ptr<CallerSession>& caller,
                                   const CallerRequest& request) {
        this->OnRequest(caller, request);
      };
      session->is_closing = [this] { return this->is_leaving; };
      session->Start();
    } else if (!error) {
      this->metrics.CountRefusal(Reason::kOverloaded);
    }
    this->Accept();
  });
}

Result<void> Entry::Check(const CallerRequest& request,
                          const config::Service*& service,
                          const config::Route*& route) {
  if (this->is_leaving) {
    return Refuse(Reason::kLeaving, Step::kAccept, "this entry is leaving");
  }
  if (this->views.view().services.empty()) {
    return Refuse(Reason::kNoView, Step::kAccept,
                  "this entry has no configuration yet");
  }
  if (request.method != "POST") {
    return Refuse(Reason::kBadRequest, Step::kAccept, "only POST is served");
  }
  for (const auto& entry : this->views.view().services) {
    for (const config::Route& candidate : entry.second.routes) {
      if (candidate.path == request.path) {
        service = &entry.second;
        route = &candidate;
      }
    }
  }
  if (route == nullptr) {
    return Refuse(Reason::kNoRoute, Step::kRoute,
                  "no service has the path " + request.path);
  }
  const std::size_t max_body =
      static_cast<std::size_t>(service->limits.max_body_bytes);
  if (request.body.size() > max_body) {
    return Refuse(
        Reason::kTooLarge, Step::kAccept,
        "the body is longer than " + std::to_string(max_body) + " bytes");
  }
  const auto team = this->views.view().teams.find(request.team);
  if (team == this->views.view().teams.end()) {
    return Refuse(Reason::kUnknownTeam, Step::kAccept,
                  "the header Gooseberryturn-Team names no known team");
  }
  return this->teams.Admit(team->second, this->views.entries(), Clock::now());
}

void Entry::OnRequest(const std::shared_ptr<CallerSession>& caller,
                      const CallerRequest& request) {
  this->metrics.Add(observe::Metric::kRequests);
  const config::Service* service = nullptr;
  const config::Route* route = nullptr;
  const Result<void> checked = this->Check(request, service, route);
  if (!checked.has_value()) {
    LogEvent(Level::kInfo, request.id, "refused",
             observe::FieldsOf(checked.error()));
    caller->Refuse(checked.error());
    return;
  }
  this->active += 1;
  this->metrics.Set(observe::Metric::kInFlight, this->active);
  const std::shared_ptr<RequestFlow> flow = std::make_shared<RequestFlow>(
      FlowContext{this->context, this->channels, this->views, this->chooser,
                  this->budgets, this->metrics},
      caller, request, *service, *route);
  flow->on_over = [this, team = request.team] { this->OnOver(team); };
  flow->Start();
}

void Entry::OnOver(const std::string& team) {
  this->teams.Release(team);
  this->active -= 1;
  this->metrics.Set(observe::Metric::kInFlight, this->active);
  if (this->is_leaving && this->active == 0 && this->on_left) {
    const std::function<void()> hook = std::move(this->on_left);
    this->on_left = nullptr;
    hook();
  }
}

void Entry::Leave(std::function<void()> hook) {
  this->is_leaving = true;
  LogEvent(Level::kInfo, "", "leaving",
           {{"in_flight", std::to_string(this->active)}});
  if (this->active == 0) {
    hook();
    return;
  }
  this->on_left = std::move(hook);
}

}  // namespace gooseberryturn::entry
