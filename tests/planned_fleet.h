#ifndef GOOSEBERRYTURN_TESTS_PLANNED_FLEET_H_
#define GOOSEBERRYTURN_TESTS_PLANNED_FLEET_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "gooseberryturn/direct/group_planner.h"

/// Engines without sockets that carry out the orders of a GroupPlanner, and the
/// invariants that must hold at each step.
namespace gooseberryturn::direct {

inline constexpr char kService[] = "engines";
inline constexpr char kLarge[] = "large";
inline constexpr char kSmall[] = "small";
/// Time that a ready head takes to open.
inline constexpr std::int64_t kFormMs = 300;

inline TimePoint At(std::int64_t ms) { return TimePoint(Milliseconds(ms)); }

inline Configuration MakeConfiguration() {
  EngineProfile engine;
  engine.slots = 34;
  engine.loads_per_s = 3;
  engine.max_concurrent_loads = 6;
  engine.models = {{kLarge, 4, 0.5, 1.0, 16.0, 1.6},
                   {kSmall, 2, 0.5, 0.6, 12.0, 1.1}};
  Service service;
  service.name = kService;
  service.engine = engine;
  Configuration configuration;
  configuration.version = 1;
  configuration.services = {service};
  return configuration;
}

/// Simulated engine that follows the order protocol, without sockets.
struct FakeEngine {
  std::string id;
  std::string domain;
  std::int64_t start_time_ms = 1;
  std::uint64_t sequence = 0;
  bool is_dead = false;
  bool is_partitioned = false;  ///< Alive, but partitioned from the leader.
  std::string last_model;
  std::vector<std::string> staged;
  std::optional<Membership> membership;
  std::vector<std::string> members;  ///< As named by the join order.
  std::int64_t ready_at = 0;
  std::int64_t open_at = 0;         ///< A ready head opens then; 0 for never.
  std::uint64_t highest_epoch = 0;  ///< Seen by this run.
  std::uint64_t highest_fence = 0;  ///< Seen by this run.
  /// When the head of an incomplete group breaks; negative for complete groups.
  std::int64_t break_at = -1;
};

/// Simulates engines and time for a planner; checks its invariants at each
/// step.
class PlannedFleet {
 public:
  explicit PlannedFleet(std::uint64_t seed) : random(seed) {
    this->planner.StartLeading(1, {}, At(0));
  }

  void AddDomain(const std::string& domain, int count) {
    for (int number = 0; number < count; ++number) {
      FakeEngine engine;
      engine.id = domain + std::to_string(number);
      engine.domain = domain;
      this->engines[engine.id] = engine;
    }
  }

  void Run(std::int64_t until_ms) {
    for (; this->now < until_ms; this->now += 50) {
      this->Step();
    }
  }

  void Kill(const std::string& id) { this->engines[id].is_dead = true; }

  /// An announcement of another writer, under the address of an engine.
  void AnnounceAt(const std::string& address, const std::string& id) {
    Announcement announcement;
    announcement.id = id;
    announcement.service = kService;
    announcement.address = {address, 1};
    announcement.data_centre = this->engines[address].domain;
    announcement.sequence = 1;
    announcement.start_time_ms = this->now;
    announcement.engine = EngineReport{};
    announcement.engine->domain = this->engines[address].domain;
    this->Register(announcement);
  }

  /// An announcement of another writer, under the id, the start and the address
  /// of an engine, and with a later sequence: the engine is in `membership`.
  void AnnounceAs(const std::string& id,
                  const std::optional<Membership>& membership) {
    const FakeEngine& engine = this->engines[id];
    Announcement announcement;
    announcement.id = id;
    announcement.service = kService;
    announcement.address = {id, 1};
    announcement.data_centre = engine.domain;
    announcement.sequence = engine.sequence + 1000;
    announcement.start_time_ms = engine.start_time_ms;
    announcement.engine = EngineReport{};
    announcement.engine->domain = engine.domain;
    announcement.engine->membership = membership;
    this->Register(announcement);
  }

