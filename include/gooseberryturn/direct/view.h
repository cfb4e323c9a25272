#ifndef GOOSEBERRYTURN_DIRECT_VIEW_H_
#define GOOSEBERRYTURN_DIRECT_VIEW_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/direct/announcement.h"
#include "gooseberryturn/direct/configuration_text.h"
#include "gooseberryturn/direct/crash_report.h"
#include "gooseberryturn/direct/learnt_capacity.h"
#include "gooseberryturn/direct/model_demand.h"
#include "gooseberryturn/direct/target_notices.h"
#include "gooseberryturn/duty/usage_record.h"

namespace gooseberryturn::direct {

/// \brief Paths of the streams between entries and control hosts.
inline constexpr char kFollowPath[] = "/follow";
inline constexpr char kCallPath[] = "/call";
inline constexpr char kJoinPath[] = "/join";
inline constexpr char kLeavePath[] = "/leave";

/// \brief Paths of the control API for quarantined content.
inline constexpr std::string_view kQuarantinePath = "/quarantine";
inline constexpr std::string_view kQuarantinePrefix = "/quarantine/";

/// \brief State of a target, as sent to entries.
struct TargetView {
  std::string name;  ///< Id of the target.
  Endpoint address;
  std::string service;
  std::string data_centre;
  std::int64_t start_time_ms = 0;  ///< Unix time, tells restarts apart.
  bool is_leaving = false;
  bool is_cold = false;    ///< Still warming up; takes few requests.
  EngineReport engine;     ///< Empty for plain targets.
  std::string last_model;  ///< Model last loaded since the start.
  /// Entries that may send to it while it is cold; see AssignColdEntries.
  std::vector<std::string> cold_entries;

  /// \brief The incarnation that this state belongs to.
  [[nodiscard]] TargetIncarnation Incarnation() const {
    return {name, start_time_ms};
  }

  MSGPACK_DEFINE(name, address, service, data_centre, start_time_ms, is_leaving,
                 is_cold, engine, last_model, cold_entries)
};

/// \brief Phase of a group in the leader's plan.
enum class GroupPhase : std::uint8_t {
  kForming,     ///< Members were ordered to join.
  kOpening,     ///< All are ready; the head was ordered to open.
  kOpen,        ///< Serves requests.
  kClosing,     ///< Gets no new requests; running ones may finish.
  kDissolving,  ///< Closed or broken; its members are being released.
};

inline constexpr NameTable<GroupPhase, 5> kGroupPhaseNames = {
    {"forming", "opening", "open", "closing", "dissolving"}};

/// \brief A replica group: hosts that serve one copy of a model together.
struct GroupView {
  std::string name;
  std::uint64_t epoch = 0;  ///< Unique; higher for later groups.
  std::string service;
  std::string model;
  std::string domain;                ///< Fabric domain of all members.
  std::vector<std::string> members;  ///< Ids; the first is the head.
  GroupPhase phase = GroupPhase::kForming;
  std::string closing_for;  ///< Model to reassign its members to, if any.

  /// \brief False for a record that no leader writes: without a head, or in a
  /// phase that does not exist.
  [[nodiscard]] bool IsValid() const noexcept {
    return !this->members.empty() && this->phase <= GroupPhase::kDissolving;
  }

  MSGPACK_DEFINE(name, epoch, service, model, domain, members, phase,
                 closing_for)
};

/// \brief Requests in flight at one head or plain target.
struct InFlightWork {
  std::string target;  ///< Id of the target.
  std::uint32_t requests = 0;
  /// Prompt tokens of requests that have not produced a first event yet.
  std::uint32_t pending_prefill_tokens = 0;

  MSGPACK_DEFINE(target, requests, pending_prefill_tokens)
};

/// \brief First message of a follower to a control host.
struct FollowerHello {
  std::string host;
  std::string data_centre;
  std::uint64_t incarnation = 0;     ///< Differs after each restart.
  std::uint64_t config_version = 0;  ///< Configuration it has; 0 for none.
  /// Takes ConfigurationPatch, and updates that are compressed as a whole.
  bool takes_compressed = false;

  MSGPACK_DEFINE(host, data_centre, incarnation, config_version,
                 takes_compressed)
};

/// \brief The last report of an entry that the leader has handled.
struct HandledReport {
  std::uint64_t incarnation = 0;  ///< Of the entry; see FollowerHello.
  std::uint64_t number = 0;

  MSGPACK_DEFINE(incarnation, number)
};

/// \brief Report of an entry to the leader, sent several times a second.
struct EntryReport {
  std::vector<InFlightWork> in_flight_work;
  std::vector<std::string> stalled_groups;
  std::vector<CutRequest> cut_requests;
  /// True after the first request, even one that was refused.
  bool has_received_request = false;
  std::uint64_t config_version = 0;
  std::vector<ModelWork> model_work;  ///< Totals since this entry started.
  std::vector<AnsweredContent> answered_contents;
  std::vector<std::string> held_contents;  ///< Requests wait for a trial.
  /// Quarantined; requests with them were refused.
  std::vector<std::string> refused_contents;
  std::int64_t unix_ms = 0;  ///< Time of day at this entry.
  /// Totals that changed since the last report on this stream, or all of the
  /// last windows in its first one; see duty::UsageMeter.
  std::vector<duty::UsageCount> usage;
  std::vector<LearntCapacity> learnt_capacities;
  std::uint64_t number = 0;  ///< Counts the reports of this entry's process.

