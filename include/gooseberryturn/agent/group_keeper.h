#ifndef GOOSEBERRYTURN_AGENT_GROUP_KEEPER_H_
#define GOOSEBERRYTURN_AGENT_GROUP_KEEPER_H_

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

/// \brief What the rest of the agent tells the group keeper.
struct HostState {
  bool has_view = false;  ///< The view lease holds.
  bool leaving = false;
};

/// \brief Keeps the leases of the group this host belongs to.
///
/// \details As leader it asks the members for leases; as member it grants
/// them. Both need the view lease, a ready target that holds nothing from an
/// earlier assignment, and the fencing number of the newest view.
class GroupKeeper {
 public:
  GroupKeeper(boost::asio::io_context& context, link::ChannelPool& channels,
              target::Monitor& monitor, std::string host,
              std::uint64_t incarnation);

  /// \brief Current state of the host, asked at each decision.
  std::function<HostState()> host_state;
  /// \brief Called when the group became whole or stopped being whole.
  std::function<void()> on_change;

  void Start(link::Listener& listener);
  /// \brief Takes the assignment from a new view; null for none.
  void Assign(const protocol::Group* group);
  /// \brief The group has nothing in progress: its members may leave.
  void ReleaseMembers();

  /// \brief True when this host leads a group and all its members are here.
  [[nodiscard]] bool IsWhole(TimePoint now) const;
  [[nodiscard]] bool is_leader() const noexcept;
  /// \brief True when this host or a member of its group wants to leave.
  [[nodiscard]] bool IsAnyLeaving() const;
  /// \brief True when the leader said that this member may leave, or there is
  /// nobody to wait for.
  [[nodiscard]] bool IsReleased(TimePoint now) const;
  [[nodiscard]] const protocol::Group& group() const noexcept {
    return this->assigned;
  }

  static constexpr Duration kAskInterval = std::chrono::milliseconds(500);
  static constexpr Duration kLease = std::chrono::milliseconds(1500);
  static constexpr Duration kMaxDrift = std::chrono::milliseconds(100);

 private:
  void Tick();
  void AskMembers(TimePoint now);
  void Ask(const protocol::Member& member, TimePoint now, Duration lease);
  void OnAsked(const std::shared_ptr<link::Stream>& stream,
               std::string_view payload);
  [[nodiscard]] bool IsOwnMember(const protocol::Member& member) const;
  [[nodiscard]] bool IsTargetPrepared() const;
  [[nodiscard]] protocol::MemberLeaseReply Decide(
      const protocol::MemberLease& asked, TimePoint now);

  boost::asio::steady_timer timer;
  link::ChannelPool& channels;
  target::Monitor& monitor;
  std::string host;
  std::uint64_t incarnation;
  protocol::Group assigned;
  lease::GroupLease held;
  lease::LeaseGrantor promise;
  std::set<std::string> leaving_members;
  std::uint64_t released_fence = 0;
  TimePoint asked_until;  ///< A leader counted on this member until then.
  bool was_whole = false;
};

}  // namespace gooseberryturn::agent

#endif  // GOOSEBERRYTURN_AGENT_GROUP_KEEPER_H_
