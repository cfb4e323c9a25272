#define BOOST_TEST_MODULE admission_order
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "direct_fixtures.h"
#include "gooseberryturn/direct/early_retries.h"
#include "gooseberryturn/direct/fair_order.h"
#include "gooseberryturn/direct/wait_queue.h"

/// In which order requests are dispatched that wait for capacity.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();

QueuedRequest MakeQueued(std::uint64_t id, const std::string& team,
                         std::int64_t dispatch_by_ms) {
  QueuedRequest request;
  request.id = id;
  request.queue_key = "m";
  request.priority = 1;
  request.dispatch_by = At(dispatch_by_ms);
  request.queue_deadline = At(dispatch_by_ms + 900);
  request.team = team;
  request.engine_ms = 10;
  return request;
}

/// Requests that a team sends in each step of 10 ms, and their cost.
struct TeamLoad {
  std::string team;
  int requests = 1;
  double engine_ms = 10;
};

/// Engine time that each team gets in three seconds in which one request is
/// dispatched every 5 ms. With `has_teams` false the queue knows no teams.
std::map<std::string, double> PlayTeams(const std::vector<TeamLoad>& loads,
                                        bool has_teams) {
  WaitQueue queue;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, const TeamLoad*> sent_by;
  std::map<std::string, double> served_ms;
  for (std::int64_t ms = 0; ms < 3000; ms += 10) {
    for (const TeamLoad& load : loads) {
      for (int number = 0; number < load.requests; ++number) {
        QueuedRequest request =
            MakeQueued(next_id, has_teams ? load.team : "", ms + 300);
        request.engine_ms = load.engine_ms;
        sent_by[next_id] = &load;
        next_id += 1;
        queue.Add(request);
      }
    }
    (void)queue.TakeExpired(At(ms));
    for (int number = 0; number < 2; ++number) {
      const std::optional<std::uint64_t> next = queue.Next("m", At(ms), {});
      BOOST_REQUIRE(next.has_value());
      const TeamLoad& load = *sent_by.at(*next);
      QueuedRequest request = MakeQueued(*next, has_teams ? load.team : "", ms);
      request.engine_ms = load.engine_ms;
      queue.RecordDispatched(request);
      queue.Remove(*next);
      served_ms[load.team] += load.engine_ms;
    }
  }
  return served_ms;
}

}  // namespace

// ------------------------------------------------------------------ fair order

BOOST_AUTO_TEST_CASE(the_team_that_used_the_least_goes_next) {
  FairOrder order;
  order.RecordDispatched("a", 100);
  order.RecordDispatched("b", 40);
  BOOST_TEST(order.Start("b") < order.Start("a"));
  order.RecordDispatched("b", 80);
  BOOST_TEST(order.Start("a") < order.Start("b"));
}

// A team that was away must not shut out the others to make up for it.
BOOST_AUTO_TEST_CASE(a_team_that_did_not_wait_saves_up_nothing) {
  FairOrder order;
  for (int number = 0; number < 1000; ++number) {
    order.RecordDispatched("busy", 10);
  }
  const double lead = order.Start("busy") - order.Start("new");
  BOOST_TEST(lead >= 0);
  BOOST_TEST(lead <= 10);
}

BOOST_AUTO_TEST_CASE(teams_behind_the_virtual_time_are_forgotten) {
  FairOrder order;
  for (int number = 0; number < 5000; ++number) {
    order.RecordDispatched("team-" + std::to_string(number), 10);
    order.RecordDispatched("busy", 10);
  }
  BOOST_TEST(order.size() < 10U);
}

// A wrong cost must neither free a team from paying nor exclude it for good.
BOOST_AUTO_TEST_CASE(costs_that_are_no_number_are_bounded) {
  for (const double cost : {kNotANumber, -1e300, 0.0}) {
    FairOrder order;
    order.RecordDispatched("a", cost);
    BOOST_TEST(order.Start("a") == FairOrder::kMinCostMs);
  }
  FairOrder order;
  order.RecordDispatched("a", std::numeric_limits<double>::infinity());
  BOOST_TEST(order.Start("a") == FairOrder::kMaxCostMs);
}

