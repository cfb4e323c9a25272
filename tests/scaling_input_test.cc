#define BOOST_TEST_MODULE scaling_input
#include "gooseberryturn/direct/scaling_input.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT
using std::chrono::seconds;

namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);

Service EngineService() {
  Service service;
  service.name = "llm";
  service.scaling = ScalingLimits{4, 37, 8};
  service.engine = EngineProfile();
  ModelProfile large;
  large.name = "large";
  large.size = 16;
  large.load_s = 16;
  ModelProfile small = large;
  small.name = "small";
  small.size = 4;
  service.engine->models = {large, small};
  return service;
}

Service PlainService() {
  Service service;
  service.name = "plain";
  service.scaling = ScalingLimits{1, 10, 8};
  return service;
}

/// Targets as announced, and the input of the planner with them.
struct Targets {
  /// Adds one that was heard of at `heard_at`.
  void Add(const std::string& id, const std::string& service,
           const std::string& loaded_model = "", bool is_leaving = false,
           TimePoint heard_at = kNow) {
    Announcement announcement;
    announcement.id = id;
    announcement.service = service;
    announcement.data_centre = "dc-a";
    announcement.address = {"10.0.0." + std::to_string(++this->count), 80};
    announcement.start_time_ms = 1;
    announcement.sequence = 1;
    announcement.is_leaving = is_leaving;
    if (service == "llm") {
      announcement.engine = EngineReport();
      announcement.engine->domain = "domain-" + std::to_string(this->count % 2);
      announcement.engine->loaded_model = loaded_model;
    }
    this->registry.HandleAnnouncement(announcement, heard_at);
  }
  [[nodiscard]] PlanInput Input() const {
    return {this->registry, this->configuration, {},         {},
            true,           seconds(1),          seconds(5), {}};
  }

  Registry registry;
  Configuration configuration;
  int count = 0;
};

}  // namespace

// Guards against lost and leaving targets that count as capacity.
BOOST_AUTO_TEST_CASE(targets_are_counted_by_their_state) {
  Targets targets;
  targets.Add("serving", "llm", "large");
  targets.Add("starting", "llm");
  targets.Add("leaving", "llm", "large", true);
  targets.Add("silent", "llm", "large", false, kNow - seconds(5));
  targets.Add("other", "plain");
  PlanInput input = targets.Input();
  input.evacuated = {"dc-b"};
  const duty::ServiceLoad load = MeasureServiceLoad(
      EngineService(), {"dc-a", "dc-b", ""}, {}, input, kNow);
  BOOST_REQUIRE(load.data_centres.size() == 2U);
  const duty::DataCentreTargets& counts = load.data_centres[0];
  BOOST_TEST(counts.data_centre == "dc-a");
  BOOST_TEST(counts.serving == 1U);
  BOOST_TEST(counts.starting == 1U);
  BOOST_TEST(counts.leaving == 1U);
  BOOST_TEST(counts.silent == 1U);
  BOOST_TEST(counts.domains == 2U);
  BOOST_TEST(!counts.is_out_of_service);
  BOOST_TEST(load.data_centres[1].is_out_of_service);
  BOOST_TEST(load.data_centres[1].Present() == 0U);
  BOOST_TEST(load.min_targets == 4U);
  BOOST_TEST(load.max_targets == 37U);
  BOOST_TEST(load.start_s == 8);
}

// Guards against numbers that grow by themselves: what is assumed for a model
// without measured demand is a share of the targets.
BOOST_AUTO_TEST_CASE(only_measured_demand_counts) {
  const Targets targets;
  PlanInput input = targets.Input();
  input.demand = {{"llm", "small", 3}};
  const std::vector<ModelCapacity> capacities = {{"llm", "large", 1, 2.5, 1},
                                                 {"llm", "small", 1, 3, 1}};
  const duty::ServiceLoad load =
      MeasureServiceLoad(EngineService(), {"dc-a"}, capacities, input, kNow);
  BOOST_REQUIRE(load.models.size() == 2U);
  BOOST_TEST(!load.models[0].busy_hosts.has_value());
  BOOST_TEST(load.models[0].size == 16U);
  BOOST_TEST(load.models[0].load_s == 16);
  BOOST_REQUIRE(load.models[1].busy_hosts.has_value());
  BOOST_TEST(*load.models[1].busy_hosts == 12);
}

BOOST_AUTO_TEST_CASE(plain_targets_are_busy_with_requests_in_flight) {
  Targets targets;
  targets.Add("p-1", "plain");
  targets.Add("p-2", "plain");
  targets.Add("e-1", "llm", "large");
  PlanInput input = targets.Input();
  input.in_flight_work = {{"p-1", 16}, {"p-2", 8}, {"e-1", 40}, {"gone", 9}};
  duty::ServiceLoad load =
      MeasureServiceLoad(PlainService(), {"dc-a"}, {}, input, kNow);
  BOOST_REQUIRE(load.models.size() == 1U);
  BOOST_REQUIRE(load.models[0].busy_hosts.has_value());
  BOOST_TEST(*load.models[0].busy_hosts == 1.5);
  BOOST_TEST(load.data_centres[0].serving == 2U);
  input.has_traffic = false;
  load = MeasureServiceLoad(PlainService(), {"dc-a"}, {}, input, kNow);
  BOOST_TEST(!load.models[0].busy_hosts.has_value());
}
