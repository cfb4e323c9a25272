#ifndef GOOSEBERRYTURN_DIRECT_VIEW_H_
#define GOOSEBERRYTURN_DIRECT_VIEW_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/direct/announcement.h"
#include "gooseberryturn/direct/model_demand.h"

namespace gooseberryturn::direct {

/// \brief Paths of the streams between entries and control hosts.
inline constexpr char kFollowPath[] = "/follow";
inline constexpr char kCallPath[] = "/call";
inline constexpr char kJoinPath[] = "/join";

/// \brief A target as entries see it.
struct TargetView {
  std::string name;  ///< Its id.
  Endpoint address;
  std::string service;
  std::string data_centre;
  std::int64_t start_time_ms = 0;
  bool is_leaving = false;
  bool is_cold = false;
  EngineReport engine;     ///< Empty for plain targets.
  std::string last_model;  ///< Of the last group since its start.

  MSGPACK_DEFINE(name, address, service, data_centre, start_time_ms, is_leaving,
                 is_cold, engine, last_model)
};

/// \brief Phase of a group as its keeper sees it.
enum class GroupPhase : std::uint8_t {
  kForming,     ///< Members were ordered to join.
  kOpening,     ///< All are ready; the head was ordered to open.
  kOpen,        ///< It serves.
  kClosing,     ///< It gets nothing new; what it runs may end.
  kDissolving,  ///< It is broken; its members are being freed.
};

inline constexpr NameTable<GroupPhase, 5> kGroupPhaseNames = {
    {"forming", "opening", "open", "closing", "dissolving"}};

/// \brief A replica group.
struct GroupView {
  std::string name;
  std::uint64_t epoch = 0;
  std::string service;
  std::string model;
  std::string domain;
  std::vector<std::string> members;  ///< Ids; the first is the head.
  GroupPhase phase = GroupPhase::kForming;
  std::string closing_for;  ///< Model that is to get its members, if any.

  MSGPACK_DEFINE(name, epoch, service, model, domain, members, phase,
                 closing_for)
};

/// \brief Requests in progress at one head or plain target.
struct InFlightWork {
  std::string target;  ///< Id of the target.
  std::uint32_t requests = 0;
  std::uint32_t pending_prompt_tokens =
      0;  ///< Prompts without a first event yet.

  MSGPACK_DEFINE(target, requests, pending_prompt_tokens)
};

/// \brief First message of a follower.
struct FollowerHello {
  std::string host;
  std::string data_centre;
  std::uint64_t incarnation = 0;
  std::uint64_t config_version = 0;  ///< Held; 0 for none.

  MSGPACK_DEFINE(host, data_centre, incarnation, config_version)
};

/// \brief A request that was cut off at a target.
struct CutRequest {
  std::string fingerprint;
  std::string target;

  MSGPACK_DEFINE(fingerprint, target)
};

/// \brief What an entry tells the leader, several times a second.
struct EntryReport {
  std::vector<InFlightWork> in_flight_work;
  std::vector<std::string> stalled_groups;
  std::vector<CutRequest> cut_requests;
  bool has_served = false;  ///< Requests have begun.
  std::uint64_t config_version = 0;
  std::vector<ModelWork> model_work;  ///< Totals since this entry started.

  MSGPACK_DEFINE(in_flight_work, stalled_groups, cut_requests, has_served,
                 config_version, model_work)
};

/// \brief What the leader tells its followers: changes since the last one.
struct FleetUpdate {
  bool is_leader = true;  ///< False: ask `leader` instead.
  Endpoint leader;
  std::uint64_t term = 0;
  bool is_full = false;  ///< Forget what is not named here.
  std::uint64_t config_version = 0;
  std::string config_text;  ///< Empty when the follower holds the version.
  std::vector<TargetView> targets;
  std::vector<std::string> removed_targets;
  std::vector<GroupView> groups;
  std::vector<std::string> removed_groups;
  std::vector<std::string> evacuated;        ///< All data centres taken out.
  std::vector<InFlightWork> in_flight_work;  ///< Of all entries together.
  std::vector<std::string> quarantined;      ///< Fingerprints.
  std::vector<Endpoint> control_hosts;
  std::uint32_t entries = 1;  ///< Entries that follow.

  MSGPACK_DEFINE(is_leader, leader, term, is_full, config_version, config_text,
                 targets, removed_targets, groups, removed_groups, evacuated,
                 in_flight_work, quarantined, control_hosts, entries)
};

/// \brief A short call that a control host passes on to the leader.
struct ForwardedCall {
  std::string method;
  std::string path;
  std::string body;

  MSGPACK_DEFINE(method, path, body)
};

/// \brief Its answer; status 0 when the host does not lead.
struct ForwardedAnswer {
  int status = 0;
  std::string body;
  Endpoint leader;                      ///< Known to a host that does not lead.
  std::vector<Endpoint> control_hosts;  ///< Links; told by such hosts only.

  MSGPACK_DEFINE(status, body, leader, control_hosts)
};

/// \brief A control host with an empty disk asks to be taken in.
struct JoinRequest {
  std::uint64_t id = 0;
  std::uint64_t disk = 0;
  Endpoint link;
  Endpoint control;  ///< Where operators and targets call.

  MSGPACK_DEFINE(id, disk, link, control)
};

/// \brief Answer to a JoinRequest: it came. The membership itself tells the
/// host when it was taken in.
struct JoinAnswer {
  bool is_received = true;

  MSGPACK_DEFINE(is_received)
};

}  // namespace gooseberryturn::direct

MSGPACK_ADD_ENUM(gooseberryturn::direct::GroupPhase)

#endif  // GOOSEBERRYTURN_DIRECT_VIEW_H_
