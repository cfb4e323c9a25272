#include "gooseberryturn/lease/group_lease.h"

#include <algorithm>

namespace gooseberryturn::lease {

void GroupLease::Reset(const protocol::Group& group, const std::string& self) {
  this->assignment = group.fence;
  this->deadlines.clear();
  for (const protocol::Member& member : group.members) {
    if (member.host != self) {
      this->deadlines[member.host] = TimePoint();
    }
  }
}

void GroupLease::RecordGrant(const std::string& member, std::uint64_t fence,
                             TimePoint asked_at, Duration length) {
  const auto found = this->deadlines.find(member);
  if (fence == this->assignment && found != this->deadlines.end()) {
    found->second = std::max(found->second, asked_at + length);
  }
}

void GroupLease::RecordRefusal(const std::string& member) {
  const auto found = this->deadlines.find(member);
  if (found != this->deadlines.end()) {
    found->second = TimePoint();
  }
}

bool GroupLease::IsWhole(TimePoint now) const {
  return this->assignment != 0 &&
         std::all_of(this->deadlines.begin(), this->deadlines.end(),
                     [now](const std::pair<const std::string, TimePoint>& it) {
                       return now < it.second;
                     });
}

std::vector<std::string> GroupLease::Missing(TimePoint now) const {
  std::vector<std::string> missing;
  for (const std::pair<const std::string, TimePoint>& it : this->deadlines) {
    if (now >= it.second) {
      missing.push_back(it.first);
    }
  }
  return missing;
}

bool LeaseGrantor::IsFreeFor(std::uint64_t fence, TimePoint now) const {
  return this->promised == fence || now >= this->until;
}

bool LeaseGrantor::Grant(std::uint64_t fence, Duration length, TimePoint now) {
  if (fence < this->promised || !this->IsFreeFor(fence, now)) {
    return false;
  }
  const TimePoint end = now + length + this->max_drift;
  this->until = fence == this->promised ? std::max(this->until, end) : end;
  this->promised = fence;
  return true;
}

}  // namespace gooseberryturn::lease