// ----------------------------------------------------------- teams in the
// queue

// Without teams, a team that sends ten times as much as the others gets most of
// the capacity.
BOOST_AUTO_TEST_CASE(one_team_at_ten_times_its_share_gets_its_share) {
  const std::vector<TeamLoad> loads = {
      {"loud", 10, 10}, {"b", 1, 10}, {"c", 1, 10}, {"d", 1, 10}};
  const std::map<std::string, double> with = PlayTeams(loads, true);
  const std::map<std::string, double> without = PlayTeams(loads, false);
  double least_with = 1e9;
  double least_without = 1e9;
  for (const char* team : {"b", "c", "d"}) {
    least_with = std::min(least_with, with.at(team));
    const auto got = without.find(team);
    least_without =
        std::min(least_without, got == without.end() ? 0 : got->second);
  }
  BOOST_TEST_MESSAGE("least of the others: " << least_with << " ms with teams, "
                                             << least_without << " without");
  // Four teams share 6,000 ms.
  BOOST_TEST(least_with >= 1350);
  BOOST_TEST(with.at("loud") <= 1650);
  BOOST_TEST(least_without < least_with);
}

// Engine time is divided, and not the number of requests.
BOOST_AUTO_TEST_CASE(a_team_with_long_requests_gets_fewer_of_them) {
  const std::map<std::string, double> served =
      PlayTeams({{"long", 2, 40}, {"short", 2, 10}}, true);
  BOOST_TEST(served.at("long") <= 1.1 * served.at("short"));
  BOOST_TEST(served.at("short") <= 1.1 * served.at("long"));
}

