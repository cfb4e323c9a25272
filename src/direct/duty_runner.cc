#include "gooseberryturn/direct/duty_runner.h"

#include <algorithm>
#include <utility>

#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using duty::CallOutcome;
using observe::Level;
using observe::LogEvent;
using observe::Metric;

namespace {

std::uint64_t RequestsIn(const duty::TeamCounts& counts) {
  std::uint64_t requests = 0;
  for (const std::pair<const std::string, std::uint64_t>& team : counts) {
    requests += team.second;
  }
  return requests;
}

/// What a call is about, for the log.
std::string SubjectOf(const duty::PlatformCall& call) {
  return call.duty == duty::Duty::kUsage
             ? "window " + std::to_string(call.usage.window)
             : call.order.service + " in " + call.order.data_centre + " to " +
                   std::to_string(call.order.targets);
}

}  // namespace

DutyRunner::DutyRunner(std::string host, const duty::PlatformSettings& settings,
                       std::uint64_t seed, const FleetState& state,
                       observe::Metrics& metrics, DutyHooks hooks)
    : host(std::move(host)),
      settings(settings),
      state(state),
      metrics(metrics),
      hooks(std::move(hooks)),
      lease(settings.lease_time),
      ledger(settings),
      queue(settings.calls_per_s, seed) {}

void DutyRunner::StartLeading(TimePoint now) {
  this->leadership += 1;
  this->lease.StartLeading();
  this->clock.StartLeading(now);
  this->ledger.StartLeading(now);
  this->queue.StartLeading();
  this->last_tick_at = now;
  this->next_totals_at = now;
  this->is_proposing_totals = false;
  this->is_proposing_window = false;
  this->is_proposing_acknowledgement = false;
}

void DutyRunner::StopLeading() {
  this->metrics.Set(Metric::kUsageWindowsWaiting, 0);
}

void DutyRunner::Tick(TimePoint now) {
  if (now >= this->last_tick_at + kMaxTickGap) {
    this->ledger.CollectAgain(now);
  }
  this->last_tick_at = now;
  this->clock.Record(this->host, this->hooks.unix_ms(), now);
  this->ProposeToken(now);
  const std::optional<std::int64_t> unix_ms = this->clock.UnixMs(now);
  if (this->settings.reports_usage && unix_ms.has_value()) {
    this->ledger.Expire(this->state.usage(), *unix_ms, now);
    this->ProposeTotals(now);
    this->ProposeClosed(*unix_ms, now);
    this->ProposeAcknowledged();
  }
  this->MakeCalls(now);
  this->ExportCounters();
}

void DutyRunner::RecordReport(const FollowerHello& hello,
                              const EntryReport& report, TimePoint now) {
  this->clock.Record(hello.host, report.unix_ms, now);
  if (this->settings.reports_usage) {
    this->ledger.RecordReport({hello.host, hello.incarnation}, report.usage,
                              now);
  }
}

std::int64_t DutyRunner::UnixMs(TimePoint now) {
  return this->settings.reports_usage ? this->clock.UnixMs(now).value_or(0) : 0;
}

void DutyRunner::SetScaleTargets(const std::vector<duty::ScaleOrder>& orders) {
  if (this->settings.scales) {
    this->queue.SetScaleTargets(orders);
  }
}

void DutyRunner::ProposeToken(TimePoint now) {
  if (!this->lease.IsTokenDue(now)) {
    return;
  }
  const duty::Holder& last = this->state.duty_holder();
  this->lease.RecordProposed(last.fence);
  FleetCommand command;
  command.kind = FleetCommandKind::kTakeDuties;
  command.duty_host = this->host;
  this->hooks.propose(command, [this, last, proposed_in = this->leadership](
                                   std::optional<consensus::Index> index) {
    if (proposed_in != this->leadership) {
      return;
    }
    if (!index.has_value()) {
      this->lease.RecordProposalFailed();
      return;
    }
    this->lease.RecordAcquired(*index, this->hooks.now());
    LogEvent(Level::kInfo, "", "duties_taken",
             {{"fence", std::to_string(*index)},
              {"last_holder", last.host},
              {"last_fence", std::to_string(last.fence)}});
  });
}

void DutyRunner::ProposeUsage(const FleetCommand& command, bool& is_open,
                              std::function<void()> on_applied) {
  is_open = true;
  this->hooks.propose(command, [this, &is_open, proposed_in = this->leadership,
                                on_applied = std::move(on_applied)](
                                   std::optional<consensus::Index> index) {
    if (proposed_in != this->leadership) {
      return;
    }
    is_open = false;
    if (index.has_value()) {
      on_applied();
    }
  });
}

void DutyRunner::ProposeTotals(TimePoint now) {
  if (this->is_proposing_totals || now < this->next_totals_at) {
    return;
  }
  this->next_totals_at = now + kTotalsInterval;
  FleetCommand command;
  command.kind = FleetCommandKind::kAddUsage;
  command.usage.totals =
      this->ledger.TotalsToLog(this->state.usage(), this->host, now);
  if (!command.usage.totals.empty()) {
    this->ProposeUsage(command, this->is_proposing_totals, [] {});
  }
}

