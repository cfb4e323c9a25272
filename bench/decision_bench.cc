// Measures control decisions at the design size, in simulated time and without
// sockets: group availability under host failures for the best-fit policy and
// its first-fit baseline, planning times, the sizes of views and deltas, an
// entry's decisions about one request, and the cost of learnt capacities.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/control/state.h"
#include "gooseberryturn/direct/admission_reserve.h"
#include "gooseberryturn/direct/capacity_learner.h"
#include "gooseberryturn/direct/capacity_merger.h"
#include "gooseberryturn/direct/early_retries.h"
#include "gooseberryturn/direct/length_estimator.h"
#include "gooseberryturn/direct/target_chooser.h"
#include "gooseberryturn/direct/wait_queue.h"
#include "gooseberryturn/placement/planner.h"
#include "gooseberryturn/protocol/codec.h"
#include "gooseberryturn/routing/group_chooser.h"

namespace {

using namespace gooseberryturn;             // NOLINT
using namespace gooseberryturn::placement;  // NOLINT

/// Time until the loss of a host is detected.
constexpr double kDetectSeconds = 2.7;
/// Time until the engines of a changed group have formed their group again.
constexpr double kGroupFormSeconds = 5;
/// Time until a new member has loaded the model.
constexpr double kLoadSeconds = 60;
/// Hosts that the rate-limited weight store serves at the same time.
constexpr std::size_t kConcurrentLoads = 32;

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

/// A fleet in simulated time: applies the plans of the planner after each event
/// and adds up downtime, unused hosts and moves.
class SimulatedFleet {
 public:
  SimulatedFleet(std::int64_t groups, std::int64_t hosts_per_group,
                 int data_centres, int domains_per_data_centre,
                 int hosts_per_domain, Policy policy)
      : policy(policy), hosts_per_group(hosts_per_group) {
    config::Service service;
    service.name = "llm";
    service.groups = groups;
    service.hosts_per_group = hosts_per_group;
    this->inventory.services["llm"] = service;
    for (int data_centre_number = 0; data_centre_number < data_centres;
         ++data_centre_number) {
      for (int domain = 0; domain < domains_per_data_centre; ++domain) {
        for (int number = 0; number < hosts_per_domain; ++number) {
          Host host;
          host.data_centre = "dc-" + std::to_string(data_centre_number);
          host.fabric_domain = "rack-" + std::to_string(domain);
          host.name = host.data_centre + "/" + host.fabric_domain + "/" +
                      std::to_string(number);
          host.service = "llm";
          host.incarnation = 1;
          host.is_usable = true;
          host.is_free = true;
          this->inventory.hosts[host.name] = host;
          this->host_names.push_back(host.name);
        }
      }
    }
    this->store_free_at.assign(kConcurrentLoads, 0);
    this->ApplyPlans(0);
    this->added_members = 0;
    this->serving_from.clear();
    this->store_free_at.assign(kConcurrentLoads, 0);
  }

  /// Makes hosts usable or unusable at `now`; the planner sees it after the
  /// detection time.
  void SetUsable(const std::vector<std::string>& hosts, bool is_usable,
                 double now) {
    this->AdvanceTo(now);
    for (const std::string& name : hosts) {
      Host& host = this->inventory.hosts[name];
      host.is_usable = is_usable;
      host.incarnation += is_usable ? 1 : 0;
    }
    this->AdvanceTo(now + kDetectSeconds);
    this->ApplyPlans(now + kDetectSeconds);
  }

  /// Adds up downtime and unused hosts from the last event to `now`. A group
  /// that is not serving at the start of this interval counts as down for all
  /// of it.
  void AdvanceTo(double now) {
    if (now <= this->simulated_now) {
      return;
    }
    const double interval = now - this->simulated_now;
    std::int64_t down_groups = this->inventory.services["llm"].groups;
    std::int64_t serving_hosts = 0;
    for (const auto& entry : this->inventory.groups) {
      const bool is_serving =
          this->HasAllMembers(entry.second) &&
          this->serving_from[entry.first] <= this->simulated_now;
      down_groups -= is_serving ? 1 : 0;
      serving_hosts += is_serving ? this->hosts_per_group : 0;
    }
    std::int64_t usable_hosts = 0;
    for (const auto& entry : this->inventory.hosts) {
      usable_hosts += entry.second.is_usable ? 1 : 0;
    }
    this->down_seconds += interval * static_cast<double>(down_groups);
    this->stranded_seconds +=
        interval * static_cast<double>(usable_hosts - serving_hosts);
    this->simulated_now = now;
  }

