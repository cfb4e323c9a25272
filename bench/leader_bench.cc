// Measures the decisions and the message coding of the leading control host
// without sockets, at several numbers of targets and followers. Each line of
// output is one operation at one size.
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/control/versioned_map.h"
#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/direct/heartbeat_relay.h"
#include "gooseberryturn/direct/in_flight_totals.h"
#include "gooseberryturn/direct/registry.h"
#include "gooseberryturn/direct/update_encoder.h"
#include "gooseberryturn/direct/view.h"
#include "gooseberryturn/observe/log.h"

namespace {

using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

constexpr char kEngineService[] = "engines";
constexpr char kPlainService[] = "plain";
constexpr char kLargeModel[] = "large";
constexpr char kSmallModel[] = "small";
constexpr std::size_t kTargetsPerDomain = 96;
/// An entry has requests at every fourth target.
constexpr std::size_t kWorkStride = 4;
/// Every third target is a plain one.
constexpr std::size_t kPlainStride = 3;

TimePoint At(std::int64_t ms) { return TimePoint(Milliseconds(ms)); }

Configuration MakeConfiguration() {
  EngineProfile engine;
  engine.slots = 48;
  engine.loads_per_s = 30;
  engine.max_concurrent_loads = 60;
  engine.models = {{kLargeModel, 16, 0.5, 1.0, 16.0, 1.6},
                   {kSmallModel, 4, 0.5, 0.6, 12.0, 1.1}};
  Service engines;
  engines.name = kEngineService;
  engines.engine = engine;
  Service plain;
  plain.name = kPlainService;
  Configuration configuration;
  configuration.version = 1;
  configuration.services = {engines, plain};
  return configuration;
}

/// Targets that carry out each order at once, and the leader's state for them.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(std::size_t targets) {
    this->planner.StartLeading(1, {}, At(0));
    for (std::size_t number = 0; number < targets; ++number) {
      Announcement announcement;
      announcement.id = "target-" + std::to_string(number);
      announcement.address = {"10.0.0.1",
                              static_cast<std::uint16_t>(1000 + number)};
      announcement.data_centre = "dc-" + std::to_string(number % 3);
      announcement.start_time_ms = 1;
      const bool is_plain = number % kPlainStride == 0;
      announcement.service = is_plain ? kPlainService : kEngineService;
      if (!is_plain) {
        announcement.engine = EngineReport{};
        announcement.engine->domain =
            "rack-" + std::to_string(number / kTargetsPerDomain);
      }
      this->announcements.push_back(announcement);
      this->number_by_id[announcement.id] = number;
    }
  }

  void RunUntil(std::int64_t until_ms) {
    for (; this->now_ms < until_ms; this->now_ms += kStepMs) {
      for (std::size_t number = 0; number < this->announcements.size();
           ++number) {
        (void)this->Announce(number);
      }
      this->Execute(this->Plan());
    }
  }

  AnnouncementResult Announce(std::size_t number) {
    Announcement& announcement = this->announcements[number];
    announcement.sequence += 1;
    const AnnouncementResult result =
        this->registry.HandleAnnouncement(announcement, At(this->now_ms));
    this->targets.Put(this->registry.Find(announcement.id)->view, 1);
    return result;
  }

  PlannedActions Plan() {
    PlanInput input = {this->registry,
                       this->configuration,
                       {},
                       this->in_flight_work,
                       this->has_traffic,
                       std::chrono::milliseconds(1200),
                       std::chrono::seconds(5),
                       {}};
    return this->planner.Plan(input, At(this->now_ms));
  }

  std::vector<Announcement> announcements;
  std::map<std::string, std::size_t> number_by_id;
  std::map<std::string, std::uint32_t> in_flight_work;
  Registry registry;
  GroupPlanner planner;
  control::VersionedMap<TargetView> targets;
  Configuration configuration = MakeConfiguration();
  std::int64_t now_ms = 0;
  bool has_traffic = false;

 private:
  static constexpr std::int64_t kStepMs = 500;

  void Execute(const PlannedActions& actions) {
    for (const Order& order : actions.orders) {
      EngineReport& report =
          *this->announcements[this->number_by_id.at(order.target)].engine;
      if (order.kind == OrderKind::kStage) {
        report.staged = {order.model};
      } else if (order.kind == OrderKind::kLeave) {
        report.membership.reset();
      } else if (order.kind == OrderKind::kOpen) {
        report.membership->state = MemberState::kOpen;
      } else if (order.kind == OrderKind::kJoin) {
        Membership membership;
        membership.group = order.group;
        membership.epoch = order.epoch;
        membership.state = MemberState::kReady;
        while (order.members[membership.rank] != order.target) {
          membership.rank += 1;
        }
        report.membership = membership;
        report.loaded_model = order.model;
      }
      this->planner.HandleOrderOutcome(order, OrderOutcome::kBegun,
                                       At(this->now_ms));
    }
  }
};

