#include "gooseberryturn/app/readiness.h"

#include <memory>
#include <utility>

#include "gooseberryturn/app/program.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::app {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(50);
constexpr Duration kFlushDelay = std::chrono::milliseconds(300);
constexpr int kServiceUnavailable = 503;

}  // namespace

ReadinessServer::ReadinessServer(boost::asio::io_context& context,
                                 observe::Metrics& metrics,
                                 std::function<bool()> is_ready)
    : timer(context),
      metrics(metrics),
      is_ready(std::move(is_ready)),
      server([this](const observe::HttpCall& call) {
        return this->Handle(call);
      }) {}

Result<void> ReadinessServer::Start(const Endpoint& endpoint) {
  this->UpdateReadiness();
  return this->server.Start(endpoint);
}

void ReadinessServer::Stop() { this->server.Stop(); }

void ReadinessServer::UpdateReadiness() {
  this->cached_ready = this->is_ready();
  this->timer.expires_after(kPollInterval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->UpdateReadiness();
    }
  });
}

observe::HttpAnswer ReadinessServer::Handle(const observe::HttpCall& call) {
  if (call.path == "/metrics") {
    return {200, "text/plain; version=0.0.4", this->metrics.Render()};
  }
  if (call.path == "/live") {
    return {200, "text/plain", "live\n"};
  }
  if (call.path == "/ready") {
    const bool was_ready = this->cached_ready;
    return {was_ready ? 200 : kServiceUnavailable, "text/plain",
            was_ready ? "ready\n" : "not ready\n"};
  }
  return {404, "text/plain", "no such path\n"};
}

int ReportStartFailure(const Error& error) {
  observe::LogEvent(observe::Level::kError, "", "start_failed",
                    observe::FieldsOf(error));
  return kExitFailure;
}

void StopAfterDelay(boost::asio::io_context& context) {
  const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(context);
  timer->expires_after(kFlushDelay);
  timer->async_wait(
      [timer, &context](const boost::system::error_code&) { context.stop(); });
}

}  // namespace gooseberryturn::app
