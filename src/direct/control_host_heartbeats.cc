#include <functional>
#include <utility>
#include <vector>

#include "gooseberryturn/direct/call_forwarder.h"
#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr char kJson[] = "application/json";

}  // namespace

// ------------------------------------------- announcements at other hosts

void ControlHost::HandleAsRelay(const HttpRequest& call, const Endpoint& leader,
                                const AsyncHttpServer::Reply& reply) {
  const std::string target = this->dialect.read_control_call(call).name;
  const Result<Announcement> announcement =
      this->dialect.read_announcement(target, call.body);
  const bool is_taken =
      announcement.has_value() &&
      this->heartbeats.Takes(*announcement, call, Clock::now());
  if (is_taken) {
    reply({kOk, kJson,
           this->dialect.write_announcement_reply(
               *this->settings.control_endpoint)});
    return;
  }
  // The leader refuses one that cannot be read, and says why.
  this->ForwardAnnouncement(announcement.value_or(Announcement()), call, leader,
                            reply);
}

void ControlHost::ForwardAnnouncement(const Announcement& announcement,
                                      const HttpRequest& call,
                                      const Endpoint& leader,
                                      const AsyncHttpServer::Reply& reply) {
  const TimePoint sent_at = Clock::now();
  ForwardCall(
      this->channels, leader, ToForwarded(call), sent_at + kCallTimeout,
      [this, announcement, reply,
       sent_at](const std::optional<ForwardedAnswer>& answer) {
        if (!answer.has_value() || answer->status == 0) {
          reply(this->ErrorResponse(kUnavailable, "the leader did not answer"));
          return;
        }
        this->heartbeats.RecordAccepted(announcement, answer->summary_term,
                                        sent_at);
        if (answer->summary_term == 0) {
          reply({answer->status, kJson, answer->body});
          return;
        }
        reply({answer->status, kJson,
               this->dialect.write_announcement_reply(
                   *this->settings.control_endpoint)});
      });
}

void ControlHost::SendSummary(TimePoint now) {
  const Endpoint leader = this->RemoteLeader();
  if (leader == Endpoint()) {
    return;
  }
  const std::optional<HeartbeatSummary> summary =
      this->heartbeats.TakeSummary(now);
  if (!summary.has_value()) {
    return;
  }
  this->channels.Get(leader)->Call(
      kHeartbeatsPath, protocol::Encode(*summary), now + kSummaryTimeout,
      [this, summary = *summary, now](const Result<std::string>& answered) {
        this->HandleSummaryAnswer(
            summary,
            answered.has_value() ? protocol::Decode<HeartbeatAnswer>(*answered)
                                 : std::nullopt,
            now);
      });
}

void ControlHost::HandleSummaryAnswer(
    const HeartbeatSummary& summary,
    const std::optional<HeartbeatAnswer>& answer, TimePoint sent_at) {
  const std::vector<HttpRequest> calls =
      this->heartbeats.HandleAnswer(summary, answer, sent_at);
  const Endpoint leader = this->RemoteLeader();
  if (leader == Endpoint()) {
    return;
  }
  for (const HttpRequest& call : calls) {
    const Result<Announcement> announcement = this->dialect.read_announcement(
        this->dialect.read_control_call(call).name, call.body);
    if (announcement.has_value()) {
      // Its caller has had its answer.
      this->ForwardAnnouncement(*announcement, call, leader,
                                [](const HttpResponse& /*response*/) {});
    }
  }
}

// ---------------------------------------------- announcements at the leader

HeartbeatAnswer ControlHost::HandleSummary(const HeartbeatSummary& summary) {
  HeartbeatAnswer answer;
  answer.is_accepted = this->IsLeading() &&
                       summary.term == this->driver->node().term() &&
                       !this->has_stopped_serving;
  if (!answer.is_accepted) {
    return answer;
  }
  const TimePoint now = Clock::now();
  for (const HeardTarget& heard : summary.heard) {
    if (!this->registry.Refresh(heard, now)) {
      answer.unknown.push_back(heard.id);
    }
  }
  return answer;
}

std::uint64_t ControlHost::SummaryTerm(const ForwardedCall& call) const {
  if (!this->IsSharingAnnouncements() || !this->IsLeading()) {
    return 0;
  }
  const HttpRequest request = {call.method, call.path, call.body};
  const ControlCall decoded = this->dialect.read_control_call(request);
  const TargetRecord* record = this->registry.Find(decoded.name);
  if (decoded.kind != ControlCallKind::kAnnounce || record == nullptr) {
    return 0;
  }
  const Result<Announcement> announcement =
      this->dialect.read_announcement(decoded.name, call.body);
  const bool is_held = announcement.has_value() && !record->content.empty() &&
                       record->content == ContentDigest(*announcement);
  return is_held ? this->driver->node().term() : 0;
}

Endpoint ControlHost::NextHostFor(const std::string& target) const {
  if (!this->IsSharingAnnouncements()) {
    return *this->settings.control_endpoint;
  }
  const TimePoint heard_since = Clock::now() - kNamedHostSilence;
  std::vector<Endpoint> hosts;
  for (const consensus::Peer& peer : this->driver->node().membership().peers) {
    if (peer.id != this->id &&
        this->quorum_planner.WasHeardSince(peer.id, heard_since)) {
      hosts.push_back(peer.http);
    }
  }
  if (hosts.empty()) {
    return *this->settings.control_endpoint;
  }
  return hosts[std::hash<std::string>()(target) % hosts.size()];
}

}  // namespace gooseberryturn::direct
