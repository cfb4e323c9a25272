#define BOOST_TEST_MODULE capacity_learner
#include "gooseberryturn/direct/capacity_learner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "direct_fixtures.h"
#include "gooseberryturn/direct/capacity_merger.h"
#include "plain_simulation.h"

/// What is learnt of targets from their answers, at one entry and merged over
/// all of them.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

constexpr double kGapMs = 55;

TargetEstimate EstimateOf(const CapacityLearner& learner,
                          const TargetIncarnation& target, std::int64_t ms) {
  return learner.Estimate(target.target, target.start_time_ms, At(ms));
}

/// Plays `streams` streams of a head that is slower by `factor` than published.
void PlayStreams(CapacityLearner& learner, const TargetIncarnation& head,
                 int streams, double factor, std::int64_t from_ms,
                 std::int64_t until_ms) {
  const std::int64_t gap_ms = std::llround(kGapMs * factor);
  for (std::int64_t ms = from_ms + gap_ms; ms <= until_ms; ms += gap_ms) {
    for (int stream = 0; stream < streams; ++stream) {
      learner.ObserveEventGap(head, {kGapMs, At(ms - gap_ms)}, At(ms));
    }
  }
}

CapacityMerger::IsRegistered AnyStartedAt(std::int64_t start_ms) {
  return [start_ms](const std::string& target, std::int64_t start) {
    return target != "unknown" && start == start_ms;
  };
}

}  // namespace

// ------------------------------------------------------------------ group
// heads

