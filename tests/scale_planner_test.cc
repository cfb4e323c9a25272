#define BOOST_TEST_MODULE scale_planner
#include "gooseberryturn/duty/scale_planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace gooseberryturn;        // NOLINT
using namespace gooseberryturn::duty;  // NOLINT
using std::chrono::seconds;

namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);
constexpr double kNotANumber = std::numeric_limits<double>::quiet_NaN();
constexpr double kPi = 3.14159265358979323846;

/// Targets of one service in three data centres and a platform that starts and
/// removes them as ordered.
class ScaledService {
 public:
  ScaledService() {
    this->load.service = "llm";
    this->load.min_targets = 4;
    this->load.max_targets = 60;
    this->load.start_s = 8;
    this->load.models = {{"large", 16, 16, std::nullopt},
                         {"small", 4, 12, std::nullopt}};
    this->SetTargets(20);
  }

  void SetTargets(std::size_t serving) {
    this->load.data_centres.clear();
    for (const char* name : {"dc-a", "dc-b", "dc-c"}) {
      DataCentreTargets targets;
      targets.data_centre = name;
      targets.serving = serving;
      this->load.data_centres.push_back(targets);
    }
  }

  /// Sets the demand for both models, in hosts.
  void SetDemand(double large, double small) {
    this->load.models[0].busy_hosts = large;
    this->load.models[1].busy_hosts = small;
  }

  DataCentreTargets& At(const std::string& name) {
    return *std::find_if(this->load.data_centres.begin(),
                         this->load.data_centres.end(),
                         [&name](const DataCentreTargets& targets) {
                           return targets.data_centre == name;
                         });
  }

  /// Decides once and moves on by a second, in which the platform acts.
  ScaleDecision Step() {
    const ScaleDecision decision =
        this->planner.Decide({this->load}, this->now);
    for (const ScaleChange& change : decision.changes) {
      this->changes.push_back(change);
      this->change_times.push_back(this->now);
    }
    this->wanted.clear();
    for (const ScaleOrder& order : decision.orders) {
      this->wanted[order.data_centre] = order.targets;
    }
    this->now += seconds(1);
    this->RunPlatform();
    return decision;
  }

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      (void)this->Step();
    }
  }

  void RunWithDemand(int steps, const std::function<double(double)>& small) {
    for (int step = 0; step < steps; ++step) {
      const double elapsed =
          std::chrono::duration<double>(this->now - kStart).count();
      this->SetDemand(16, small(elapsed));
      (void)this->Step();
    }
  }

  [[nodiscard]] std::size_t Total() const {
    std::size_t total = 0;
    for (const std::pair<const std::string, std::size_t>& entry :
         this->wanted) {
      total += entry.second;
    }
    return total;
  }

  [[nodiscard]] std::size_t Rises() const {
    return static_cast<std::size_t>(
        std::count_if(this->changes.begin(), this->changes.end(),
                      [](const ScaleChange& change) {
                        return change.previous.has_value() &&
                               change.order.targets > *change.previous;
                      }));
  }

  ServiceLoad load;
  ScalePlanner planner;
  TimePoint now = kStart;
  std::map<std::string, std::size_t> wanted;
  std::vector<ScaleChange> changes;
  std::vector<TimePoint> change_times;
  /// Data centres where the platform starts nothing.
  std::map<std::string, bool> is_down;
  bool has_platform = true;  ///< False: it carries out no order.

 private:
  void RunPlatform() {
    for (DataCentreTargets& targets : this->load.data_centres) {
      const auto found = this->wanted.find(targets.data_centre);
      if (!this->has_platform || found == this->wanted.end() ||
          this->is_down[targets.data_centre]) {
        continue;
      }
      if (targets.serving > found->second) {
        targets.serving = found->second;
      }
      std::vector<TimePoint>& starts = this->starts[targets.data_centre];
      while (targets.serving + starts.size() < found->second) {
        starts.push_back(this->now + seconds(8));
      }
      const std::size_t before = starts.size();
      starts.erase(
          std::remove_if(starts.begin(), starts.end(),
                         [this](TimePoint at) { return at <= this->now; }),
          starts.end());
      targets.serving += before - starts.size();
    }
  }

  std::map<std::string, std::vector<TimePoint>> starts;
};

}  // namespace

// ---------------------------------------------------------------- sizing

