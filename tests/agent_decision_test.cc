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

protocol::Group MakeGroup(std::uint64_t fence) {
  protocol::Group group;
  group.name = "g";
  group.fence = fence;
  group.members = {{"h1", 1, {}}, {"h2", 2, {}}};
  return group;
}

config::Service ModelService() {
  config::Service service;
  service.name = "m";
  service.limits = {1000, 100, 8, 2, 10'000};
  return service;
}

AgentState ReadyState() {
  AgentState state;
  state.incarnation = 5;
  state.group = "g";
  state.fence = 9;
  state.has_view = true;
  state.group_whole = true;
  state.target_ready = true;
  return state;
}

protocol::HandOver MakeHandOver() {
  protocol::HandOver hand_over;
  hand_over.group = "g";
  hand_over.fence = 9;
  hand_over.incarnation = 5;
  hand_over.remaining_ms = 1000;
  hand_over.body_bytes = 30;
  return hand_over;
}

Reason RefusalReason(AdmissionController& admission_controller,
                     const AgentState& state,
                     const protocol::HandOver& hand_over) {
  const Result<Reservation> result =
      admission_controller.Admit(hand_over, state);
  if (result.has_value()) {
    return Reason::kNone;
  }
  BOOST_TEST((result.error().outcome == Outcome::kNotRun));
  return result.error().reason;
}

}  // namespace

// ------------------------------------------------------------------- leases

BOOST_AUTO_TEST_CASE(group_is_whole_only_while_every_lease_is_valid) {
  GroupLease lease;
  BOOST_TEST(!lease.IsWhole(kNow));
  lease.Reset(MakeGroup(9), "h1");
  BOOST_TEST(!lease.IsWhole(kNow));
  lease.RecordGrant("h2", 8, kNow, seconds(1));  // An older assignment.
  BOOST_TEST(!lease.IsWhole(kNow));
  lease.RecordGrant("h2", 9, kNow, seconds(1));
  BOOST_TEST(lease.IsWhole(kNow + milliseconds(999)));
  BOOST_TEST(!lease.IsWhole(kNow + seconds(1)));
  lease.RecordGrant("h2", 9, kNow + milliseconds(500), seconds(1));
  lease.RecordGrant("h2", 9, kNow,
                    seconds(1));  // A late reply does not shorten the lease.
  BOOST_TEST(lease.IsWhole(kNow + milliseconds(1400)));
  lease.RecordRefusal("h2");
  BOOST_TEST(!lease.IsWhole(kNow + milliseconds(1400)));
}

BOOST_AUTO_TEST_CASE(member_never_grants_leases_to_two_assignments) {
  const milliseconds drift(100);
  LeaseGrantor lease_grantor(drift, kNow + seconds(1));
  // Leases granted by an earlier incarnation may still be valid.
  BOOST_TEST(!lease_grantor.Grant(1, seconds(1), kNow));
  const TimePoint later = kNow + seconds(1);
  BOOST_TEST(lease_grantor.Grant(1, seconds(1), later));
  BOOST_TEST(!lease_grantor.Grant(2, seconds(1), later + seconds(1)));
  BOOST_TEST(!lease_grantor.IsFreeFor(2, later + seconds(1)));
  BOOST_TEST(lease_grantor.Grant(2, seconds(1), later + seconds(1) + drift));
  // An older assignment is never granted a lease again.
  BOOST_TEST(
      !lease_grantor.Grant(1, seconds(1), later + std::chrono::hours(1)));
}

