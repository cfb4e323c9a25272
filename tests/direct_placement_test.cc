#define BOOST_TEST_MODULE direct_placement
#include <boost/test/unit_test.hpp>
#include <map>
#include <numeric>
#include <string>
#include <vector>

#include "direct_fixtures.h"
#include "gooseberryturn/direct/cold_entries.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/model_demand.h"
#include "gooseberryturn/direct/model_load_limiter.h"
#include "gooseberryturn/direct/registry.h"
#include "gooseberryturn/direct/target_chooser.h"
#include "gooseberryturn/direct/target_connection.h"
#include "gooseberryturn/direct/target_tracker.h"
#include "gooseberryturn/direct/wait_queue.h"
#include "gooseberryturn/routing/retry_budget.h"

/// Where requests go, what waits, and how limits are shared among entries.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

// -------------------------------------------------------- load and placement

BOOST_AUTO_TEST_CASE(load_of_other_entries_is_added_exactly_once) {
  TargetTracker tracker;
  tracker.BeginRequest("h", 1000, At(0));
  tracker.BeginRequest("h", 500, At(0));
  (void)tracker.ReportInFlightWork();
  tracker.SetTotals({{"h", 12, 4000}});
  BOOST_TEST(tracker.Load("h") == 12U);
  BOOST_TEST(tracker.PendingPrefillTokens("h") == 4000U);
  tracker.EndPrefill("h", 1000);
  tracker.EndRequest("h", HealthSignal::kGood, At(1));
  BOOST_TEST(tracker.Load("h") == 11U);
  BOOST_TEST(tracker.PendingPrefillTokens("h") == 3000U);
}

BOOST_AUTO_TEST_CASE(work_of_a_lost_group_is_spread_over_other_heads) {
  // A group is lost and its 30 requests need new targets at once.
  const FleetView view = MakeView({"h1", "h2", "h3"});
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 7);
  std::size_t placed = 0;
  for (int number = 0; number < 30; ++number) {
    const Choice choice =
        chooser.Choose(MakeChoiceRequest(900, 200), view, tracker, 1.5, At(0));
    if (choice.target == nullptr) {
      BOOST_TEST((choice.reason == ChoiceFailure::kFull));
      continue;
    }
    tracker.BeginRequest(choice.target->name, 900, At(0));
    placed += 1;
  }
  // Prompts that no head can prefill in time wait at the entry.
  BOOST_TEST(placed < 30U);
  BOOST_TEST(placed >= 15U);
  for (const char* head : {"h1", "h2", "h3"}) {
    BOOST_TEST(tracker.Load(head) * 3 <= placed + 6);
  }
}

BOOST_AUTO_TEST_CASE(the_delay_model_learns_unpublished_delays) {
  // Each first event takes 110 ms more than published, and prefill is twice as
  // fast as the delayed reports of other entries suggest.
  DelayModel delays;
  BOOST_TEST(delays.Predict(80) == 80);
  for (int number = 0; number < 400; ++number) {
    const double expected = 50 + 5 * (number % 50);
    delays.Observe(expected, 110 + expected / 2);
  }
  BOOST_TEST(std::abs(delays.Predict(80) - 150) < 5);
  BOOST_TEST(std::abs(delays.Predict(280) - 250) < 5);
  // A single head that stalls for ten seconds does not distort the model.
  delays.Observe(80, 10'000);
  BOOST_TEST(delays.Predict(80) < 160);
}

BOOST_AUTO_TEST_CASE(delays_of_one_model_say_nothing_about_another) {
  TargetChooser chooser("a", "entry", 7);
  for (int number = 0; number < 400; ++number) {
    chooser.RecordFirstEvent("engines", "small", 50 + number % 50, 190);
  }
  for (int number = 0; number < 40; ++number) {
    chooser.RecordFirstEvent("engines", "large", 190 + number % 20, 700);
  }
  BOOST_TEST(std::abs(chooser.PredictFirstEventMs("engines", "large", 200) -
                      700) < 20);
  BOOST_TEST(
      std::abs(chooser.PredictFirstEventMs("engines", "small", 75) - 190) < 20);
  BOOST_TEST(chooser.PredictFirstEventMs("engines", "other", 75) == 75);
}

BOOST_AUTO_TEST_CASE(requests_that_no_head_can_start_in_time_wait) {
  // 5 prompts wait for prefill at the only head. A request that just arrived
  // can still be on time there; one that has waited cannot, and must not take
  // the place of requests that can.
  const FleetView view = MakeView({"h1"});
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 7);
  for (int number = 0; number < 5; ++number) {
    tracker.BeginRequest("h1", 900, At(0));
  }
  ChoiceRequest request = MakeChoiceRequest(900, 1000);
  request.time_to_objective_ms = 2000;
  BOOST_TEST(
      (chooser.Choose(request, view, tracker, 1.5, At(0)).target != nullptr));
  request.time_to_objective_ms = 60;
  BOOST_TEST(
      (chooser.Choose(request, view, tracker, 1.5, At(0)).target == nullptr));
}