  MSGPACK_DEFINE(in_flight_work, stalled_groups, cut_requests,
                 has_received_request, config_version, model_work,
                 answered_contents, held_contents, refused_contents, unix_ms,
                 usage, learnt_capacities, number)
};

/// \brief Changes since the previous update, sent by the leader to followers.
struct FleetUpdate {
  bool is_leader = true;  ///< False: connect to `leader` instead.
  Endpoint leader;
  std::uint64_t term = 0;
  bool is_full = false;  ///< Replaces all targets and groups.
  std::uint64_t config_version = 0;
  /// Whole, for a follower that takes no patches; empty if it has this version.
  std::string config_text;
  std::vector<TargetView> targets;
  std::vector<std::string> removed_targets;
  std::vector<GroupView> groups;
  std::vector<std::string> removed_groups;
  std::vector<std::string> evacuated;  ///< All data centres out of service.
  std::vector<InFlightWork> in_flight_work;  ///< Sum over all entries.
  std::vector<std::string> quarantined;      ///< All quarantined content.
  std::vector<Endpoint> control_hosts;
  std::uint32_t entries = 1;  ///< Number of entries that follow.
  ConfigurationPatch config_patch;
  std::vector<HeldContent> held;  ///< All held content.
  /// Whole requests that the next crash may quarantine: entries say whether
  /// they were answered.
  std::vector<std::string> watched;
  std::int64_t unix_ms = 0;  ///< Time of day that the fleet goes by.
  std::vector<LearntCapacity> learnt_capacities;  ///< Of all entries.
  std::vector<HandledReport> handled_reports;     ///< See ViewFreshness.

  MSGPACK_DEFINE(is_leader, leader, term, is_full, config_version, config_text,
                 targets, removed_targets, groups, removed_groups, evacuated,
                 in_flight_work, quarantined, control_hosts, entries,
                 config_patch, held, watched, unix_ms, learnt_capacities,
                 handled_reports)
};

/// \brief What the leader is to do with a forwarded call.
enum class ForwardedStep : std::uint8_t {
  kExecute,
  kReadRevision,  ///< Only to answer the revision of what it would change.
};

/// \brief A control request that a control host forwards to the leader.
struct ForwardedCall {
  std::string method;
  std::string path;
  std::string body;
  ForwardedStep step = ForwardedStep::kExecute;
  /// Execute it only if what it changes still has this `revision`.
  bool is_conditional = false;
  std::uint64_t revision = 0;

  MSGPACK_DEFINE(method, path, body, step, is_conditional, revision)
};

/// \brief Answer to a ForwardedCall; status 0 if the host is not the leader.
struct ForwardedAnswer {
  int status = 0;
  std::string body;
  Endpoint leader;                      ///< Leader known to a host that is not.
  std::vector<Endpoint> control_hosts;  ///< Links; set by such hosts only.
  std::uint64_t revision = 0;           ///< Answer to kReadRevision.
  /// Term of a leader that has taken an announcement and lets this host
  /// summarise the next ones; else 0. See HeartbeatRelay.
  std::uint64_t summary_term = 0;

  MSGPACK_DEFINE(status, body, leader, control_hosts, revision, summary_term)
};

/// \brief Request of a control host with an empty disk to join the quorum.
struct JoinRequest {
  std::uint64_t id = 0;
  std::uint64_t disk_id = 0;  ///< Random id of its disk.
  Endpoint link;
  Endpoint http;  ///< Address for operators and targets.

  MSGPACK_DEFINE(id, disk_id, link, http)
};

/// \brief Confirms the receipt of a JoinRequest. The host learns from the
/// membership when it has joined.
struct JoinAnswer {
  bool is_received = true;
  /// Links of all members, to be asked next time: only the leader handles the
  /// request, and it need not be one of the configured hosts.
  std::vector<Endpoint> control_hosts;

  MSGPACK_DEFINE(is_received, control_hosts)
};

/// \brief How far the removal of a host has come that leaves the quorum.
enum class LeaveState : std::uint8_t {
  kNoLeader,  ///< The host that was asked does not lead.
  kPending,   ///< It is being removed; ask again.
  kRemoved,   ///< The log holds, committed, that it is no member.
  kKept,      ///< Nobody can take its place: it stays a member.
};

inline constexpr NameTable<LeaveState, 4> kLeaveStateNames = {
    {"no_leader", "pending", "removed", "kept"}};

/// \brief Request of a control host that is being stopped to be removed from
/// the quorum; repeated until it is answered with kRemoved or kKept.
struct LeaveRequest {
  std::uint64_t id = 0;

  MSGPACK_DEFINE(id)
};

}  // namespace gooseberryturn::direct

MSGPACK_ADD_ENUM(gooseberryturn::direct::GroupPhase)
MSGPACK_ADD_ENUM(gooseberryturn::direct::ForwardedStep)
MSGPACK_ADD_ENUM(gooseberryturn::direct::LeaveState)

namespace gooseberryturn::direct {

/// \brief Answer to a LeaveRequest.
struct LeaveAnswer {
  LeaveState state = LeaveState::kNoLeader;

  MSGPACK_DEFINE(state)
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_VIEW_H_
