#ifndef GOOSEBERRYTURN_LEASE_GROUP_LEASE_H_
#define GOOSEBERRYTURN_LEASE_GROUP_LEASE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/protocol/view.h"

namespace gooseberryturn::lease {

/// \brief Held by the leader of a group: the leases its members granted.
///
/// \details A lease counts from when the leader asked for it, and the member
/// counts it from when the question arrived, which is never earlier.
class GroupLease {
 public:
  /// \brief Starts anew for an assignment; all leases are dropped.
  void Reset(const protocol::Group& group, const std::string& self);
  /// \brief Notes that `member` granted the lease asked for at `asked_at`.
  void RecordGrant(const std::string& member, std::uint64_t fence,
                   TimePoint asked_at, Duration length);
  /// \brief Drops the lease of a member that refused.
  void RecordRefusal(const std::string& member);
  /// \brief True while every member's lease holds.
  [[nodiscard]] bool IsWhole(TimePoint now) const;
  /// \brief Members whose leases do not hold.
  [[nodiscard]] std::vector<std::string> Missing(TimePoint now) const;
  [[nodiscard]] std::uint64_t fence() const noexcept {
    return this->assignment;
  }

 private:
  std::uint64_t assignment = 0;
  std::map<std::string, TimePoint> deadlines;
};

/// \brief Held by a member: what it promised to the leader of its group.
///
/// \details While a promise to one assignment holds, the member grants no
/// lease to another, so it never counts for two groups.
class LeaseGrantor {
 public:
  /// \param predecessor_until When every promise of an earlier incarnation of
  /// this host has run out; until then nothing is granted.
  LeaseGrantor(Duration max_drift, TimePoint predecessor_until)
      : max_drift(max_drift), until(predecessor_until) {}

  /// \brief Grants a lease to assignment `fence`, unless another one may
  /// still count on this host or a newer one is known.
  [[nodiscard]] bool Grant(std::uint64_t fence, Duration length, TimePoint now);
  /// \brief True when no other assignment than `fence` can count on this
  /// host.
  [[nodiscard]] bool IsFreeFor(std::uint64_t fence, TimePoint now) const;

 private:
  Duration max_drift;
  std::uint64_t promised = 0;
  TimePoint until;
};

}  // namespace gooseberryturn::lease

#endif  // GOOSEBERRYTURN_LEASE_GROUP_LEASE_H_
