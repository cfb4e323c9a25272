#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "gooseberryturn/core/compression.h"
#include "gooseberryturn/direct/call_forwarder.h"
#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

constexpr char kMetricsPath[] = "/metrics";
/// Data centres with orders that the log may hold.
constexpr std::size_t kMaxOrderedDataCentres = 1024;
constexpr std::size_t kMaxDataCentreNameBytes = 256;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

/// Summary of an engine's state for the log.
std::string Describe(const std::optional<EngineReport>& report) {
  if (!report.has_value()) {
    return "plain";
  }
  std::string text = "loaded=" + report->loaded_model + " staged=";
  for (const std::string& model : report->staged) {
    text += model + ",";
  }
  if (report->membership.has_value()) {
    text += " group=" + report->membership->group +
            " rank=" + std::to_string(report->membership->rank) + " state=" +
            std::string(kMemberStateNames.Name(report->membership->state));
  }
  return text;
}

}  // namespace

// -------------------------------------------------------------------- calls

HttpResponse ControlHost::ErrorResponse(int status,
                                        const std::string& why) const {
  return {status, "application/json", this->dialect.write_error(why)};
}

bool ControlHost::IsLeading() const {
  return this->has_taken_over && this->driver->HasLease(Clock::now());
}

void ControlHost::OnCall(HttpRequest call, AsyncHttpServer::Reply reply) {
  if (call.method == "GET" && call.path == kMetricsPath) {
    reply({kOk, "text/plain; version=0.0.4", this->metrics.Render()});
    return;
  }
  const bool is_order = IsOrder(this->dialect, call);
  if (this->IsLeading()) {
    ForwardedCall accepted = ToForwarded(call);
    accepted.is_conditional = is_order;
    accepted.revision = this->RevisionOf(call);
    // Checked after the revision was read; see ForwardOrder.
    if (is_order && !reply.IsAwaited()) {
      this->RefuseLateOrder(call, reply);
      return;
    }
    this->HandleAsLeader(accepted, std::move(reply));
    return;
  }
  const Endpoint leader = this->RemoteLeader();
  if (leader == Endpoint()) {
    reply(this->ErrorResponse(kUnavailable, "the leader is unknown"));
    return;
  }
  if (this->dialect.read_control_call(call).kind ==
      ControlCallKind::kAnnounce) {
    this->HandleAsRelay(call, leader, reply);
    return;
  }
  const TimePoint deadline = Clock::now() + kCallTimeout;
  const ForwardHook forward = [this, leader, deadline](
                                  const ForwardedCall& forwarded,
                                  OnForwarded on_answer) {
    ForwardCall(this->channels, leader, forwarded, deadline,
                std::move(on_answer));
  };
  const OnForwarded on_answer =
      [this, reply](const std::optional<ForwardedAnswer>& answer) {
        if (answer.has_value() && answer->status != 0) {
          reply({answer->status, "application/json", answer->body});
        } else {
          reply(this->ErrorResponse(kUnavailable, "the leader did not answer"));
        }
      };
  if (is_order) {
    ForwardOrder(call, reply, deadline, forward, on_answer,
                 [this, call, reply] { this->RefuseLateOrder(call, reply); });
  } else {
    forward(ToForwarded(call), on_answer);
  }
}

void ControlHost::RefuseLateOrder(const HttpRequest& call,
                                  const AsyncHttpServer::Reply& reply) {
  this->metrics.Add(observe::Metric::kLateOrders);
  LogEvent(Level::kWarn, "", "late_order_refused",
           {{"method", call.method}, {"path", call.path}});
  reply(this->ErrorResponse(kUnavailable,
                            "the order came late, or another one came first; "
                            "send it again"));
}

std::uint64_t ControlHost::RevisionOf(const HttpRequest& call) const {
  const ControlCall decoded = this->dialect.read_control_call(call);
  switch (decoded.kind) {
    case ControlCallKind::kEvacuate:
    case ControlCallKind::kReturn:
      return this->state.Revision(decoded.name);
    case ControlCallKind::kWithdraw: {
      const TargetRecord* record = this->registry.Find(decoded.name);
      return record == nullptr
                 ? 0
                 : static_cast<std::uint64_t>(record->view.start_time_ms);
    }
    case ControlCallKind::kUnknown:
    case ControlCallKind::kAnnounce:
    case ControlCallKind::kPutConfiguration:
    case ControlCallKind::kGetConfiguration:
      return 0;
  }
  return 0;
}

void ControlHost::ExpireCalls(TimePoint now) {
  const std::size_t expired = this->pending_calls.Expire(
      now, this->ErrorResponse(kUnavailable,
                               "the outcome is not known; send it again"));
  if (expired > 0) {
    LogEvent(Level::kWarn, "", "call_without_outcome",
             {{"calls", std::to_string(expired)}});
  }
}

