#include <algorithm>
#include <string>

#include "gooseberryturn/direct/entry_host.h"
#include "gooseberryturn/direct/request_content.h"
#include "gooseberryturn/direct/request_flow.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

namespace http = boost::beast::http;
using observe::Level;
using observe::LogEvent;

namespace {

constexpr int kUnavailable = 503;

}  // namespace

// ------------------------------------------- content that may crash its
// targets

bool RequestFlow::EndIfQuarantined() {
  const std::string content = this->QuarantinedContent();
  if (content.empty()) {
    return false;
  }
  if (this->IsBeingWritten()) {
    this->LeaveQueue();
    return true;
  }
  this->entry.refused_contents.insert(content);
  LogEvent(Level::kInfo, this->caller_attempt_id, "content_refused",
           {{"content", content}, {"target", this->target}});
  this->is_held = false;
  this->LeaveQueue();
  if (this->connection != nullptr) {
    this->possible_executions += 1;
    this->CancelAttempt(HealthSignal::kNone);
  }
  if (this->is_head_sent || this->possible_executions > 0) {
    this->GiveUp();
  } else {
    this->Refuse(kUnavailable, Reason::kQuarantined);
  }
  return true;
}

bool RequestFlow::MustHold(TimePoint now) {
  if (this->is_trial) {
    return false;
  }
  if (!this->entry.view.HasSuspects() || this->entry.IsOutOfTouch(now)) {
    return now < this->not_before;
  }
  bool is_suspected = false;
  for (const std::string& part : this->shared_parts) {
    const HeldContent* held = this->entry.view.FindHeld(PartContentId(part));
    if (held == nullptr) {
      continue;
    }
    is_suspected = true;
    if (this->IsMoving()) {
      continue;
    }
    if (this->entry.TakeTrial(*held)) {
      this->is_trial = true;
      LogEvent(Level::kInfo, this->caller_attempt_id, "content_trial",
               {{"content", held->content},
                {"number", std::to_string(held->trial_number)}});
      return false;
    }
    this->entry.held_contents.insert(held->content);
  }
  return is_suspected || now < this->not_before;
}

void RequestFlow::Hold(TimePoint now) {
  if (this->IsMoving() || this->is_held) {
    return;
  }
  this->is_held = true;
  this->held_until = std::min(this->deadline, now + kMaxHoldTime);
}

void RequestFlow::TickHeld(TimePoint now) {
  if (now >= this->held_until) {
    this->is_held = false;
    if (this->is_head_sent || this->possible_executions > 0) {
      this->GiveUp();
    } else {
      this->Refuse(kUnavailable, Reason::kSuspect);
    }
    return;
  }
  if (!this->MustHold(now)) {
    this->is_held = false;
    this->queue_deadline = std::min(this->deadline, now + kMaxQueueTime);
    this->Dispatch();
  }
}

void RequestFlow::RecheckContents(TimePoint now) {
  if (this->is_done || this->IsBeingWritten() || this->EndIfQuarantined()) {
    return;
  }
  if (this->is_held) {
    this->TickHeld(now);
  }
}

bool RequestFlow::IsKnownSound(TimePoint now) const {
  return std::all_of(this->shared_parts.begin(), this->shared_parts.end(),
                     [this, now](const std::string& part) {
                       return this->entry.answered_contents.IsSound(
                           PartContentId(part), now);
                     });
}

CutRequest RequestFlow::DescribeAttempt() const {
  CutRequest cut;
  cut.fingerprint = this->Fingerprint();
  cut.target = this->target;
  cut.start_time_ms = this->target_incarnation.start_time_ms;
  cut.parts = this->shared_parts;
  cut.is_recent = this->attempt_began_at == TimePoint() ||
                  this->last_progress_at < this->attempt_began_at + kRecentTime;
  return cut;
}

void RequestFlow::ReportCut(bool is_observed) {
  const bool is_known =
      is_observed ? this->is_observed_cut_reported : this->is_cut_reported;
  if (is_known) {
    return;
  }
  this->is_cut_reported = true;
  this->is_observed_cut_reported |= is_observed;
  CutRequest cut = this->DescribeAttempt();
  cut.is_observed = is_observed;
  for (const std::string& content : ContentsOf(cut)) {
    if (this->entry.answered_contents.IsSound(content, Clock::now())) {
      cut.answered.push_back(content);
    }
  }
  this->entry.cut_reports.Add(std::move(cut), Clock::now());
}

void RequestFlow::RecordAnswered(TimePoint now) {
  const TimePoint began_at =
      this->attempt_began_at == TimePoint() ? now : this->attempt_began_at;
  const bool has_end =
      !this->answer_head[http::field::content_length].empty() ||
      !this->answer_head[http::field::transfer_encoding].empty();
  this->entry.answered_contents.Record(this->DescribeAttempt(), has_end,
                                       began_at, now);
}

}  // namespace gooseberryturn::direct