BOOST_AUTO_TEST_CASE(late_requests_leave_the_last_slots_free) {
  // At a nearly full head a late request waits, while a fresh one and a resumed
  // stream are accepted.
  const FleetView view = MakeView({"h1"});
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 7);
  for (int number = 0; number < 33; ++number) {
    tracker.BeginRequest("h1", 0, At(0));
  }
  ChoiceRequest late = MakeChoiceRequest(100, 1000);
  BOOST_TEST(
      (chooser.Choose(late, view, tracker, 1.5, At(0)).target == nullptr));
  ChoiceRequest fresh = late;
  fresh.time_to_objective_ms = 2000;
  BOOST_TEST(
      (chooser.Choose(fresh, view, tracker, 1.5, At(0)).target != nullptr));
  ChoiceRequest resumed = late;
  resumed.is_resumed = true;
  BOOST_TEST(
      (chooser.Choose(resumed, view, tracker, 1.5, At(0)).target != nullptr));
}

BOOST_AUTO_TEST_CASE(a_stalled_head_gets_no_requests) {
  const FleetView view = MakeView({"h1"});
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 7);
  tracker.BeginRequest("h1", 100, At(0));
  tracker.RecordProgress("h1", At(100));
  BOOST_TEST(!tracker.IsStalled("h1", At(200)));
  const Duration after = TargetTracker::kStallTimeout + std::chrono::seconds(1);
  BOOST_TEST(tracker.IsStalled("h1", At(0) + after));
  BOOST_TEST(
      (chooser
           .Choose(MakeChoiceRequest(10, 500), view, tracker, 1, At(0) + after)
           .reason == ChoiceFailure::kFull));
  tracker.RecordProgress("h1", At(0) + after);
  BOOST_TEST(
      (chooser
           .Choose(MakeChoiceRequest(10, 500), view, tracker, 1, At(0) + after)
           .reason == ChoiceFailure::kNone));
}