// Guards against numbers that leave incomplete groups, or no spare.
BOOST_AUTO_TEST_CASE(numbers_are_whole_groups_and_spares) {
  ScaledService service;
  service.SetTargets(0);
  service.SetDemand(24, 20);
  service.Run(1);
  // Coverage 1.6: three groups of 16 and eight of 4, evenly divided.
  for (const std::pair<const std::string, std::size_t>& entry :
       service.wanted) {
    const std::size_t groups = entry.second / 4 * 4;
    BOOST_TEST(entry.second - groups >= 2U);
    BOOST_TEST(groups >= 24U);
    BOOST_TEST(groups <= 28U);
  }
  BOOST_TEST(service.wanted.size() == 3U);
}

// Guards against a first order that removes targets that serve.
BOOST_AUTO_TEST_CASE(a_first_number_keeps_what_is_there) {
  ScaledService service;
  service.SetTargets(50);
  service.At("dc-b").serving = 48;
  service.At("dc-b").silent = 2;
  service.SetDemand(5, 5);
  service.Run(1);
  BOOST_TEST(service.wanted["dc-a"] == 50U);
  BOOST_TEST(service.wanted["dc-b"] == 50U);
}

// Guards against calls that change nothing.
BOOST_AUTO_TEST_CASE(steady_demand_changes_nothing) {
  ScaledService service;
  service.SetDemand(16, 12);
  service.Run(60);
  const std::size_t changes = service.changes.size();
  service.Run(600);
  BOOST_TEST(service.changes.size() == changes);
}

// ------------------------------------------------------------------- demand

BOOST_AUTO_TEST_CASE(a_step_up_is_followed_at_once) {
  ScaledService service;
  service.RunWithDemand(60, [](double /*elapsed*/) { return 12.0; });
  const std::size_t before = service.Total();
  service.RunWithDemand(4, [](double /*elapsed*/) { return 36.0; });
  const std::size_t after = service.Total();
  BOOST_TEST(after >= before + 24);
  // Two groups of 16, and 36 hosts with a coverage of 1.4.
  BOOST_TEST(after >= 32U + 50U);
  BOOST_TEST((service.changes.back().reason == ScaleReason::kDemand));
}

// Guards against a rise that starts only when the capacity is exceeded.
BOOST_AUTO_TEST_CASE(a_ramp_is_predicted) {
  ScaledService service;
  service.RunWithDemand(60, [](double /*elapsed*/) { return 20.0; });
  const std::size_t before = service.Total();
  // Demand grows by half, to 30 hosts, within 17 s.
  const auto ramp = [](double elapsed) {
    return 20.0 * (1 + 0.5 * (elapsed - 60) / 17);
  };
  // 24.1 of the 32 hosts are busy.
  service.RunWithDemand(8, ramp);
  BOOST_TEST(service.Total() > before);
  // 27.1 hosts are busy: enough is ordered for the end of the ramp.
  service.RunWithDemand(5, ramp);
  BOOST_TEST(service.Total() >= 32U + 42U);
}

// Guards against scaling down in each trough of a wave.
BOOST_AUTO_TEST_CASE(a_wave_is_served_at_its_peak_without_flapping) {
  ScaledService service;
  const auto wave = [](double elapsed) {
    return 24.0 * (1 + 0.25 * std::sin(2 * kPi * elapsed / 34));
  };
  service.RunWithDemand(120, wave);
  const std::size_t changes = service.changes.size();
  const std::size_t settled = service.Total();
  service.RunWithDemand(600, wave);
  BOOST_TEST(service.changes.size() == changes);
  BOOST_TEST(service.Total() == settled);
  // The peak of 30 hosts with a coverage of 1.4, and two groups of 16.
  BOOST_TEST(settled >= 32U + 42U);
  BOOST_TEST(settled <= 32U + 1.5 * 1.6 * 30 + 9);
}

BOOST_AUTO_TEST_CASE(numbers_fall_late_and_in_small_steps) {
  ScaledService service;
  service.RunWithDemand(60, [](double /*elapsed*/) { return 60.0; });
  const TimePoint drop = service.now;
  const std::size_t first = service.changes.size();
  service.RunWithDemand(600, [](double /*elapsed*/) { return 12.0; });
  BOOST_REQUIRE(service.changes.size() > first);
  std::map<std::string, TimePoint> last;
  for (std::size_t index = first; index < service.changes.size(); ++index) {
    const ScaleChange& change = service.changes[index];
    const TimePoint at = service.change_times[index];
    BOOST_TEST((change.reason == ScaleReason::kLowDemand));
    // Longer than the 24 s to start and load.
    BOOST_TEST((at >= drop + seconds(36)));
    BOOST_TEST(*change.previous - change.order.targets <= 4U);
    const auto earlier = last.find(change.order.data_centre);
    if (earlier != last.end()) {
      BOOST_TEST((at >= earlier->second + ScalePlanner::kStepDownInterval));
    }
    last[change.order.data_centre] = at;
  }
  // Two groups of 16 and five of 4, spares and the margin.
  BOOST_TEST(service.Total() <= 32U + 20U + 3U * (2U + 4U));
  BOOST_TEST(service.Total() >= 52U);
}

