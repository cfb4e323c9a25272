#include "gooseberryturn/duty/duty_lease.h"

#include <algorithm>

namespace gooseberryturn::duty {

void DutyLease::StartLeading() {
  this->fence = 0;
  this->is_due = true;
  this->is_proposing = false;
}

bool DutyLease::IsTokenDue(TimePoint now) const {
  return this->is_due && !this->is_proposing && now >= this->next_proposal_at;
}

void DutyLease::RecordProposed(std::uint64_t last_fence) {
  this->previous_fence = last_fence;
  this->is_proposing = true;
}

void DutyLease::RecordAcquired(std::uint64_t acquired, TimePoint now) {
  const bool is_first = this->previous_fence == 0;
  const bool is_renewal = this->previous_fence == this->last_acquired;
  if (!is_first && !is_renewal) {
    this->wait_until = std::max(this->wait_until, now + this->lease_time);
  }
  this->fence = acquired;
  this->last_acquired = acquired;
  this->is_due = false;
  this->is_proposing = false;
  this->acquired_at = now;
}

void DutyLease::RecordConflict(std::uint64_t rejected, TimePoint now) {
  if (rejected != this->fence || this->fence == 0) {
    return;
  }
  this->fence = 0;
  this->is_due = true;
  this->next_proposal_at = std::max(now, this->acquired_at + this->lease_time);
}

void DutyLease::Renew(std::uint64_t above) {
  this->is_due |= this->fence != 0 && this->fence <= above;
}

std::optional<std::uint64_t> DutyLease::Fence(bool has_lease,
                                              std::uint64_t log_fence,
                                              TimePoint now) const {
  const bool is_valid = has_lease && this->fence != 0 &&
                        this->fence == log_fence && now >= this->wait_until;
  return is_valid ? std::optional<std::uint64_t>(this->fence) : std::nullopt;
}

}  // namespace gooseberryturn::duty
