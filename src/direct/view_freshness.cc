#include "gooseberryturn/direct/view_freshness.h"

namespace gooseberryturn::direct {

std::uint64_t ViewFreshness::RecordSent(TimePoint now) {
  this->last_number += 1;
  this->unhandled.push_back({this->last_number, now});
  if (this->unhandled.size() > kMaxUnhandled) {
    this->unhandled.pop_front();
  }
  return this->last_number;
}

void ViewFreshness::RecordHandled(std::uint64_t number) {
  if (number > this->last_number) {
    return;
  }
  while (!this->unhandled.empty() && this->unhandled.front().first <= number) {
    this->current_at = this->unhandled.front().second;
    this->is_known = true;
    this->unhandled.pop_front();
  }
}

}  // namespace gooseberryturn::direct