// Guards against numbers that follow noise.
BOOST_AUTO_TEST_CASE(a_long_noisy_run_does_not_flap) {
  std::size_t rises = 0;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    ScaledService service;
    std::mt19937 random(seed);
    std::normal_distribution<double> noise(0, 1.2);
    double error = 0;
    // Correlated noise, as smoothed over 2 s, with a deviation of 10%.
    const auto demand = [&random, &noise, &error](double /*elapsed*/) {
      error = 0.6 * error + 0.8 * noise(random) * 1.67;
      return std::max(0.0, 20 + error);
    };
    service.RunWithDemand(300, demand);
    const std::size_t before = service.Rises();
    service.RunWithDemand(3600, demand);
    rises += service.Rises() - before;
    BOOST_TEST_MESSAGE("seed " << seed << " rises " << service.Rises() - before
                               << " changes " << service.changes.size());
  }
  // Three numbers rise at a time, up to twice an hour.
  BOOST_TEST(rises <= 5U * 6U);
}

BOOST_AUTO_TEST_CASE(demand_above_all_room_takes_the_maximum) {
  ScaledService service;
  service.SetDemand(500, 500);
  service.Run(3);
  BOOST_TEST(service.wanted["dc-a"] == 60U);
  BOOST_TEST(service.Total() == 180U);
}

// Replays the load that the planner is designed for.
BOOST_AUTO_TEST_CASE(ten_services_of_a_thousand_targets_are_planned) {
  std::vector<ServiceLoad> loads;
  for (int number = 0; number < 10; ++number) {
    ScaledService service;
    service.SetTargets(100);
    service.load.service = "service-" + std::to_string(number);
    service.load.max_targets = 1000;
    service.load.models.push_back({"tiny", 1, 2, std::nullopt});
    loads.push_back(service.load);
  }
  ScalePlanner planner;
  std::size_t changes = 0;
  std::size_t changes_after_settling = 0;
  for (int second = 0; second < 900; ++second) {
    const double wave = 1 + 0.25 * std::sin(2 * kPi * second / 34);
    for (ServiceLoad& load : loads) {
      load.models[0].busy_hosts = 500 * wave;
      load.models[1].busy_hosts = 300 * wave;
      load.models[2].busy_hosts = 100 * wave;
    }
    const ScaleDecision decision =
        planner.Decide(loads, kStart + seconds(second));
    changes += decision.changes.size();
    changes_after_settling += second >= 300 ? decision.changes.size() : 0;
    BOOST_REQUIRE(decision.orders.size() == 30U);
    for (std::size_t index = 0; index < decision.orders.size(); ++index) {
      DataCentreTargets& targets = loads[index / 3].data_centres[index % 3];
      targets.serving = decision.orders[index].targets;
      // The peak of 1,125 hosts with a coverage of 1.4, in three parts.
      BOOST_TEST((second < 60 || targets.serving >= 500));
    }
  }
  BOOST_TEST(changes >= 30U);
  BOOST_TEST(changes_after_settling == 0U);
}

// Injects the loss of the leader while demand rises.
BOOST_AUTO_TEST_CASE(a_new_leader_in_a_rise_removes_nothing) {
  ScaledService service;
  const auto rise = [](double elapsed) {
    return 20.0 * (1 + std::max(0.0, elapsed - 60) / 60);
  };
  service.RunWithDemand(80, rise);
  const std::size_t before = service.Total();
  service.planner = ScalePlanner();
  service.load.models[0].busy_hosts.reset();
  service.load.models[1].busy_hosts.reset();
  service.Run(3);
  BOOST_TEST(service.wanted.empty());
  const std::size_t present = service.At("dc-a").serving +
                              service.At("dc-b").serving +
                              service.At("dc-c").serving;
  service.RunWithDemand(1, rise);
  BOOST_TEST(service.Total() >= present);
  service.RunWithDemand(20, rise);
  BOOST_TEST(service.Total() >= before);
}

// -------------------------------------------------------------- not measured

