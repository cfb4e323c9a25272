#include <string>
#include <utility>

#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/direct/request_content.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr char kPlainText[] = "text/plain";

observe::Metric MetricOf(SuspicionChange change) {
  switch (change) {
    case SuspicionChange::kHeld:
      return observe::Metric::kContentsHeld;
    case SuspicionChange::kCleared:
      return observe::Metric::kContentsCleared;
    case SuspicionChange::kQuarantined:
      return observe::Metric::kContentsQuarantined;
    case SuspicionChange::kEnded:
      return observe::Metric::kQuarantinesEnded;
  }
  return observe::Metric::kContentsHeld;
}

}  // namespace

// ------------------------------------------ content that may crash its targets

void ControlHost::RecordContents(const Follower& follower,
                                 const EntryReport& report, TimePoint now) {
  for (const AnsweredContent& answered : report.answered_contents) {
    this->crash_tracker.RecordAnswer(answered.content,
                                     now - Milliseconds(answered.age_ms));
  }
  for (const CutRequest& cut : report.cut_requests) {
    const TargetIncarnation incarnation = {cut.target, cut.start_time_ms};
    const TargetRecord* record = this->registry.Find(cut.target);
    const bool has_ended =
        record == nullptr || record->view.start_time_ms != cut.start_time_ms;
    if (has_ended) {
      // It may have ended under an earlier leader.
      this->crash_tracker.RecordEnd(incarnation, TargetEnd::kCrashed, now);
    }
    this->crash_tracker.RecordCut(cut, now);
    if (!cut.is_observed) {
      continue;
    }
    LogEvent(Level::kInfo, "", "cut_reported",
             {{"host", follower.hello.host},
              {"target", cut.target},
              {"fingerprint", cut.fingerprint},
              {"parts", JoinNames(cut.parts)},
              {"recent", cut.is_recent ? "true" : "false"},
              {"age_ms", std::to_string(cut.age_ms)}});
  }
  for (const std::string& content : report.refused_contents) {
    this->crash_tracker.RecordRefusal(content, now);
  }
  for (const std::string& content : report.held_contents) {
    this->crash_tracker.RequestTrial(content, follower.hello.host, now);
  }
}

bool ControlHost::UpdateSuspects(TimePoint now) {
  for (const EndedIncarnation& ended : this->registry.TakeEnded()) {
    this->crash_tracker.RecordEnd(
        ended.incarnation,
        ended.was_leaving ? TargetEnd::kLeft : TargetEnd::kCrashed, now);
  }
  this->crash_tracker.Update(now);
  for (const SuspicionEvent& event : this->crash_tracker.TakeEvents()) {
    this->LogSuspicion(event);
  }
  if (this->crash_tracker.revision() == this->sent_suspects_revision) {
    return false;
  }
  this->sent_suspects_revision = this->crash_tracker.revision();
  this->revision += 1;
  return true;
}

void ControlHost::LogSuspicion(const SuspicionEvent& event) {
  this->metrics.Add(MetricOf(event.change));
  const bool is_quarantine = event.change == SuspicionChange::kQuarantined;
  LogEvent(is_quarantine ? Level::kWarn : Level::kInfo, "",
           "content_" + std::string(kSuspicionChangeNames.Name(event.change)),
           {{"content", event.content},
            {"crashes", std::to_string(event.crashes.size())},
            {"targets", JoinNamesOf(event.crashes,
                                    [](const TargetIncarnation& incarnation) {
                                      return incarnation.target;
                                    })}});
}

void ControlHost::ProposeSuspects(TimePoint now) {
  const std::uint64_t newest = this->crash_tracker.revision();
  if (this->proposed_suspects_revision == newest ||
      now < this->next_suspects_at) {
    return;
  }
  this->next_suspects_at = now + kFleetDeltaInterval;
  this->proposed_suspects_revision = newest;
  FleetCommand command;
  command.kind = FleetCommandKind::kSuspects;
  command.suspects = this->crash_tracker.Records();
  std::string encoded = protocol::Encode(command.suspects);
  if (encoded == this->proposed_suspects) {
    return;
  }
  this->proposed_suspects = std::move(encoded);
  // If the proposal fails, another host leads and proposes its own records.
  this->driver->Propose(protocol::Encode(command),
                        [](const Result<consensus::Index>& /*applied*/) {});
}

void ControlHost::ListQuarantine(const AsyncHttpServer::Reply& reply) const {
  std::string text;
  for (const SuspectRecord& record : this->crash_tracker.Records()) {
    text += std::string(record.is_quarantined ? "quarantined " : "suspected ") +
            record.content + " " + std::to_string(record.crashes.size()) +
            " crashes\n";
  }
  reply({kOk, kPlainText, text});
}

void ControlHost::ClearQuarantine(const std::string& content,
                                  const AsyncHttpServer::Reply& reply) {
  if (!this->crash_tracker.Clear(content)) {
    reply(this->ErrorResponse(kNotFound, "not suspected: " + content));
    return;
  }
  LogEvent(Level::kWarn, "", "quarantine_cleared_by_operator",
           {{"content", content}});
  const TimePoint now = Clock::now();
  if (this->UpdateSuspects(now)) {
    this->SendUpdates(now);
  }
  reply({kOk, kPlainText, ""});
}

}  // namespace gooseberryturn::direct
