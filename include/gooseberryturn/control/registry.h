#ifndef GOOSEBERRYTURN_CONTROL_REGISTRY_H_
#define GOOSEBERRYTURN_CONTROL_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/control/state.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/placement/planner.h"
#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::control {

/// \brief The leader's record of an entry or agent that renews its view lease;
/// see Viewer.
struct ViewHolder {
  protocol::Renew last_renewal;
  TimePoint lease_expires_at;  ///< When its view lease has certainly expired.
};

/// \brief The leader's record of entries and agents, from their renewals; not
/// replicated.
///
/// \details The record of a new leader is empty. It treats no host as lost
/// until every lease that its predecessor may have granted has expired.
class Registry {
 public:
  /// \param lease_with_drift Length of a view lease plus the maximum clock
  /// drift.
  explicit Registry(Duration lease_with_drift)
      : lease_with_drift(lease_with_drift) {}

  /// \brief Clears the record; called when this host becomes the leader.
  void StartLeading(TimePoint now);
  /// \brief Records a renewal.
  /// \param release_index See State::ReleaseIndex.
  void RecordRenewal(const protocol::Renew& renew, std::uint64_t release_index,
                     TimePoint now);
  /// \brief Records that a lease was granted to `host`.
  ///
  /// \details Extends the lease only. The renewal that is answered may be older
  /// than the last recorded one, so its report is not recorded again.
  void RecordGrant(const std::string& host, TimePoint now);
  /// \brief True when hosts appeared, were lost or changed in a way that
  /// affects the plan since the last call.
  [[nodiscard]] bool TakeChange(TimePoint now);
  /// \brief Removes entries and agents whose lease expired kStaleAfter ago.
  void RemoveStale(TimePoint now);

  /// \brief True once hosts that have not renewed may be treated as lost: every
  /// lease granted by an earlier leader has expired.
  [[nodiscard]] bool OldLeasesExpired(TimePoint now) const noexcept {
    return now >= this->old_leases_expire_at;
  }
  /// \brief True while the lease of `holder` may be valid.
  [[nodiscard]] bool IsAlive(const ViewHolder& holder,
                             TimePoint now) const noexcept {
    return now < holder.lease_expires_at;
  }
  /// \brief Number of entries whose lease has not expired.
  [[nodiscard]] std::int64_t LiveEntryCount(TimePoint now) const;
  /// \brief Hosts that may hold a valid lease on a view older than `index`.
  [[nodiscard]] std::vector<std::string> HostsBehind(std::uint64_t index,
                                                     TimePoint now) const;
  /// \brief Builds the planner's input.
  [[nodiscard]] placement::Inventory BuildInventory(const State& state,
                                                    TimePoint now) const;
  [[nodiscard]] const std::map<std::string, ViewHolder>& view_holders()
      const noexcept {
    return this->holders;
  }

  static constexpr Duration kStaleAfter = std::chrono::hours(1);

 private:
  Duration lease_with_drift;
  TimePoint old_leases_expire_at;
  bool has_change = true;
  std::size_t last_alive_count = 0;
  std::map<std::string, ViewHolder> holders;  ///< By host.
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_REGISTRY_H_
