#define BOOST_TEST_MODULE admission_reserve
#include "gooseberryturn/direct/admission_reserve.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "direct_fixtures.h"
#include "dispatch_simulation.h"

/// How less urgent requests yield to more urgent ones of the same model.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

constexpr int kUrgent = 0;
constexpr int kLeastUrgent = 9;

/// Four heads that are shared by two entries.
AdmissionReserve MakeReserve() {
  AdmissionReserve reserve;
  reserve.SetCapacity({4, 2});
  return reserve;
}

/// Requests of `priority` at one entry, every `gap_ms` from `from_ms` on.
void Arrive(AdmissionReserve& reserve, int priority, double engine_ms,
            std::int64_t gap_ms, std::int64_t from_ms, std::int64_t until_ms) {
  for (std::int64_t ms = from_ms; ms < until_ms; ms += gap_ms) {
    reserve.RecordArrival(priority, engine_ms, At(ms));
  }
}

/// Urgent requests that need half of the capacity, and for ten seconds a burst
/// of the least urgent ones that needs one and a half times as much as there
/// is.
SimulatedLoad BurstOfTheLeastUrgent() {
  constexpr double kCapacityPerS = 4 * 13.4;
  SimulatedLoad load;
  load.entries = 17;
  load.heads = 4;
  load.duration_ms = 14'000;
  load.classes = {{kUrgent, 0.5 * kCapacityPerS},
                  {kLeastUrgent, 1.5 * kCapacityPerS, 2000, 12'000}};
  return load;
}

SimulatedResult Play(SimulatedLoad load, bool has_order) {
  load.sends_priorities = has_order;
  load.reserves_room = has_order;
  return DispatchSimulation(load).Run();
}

}  // namespace

// --------------------------------------------------------------- reserved room

BOOST_AUTO_TEST_CASE(nothing_is_reserved_without_more_urgent_arrivals) {
  AdmissionReserve reserve = MakeReserve();
  Arrive(reserve, kLeastUrgent, 20, 10, 0, 5000);
  BOOST_TEST(reserve.ReservedRequests(kLeastUrgent, At(5000)) == 0);
  BOOST_TEST(reserve.ReservedRequests(kUrgent, At(5000)) == 0);
  BOOST_TEST(!reserve.IsClosed(kLeastUrgent, 0, Milliseconds(1200), At(5000)));
}

BOOST_AUTO_TEST_CASE(the_reserve_grows_with_urgent_arrivals) {
  AdmissionReserve few = MakeReserve();
  Arrive(few, kUrgent, 20, 100, 0, 5000);
  AdmissionReserve many = MakeReserve();
  Arrive(many, kUrgent, 20, 10, 0, 5000);
  const double for_few = few.ReservedRequests(kLeastUrgent, At(5000));
  const double for_many = many.ReservedRequests(kLeastUrgent, At(5000));
  BOOST_TEST(for_few > 0);
  BOOST_TEST(for_many > for_few);
  BOOST_TEST(many.ReservedRequests(kUrgent, At(5000)) == 0);
}

// However many urgent requests arrive, an idle head takes less urgent ones.
BOOST_AUTO_TEST_CASE(
    less_urgent_requests_are_never_starved_where_there_is_room) {
  const FleetView view = MakeView({"h"});
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 1);
  ChoiceRequest request = MakeChoiceRequest(1000, 400);
  request.time_to_objective_ms = 400;
  request.room_priority = kLeastUrgent;
  request.reserved_requests = 1e9;
  BOOST_TEST(chooser.Choose(request, view, tracker, 1, At(0)).target !=
             nullptr);
  // Half of the slots taken are more than it may fill.
  for (int number = 0; number < 17; ++number) {
    tracker.BeginRequest("h", 0, At(0));
  }
  BOOST_TEST(chooser.Choose(request, view, tracker, 1, At(0)).target ==
             nullptr);
  request.reserved_requests = 0;
  BOOST_TEST(chooser.Choose(request, view, tracker, 1, At(0)).target !=
             nullptr);
}