BOOST_AUTO_TEST_CASE(all_entries_together_keep_a_cold_target_within_its_rate) {
  constexpr int kEntries = 8;
  constexpr double kColdRequestsPerS = 36;
  constexpr double kColdFactor = 1.5;
  std::vector<TargetTracker> trackers(kEntries);
  int taken = 0;
  for (int ms = 0; ms < 1000; ms += 5) {
    for (TargetTracker& tracker : trackers) {
      taken += tracker.TakeColdRequest(
                   "cold", kColdRequestsPerS * kColdFactor * 0.8 / kEntries,
                   At(10'000 + ms))
                   ? 1
                   : 0;
    }
  }
  BOOST_TEST(taken <= kColdRequestsPerS * kColdFactor + 5);
}

// A target comes back cold under load. All 39 entries have a request for it at
// every moment, and none has sent to it before.
BOOST_AUTO_TEST_CASE(many_entries_keep_a_cold_target_within_its_rate) {
  constexpr int kEntries = 39;
  constexpr double kColdFactor = 1.5;
  constexpr double kColdRequestsPerS = 14;
  constexpr double kColdBurst = 5;
  Configuration configuration = MakeConfiguration();
  configuration.services[1].cold_requests_per_s = kColdRequestsPerS;
  std::vector<std::string> names;
  for (int number = 0; number < kEntries; ++number) {
    names.push_back("entry-" + std::to_string(number));
  }
  Registry registry;
  Announcement announcement = MakeAnnouncement("h1", "10.0.0.1", 100, 1);
  announcement.cold_left_ms = 60'000;
  registry.HandleAnnouncement(announcement, At(0));
  BOOST_TEST(registry.AssignColdEntries(names) ==
             std::vector<std::string>{"h1"});
  BOOST_TEST(registry.AssignColdEntries(names).empty());
  FleetUpdate update;
  update.config_version = 3;
  update.entries = kEntries;
  TargetView target = registry.Find("h1")->view;
  target.service = "engines";
  update.targets = {target};
  GroupView group;
  group.name = "g";
  group.service = "engines";
  group.model = "small";
  group.members = {"h1", "h2"};
  group.phase = GroupPhase::kOpen;
  update.groups = {group};
  FleetView view;
  view.Apply(update, std::make_shared<const RouteTable>(configuration));
  std::vector<TargetTracker> trackers(kEntries);
  std::vector<TargetChooser> choosers;
  for (const std::string& name : names) {
    choosers.emplace_back("a", name, 7);
  }
  constexpr int kStepMs = 5;
  std::vector<int> sent;
  for (int ms = 0; ms < 3000; ms += kStepMs) {
    int now_sent = 0;
    for (std::size_t entry = 0; entry < choosers.size(); ++entry) {
      const Choice choice =
          choosers[entry].Choose(MakeChoiceRequest(900, 200), view,
                                 trackers[entry], kColdFactor, At(9000 + ms));
      now_sent += choice.target != nullptr ? 1 : 0;
    }
    sent.push_back(now_sent);
  }
  const std::size_t steps_per_s = 1000 / kStepMs;
  const double allowed = kColdRequestsPerS * kColdFactor + kColdBurst;
  for (std::size_t from = 0; from + steps_per_s <= sent.size(); ++from) {
    const auto begin = sent.begin() + static_cast<std::ptrdiff_t>(from);
    const int in_a_second = std::accumulate(
        begin, begin + static_cast<std::ptrdiff_t>(steps_per_s), 0);
    BOOST_REQUIRE(in_a_second <= allowed);
  }
  BOOST_TEST(std::accumulate(sent.begin(), sent.end(), 0) >
             2 * kColdRequestsPerS);
}

BOOST_AUTO_TEST_CASE(entries_of_a_cold_target_are_kept_and_spread) {
  std::vector<std::string> names;
  for (int number = 0; number < 39; ++number) {
    names.push_back("entry-" + std::to_string(number));
  }
  std::vector<std::string> assigned;
  BOOST_TEST(AssignColdEntries("t", {names[0], names[1]}, assigned));
  const std::vector<std::string> first = assigned;
  BOOST_TEST(first.size() == 2U);
  BOOST_TEST(AssignColdEntries("t", names, assigned));
  BOOST_TEST(assigned.size() == kColdEntries);
  BOOST_TEST(std::equal(first.begin(), first.end(), assigned.begin()));
  // Those that are gone still count.
  BOOST_TEST(!AssignColdEntries("t", {"entry-new"}, assigned));
  std::map<std::string, int> uses;
  for (int number = 0; number < 380; ++number) {
    std::vector<std::string> of_target;
    AssignColdEntries("t" + std::to_string(number), names, of_target);
    for (const std::string& name : of_target) {
      uses[name] += 1;
    }
  }
  for (const std::string& name : names) {
    BOOST_TEST(uses[name] > 380 * 8 / 39 / 2);
    BOOST_TEST(uses[name] < 380 * 8 / 39 * 2);
  }
}

BOOST_AUTO_TEST_CASE(a_warm_target_is_open_to_all_entries) {
  Registry registry;
  Announcement announcement = MakeAnnouncement("h1", "10.0.0.1", 100, 1);
  announcement.cold_left_ms = 500;
  registry.HandleAnnouncement(announcement, At(0));
  BOOST_TEST(registry.AssignColdEntries({"e1", "e2"}).size() == 1U);
  BOOST_TEST(registry.Find("h1")->view.cold_entries.size() == 2U);
  BOOST_TEST(registry.Expire(At(600)).size() == 1U);
  BOOST_TEST(registry.Find("h1")->view.cold_entries.empty());
}

BOOST_AUTO_TEST_CASE(idle_connections_of_all_entries_stay_within_limit) {
  // 17 entries share a plain target that accepts 69 connections.
  constexpr std::size_t kMaxConnections = 69;
  constexpr double kEntries = 17;
  BOOST_TEST(
      static_cast<double>(IdleConnectionLimit(kMaxConnections, kEntries)) *
          kEntries <=
      kMaxConnections / 2.0);
  BOOST_TEST(IdleConnectionLimit(1, kEntries) == 1U);
  BOOST_TEST(IdleConnectionLimit(0, kEntries) > 1U);
}

BOOST_AUTO_TEST_CASE(demand_sums_the_work_of_all_live_entries) {
  // Two entries each have work for half a group. One restarts with its totals
  // at zero, the other becomes silent.
  DemandAggregator sum;
  const auto work = [](double ms) {
    return std::vector<ModelWork>{{"engines", "large", ms}};
  };
  BOOST_TEST(sum.Demand(At(0)).empty());
  std::int64_t now = 0;
  for (; now <= 4000; now += 100) {
    sum.AddReport({"a", 1, work(static_cast<double>(now) / 2)}, At(now));
    sum.AddReport({"b", 1, work(static_cast<double>(now) / 2)}, At(now));
  }
  BOOST_REQUIRE(sum.Demand(At(now)).size() == 1U);
  BOOST_TEST(std::abs(sum.Demand(At(now)).front().busy_groups - 1) < 0.05);
  const std::int64_t restart = now;
  for (; now <= 9000; now += 100) {
    sum.AddReport({"a", 2, work(static_cast<double>(now - restart) / 2)},
                  At(now));
  }
  BOOST_TEST(std::abs(sum.Demand(At(now)).front().busy_groups - 0.5) < 0.05);
}

BOOST_AUTO_TEST_CASE(each_additional_host_adds_less_than_the_last) {
  BOOST_TEST(ServedShare(0) == 0);
  BOOST_TEST(ServedShare(1) - ServedShare(0.5) < ServedShare(0.5));
  BOOST_TEST(ServedShare(2) - ServedShare(1.5) <
             ServedShare(1.5) - ServedShare(1));
  BOOST_TEST(MarginalServedShare(0.5, 8) > MarginalServedShare(1, 8));
}

BOOST_AUTO_TEST_CASE(no_more_work_is_served_than_the_hosts_can_do) {
  for (double coverage = 0; coverage < 4; coverage += 0.1) {
    BOOST_TEST(ServedShare(coverage) <= std::min(1.0, coverage) + 1e-9);
    BOOST_TEST(ServedShare(coverage + 0.1) >= ServedShare(coverage));
  }
  BOOST_TEST(ServedShare(2) > 0.95);
}

BOOST_AUTO_TEST_CASE(model_loads_stay_within_the_weight_store_rate) {
  EngineProfile engine;
  engine.loads_per_s = 3;
  engine.max_concurrent_loads = 100;
  ModelLoadLimiter limiter;
  int started = 0;
  for (int ms = 0; ms < 5000; ms += 10) {
    if (limiter.MayStart(engine, 1, At(ms))) {
      limiter.RecordStart(At(ms), At(ms + 100));
      started += 1;
    }
  }
  BOOST_TEST(started <= 15);
}

// --------------------------------------------------------------- wait queue

BOOST_AUTO_TEST_CASE(the_newest_that_can_still_be_on_time_go_first) {
  WaitQueue queue;
  queue.Add({1, "m", 1, At(100), At(900)});  // Late at 200.
  queue.Add({2, "m", 1, At(300), At(1000)});
  queue.Add({3, "m", 1, At(400), At(1100)});
  queue.Add({4, "m", 0, At(350), At(1100)});  // More urgent.
  queue.Add({5, "m", 1, At(50), At(800)});    // Late, leaves the queue first.
  queue.Add({6, "other", 0, At(400), At(1100)});
  const std::vector<std::uint64_t> expected = {4, 3, 2, 5, 1};
  BOOST_TEST(DispatchOrder(queue, "m", At(200)) == expected,
             boost::test_tools::per_element());
  // Only the more urgent one goes before it.
  const QueuedRequest newest = {7, "m", 1, At(400), At(1100)};
  BOOST_TEST(!queue.GoesFirst(newest, At(200)));
  queue.Remove(4);
  BOOST_TEST(queue.GoesFirst(newest, At(200)));
}

BOOST_AUTO_TEST_CASE(most_served_requests_are_on_time_in_overload) {
  // For three seconds twice as many requests arrive as can be served. A served
  // request is on time when it is dispatched within 300 ms of its arrival.
  WaitQueue queue;
  std::uint64_t next = 1;
  std::map<std::uint64_t, std::int64_t> arrived;
  int served = 0;
  int on_time = 0;
  for (std::int64_t ms = 0; ms < 3000; ms += 10) {
    arrived[next] = ms;
    queue.Add({next, "m", 1, At(ms + 300), At(ms + 1200)});
    next += 1;
    (void)queue.TakeExpired(At(ms));
    const std::vector<std::uint64_t> order = DispatchOrder(queue, "m", At(ms));
    if (ms % 20 == 0 && !order.empty()) {
      served += 1;
      on_time += ms <= arrived[order.front()] + 300 ? 1 : 0;
      queue.Remove(order.front());
    }
  }
  BOOST_TEST(served == 150);
  BOOST_TEST(on_time >= 140);
}

BOOST_AUTO_TEST_CASE(a_retry_budget_is_bounded_by_burst_and_share) {
  routing::RetryBudget budget(5);
  int taken = 0;
  while (budget.TakeRetry()) {
    taken += 1;
  }
  BOOST_TEST(taken == 5);
  for (int number = 0; number < 100; ++number) {
    budget.RecordFirstAttempt(20);
  }
  while (budget.TakeRetry()) {
    taken += 1;
  }
  BOOST_TEST(taken == 10);
}
