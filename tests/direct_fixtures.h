#ifndef GOOSEBERRYTURN_TESTS_DIRECT_FIXTURES_H_
#define GOOSEBERRYTURN_TESTS_DIRECT_FIXTURES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryturn/consensus/types.h"
#include "gooseberryturn/direct/announcement.h"
#include "gooseberryturn/direct/configuration.h"
#include "gooseberryturn/direct/crash_report.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/quorum_planner.h"
#include "gooseberryturn/direct/target_chooser.h"
#include "gooseberryturn/direct/wait_queue.h"

/// Inputs of the decision classes of a fleet without agents.
namespace gooseberryturn::direct {

inline TimePoint At(std::int64_t ms) { return TimePoint(Milliseconds(ms)); }

inline Announcement MakeAnnouncement(const std::string& id,
                                     const std::string& address,
                                     std::int64_t born_ms,
                                     std::uint64_t sequence) {
  Announcement announcement;
  announcement.id = id;
  announcement.service = "orders";
  announcement.address = {address, 80};
  announcement.data_centre = "a";
  announcement.start_time_ms = born_ms;
  announcement.sequence = sequence;
  return announcement;
}

/// A request that was cut when its target, whose run began at 1, had just begun
/// to write.
inline CutRequest MakeCut(const std::string& fingerprint,
                          const std::string& target,
                          const std::vector<std::string>& parts = {}) {
  return {fingerprint, target, 1, parts, true, true, 0, {}};
}

inline Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.version = 3;
  Service orders;
  orders.name = "orders";
  Service engines;
  engines.name = "engines";
  EngineProfile profile;
  profile.slots = 34;
  profile.step_ms = 7.8;
  profile.per_sequence_ms = 0.1;
  profile.prefill_tokens_per_s = 45'900;
  profile.prefill_chunk_tokens = 2048;
  profile.stride = 5;
  profile.models = {{"small", 2, 1, 0.6, 12, 1.1}};
  engines.engine = profile;
  engines.cold_requests_per_s = 16;
  configuration.services = {orders, engines};
  Route route;
  route.name = "r";
  route.host = "shop.example";
  route.path_prefix = "/menus/";
  route.timeout_ms = 1000;
  route.services = {{"orders", 1}};
  configuration.routes = {route};
  return configuration;
}

inline FleetView MakeView(
    const std::vector<std::string>& heads,
    const Configuration& configuration = MakeConfiguration()) {
  FleetView view;
  FleetUpdate update;
  update.config_version = 3;
  update.entries = 8;
  for (const std::string& head : heads) {
    TargetView target;
    target.name = head;
    target.service = "engines";
    target.data_centre = "a";
    update.targets.push_back(target);
    GroupView group;
    group.name = "g-" + head;
    group.service = "engines";
    group.model = "small";
    group.members = {head, head + "-2"};
    group.phase = GroupPhase::kOpen;
    update.groups.push_back(group);
  }
  view.Apply(update, std::make_shared<const RouteTable>(configuration));
  return view;
}

inline ChoiceRequest MakeChoiceRequest(double tokens,
                                       double max_prefill_wait_ms) {
  ChoiceRequest request;
  request.service = "engines";
  request.model = "small";
  request.prompt_tokens = tokens;
  request.max_prefill_wait_ms = max_prefill_wait_ms;
  return request;
}

/// Ids of the requests in `queue`, in the order in which they would be
/// dispatched if all of them were at `now`.
inline std::vector<std::uint64_t> DispatchOrder(WaitQueue queue,
                                                const std::string& queue_key,
                                                TimePoint now) {
  std::vector<std::uint64_t> ids;
  std::optional<std::uint64_t> next = queue.Next(queue_key, now, {});
  while (next.has_value()) {
    ids.push_back(*next);
    queue.Remove(*next);
    next = queue.Next(queue_key, now, {});
  }
  return ids;
}

inline consensus::Membership MakeVoters(
    const std::vector<consensus::NodeId>& ids) {
  consensus::Membership membership;
  for (const consensus::NodeId id : ids) {
    const Endpoint link = {"10.0.0." + std::to_string(id), 1};
    membership.peers.push_back({id, link, link, true, id});
  }
  return membership;
}

/// Input of leader 1; all peers have the whole log, and all but `silent` are in
/// contact.
inline QuorumInput MakeQuorumInput(const consensus::Membership& membership,
                                   consensus::NodeId silent = 0) {
  return {membership,
          1,
          10,
          [](consensus::NodeId) { return 10U; },
          [silent](consensus::NodeId id) { return id != silent; },
          1};
}

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_TESTS_DIRECT_FIXTURES_H_
