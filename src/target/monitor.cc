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
                 bool is_model_engine)
    : context(context),
      timer(context),
      target(std::move(target)),
      is_model_engine(is_model_engine) {}

void Monitor::Start() { this->Poll(); }

void Monitor::SchedulePoll() {
  this->timer.expires_after(kPollInterval);
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
  SendShortRequest(this->context, this->target, std::move(request),
                   Clock::now() + kRequestTimeout,
                   [this](const Result<std::string>& result) {
                     if (result.has_value()) {
                       this->HandleHealth(*result);
                     } else {
                       this->HandlePollFailure();
                     }
                     this->SchedulePoll();
                   });
}

void Monitor::HandleHealth(const std::string& body) {
  const tl::expected<config::JsonValue, config::Faults> tree =
      config::ParseJson(body);
  if (!tree.has_value()) {
    this->HandlePollFailure();
    return;
  }
  config::Faults faults;
  config::ObjectReader reader(*tree, "", faults);
  const std::string new_boot_name = reader.String("boot");
  const bool is_ready = reader.Boolean("ready");
  if (!faults.empty()) {
    this->HandlePollFailure();
    return;
  }
  this->consecutive_failures = 0;
  this->SetBoot(new_boot_name);
  if (this->requested_fence != this->completed_fence) {
    this->SendReset();
  }
  this->SetReady(is_ready);
}

void Monitor::ObserveBoot(const std::string& name) {
  if (!name.empty() && !this->boot_name.empty()) {
    this->SetBoot(name);
  }
}

void Monitor::SetBoot(const std::string& name) {
  if (name == this->boot_name) {
    return;
  }
  const bool is_restart = !this->boot_name.empty();
  this->boot_name = name;
  this->random_boot_id = RandomId();
  this->completed_fence = 0;
  if (is_restart) {
    LogEvent(Level::kWarn, "", "target_restarted");
  }
  if (this->on_restart) {
    this->on_restart();
  }
}

void Monitor::HandlePollFailure() {
  this->consecutive_failures += 1;
  if (this->consecutive_failures >= kMaxConsecutiveFailures) {
    this->SetReady(false);
  }
}

void Monitor::ReportFailure() {
  this->consecutive_failures = kMaxConsecutiveFailures;
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
  this->requested_fence = fence;
  if (this->requested_fence != this->completed_fence) {
    this->SendReset();
  }
}

void Monitor::SendReset() {
  if (!this->is_model_engine) {
    this->completed_fence = this->requested_fence;
    return;
  }
  if (this->is_resetting || this->boot_name.empty()) {
    return;
  }
  this->is_resetting = true;
  const std::uint64_t fence = this->requested_fence;
  const std::uint64_t boot_id_at_reset = this->random_boot_id;
  Request request;
  request.path = "/reset";
  request.fence = fence;
  SendShortRequest(
      this->context, this->target, std::move(request),
      Clock::now() + kRequestTimeout,
      [this, fence, boot_id_at_reset](const Result<std::string>& result) {
        this->is_resetting = false;
        const bool is_reset_done =
            result.has_value() && this->random_boot_id == boot_id_at_reset;
        if (is_reset_done) {
          this->completed_fence = fence;
          if (this->on_change) {
            this->on_change();
          }
        }
      });
}

}  // namespace gooseberryturn::target
