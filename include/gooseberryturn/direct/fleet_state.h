#ifndef GOOSEBERRYTURN_DIRECT_FLEET_STATE_H_
#define GOOSEBERRYTURN_DIRECT_FLEET_STATE_H_

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/consensus/types.h"
#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/direct/view.h"
#include "gooseberryturn/duty/calls.h"
#include "gooseberryturn/duty/usage_record.h"

namespace gooseberryturn::direct {

/// \brief Kind of a command in the replicated log.
enum class FleetCommandKind : std::uint8_t {
  kPutConfiguration,
  kEvacuate,
  kFleetDelta,        ///< Changes of targets and groups.
  kSuspects,          ///< All content that is suspected or quarantined.
  kTakeDuties,        ///< Names the host that calls the platform.
  kAddUsage,          ///< Totals of entries; see duty::UsageLedger.
  kCloseUsage,        ///< Sets the content of a window.
  kAcknowledgeUsage,  ///< The platform has the report of a window.
};

inline constexpr NameTable<FleetCommandKind, 8> kFleetCommandKindNames = {
    {"put_configuration", "evacuate", "note", "suspects", "take_duties",
     "add_usage", "close_usage", "acknowledge_usage"}};

/// \brief Changes of the leader's targets and groups.
///
/// \details Replicated so that the next leader, also after a power failure of
/// all hosts, knows the open groups before the targets announce themselves.
struct FleetDelta {
  std::vector<TargetView> targets;
  std::vector<std::string> removed_targets;
  std::vector<GroupView> groups;
  std::vector<std::string> removed_groups;

  [[nodiscard]] bool IsEmpty() const noexcept {
    return this->targets.empty() && this->removed_targets.empty() &&
           this->groups.empty() && this->removed_groups.empty();
  }
  MSGPACK_DEFINE(targets, removed_targets, groups, removed_groups)
};

/// \brief Part of a command that concerns usage.
struct UsageChange {
  std::vector<duty::EntryUsage> totals;  ///< Of kAddUsage.
  std::int64_t window = 0;               ///< Of the other kinds.
  duty::TeamCounts counts;               ///< Of kCloseUsage.

  MSGPACK_DEFINE(totals, window, counts)
};

/// \brief A command of an operator, or the leader's FleetDelta.
struct FleetCommand {
  FleetCommandKind kind = FleetCommandKind::kPutConfiguration;
  std::uint64_t version = 0;  ///< Of the configuration.
  /// The configuration as submitted, compressed or not; see IsCompressed.
  std::string text;
  std::string data_centre;
  bool is_evacuated = false;
  FleetDelta delta;
  std::vector<SuspectRecord> suspects;
  /// Change `data_centre` only if `revision` is still its own; see
  /// FleetState::Revision.
  bool is_conditional = false;
  std::uint64_t revision = 0;
  std::string duty_host;  ///< Of kTakeDuties.
  UsageChange usage;

  MSGPACK_DEFINE(kind, version, text, data_centre, is_evacuated, delta,
                 suspects, is_conditional, revision, duty_host, usage)
};

/// \brief The replicated state: configuration, data centres out of service,
/// targets, groups, content that crashes targets, and duties.
///
/// \details A configuration with the same or a lower version than the current
/// one is ignored, whatever its content.
class FleetState {
 public:
  /// \brief Applies a committed log entry.
  void Apply(const consensus::Entry& entry);
  /// \brief Encodes the state as a snapshot.
  [[nodiscard]] std::string Save() const;
  /// \brief Replaces the state by a snapshot; false if it can't be decoded.
  [[nodiscard]] bool Load(const std::string& bytes);

  [[nodiscard]] consensus::Index applied_index() const noexcept {
    return this->applied;
  }
  /// \brief Version of the configuration; 0 for none.
  [[nodiscard]] std::uint64_t version() const noexcept {
    return this->config_version;
  }
  /// \brief Text of the configuration.
  [[nodiscard]] const std::string& text() const noexcept {
    return this->config_text;
  }
  [[nodiscard]] const std::set<std::string>& evacuated() const noexcept {
    return this->evacuated_data_centres;
  }
  /// \brief Log index of the last order that took the data centre out of
  /// service or returned it; 0 if none is known.
  [[nodiscard]] consensus::Index Revision(const std::string& data_centre) const;
  /// \brief Number of data centres whose revision is known.
  [[nodiscard]] std::size_t ordered_data_centres() const noexcept {
    return this->revisions.size();
  }
  [[nodiscard]] const std::map<std::string, TargetView>& targets()
      const noexcept {
    return this->known_targets;
  }
  [[nodiscard]] const std::map<std::string, GroupView>& groups()
      const noexcept {
    return this->known_groups;
  }
  [[nodiscard]] const std::vector<SuspectRecord>& suspects() const noexcept {
    return this->known_suspects;
  }
  /// \brief The host named last to call the platform; its fencing token is the
  /// log index of the command that named it, 0 if there was none.
  [[nodiscard]] const duty::Holder& duty_holder() const noexcept {
    return this->holder;
  }
  [[nodiscard]] const duty::UsageRecord& usage() const noexcept {
    return this->usage_record;
  }

 private:
  void PutConfiguration(const FleetCommand& command);
  /// \param index Of the command in the log.
  void SetEvacuated(const FleetCommand& command, consensus::Index index);
  void ApplyDelta(const FleetDelta& delta);

  consensus::Index applied = 0;
  std::uint64_t config_version = 0;
  std::string config_text;
  std::set<std::string> evacuated_data_centres;
  std::map<std::string, TargetView> known_targets;
  std::map<std::string, GroupView> known_groups;
  std::vector<SuspectRecord> known_suspects;
  std::map<std::string, consensus::Index> revisions;  ///< By data centre.
  duty::Holder holder;
  duty::UsageRecord usage_record;

 public:
  MSGPACK_DEFINE(applied, config_version, config_text, evacuated_data_centres,
                 known_targets, known_groups, known_suspects, revisions, holder,
                 usage_record)
};

}  // namespace gooseberryturn::direct

MSGPACK_ADD_ENUM(gooseberryturn::direct::FleetCommandKind)

#endif  // GOOSEBERRYTURN_DIRECT_FLEET_STATE_H_
