#include "gooseberryturn/direct/early_retries.h"

namespace gooseberryturn::direct {

void EarlyRetries::Record(const std::string& digest, TimePoint not_before) {
  const auto known = this->ends.find(digest);
  if (known != this->ends.end()) {
    this->digests_by_end.erase({known->second, digest});
  } else if (this->ends.size() >= kMaxRefusals) {
    this->ForgetFirst();
  }
  this->ends[digest] = not_before;
  this->digests_by_end.insert({not_before, digest});
}

bool EarlyRetries::IsEarly(const std::string& digest, TimePoint now) const {
  const auto known = this->ends.find(digest);
  return known != this->ends.end() && now < known->second;
}

void EarlyRetries::Expire(TimePoint now) {
  while (!this->ends.empty() && now >= this->digests_by_end.begin()->first) {
    this->ForgetFirst();
  }
}

void EarlyRetries::ForgetFirst() {
  this->ends.erase(this->digests_by_end.begin()->second);
  this->digests_by_end.erase(this->digests_by_end.begin());
}

}  // namespace gooseberryturn::direct
