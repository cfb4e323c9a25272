#ifndef GOOSEBERRYTURN_DIRECT_ANNOUNCEMENT_H_
#define GOOSEBERRYTURN_DIRECT_ANNOUNCEMENT_H_

#include <algorithm>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::direct {

/// \brief State of a member as the target itself reports it.
enum class MemberState : std::uint8_t {
  kNone,
  kJoining,
  kReady,
  kOpen,
  kClosing,
  kBroken,
};

inline constexpr NameTable<MemberState, 6> kMemberStateNames = {
    {"none", "joining", "ready", "open", "closing", "broken"}};

/// \brief A target's report of the group that it belongs to.
struct Membership {
  std::string group;
  std::uint64_t epoch = 0;
  std::size_t rank = 0;  ///< 0 is the head.
  MemberState state = MemberState::kNone;

  MSGPACK_DEFINE(group, epoch, rank, state)
};

/// \brief An engine's report of its own state.
struct EngineReport {
  std::string domain;               ///< Fabric domain of the host.
  std::vector<std::string> staged;  ///< Models with a copy on the host.
  std::string loaded_model;         ///< Model in memory; empty for none.
  std::optional<Membership> membership;
  double time_factor = 1;  ///< Multiplies published times; above 1 if slower.

  [[nodiscard]] bool HasStaged(const std::string& model) const {
    return std::find(this->staged.begin(), this->staged.end(), model) !=
           this->staged.end();
  }

  MSGPACK_DEFINE(domain, staged, loaded_model, membership, time_factor)
};

/// \brief A target's heartbeat.
struct Announcement {
  std::string id;
  std::string service;
  Endpoint address;
  std::string data_centre;
  bool is_leaving = false;
  std::int64_t cold_left_ms = 0;   ///< Time for which it stays cold.
  std::uint64_t sequence = 0;      ///< Increases until the target restarts.
  std::int64_t start_time_ms = 0;  ///< Start of the target, Unix time.
  std::size_t slots = 1;
  std::optional<EngineReport> engine;
};

}  // namespace gooseberryturn::direct

MSGPACK_ADD_ENUM(gooseberryturn::direct::MemberState)

#endif  // GOOSEBERRYTURN_DIRECT_ANNOUNCEMENT_H_
