#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kMisdirected = 421;

OrderOutcome ToOrderOutcome(int status) {
  switch (status) {
    case kOk:
      return OrderOutcome::kDone;
    case kAccepted:
      return OrderOutcome::kBegun;
    case kPreconditionFailed:
      return OrderOutcome::kStale;
    case kMisdirected:
      return OrderOutcome::kOtherTarget;
    default:
      return status >= 500 ? OrderOutcome::kNoAnswer : OrderOutcome::kConflict;
  }
}

}  // namespace

void ControlHost::RecordNotices(const TargetIncarnation& incarnation,
                                const Result<HttpResponse>& response) {
  // With status 421 another target has answered.
  const bool is_leaving =
      response.has_value() && response->status != kMisdirected &&
      response->Header(this->dialect.headers.leaving) == kLeavingValue;
  if (!is_leaving || !this->IsLeading()) {
    return;
  }
  const TargetRecord* record = this->registry.Find(incarnation.target);
  const bool is_news = record != nullptr && !record->view.is_leaving &&
                       record->view.start_time_ms == incarnation.start_time_ms;
  if (!is_news) {
    return;
  }
  this->registry.MarkLeaving(incarnation.target, Clock::now());
  this->PublishTarget(incarnation.target);
  this->SchedulePlan();
  this->metrics.Add(observe::Metric::kTargetsLeaving);
  LogEvent(Level::kInfo, "", "target_leaving",
           {{"target", incarnation.target},
            {"status", std::to_string(response->status)}});
}

void ControlHost::SendOrder(const Order& order) {
  const TargetRecord* record = this->registry.Find(order.target);
  if (record == nullptr) {
    return;
  }
  const TimePoint now = Clock::now();
  SendHttpRequest(
      this->context, record->view.address, this->dialect.write_order(order),
      {{this->dialect.headers.target, order.target}}, now + kOrderTimeout,
      [this, order, incarnation = record->view.Incarnation()](
          const Result<HttpResponse>& response) {
        this->RecordNotices(incarnation, response);
        const OrderOutcome outcome = response.has_value()
                                         ? ToOrderOutcome(response->status)
                                         : OrderOutcome::kNoAnswer;
        LogEvent(Level::kInfo, "", "order_given",
                 {{"order", std::string(kOrderKindNames.Name(order.kind))},
                  {"target", order.target},
                  {"group", order.group},
                  {"outcome", std::string(kOrderOutcomeNames.Name(outcome))}});
        if (this->has_taken_over) {
          this->planner.HandleOrderOutcome(order, outcome, Clock::now());
          this->SchedulePlan();
        }
      });
}

std::optional<EngineReport> ControlHost::ReadReport(
    const Result<HttpResponse>& response) const {
  if (!response.has_value() || response->status != kOk) {
    return std::nullopt;
  }
  const Result<EngineReport> report = this->dialect.read_report(response->body);
  return report.has_value() ? std::optional<EngineReport>(*report)
                            : std::nullopt;
}

void ControlHost::ProbeContested(const TargetIncarnation& run,
                                 const Announcement& announcement) {
  const TargetRecord* record = this->registry.Find(run.target);
  if (record == nullptr || !this->contested_targets.insert(run.target).second) {
    return;
  }
  SendHttpRequest(
      this->context, record->view.address, this->dialect.write_report_call(),
      {{this->dialect.headers.target, run.target}},
      Clock::now() + kProbeTimeout,
      [this, run, announcement](const Result<HttpResponse>& response) {
        this->contested_targets.erase(run.target);
        if (!this->IsLeading()) {
          return;
        }
        const bool is_other_target =
            response.has_value() &&
            (response->status == kMisdirected || response->status == kNotFound);
        const RunState state = this->registry.StateOf(
            run, is_other_target, this->ReadReport(response), Clock::now());
        LogEvent(Level::kInfo, "", "run_contested",
                 {{"target", run.target},
                  {"by", announcement.id},
                  {"state", std::string(kRunStateNames.Name(state))}});
        if (state == RunState::kEnded) {
          this->registry.ConfirmEnd(run, Clock::now());
          (void)this->RegisterAnnouncement(announcement);
        }
      });
}

void ControlHost::Probe(const std::string& target) {
  const TargetRecord* record = this->registry.Find(target);
  if (record == nullptr || this->probes_in_flight >= kMaxProbesInFlight) {
    return;
  }
  this->probes_in_flight += 1;
  SendHttpRequest(
      this->context, record->view.address, this->dialect.write_report_call(),
      {{this->dialect.headers.target, target}}, Clock::now() + kProbeTimeout,
      [this, target, incarnation = record->view.Incarnation()](
          const Result<HttpResponse>& response) {
        this->probes_in_flight -= 1;
        this->RecordNotices(incarnation, response);
        const std::optional<EngineReport> report = this->ReadReport(response);
        LogEvent(Level::kInfo, "", "target_probed",
                 {{"target", target},
                  {"answered", report.has_value() ? "true" : "false"}});
        if (this->has_taken_over) {
          const bool is_refused = !response.has_value() &&
                                  response.error().outcome == Outcome::kNotRun;
          this->planner.HandleProbeResult(target, report, is_refused,
                                          Clock::now());
          this->SchedulePlan();
        }
      });
}

}  // namespace gooseberryturn::direct
