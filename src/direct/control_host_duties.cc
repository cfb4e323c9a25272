#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

namespace {

duty::CallOutcome OutcomeOf(const Result<HttpResponse>& response) {
  if (response.has_value()) {
    return duty::OutcomeOfStatus(response->status);
  }
  return response.error().outcome == Outcome::kNotRun
             ? duty::CallOutcome::kNotSent
             : duty::CallOutcome::kUnknown;
}

}  // namespace

void ControlHost::CreateDuties() {
  const std::optional<duty::PlatformSettings>& platform =
      this->settings.platform;
  if (!platform.has_value() || !(platform->reports_usage || platform->scales)) {
    return;
  }
  DutyHooks hooks;
  hooks.propose = [this](const FleetCommand& command,
                         const DutyHooks::OnApplied& on_applied) {
    this->driver->Propose(
        protocol::Encode(command),
        [on_applied](const Result<consensus::Index>& index) {
          on_applied(index.has_value() ? std::optional(*index) : std::nullopt);
        });
  };
  hooks.send = [this](const duty::PlatformCall& call, TimePoint deadline,
                      std::function<bool()> may_send,
                      const DutyHooks::OnOutcome& on_outcome) {
    this->SendToPlatform(call, deadline, std::move(may_send), on_outcome);
  };
  hooks.has_lease = [this](TimePoint now) {
    return this->has_taken_over && this->driver->HasLease(now);
  };
  hooks.unix_ms = &duty::OwnUnixMs;
  hooks.now = &Clock::now;
  this->duties = std::make_unique<DutyRunner>(this->settings.host, *platform,
                                              RandomId(), this->state,
                                              this->metrics, std::move(hooks));
}

void ControlHost::SendToPlatform(const duty::PlatformCall& call,
                                 TimePoint deadline,
                                 std::function<bool()> may_send,
                                 const DutyHooks::OnOutcome& on_outcome) {
  const HttpRequest request = call.duty == duty::Duty::kUsage
                                  ? this->dialect.write_usage_report(call.usage)
                                  : this->dialect.write_scale_order(call.order);
  const HeaderNames& names = this->dialect.headers;
  SendHttpRequest(
      this->context, this->settings.platform->address, request,
      {{names.lease_holder, this->settings.host},
       {names.fence, std::to_string(call.fence)}},
      deadline,
      [on_outcome](const Result<HttpResponse>& response) {
        on_outcome(OutcomeOf(response));
      },
      std::move(may_send));
}

}  // namespace gooseberryturn::direct
