#include "gooseberryturn/direct/heartbeat_relay.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

namespace {

/// The fields of an announcement that its digest covers.
struct AnnouncedContent {
  std::string id;
  std::string service;
  Endpoint address;
  std::string data_centre;
  std::int64_t start_time_ms = 0;
  std::uint64_t slots = 0;
  bool is_engine = false;
  EngineReport engine;

  MSGPACK_DEFINE(id, service, address, data_centre, start_time_ms, slots,
                 is_engine, engine)
};

}  // namespace

std::string ContentDigest(const Announcement& announcement) {
  if (announcement.is_leaving || announcement.cold_left_ms > 0 ||
      announcement.start_time_ms <= 0) {
    return "";
  }
  AnnouncedContent content;
  content.id = announcement.id;
  content.service = announcement.service;
  content.address = announcement.address;
  content.data_centre = announcement.data_centre;
  content.start_time_ms = announcement.start_time_ms;
  content.slots = announcement.slots;
  content.is_engine = announcement.engine.has_value();
  content.engine = announcement.engine.value_or(EngineReport{});
  return Digest(protocol::Encode(content));
}

bool HeartbeatRelay::Takes(const Announcement& announcement,
                           const HttpRequest& call, TimePoint now) {
  const auto known = this->targets.find(announcement.id);
  if (known == this->targets.end() || now >= this->confirmed_until) {
    return false;
  }
  KnownTarget& target = known->second;
  const std::string content = ContentDigest(announcement);
  if (content.empty() || content != target.heard.content ||
      announcement.sequence <= target.heard.sequence) {
    return false;
  }
  target.heard.sequence = announcement.sequence;
  target.last_call = call;
  target.forget_at = now + kTargetLifetime;
  target.is_unreported = true;
  return true;
}

void HeartbeatRelay::RecordAccepted(const Announcement& announcement,
                                    std::uint64_t leader_term,
                                    TimePoint sent_at) {
  if (leader_term == 0) {
    this->targets.erase(announcement.id);
    return;
  }
  if (leader_term < this->term) {
    return;  // The late answer of an earlier leader.
  }
  if (leader_term > this->term) {
    this->StartTerm(leader_term);
  }
  this->confirmed_until =
      std::max(this->confirmed_until, sent_at + kConfirmationLifetime);
  const std::string content = ContentDigest(announcement);
  if (content.empty()) {
    this->targets.erase(announcement.id);
    return;
  }
  KnownTarget& target = this->targets[announcement.id];
  if (target.heard.start_time_ms == announcement.start_time_ms &&
      target.heard.sequence > announcement.sequence) {
    return;
  }
  target.heard = {announcement.id, announcement.start_time_ms,
                  announcement.sequence, content};
  target.last_call = {};
  target.forget_at = sent_at + kTargetLifetime;
  target.is_unreported = false;
}

std::optional<HeartbeatSummary> HeartbeatRelay::TakeSummary(TimePoint now) {
  if (this->term == 0 || now < this->next_summary_at) {
    return std::nullopt;
  }
  this->next_summary_at = now + kSummaryInterval;
  HeartbeatSummary summary;
  summary.term = this->term;
  for (auto entry = this->targets.begin(); entry != this->targets.end();) {
    KnownTarget& target = entry->second;
    if (std::exchange(target.is_unreported, false)) {
      summary.heard.push_back(target.heard);
    }
    entry =
        now >= target.forget_at ? this->targets.erase(entry) : std::next(entry);
  }
  if (this->targets.empty() && summary.heard.empty()) {
    this->StartTerm(0);
    return std::nullopt;
  }
  return summary;
}

std::vector<HttpRequest> HeartbeatRelay::HandleAnswer(
    const HeartbeatSummary& summary,
    const std::optional<HeartbeatAnswer>& answer, TimePoint sent_at) {
  std::vector<HttpRequest> calls;
  if (summary.term != this->term) {
    return calls;
  }
  if (!answer.has_value()) {
    this->ReportAgain(summary);
    return calls;
  }
  if (!answer->is_accepted) {
    // Another host leads by now and has not heard of these targets.
    for (const HeardTarget& heard : summary.heard) {
      this->TakeCall(heard.id, calls);
    }
    this->StartTerm(0);
    return calls;
  }
  this->confirmed_until =
      std::max(this->confirmed_until, sent_at + kConfirmationLifetime);
  for (const std::string& id : answer->unknown) {
    this->TakeCall(id, calls);
  }
  return calls;
}

void HeartbeatRelay::TakeCall(const std::string& id,
                              std::vector<HttpRequest>& calls) {
  const auto known = this->targets.find(id);
  if (known == this->targets.end()) {
    return;
  }
  if (!known->second.last_call.path.empty()) {
    calls.push_back(std::move(known->second.last_call));
  }
  this->targets.erase(known);
}

void HeartbeatRelay::StartTerm(std::uint64_t next_term) {
  this->targets.clear();
  this->term = next_term;
  this->confirmed_until = TimePoint();
}

void HeartbeatRelay::ReportAgain(const HeartbeatSummary& summary) {
  for (const HeardTarget& heard : summary.heard) {
    const auto known = this->targets.find(heard.id);
    if (known != this->targets.end()) {
      known->second.is_unreported = true;
    }
  }
}

}  // namespace gooseberryturn::direct