void ControlHost::HandleAsLeader(const ForwardedCall& forwarded,
                                 AsyncHttpServer::Reply caller_reply) {
  const HttpRequest call = {forwarded.method, forwarded.path, forwarded.body};
  AsyncHttpServer::Reply reply = this->pending_calls.Add(
      std::move(caller_reply), Clock::now() + kCommitTimeout);
  if (forwarded.is_conditional &&
      this->RevisionOf(call) != forwarded.revision) {
    this->RefuseLateOrder(call, reply);
    return;
  }
  if (call.path == kQuarantinePath && call.method == "GET") {
    this->ListQuarantine(reply);
    return;
  }
  if (StartsWith(call.path, kQuarantinePrefix) && call.method == "DELETE") {
    this->ClearQuarantine(call.path.substr(kQuarantinePrefix.size()), reply);
    return;
  }
  const ControlCall decoded = this->dialect.read_control_call(call);
  switch (decoded.kind) {
    case ControlCallKind::kAnnounce:
      this->HandleAnnouncement(decoded.name, call, reply);
      break;
    case ControlCallKind::kWithdraw:
      this->registry.MarkLeaving(decoded.name, Clock::now());
      this->PublishTarget(decoded.name);
      LogEvent(Level::kInfo, "", "target_withdrawn",
               {{"target", decoded.name}});
      this->AcknowledgeLeaving(decoded.name, "{}", reply);
      break;
    case ControlCallKind::kPutConfiguration:
      this->PutConfiguration(call, std::move(reply));
      break;
    case ControlCallKind::kGetConfiguration:
      this->GetConfiguration(reply);
      break;
    case ControlCallKind::kEvacuate:
    case ControlCallKind::kReturn:
      this->SetEvacuated(forwarded, decoded, reply);
      break;
    case ControlCallKind::kUnknown:
      reply(this->ErrorResponse(kNotFound, "unknown path or method"));
      break;
  }
}

void ControlHost::HandleAnnouncement(const std::string& target,
                                     const HttpRequest& call,
                                     const AsyncHttpServer::Reply& reply) {
  const Result<Announcement> announcement =
      this->dialect.read_announcement(target, call.body);
  if (!announcement.has_value()) {
    LogEvent(Level::kWarn, "", "announcement_rejected",
             {{"target", target}, {"why", announcement.error().message}});
    reply(this->ErrorResponse(kBadRequest, announcement.error().message));
    return;
  }
  if (!this->IsServiceKnown(*announcement)) {
    LogEvent(Level::kInfo, "", "announcement_ignored",
             {{"target", target}, {"service", announcement->service}});
    reply({kOk, "application/json", "{}"});
    return;
  }
  const AnnouncementResult result = this->RegisterAnnouncement(*announcement);
  if (result == AnnouncementResult::kContested) {
    for (const TargetIncarnation& run :
         this->registry.ContestedRuns(*announcement)) {
      this->ProbeContested(run, *announcement);
    }
  }
  const std::string body =
      this->dialect.write_announcement_reply(this->NextHostFor(target));
  // A repeated call is stale, but the first one may still wait for its commit.
  const TargetRecord* record = this->registry.Find(target);
  const bool is_of_known_run =
      record != nullptr &&
      record->view.start_time_ms == announcement->start_time_ms;
  if (announcement->is_leaving && is_of_known_run) {
    this->AcknowledgeLeaving(target, body, reply);
  } else {
    reply({kOk, "application/json", body});
  }
}

bool ControlHost::IsServiceKnown(const Announcement& announcement) const {
  // A target may outlive its service in the configuration.
  const TargetRecord* record = this->registry.Find(announcement.id);
  const bool is_its_own =
      record != nullptr && record->view.service == announcement.service;
  return is_its_own || !this->configuration.has_value() ||
         this->configuration->FindService(announcement.service) != nullptr;
}

AnnouncementResult ControlHost::RegisterAnnouncement(
    const Announcement& announcement) {
  const AnnouncementResult result =
      this->registry.HandleAnnouncement(announcement, Clock::now(), UnixMs());
  if (result == AnnouncementResult::kNew ||
      result == AnnouncementResult::kChanged) {
    if (announcement.cold_left_ms > 0) {
      (void)this->registry.AssignColdEntries(announcement.id,
                                             this->FollowingEntries());
    }
    this->PublishTarget(announcement.id);
    this->SchedulePlan();
    LogEvent(Level::kInfo, "", "target_heard",
             {{"target", announcement.id},
              {"as", std::string(kAnnouncementResultNames.Name(result))},
              {"sequence", std::to_string(announcement.sequence)},
              {"engine", Describe(announcement.engine)},
              {"leaving", announcement.is_leaving ? "true" : "false"}});
  }
  for (const std::string& removed : this->registry.TakeRemoved()) {
    LogEvent(Level::kInfo, "", "target_ended",
             {{"target", removed}, {"superseded_by", announcement.id}});
    this->PublishTarget(removed);
  }
  return result;
}