// A reserve that follows each pause of the arrivals would give the room away
// just before it is needed.
BOOST_AUTO_TEST_CASE(the_reserve_rises_quickly_and_falls_slowly) {
  AdmissionReserve reserve = MakeReserve();
  Arrive(reserve, kUrgent, 20, 10, 0, 1000);
  const double risen = reserve.ReservedRequests(kLeastUrgent, At(1000));
  Arrive(reserve, kUrgent, 20, 10, 1000, 8000);
  const double full = reserve.ReservedRequests(kLeastUrgent, At(8000));
  BOOST_TEST(risen >= 0.5 * full);
  BOOST_TEST(reserve.ReservedRequests(kLeastUrgent, At(9000)) >= 0.6 * full);
  BOOST_TEST(reserve.ReservedRequests(kLeastUrgent, At(60'000)) == 0);
}

BOOST_AUTO_TEST_CASE(without_open_heads_nothing_is_reserved_or_refused) {
  AdmissionReserve reserve = MakeReserve();
  Arrive(reserve, kUrgent, 20, 10, 0, 3000);
  Arrive(reserve, kLeastUrgent, 20, 10, 0, 3000);
  reserve.SetCapacity({0, 2});
  BOOST_TEST(reserve.ReservedRequests(kLeastUrgent, At(3000)) == 0);
  BOOST_TEST(
      !reserve.IsClosed(kLeastUrgent, 1000, Milliseconds(1200), At(3000)));
}

BOOST_AUTO_TEST_CASE(invalid_engine_times_are_ignored) {
  AdmissionReserve reserve = MakeReserve();
  for (const double invalid :
       {std::numeric_limits<double>::quiet_NaN(), -5.0, 0.0}) {
    Arrive(reserve, kUrgent, invalid, 10, 0, 1000);
    reserve.RecordRefusal(invalid, At(1000));
  }
  BOOST_TEST(reserve.ReservedRequests(kLeastUrgent, At(1000)) == 0);
  BOOST_TEST((reserve.ReturnTime(kLeastUrgent, 0, At(1000)) == Duration(0)));
}

// ------------------------------------------------------------ refusals at once

BOOST_AUTO_TEST_CASE(a_class_is_closed_while_urgent_work_takes_all_capacity) {
  AdmissionReserve reserve = MakeReserve();
  std::vector<std::pair<int, std::size_t>> notices;
  reserve.on_closed = [&notices](int priority, std::size_t refused) {
    notices.emplace_back(priority, refused);
  };
  // Twice what two heads' worth of this entry can do.
  Arrive(reserve, kUrgent, 40, 10, 0, 8000);
  Arrive(reserve, kLeastUrgent, 40, 10, 0, 8000);
  const Duration max_wait = Milliseconds(1200);
  BOOST_TEST(reserve.IsClosed(kLeastUrgent, 500, max_wait, At(8000)));
  BOOST_TEST(reserve.IsClosed(kLeastUrgent, 500, max_wait, At(8100)));
  BOOST_TEST(!reserve.IsClosed(kUrgent, 0, max_wait, At(8000)));
  // Without urgent requests in the queue there is room.
  BOOST_TEST(!reserve.IsClosed(kLeastUrgent, 0, max_wait, At(8200)));
  BOOST_TEST(reserve.IsClosed(kLeastUrgent, 500, max_wait, At(9100)));
  // The first refusal is told at once, the others within a second.
  const std::vector<std::pair<int, std::size_t>> expected = {{kLeastUrgent, 1},
                                                             {kLeastUrgent, 2}};
  BOOST_TEST((notices == expected));
}

BOOST_AUTO_TEST_CASE(a_closed_class_opens_only_when_there_is_clearly_room) {
  AdmissionReserve reserve = MakeReserve();
  Arrive(reserve, kLeastUrgent, 40, 100, 0, 1000);
  // Without urgent arrivals this entry works off 2 ms each millisecond.
  const Duration max_wait = Milliseconds(1000);
  BOOST_TEST(!reserve.IsClosed(kLeastUrgent, 1900, max_wait, At(1000)));
  BOOST_TEST(reserve.IsClosed(kLeastUrgent, 2100, max_wait, At(1000)));
  BOOST_TEST(reserve.IsClosed(kLeastUrgent, 1900, max_wait, At(1000)));
  BOOST_TEST(!reserve.IsClosed(kLeastUrgent, 900, max_wait, At(1000)));
}

// Callers that all come back at once would be refused again.
BOOST_AUTO_TEST_CASE(returns_are_spread_over_the_time_that_the_work_takes) {
  AdmissionReserve reserve = MakeReserve();
  Arrive(reserve, kLeastUrgent, 40, 100, 0, 1000);
  const Duration idle = reserve.ReturnTime(kLeastUrgent, 0, At(1000));
  for (int number = 0; number < 50; ++number) {
    reserve.RecordRefusal(40, At(1000));
  }
  const Duration busy = reserve.ReturnTime(kLeastUrgent, 1000, At(1000));
  BOOST_TEST((idle == Duration(0)));
  // 3,000 ms of work at 2 ms each millisecond.
  BOOST_TEST(WholeMs(busy) >= 1499);
  BOOST_TEST(WholeMs(busy) <= 1501);
  Arrive(reserve, kUrgent, 40, 10, 1000, 9000);
  BOOST_TEST((reserve.ReturnTime(kLeastUrgent, 1000, At(9000)) ==
              AdmissionReserve::kMaxReturnTime));
}

// --------------------------------------------------------- what callers get

// Urgent requests were late or refused behind a burst of the least urgent
// ones, which had filled the slots and the prefill of all heads.
BOOST_AUTO_TEST_CASE(urgent_requests_are_on_time_in_a_burst_of_others) {
  constexpr std::uint64_t kSeeds = 3;
  std::size_t urgent_with = 0;
  std::size_t urgent_without = 0;
  std::size_t all_with = 0;
  std::size_t all_without = 0;
  std::size_t least_with = 0;
  std::size_t least_arrived = 0;
  std::size_t urgent_arrived = 0;
  std::size_t rejected_with = 0;
  std::size_t rejected_without = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedLoad load = BurstOfTheLeastUrgent();
    load.seed = seed;
    const SimulatedResult with = Play(load, true);
    const SimulatedResult without = Play(load, false);
    load.classes.pop_back();
    const SimulatedResult alone = Play(load, true);
    urgent_arrived += with.by_priority.at(kUrgent).arrived;
    urgent_with += with.by_priority.at(kUrgent).on_time;
    urgent_without += without.by_priority.at(kUrgent).on_time;
    least_arrived += with.by_priority.at(kLeastUrgent).arrived;
    least_with += with.by_priority.at(kLeastUrgent).on_time;
    rejected_with += with.by_priority.at(kUrgent).rejected;
    rejected_without += without.by_priority.at(kUrgent).rejected;
    all_with += with.on_time;
    all_without += without.on_time;
    BOOST_TEST_MESSAGE(
        "seed " << seed << ": urgent on time "
                << with.by_priority.at(kUrgent).OnTimeShare() << " and "
                << without.by_priority.at(kUrgent).OnTimeShare()
                << " without; least urgent "
                << with.by_priority.at(kLeastUrgent).OnTimeShare() << " and "
                << without.by_priority.at(kLeastUrgent).OnTimeShare()
                << "; refused at once "
                << with.by_priority.at(kLeastUrgent).rejected_at_once
                << "; urgent alone " << alone.OnTimeShare()
                << "; urgent rejected " << with.by_priority.at(kUrgent).rejected
                << " and " << without.by_priority.at(kUrgent).rejected);
  }
  BOOST_TEST(static_cast<double>(urgent_with) >=
             0.75 * static_cast<double>(urgent_arrived));
  BOOST_TEST(static_cast<double>(urgent_with) >=
             1.3 * static_cast<double>(urgent_without));
  BOOST_TEST(2 * rejected_with <= rejected_without);
  // Room that is kept free costs some of the others.
  BOOST_TEST(static_cast<double>(all_with) >=
             0.85 * static_cast<double>(all_without));
  // What the urgent ones leave is used.
  BOOST_TEST(10 * least_with >= least_arrived);
}

// The least urgent class alone gets what it would get without priorities.
BOOST_AUTO_TEST_CASE(a_class_without_urgent_ones_is_served_as_before) {
  SimulatedLoad load = BurstOfTheLeastUrgent();
  load.classes = {{kLeastUrgent, 1.2 * 4 * 13.4}};
  load.duration_ms = 6000;
  const SimulatedResult with = Play(load, true);
  const SimulatedResult without = Play(load, false);
  BOOST_TEST(with.on_time == without.on_time);
  BOOST_TEST(with.rejected == without.rejected);
  BOOST_TEST(with.rejected_at_once == 0U);
}
