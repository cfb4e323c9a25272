#include "gooseberryturn/target/monitor.h"

#include <utility>

#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/core/id.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/target/exchange.h"

namespace gooseberryturn::target {

using observe::Level;
using observe::LogEvent;

Monitor::Monitor(boost::asio::io_context& context, Endpoint target,
                 bool is_model)
    : context(context),
      timer(context),
      target(std::move(target)),
      is_model(is_model) {}

void Monitor::Start() { this->Poll(); }

void Monitor::PollLater() {
  this->timer.expires_after(kInterval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Poll();
    }
  });
}

void Monitor::Poll() {
  Request request;
  request.method = "GET";
  request.path = "/health";
  ShortRequest(this->context, this->target, std::move(request),
               Clock::now() + kAnswerLimit,
               [this](const Result<std::string>& result) {
                 if (result.has_value()) {
                   this->Took(*result);
                 } else {
                   this->Missed();
                 }
                 this->PollLater();
               });
}

void Monitor::Took(const std::string& body) {
  const tl::expected<config::Tree, config::Faults> tree =
      config::ParseJson(body);
  if (!tree.has_value()) {
    this->Missed();
    return;
  }
  config::Faults faults;
  config::ObjectReader reader(*tree, "", faults);
  const std::string name = reader.String("boot");
  const bool is_ready = reader.Boolean("ready");
  if (!faults.empty()) {
    this->Missed();
    return;
  }
  this->failures = 0;
  if (name != this->boot) {
    const bool is_restart = !this->boot.empty();
    this->boot = name;
    this->random_boot_id = RandomId();
    this->prepared = 0;
    if (is_restart) {
      LogEvent(Level::kWarn, "", "target_restarted");
    }
    if (this->on_restart) {
      this->on_restart();
    }
  }
  if (this->wanted != this->prepared) {
    this->SendReset();
  }
  this->SetReady(is_ready);
}

void Monitor::Missed() {
  this->failures += 1;
  if (this->failures >= kFailureLimit) {
    this->SetReady(false);
  }
}

void Monitor::ReportFailure() {
  this->failures = kFailureLimit;
  this->SetReady(false);
}

void Monitor::SetReady(bool is_ready) {
  if (is_ready == this->ready) {
    return;
  }
  this->ready = is_ready;
  LogEvent(Level::kInfo, "", is_ready ? "target_ready" : "target_not_ready");
  if (this->on_change) {
    this->on_change();
  }
}

void Monitor::Prepare(std::uint64_t fence) {
  this->wanted = fence;
  if (this->wanted != this->prepared) {
    this->SendReset();
  }
}

void Monitor::SendReset() {
  if (!this->is_model) {
    this->prepared = this->wanted;
    return;
  }
  if (this->is_resetting || this->boot.empty()) {
    return;
  }
  this->is_resetting = true;
  const std::uint64_t fence = this->wanted;
  const std::uint64_t boot_at_reset = this->random_boot_id;
  Request request;
  request.path = "/reset";
  request.fence = fence;
  ShortRequest(this->context, this->target, std::move(request),
               Clock::now() + kAnswerLimit,
               [this, fence, boot_at_reset](const Result<std::string>& result) {
                 this->is_resetting = false;
                 const bool is_done = result.has_value() &&
                                      this->random_boot_id == boot_at_reset;
                 if (is_done) {
                   this->prepared = fence;
                   if (this->on_change) {
                     this->on_change();
                   }
                 }
               });
}

}  // namespace gooseberryturn::target