void ControlHost::AcknowledgeLeaving(const std::string& target,
                                     const std::string& body,
                                     const AsyncHttpServer::Reply& reply) {
  const TargetRecord* record = this->registry.Find(target);
  const auto committed = this->state.targets().find(target);
  const bool is_committed =
      committed != this->state.targets().end() && record != nullptr &&
      committed->second.is_leaving &&
      committed->second.start_time_ms == record->view.start_time_ms;
  if (record == nullptr || is_committed) {
    reply({kOk, "application/json", body});
    return;
  }
  FleetCommand command;
  command.kind = FleetCommandKind::kFleetDelta;
  command.delta.targets = {record->view};
  this->driver->Propose(
      protocol::Encode(command),
      [this, body, reply](const Result<consensus::Index>& applied) {
        if (applied.has_value()) {
          reply({kOk, "application/json", body});
        } else {
          reply(this->ErrorResponse(kUnavailable, applied.error().message));
        }
      });
}

void ControlHost::PutConfiguration(const HttpRequest& call,
                                   AsyncHttpServer::Reply reply) {
  const Result<Configuration> read =
      this->dialect.read_configuration(call.body);
  const Result<void> checked =
      read.has_value() ? Validate(*read) : tl::make_unexpected(read.error());
  if (!checked.has_value()) {
    LogEvent(Level::kWarn, "", "configuration_rejected",
             {{"why", checked.error().message}});
    reply(this->ErrorResponse(kBadRequest, checked.error().message));
    return;
  }
  if (read->version <= this->state.version()) {
    LogEvent(Level::kInfo, "", "configuration_overtaken",
             {{"version", std::to_string(read->version)},
              {"held", std::to_string(this->state.version())}});
    this->GetConfiguration([reply](const HttpResponse& response) {
      // An older or repeated version is acknowledged with 200 if this host is
      // certain to hold the newest one, otherwise refused with the status of
      // GetConfiguration, 503. The body of that answer is dropped.
      reply({response.status, "application/json", "{}"});
    });
    return;
  }
  FleetCommand command;
  command.kind = FleetCommandKind::kPutConfiguration;
  command.version = read->version;
  command.text = Compress(call.body);
  this->Propose(command, std::move(reply));
}

void ControlHost::GetConfiguration(const AsyncHttpServer::Reply& reply) {
  const bool is_current =
      this->IsLeading() &&
      this->state.applied_index() >= this->driver->node().commit_index();
  if (!is_current || this->state.version() == 0) {
    reply(this->ErrorResponse(kUnavailable,
                              "the newest configuration is not known here"));
    return;
  }
  reply({kOk, "application/json", this->state.text()});
}

void ControlHost::SetEvacuated(const ForwardedCall& forwarded,
                               const ControlCall& order,
                               const AsyncHttpServer::Reply& reply) {
  const bool is_known = this->state.Revision(order.name) != 0;
  const bool has_room =
      is_known || this->state.ordered_data_centres() < kMaxOrderedDataCentres;
  if (!has_room || order.name.size() > kMaxDataCentreNameBytes) {
    reply(this->ErrorResponse(kBadRequest, "no data centre of this fleet"));
    return;
  }
  FleetCommand command;
  command.kind = FleetCommandKind::kEvacuate;
  command.data_centre = order.name;
  command.is_evacuated = order.kind == ControlCallKind::kEvacuate;
  command.is_conditional = forwarded.is_conditional;
  command.revision = forwarded.revision;
  const HttpRequest call = {forwarded.method, forwarded.path, ""};
  this->Propose(command, {[this, command, call, reply](HttpResponse answer) {
                  const bool is_out =
                      this->state.evacuated().count(command.data_centre) > 0;
                  if (answer.status == kOk && is_out != command.is_evacuated) {
                    this->RefuseLateOrder(call, reply);
                  } else {
                    reply(std::move(answer));
                  }
                }});
}

void ControlHost::Propose(const FleetCommand& command,
                          AsyncHttpServer::Reply reply) {
  this->driver->Propose(
      protocol::Encode(command), [this, command, reply = std::move(reply)](
                                     const Result<consensus::Index>& applied) {
        LogEvent(applied.has_value() ? Level::kInfo : Level::kWarn, "",
                 std::string(kFleetCommandKindNames.Name(command.kind)),
                 {{"version", std::to_string(command.version)},
                  {"data_centre", command.data_centre},
                  {"out", command.is_evacuated ? "true" : "false"},
                  {"outcome",
                   applied.has_value() ? "applied" : applied.error().message}});
        if (applied.has_value()) {
          this->SendUpdatesNow(Clock::now());
          reply({kOk, "application/json", "{}"});
        } else {
          reply(this->ErrorResponse(kUnavailable, applied.error().message));
        }
      });
}

}  // namespace gooseberryturn::direct