  /// Starts a new leader whose recorded groups are `views`.
  void ChangeLeader(std::uint64_t term, const std::vector<GroupView>& views) {
    this->planner.StartLeading(term, views, At(this->now));
  }

  [[nodiscard]] std::size_t CountOpen(const std::string& model) const {
    std::size_t count = 0;
    for (const GroupView& view : this->planner.Groups()) {
      count += view.phase == GroupPhase::kOpen && view.model == model ? 1 : 0;
    }
    return count;
  }

  [[nodiscard]] bool IsHeadOpen(const FakeEngine& engine) const {
    return !engine.is_dead && engine.membership.has_value() &&
           engine.membership->rank == 0 &&
           (engine.membership->state == MemberState::kOpen);
  }

  std::map<std::string, FakeEngine> engines;
  GroupPlanner planner;
  Configuration configuration = MakeConfiguration();
  std::int64_t now = 0;
  bool has_traffic = false;
  std::vector<ModelDemand> demand;  ///< As measured by entries.
  std::map<std::string, std::uint32_t> in_flight_work;  ///< By head.
  std::size_t probes = 0;
  double late_order_fraction = 0;  ///< Executed late, without an answer.
  /// The first copies of orders of these kinds are executed late, with the
  /// delay `first_copy_delay_ms`.
  std::set<OrderKind> late_first_copies;
  std::int64_t first_copy_delay_ms = 9000;
  bool checks_fences = true;  ///< Engines refuse orders with a lower fence.

 private:
  void Announce(FakeEngine& engine) {
    if (engine.is_dead || engine.is_partitioned) {
      return;
    }
    Announcement announcement;
    announcement.id = engine.id;
    announcement.service = kService;
    announcement.address = {"10.0.0.1", 1};
    announcement.address.address = engine.id;
    announcement.data_centre = engine.domain;
    announcement.sequence = ++engine.sequence;
    announcement.start_time_ms = engine.start_time_ms;
    EngineReport report;
    report.domain = engine.domain;
    report.staged = engine.staged;
    report.membership = engine.membership;
    const bool is_loaded = engine.membership.has_value() &&
                           engine.membership->state != MemberState::kJoining;
    report.loaded_model = is_loaded ? engine.last_model : "";
    announcement.engine = report;
    this->Register(announcement);
  }

  /// Asks at the address of each run that the announcement would replace.
  void Register(const Announcement& announcement) {
    const TimePoint at = At(this->now);
    if (this->registry.HandleAnnouncement(announcement, at) !=
        AnnouncementResult::kContested) {
      return;
    }
    for (const TargetIncarnation& run :
         this->registry.ContestedRuns(announcement)) {
      const FakeEngine& there = this->engines[announcement.address.address];
      const bool is_running =
          there.id == run.target && there.start_time_ms == run.start_time_ms;
      if (!there.is_dead && !there.is_partitioned && !is_running) {
        this->registry.ConfirmEnd(run, at);
        (void)this->registry.HandleAnnouncement(announcement, at);
      }
    }
  }

  void Step() {
    for (auto& entry : this->engines) {
      FakeEngine& engine = entry.second;
      const bool is_ready = engine.membership.has_value() &&
                            engine.membership->state == MemberState::kJoining &&
                            this->now >= engine.ready_at;
      if (is_ready) {
        engine.membership->state = MemberState::kReady;
        engine.staged = {engine.last_model};
        this->was_ready.insert({engine.id, engine.membership->epoch});
        this->ready_since[{engine.id, engine.membership->epoch}] = this->now;
      }
      const bool opens = engine.membership.has_value() &&
                         engine.membership->state == MemberState::kReady &&
                         engine.open_at > 0 && this->now >= engine.open_at;
      if (opens) {
        engine.membership->state = MemberState::kOpen;
        engine.open_at = 0;
      }
      this->BreakIncompleteGroup(engine);
      this->Announce(engine);
    }
    this->ExecuteLateOrders();
    (void)this->registry.Expire(At(this->now));
    const PlanInput input = {this->registry,
                             this->configuration,
                             {},
                             this->in_flight_work,
                             this->has_traffic,
                             std::chrono::milliseconds(1200),
                             std::chrono::seconds(5),
                             this->demand};
    this->ReportStalls();
    const PlannedActions actions = this->planner.Plan(input, At(this->now));
    this->probes += actions.probes.size();
    for (const std::string& id : actions.probes) {
      const FakeEngine& engine = this->engines[id];
      std::optional<EngineReport> report;
      if (!engine.is_dead && !engine.is_partitioned) {
        report = EngineReport{};
      }
      this->planner.HandleProbeResult(id, report, engine.is_dead,
                                      At(this->now));
    }
    for (const Order& order : actions.orders) {
      this->SendOrder(order);
    }
    this->CheckServing();
  }

