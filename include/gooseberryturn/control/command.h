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

/// \brief Operator: replace the document when it still is at `base`.
struct ApplyDocument {
  std::string change_id;
  std::uint64_t base = 0;
  std::string text;

  MSGPACK_DEFINE(change_id, base, text)
};

/// \brief Operator: take a data centre out or return it.
struct SetDataCentre {
  std::string change_id;
  std::string name;
  bool out = false;
  bool force = false;  ///< Also when it is the last one left.

  MSGPACK_DEFINE(change_id, name, out, force)
};

/// \brief Operator: keep a host free of groups, or allow it again.
struct SetDrain {
  std::string change_id;
  std::string host;
  bool drain = false;

  MSGPACK_DEFINE(change_id, host, drain)
};

/// \brief Leader: bind hosts to a group; the entry's index is its fence.
struct AssignGroup {
  protocol::Group group;
  std::uint64_t replaces = 0;  ///< Fence of the assignment it replaces.

  MSGPACK_DEFINE(group, replaces)
};

/// \brief Leader: dissolve a group.
struct RemoveGroup {
  std::string id;
  std::uint64_t fence = 0;

  MSGPACK_DEFINE(id, fence)
};

/// \brief Entry: bind a key to an attempt.
struct ClaimKey {
  protocol::Claim claim;
  std::int64_t now_ms = 0;  ///< Wall clock of the leader.

  MSGPACK_DEFINE(claim, now_ms)
};

/// \brief Entry: end of an attempt.
struct SettleKey {
  protocol::Settle settle;
  std::int64_t now_ms = 0;

  MSGPACK_DEFINE(settle, now_ms)
};

/// \brief Entry: a target died while it held these requests, or, with
/// `death` zero, it ran them well.
struct ReportDeath {
  std::uint64_t death = 0;  ///< Names the death; the same for all entries.
  std::vector<std::string> fingerprints;

  MSGPACK_DEFINE(death, fingerprints)
};

/// \brief Operator: allow a quarantined request again.
struct ClearQuarantine {
  std::string change_id;
  std::string fingerprint;

  MSGPACK_DEFINE(change_id, fingerprint)
};

/// \brief What stands in a log entry.
struct Command {
  CommandKind kind = CommandKind::kApplyDocument;
  std::string body;

  MSGPACK_DEFINE(kind, body)
};

/// \brief Result of an operator's command, kept for resends.
struct ChangeResult {
  bool accepted = false;
  std::uint64_t version = 0;  ///< Document version after the command.
  std::uint64_t index = 0;    ///< Log index of the command.
  std::string message;        ///< Why it was not accepted.

  MSGPACK_DEFINE(accepted, version, index, message)
};

/// \brief Result of applying one command.
struct CommandResult {
  ChangeResult change;
  protocol::ClaimReply claim;
  protocol::SettleReply settle;
};

}  // namespace gooseberryturn::control

MSGPACK_ADD_ENUM(gooseberryturn::control::CommandKind)

#endif  // GOOSEBERRYTURN_CONTROL_COMMAND_H_
