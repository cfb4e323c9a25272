#define BOOST_TEST_MODULE agent_decision
#include <boost/test/unit_test.hpp>
#include <random>

#include "gooseberryturn/admission/admission_controller.h"
#include "gooseberryturn/admission/attempt_table.h"
#include "gooseberryturn/lease/group_lease.h"
#include "gooseberryturn/lease/view_lease.h"

using namespace gooseberryturn;             // NOLINT
using namespace gooseberryturn::admission;  // NOLINT
using namespace gooseberryturn::lease;      // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(std::chrono::hours(5));

protocol::Group TwoHosts(std::uint64_t fence) {
  protocol::Group group;
  group.name = "g";
  group.fence = fence;
  group.members = {{"h1", 1, {}}, {"h2", 2, {}}};
  return group;
}

config::Service Model() {
  config::Service service;
  service.name = "m";
  service.limits = {1000, 100, 8, 2, 10'000};
  return service;
}

AgentState Good() {
  AgentState standing;
  standing.incarnation = 5;
  standing.group = "g";
  standing.fence = 9;
  standing.has_view = true;
  standing.group_whole = true;
  standing.target_ready = true;
  return standing;
}

protocol::HandOver Order() {
  protocol::HandOver order;
  order.group = "g";
  order.fence = 9;
  order.incarnation = 5;
  order.remaining_ms = 1000;
  order.body_bytes = 30;
  return order;
}

Reason ReasonOf(AdmissionController& gate, const AgentState& standing,
                const protocol::HandOver& order) {
  const Result<Reservation> result = gate.Admit(order, standing);
  if (result.has_value()) {
    return Reason::kNone;
  }
  BOOST_TEST((result.error().outcome == Outcome::kNotRun));
  return result.error().reason;
}

}  // namespace

// ------------------------------------------------------------------- leases

BOOST_AUTO_TEST_CASE(group_is_whole_only_while_every_lease_holds) {
  GroupLease lease;
  BOOST_TEST(!lease.IsWhole(kNow));
  lease.Reset(TwoHosts(9), "h1");
  BOOST_TEST(!lease.IsWhole(kNow));
  lease.RecordGrant("h2", 8, kNow, seconds(1));  // Of an older assignment.
  BOOST_TEST(!lease.IsWhole(kNow));
  lease.RecordGrant("h2", 9, kNow, seconds(1));
  BOOST_TEST(lease.IsWhole(kNow + milliseconds(999)));
  BOOST_TEST(!lease.IsWhole(kNow + seconds(1)));
  lease.RecordGrant("h2", 9, kNow + milliseconds(500), seconds(1));
  lease.RecordGrant("h2", 9, kNow,
                    seconds(1));  // A late answer takes nothing back.
  BOOST_TEST(lease.IsWhole(kNow + milliseconds(1400)));
  lease.RecordRefusal("h2");
  BOOST_TEST(!lease.IsWhole(kNow + milliseconds(1400)));
}

BOOST_AUTO_TEST_CASE(member_never_counts_for_two_assignments) {
  const milliseconds drift(100);
  LeaseGrantor promise(drift, kNow + seconds(1));
  // What an earlier incarnation promised still holds.
  BOOST_TEST(!promise.Grant(1, seconds(1), kNow));
  const TimePoint later = kNow + seconds(1);
  BOOST_TEST(promise.Grant(1, seconds(1), later));
  BOOST_TEST(!promise.Grant(2, seconds(1), later + seconds(1)));
  BOOST_TEST(!promise.IsFreeFor(2, later + seconds(1)));
  BOOST_TEST(promise.Grant(2, seconds(1), later + seconds(1) + drift));
  // The older assignment never comes back.
  BOOST_TEST(!promise.Grant(1, seconds(1), later + std::chrono::hours(1)));
}

