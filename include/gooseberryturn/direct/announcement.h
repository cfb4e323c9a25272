#ifndef GOOSEBERRYTURN_DIRECT_ANNOUNCEMENT_H_
#define GOOSEBERRYTURN_DIRECT_ANNOUNCEMENT_H_

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

/// \brief A target's own word on the group that it belongs to.
struct Membership {
  std::string group;
  std::uint64_t epoch = 0;
  std::size_t rank = 0;  ///< 0 is the head.
  MemberState state = MemberState::kNone;

  MSGPACK_DEFINE(group, epoch, rank, state)
};

/// \brief What an engine says of itself.
struct EngineReport {
  std::string domain;               ///< Fabric domain of the host.
  std::vector<std::string> staged;  ///< Models kept on the host.
  std::string loaded_model;         ///< Model in memory, empty for none.
  std::optional<Membership> membership;
  double pace = 1;  ///< Over 1: slower than published.

  MSGPACK_DEFINE(domain, staged, loaded_model, membership, pace)
};

/// \brief A target's heartbeat.
struct Announcement {
  std::string id;
  std::string service;
  Endpoint address;
  std::string data_centre;
  bool is_leaving = false;
  std::int64_t cold_left_ms = 0;
  std::uint64_t sequence = 0;
  std::int64_t start_time_ms = 0;  ///< Start of the target, Unix milliseconds.
  std::size_t slots = 1;
  std::optional<EngineReport> engine;
};

}  // namespace gooseberryturn::direct

MSGPACK_ADD_ENUM(gooseberryturn::direct::MemberState)

#endif  // GOOSEBERRYTURN_DIRECT_ANNOUNCEMENT_H_