BOOST_AUTO_TEST_CASE(random_delays_never_give_a_host_to_two_leaders) {
  std::mt19937_64 random(1);
  for (int run = 0; run < 2000; ++run) {
    LeaseGrantor lease_grantor(milliseconds(100), kNow);
    TimePoint held_until[3] = {kNow, kNow, kNow};
    TimePoint now = kNow;
    for (int step = 0; step < 30; ++step) {
      now += milliseconds(random() % 400);
      const std::uint64_t fence = 1 + random() % 2;
      // The leader sent its request some time before it arrived.
      const TimePoint asked_at = now - milliseconds(random() % 300);
      if (lease_grantor.Grant(fence, seconds(1), now)) {
        held_until[fence] =
            std::max(held_until[fence], asked_at + Duration(seconds(1)));
        const TimePoint other = held_until[3 - fence];
        BOOST_REQUIRE_MESSAGE(
            other <= now, "two leaders hold a lease of the host, run " << run);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(view_lease_starts_when_the_renewal_is_sent) {
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

BOOST_AUTO_TEST_CASE(each_unmet_condition_is_refused_as_not_run) {
  AdmissionController admission_controller;
  admission_controller.Configure(ModelService());
  BOOST_TEST((RefusalReason(admission_controller, ReadyState(),
                            MakeHandOver()) == Reason::kNone));
  const auto with = [](const std::function<void(AgentState&)>& change) {
    AgentState state = ReadyState();
    change(state);
    return state;
  };
  const auto reason = [&admission_controller](const AgentState& state) {
    return RefusalReason(admission_controller, state, MakeHandOver());
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
  protocol::HandOver late = MakeHandOver();
  late.remaining_ms = 0;
  BOOST_TEST((RefusalReason(admission_controller, ReadyState(), late) ==
              Reason::kDeadline));
}

BOOST_AUTO_TEST_CASE(memory_and_concurrency_are_reserved) {
  AdmissionController admission_controller;
  admission_controller.Configure(ModelService());
  const Result<Reservation> first =
      admission_controller.Admit(MakeHandOver(), ReadyState());
  BOOST_TEST(
      admission_controller.Admit(MakeHandOver(), ReadyState()).has_value());
  BOOST_TEST((RefusalReason(admission_controller, ReadyState(),
                            MakeHandOver()) == Reason::kTargetBusy));
  admission_controller.Release(*first);
  protocol::HandOver large = MakeHandOver();
  large.body_bytes = 2500;
  BOOST_TEST((RefusalReason(admission_controller, ReadyState(), large) ==
              Reason::kMemoryFull));
  large.body_bytes = 3000;
  BOOST_TEST((RefusalReason(admission_controller, ReadyState(), large) ==
              Reason::kTooLarge));
  BOOST_TEST(admission_controller.load().in_flight == 1);
}

BOOST_AUTO_TEST_CASE(limit_grows_with_completions_and_resets_when_cold) {
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

BOOST_AUTO_TEST_CASE(attempt_runs_once_and_never_after_a_query) {
  AttemptTable table;
  using State = protocol::AttemptState;
  BOOST_TEST(table.Begin(1, kNow));
  BOOST_TEST(!table.Begin(1, kNow));
  BOOST_TEST((table.Query(1, kNow).state == State::kRunning));
  table.MarkFinished(1, {200, "t", "body"});
  BOOST_TEST(table.Query(1, kNow).answer.body == "body");
  // A hand-over that arrives after a query for its attempt is refused.
  BOOST_TEST((table.Query(2, kNow).state == State::kNeverRun));
  BOOST_TEST(!table.Begin(2, kNow));
  BOOST_TEST(table.Begin(3, kNow));
  table.MarkUnknown(3);
  BOOST_TEST((table.Query(3, kNow).state == State::kUnknown));
  BOOST_TEST(table.size() == 3U);
  (void)table.Query(4, kNow + AttemptTable::kLifetime);
  BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_CASE(full_attempt_table_answers_unknown) {
  AttemptTable table;
  for (std::uint64_t id = 1; id <= AttemptTable::kMaxAttempts; ++id) {
    BOOST_REQUIRE(table.Begin(id, kNow));
  }
  BOOST_TEST(!table.Begin(1'000'000, kNow));
  BOOST_TEST(
      (table.Query(1'000'001, kNow).state == protocol::AttemptState::kUnknown));
}
