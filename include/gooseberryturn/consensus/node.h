#ifndef GOOSEBERRYTURN_CONSENSUS_NODE_H_
#define GOOSEBERRYTURN_CONSENSUS_NODE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/consensus/log.h"
#include "gooseberryturn/consensus/types.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"

namespace gooseberryturn::consensus {

/// \brief Timing and identity of a node.
struct Options {
  NodeId id = 0;
  std::uint64_t disk_id = 0;
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  Duration election_timeout_min = std::chrono::milliseconds(600);
  Duration election_timeout_max = std::chrono::milliseconds(1200);
  Duration max_clock_drift = std::chrono::milliseconds(50);
  std::size_t max_append_bytes = 1024U * 1024U;
  std::uint64_t seed = 1;
};

/// \brief What a node holds when it starts.
struct PersistentState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> entries;
};

/// \brief Part a node plays.
enum class NodeRole : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

inline constexpr NameTable<NodeRole, 4> kNodeRoleNames = {
    {"follower", "pre_candidate", "candidate", "leader"}};

/// \brief Work that a node hands to its driver.
///
/// \details The driver syncs hard state, snapshot and entries first, then
/// calls Node::Persisted, then sends the messages and applies the rest.
struct Ready {
  std::optional<HardState> hard_state;
  std::optional<Snapshot> snapshot;  ///< To be stored and then applied.
  std::vector<Entry> entries;  ///< Replace whatever is stored from the first.
  std::vector<Message> messages;
  std::vector<Entry> committed;  ///< To be applied in order.
  Index last_index = 0;          ///< Last index stored once this is synced.

  [[nodiscard]] bool NeedsStorage() const noexcept {
    return this->hard_state.has_value() || this->snapshot.has_value() ||
           !this->entries.empty();
  }
  [[nodiscard]] bool IsEmpty() const noexcept {
    return !this->NeedsStorage() && this->messages.empty() &&
           this->committed.empty();
  }
};

/// \brief The error of a proposal at a host that does not lead.
[[nodiscard]] Error NotLeader(NodeId leader);

/// \brief One replica of the log: the Raft algorithm with pre-vote, learners,
/// single-host membership changes and a leader lease.
///
/// \details Free of sockets, threads and clocks: events and the time go in,
/// Ready comes out. One Ready is in work at a time.
///
/// \code
///   node.Tick(now);
///   Ready ready = node.TakeReady();
///   storage.Save(ready);
///   node.Persisted(ready, now);
/// \endcode
class Node {
 public:
  Node(Options options, PersistentState stored, TimePoint now);

  /// \brief Lets time pass: elections and heartbeats.
  void Tick(TimePoint now);
  /// \brief Takes a message from a peer.
  void Receive(const Message& message, TimePoint now);
  /// \brief Appends a command at the leader.
  /// \returns Its index, or an error when this node does not lead.
  [[nodiscard]] Result<Index> Propose(std::string data);
  /// \brief Appends a new membership that differs in one host.
  [[nodiscard]] Result<Index> ChangeMembership(const Membership& next);
  /// \brief Takes what is to be done now.
  [[nodiscard]] Ready TakeReady();
  /// \brief Tells the node that `ready` is synced.
  void Persisted(const Ready& ready);
  /// \brief Replaces the log up to `index` by a snapshot of the state machine.
  /// \returns The snapshot, for the storage.
  [[nodiscard]] Snapshot Compact(Index index, std::string data);