  void ReportStalls() {
    for (const GroupView& view : this->planner.Groups()) {
      const bool is_stalled = std::any_of(
          view.members.begin(), view.members.end(),
          [this](const std::string& id) { return this->engines[id].is_dead; });
      if (view.phase == GroupPhase::kOpen && is_stalled) {
        this->planner.HandleGroupStall(view.name, At(this->now));
      }
    }
  }

  void BreakIncompleteGroup(FakeEngine& head) {
    if (!this->IsHeadOpen(head)) {
      return;
    }
    const bool is_complete =
        std::all_of(head.members.begin(), head.members.end(),
                    [this, &head](const std::string& id) {
                      const FakeEngine& member = this->engines[id];
                      return !member.is_dead && member.membership.has_value() &&
                             member.membership->epoch == head.membership->epoch;
                    });
    if (is_complete) {
      head.break_at = -1;
    } else if (head.break_at < 0) {
      head.break_at = this->now + 5000;
    } else if (this->now >= head.break_at) {
      head.membership->state = MemberState::kBroken;
    }
  }

  void SendOrder(const Order& order) {
    FakeEngine& engine = this->engines[order.target];
    if (engine.is_dead || engine.is_partitioned) {
      this->planner.HandleOrderOutcome(order, OrderOutcome::kNoAnswer,
                                       At(this->now));
      return;
    }
    const std::optional<std::int64_t> delay_ms = this->DelayOf(order);
    if (delay_ms.has_value()) {
      this->late_orders.push_back({this->now + *delay_ms, order});
      this->planner.HandleOrderOutcome(order, OrderOutcome::kNoAnswer,
                                       At(this->now));
      return;
    }
    const OrderOutcome outcome = this->Execute(order, engine);
    this->planner.HandleOrderOutcome(order, outcome, At(this->now));
  }

  /// Delay of an order that is executed late; nothing for others.
  std::optional<std::int64_t> DelayOf(const Order& order) {
    const bool is_first_copy =
        this->late_first_copies.count(order.kind) > 0 &&
        this->sent.insert({order.target, order.group, order.kind}).second;
    if (is_first_copy) {
      return this->first_copy_delay_ms;
    }
    std::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(this->random) >= this->late_order_fraction) {
      return std::nullopt;
    }
    std::uniform_int_distribution<std::int64_t> delay(2000, 12'000);
    return delay(this->random);
  }

  void ExecuteLateOrders() {
    std::vector<std::pair<std::int64_t, Order>> remaining;
    for (const std::pair<std::int64_t, Order>& entry : this->late_orders) {
      FakeEngine& engine = this->engines[entry.second.target];
      if (entry.first > this->now) {
        remaining.push_back(entry);
      } else if (!engine.is_dead) {
        (void)this->Execute(entry.second, engine);
      }
    }
    this->late_orders = remaining;
  }