  std::vector<std::string> host_names;
  Inventory inventory;
  /// Summed over groups.
  double down_seconds = 0;
  /// Summed over usable hosts that serve nothing.
  double stranded_seconds = 0;
  std::int64_t added_members = 0;
  double plan_seconds = 0;
  std::int64_t plans = 0;

 private:
  [[nodiscard]] bool HasAllMembers(const protocol::Group& group) const {
    return std::all_of(
        group.members.begin(), group.members.end(),
        [this](const protocol::Member& member) {
          const Host& host = this->inventory.hosts.at(member.host);
          return host.is_usable && host.incarnation == member.incarnation;
        });
  }

  /// Plans and applies until the planner has no change left, in at most 20
  /// rounds.
  void ApplyPlans(double now) {
    for (int round = 0; round < 20; ++round) {
      const std::chrono::steady_clock::time_point start =
          std::chrono::steady_clock::now();
      const std::vector<GroupChange> plan = Plan(this->inventory, this->policy);
      this->plan_seconds += SecondsSince(start);
      this->plans += 1;
      for (const GroupChange& change : plan) {
        this->ApplyChange(change, now);
      }
      if (plan.empty()) {
        return;
      }
    }
  }

  void ApplyChange(const GroupChange& change, double now) {
    const auto previous_group = this->inventory.groups.find(change.group.name);
    std::set<std::string> previous_members;
    if (previous_group != this->inventory.groups.end()) {
      for (const protocol::Member& member : previous_group->second.members) {
        this->inventory.hosts[member.host].is_free = true;
        previous_members.insert(member.host);
      }
      this->inventory.groups.erase(previous_group);
    }
    if (change.group.members.empty()) {
      return;
    }
    protocol::Group group = change.group;
    group.fence = ++this->fence;
    double ready_at = now;
    for (const protocol::Member& member : group.members) {
      this->inventory.hosts[member.host].is_free = false;
      if (previous_members.count(member.host) == 0) {
        this->added_members += 1;
        ready_at = std::max(ready_at, this->ScheduleLoad(now));
      }
    }
    // Engines must form their group again even if no member loads a model.
    this->serving_from[group.name] =
        std::max(ready_at, now + kGroupFormSeconds);
    this->inventory.groups[group.name] = group;
  }

  /// Returns when the next free slot of the weight store has served one host.
  double ScheduleLoad(double now) {
    const auto earliest = std::min_element(this->store_free_at.begin(),
                                           this->store_free_at.end());
    *earliest = std::max(*earliest, now) + kLoadSeconds;
    return *earliest;
  }

