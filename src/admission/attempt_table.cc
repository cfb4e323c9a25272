#include "gooseberryturn/admission/attempt_table.h"

namespace gooseberryturn::admission {

using protocol::AttemptReply;
using protocol::AttemptState;

void AttemptTable::Expire(TimePoint now) {
  while (!this->expiries.empty() && this->expiries.front().expires_at <= now) {
    const auto found = this->records.find(this->expiries.front().attempt);
    if (found != this->records.end()) {
      this->DropBody(found->second);
      this->records.erase(found);
    }
    this->expiries.pop_front();
  }
}

void AttemptTable::DropBody(AttemptReply& record) {
  this->kept_bytes -= record.answer.body.size();
  record.answer.body.clear();
}

void AttemptTable::Insert(std::uint64_t attempt, AttemptState state,
                          TimePoint now) {
  this->records[attempt].state = state;
  this->expiries.push_back({attempt, now + kLifetime});
}

bool AttemptTable::Begin(std::uint64_t attempt, TimePoint now) {
  this->Expire(now);
  const bool has_room =
      this->records.size() < kMaxAttempts && this->kept_bytes < kMaxKeptBytes;
  if (!has_room || this->records.count(attempt) > 0) {
    return false;
  }
  this->Insert(attempt, AttemptState::kRunning, now);
  return true;
}

void AttemptTable::MarkNeverRun(std::uint64_t attempt) {
  const auto found = this->records.find(attempt);
  if (found != this->records.end()) {
    found->second.state = AttemptState::kNeverRun;
  }
}

void AttemptTable::MarkFinished(std::uint64_t attempt,
                                const protocol::KeptAnswer& answer) {
  const auto found = this->records.find(attempt);
  if (found == this->records.end()) {
    return;
  }
  found->second.state = AttemptState::kFinished;
  found->second.answer = answer;
  this->kept_bytes += answer.body.size();
}

void AttemptTable::MarkUnknown(std::uint64_t attempt) {
  const auto found = this->records.find(attempt);
  if (found != this->records.end()) {
    found->second.state = AttemptState::kUnknown;
  }
}

AttemptReply AttemptTable::Query(std::uint64_t attempt, TimePoint now) {
  this->Expire(now);
  const auto found = this->records.find(attempt);
  if (found != this->records.end()) {
    return found->second;
  }
  if (this->records.size() >= kMaxAttempts) {
    // The table is full: a refusal could not be remembered, so the state stays
    // unknown.
    return AttemptReply{};
  }
  this->Insert(attempt, AttemptState::kNeverRun, now);
  return this->records[attempt];
}

}  // namespace gooseberryturn::admission
