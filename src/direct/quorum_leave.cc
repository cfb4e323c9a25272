#include "gooseberryturn/direct/quorum_leave.h"

#include <algorithm>

namespace gooseberryturn::direct {

void QuorumLeave::Start(TimePoint now, TimePoint latest) {
  this->is_leaving = true;
  this->is_settled = false;
  this->deadline = std::min(now + kTimeout, latest);
  this->leaderless_deadline = now + kLeaderlessTimeout;
  this->next_request_at = now;
}

void QuorumLeave::HandleAnswer(LeaveState state, TimePoint now) {
  if (state == LeaveState::kNoLeader) {
    return;
  }
  this->leaderless_deadline = now + kLeaderlessTimeout;
  this->is_settled |=
      state == LeaveState::kRemoved || state == LeaveState::kKept;
}

bool QuorumLeave::IsDone(TimePoint now) const {
  return this->is_settled || now >= this->deadline ||
         now >= this->leaderless_deadline;
}

bool QuorumLeave::TakeRequest(TimePoint now) {
  if (now < this->next_request_at) {
    return false;
  }
  this->next_request_at = now + kRequestInterval;
  return true;
}

}  // namespace gooseberryturn::direct
