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

/// \brief Identity, timeouts and limits of a node.
struct Options {
  NodeId id = 0;
  std::uint64_t disk_id = 0;  ///< See Identity.
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  Duration election_timeout_min = std::chrono::milliseconds(600);
  Duration election_timeout_max = std::chrono::milliseconds(1200);
  /// Subtracted from the leader lease: how far the clocks of two hosts may
  /// drift apart during it.
  Duration max_clock_drift = std::chrono::milliseconds(50);
  /// Limit for the entries of one append; a larger entry is sent alone.
  std::size_t max_append_bytes = 1024U * 1024U;
  std::uint64_t seed = 1;  ///< Seeds the random election timeouts.
};

/// \brief State that a node loads from storage when it starts.
struct PersistentState {
  HardState hard_state;
  Snapshot snapshot;
  std::vector<Entry> entries;
};

/// \brief Raft role of a node.
enum class NodeRole : std::uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

inline constexpr NameTable<NodeRole, 4> kNodeRoleNames = {
    {"follower", "pre_candidate", "candidate", "leader"}};

/// \brief Work that a node returns to its driver.
///
/// \details The driver persists hard state, snapshot and entries (stores and
/// syncs them), then calls Node::Persisted, and only then sends the messages,
/// loads the snapshot and applies the committed entries.
struct Ready {
  std::optional<HardState> hard_state;
  std::optional<Snapshot> snapshot;  ///< To persist and then to load.
  /// To persist; they replace all persisted entries from the first one's index
  /// on.
  std::vector<Entry> entries;
  std::vector<Message> messages;
  std::vector<Entry> committed;  ///< To apply in order.
  Index last_index = 0;          ///< Last log index once this is persisted.

  [[nodiscard]] bool NeedsStorage() const noexcept {
    return this->hard_state.has_value() || this->snapshot.has_value() ||
           !this->entries.empty();
  }
  [[nodiscard]] bool IsEmpty() const noexcept {
    return !this->NeedsStorage() && this->messages.empty() &&
           this->committed.empty();
  }
};

/// \brief Error of a proposal to a host that is not the leader.
/// \param leader Id of the known leader, or 0.
[[nodiscard]] Error NotLeaderError(NodeId leader);

/// \brief One Raft replica, with pre-vote, learners, single-host membership
/// changes and a leader lease.
///
/// \details Does no I/O, starts no threads and reads no clock: the caller
/// passes in messages and the current time and carries out the work that
/// TakeReady returns. Each Ready must be finished before the next one is taken.
///
/// \code
///   node.Tick(now);
///   Ready ready = node.TakeReady();
///   storage.Save(ready);
///   node.Persisted(ready);
///   // Then send ready.messages, load ready.snapshot if there is one
///   // and apply ready.committed, in this order.
/// \endcode
class Node {
 public:
  Node(Options options, PersistentState stored, TimePoint now);

  /// \brief Starts an election, sends heartbeats or drops a silent leader when
  /// that is due.
  void Tick(TimePoint now);
  /// \brief Processes a message from a peer.
  void Receive(const Message& message, TimePoint now);
  /// \brief Appends a command to the log of the leader.
  /// \returns Its index, or NotLeaderError when this node is not the leader.
  [[nodiscard]] Result<Index> Propose(std::string data);
  /// \brief Appends a new membership that adds, removes or promotes one host.
  /// \returns Its index; NotLeaderError; or kBadRequest when more than one host
  /// is added, removed or switched between voter and learner, when no voter is
  /// left, or while the previous change or the first entry of this term is not
  /// committed yet.
  [[nodiscard]] Result<Index> ChangeMembership(const Membership& next);
  /// \brief Gives up leadership in favour of the voter with the newest log
  /// among those in contact (leadership transfer, Raft thesis, 3.10). Unlike
  /// there, it does not wait until the voter's log is complete.
  ///
  /// \details This node holds no lease and does not lead in this term any more.
  /// Whether the voter wins is not certain: without it the usual election
  /// follows.
  /// \returns The message to the voter, which may be sent before pending writes
  /// are persisted; std::nullopt, and no change, if this node does not lead or
  /// no voter is in contact.
  [[nodiscard]] std::optional<Message> Resign(TimePoint now);
  /// \brief Stands for no election any more, also when a leader resigns in
  /// favour of this node; it still votes for others.
  void Abstain() { this->is_abstaining = true; }
  /// \brief Returns the pending work and clears it.
  [[nodiscard]] Ready TakeReady();
  /// \brief Reports that `ready` was persisted.
  void Persisted(const Ready& ready);
  /// \brief Replaces the log up to `index` by a snapshot that holds `data`, the
  /// state machine as of `index`.
  /// \returns The snapshot, to be persisted by the caller.
  [[nodiscard]] Snapshot Compact(Index index, std::string data);

