#ifndef GOOSEBERRYTURN_PROTOCOL_MESSAGE_H_
#define GOOSEBERRYTURN_PROTOCOL_MESSAGE_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/outcome.h"
#include "gooseberryturn/core/reason.h"
#include "gooseberryturn/core/step.h"
#include "gooseberryturn/protocol/view.h"

MSGPACK_ADD_ENUM(gooseberryturn::Outcome)
MSGPACK_ADD_ENUM(gooseberryturn::Reason)
MSGPACK_ADD_ENUM(gooseberryturn::Step)

namespace gooseberryturn::protocol {

/// \brief Paths of the streams between processes.
inline constexpr char kRunPath[] = "/run";
inline constexpr char kAttemptPath[] = "/attempt";
inline constexpr char kMemberLeasePath[] = "/member-lease";
inline constexpr char kRenewPath[] = "/renew";
inline constexpr char kClaimPath[] = "/claim";
inline constexpr char kSettlePath[] = "/settle";
inline constexpr char kDeathPath[] = "/death";
inline constexpr char kConsensusPath[] = "/consensus";

/// \brief An error as it crosses a link.
struct WireError {
  Reason reason = Reason::kNone;
  Step step = Step::kAccept;
  Outcome outcome = Outcome::kNotRun;
  std::string peer;
  std::string message;

  MSGPACK_DEFINE(reason, step, outcome, peer, message)
};

[[nodiscard]] WireError ToWire(const Error& error);
[[nodiscard]] Error FromWire(const WireError& error);

/// \brief Entry to agent: run this request; its body follows.
struct HandOver {
  std::string request_id;
  std::uint64_t attempt = 0;
  std::string team;
  std::string service;
  std::string path;
  std::string content_type;
  std::string key;  ///< Idempotency key, empty for idempotent routes.
  bool idempotent = true;
  std::string group;
  std::uint64_t fence = 0;
  std::uint64_t incarnation = 0;
  std::int64_t remaining_ms = 0;
  std::uint64_t body_bytes = 0;
  bool suspect = false;  ///< A target died while it held such a request.

  MSGPACK_DEFINE(request_id, attempt, team, service, path, content_type, key,
                 idempotent, group, fence, incarnation, remaining_ms,
                 body_bytes, suspect)
};

/// \brief Agent to entry: the target began to answer.
struct AnswerHead {
  int status = 0;
  std::string content_type;

  MSGPACK_DEFINE(status, content_type)
};

/// \brief Load of a group at the instant of the message.
struct Load {
  std::int64_t in_flight = 0;
  std::int64_t limit = 0;

  MSGPACK_DEFINE(in_flight, limit)
};

/// \brief Agent to entry: end of an answer, or why there is none.
///
/// \details An answer is whole only when `error.reason` is kNone and both
/// length and digest agree with the chunks received.
struct AnswerEnd {
  WireError error;
  std::uint64_t length = 0;
  std::string digest;
  Load load;
  std::uint64_t target_death = 0;  ///< Names the death of the target, if any.

  MSGPACK_DEFINE(error, length, digest, load, target_death)
};

/// \brief Asks an agent what became of an attempt.
///
/// \details Unless the attempt is known, the agent refuses it from now on.
struct AttemptQuery {
  std::uint64_t attempt = 0;
  std::uint64_t incarnation = 0;

  MSGPACK_DEFINE(attempt, incarnation)
};

/// \brief What an agent knows of an attempt.
enum class AttemptState : std::uint8_t {
  kNeverRun,  ///< It was not run and is refused from now on.
  kRunning,
  kFinished,  ///< The answer is in the reply.
  kUnknown,   ///< Another incarnation, or the target failed during it.
};

inline constexpr NameTable<AttemptState, 4> kAttemptStateNames = {
    {"never_run", "running", "finished", "unknown"}};

/// \brief A finished answer that is kept for resends.
struct KeptAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  bool is_kept = true;  ///< False when the body was too long to keep.

  /// \brief Gives the body up; what is left only tells that the call ran.
  void DropBody() {
    this->body.clear();
    this->is_kept = false;
  }
  MSGPACK_DEFINE(status, content_type, body, is_kept)
};

}  // namespace gooseberryturn::protocol

MSGPACK_ADD_ENUM(gooseberryturn::protocol::AttemptState)

namespace gooseberryturn::protocol {

struct AttemptReply {
  AttemptState state = AttemptState::kUnknown;
  KeptAnswer answer;