// Guards against a new leader that removes targets before it knows the demand.
BOOST_AUTO_TEST_CASE(nothing_is_ordered_before_demand_is_measured) {
  ScaledService service;
  service.Run(60);
  BOOST_TEST(service.wanted.empty());
  BOOST_TEST(service.changes.empty());
}

BOOST_AUTO_TEST_CASE(the_minimum_is_kept_without_measured_demand) {
  ScaledService service;
  service.At("dc-b").serving = 1;
  service.Run(5);
  BOOST_TEST(service.wanted.empty());
  service.Run(2);
  BOOST_TEST(service.wanted.size() == 1U);
  BOOST_TEST(service.wanted["dc-b"] == 4U);
  BOOST_TEST((service.changes.front().reason == ScaleReason::kLimits));
}

// Guards against scaling down while entries don't report.
BOOST_AUTO_TEST_CASE(numbers_are_held_while_demand_is_not_measured) {
  ScaledService service;
  service.SetDemand(32, 40);
  service.Run(60);
  const std::size_t before = service.Total();
  service.load.models[0].busy_hosts.reset();
  service.load.models[1].busy_hosts.reset();
  service.Run(300);
  BOOST_TEST(service.Total() == before);
  service.SetDemand(1, 1);
  service.Run(30);
  BOOST_TEST(service.Total() == before);
}

// A model that nobody asks for has no measured demand, and needs one group.
BOOST_AUTO_TEST_CASE(a_model_without_demand_gets_one_group) {
  ScaledService service;
  service.SetTargets(0);
  service.load.models[1].busy_hosts = 20;
  service.Run(1);
  std::size_t total = 16 + 32;
  BOOST_TEST(service.Total() >= total + 3);
  BOOST_TEST(service.Total() <= total + 6);
}

// -------------------------------------------------------------------- limits

BOOST_AUTO_TEST_CASE(equal_limits_fix_the_number) {
  ScaledService service;
  service.load.min_targets = 12;
  service.load.max_targets = 12;
  service.Run(1);
  BOOST_TEST(service.wanted["dc-a"] == 12U);
  service.SetDemand(500, 500);
  service.Run(100);
  service.SetDemand(0, 0);
  service.Run(200);
  BOOST_TEST(service.wanted["dc-a"] == 12U);
  BOOST_TEST(service.changes.size() == 3U);
}

BOOST_AUTO_TEST_CASE(changed_limits_apply_at_once) {
  ScaledService service;
  service.SetDemand(32, 40);
  service.Run(10);
  service.load.max_targets = 20;
  service.Run(1);
  BOOST_TEST(service.wanted["dc-a"] == 20U);
  BOOST_TEST((service.changes.back().reason == ScaleReason::kLimits));
}

BOOST_AUTO_TEST_CASE(a_service_that_is_no_longer_scaled_is_forgotten) {
  ScaledService service;
  service.SetDemand(16, 12);
  service.Run(10);
  const ScaleDecision decision = service.planner.Decide({}, service.now);
  BOOST_TEST(decision.orders.empty());
}

// ---------------------------------------------------------- lost data centres

// Guards against waiting for the platform to restart a lost data centre.
BOOST_AUTO_TEST_CASE(others_take_the_part_of_a_lost_data_centre) {
  ScaledService service;
  service.SetDemand(20, 30);
  service.Run(60);
  const std::map<std::string, std::size_t> before = service.wanted;
  service.At("dc-c").silent = service.At("dc-c").serving;
  service.At("dc-c").serving = 0;
  service.is_down["dc-c"] = true;
  service.Run(1);
  BOOST_TEST((service.changes.back().reason == ScaleReason::kDataCentreLost));
  BOOST_TEST(service.wanted["dc-a"] + service.wanted["dc-b"] >= 80U);
  // It gets its part back when it returns.
  service.Run(200);
  BOOST_TEST(service.wanted["dc-c"] == before.at("dc-c"));
  service.is_down["dc-c"] = false;
  service.Run(300);
  BOOST_TEST(service.wanted["dc-c"] == before.at("dc-c"));
  BOOST_TEST(service.wanted["dc-a"] <= before.at("dc-a") + 4);
}

// A single lost host is replaced by the platform and changes no number.
BOOST_AUTO_TEST_CASE(single_lost_hosts_change_nothing) {
  ScaledService service;
  service.SetDemand(20, 30);
  service.Run(60);
  const std::size_t changes = service.changes.size();
  for (int step = 0; step < 600; ++step) {
    if (step % 4 == 0) {
      service.load.data_centres[static_cast<std::size_t>(step / 4 % 3)]
          .serving -= 1;
    }
    service.Run(1);
  }
  BOOST_TEST(service.changes.size() == changes);
}

