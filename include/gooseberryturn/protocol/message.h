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

/// \brief Paths (`:path`) of the HTTP/2 streams between processes.
inline constexpr char kRunPath[] = "/run";
inline constexpr char kAttemptPath[] = "/attempt";
inline constexpr char kMemberLeasePath[] = "/member-lease";
inline constexpr char kRenewPath[] = "/renew";
inline constexpr char kClaimPath[] = "/claim";
inline constexpr char kSettlePath[] = "/settle";
inline constexpr char kDeathPath[] = "/death";
inline constexpr char kConsensusPath[] = "/consensus";

/// \brief Serialized form of Error.
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

/// \brief Entry to agent: hands over one attempt of a request.
///
/// \details The request body follows in kBody frames.
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
  std::int64_t remaining_ms = 0;  ///< Time left until the deadline.
  std::uint64_t body_bytes = 0;
  bool suspect = false;  ///< A target crashed while it held this request.

  MSGPACK_DEFINE(request_id, attempt, team, service, path, content_type, key,
                 idempotent, group, fence, incarnation, remaining_ms,
                 body_bytes, suspect)
};

/// \brief Agent to entry: status and content type, sent when the target starts
/// to answer.
struct AnswerHead {
  int status = 0;
  std::string content_type;

  MSGPACK_DEFINE(status, content_type)
};

/// \brief Requests in flight in a group and its concurrency limit.
struct Load {
  std::int64_t in_flight = 0;
  std::int64_t limit = 0;

  MSGPACK_DEFINE(in_flight, limit)
};

/// \brief Agent to entry: end of an answer, or the error if there is none.
///
/// \details An answer is complete only if `error.reason` is kNone and both
/// `length` and `digest` match the chunks received.
struct AnswerEnd {
  WireError error;
  std::uint64_t length = 0;
  std::string digest;
  Load load;
  std::uint64_t target_death = 0;  ///< Boot number of a crashed target, or 0.

  MSGPACK_DEFINE(error, length, digest, load, target_death)
};

/// \brief Entry to agent: asks for the state of an attempt.
///
/// \details If the agent does not know the attempt, it refuses it from then on,
/// so that kNeverRun stays true.
struct AttemptQuery {
  std::uint64_t attempt = 0;
  std::uint64_t incarnation = 0;

  MSGPACK_DEFINE(attempt, incarnation)
};

/// \brief State of an attempt as its agent knows it.
enum class AttemptState : std::uint8_t {
  kNeverRun,  ///< It did not run and is refused from now on.
  kRunning,
  kFinished,  ///< The answer is in the reply.
  kUnknown,   ///< The agent restarted, or the target failed during it.
};

inline constexpr NameTable<AttemptState, 4> kAttemptStateNames = {
    {"never_run", "running", "finished", "unknown"}};

/// \brief Answer of a finished request, kept so that it can be sent again.
struct KeptAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
  bool is_kept = true;  ///< False when the body was too long to keep.

  /// \brief Drops the body; the rest still shows that the request ran.
  void DropBody() {
    this->body.clear();
    this->is_kept = false;
  }
  MSGPACK_DEFINE(status, content_type, body, is_kept)
};

}  // namespace gooseberryturn::protocol

MSGPACK_ADD_ENUM(gooseberryturn::protocol::AttemptState)

namespace gooseberryturn::protocol {

/// \brief Reply to AttemptQuery; `answer` is set only for kFinished.
struct AttemptReply {
  AttemptState state = AttemptState::kUnknown;
  KeptAnswer answer;

  MSGPACK_DEFINE(state, answer)
};

/// \brief Leader of a group to a member: asks for a lease on the member.
struct MemberLease {
  std::string group;
  std::uint64_t fence = 0;
  std::uint64_t incarnation = 0;  ///< Of the member's agent.
  std::int64_t lease_ms = 0;  ///< Zero: the group has drained and the member
                              ///< may leave.