// Guards against placement by published figures only: callers of a slow group
// waited four times as long for seconds.
BOOST_AUTO_TEST_CASE(a_head_at_a_quarter_of_its_speed_is_known_in_time) {
  const TargetIncarnation head = {"h", 7};
  CapacityLearner learner(1);
  PlayStreams(learner, head, 3, 1, 10'000, 12'000);
  BOOST_TEST(EstimateOf(learner, head, 12'000).time_factor == 1);
  PlayStreams(learner, head, 3, 4, 12'000, 12'500);
  BOOST_TEST(EstimateOf(learner, head, 12'500).time_factor >= 2.5);
  PlayStreams(learner, head, 3, 4, 12'500, 13'500);
  BOOST_TEST(EstimateOf(learner, head, 13'500).time_factor >= 3.5);
  BOOST_TEST(EstimateOf(learner, head, 13'500).time_factor <= 4.1);
  PlayStreams(learner, head, 3, 1, 13'500, 14'100);
  BOOST_TEST(EstimateOf(learner, head, 14'100).time_factor <= 1.5);
}

// Guards against a load that is known late, or a coalesced event, being taken
// for a slow head.
BOOST_AUTO_TEST_CASE(an_ordinary_head_with_uneven_events_is_not_slow) {
  const TargetIncarnation head = {"h", 7};
  CapacityLearner learner(1);
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> error(0.85, 1.15);
  for (std::int64_t pass = 1; pass < 400; ++pass) {
    const std::int64_t ms = 10'000 + 55 * pass;
    const bool is_coalesced = pass % 2 == 0;
    learner.ObserveEventGap(
        head, {kGapMs * error(random), At(is_coalesced ? ms - 2 : ms - 108)},
        At(ms));
    if (pass > 20) {
      BOOST_REQUIRE(EstimateOf(learner, head, ms).time_factor < 1.8);
    }
  }
}

// A frozen head is avoided by TargetTracker; counted here too, it would get
// nothing for long after it goes on.
BOOST_AUTO_TEST_CASE(one_silence_is_not_slowness_but_repeated_ones_are) {
  const TargetIncarnation head = {"h", 7};
  CapacityLearner learner(1);
  PlayStreams(learner, head, 4, 1, 10'000, 11'000);
  for (int stream = 0; stream < 4; ++stream) {
    learner.ObserveEventGap(head, {kGapMs, At(11'000)}, At(13'000));
  }
  BOOST_TEST(EstimateOf(learner, head, 13'000).time_factor == 1);
  PlayStreams(learner, head, 4, 12, 13'000, 15'000);
  BOOST_TEST(EstimateOf(learner, head, 15'000).time_factor >= 6);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_starts_without_the_old_estimate) {
  CapacityLearner learner(1);
  PlayStreams(learner, {"h", 7}, 3, 4, 10'000, 12'000);
  BOOST_TEST(EstimateOf(learner, {"h", 8}, 12'000).time_factor == 1);
  PlayStreams(learner, {"h", 8}, 3, 1, 12'000, 12'200);
  BOOST_TEST(EstimateOf(learner, {"h", 8}, 12'200).time_factor == 1);
  // A late answer of the old one changes nothing.
  PlayStreams(learner, {"h", 7}, 3, 4, 12'200, 13'200);
  BOOST_TEST(EstimateOf(learner, {"h", 8}, 13'200).time_factor == 1);
  BOOST_TEST(EstimateOf(learner, {"h", 7}, 13'200).time_factor == 1);
}

// A slow target that gets no requests would stay slow in all views for good.
BOOST_AUTO_TEST_CASE(a_slow_head_without_requests_is_probed_and_relaxes) {
  const TargetIncarnation head = {"h", 7};
  CapacityLearner learner(1);
  PlayStreams(learner, head, 3, 8, 10'000, 14'000);
  BOOST_TEST(!EstimateOf(learner, head, 14'500).is_probe_due);
  std::int64_t ms = 14'500;
  while (!EstimateOf(learner, head, ms).is_probe_due) {
    ms += 50;
  }
  BOOST_TEST(ms <= 17'100);
  learner.RecordSent(head, At(ms));
  BOOST_TEST(learner.probes() == 1U);
  BOOST_TEST(!EstimateOf(learner, head, ms).is_probe_due);
  BOOST_TEST(EstimateOf(learner, head, 40'000).time_factor == 1);
}

// ----------------------------------------------------------------------
// reports

BOOST_AUTO_TEST_CASE(invalid_values_of_a_report_are_ignored_and_counted) {
  CapacityMerger merger(AnyStartedAt(7));
  constexpr float kNan = std::numeric_limits<float>::quiet_NaN();
  constexpr float kInfinite = std::numeric_limits<float>::infinity();
  const std::vector<LearntCapacity> invalid = {
      {"a", 7, kNan, 0, 5},   {"a", 7, kInfinite, 0, 5}, {"a", 7, -4, 0, 5},
      {"a", 7, 0, 0, 5},      {"a", 7, 1e30F, 0, 5},     {"a", 7, 1, kNan, 5},
      {"a", 7, 1, -3, 5},     {"a", 7, 1, 1e30F, 5},     {"a", 7, 1, 0.5F, 5},
      {"a", 7, 4, 2, 0},      {"a", 6, 4, 2, 5},         {"a", 8, 4, 2, 5},
      {"unknown", 7, 4, 2, 5}};
  BOOST_TEST(merger.AddReport(invalid, At(10'000)) == invalid.size());
  BOOST_TEST(merger.size() == 0U);
  BOOST_TEST(merger.Notable(At(10'000)).empty());
  CapacityLearner learner(1);
  const std::vector<LearntCapacity> received(invalid.begin(),
                                             invalid.begin() + 9);
  BOOST_TEST(learner.ApplyMerged(received, 12, At(10'000)) == received.size());
  BOOST_TEST(learner.size() == 0U);
}

// One entry that reports nonsense within the bounds must not outweigh others.
BOOST_AUTO_TEST_CASE(a_report_does_not_count_for_more_than_its_bound) {
  CapacityMerger merger(AnyStartedAt(7));
  constexpr std::uint32_t kHuge = std::numeric_limits<std::uint32_t>::max();
  for (std::int64_t ms = 10'000; ms < 12'000; ms += 100) {
    (void)merger.AddReport({{"h", 7, 16, 0, kHuge}}, At(ms));
    for (int entry = 1; entry < 12; ++entry) {
      (void)merger.AddReport({{"h", 7, 1, 0, 60}}, At(ms));
    }
  }
  const std::vector<LearntCapacity> merged = merger.Notable(At(12'000));
  BOOST_REQUIRE(merged.size() == 1U);
  BOOST_TEST(merged.front().time_factor < 3.2F);
}

BOOST_AUTO_TEST_CASE(an_entry_learns_from_the_answers_at_the_others) {
  const TargetIncarnation head = {"h", 7};
  CapacityMerger merger(AnyStartedAt(7));
  CapacityLearner seeing(1);
  CapacityLearner other(2);
  for (std::int64_t ms = 10'000; ms < 11'000; ms += 100) {
    PlayStreams(seeing, head, 3, 4, ms - 230, ms);
    BOOST_TEST(merger.AddReport(seeing.TakeReport(At(ms)), At(ms)) == 0U);
    BOOST_TEST(other.ApplyMerged(merger.Notable(At(ms)), 12, At(ms)) == 0U);
  }
  BOOST_TEST(EstimateOf(other, head, 11'000).time_factor >= 3);
  const std::vector<PaceChange> slow = merger.TakeChanges();
  BOOST_REQUIRE(slow.size() == 1U);
  BOOST_TEST(slow.front().is_slow);
  for (std::int64_t ms = 11'000; ms < 12'500; ms += 100) {
    PlayStreams(seeing, head, 3, 1, ms - 110, ms);
    (void)merger.AddReport(seeing.TakeReport(At(ms)), At(ms));
    (void)other.ApplyMerged(merger.Notable(At(ms)), 12, At(ms));
  }
  BOOST_TEST(EstimateOf(other, head, 12'500).time_factor == 1);
  const std::vector<PaceChange> recovered = merger.TakeChanges();
  BOOST_REQUIRE(recovered.size() == 1U);
  BOOST_TEST(!recovered.front().is_slow);
}

// Failure midway: the leader is lost while a target is slow. Entries go on with
// what they learnt, and the next leader learns it from their reports.
BOOST_AUTO_TEST_CASE(the_loss_of_the_leader_loses_no_estimate_in_use) {
  const TargetIncarnation head = {"h", 7};
  CapacityMerger first(AnyStartedAt(7));
  CapacityLearner seeing(1);
  CapacityLearner other(2);
  for (std::int64_t ms = 10'000; ms < 11'000; ms += 100) {
    PlayStreams(seeing, head, 3, 4, ms - 230, ms);
    (void)first.AddReport(seeing.TakeReport(At(ms)), At(ms));
    (void)other.ApplyMerged(first.Notable(At(ms)), 12, At(ms));
  }
  PlayStreams(seeing, head, 3, 4, 11'000, 13'000);
  BOOST_TEST(EstimateOf(seeing, head, 13'000).time_factor >= 3);
  BOOST_TEST(EstimateOf(other, head, 13'000).time_factor >= 1.8);
  CapacityMerger next(AnyStartedAt(7));
  (void)next.AddReport(seeing.TakeReport(At(13'000)), At(13'000));
  (void)other.ApplyMerged(next.Notable(At(13'000)), 12, At(13'000));
  BOOST_TEST(EstimateOf(other, head, 13'000).time_factor >= 3);
}

BOOST_AUTO_TEST_CASE(what_no_entry_reports_is_forgotten) {
  CapacityMerger merger(AnyStartedAt(7));
  (void)merger.AddReport({{"h", 7, 4, 3, 50}}, At(10'000));
  BOOST_TEST(merger.Notable(At(10'100)).size() == 1U);
  BOOST_TEST(merger.Notable(At(80'000)).empty());
  BOOST_TEST(merger.size() == 0U);
}

// --------------------------------------------------------------- plain targets

BOOST_AUTO_TEST_CASE(a_plain_target_at_a_quarter_of_its_speed_and_recovery) {
  PlainLoad load;
  load.targets[0].slow_factor = 4;
  load.targets[0].slow_from_ms = 5000;
  load.targets[0].slow_until_ms = 15'000;
  PlainSimulation simulation(load);
  simulation.RunUntil(5000);
  BOOST_TEST(simulation.MeanFactor("t0") < 1.5);
  simulation.RunUntil(8000);
  BOOST_TEST(simulation.MeanFactor("t0") >= 2.5);
  simulation.RunUntil(14'000);
  const std::size_t before = simulation.SentTo("t0");
  simulation.RunUntil(15'000);
  const std::size_t slow_per_s = simulation.SentTo("t0") - before;
  simulation.RunUntil(19'000);
  BOOST_TEST(simulation.MeanFactor("t0") < 1.5);
  const std::size_t recovered = simulation.SentTo("t0");
  simulation.RunUntil(20'000);
  BOOST_TEST(slow_per_s >= 1U);
  BOOST_TEST(simulation.SentTo("t0") - recovered >= 2 * slow_per_s);
}

// Slows down from half of its slots on, so that a full target is worse than a
// half full one.
BOOST_AUTO_TEST_CASE(a_target_that_slows_down_from_half_full_gets_a_limit) {
  PlainLoad load;
  load.requests_per_s = 1500;
  for (PlainTarget& target : load.targets) {
    target.slots = 16;
  }
  load.targets[0].slots = 20;
  load.targets[0].slow_from_share = 0.5;
  PlainSimulation simulation(load);
  simulation.RunUntil(5000);
  const double limit = simulation.MeanLimitUntil(20'000, "t0");
  BOOST_TEST_MESSAGE("limit of the target that slows down: " << limit);
  BOOST_TEST(limit < 16);
  BOOST_TEST(limit >= 6);
}

// Twelve entries share one target that takes six requests and queues two.
BOOST_AUTO_TEST_CASE(twelve_entries_share_the_limit_of_one_target) {
  PlainLoad load;
  load.entries = 12;
  load.targets.resize(1);
  load.targets[0].slots = 6;
  load.targets[0].queue = 2;
  load.requests_per_s = 180;
  PlainSimulation learning(load);
  learning.RunUntil(5000);
  const double limit = learning.MeanLimitUntil(20'000, "t0");
  load.learns = false;
  PlainSimulation fixed(load);
  fixed.RunUntil(20'000);
  BOOST_TEST_MESSAGE("limit of the shared target: " << limit);
  BOOST_TEST(limit <= 12);
  BOOST_TEST(limit >= 4);
  // Nothing that was served before is refused now.
  BOOST_TEST(static_cast<double>(learning.result().on_time) >=
             0.98 * static_cast<double>(fixed.result().on_time));
}

// A health check says that all is well while half of the answers fail fast,
// which would make the target look idle.
BOOST_AUTO_TEST_CASE(a_target_that_fails_fast_gets_fewer_requests) {
  PlainLoad load;
  load.targets[0].failed_share = 0.5;
  PlainSimulation simulation(load);
  simulation.RunUntil(20'000);
  BOOST_TEST(simulation.MeanFactor("t0") >= 2);
  BOOST_TEST(simulation.SentTo("t0") * 2 < simulation.SentTo("t1"));
}

// A limit that was learnt wrongly must not refuse what could be served.
BOOST_AUTO_TEST_CASE(a_wrong_limit_refuses_nothing) {
  PlainLoad load;
  PlainSimulation simulation(load);
  for (const PlainTarget& target : load.targets) {
    simulation.TeachLimit(target.name, 1);
  }
  simulation.RunUntil(3000);
  BOOST_TEST(simulation.result().refused == 0U);
  simulation.RunUntil(20'000);
  BOOST_TEST(simulation.MeanLimit("t1") >= 4);
}

// All targets answer slowly at once: none is worse than the others.
BOOST_AUTO_TEST_CASE(a_service_that_is_slow_as_a_whole_is_served_as_before) {
  PlainLoad load;
  for (PlainTarget& target : load.targets) {
    target.slow_factor = 3;
    target.slow_from_ms = 5000;
    target.slow_until_ms = 1'000'000;
  }
  load.requests_per_s = 300;
  PlainSimulation learning(load);
  learning.RunUntil(20'000);
  load.learns = false;
  PlainSimulation fixed(load);
  fixed.RunUntil(20'000);
  BOOST_TEST(static_cast<double>(learning.result().on_time) >=
             0.97 * static_cast<double>(fixed.result().on_time));
  BOOST_TEST(learning.result().refused <= fixed.result().refused + 10);
}