void DutyRunner::ProposeClosed(std::int64_t unix_ms, TimePoint now) {
  if (this->is_proposing_window) {
    return;
  }
  const std::optional<duty::UsageReport> closed =
      this->ledger.NextClosed(this->state.usage(), unix_ms, now);
  if (!closed.has_value()) {
    return;
  }
  FleetCommand command;
  command.kind = FleetCommandKind::kCloseUsage;
  command.usage.window = closed->window;
  command.usage.counts = closed->counts;
  const duty::WindowCounts& waiting = this->state.usage().unacknowledged();
  const std::optional<std::int64_t> dropped =
      waiting.size() >= duty::UsageRecord::kMaxReports
          ? std::optional<std::int64_t>(waiting.begin()->first)
          : std::nullopt;
  this->ProposeUsage(command, this->is_proposing_window,
                     [this, closed = *closed, dropped] {
                       this->RecordClosed(closed, dropped);
                     });
}

void DutyRunner::RecordClosed(const duty::UsageReport& closed,
                              std::optional<std::int64_t> dropped) {
  this->metrics.Add(Metric::kUsageWindowsClosed);
  if (dropped.has_value()) {
    this->metrics.Add(Metric::kUsageWindowsDropped);
    LogEvent(Level::kError, "", "usage_window_dropped",
             {{"window", std::to_string(*dropped)}});
  }
  LogEvent(Level::kInfo, "", "usage_window_closed",
           {{"window", std::to_string(closed.window)},
            {"teams", std::to_string(closed.counts.size())},
            {"requests", std::to_string(RequestsIn(closed.counts))}});
}

void DutyRunner::ProposeAcknowledged() {
  const duty::WindowCounts& waiting = this->state.usage().unacknowledged();
  const bool is_acknowledged =
      !waiting.empty() &&
      waiting.begin()->first <= this->queue.acknowledged_window();
  if (!is_acknowledged || this->is_proposing_acknowledgement) {
    return;
  }
  FleetCommand command;
  command.kind = FleetCommandKind::kAcknowledgeUsage;
  command.usage.window = waiting.begin()->first;
  this->ProposeUsage(command, this->is_proposing_acknowledgement, [] {});
}

std::optional<std::uint64_t> DutyRunner::Fence(TimePoint now) const {
  return this->lease.Fence(this->hooks.has_lease(now),
                           this->state.duty_holder().fence, now);
}

void DutyRunner::MakeCalls(TimePoint now) {
  const duty::WindowCounts none;
  const duty::WindowCounts& reports = this->settings.reports_usage
                                          ? this->state.usage().unacknowledged()
                                          : none;
  std::optional<std::uint64_t> fence = this->Fence(now);
  while (fence.has_value()) {
    const std::optional<duty::PlatformCall> call =
        this->queue.TakeNext(reports, *fence, now);
    if (!call.has_value()) {
      break;
    }
    this->Send(*call, now);
    fence = this->Fence(now);
  }
  if (fence.has_value()) {
    this->lease.Renew(this->queue.FenceToExceed(*fence));
  }
}

void DutyRunner::Send(const duty::PlatformCall& call, TimePoint now) {
  this->metrics.Add(Metric::kPlatformCalls);
  const TimePoint deadline =
      now + std::clamp<Duration>(this->settings.lease_time, kMinCallTimeout,
                                 kCallTimeout);
  this->hooks.send(
      call, deadline,
      [this, fence = call.fence, deadline] {
        const TimePoint at = this->hooks.now();
        return at < deadline && this->Fence(at) == fence;
      },
      [this, call, sent_in = this->leadership](CallOutcome outcome) {
        LogEvent(
            outcome == CallOutcome::kAcknowledged ? Level::kInfo : Level::kWarn,
            "", "platform_call",
            {{"duty", std::string(duty::kDutyNames.Name(call.duty))},
             {"subject", SubjectOf(call)},
             {"fence", std::to_string(call.fence)},
             {"outcome", std::string(duty::kCallOutcomeNames.Name(outcome))}});
        if (sent_in == this->leadership) {
          this->OnOutcome(call, outcome);
        }
      });
}

void DutyRunner::OnOutcome(const duty::PlatformCall& call,
                           CallOutcome outcome) {
  const TimePoint now = this->hooks.now();
  this->queue.RecordOutcome(call, outcome, now);
  switch (outcome) {
    case CallOutcome::kAcknowledged:
      break;
    case CallOutcome::kConflict:
      this->metrics.Add(Metric::kPlatformConflicts);
      this->lease.RecordConflict(call.fence, now);
      break;
    case CallOutcome::kRateLimited:
      this->metrics.Add(Metric::kPlatformCallsLimited);
      break;
    case CallOutcome::kRejected:
    case CallOutcome::kNotSent:
    case CallOutcome::kUnknown:
      this->metrics.Add(Metric::kPlatformCallsFailed);
      break;
  }
}

void DutyRunner::ExportCounters() {
  this->metrics.Set(
      Metric::kUsageWindowsWaiting,
      static_cast<std::int64_t>(this->state.usage().unacknowledged().size()));
  this->metrics.Set(Metric::kUsageLateRequests,
                    static_cast<std::int64_t>(this->ledger.late_requests()));
  this->metrics.Set(Metric::kUsageCountsIgnored,
                    static_cast<std::int64_t>(this->ledger.ignored_counts()));
}

}  // namespace gooseberryturn::direct