/// Prints the mean time of `operation` over `repetitions` calls.
void Measure(const char* name, std::size_t targets, std::size_t followers,
             int repetitions, const std::function<void()>& operation) {
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  for (int repetition = 0; repetition < repetitions; ++repetition) {
    operation();
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  std::printf(
      "{\"bench\":\"leader\",\"operation\":\"%s\",\"targets\":%zu,"
      "\"followers\":%zu,\"us\":%.1f}\n",
      name, targets, followers, elapsed.count() / repetitions);
}

/// Work of one entry at every fourth target.
std::vector<InFlightWork> WorkOfEntry(std::size_t entry, std::size_t targets) {
  std::vector<InFlightWork> work;
  for (std::size_t number = entry % kWorkStride; number < targets;
       number += kWorkStride) {
    work.push_back({"target-" + std::to_string(number), 2, 100});
  }
  return work;
}

void MeasureInFlightSum(std::size_t targets, std::size_t followers) {
  InFlightTotals totals;
  std::size_t entry = 0;
  const auto report = [&totals, &entry, targets, followers] {
    totals.SetReport(entry % followers, WorkOfEntry(entry, targets), At(0));
    entry += 1;
  };
  Measure("in_flight_report", targets, followers, static_cast<int>(followers),
          report);
  Measure("in_flight_sum", targets, followers, 3, [&totals] {
    totals.Expire(At(1));
    (void)totals.Sums();
  });
}

/// One update for each follower: `changed` targets and, if asked for, the
/// requests in flight at all targets.
void MeasureUpdates(const char* name, SimulatedFleet& fleet,
                    std::size_t followers, std::size_t changed,
                    bool has_in_flight_work) {
  const std::size_t targets = fleet.announcements.size();
  static std::uint64_t revision = 1;
  revision += 1;
  for (std::size_t number = 0; number < changed; ++number) {
    const std::string& id = fleet.announcements[number].id;
    fleet.targets.Put(fleet.registry.Find(id)->view, revision);
  }
  std::vector<InFlightWork> work;
  for (std::size_t number = 0; has_in_flight_work && number < targets;
       ++number) {
    work.push_back({fleet.announcements[number].id, 9, 100});
  }
  std::size_t bytes = 0;
  UpdateNeeds needs;
  needs.from_revision = revision - 1;
  needs.takes_compressed = true;
  Measure(name, targets, followers, 1, [&] {
    UpdateEncoder encoder(
        FleetUpdate(), [&](const UpdateNeeds& lacked, FleetUpdate& update) {
          update.in_flight_work = work;
          fleet.targets.CollectChanges(lacked.from_revision, update.targets,
                                       update.removed_targets);
        });
    for (std::size_t follower = 0; follower < followers; ++follower) {
      bytes += encoder.Frame(needs).size();
    }
  });
}

void MeasureSize(std::size_t targets, std::size_t followers) {
  SimulatedFleet fleet(targets);
  fleet.RunUntil(40'000);  // All groups form, without a limit on loads.
  fleet.has_traffic = true;
  std::size_t next = 0;
  Measure("announcement_same", targets, followers, 2000,
          [&] { (void)fleet.Announce(next++ % targets); });
  Measure("announcement_summarised", targets, followers, 2000, [&] {
    const Announcement& announcement = fleet.announcements[next++ % targets];
    const TargetRecord* record = fleet.registry.Find(announcement.id);
    (void)fleet.registry.Refresh({announcement.id, announcement.start_time_ms,
                                  record->sequence + 1, record->content},
                                 At(fleet.now_ms));
  });
  std::vector<std::string> entries;
  for (std::size_t entry = 0; entry < followers; ++entry) {
    entries.push_back("entry-" + std::to_string(entry));
  }
  Measure("announcement_changed", targets, followers, 200, [&] {
    const std::size_t number = next++ % targets;
    Announcement& announcement = fleet.announcements[number];
    announcement.is_leaving = !announcement.is_leaving;
    (void)fleet.Announce(number);
    (void)fleet.registry.AssignColdEntries(announcement.id, entries);
  });
  Measure("expire", targets, followers, 20,
          [&] { (void)fleet.registry.Expire(At(fleet.now_ms)); });
  fleet.RunUntil(41'000);
  Measure("plan", targets, followers, 20, [&] {
    fleet.now_ms += 50;
    (void)fleet.Plan();
  });
  MeasureInFlightSum(targets, followers);
  MeasureUpdates("updates_one_change", fleet, followers, 1, false);
  MeasureUpdates("updates_in_flight", fleet, followers, 0, true);
  MeasureUpdates("updates_full", fleet, followers, targets, false);
}

}  // namespace

int main() {
  (void)observe::StartLog("leader-bench", "bench", "ERROR");
  MeasureSize(100, 40);
  MeasureSize(1000, 100);
  MeasureSize(3000, 100);
  MeasureSize(3000, 300);
  return 0;
}