BOOST_AUTO_TEST_CASE(a_data_centre_out_of_service_has_none) {
  ScaledService service;
  service.SetDemand(20, 30);
  service.Run(60);
  const std::size_t before = service.wanted["dc-b"];
  service.At("dc-b").is_out_of_service = true;
  service.Run(1);
  BOOST_TEST(service.wanted["dc-a"] + service.wanted["dc-c"] >= 80U);
  BOOST_TEST(service.wanted["dc-b"] == before);
  service.Run(400);
  BOOST_TEST(service.wanted["dc-b"] == service.load.min_targets);
  service.At("dc-b").is_out_of_service = false;
  service.Run(1);
  BOOST_TEST(service.wanted["dc-b"] >= before);
}

// Guards against a leader that hears no target and orders the maximum.
BOOST_AUTO_TEST_CASE(losing_all_data_centres_changes_nothing) {
  ScaledService service;
  service.SetDemand(20, 30);
  service.Run(60);
  const std::size_t changes = service.changes.size();
  for (DataCentreTargets& targets : service.load.data_centres) {
    targets.silent = targets.serving;
    targets.serving = 0;
    service.is_down[targets.data_centre] = true;
  }
  service.Run(200);
  BOOST_TEST(service.changes.size() == changes);
}

BOOST_AUTO_TEST_CASE(no_data_centre_in_service_changes_nothing) {
  ScaledService service;
  service.SetDemand(20, 30);
  service.Run(60);
  const std::size_t changes = service.changes.size();
  for (DataCentreTargets& targets : service.load.data_centres) {
    targets.is_out_of_service = true;
  }
  service.Run(200);
  BOOST_TEST(service.changes.size() == changes);
}

// Guards against more orders because earlier ones are carried out late.
BOOST_AUTO_TEST_CASE(a_slow_platform_gets_no_further_orders) {
  ScaledService service;
  service.SetTargets(4);
  service.has_platform = false;
  service.SetDemand(20, 30);
  service.Run(60);
  BOOST_TEST(service.changes.size() == 3U);
}

// ----------------------------------------------------------------- bad input

BOOST_AUTO_TEST_CASE(invalid_demand_is_ignored_and_counted) {
  const double kInvalid[] = {kNotANumber, -1, 1e300,
                             std::numeric_limits<double>::infinity()};
  for (const double invalid : kInvalid) {
    ScaledService service;
    service.SetDemand(20, 30);
    service.Run(60);
    const std::size_t before = service.Total();
    service.SetDemand(invalid, invalid);
    const ScaleDecision decision = service.Step();
    BOOST_TEST(decision.ignored_inputs == 2U);
    service.Run(100);
    BOOST_TEST(service.Total() == before);
  }
}

BOOST_AUTO_TEST_CASE(invalid_sizes_times_and_limits_are_bounded) {
  ScaledService service;
  service.load.models[0].size = 0;
  service.load.models[0].load_s = kNotANumber;
  service.load.models[1].load_s = 1e300;
  service.load.start_s = -5;
  service.load.min_targets = 50;
  service.load.max_targets = 10;
  service.SetDemand(2, 2);
  const ScaleDecision decision = service.Step();
  BOOST_TEST(decision.ignored_inputs == 1U);
  service.Run(1000);
  BOOST_TEST(service.wanted["dc-a"] == 50U);
}

BOOST_AUTO_TEST_CASE(a_service_without_models_keeps_its_limits) {
  ScaledService service;
  service.load.models.clear();
  service.load.min_targets = 30;
  service.Run(10);
  BOOST_TEST(service.wanted["dc-a"] == 30U);
}

BOOST_AUTO_TEST_CASE(time_that_stands_still_is_ignored) {
  ScaledService service;
  service.SetDemand(20, 30);
  service.Run(60);
  const std::size_t before = service.Total();
  for (int repeat = 0; repeat < 100; ++repeat) {
    (void)service.planner.Decide({service.load}, service.now);
  }
  service.Run(10);
  BOOST_TEST(service.Total() == before);
}

// Guards against work that grows with the limits.
BOOST_AUTO_TEST_CASE(huge_limits_take_no_time) {
  ScaledService service;
  service.load.max_targets = 1'000'000'000;
  service.SetDemand(20, 30);
  service.Run(100);
  BOOST_TEST(service.Total() < 120U);
}
