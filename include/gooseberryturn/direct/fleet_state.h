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

namespace gooseberryturn::direct {

/// \brief Kind of a command in the replicated log.
enum class FleetCommandKind : std::uint8_t {
  kPutConfiguration,
  kEvacuate,
  kFleetDelta,  ///< Targets and groups as the leader knows them.
};

inline constexpr NameTable<FleetCommandKind, 3> kFleetCommandKindNames = {
    {"put_configuration", "evacuate", "note"}};

/// \brief Changes of what the leader knows of targets and groups.
///
/// \details Kept in the log so that the next leader, also after a loss of
/// power everywhere, can name the open groups before the targets spoke up.
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

/// \brief One command of an operator.
struct FleetCommand {
  FleetCommandKind kind = FleetCommandKind::kPutConfiguration;
  std::uint64_t version = 0;  ///< Of the configuration.
  std::string text;           ///< The configuration as it was sent.
  std::string data_centre;
  bool is_evacuated = false;
  FleetDelta delta;

  MSGPACK_DEFINE(kind, version, text, data_centre, is_evacuated, delta)
};

/// \brief The replicated state: configuration and data centres taken out.
///
/// \details The highest version wins; the same or a lower one changes
/// nothing, whatever its content.
class FleetState {
 public:
  void Apply(const consensus::Entry& entry);
  [[nodiscard]] std::string Save() const;
  [[nodiscard]] bool Load(const std::string& bytes);

  [[nodiscard]] consensus::Index applied_index() const noexcept {
    return this->applied;
  }
  [[nodiscard]] std::uint64_t version() const noexcept {
    return this->config_version;
  }
  [[nodiscard]] const std::string& text() const noexcept {
    return this->config_text;
  }
  [[nodiscard]] const std::set<std::string>& evacuated() const noexcept {
    return this->out;
  }
  [[nodiscard]] const std::map<std::string, TargetView>& targets()
      const noexcept {
    return this->known_targets;
  }
  [[nodiscard]] const std::map<std::string, GroupView>& groups()
      const noexcept {
    return this->known_groups;
  }

 private:
  void Take(const FleetDelta& delta);

  consensus::Index applied = 0;
  std::uint64_t config_version = 0;
  std::string config_text;
  std::set<std::string> out;
  std::map<std::string, TargetView> known_targets;
  std::map<std::string, GroupView> known_groups;

 public:
  MSGPACK_DEFINE(applied, config_version, config_text, out, known_targets,
                 known_groups)
};

}  // namespace gooseberryturn::direct

MSGPACK_ADD_ENUM(gooseberryturn::direct::FleetCommandKind)

#endif  // GOOSEBERRYTURN_DIRECT_FLEET_STATE_H_