  MSGPACK_DEFINE(group, fence, incarnation, lease_ms)
};

/// \brief Reply to MemberLease.
struct MemberLeaseReply {
  bool granted = false;
  bool leaving = false;  ///< The member wants the group to drain.

  MSGPACK_DEFINE(granted, leaving)
};

/// \brief Role of a process that renews its view.
enum class Role : std::uint8_t { kEntry, kAgent };

inline constexpr NameTable<Role, 2> kRoleNames = {{"entry", "agent"}};

/// \brief State of a host that its agent reports with each renewal.
struct HostReport {
  std::string service;
  std::string fabric_domain;
  Endpoint link;
  bool target_ready = false;
  bool leaving = false;  ///< Accepts no new requests, finishes the others.
  bool drained = false;  ///< Leaving, and no request is in progress.
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
  std::uint64_t known_index = 0;  ///< Index of the sender's view, 0 if none.
  HostReport report;

  MSGPACK_DEFINE(role, host, data_centre, incarnation, known_index, report)
};

/// \brief Control to entry or agent: reply to Renew.
///
/// \details If not `granted`, only `leader_hint` is meaningful.
struct RenewReply {
  bool granted = false;
  std::string leader_hint;  ///< Link address of the leader, if refused.
  std::int64_t lease_ms = 0;
  std::int64_t entries = 0;  ///< Live entries, which share each team's limits.
  bool drain = false;        ///< An operator asked to drain this host.
  ViewDelta delta;

  MSGPACK_DEFINE(granted, leader_hint, lease_ms, entries, drain, delta)
};

/// \brief Entry to control: binds an idempotency key to one attempt at one
/// agent.
struct Claim {
  std::string team;
  std::string key;
  std::string body_digest;
  std::uint64_t attempt = 0;
  std::uint64_t replaces = 0;  ///< Attempt that this one replaces and that
                               ///< is known not to have run, or zero.
  std::string host;
  std::uint64_t incarnation = 0;
  Endpoint link;  ///< Link address of the agent, for later AttemptQuery calls.

  MSGPACK_DEFINE(team, key, body_digest, attempt, replaces, host, incarnation,
                 link)
};

/// \brief Result of a claim.
enum class ClaimVerdict : std::uint8_t {
  kGranted,
  kInProgress,  ///< Another attempt holds the key.
  kFinished,    ///< The kept answer is in the reply.
  kUnknown,     ///< Whether an earlier attempt ran is unknown.
  kMismatch,    ///< The key was claimed with a different request body.
  kFull,        ///< The claim table is full.
  kNotLeader,
};

inline constexpr NameTable<ClaimVerdict, 7> kClaimVerdictNames = {
    {"granted", "in_progress", "finished", "unknown", "mismatch", "full",
     "not_leader"}};

}  // namespace gooseberryturn::protocol

MSGPACK_ADD_ENUM(gooseberryturn::protocol::ClaimVerdict)

namespace gooseberryturn::protocol {

/// \brief Reply to Claim.
struct ClaimReply {
  ClaimVerdict verdict = ClaimVerdict::kNotLeader;
  std::uint64_t attempt = 0;  ///< Attempt that holds the key.
  std::string host;
  std::uint64_t incarnation = 0;
  Endpoint link;  ///< Link address of that agent, if known.
  KeptAnswer answer;

  MSGPACK_DEFINE(verdict, attempt, host, incarnation, link, answer)
};

/// \brief Entry to control: outcome of the attempt that holds a key.
struct Settle {
  std::string team;
  std::string key;
  std::uint64_t attempt = 0;
  Outcome outcome = Outcome::kUnknown;
  KeptAnswer answer;

  MSGPACK_DEFINE(team, key, attempt, outcome, answer)
};

/// \brief Reply to Settle.
struct SettleReply {
  bool accepted = false;
  bool is_leader = false;

  MSGPACK_DEFINE(accepted, is_leader)
};

}  // namespace gooseberryturn::protocol

#endif  // GOOSEBERRYTURN_PROTOCOL_MESSAGE_H_