  OrderOutcome Execute(const Order& order, FakeEngine& engine) {
    if (this->checks_fences && order.fence < engine.highest_fence) {
      return OrderOutcome::kStale;
    }
    engine.highest_fence = std::max(engine.highest_fence, order.fence);
    const bool is_same = engine.membership.has_value() &&
                         engine.membership->group == order.group &&
                         engine.membership->epoch == order.epoch;
    switch (order.kind) {
      case OrderKind::kJoin:
        return this->Join(order, engine, is_same);
      case OrderKind::kOpen:
        return Open(engine, is_same, this->now);
      case OrderKind::kLeave:
        if (is_same) {
          engine.membership.reset();
          engine.open_at = 0;
        }
        return OrderOutcome::kDone;
      case OrderKind::kStage:
        engine.staged = {order.model};
        return OrderOutcome::kBegun;
      case OrderKind::kClose:
        return OrderOutcome::kConflict;
    }
    return OrderOutcome::kConflict;
  }

  static OrderOutcome Open(FakeEngine& head, bool is_same, std::int64_t now) {
    if (is_same && head.membership->state == MemberState::kOpen) {
      return OrderOutcome::kDone;
    }
    if (!is_same || head.membership->state != MemberState::kReady) {
      return OrderOutcome::kConflict;
    }
    if (head.open_at == 0) {
      head.open_at = now + kFormMs;
    }
    return OrderOutcome::kBegun;
  }

  OrderOutcome Join(const Order& order, FakeEngine& engine, bool is_same) {
    if (order.epoch < engine.highest_epoch) {
      return OrderOutcome::kStale;
    }
    if (is_same) {
      return OrderOutcome::kDone;
    }
    this->CheckHeadNotOpen(engine);
    engine.highest_epoch = order.epoch;
    engine.open_at = 0;
    const bool has_staged =
        std::find(engine.staged.begin(), engine.staged.end(), order.model) !=
        engine.staged.end();
    const std::int64_t delay =
        engine.last_model == order.model ? 200 : (has_staged ? 1600 : 16'000);
    Membership membership;
    membership.group = order.group;
    membership.epoch = order.epoch;
    membership.state = MemberState::kJoining;
    membership.rank = static_cast<std::size_t>(
        std::find(order.members.begin(), order.members.end(), engine.id) -
        order.members.begin());
    engine.membership = membership;
    engine.members = order.members;
    engine.last_model = order.model;
    engine.ready_at = this->now + (this->has_traffic ? delay : delay / 10);
    return OrderOutcome::kBegun;
  }

  /// A host must not join while the head of its previous group may still serve.
  void CheckHeadNotOpen(const FakeEngine& engine) {
    if (!engine.membership.has_value()) {
      return;
    }
    for (const auto& entry : this->engines) {
      const bool is_its_head =
          entry.second.membership.has_value() &&
          entry.second.membership->rank == 0 &&
          entry.second.membership->epoch == engine.membership->epoch;
      BOOST_TEST(
          !(is_its_head && this->IsHeadOpen(entry.second)),
          engine.id << " joined while its head " << entry.first << " was open");
    }
  }

  /// Each member of an open group has been ready and has not been ordered to
  /// leave.
  void CheckServing() {
    for (const GroupView& view : this->planner.Groups()) {
      if (view.phase != GroupPhase::kOpen) {
        continue;
      }
      for (const std::string& id : view.members) {
        BOOST_TEST((this->was_ready.count({id, view.epoch}) > 0),
                   view.name << " serves, but " << id << " was never ready");
        const FakeEngine& member = this->engines[id];
        const bool has_kept_running =
            !member.is_dead && this->was_ready.count({id, view.epoch}) > 0 &&
            member.start_time_ms <= this->ready_since[{id, view.epoch}];
        BOOST_TEST(
            (!has_kept_running || (member.membership.has_value() &&
                                   member.membership->epoch == view.epoch)),
            view.name << " serves, but " << id << " has left it");
      }
    }
  }

  Registry registry;
  std::mt19937_64 random;
  std::vector<std::pair<std::int64_t, Order>> late_orders;
  std::set<std::tuple<std::string, std::string, OrderKind>> sent;
  std::set<std::pair<std::string, std::uint64_t>> was_ready;
  std::map<std::pair<std::string, std::uint64_t>, std::int64_t> ready_since;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_TESTS_PLANNED_FLEET_H_
