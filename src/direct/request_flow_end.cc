#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "gooseberryturn/direct/entry_host.h"
#include "gooseberryturn/direct/request_flow.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

namespace http = boost::beast::http;
using observe::Level;
using observe::LogEvent;

namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// Share of a route's time after which a silent plain target is given up.
constexpr double kSilentShare = 0.42;
constexpr double kShortestRetryAfterS = 0.15;
constexpr double kLongestRetryAfterS = 0.7;
/// Callers honour a pause of at most a third of the time they have left.
constexpr double kRetryAfterShare = 0.25;

}  // namespace

// ------------------------------------------------------------------- ending

void RequestFlow::GiveUp() {
  if (this->is_done) {
    return;
  }
  if (this->is_sent_head) {
    this->caller->Abort();
    this->Finish("cut");
  } else if (this->runs > 0) {
    this->Refuse(kBadGateway, Reason::kOutcomeUnknown);
  } else {
    this->Refuse(kUnavailable, Reason::kOverloaded);
  }
}

void RequestFlow::Refuse(int status, Reason reason) {
  const http::status code = http::int_to_status(static_cast<unsigned>(status));
  std::string lines = "HTTP/1.1 " + std::to_string(status) + " " +
                      std::string(http::obsolete_reason(code)) + "\r\n";
  if (!this->id.empty()) {
    lines += this->host.dialect.headers.attempt + ": " + this->id + "\r\n";
  }
  if (status == kUnavailable) {
    const double left_s =
        std::chrono::duration<double>(this->deadline - Clock::now()).count();
    std::uniform_real_distribution<double> draw(kShortestRetryAfterS,
                                                kLongestRetryAfterS);
    const double pause = std::min(draw(this->host.random),
                                  std::max(0.0, left_s) * kRetryAfterShare);
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", pause);
    lines += std::string("Retry-After: ") + text.data() + "\r\n";
  }
  this->caller->Answer(std::move(lines), "");
  this->host.metrics.CountRefusal(reason);
  this->Finish("refused_" + std::to_string(status) + "_" +
               std::string(kReasonNames.Name(reason)));
}

void RequestFlow::Abandon(Evidence evidence) {
  const std::shared_ptr<TargetConnection> used =
      std::exchange(this->connection, nullptr);
  if (used != nullptr) {
    this->try_number += 1;
    this->NoteRead();
    this->host.book.End(this->target, evidence, Clock::now());
    used->Cancel();
  }
}

void RequestFlow::Detach() {
  this->host.line.Remove(this->number);
  this->is_waiting = false;
  this->Abandon(Evidence::kNone);
}

void RequestFlow::Finish(const std::string& outcome) {
  if (this->is_done) {
    return;
  }
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->is_done = true;
  this->Detach();
  this->caller->on_gone = nullptr;
  this->caller->on_writable = nullptr;
  const auto since_begun = [this](TimePoint moment) {
    return moment == TimePoint()
               ? std::string()
               : std::to_string(WholeMs(moment - this->begun_at));
  };
  const std::int64_t total_ms = WholeMs(Clock::now() - this->begun_at);
  LogEvent(Level::kInfo, this->id, "request_ended",
           {{"outcome", outcome},
            {"route", this->route == nullptr ? "" : this->route->name},
            {"target", this->target},
            {"tries", std::to_string(this->tried.size())},
            {"runs", std::to_string(this->runs)},
            {"events", std::to_string(this->events)},
            {"waited_ms", since_begun(this->first_tried_at)},
            {"first_event_ms", since_begun(this->first_event_at)},
            {"longest_pause_ms", std::to_string(WholeMs(this->longest_pause))},
            {"ms", std::to_string(total_ms)},
            {"load", std::to_string(this->last_choice_load)},
            {"expected_ms",
             std::to_string(static_cast<std::int64_t>(this->last_choice_ms))},
            {"waiting", std::to_string(this->host.line.size())},
            {"view_age_ms", std::to_string(this->host.ViewAgeMs())},
            {"config_version", std::to_string(this->host.view.version())}});
  this->host.metrics.Observe(observe::Timing::kRequest,
                             Clock::now() - this->begun_at);
  this->host.metrics.Add(observe::Metric::kInFlight, -1);
  this->host.FlowEnded(this->number);
}

void RequestFlow::Break() {
  if (this->is_done) {
    return;
  }
  if (this->connection != nullptr) {
    this->runs += 1;
  }
  this->Detach();
  this->GiveUp();
}

void RequestFlow::Tick(TimePoint now) {
  if (this->is_done) {
    return;
  }
  if (now >= this->deadline) {
    if (this->is_sent_head) {
      this->caller->Abort();
      this->Finish("deadline");
    } else if (this->connection != nullptr || this->runs > 0) {
      this->Refuse(kGatewayTimeout, Reason::kDeadline);
    } else {
      this->Refuse(kUnavailable, Reason::kDeadline);
    }
    return;
  }
  if (this->connection == nullptr || !this->route->IsIdempotent()) {
    return;
  }
  bool is_lost = false;
  if (this->route->kind == RouteKind::kStreaming) {
    const bool is_broken = this->host.view.IsBroken(this->target);
    const bool is_silent = now >= this->progress_at + kResumeAfter &&
                           this->host.book.IsStalled(this->target, now);
    is_lost = is_broken || is_silent;
  } else {
    const Duration limit = std::chrono::duration_cast<Duration>(
        kSilentShare * (this->deadline - this->begun_at));
    is_lost = now >= this->tried_at + limit;
  }
  if (!is_lost || !this->MayTryAgain(true)) {
    return;
  }
  LogEvent(Level::kInfo, this->id, "target_given_up",
           {{"target", this->target},
            {"events", std::to_string(this->events)},
            {"silent_ms", std::to_string(WholeMs(now - this->progress_at))}});
  this->runs += 1;
  this->host.NoteCut({this->Fingerprint(), this->target});
  this->Abandon(Evidence::kBad);
  this->give_up_at = std::min(this->deadline, now + kPatience);
  this->Dispatch();
}

}  // namespace gooseberryturn::direct
