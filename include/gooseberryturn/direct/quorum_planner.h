#ifndef GOOSEBERRYTURN_DIRECT_QUORUM_PLANNER_H_
#define GOOSEBERRYTURN_DIRECT_QUORUM_PLANNER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

#include "gooseberryturn/consensus/node.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief What the planner looks at.
struct QuorumInput {
  const consensus::Membership& membership;
  consensus::NodeId self = 0;
  consensus::Index commit = 0;
  /// Highest index that a peer is known to hold.
  std::function<consensus::Index(consensus::NodeId)> match_index;
  std::size_t tolerated = 1;
};

/// \brief Decides how the quorum changes, one host at a time; at the leader.
///
/// \details A host with an empty disk is a new identity: a learner until it
/// holds the log, then a voter. A dead identity is taken out when its address
/// has come back as another one, or when it is silent and enough live voters
/// remain without it, so that no disk that may still be needed is given up.
/// The number of voters is kept odd: when the hosts are cut in two halves, one
/// of them still holds a majority. A host too many stays a learner.
class QuorumPlanner {
 public:
  /// \brief Begins a term; all peers count as heard at `now`.
  void StartLeading(const consensus::Membership& membership, TimePoint now);
  /// \brief A host with an empty disk asks to be taken in.
  void HandleJoinRequest(const JoinRequest& request, TimePoint now);
  /// \brief A peer gave a sign of life.
  void RecordMessage(consensus::NodeId peer, TimePoint now);
  /// \brief The next membership, if it should change now.
  [[nodiscard]] std::optional<consensus::Membership> NextMembership(
      const QuorumInput& input, TimePoint now) const;

  static constexpr Duration kSilenceTimeout = std::chrono::seconds(3);
  static constexpr Duration kJoinLife = std::chrono::seconds(3);

 private:
  struct Joiner {
    JoinRequest request;
    TimePoint asked_at;
  };

  /// True when a learner may vote: alone it would make an odd number even.
  [[nodiscard]] static bool MayPromote(std::size_t voters,
                                       std::size_t live_voters,
                                       std::size_t candidates) noexcept;
  [[nodiscard]] bool IsAlive(const QuorumInput& input, consensus::NodeId peer,
                             TimePoint now) const;

  std::map<consensus::NodeId, Joiner> joiners;
  std::map<consensus::NodeId, TimePoint> heard_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_QUORUM_PLANNER_H_
