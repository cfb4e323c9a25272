#include "gooseberryturn/duty/fleet_clock.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <vector>

namespace gooseberryturn::duty {

std::int64_t OwnUnixMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void FleetClock::StartLeading(TimePoint now) {
  this->samples.clear();
  this->offset_ms.reset();
  this->collect_until = now + kCollectTime;
  this->next_update_at = this->collect_until;
}

void FleetClock::Record(const std::string& host, std::int64_t unix_ms,
                        TimePoint now) {
  if (unix_ms <= 0 || unix_ms > kMaxUnixMs) {
    return;
  }
  this->samples[host] = {unix_ms - WholeMs(now.time_since_epoch()),
                         now + kSampleTimeout};
}

std::optional<std::int64_t> FleetClock::UnixMs(TimePoint now) {
  if (now < this->collect_until) {
    return std::nullopt;
  }
  if (now >= this->next_update_at) {
    this->next_update_at = now + kUpdateInterval;
    this->Update(now);
  }
  if (!this->offset_ms.has_value()) {
    return std::nullopt;
  }
  return *this->offset_ms + WholeMs(now.time_since_epoch());
}

void FleetClock::Update(TimePoint now) {
  std::vector<std::int64_t> offsets;
  for (auto sample = this->samples.begin(); sample != this->samples.end();) {
    if (now >= sample->second.expires_at) {
      sample = this->samples.erase(sample);
      continue;
    }
    offsets.push_back(sample->second.offset_ms);
    ++sample;
  }
  if (offsets.empty()) {
    return;
  }
  std::sort(offsets.begin(), offsets.end());
  const std::int64_t upper = offsets[offsets.size() / 2];
  const std::int64_t lower = offsets[(offsets.size() - 1) / 2];
  const std::int64_t last = this->offset_ms.value_or(lower);
  const bool is_upper_nearer = std::abs(upper - last) < std::abs(lower - last);
  this->offset_ms = is_upper_nearer ? upper : lower;
}

}  // namespace gooseberryturn::duty
