#ifndef GOOSEBERRYTURN_CONSENSUS_TYPES_H_
#define GOOSEBERRYTURN_CONSENSUS_TYPES_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::consensus {

using NodeId = std::uint64_t;
using Term = std::uint64_t;
using Index = std::uint64_t;

/// \brief Kind of a log entry.
enum class EntryKind : std::uint8_t {
  kNoop,        ///< First entry of each leader.
  kCommand,     ///< For the state machine.
  kMembership,  ///< A Membership, in force from when it is appended.
};

/// \brief One entry of the replicated log.
struct Entry;

/// \brief A control host in the quorum.
struct Peer {
  NodeId id = 0;
  Endpoint link;
  Endpoint http;
  bool is_voter = false;
  std::uint64_t disk_id = 0;  ///< Identity of its disk, 0 until it is known.

  MSGPACK_DEFINE(id, link, http, is_voter, disk_id)
};

/// \brief All control hosts, voters and learners.
struct Membership {
  std::vector<Peer> peers;

  [[nodiscard]] const Peer* Find(NodeId id) const noexcept;
  [[nodiscard]] Peer* Find(NodeId id) noexcept;
  [[nodiscard]] bool IsVoter(NodeId id) const noexcept;
  [[nodiscard]] std::size_t VoterCount() const noexcept;
  /// \brief Voters that make a majority.
  [[nodiscard]] std::size_t Quorum() const noexcept;

  MSGPACK_DEFINE(peers)
};

/// \brief State that must be synced before a message that depends on it.
struct HardState {
  Term term = 0;
  NodeId vote = 0;

  [[nodiscard]] bool operator==(const HardState& other) const noexcept {
    return this->term == other.term && this->vote == other.vote;
  }
  [[nodiscard]] bool operator!=(const HardState& other) const noexcept {
    return !(*this == other);
  }
  MSGPACK_DEFINE(term, vote)
};

/// \brief Everything up to `index`, as the state machine wrote it.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string data;

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
};

inline constexpr NameTable<MessageType, 7> kMessageTypeNames = {
    {"pre_vote", "pre_vote_reply", "vote", "vote_reply", "append",
     "append_reply", "snapshot"}};

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
struct Message {
  MessageType type = MessageType::kAppend;
  NodeId from = 0;
  NodeId to = 0;
  std::uint64_t disk_id = 0;  ///< Disk of the sender.
  Term term = 0;
  Index index = 0;    ///< Previous, last or matched index, by type.
  Term log_term = 0;  ///< Term of the entry at `index`.
  Index commit = 0;
  std::uint64_t round = 0;  ///< Echoed by replies; carries the leader lease.
  bool reject = false;
  std::vector<Entry> entries;
  Snapshot snapshot;

  MSGPACK_DEFINE(type, from, to, disk_id, term, index, log_term, commit, round,
                 reject, entries, snapshot)
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_CONSENSUS_TYPES_H_
