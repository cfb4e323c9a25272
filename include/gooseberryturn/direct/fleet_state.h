#ifndef GOOSEBERRYTURN_DIRECT_FLEET_STATE_H_
#define GOOSEBERRYTURN_DIRECT_FLEET_STATE_H_

#include <cstdint>
#include <msgpack.hpp>
#include <set>
#include <string>

#include "gooseberryturn/consensus/types.h"
#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::direct {

/// \brief Kind of a command in the replicated log.
enum class FleetCommandKind : std::uint8_t { kPutConfiguration, kEvacuate };

inline constexpr NameTable<FleetCommandKind, 2> kFleetCommandKindNames = {
    {"put_configuration", "evacuate"}};

/// \brief One command of an operator.
struct FleetCommand {
  FleetCommandKind kind = FleetCommandKind::kPutConfiguration;
  std::uint64_t version = 0;  ///< Of the configuration.
  std::string text;           ///< The configuration as it was sent.
  std::string data_centre;
  bool is_out = false;

  MSGPACK_DEFINE(kind, version, text, data_centre, is_out)
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

 private:
  consensus::Index applied = 0;
  std::uint64_t config_version = 0;
  std::string config_text;
  std::set<std::string> out;

 public:
  MSGPACK_DEFINE(applied, config_version, config_text, out)
};

}  // namespace gooseberryturn::direct

MSGPACK_ADD_ENUM(gooseberryturn::direct::FleetCommandKind)

#endif  // GOOSEBERRYTURN_DIRECT_FLEET_STATE_H_