BOOST_AUTO_TEST_CASE(a_single_team_is_served_as_without_teams) {
  WaitQueue with;
  WaitQueue without;
  std::mt19937_64 random(7);
  for (std::uint64_t id = 1; id <= 200; ++id) {
    const std::int64_t ms = static_cast<std::int64_t>(random() % 600);
    with.Add(MakeQueued(id, "one", ms));
    without.Add(MakeQueued(id, "", ms));
    with.RecordDispatched(MakeQueued(id + 1000, "one", ms));
  }
  BOOST_TEST(
      DispatchOrder(with, "m", At(300)) == DispatchOrder(without, "m", At(300)),
      boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(priority_and_lateness_go_before_fairness) {
  WaitQueue queue;
  queue.RecordDispatched(MakeQueued(90, "loud", 400));
  QueuedRequest urgent = MakeQueued(1, "loud", 400);
  urgent.priority = 0;
  queue.Add(urgent);
  queue.Add(MakeQueued(2, "loud", 400));
  queue.Add(MakeQueued(3, "quiet", 100));  // Late.
  queue.Add(MakeQueued(4, "quiet", 350));
  const std::vector<std::uint64_t> expected = {1, 4, 2, 3};
  BOOST_TEST(DispatchOrder(queue, "m", At(200)) == expected,
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_new_request_of_a_quiet_team_need_not_wait) {
  WaitQueue queue;
  queue.RecordDispatched(MakeQueued(90, "quiet", 400));
  queue.RecordDispatched(MakeQueued(91, "loud", 400));
  queue.RecordDispatched(MakeQueued(92, "loud", 400));
  queue.Add(MakeQueued(1, "loud", 400));
  BOOST_TEST(queue.GoesFirst(MakeQueued(2, "quiet", 300), At(0)));
  BOOST_TEST(!queue.GoesFirst(MakeQueued(3, "loud", 300), At(0)));
}

BOOST_AUTO_TEST_CASE(skipped_requests_do_not_hold_up_others) {
  WaitQueue queue;
  queue.Add(MakeQueued(1, "a", 500));
  queue.Add(MakeQueued(2, "a", 400));
  BOOST_TEST(queue.Next("m", At(0), {}).value() == 1U);
  BOOST_TEST(queue.Next("m", At(0), {1}).value() == 2U);
  BOOST_TEST(!queue.Next("m", At(0), {1, 2}).has_value());
  BOOST_TEST(!queue.Next("other", At(0), {}).has_value());
}

// The indices of the queue must agree after any sequence of changes.
BOOST_AUTO_TEST_CASE(random_changes_keep_the_queue_consistent) {
  std::mt19937_64 random(11);
  WaitQueue queue;
  std::set<std::uint64_t> inside;
  for (std::int64_t ms = 0; ms < 4000; ++ms) {
    const std::uint64_t id = random() % 300 + 1;
    if (random() % 3 == 0) {
      queue.Remove(id);
      inside.erase(id);
    } else {
      QueuedRequest request =
          MakeQueued(id, "team-" + std::to_string(random() % 5),
                     ms + static_cast<std::int64_t>(random() % 500));
      request.priority = static_cast<int>(random() % 3);
      request.is_early_retry = random() % 4 == 0;
      queue.Add(request);
      queue.RecordDispatched(request);
      inside.insert(id);
    }
    for (const std::uint64_t expired : queue.TakeExpired(At(ms))) {
      inside.erase(expired);
    }
    BOOST_REQUIRE(queue.size() == inside.size());
    if (ms % 50 == 0) {
      const std::size_t counted =
          queue.Count("m", false, At(ms)) + queue.Count("m", true, At(ms));
      BOOST_REQUIRE(counted == inside.size());
      const std::vector<std::uint64_t> order =
          DispatchOrder(queue, "m", At(ms));
      BOOST_REQUIRE(std::set<std::uint64_t>(order.begin(), order.end()) ==
                    inside);
    }
  }
}

// --------------------------------------------------------------- early retries

BOOST_AUTO_TEST_CASE(immediate_retries_stand_behind_first_attempts) {
  EarlyRetries refusals;
  refusals.Record("digest", At(500));
  BOOST_TEST(refusals.IsEarly("digest", At(499)));
  BOOST_TEST(!refusals.IsEarly("digest", At(500)));
  BOOST_TEST(!refusals.IsEarly("other", At(10)));
  WaitQueue queue;
  QueuedRequest early = MakeQueued(1, "a", 400);
  early.is_early_retry = true;
  queue.Add(early);
  queue.Add(MakeQueued(2, "a", 300));
  QueuedRequest less_urgent = MakeQueued(3, "a", 400);
  less_urgent.priority = 2;
  queue.Add(less_urgent);
  const std::vector<std::uint64_t> expected = {2, 1, 3};
  BOOST_TEST(DispatchOrder(queue, "m", At(0)) == expected,
             boost::test_tools::per_element());
  BOOST_TEST(queue.GoesFirst(MakeQueued(4, "a", 200), At(0)) == false);
  queue.Remove(2);
  BOOST_TEST(queue.GoesFirst(MakeQueued(4, "a", 200), At(0)));
}

BOOST_AUTO_TEST_CASE(remembered_refusals_end_and_are_bounded) {
  EarlyRetries refusals;
  for (std::size_t number = 0; number < 2 * EarlyRetries::kMaxRefusals;
       ++number) {
    refusals.Record(std::to_string(number),
                    At(100 + static_cast<std::int64_t>(number)));
  }
  BOOST_TEST(refusals.size() == EarlyRetries::kMaxRefusals);
  BOOST_TEST(!refusals.IsEarly("0", At(0)));
  refusals.Record("again", At(1'000'000));
  refusals.Record("again", At(2'000'000));
  refusals.Expire(At(1'500'000));
  BOOST_TEST(refusals.size() == 1U);
  refusals.Expire(At(2'000'000));
  BOOST_TEST(refusals.empty());
}
