#ifndef GOOSEBERRYTURN_DIRECT_QUORUM_PLANNER_H_
#define GOOSEBERRYTURN_DIRECT_QUORUM_PLANNER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "gooseberryturn/consensus/node.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief True if a host that doesn't lead has to ask to be added to the
/// quorum: it isn't in its own copy of the membership, or hears from no leader.
/// That copy may be outdated: a host that was silent for too long is removed
/// without being notified.
[[nodiscard]] bool NeedsToJoin(const consensus::Node& node);

/// \brief State on which a quorum change is decided.
struct QuorumInput {
  const consensus::Membership& membership;
  consensus::NodeId self = 0;  ///< The leader itself.
  consensus::Index commit_index = 0;
  /// Highest log index known to be replicated to a peer.
  std::function<consensus::Index(consensus::NodeId)> match_index;
  /// Whether a peer, or the leader itself, is known to be alive now; see
  /// Node::IsInContact.
  std::function<bool(consensus::NodeId)> is_in_contact;
  std::size_t tolerated_failures = 1;  ///< Hosts that may fail at a time.
  /// An entry with a membership is not committed yet.
  bool is_change_pending = false;
};

/// \brief Input of the host that runs `node`.
[[nodiscard]] QuorumInput MakeQuorumInput(const consensus::Node& node,
                                          std::size_t tolerated_failures,
                                          TimePoint now);

/// \brief Decides how the quorum changes, one host at a time; used by the
/// leader.
///
/// \details The quorum is the set of control hosts that replicate the log,
/// voters and learners (consensus::Membership), not the number of votes that
/// make a majority (consensus::Membership::Quorum). A host with an empty disk
/// joins under a new id: as a learner until it has caught up with the log, then
/// as a voter. A peer is removed when its address is in use under another id,
/// or when it is silent or leaves and enough voters remain without it; until
/// then its disk may still be needed. The number of voters is kept odd, so that
/// after a partition into two halves one half still has a majority. A surplus
/// host stays a learner. See docs/design/015-membership-of-the-core.md.
class QuorumPlanner {
 public:
  /// \brief Starts a term. Every peer counts as heard at `now`, so that none
  /// is removed before it had time to send a message.
  void StartLeading(const consensus::Membership& membership, TimePoint now);
  /// \brief Records that a host with an empty disk asks to join.
  void HandleJoinRequest(const JoinRequest& request, TimePoint now);
  /// \brief Records that a host is being stopped and asks to be removed.
  /// \returns How far that has come; the host repeats the request until then.
  [[nodiscard]] LeaveState HandleLeaveRequest(consensus::NodeId id,
                                              const QuorumInput& input,
                                              TimePoint now);
  /// \brief Records that a message from `peer` arrived.
  void RecordMessage(consensus::NodeId peer, TimePoint now);
  /// \brief True if a message from `peer` arrived at `since` or later.
  [[nodiscard]] bool WasHeardSince(consensus::NodeId peer,
                                   TimePoint since) const;
  /// \brief The membership to change to, or nothing if it should stay.
  [[nodiscard]] std::optional<consensus::Membership> NextMembership(
      const QuorumInput& input, TimePoint now) const;

  /// A peer counts as dead after this time without a message or join request.
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(3);
  /// Time for which a join request may add its host to the membership.
  static constexpr Duration kJoinRequestLifetime = std::chrono::seconds(3);
  /// Time after its last request for which a host counts as leaving.
  static constexpr Duration kLeaveRequestLifetime = std::chrono::seconds(1);

 private:
  /// The latest join request of a host.
  struct PendingJoin {
    JoinRequest request;
    TimePoint requested_at;
  };

  /// True if a learner may become a voter: the number of voters that stay is
  /// even, or too small while a voter leaves or is dead, or a second learner
  /// can follow to make the number odd again.
  [[nodiscard]] static bool MayPromote(
      const QuorumInput& input, std::size_t staying_voters,
      std::size_t promotable_learners) noexcept;
  /// Learners that stay, are in contact and have caught up with the log.
  [[nodiscard]] std::vector<consensus::Peer> PromotableLearners(
      const QuorumInput& input, TimePoint now) const;
  /// The membership without the earlier identity of a learner, which lost its
  /// disk at the same address.
  [[nodiscard]] static std::optional<consensus::Membership> WithoutLostIdentity(
      const QuorumInput& input, const std::vector<consensus::Peer>& learners);
  /// The membership without a peer that leaves or is dead, if it may be
  /// removed.
  [[nodiscard]] std::optional<consensus::Membership> WithoutDeparted(
      const QuorumInput& input, bool has_promotable_learner,
      TimePoint now) const;
  /// The membership with a host that asked to join as a further learner.
  [[nodiscard]] std::optional<consensus::Membership> WithJoined(
      const QuorumInput& input, TimePoint now) const;
  /// True if the voters of `next` that are in contact make its majority without
  /// `added`, which the change adds; 0 for none. The only voter can't do
  /// without the second one.
  [[nodiscard]] static bool CanCommit(const QuorumInput& input,
                                      const consensus::Membership& next,
                                      consensus::NodeId added);
  /// True if a learner is there, even one that has not caught up yet, that can
  /// take the place of a voter.
  [[nodiscard]] bool HasSuccessor(const QuorumInput& input,
                                  TimePoint now) const;
  [[nodiscard]] bool IsAlive(const QuorumInput& input, consensus::NodeId peer,
                             TimePoint now) const;
  [[nodiscard]] bool IsLeaving(consensus::NodeId peer, TimePoint now) const;
  /// True for a peer that is alive and doesn't leave.
  [[nodiscard]] bool IsStaying(const QuorumInput& input, consensus::NodeId peer,
                               TimePoint now) const;
  [[nodiscard]] std::size_t CountStayingVoters(const QuorumInput& input,
                                               TimePoint now) const;

  std::map<consensus::NodeId, PendingJoin> pending_joins;
  std::map<consensus::NodeId, TimePoint> leaving_until;
  std::map<consensus::NodeId, TimePoint> last_heard_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_QUORUM_PLANNER_H_
