#ifndef GOOSEBERRYTURN_LEASE_GROUP_LEASE_H_
#define GOOSEBERRYTURN_LEASE_GROUP_LEASE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/protocol/view.h"

namespace gooseberryturn::lease {

/// \brief Leader's record of the leases that the members of its group granted.
///
/// \details The leader counts a lease from when it sent the request, the member
/// from when the request arrived. So a lease ends for the leader first.
class GroupLease {
 public:
  /// \brief Starts over with a new assignment and drops all leases.
  /// \param self Name of the leader's host, which needs no lease.
  void Reset(const protocol::Group& group, const std::string& self);
  /// \brief Records that `member` granted the lease requested at
  /// `requested_at`.
  void RecordGrant(const std::string& member, std::uint64_t fence,
                   TimePoint requested_at, Duration length);
  /// \brief Drops the lease of a member that refused.
  void RecordRefusal(const std::string& member);
  /// \brief True while the lease of every member is valid.
  [[nodiscard]] bool IsWhole(TimePoint now) const;
  /// \brief Members without a valid lease.
  [[nodiscard]] std::vector<std::string> Missing(TimePoint now) const;
  /// \brief Fence of the current assignment, or 0.
  [[nodiscard]] std::uint64_t fence() const noexcept {
    return this->assignment_fence;
  }

 private:
  std::uint64_t assignment_fence = 0;
  std::map<std::string, TimePoint> expiries;
};

/// \brief Member's side of the group leases: grants them to the leader.
///
/// \details While a lease for one assignment may be valid, the member grants
/// none for another, so it never counts as a member of two groups.
class LeaseGrantor {
 public:
  /// \param max_drift How much longer a lease may be valid by the leader's
  /// clock than by that of this host.
  /// \param predecessor_until When all leases that an earlier incarnation of
  /// this host granted have expired; nothing is granted before.
  LeaseGrantor(Duration max_drift, TimePoint predecessor_until)
      : max_drift(max_drift), granted_until(predecessor_until) {}

  /// \brief Grants a lease for the assignment `fence`, unless a lease for
  /// another one may still be valid or a newer one is known.
  [[nodiscard]] bool Grant(std::uint64_t fence, Duration length, TimePoint now);
  /// \brief True when no lease for another assignment than `fence` can still
  /// be valid.
  [[nodiscard]] bool IsFreeFor(std::uint64_t fence, TimePoint now) const;

 private:
  Duration max_drift;
  std::uint64_t granted_fence = 0;
  TimePoint granted_until;
};

}  // namespace gooseberryturn::lease

#endif  // GOOSEBERRYTURN_LEASE_GROUP_LEASE_H_