BOOST_AUTO_TEST_CASE(random_delays_never_give_a_host_to_two_leaders) {
  std::mt19937_64 random(1);
  for (int run = 0; run < 2000; ++run) {
    LeaseGrantor promise(milliseconds(100), kNow);
    TimePoint held_until[3] = {kNow, kNow, kNow};
    TimePoint now = kNow;
    for (int step = 0; step < 30; ++step) {
      now += milliseconds(random() % 400);
      const std::uint64_t fence = 1 + random() % 2;
      // The leader asked a while before the question arrived.
      const TimePoint asked_at = now - milliseconds(random() % 300);
      if (promise.Grant(fence, seconds(1), now)) {
        held_until[fence] =
            std::max(held_until[fence], asked_at + Duration(seconds(1)));
        const TimePoint other = held_until[3 - fence];
        BOOST_REQUIRE_MESSAGE(other <= now,
                              "two leaders hold the host, run " << run);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(view_lease_counts_from_sending) {
  ViewLease lease(Duration::zero());
  BOOST_TEST(!lease.IsValid(kNow));
  lease.RecordRenewal(kNow, seconds(2));
  lease.RecordRenewal(kNow - seconds(1), seconds(2));
  BOOST_TEST(lease.IsValid(kNow + milliseconds(1999)));
  BOOST_TEST(!lease.IsValid(kNow + seconds(2)));
  ViewLease patient(seconds(10));
  BOOST_TEST(!patient.IsValid(kNow));
  patient.RecordRenewal(kNow, seconds(2));
  BOOST_TEST(patient.IsValid(kNow + seconds(11)));
}

// ---------------------------------------------------------------- admission

BOOST_AUTO_TEST_CASE(each_condition_refuses_as_not_run) {
  AdmissionController gate;
  gate.Configure(Model());
  BOOST_TEST((ReasonOf(gate, Good(), Order()) == Reason::kNone));
  const auto with = [](const std::function<void(AgentState&)>& change) {
    AgentState standing = Good();
    change(standing);
    return standing;
  };
  const auto reason = [&gate](const AgentState& standing) {
    return ReasonOf(gate, standing, Order());
  };
  BOOST_TEST((reason(with([](AgentState& s) { s.incarnation = 6; })) ==
              Reason::kStaleIncarnation));
  BOOST_TEST((reason(with([](AgentState& s) { s.has_view = false; })) ==
              Reason::kNoView));
  BOOST_TEST((reason(with([](AgentState& s) { s.data_centre_out = true; })) ==
              Reason::kDataCentreOut));
  BOOST_TEST((reason(with([](AgentState& s) { s.leaving = true; })) ==
              Reason::kLeaving));
  BOOST_TEST((reason(with([](AgentState& s) { s.fence = 10; })) ==
              Reason::kStaleFence));
  BOOST_TEST((reason(with([](AgentState& s) { s.group_whole = false; })) ==
              Reason::kGroupNotWhole));
  BOOST_TEST((reason(with([](AgentState& s) { s.target_ready = false; })) ==
              Reason::kTargetBusy));
  protocol::HandOver late = Order();
  late.remaining_ms = 0;
  BOOST_TEST((ReasonOf(gate, Good(), late) == Reason::kDeadline));
}

BOOST_AUTO_TEST_CASE(memory_and_concurrency_are_reserved) {
  AdmissionController gate;
  gate.Configure(Model());
  const Result<Reservation> first = gate.Admit(Order(), Good());
  BOOST_TEST(gate.Admit(Order(), Good()).has_value());
  BOOST_TEST((ReasonOf(gate, Good(), Order()) == Reason::kTargetBusy));
  gate.Release(*first);
  protocol::HandOver large = Order();
  large.body_bytes = 2500;
  BOOST_TEST((ReasonOf(gate, Good(), large) == Reason::kMemoryFull));
  large.body_bytes = 3000;
  BOOST_TEST((ReasonOf(gate, Good(), large) == Reason::kTooLarge));
  BOOST_TEST(gate.load().in_flight == 1);
}

BOOST_AUTO_TEST_CASE(limit_grows_with_work_done_and_falls_when_cold) {
  ConcurrencyLimit limit(2, 8);
  BOOST_TEST(limit.limit() == 2);
  for (int count = 0; count < 20; ++count) {
    limit.RecordCompletion(milliseconds(100));
  }
  BOOST_TEST(limit.limit() == 8);
  limit.RecordCompletion(milliseconds(900));
  limit.RecordCompletion(milliseconds(900));
  BOOST_TEST(limit.limit() == 8);
  limit.RecordCompletion(milliseconds(900));
  BOOST_TEST(limit.limit() == 2);
  BOOST_TEST(limit.turned_cold());
  limit.Reset();
  BOOST_TEST(limit.limit() == 2);
}

// ----------------------------------------------------------------- attempts

BOOST_AUTO_TEST_CASE(attempt_runs_once_and_a_query_refuses_it_for_good) {
  AttemptTable table;
  using State = protocol::AttemptState;
  BOOST_TEST(table.Begin(1, kNow));
  BOOST_TEST(!table.Begin(1, kNow));
  BOOST_TEST((table.Query(1, kNow).state == State::kRunning));
  table.MarkFinished(1, {200, "t", "body"});
  BOOST_TEST(table.Query(1, kNow).answer.body == "body");
  // The late hand-over of an attempt that was asked about is refused.
  BOOST_TEST((table.Query(2, kNow).state == State::kNeverRun));
  BOOST_TEST(!table.Begin(2, kNow));
  BOOST_TEST(table.Begin(3, kNow));
  table.MarkUnknown(3);
  BOOST_TEST((table.Query(3, kNow).state == State::kUnknown));
  BOOST_TEST(table.size() == 3U);
  (void)table.Query(4, kNow + AttemptTable::kLifetime);
  BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_CASE(full_table_vouches_for_nothing) {
  AttemptTable table;
  for (std::uint64_t id = 1; id <= AttemptTable::kMaxAttempts; ++id) {
    BOOST_REQUIRE(table.Begin(id, kNow));
  }
  BOOST_TEST(!table.Begin(1'000'000, kNow));
  BOOST_TEST(
      (table.Query(1'000'001, kNow).state == protocol::AttemptState::kUnknown));
}