  /// \brief True while no other node can lead: this one may answer reads.
  [[nodiscard]] bool HasLease(TimePoint now) const;
  [[nodiscard]] NodeRole role() const noexcept { return this->part; }
  [[nodiscard]] NodeId leader() const noexcept { return this->leader_id; }
  [[nodiscard]] Term term() const noexcept { return this->hard.term; }
  [[nodiscard]] Index commit_index() const noexcept { return this->commit; }
  [[nodiscard]] const Log& log() const noexcept { return this->entries; }
  [[nodiscard]] const Membership& membership() const noexcept {
    return this->members;
  }
  [[nodiscard]] const Options& options() const noexcept {
    return this->settings;
  }
  /// \brief Highest index that `peer` is known to hold (leader only).
  [[nodiscard]] Index MatchIndex(NodeId peer) const;
  /// \brief Peers whose messages were dropped because their disk changed.
  [[nodiscard]] const std::set<NodeId>& peers_with_replaced_disk()
      const noexcept {
    return this->replaced_disks;
  }

 private:
  /// What the leader knows of a peer.
  struct Progress {
    Index match = 0;
    Index next = 1;
    Index in_flight_last = 0;  ///< Last entry sent and unanswered, or 0.
    TimePoint resend_at;       ///< When it is repeated all the same.
    TimePoint last_ack_sent;   ///< Sending time of the newest acked round.
    bool has_ack = false;
  };

  /// When a heartbeat round was sent.
  struct Round {
    std::uint64_t number = 0;
    TimePoint sent_at;
  };

  void BecomeFollower(Term term, NodeId leader);
  void StartPreVote(TimePoint now);
  void StartElection(TimePoint now);
  void BecomeLeader(TimePoint now);
  void ResetElection(TimePoint now);
  void AskForVotes(MessageType type, Term term);
  [[nodiscard]] bool IsCandidateCurrent(const Message& message) const;
  [[nodiscard]] bool MayVote() const;
  [[nodiscard]] bool TakesTerm(const Message& message, TimePoint now) const;
  void RejectOldTerm(const Message& message);
  void Dispatch(const Message& message, TimePoint now);
  [[nodiscard]] bool HearsLeader(TimePoint now) const;

  void OnVoteRequest(const Message& message, TimePoint now);
  void OnVoteReply(const Message& message, TimePoint now);
  void OnAppend(const Message& message, TimePoint now);
  void OnAppendReply(const Message& message, TimePoint now);
  void OnSnapshot(const Message& message, TimePoint now);

  void AppendEntry(EntryKind kind, std::string data);
  void Store(const Entry& entry);
  void RefreshMembership();
  void Broadcast(TimePoint now);
  void SendHeartbeat(NodeId peer, const Progress& progress);
  void SendEntries(NodeId peer, Progress& progress, TimePoint now);
  void NoteAck(Progress& progress, std::uint64_t round);
  void SendSnapshot(NodeId peer, Progress& progress, TimePoint now);
  void AdvanceCommit();
  void StepDownWhenRemoved();
  void DropConflict(const std::vector<Entry>& incoming);
  [[nodiscard]] Membership MembershipAt(Index index) const;
  void BindDisk(const Message& message);
  [[nodiscard]] bool IsFromKnownDisk(const Message& message);
  [[nodiscard]] Message MakeMessage(MessageType type, NodeId peer) const;
  [[nodiscard]] bool HasPendingMembership() const;

  Options settings;
  HardState hard;
  HardState stored_hard;
  Log entries;
  Membership members;
  Index stored_index;
  Index unstored_from = 0;  ///< First index not yet handed to the storage.
  Index commit;
  Index handed_out;  ///< Last index given out as committed.
  std::optional<Snapshot> unstored_snapshot;

  NodeRole part = NodeRole::kFollower;
  NodeId leader_id = 0;
  TimePoint leader_heard_at;
  TimePoint election_at;
  TimePoint heartbeat_at;
  TimePoint last_now;
  std::set<NodeId> votes;
  std::map<NodeId, Progress> progress;
  std::vector<Round> rounds;
  std::uint64_t round_number = 0;
  Index term_start = 0;  ///< Index of this leader's first entry.
  std::set<NodeId> replaced_disks;
  std::vector<Message> outbox;
  std::mt19937_64 random;
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_CONSENSUS_NODE_H_
