#define BOOST_TEST_MODULE capacity_gain
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <string>

#include "dispatch_simulation.h"
#include "plain_simulation.h"

/// What callers gain when the entries learn how much each target takes well:
/// the share answered in time at the same load, with and without.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

constexpr std::uint64_t kSeeds = 4;

/// On-time shares over several seeds.
struct Gain {
  double without = 0;
  double with = 0;
  std::size_t refused_without = 0;
  std::size_t refused_with = 0;

  /// Part of what slow targets cost that is won back, where `sound` is the
  /// share on time when none is slow.
  [[nodiscard]] double WonBack(double sound) const {
    return (this->with - this->without) / (sound - this->without);
  }
};

void Print(const std::string& name, const Gain& gain) {
  BOOST_TEST_MESSAGE(name << ": on time " << gain.without << " without, "
                          << gain.with << " with; refused "
                          << gain.refused_without << ", " << gain.refused_with);
}

Gain PlayHeads(const std::string& name, SimulatedLoad load) {
  Gain gain;
  for (load.seed = 1; load.seed <= kSeeds; ++load.seed) {
    load.learns = false;
    const SimulatedResult without = DispatchSimulation(load).Run();
    load.learns = true;
    const SimulatedResult with = DispatchSimulation(load).Run();
    gain.without += without.OnTimeShare() / kSeeds;
    gain.with += with.OnTimeShare() / kSeeds;
    gain.refused_without += without.rejected;
    gain.refused_with += with.rejected;
  }
  Print(name, gain);
  return gain;
}

Gain PlayPlain(const std::string& name, PlainLoad load) {
  constexpr std::int64_t kDurationMs = 20'000;
  Gain gain;
  for (load.seed = 1; load.seed <= kSeeds; ++load.seed) {
    load.learns = false;
    PlainSimulation without(load);
    without.RunUntil(kDurationMs);
    load.learns = true;
    PlainSimulation with(load);
    with.RunUntil(kDurationMs);
    gain.without += without.result().OnTimeShare() / kSeeds;
    gain.with += with.result().OnTimeShare() / kSeeds;
    gain.refused_without += without.result().refused;
    gain.refused_with += with.result().refused;
  }
  Print(name, gain);
  return gain;
}

/// As in direct_dispatch_test.cc, at `share` of the rate that keeps all groups
/// busy.
SimulatedLoad SmallGroups(double share) {
  SimulatedLoad load;
  load.entries = 17;
  load.heads = 8;
  load.time_factor = 0.6;
  load.mean_prompt_tokens = 674;
  load.mean_events = 26;
  load.objective_ms = 300;
  load.records_progress = true;
  load.requests_per_s = share * 8 * 33;
  return load;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_slow_head_costs_callers_less) {
  SimulatedLoad load = SmallGroups(0.6);
  const double sound = PlayHeads("no slow head", load).without;
  load.slow_from_ms = 5000;
  load.slow_until_ms = 15'000;
  load.slow_factor = 4;
  const Gain quarter = PlayHeads("head at a quarter of its speed", load);
  BOOST_TEST(quarter.WonBack(sound) >= 0.5);
  load.slow_factor = 12;
  const Gain twelfth = PlayHeads("head at a twelfth of its speed", load);
  BOOST_TEST(twelfth.with >= twelfth.without);
}

// Requests that wait for other heads than the slow one must not be refused in
// larger numbers than it could have served.
BOOST_AUTO_TEST_CASE(a_slow_head_in_overload_is_still_used) {
  for (const double share : {0.9, 1.3}) {
    SimulatedLoad load = SmallGroups(share);
    load.slow_from_ms = 5000;
    load.slow_until_ms = 15'000;
    load.slow_factor = 4;
    const Gain gain =
        PlayHeads("head at a quarter, load " + std::to_string(share), load);
    BOOST_TEST(gain.with >= gain.without - 0.01);
    BOOST_TEST(static_cast<double>(gain.refused_with) <=
               1.02 * static_cast<double>(gain.refused_without) + 20);
  }
}

// Nothing is lost where all heads are as published, also in overload.
BOOST_AUTO_TEST_CASE(ordinary_heads_are_used_as_before) {
  for (const double share : {0.3, 0.8, 1.0, 1.5}) {
    const Gain gain = PlayHeads("ordinary heads at " + std::to_string(share),
                                SmallGroups(share));
    BOOST_TEST(gain.with >= gain.without - 0.01);
  }
}

BOOST_AUTO_TEST_CASE(slow_plain_targets_cost_callers_less) {
  PlainLoad load;
  const double sound = PlayPlain("no slow plain target", load).without;
  load.targets[0].slow_factor = 4;
  load.targets[0].slow_from_ms = 2000;
  load.targets[0].slow_until_ms = 18'000;
  const Gain quarter = PlayPlain("plain target at a quarter", load);
  BOOST_TEST(quarter.WonBack(sound) >= 0.5);
  PlainLoad half;
  half.requests_per_s = 1100;
  half.targets[0].slow_from_share = 0.5;
  half.targets[1].slow_from_share = 0.5;
  const Gain half_full = PlayPlain("two slow from half full", half);
  BOOST_TEST(half_full.with >= half_full.without);
  PlainLoad failing;
  failing.targets[0].failed_share = 0.5;
  const Gain failed = PlayPlain("one fails half of its requests", failing);
  BOOST_TEST(failed.WonBack(sound) >= 0.5);
  PlainLoad small;
  small.targets[0].slots = 6;
  small.targets[1].slots = 6;
  small.targets[0].queue = 2;
  small.targets[1].queue = 2;
  small.requests_per_s = 1000;
  const Gain uneven = PlayPlain("two with six slots", small);
  BOOST_TEST(uneven.with >= uneven.without);
}

BOOST_AUTO_TEST_CASE(ordinary_plain_targets_are_used_as_before) {
  for (const double requests_per_s : {300.0, 900.0, 1800.0, 2600.0}) {
    PlainLoad load;
    load.requests_per_s = requests_per_s;
    const Gain gain = PlayPlain(
        "ordinary plain targets at " + std::to_string(requests_per_s), load);
    BOOST_TEST(gain.with >= gain.without - 0.01);
  }
}