  /// \brief True while this node leads and no other node can have been elected,
  /// so that it may answer reads alone.
  ///
  /// \details Needs a committed entry of this term. The lease lasts
  /// election_timeout_min less max_clock_drift, counted from the sending of the
  /// newest heartbeat round that a quorum has acknowledged.
  [[nodiscard]] bool HasLease(TimePoint now) const;
  [[nodiscard]] NodeRole role() const noexcept { return this->current_role; }
  /// \brief Id of the known leader; 0 if there is none, also once an election
  /// timeout has passed without contact.
  [[nodiscard]] NodeId leader() const noexcept { return this->leader_id; }
  [[nodiscard]] Term term() const noexcept { return this->hard_state.term; }
  [[nodiscard]] Index commit_index() const noexcept { return this->commit; }
  [[nodiscard]] const Log& log() const noexcept { return this->raft_log; }
  [[nodiscard]] const Membership& membership() const noexcept {
    return this->members;
  }
  [[nodiscard]] const Options& options() const noexcept {
    return this->settings;
  }
  /// \brief True while a membership in the log is not committed.
  [[nodiscard]] bool HasPendingMembershipChange() const;
  /// \brief Highest index known to be persisted by `peer`, 0 when unknown
  /// (leader only).
  [[nodiscard]] Index MatchIndex(NodeId peer) const;
  /// \brief True at the leader for a peer that acknowledged a heartbeat of this
  /// term that was sent less than election_timeout_min ago, and for itself.
  [[nodiscard]] bool IsInContact(NodeId peer, TimePoint now) const;
  /// \brief Peers whose messages were dropped because their disk id is not the
  /// one in the membership.
  [[nodiscard]] const std::set<NodeId>& peers_with_replaced_disk()
      const noexcept {
    return this->replaced_disk_peers;
  }

 private:
  /// Replication state of a peer at the leader.
  struct Progress {
    Index match_index = 0;          ///< Highest index known to be persisted.
    Index next_index = 1;           ///< Next entry to send.
    Index in_flight_last = 0;       ///< Last unacknowledged index sent, or 0.
    TimePoint resend_at;            ///< When unacknowledged entries are resent.
    TimePoint acked_round_sent_at;  ///< Send time of the last acked round.
    bool has_acked_round = false;
  };

  /// Up to this many voters, timeouts end at Options::election_timeout_max.
  static constexpr std::size_t kVotersWithBaseTimeout = 25;
  /// Beyond, the range is that of the settings times
  /// (voters / kVotersPerSpread).
  static constexpr std::size_t kVotersPerSpread = 5;

  /// A leader steps down after this many times
  /// Options::election_timeout_max without a quorum; by then the others have
  /// had time to elect another one.
  static constexpr int kTimeoutsWithoutQuorum = 2;

  /// A heartbeat round and its send time.
  struct HeartbeatRound {
    std::uint64_t number = 0;
    TimePoint sent_at;
  };

