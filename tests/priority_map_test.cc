#define BOOST_TEST_MODULE priority_map
#include "gooseberryturn/direct/priority_map.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "direct_fixtures.h"
#include "gooseberryturn/direct/configuration.h"

/// Which requests are sent with an engine priority, and with which one.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

/// One route to the service "engines" for each of `priorities`.
Configuration MakeRoutes(const std::vector<int>& priorities) {
  Configuration configuration = MakeConfiguration();
  for (const int priority : priorities) {
    Route route = configuration.routes[0];
    route.name = "engines-" + std::to_string(priority);
    route.path_prefix = "/" + route.name;
    route.priority = priority;
    route.services = {{"engines", 1}};
    configuration.routes.push_back(route);
  }
  return configuration;
}

int Sent(const PriorityMap& priorities, int priority) {
  return priorities.EnginePriority("engines", priority).value_or(-1);
}

}  // namespace

// Deployments without priorities must be served as before: without the header.
BOOST_AUTO_TEST_CASE(requests_of_one_priority_are_sent_without_the_header) {
  const PriorityMap priorities(MakeRoutes({4, 4}));
  BOOST_TEST(!priorities.HasSeveral("engines"));
  BOOST_TEST(!priorities.EnginePriority("engines", 4).has_value());
  BOOST_TEST(!priorities.EnginePriority("unknown", 4).has_value());
}

BOOST_AUTO_TEST_CASE(the_most_urgent_goes_before_the_default_of_the_engine) {
  const PriorityMap priorities(MakeRoutes({9, 0}));
  BOOST_TEST(priorities.HasSeveral("engines"));
  BOOST_TEST(Sent(priorities, 0) == PriorityMap::kMostUrgent);
  BOOST_TEST(Sent(priorities, 9) == PriorityMap::kLeastUrgent);
}

// Priorities far apart, or negative, must not leave the range of the engine.
BOOST_AUTO_TEST_CASE(ranks_decide_and_not_the_distances_of_priorities) {
  const PriorityMap priorities(MakeRoutes({-7, 1, 1000}));
  BOOST_TEST(Sent(priorities, -7) == 3);
  BOOST_TEST(Sent(priorities, 1) == 4);
  BOOST_TEST(Sent(priorities, 1000) == 6);
}

BOOST_AUTO_TEST_CASE(many_priorities_keep_their_order_in_the_range) {
  std::vector<int> all;
  for (int priority = 0; priority < 12; ++priority) {
    all.push_back(priority);
  }
  const PriorityMap priorities(MakeRoutes(all));
  int before = PriorityMap::kResumed;
  for (const int priority : all) {
    const int sent = Sent(priorities, priority);
    BOOST_TEST(sent >= before);
    BOOST_TEST(sent > PriorityMap::kResumed);
    BOOST_TEST(sent < PriorityMap::kLate);
    before = sent;
  }
}

BOOST_AUTO_TEST_CASE(an_unknown_priority_counts_as_a_neighbour) {
  const PriorityMap priorities(MakeRoutes({1, 5}));
  BOOST_TEST(Sent(priorities, 0) == PriorityMap::kMostUrgent);
  BOOST_TEST(Sent(priorities, 3) == PriorityMap::kLeastUrgent);
  BOOST_TEST(Sent(priorities, 8) == PriorityMap::kLeastUrgent);
}

// Room was kept for urgent teams of services whose routes have one priority,
// and most requests of the other teams were refused.
BOOST_AUTO_TEST_CASE(priorities_of_teams_alone_reserve_nothing) {
  Configuration configuration = MakeRoutes({4});
  configuration.has_teams = true;
  configuration.teams = {{"one", {"k1"}, {}}, {"two", {"k2"}, 1}};
  const PriorityMap priorities(configuration);
  BOOST_TEST(!priorities.HasSeveral("engines"));
  BOOST_TEST(!priorities.EnginePriority("engines", 1).has_value());
}

// A team's own priority replaces that of the route.
BOOST_AUTO_TEST_CASE(priorities_of_teams_count_beside_those_of_routes) {
  Configuration configuration = MakeRoutes({4, 6});
  configuration.has_teams = true;
  configuration.teams = {{"one", {"k1"}, {}}, {"two", {"k2"}, 1}};
  const PriorityMap priorities(configuration);
  BOOST_TEST(Sent(priorities, 1) == PriorityMap::kMostUrgent);
  BOOST_TEST(Sent(priorities, 4) == 4);
  BOOST_TEST(Sent(priorities, 6) == PriorityMap::kLeastUrgent);
}

// A rank among one priority divided by zero, which ended entries with SIGFPE
// at every request on x86-64.
BOOST_AUTO_TEST_CASE(teams_with_one_priority_leave_none_to_the_routes) {
  Configuration configuration = MakeRoutes({4, 6});
  configuration.has_teams = true;
  configuration.teams = {{"one", {"k1"}, 2}, {"two", {"k2"}, 2}};
  const PriorityMap priorities(configuration);
  BOOST_TEST(!priorities.HasSeveral("engines"));
  BOOST_TEST(!priorities.EnginePriority("engines", 2).has_value());
}

BOOST_AUTO_TEST_CASE(routes_that_no_team_may_use_have_no_priorities) {
  Configuration configuration = MakeRoutes({4, 6});
  configuration.has_teams = true;
  configuration.teams.clear();
  const PriorityMap priorities(configuration);
  BOOST_TEST(!priorities.EnginePriority("engines", 4).has_value());
}

BOOST_AUTO_TEST_CASE(teams_do_not_count_on_public_routes) {
  Configuration configuration = MakeRoutes({4, 6});
  configuration.has_teams = true;
  configuration.teams = {{"two", {"k2"}, 1}};
  for (Route& route : configuration.routes) {
    route.is_public = true;
  }
  const PriorityMap priorities(configuration);
  BOOST_TEST(Sent(priorities, 4) == PriorityMap::kMostUrgent);
  BOOST_TEST(Sent(priorities, 6) == PriorityMap::kLeastUrgent);
}

// Plain targets know no priority header.
BOOST_AUTO_TEST_CASE(plain_services_have_no_engine_priority) {
  Configuration configuration = MakeRoutes({});
  Route urgent = configuration.routes[0];
  urgent.path_prefix = "/urgent/";
  urgent.priority = 3;
  configuration.routes.push_back(urgent);
  const PriorityMap priorities(configuration);
  BOOST_TEST(!priorities.EnginePriority("orders", 3).has_value());
}