  MSGPACK_DEFINE(state, answer)
};

/// \brief Leader of a group to a member: may I count on you?
struct MemberLease {
  std::string group;
  std::uint64_t fence = 0;
  std::uint64_t incarnation = 0;  ///< Of the member's agent.
  std::int64_t lease_ms = 0;      ///< Zero: the group drained, you may leave.

  MSGPACK_DEFINE(group, fence, incarnation, lease_ms)
};

struct MemberLeaseReply {
  bool granted = false;
  bool leaving = false;  ///< The member wants the group to drain.

  MSGPACK_DEFINE(granted, leaving)
};

/// \brief Role of a process that renews its view.
enum class Role : std::uint8_t { kEntry, kAgent };

inline constexpr NameTable<Role, 2> kRoleNames = {{"entry", "agent"}};

/// \brief What an agent announces of its host with each renewal.
struct HostReport {
  std::string service;
  std::string fabric_domain;
  Endpoint link;
  bool target_ready = false;
  bool leaving = false;  ///< Takes no new work, finishes what it has.
  bool drained = false;  ///< Left, nothing is in progress any more.
  bool group_serving = false;
  Load load;

  MSGPACK_DEFINE(service, fabric_domain, link, target_ready, leaving, drained,
                 group_serving, load)
};

}  // namespace gooseberryturn::protocol

MSGPACK_ADD_ENUM(gooseberryturn::protocol::Role)

namespace gooseberryturn::protocol {

/// \brief Entry or agent to control: heartbeat, report and view renewal.
struct Renew {
  Role role = Role::kEntry;
  std::string host;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  std::uint64_t known_index = 0;
  HostReport report;

  MSGPACK_DEFINE(role, host, data_centre, incarnation, known_index, report)
};

/// \brief Control to entry or agent; valid only when `granted`.
struct RenewReply {
  bool granted = false;
  std::string leader_hint;  ///< Link address of the leader when refused.
  std::int64_t lease_ms = 0;
  std::int64_t entries = 0;  ///< Live entries, for shares of contracts.
  bool drain = false;        ///< Operators want this host drained.
  ViewDelta delta;

  MSGPACK_DEFINE(granted, leader_hint, lease_ms, entries, drain, delta)
};

/// \brief Entry to control: bind a key to one attempt at one agent.
struct Claim {
  std::string team;
  std::string key;
  std::string body_digest;
  std::uint64_t attempt = 0;
  std::uint64_t replaces = 0;  ///< Attempt vouched not run, or zero.
  std::string host;
  std::uint64_t incarnation = 0;
  Endpoint link;  ///< Link of the agent, for whoever asks it later.

  MSGPACK_DEFINE(team, key, body_digest, attempt, replaces, host, incarnation,
                 link)
};

/// \brief Verdict of the replicated state on a claim.
enum class ClaimVerdict : std::uint8_t {
  kGranted,
  kInProgress,  ///< Another attempt holds the key.
  kFinished,    ///< The kept answer is in the reply.
  kUnknown,     ///< An attempt ended and nobody knows how.
  kMismatch,    ///< The key belongs to another body.
  kFull,        ///< No room for another key.
  kNotLeader,
};

inline constexpr NameTable<ClaimVerdict, 7> kClaimVerdictNames = {
    {"granted", "in_progress", "finished", "unknown", "mismatch", "full",
     "not_leader"}};

}  // namespace gooseberryturn::protocol

MSGPACK_ADD_ENUM(gooseberryturn::protocol::ClaimVerdict)

namespace gooseberryturn::protocol {

struct ClaimReply {
  ClaimVerdict verdict = ClaimVerdict::kNotLeader;
  std::uint64_t attempt = 0;  ///< Attempt that holds the key.
  std::string host;
  std::uint64_t incarnation = 0;
  Endpoint link;  ///< Link of that agent, when it is known.
  KeptAnswer answer;

  MSGPACK_DEFINE(verdict, attempt, host, incarnation, link, answer)
};

/// \brief Entry to control: how the attempt that holds a key ended.
struct Settle {
  std::string team;
  std::string key;
  std::uint64_t attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  KeptAnswer answer;

  MSGPACK_DEFINE(team, key, attempt, outcome, answer)
};

struct SettleReply {
  bool accepted = false;
  bool is_leader = false;

  MSGPACK_DEFINE(accepted, is_leader)
};

}  // namespace gooseberryturn::protocol

#endif  // GOOSEBERRYTURN_PROTOCOL_MESSAGE_H_