  Policy policy;
  std::int64_t hosts_per_group;
  /// When each of the weight store's kConcurrentLoads slots is next free.
  std::vector<double> store_free_at;
  double simulated_now = 0;
  std::uint64_t fence = 0;
  std::map<std::string, double> serving_from;  ///< By name of the group.
};

/// Microseconds for each of `count` calls of `decide`.
template <typename Decide>
double MeasureUs(int count, const Decide& decide) {
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  for (int number = 0; number < count; ++number) {
    decide(number);
  }
  return 1e6 * SecondsSince(start) / count;
}

/// Measures what an entry decides about one request while 1,000 requests of
/// `teams` teams wait for one model.
void MeasureWaitingRequests(int teams) {
  constexpr std::uint64_t kWaiting = 1000;
  constexpr int kCalls = 20'000;
  const TimePoint now(std::chrono::seconds(100));
  direct::WaitQueue queue;
  std::vector<direct::QueuedRequest> requests;
  for (std::uint64_t id = 1; id <= kWaiting; ++id) {
    direct::QueuedRequest request;
    request.id = id;
    request.queue_key = direct::QueueKey("llm", "large");
    request.priority = static_cast<int>(id % 3);
    request.dispatch_by =
        now + Milliseconds(static_cast<std::int64_t>(id * 7 % 400));
    request.queue_deadline = request.dispatch_by + Milliseconds(900);
    request.team =
        "team-" + std::to_string(id % static_cast<std::uint64_t>(teams));
    request.engine_ms = 10 + static_cast<double>(id % 50);
    request.is_early_retry = id % 10 == 0;
    queue.Add(request);
    requests.push_back(request);
  }
  const std::string key = requests.front().queue_key;
  std::size_t found = 0;
  const double first_us = MeasureUs(kCalls, [&](int number) {
    found += queue.GoesFirst(requests[number % kWaiting], now) ? 1 : 0;
  });
  const double count_us =
      MeasureUs(kCalls, [&](int) { found += queue.Count(key, false, now); });
  const double urgent_us = MeasureUs(kCalls, [&](int) {
    found += queue.MoreUrgentMs(key, 2, now) > 0 ? 1 : 0;
  });
  // The next one is dispatched, and takes its place again.
  const double next_us = MeasureUs(kCalls, [&](int) {
    const std::uint64_t id = queue.Next(key, now, {}).value();
    const direct::QueuedRequest& request = requests[id - 1];
    queue.RecordDispatched(request);
    queue.Remove(id);
    queue.Add(request);
  });
  std::printf(
      "{\"bench\":\"wait_queue\",\"waiting\":%zu,\"teams\":%d,"
      "\"goes_first_us\":%.2f,\"count_us\":%.2f,\"more_urgent_us\":%.2f,"
      "\"dispatch_next_us\":%.2f,\"found\":%zu}\n",
      queue.size(), teams, first_us, count_us, urgent_us, next_us, found);
}

/// Measures the other decisions of an entry about one request.
void MeasureAdmission() {
  constexpr int kCalls = 100'000;
  constexpr int kPriorities = 8;
  const TimePoint start(std::chrono::seconds(100));
  direct::AdmissionReserve reserve;
  reserve.SetCapacity({400, 21});
  const double arrival_us = MeasureUs(kCalls, [&](int number) {
    reserve.RecordArrival(number % kPriorities, 20,
                          start + Milliseconds(number));
  });
  const TimePoint now = start + Milliseconds(kCalls);
  double sum = 0;
  const double share_us = MeasureUs(kCalls, [&](int number) {
    sum += reserve.ReservedRequests(number % kPriorities, now);
  });
  const double closed_us = MeasureUs(kCalls, [&](int number) {
    sum += reserve.IsClosed(number % kPriorities, 50,
                            std::chrono::milliseconds(1200), now)
               ? 1
               : 0;
  });
  direct::EarlyRetries refusals;
  for (std::size_t number = 0; number < direct::EarlyRetries::kMaxRefusals;
       ++number) {
    refusals.Record(std::to_string(number), now + std::chrono::seconds(1));
  }
  const double early_us = MeasureUs(kCalls, [&](int number) {
    sum += refusals.IsEarly(std::to_string(number), now) ? 1 : 0;
  });
  direct::LengthEstimator lengths;
  for (int number = 0; number < 100; ++number) {
    lengths.RecordAnswer("chat", 100, 50 + number);
  }
  const double length_us = MeasureUs(kCalls, [&](int number) {
    sum += lengths.Expect("chat", 1 + number % 500, 100).tokens;
  });
  std::printf(
      "{\"bench\":\"admission\",\"priorities\":%d,\"arrival_us\":%.2f,"
      "\"reserved_requests_us\":%.2f,\"closed_us\":%.2f,\"early_retry_us\":%."
      "2f,"
      "\"length_us\":%.2f,\"sum\":%.0f}\n",
      kPriorities, arrival_us, share_us, closed_us, early_us, length_us, sum);
}

/// A fleet to simulate and its rate of host failures.
struct FleetSize {
  const char* name;
  std::int64_t groups;
  std::int64_t hosts_per_group;
  int data_centres;
  int domains_per_data_centre;
  int hosts_per_domain;
  double failures_per_day;
};

constexpr double kDaySeconds = 86'400;
constexpr double kRepairSeconds = 4 * 3600;

/// Simulates one day: single hosts fail and return after a repair, some
/// failures are followed by that of a second host, and one rack fails for two
/// hours.
void SimulateDay(const FleetSize& fleet_size, Policy policy,
                 std::uint64_t seed) {
  std::mt19937_64 random(seed);
  SimulatedFleet fleet(
      fleet_size.groups, fleet_size.hosts_per_group, fleet_size.data_centres,
      fleet_size.domains_per_data_centre, fleet_size.hosts_per_domain, policy);
  struct Event {
    double at;
    std::vector<std::string> hosts;
    bool is_usable;
  };
  std::vector<Event> events;
  std::exponential_distribution<double> failure_gap(
      fleet_size.failures_per_day / kDaySeconds);
  for (double at = failure_gap(random); at < kDaySeconds;
       at += failure_gap(random)) {
    const std::string host =
        fleet.host_names[random() % fleet.host_names.size()];
    events.push_back({at, {host}, false});
    events.push_back({at + kRepairSeconds, {host}, true});
    // In one of ten cases a second host fails 90 s later, just after the groups
    // have been repaired.
    if (random() % 10 == 0) {
      const std::string second =
          fleet.host_names[random() % fleet.host_names.size()];
      events.push_back({at + 90, {second}, false});
      events.push_back({at + 90 + kRepairSeconds, {second}, true});
    }
  }
  std::vector<std::string> rack;
  const std::string prefix = "dc-0/rack-0/";
  for (const std::string& name : fleet.host_names) {
    if (name.compare(0, prefix.size(), prefix) == 0) {
      rack.push_back(name);
    }
  }
  events.push_back({kDaySeconds / 2, rack, false});
  events.push_back({kDaySeconds / 2 + 7200, rack, true});
  std::sort(events.begin(), events.end(),
            [](const Event& a, const Event& b) { return a.at < b.at; });
  for (const Event& event : events) {
    fleet.SetUsable(event.hosts, event.is_usable, event.at);
  }
  fleet.AdvanceTo(kDaySeconds);
  std::printf(
      "{\"bench\":\"groups\",\"scale\":\"%s\",\"policy\":\"%s\",\"seed\":%llu,"
      "\"hosts\":%zu,\"events\":%zu,\"group_seconds_down\":%.0f,"
      "\"accelerator_seconds_stranded\":%.0f,\"moves\":%lld,"
      "\"plan_ms\":%.3f}\n",
      fleet_size.name, std::string(kPolicyNames.Name(policy)).c_str(),
      static_cast<unsigned long long>(seed), fleet.host_names.size(),
      events.size(), fleet.down_seconds, fleet.stranded_seconds,
      static_cast<long long>(fleet.added_members),
      1000 * fleet.plan_seconds / static_cast<double>(fleet.plans));
}

/// Measures view and delta sizes, and the times to apply a document, to make a
/// delta and to choose a group, at the design size.
void MeasureViews() {
  control::State state;
  std::string text = "{\"environment\":\"e\",\"data_centres\":[";
  for (int data_centre_number = 0; data_centre_number < 9;
       ++data_centre_number) {
    text += std::string(data_centre_number == 0 ? "" : ",") +
            "{\"name\":\"dc-" + std::to_string(data_centre_number) +
            "\",\"region\":\"r-" + std::to_string(data_centre_number % 4) +
            "\"}";
  }
  text += "],\"services\":[";
  for (int service = 0; service < 20; ++service) {
    text += std::string(service == 0 ? "" : ",") + "{\"name\":\"s-" +
            std::to_string(service) +
            "\",\"kind\":\"model\",\"groups\":35,\"hosts_per_group\":16,"
            "\"limits\":{\"memory_tokens\":1000,\"max_output_tokens\":10,"
            "\"in_flight\":10,\"cold_in_flight\":1},\"routes\":[{\"path\":\"/" +
            std::to_string(service) +
            "\",\"idempotent\":true,\"deadline_ms\":1000}]}";
  }
  text += "],\"teams\":[";
  for (int team = 0; team < 200; ++team) {
    text += std::string(team == 0 ? "" : ",") + "{\"name\":\"team-" +
            std::to_string(team) +
            "\",\"requests_per_second\":100,\"in_flight\":100}";
  }
  text += "]}";
  std::uint64_t index = 0;
  const auto apply = [&](control::CommandKind kind, const std::string& body) {
    return state.Apply(++index, protocol::Encode(control::Command{kind, body}));
  };
  (void)apply(control::CommandKind::kApplyDocument,
              protocol::Encode(control::ApplyDocument{"c0", 0, text}));
  for (int number = 0; number < 690; ++number) {
    protocol::Group group;
    group.name =
        "s-" + std::to_string(number % 20) + "-" + std::to_string(number / 20);
    group.service = "s-" + std::to_string(number % 20);
    group.data_centre = "dc-" + std::to_string(number % 9);
    group.fabric_domain = "rack-" + std::to_string(number / 9);
    for (int member = 0; member < 16; ++member) {
      group.members.push_back({"host-" + std::to_string(number * 16 + member),
                               0x1234567890ABCDEFULL,
                               {"10.123.123.123", 7000}});
    }
    (void)apply(control::CommandKind::kAssignGroup,
                protocol::Encode(control::AssignGroup{group, 0}));
  }
  const control::Viewer entry = {protocol::Role::kEntry, "e", "", "dc-0"};
  const control::Viewer agent = {protocol::Role::kAgent, "host-5", "s-0",
                                 "dc-0"};
  const std::uint64_t before = index;
  std::string changed = text;
  changed.replace(changed.find("\"requests_per_second\":100"), 25,
                  "\"requests_per_second\":101");
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  (void)apply(control::CommandKind::kApplyDocument,
              protocol::Encode(control::ApplyDocument{"c1", 1, changed}));
  const double apply_seconds = SecondsSince(start);
  const std::chrono::steady_clock::time_point delta_start =
      std::chrono::steady_clock::now();
  const std::size_t delta_bytes =
      protocol::Encode(state.DeltaSince(before, entry)).size();
  const double delta_seconds = SecondsSince(delta_start);
  std::printf(
      "{\"bench\":\"views\",\"groups\":690,\"entry_view_bytes\":%zu,"
      "\"agent_view_bytes\":%zu,\"team_change_delta_bytes\":%zu,"
      "\"agent_delta_bytes\":%zu,\"state_bytes\":%zu,\"apply_ms\":%.3f,"
      "\"delta_us\":%.1f}\n",
      protocol::Encode(state.DeltaSince(0, entry)).size(),
      protocol::Encode(state.DeltaSince(0, agent)).size(), delta_bytes,
      protocol::Encode(state.DeltaSince(before, agent)).size(),
      state.Save().size(), 1000 * apply_seconds, 1e6 * delta_seconds);

  protocol::View view;
  (void)protocol::ApplyDelta(state.DeltaSince(0, entry), view);
  routing::GroupChooser chooser("dc-0", routing::Policy::kTwoChoice, 1);
  constexpr int kChoices = 20'000;
  const std::chrono::steady_clock::time_point choose_start =
      std::chrono::steady_clock::now();
  for (int number = 0; number < kChoices; ++number) {
    const protocol::Group* group =
        chooser.Choose(view, "s-3", {}, TimePoint(std::chrono::hours(1)));
    chooser.RecordSent(*group, TimePoint(std::chrono::hours(1)));
    chooser.RecordDone(group->name);
  }
  std::printf("{\"bench\":\"choose\",\"groups\":690,\"choose_us\":%.2f}\n",
              1e6 * SecondsSince(choose_start) / kChoices);
}

/// A view of `count` targets of one plain service.
direct::FleetView MakePlainView(int count) {
  direct::Configuration configuration;
  configuration.version = 1;
  direct::Service service;
  service.name = "orders";
  configuration.services = {service};
  direct::FleetUpdate update;
  update.config_version = 1;
  update.entries = 21;
  for (int number = 0; number < count; ++number) {
    direct::TargetView target;
    target.name = "i-" + std::to_string(1'000'000'000 + number);
    target.service = service.name;
    target.data_centre = "dc-0";
    target.start_time_ms = 1;
    update.targets.push_back(target);
  }
  direct::FleetView view;
  view.Apply(update, std::make_shared<const direct::RouteTable>(configuration));
  return view;
}

/// Measures a choice among plain targets with and without learnt capacities,
/// the learning from one answer and the leader's work for one report. Every
/// tenth target is slow, half of them have a limit.
void MeasureLearntCapacity(int target_count) {
  const direct::FleetView view = MakePlainView(target_count);
  const TimePoint now(std::chrono::hours(1));
  std::vector<direct::LearntCapacity> learnt;
  for (const direct::TargetView* target : view.PlainTargets("orders")) {
    const std::size_t number = learnt.size();
    learnt.push_back({target->name, 1, number % 10 == 0 ? 4.0F : 1.0F,
                      number % 2 == 0 ? 12.0F : 0.0F, 20});
  }
  direct::CapacityLearner learner(1);
  (void)learner.ApplyMerged(learnt, 21, now);
  direct::TargetTracker tracker;
  const auto choose_us = [&](bool is_learning) {
    direct::TargetChooser chooser("dc-0", "entry", 1);
    if (is_learning) {
      chooser.UseLearntCapacity(learner);
    }
    direct::ChoiceRequest request;
    request.service = "orders";
    constexpr int kChoices = 2000;
    const std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
    for (int number = 0; number < kChoices; ++number) {
      (void)chooser.Choose(request, view, tracker, 1, now);
    }
    return 1e6 * SecondsSince(start) / kChoices;
  };
  const double without_us = choose_us(false);
  const double with_us = choose_us(true);
  constexpr int kRounds = 200;
  double estimates = 0;
  const std::chrono::steady_clock::time_point estimate_start =
      std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    for (const direct::LearntCapacity& target : learnt) {
      estimates += learner.Estimate(target.target, 1, now).time_factor;
    }
  }
  const double estimate_us = 1e6 * SecondsSince(estimate_start) / kRounds;
  const std::chrono::steady_clock::time_point answer_start =
      std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    for (const direct::LearntCapacity& target : learnt) {
      learner.ObserveAnswer({target.target, 1}, {"orders", 45, 3}, now);
    }
  }
  const double answer_us = 1e6 * SecondsSince(answer_start) /
                           (kRounds * static_cast<double>(target_count));
  direct::CapacityMerger merger(
      [](const std::string&, std::int64_t) { return true; });
  const std::chrono::steady_clock::time_point report_start =
      std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    (void)merger.AddReport(learnt, now);
  }
  const double report_us = 1e6 * SecondsSince(report_start) / kRounds;
  std::printf(
      "{\"bench\":\"learnt_capacity\",\"targets\":%d,\"choose_us\":%.2f,"
      "\"choose_learning_us\":%.2f,\"estimates_us\":%.2f,"
      "\"answer_us\":%.3f,\"report_us\":%.1f,\"mean_factor\":%.2f}\n",
      target_count, without_us, with_us, estimate_us, answer_us, report_us,
      estimates / (kRounds * static_cast<double>(target_count)));
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::vector<FleetSize> fleet_sizes = {
      {"today", 9, 3, 3, 1, 10, 6},
      {"tenth", 72, 16, 3, 4, 102, 12},
      {"design", 648, 16, 9, 12, 102, 120},
  };
  for (const FleetSize& fleet_size : fleet_sizes) {
    SimulateDay(fleet_size, Policy::kFirstFit, seed);
    SimulateDay(fleet_size, Policy::kBestFit, seed);
  }
  MeasureViews();
  for (const int teams : {1, 50, 100, 400}) {
    MeasureWaitingRequests(teams);
  }
  MeasureAdmission();
  for (const int targets : {40, 400, 4000}) {
    MeasureLearntCapacity(targets);
  }
  return 0;
}
