#ifndef GOOSEBERRYTURN_LEASE_VIEW_LEASE_H_
#define GOOSEBERRYTURN_LEASE_VIEW_LEASE_H_

#include <algorithm>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::lease {

/// \brief Lease under which a process may act on the view that it holds.
///
/// \details Counts from when the renewal was sent; control counts from when the
/// renewal arrived. So the lease never ends later here than at control.
class ViewLease {
 public:
  /// \param grace How long to take new work after the lease has expired. Only
  /// zero guarantees that a data centre taken out receives no new work.
  explicit ViewLease(Duration grace) : grace(grace) {}

  /// \brief Records a granted renewal that was sent at `sent_at`.
  void RecordRenewal(TimePoint sent_at, Duration length) noexcept {
    this->expires_at = std::max(this->expires_at, sent_at + length);
    this->was_granted = true;
  }
  /// \brief True while new work may be taken.
  [[nodiscard]] bool IsValid(TimePoint now) const noexcept {
    return this->was_granted && now < this->expires_at + this->grace;
  }

 private:
  Duration grace;
  TimePoint expires_at;
  bool was_granted = false;
};

}  // namespace gooseberryturn::lease

#endif  // GOOSEBERRYTURN_LEASE_VIEW_LEASE_H_
