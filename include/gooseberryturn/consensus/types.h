#ifndef GOOSEBERRYTURN_CONSENSUS_TYPES_H_
#define GOOSEBERRYTURN_CONSENSUS_TYPES_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::consensus {

/// \brief Id of a control host; 0 for none.
using NodeId = std::uint64_t;
/// \brief Election term; 0 before the first election.
using Term = std::uint64_t;
/// \brief Position in the replicated log, from 1 on; 0 for none.
using Index = std::uint64_t;

/// \brief Kind of a log entry.
enum class EntryKind : std::uint8_t {
  kNoop,        ///< First entry of each leader's term.
  kCommand,     ///< Command for the state machine.
  kMembership,  ///< Encoded Membership, in effect once appended.
};

/// \brief One entry of the replicated log.
struct Entry;

/// \brief A control host that replicates the log.
struct Peer {
  NodeId id = 0;
  Endpoint link;              ///< Address for connections from other hosts.
  Endpoint http;              ///< Address of the operators' HTTP API.
  bool is_voter = false;      ///< False for a learner.
  std::uint64_t disk_id = 0;  ///< See Identity; 0 until it is known.

  MSGPACK_DEFINE(id, link, http, is_voter, disk_id)
};

/// \brief All control hosts, voters and learners.
struct Membership {
  std::vector<Peer> peers;

  /// \brief Peer with `id`, or nullptr.
  [[nodiscard]] const Peer* Find(NodeId id) const noexcept;
  [[nodiscard]] Peer* Find(NodeId id) noexcept;
  [[nodiscard]] bool IsVoter(NodeId id) const noexcept;
  [[nodiscard]] std::size_t VoterCount() const noexcept;
  /// \brief Number of voters that form a majority.
  [[nodiscard]] std::size_t Quorum() const noexcept;

  MSGPACK_DEFINE(peers)
};

/// \brief Term and vote, synced to disk before any message that depends on
/// them is sent.
struct HardState {
  Term term = 0;
  NodeId vote = 0;  ///< Node voted for in this term, 0 for none.

  [[nodiscard]] bool operator==(const HardState& other) const noexcept {
    return this->term == other.term && this->vote == other.vote;
  }
  [[nodiscard]] bool operator!=(const HardState& other) const noexcept {
    return !(*this == other);
  }
  MSGPACK_DEFINE(term, vote)
};

/// \brief State machine and membership as of `index`; replaces the log up to
/// that entry.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string data;  ///< Written by StateMachine::save.

  MSGPACK_DEFINE(index, term, membership, data)
};

/// \brief Kind of a message between control hosts.
enum class MessageType : std::uint8_t {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kSnapshot,
  /// The leader has resigned; the receiver starts an election at once
  /// (TimeoutNow in the Raft thesis).
  kTransfer,
};

inline constexpr NameTable<MessageType, 8> kMessageTypeNames = {
    {"pre_vote", "pre_vote_reply", "vote", "vote_reply", "append",
     "append_reply", "snapshot", "transfer"}};

}  // namespace gooseberryturn::consensus

MSGPACK_ADD_ENUM(gooseberryturn::consensus::EntryKind)
MSGPACK_ADD_ENUM(gooseberryturn::consensus::MessageType)

namespace gooseberryturn::consensus {

struct Entry {
  Term term = 0;
  Index index = 0;
  EntryKind kind = EntryKind::kNoop;
  std::string data;

  MSGPACK_DEFINE(term, index, kind, data)
};

/// \brief A message between two control hosts.
///
/// \details A heartbeat is an append without entries. Its `index` is the
/// receiver's match index, or 0 when that lies before the leader's snapshot.
struct Message {
  MessageType type = MessageType::kAppend;
  NodeId from = 0;
  NodeId to = 0;
  std::uint64_t disk_id = 0;  ///< Disk id of the sender.
  /// Term of the sender; in a pre-vote and its granted reply, the term that the
  /// candidate would run for.
  Term term = 0;
  /// In an append, the index before the first entry; in a vote request, the
  /// last index of the candidate; in an append reply, the matched index or,
  /// when rejected, the highest index that may match.
  Index index = 0;
  Term log_term = 0;  ///< Term of the entry at `index`.
  /// Commit index of the leader; in a heartbeat at most the receiver's match
  /// index.
  Index commit = 0;
  /// Heartbeat round, echoed in append replies; the leader lease is computed
  /// from the rounds that were acknowledged.
  std::uint64_t round = 0;
  bool reject = false;  ///< Vote not granted or append not accepted.
  std::vector<Entry> entries;
  Snapshot snapshot;
  /// In a vote request: the leader of the term before has resigned, so recent
  /// contact with it is no reason to refuse.
  bool is_transfer = false;

  MSGPACK_DEFINE(type, from, to, disk_id, term, index, log_term, commit, round,
                 reject, entries, snapshot, is_transfer)
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_CONSENSUS_TYPES_H_
