#ifndef GOOSEBERRYTURN_CONTROL_COMMAND_H_
#define GOOSEBERRYTURN_CONTROL_COMMAND_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::control {

/// \brief Kind of a command in the replicated log.
enum class CommandKind : std::uint8_t {
  kApplyDocument,
  kSetDataCentre,
  kSetDrain,
  kAssignGroup,
  kRemoveGroup,
  kClaim,
  kSettle,
  kReportDeath,
  kClearQuarantine,
};

inline constexpr NameTable<CommandKind, 9> kCommandKindNames = {
    {"apply_document", "set_data_centre", "set_drain", "assign_group",
     "remove_group", "claim", "settle", "report_death", "clear_quarantine"}};

/// \brief From an operator: replaces the configuration document if its version
/// still is `base`.
struct ApplyDocument {
  std::string change_id;  ///< Chosen by the sender; the same for a resend.
  std::uint64_t base = 0;
  std::string text;  ///< The new document.

  MSGPACK_DEFINE(change_id, base, text)
};

/// \brief From an operator: takes a data centre out of service or returns it.
struct SetDataCentre {
  std::string change_id;
  std::string name;
  bool out = false;
  bool force = false;  ///< Take it out even if it is the last one in service.

  MSGPACK_DEFINE(change_id, name, out, force)
};

/// \brief From an operator: drains a host so that no group uses it, or ends the
/// drain.
struct SetDrain {
  std::string change_id;
  std::string host;
  bool drain = false;

  MSGPACK_DEFINE(change_id, host, drain)
};

/// \brief From the leader: binds hosts to a group. The log index of the command
/// becomes the fence of the group.
struct AssignGroup {
  protocol::Group group;
  std::uint64_t replaces = 0;  ///< Fence of the replaced assignment, or 0.

  MSGPACK_DEFINE(group, replaces)
};

/// \brief From the leader: dissolves a group.
struct RemoveGroup {
  std::string name;
  std::uint64_t fence = 0;  ///< Rejected unless the group has this fence.

  MSGPACK_DEFINE(name, fence)
};

/// \brief From an entry: binds an idempotency key to an attempt.
struct ClaimKey {
  protocol::Claim claim;
  std::int64_t now_ms = 0;  ///< Wall clock of the leader.

  MSGPACK_DEFINE(claim, now_ms)
};

/// \brief From an entry: records the outcome of an attempt.
struct SettleKey {
  protocol::Settle settle;
  std::int64_t now_ms = 0;  ///< Wall clock of the leader.

  MSGPACK_DEFINE(settle, now_ms)
};

/// \brief From an entry: a target crashed while it ran these requests or, when
/// `death` is zero, they completed without a crash.
struct ReportDeath {
  /// Identifies the crash, the same in the reports of all entries; 0 for none.
  std::uint64_t death = 0;
  std::vector<std::string> fingerprints;

  MSGPACK_DEFINE(death, fingerprints)
};

/// \brief From an operator: allows a quarantined request again.
struct ClearQuarantine {
  std::string change_id;
  std::string fingerprint;

  MSGPACK_DEFINE(change_id, fingerprint)
};

/// \brief The data of a log entry: a kind and the encoded struct of that kind.
struct Command {
  CommandKind kind = CommandKind::kApplyDocument;
  std::string body;

  MSGPACK_DEFINE(kind, body)
};

/// \brief Result of an operator's or the leader's command. An operator's is
/// kept, so that a resend gets the same result.
struct ChangeResult {
  bool accepted = false;
  std::uint64_t version = 0;  ///< Document version after the command.
  std::uint64_t index = 0;    ///< Log index of the command.
  std::string message;        ///< Why the command was rejected.

  MSGPACK_DEFINE(accepted, version, index, message)
};

/// \brief Result of applying one command; only the member that belongs to the
/// kind of the command is set.
struct CommandResult {
  ChangeResult change;
  protocol::ClaimReply claim;
  protocol::SettleReply settle;
};

}  // namespace gooseberryturn::control

MSGPACK_ADD_ENUM(gooseberryturn::control::CommandKind)

#endif  // GOOSEBERRYTURN_CONTROL_COMMAND_H_
