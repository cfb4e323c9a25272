#ifndef GOOSEBERRYTURN_AGENT_GROUP_LEASE_MANAGER_H_
#define GOOSEBERRYTURN_AGENT_GROUP_LEASE_MANAGER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/lease/group_lease.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/protocol/message.h"
#include "gooseberryturn/target/monitor.h"

namespace gooseberryturn::agent {

/// \brief State of this host that the lease manager depends on.
struct HostState {
  bool has_view = false;  ///< The view lease is valid.
  bool leaving = false;   ///< The host wants its group to drain.
};

/// \brief Maintains the leases of the group that this host belongs to.
///
/// \details The leader of a group serves only while every other member has
/// granted it a lease, so that a host never serves in two groups. As leader,
/// this class requests the leases while the view lease is valid; as member, it
/// grants them. A grant needs a valid view lease, a prepared target (ready,
/// and holding nothing from other assignments) and the fence of the member's
/// own assignment.
class GroupLeaseManager {
 public:
  GroupLeaseManager(boost::asio::io_context& context,
                    link::ChannelPool& channels, target::Monitor& monitor,
                    std::string host, std::uint64_t incarnation);

  /// \brief Returns the current state of the host; called for each decision.
  std::function<HostState()> host_state;
  /// \brief Called when the result of IsWhole changed.
  std::function<void()> on_change;

  void Start(link::Listener& listener);
  /// \brief Sets the group of this host from a new view; null for none.
  void Assign(const protocol::Group* group);
  /// \brief Tells the leaving members that they may leave; for a leader whose
  /// group has no request in progress.
  void ReleaseMembers();

  /// \brief True when this host leads a group, its target is prepared and the
  /// leases of all other members are valid.
  [[nodiscard]] bool IsWhole(TimePoint now) const;
  [[nodiscard]] bool is_leader() const noexcept;
  /// \brief True when this host or a member of its group wants to leave.
  [[nodiscard]] bool IsAnyLeaving() const;
  /// \brief True when this member may leave: it has no group, the leader has
  /// released it, or no lease that it granted is still valid.
  [[nodiscard]] bool IsReleased(TimePoint now) const;
  [[nodiscard]] const protocol::Group& group() const noexcept {
    return this->assignment;
  }

  /// \brief Interval between lease requests to each member.
  static constexpr Duration kRenewInterval = std::chrono::milliseconds(500);
  static constexpr Duration kLeaseDuration = std::chrono::milliseconds(1500);
  static constexpr Duration kMaxClockDrift = std::chrono::milliseconds(100);

 private:
  void Tick();
  void RequestLeases(TimePoint now);
  /// Requests a lease from `member`; a `lease` of zero tells it instead that it
  /// may leave.
  void RequestLease(const protocol::Member& member, TimePoint now,
                    Duration lease);
  void OnLeaseRequest(const std::shared_ptr<link::Stream>& stream,
                      std::string_view payload);
  /// True when `member` is this incarnation of this host.
  [[nodiscard]] bool IsSelf(const protocol::Member& member) const;
  /// True when the target is ready and holds nothing from other assignments.
  [[nodiscard]] bool IsTargetPrepared() const;
  [[nodiscard]] protocol::MemberLeaseReply HandleLeaseRequest(
      const protocol::MemberLease& request, TimePoint now);

  boost::asio::steady_timer timer;
  link::ChannelPool& channels;
  target::Monitor& monitor;
  std::string host;
  std::uint64_t incarnation;
  protocol::Group assignment;
  lease::GroupLease member_leases;
  lease::LeaseGrantor lease_grantor;
  std::set<std::string> leaving_members;
  std::uint64_t released_fence = 0;  ///< Assignment the leader released.
  TimePoint granted_until;  ///< End of the last lease granted, with drift.
  bool was_whole = false;
};

}  // namespace gooseberryturn::agent

#endif  // GOOSEBERRYTURN_AGENT_GROUP_LEASE_MANAGER_H_