  void BecomeFollower(Term term, NodeId leader);
  void StartPreVote(TimePoint now);
  /// \param is_transfer The leader of the present term has resigned.
  void StartElection(TimePoint now, bool is_transfer = false);
  void BecomeLeader(TimePoint now);
  void ResetElectionTimer(TimePoint now);
  /// Leader only: sends a heartbeat when it is due, or steps down.
  void TickLeader(TimePoint now);
  /// When the newest heartbeat round was sent that a quorum has acknowledged;
  /// `now` for a quorum of one.
  [[nodiscard]] std::optional<TimePoint> QuorumAckTime(TimePoint now) const;
  /// Check-quorum (Raft thesis, 6.2): false once a quorum has acknowledged no
  /// heartbeat for kTimeoutsWithoutQuorum.
  [[nodiscard]] bool HasQuorumContact(TimePoint now) const;
  /// Upper bound of the random timeouts. It grows with the number of voters, so
  /// that the first two of many don't become candidates at about the same time
  /// and split the votes; the first one is hardly later for that.
  [[nodiscard]] Duration ElectionTimeoutMax() const;
  void RequestVotes(MessageType type, Term term, bool is_transfer = false);
  [[nodiscard]] bool IsCandidateUpToDate(const Message& message) const;
  /// True for a voter that may vote and doesn't abstain.
  [[nodiscard]] bool IsEligible() const;
  /// False when the membership has no voters, or when it holds another disk
  /// id for this node: its earlier votes and entries may be lost.
  [[nodiscard]] bool CanVote() const;
  /// True when a message with a higher term makes this node a follower of it.
  [[nodiscard]] bool ShouldAdoptTerm(const Message& message,
                                     TimePoint now) const;
  void RejectStaleTerm(const Message& message);
  void Dispatch(const Message& message, TimePoint now);
  /// True for the leader itself, and for a node that heard from the leader or
  /// started less than election_timeout_min ago.
  [[nodiscard]] bool HasRecentLeaderContact(TimePoint now) const;

  /// True if a vote request may be granted as far as the current leader is
  /// concerned: its sender is the successor of a resigned leader, or this node
  /// neither leads nor heard from a leader recently.
  [[nodiscard]] bool MayReplaceLeader(const Message& message,
                                      TimePoint now) const;
  /// Starts an election without a pre-vote if this node may become leader.
  void OnTransfer(TimePoint now);
  void OnVoteRequest(const Message& message, TimePoint now);
  void OnVoteReply(const Message& message, TimePoint now);
  void OnAppend(const Message& message, TimePoint now);
  void OnAppendReply(const Message& message, TimePoint now);
  void OnSnapshot(const Message& message, TimePoint now);

  void AppendAndReplicate(EntryKind kind, std::string data);
  void AppendToLog(const Entry& entry);
  void RefreshMembership();
  void BroadcastHeartbeat(TimePoint now);
  void SendHeartbeat(NodeId peer, const Progress& progress);
  void SendEntries(NodeId peer, Progress& progress, TimePoint now);
  void RecordAck(Progress& progress, std::uint64_t round);
  void SendSnapshot(NodeId peer, Progress& progress, TimePoint now);
  void AdvanceCommit();
  void StepDownIfRemoved();
  void TruncateConflicts(const std::vector<Entry>& incoming);
  [[nodiscard]] Membership MembershipAt(Index index) const;
  /// Adds the disk ids of this node and of the sender to the membership if
  /// they are missing there.
  void RecordDiskIds(const Message& message);
  /// True unless the membership holds another disk id for the sender; then the
  /// sender is added to peers_with_replaced_disk.
  [[nodiscard]] bool CheckDiskId(const Message& message);
  [[nodiscard]] Message MakeMessage(MessageType type, NodeId peer) const;

  Options settings;
  HardState hard_state;
  HardState previous_hard_state;  ///< As of the last Ready.
  Log raft_log;
  Membership members;
  /// Last index that is persisted; a received snapshot counts as persisted at
  /// once.
  Index persisted_index;
  Index pending_from = 0;  ///< First index not yet in a Ready, or 0.
  Index commit;
  Index applying_index;  ///< Last index returned in Ready::committed.
  std::optional<Snapshot> pending_snapshot;  ///< Received, not in a Ready.

  NodeRole current_role = NodeRole::kFollower;
  NodeId leader_id = 0;
  bool is_abstaining = false;  ///< See Abstain.
  TimePoint last_leader_contact;
  TimePoint election_deadline;
  TimePoint next_heartbeat_at;
  TimePoint elected_at;    ///< As the leader of this term.
  TimePoint current_time;  ///< Time of the last Tick or Receive.
  std::set<NodeId> votes;
  std::map<NodeId, Progress> progress;
  std::vector<HeartbeatRound> heartbeat_rounds;
  std::uint64_t round_number = 0;
  Index term_start_index = 0;  ///< First entry of this leader.
  /// The lease holds at least until then in this term and with the present
  /// membership: acknowledgements only extend it. See HasLease.
  mutable TimePoint lease_until;
  mutable Term lease_term = 0;  ///< 0 if `lease_until` is not known.
  std::set<NodeId> replaced_disk_peers;
  std::vector<Message> outbox;
  std::mt19937_64 random_engine;
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_CONSENSUS_NODE_H_
