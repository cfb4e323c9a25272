#include "gooseberryturn/control/claim_table.h"

#include <algorithm>

namespace gooseberryturn::control {

using protocol::ClaimVerdict;

namespace {

/// Added for each record to the lengths of its strings.
constexpr std::uint64_t kRecordOverheadBytes = 256;

}  // namespace

std::string ClaimTable::FullKey(const std::string& team,
                                const std::string& key) {
  return team + '\0' + key;
}

std::uint64_t ClaimTable::MemoryCost(const std::string& full_key,
                                     const Record& record) {
  return kRecordOverheadBytes + 2 * full_key.size() +
         record.body_digest.size() + record.answer.body.size();
}

void ClaimTable::Erase(const std::string& full_key) {
  const auto found = this->records.find(full_key);
  if (found == this->records.end()) {
    return;
  }
  this->total_kept_bytes -= MemoryCost(full_key, found->second);
  const auto range =
      this->by_creation_time.equal_range(found->second.created_ms);
  for (auto entry = range.first; entry != range.second; ++entry) {
    if (entry->second == full_key) {
      this->by_creation_time.erase(entry);
      break;
    }
  }
  this->records.erase(found);
}

void ClaimTable::Expire(std::int64_t now_ms) {
  this->clock_ms = std::max(this->clock_ms, now_ms);
  while (!this->by_creation_time.empty() &&
         this->by_creation_time.begin()->first + kKeyLifetimeMs <=
             this->clock_ms) {
    const std::string full_key = this->by_creation_time.begin()->second;
    this->Erase(full_key);
  }
}

void ClaimTable::Bind(const protocol::Claim& claim, Record& record) {
  record.body_digest = claim.body_digest;
  record.attempt = claim.attempt;
  record.host = claim.host;
  record.incarnation = claim.incarnation;
  record.link = claim.link;
}

protocol::ClaimReply ClaimTable::Claim(const protocol::Claim& claim,
                                       std::int64_t now_ms) {
  this->Expire(now_ms);
  const std::string full_key = FullKey(claim.team, claim.key);
  protocol::ClaimReply reply;
  const auto found = this->records.find(full_key);
  if (found == this->records.end()) {
    if (this->records.size() >= kMaxKeys ||
        this->total_kept_bytes >= kMaxKeptBytes) {
      reply.verdict = ClaimVerdict::kFull;
      return reply;
    }
    Record record;
    Bind(claim, record);
    record.created_ms = this->clock_ms;
    this->total_kept_bytes += MemoryCost(full_key, record);
    this->by_creation_time.emplace(record.created_ms, full_key);
    this->records.emplace(full_key, record);
    reply.verdict = ClaimVerdict::kGranted;
    reply.attempt = claim.attempt;
    return reply;
  }
  Record& record = found->second;
  if (record.body_digest != claim.body_digest) {
    reply.verdict = ClaimVerdict::kMismatch;
    return reply;
  }
  const bool is_pending = record.state == KeyState::kPending;
  const bool is_resend = record.attempt == claim.attempt;
  const bool replaces_holder =
      claim.replaces != 0 && record.attempt == claim.replaces;
  if (is_pending && (is_resend || replaces_holder)) {
    Bind(claim, record);
    reply.verdict = ClaimVerdict::kGranted;
    reply.attempt = claim.attempt;
    return reply;
  }
  reply.attempt = record.attempt;
  reply.host = record.host;
  reply.incarnation = record.incarnation;
  reply.link = record.link;
  switch (record.state) {
    case KeyState::kPending:
      reply.verdict = ClaimVerdict::kInProgress;
      break;
    case KeyState::kFinished:
      reply.verdict = ClaimVerdict::kFinished;
      reply.answer = record.answer;
      break;
    case KeyState::kUnknown:
      reply.verdict = ClaimVerdict::kUnknown;
      break;
  }
  return reply;
}

protocol::SettleReply ClaimTable::Settle(const protocol::Settle& settle,
                                         std::int64_t now_ms) {
  this->Expire(now_ms);
  const std::string full_key = FullKey(settle.team, settle.key);
  const auto found = this->records.find(full_key);
  protocol::SettleReply reply;
  reply.is_leader = true;
  if (found == this->records.end()) {
    return reply;
  }
  Record& record = found->second;
  if (record.attempt != settle.attempt || record.state == KeyState::kFinished) {
    return reply;
  }
  reply.accepted = true;
  switch (settle.outcome) {
    case Outcome::kNotRun:
      if (record.state == KeyState::kPending) {
        this->Erase(full_key);
      }
      break;
    case Outcome::kUnknown:
      record.state = KeyState::kUnknown;
      break;
    case Outcome::kRan:
      this->total_kept_bytes -= MemoryCost(full_key, record);
      record.state = KeyState::kFinished;
      record.answer = settle.answer;
      if (record.answer.body.size() > kMaxAnswerBytes) {
        record.answer.DropBody();
      }
      this->total_kept_bytes += MemoryCost(full_key, record);
      break;
  }
  return reply;
}

}  // namespace gooseberryturn::control
