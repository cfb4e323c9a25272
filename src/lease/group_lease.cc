#include "gooseberryturn/lease/group_lease.h"

#include <algorithm>

namespace gooseberryturn::lease {

void GroupLease::Reset(const protocol::Group& group, const std::string& self) {
  this->assignment_fence = group.fence;
  this->expiries.clear();
  for (const protocol::Member& member : group.members) {
    if (member.host != self) {
      this->expiries[member.host] = TimePoint();
    }
  }
}

void GroupLease::RecordGrant(const std::string& member, std::uint64_t fence,
                             TimePoint requested_at, Duration length) {
  const auto found = this->expiries.find(member);
  if (fence == this->assignment_fence && found != this->expiries.end()) {
    found->second = std::max(found->second, requested_at + length);
  }
}

void GroupLease::RecordRefusal(const std::string& member) {
  const auto found = this->expiries.find(member);
  if (found != this->expiries.end()) {
    found->second = TimePoint();
  }
}

bool GroupLease::IsWhole(TimePoint now) const {
  return this->assignment_fence != 0 &&
         std::all_of(
             this->expiries.begin(), this->expiries.end(),
             [now](const std::pair<const std::string, TimePoint>& expiry) {
               return now < expiry.second;
             });
}

std::vector<std::string> GroupLease::Missing(TimePoint now) const {
  std::vector<std::string> missing;
  for (const std::pair<const std::string, TimePoint>& expiry : this->expiries) {
    if (now >= expiry.second) {
      missing.push_back(expiry.first);
    }
  }
  return missing;
}

bool LeaseGrantor::IsFreeFor(std::uint64_t fence, TimePoint now) const {
  return this->granted_fence == fence || now >= this->granted_until;
}

bool LeaseGrantor::Grant(std::uint64_t fence, Duration length, TimePoint now) {
  if (fence < this->granted_fence || !this->IsFreeFor(fence, now)) {
    return false;
  }
  const TimePoint end = now + length + this->max_drift;
  this->granted_until =
      fence == this->granted_fence ? std::max(this->granted_until, end) : end;
  this->granted_fence = fence;
  return true;
}

}  // namespace gooseberryturn::lease
