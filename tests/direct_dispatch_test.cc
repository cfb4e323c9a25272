#define BOOST_TEST_MODULE direct_dispatch
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstddef>
#include <string>
#include <vector>

#include "direct_fixtures.h"
#include "dispatch_simulation.h"
#include "gooseberryturn/direct/load_spread.h"
#include "gooseberryturn/direct/room_share.h"
#include "gooseberryturn/direct/target_chooser.h"
#include "gooseberryturn/direct/wait_queue.h"

/// How entries that hear of each other's requests with a delay divide the group
/// heads among themselves.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

/// A few groups that take long prompts, and many that take short ones; both as
/// they are when groups of eight and of two hosts serve next to each other.
/// The rates keep all groups busy.
SimulatedLoad FewLargeGroups() {
  SimulatedLoad load;
  load.entries = 17;
  load.heads = 4;
  load.requests_per_s = 4 * 13.4;
  return load;
}

SimulatedLoad ManySmallGroups() {
  SimulatedLoad load;
  load.entries = 17;
  load.heads = 20;
  load.time_factor = 0.6;
  load.mean_prompt_tokens = 674;
  load.mean_events = 26;
  load.objective_ms = 300;
  load.requests_per_s = 20 * 33;
  return load;
}

/// Sum over several seeds, at `factor` times the rate of `load`.
SimulatedResult Play(SimulatedLoad load, double factor) {
  constexpr std::uint64_t kSeeds = 4;
  load.requests_per_s *= factor;
  SimulatedResult sum;
  for (load.seed = 1; load.seed <= kSeeds; ++load.seed) {
    const SimulatedResult result = DispatchSimulation(load).Run();
    sum.arrived += result.arrived;
    sum.on_time += result.on_time;
    sum.late += result.late;
    sum.rejected += result.rejected;
    sum.dispersion += result.dispersion / static_cast<double>(kSeeds);
  }
  return sum;
}

}  // namespace

// Incident 007: all entries saw the same head with room and sent to it at the
// same time, up to 21 prompts in 200 ms, and nothing for a second after that.
BOOST_AUTO_TEST_CASE(entries_with_delayed_figures_do_not_send_together) {
  // Independent arrivals have a dispersion of 1.
  BOOST_TEST(Play(FewLargeGroups(), 1).dispersion <= 2);
  BOOST_TEST(Play(ManySmallGroups(), 1).dispersion <= 2);
}

// Incident 007: past its capacity the fleet answered ever fewer requests on
// time, because each head was late with what it had been sent at once.
BOOST_AUTO_TEST_CASE(overload_does_not_reduce_what_is_answered_on_time) {
  for (const SimulatedLoad& load : {FewLargeGroups(), ManySmallGroups()}) {
    const SimulatedResult full = Play(load, 1);
    const SimulatedResult overload = Play(load, 1.5);
    BOOST_TEST(static_cast<double>(overload.on_time) >=
               0.95 * static_cast<double>(full.on_time));
  }
}

BOOST_AUTO_TEST_CASE(light_load_is_answered_on_time) {
  for (const SimulatedLoad& load : {FewLargeGroups(), ManySmallGroups()}) {
    const SimulatedResult light = Play(load, 0.3);
    BOOST_TEST(light.OnTimeShare() >= 0.95);
    BOOST_TEST(light.rejected * 100 <= light.arrived);
  }
}

// ------------------------------------------------------------------ room share

BOOST_AUTO_TEST_CASE(all_entries_together_use_the_room_that_each_sees) {
  constexpr std::size_t kEntries = 16;
  constexpr std::size_t kWaiting = 3;
  constexpr double kRoom = 6;
  constexpr int kRounds = 400;
  std::vector<RoomShare> entries;
  for (std::size_t number = 0; number < kEntries; ++number) {
    entries.emplace_back(number + 1);
  }
  std::size_t sent = 0;
  for (int round = 0; round < kRounds; ++round) {
    const TimePoint now = At(100 * round);
    for (RoomShare& entry : entries) {
      entry.BeginRound(kEntries, {{"m", kWaiting}}, now);
      double room = kRoom;
      for (std::size_t left = kWaiting; left > 0; --left) {
        if (entry.MaySend("m", room, left, entry.Contenders("m", left), now)) {
          entry.RecordSent("m");
          room -= 1;
          // The first rounds have no average yet.
          sent += round >= kRounds / 2 ? 1 : 0;
        }
      }
    }
  }
  const double per_round = 2.0 * static_cast<double>(sent) / kRounds;
  BOOST_TEST(per_round >= 0.8 * kRoom);
  BOOST_TEST(per_round <= 1.2 * kRoom);
}

BOOST_AUTO_TEST_CASE(a_single_request_uses_room_that_nobody_else_wants) {
  RoomShare entry(1);
  for (int round = 0; round < 100; ++round) {
    const TimePoint now = At(100 * round);
    entry.BeginRound(16, {}, now);
    BOOST_TEST(entry.MaySend("m", 12, 1, entry.Contenders("m", 1), now));
    if (round % 20 == 0) {
      entry.RecordSent("m");
    }
  }
}

BOOST_AUTO_TEST_CASE(pools_that_callers_name_do_not_add_up) {
  RoomShare entry(1);
  for (int round = 0; round < 5000; ++round) {
    entry.BeginRound(8, {{"engines/no-such-" + std::to_string(round), 1}},
                     At(100 * round));
  }
  BOOST_TEST(entry.PoolCount() < 100U);
}

BOOST_AUTO_TEST_CASE(an_entry_without_news_goes_on) {
  RoomShare entry(1);
  entry.BeginRound(1, {}, At(0));
  const double contenders = 4;
  int sent = 0;
  for (int ms = 0; ms < 5000; ms += 10) {
    if (entry.MaySend("m", 2, 1, contenders, At(ms))) {
      entry.RecordSent("m");
      sent += 1;
    }
  }
  BOOST_TEST(sent >= 5000 / 250 / 4);
}

// ----------------------------------------------------------------- load spread

BOOST_AUTO_TEST_CASE(
    arriving_work_raises_the_least_delayed_heads_to_one_level) {
  const std::vector<double> weights = SpreadWeights({100, 300, 160}, 100);
  // The level is (100 + 160 + 100) / 2 = 180.
  BOOST_TEST(std::abs(weights[0] - 80) < 1e-9);
  BOOST_TEST(weights[1] == 0);
  BOOST_TEST(std::abs(weights[2] - 20) < 1e-9);
}

BOOST_AUTO_TEST_CASE(without_arriving_work_the_least_delayed_head_is_left) {
  const std::vector<double> weights = SpreadWeights({100, 300, 160}, 0);
  BOOST_TEST(weights[0] > 0);
  BOOST_TEST(weights[1] == 0);
  BOOST_TEST(weights[2] == 0);
}

// ----------------------------------------------------------------- wait queue

BOOST_AUTO_TEST_CASE(waiting_requests_are_counted_by_whether_they_are_late) {
  WaitQueue queue;
  queue.Add({1, "m", 1, At(100), At(900)});
  queue.Add({2, "m", 1, At(300), At(1000)});
  queue.Add({3, "other", 1, At(300), At(1000)});
  BOOST_TEST(queue.Count("m", true, At(200)) == 1U);
  BOOST_TEST(queue.Count("m", false, At(200)) == 1U);
  BOOST_TEST(queue.Count("none", false, At(200)) == 0U);
}
