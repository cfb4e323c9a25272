#define BOOST_TEST_MODULE target_notices
#include "gooseberryturn/direct/target_notices.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <string>

#include "direct_fixtures.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/target_chooser.h"
#include "gooseberryturn/direct/target_tracker.h"

/// What targets say of themselves in their answers, and what follows for the
/// choice of a target.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

constexpr Duration kNoTime = Duration(0);

Choice Choose(TargetChooser& chooser, const FleetView& view,
              TargetTracker& tracker, std::int64_t now_ms,
              const std::vector<std::string>& tried = {}) {
  ChoiceRequest request = MakeChoiceRequest(100, 400);
  request.tried_targets = tried;
  return chooser.Choose(request, view, tracker, 1.5, At(now_ms));
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_pause_is_read_in_whole_and_fractional_seconds) {
  BOOST_TEST((ReadPause("2").state == PauseState::kValid));
  BOOST_TEST((ReadPause("2").time == std::chrono::seconds(2)));
  BOOST_TEST((ReadPause(" 0.25 ").time == std::chrono::milliseconds(250)));
  BOOST_TEST((ReadPause(".5").time == std::chrono::milliseconds(500)));
  BOOST_TEST((ReadPause("0").state == PauseState::kValid));
}

BOOST_AUTO_TEST_CASE(a_malformed_pause_is_ignored_and_a_huge_one_bounded) {
  BOOST_TEST((ReadPause("").state == PauseState::kNone));
  for (const char* text :
       {"-1", "soon", "1s", "1e3", "0x10", "nan", "inf", "1.2.3", ".", "+3",
        "Wed, 21 Oct 2026 07:28:00 GMT", "1 2"}) {
    BOOST_TEST((ReadPause(text).state == PauseState::kIgnored), text);
    BOOST_TEST((ReadPause(text).time == kNoTime), text);
  }
  for (const std::string& text :
       {std::string("86400"), std::string(400, '9'), std::string("301")}) {
    BOOST_TEST((ReadPause(text).state == PauseState::kBounded), text);
    BOOST_TEST((ReadPause(text).time == kMaxPause), text);
  }
}

BOOST_AUTO_TEST_CASE(leaving_ends_with_the_incarnation_and_nothing_else) {
  TargetNotices notices;
  BOOST_TEST(notices.RecordLeaving({"t", 5}));
  BOOST_TEST(!notices.RecordLeaving({"t", 5}));
  BOOST_TEST(notices.IsLeaving({"t", 5}));
  // A view of an older leader names an earlier start.
  BOOST_TEST(notices.IsLeaving({"t", 4}));
  BOOST_TEST(!notices.IsLeaving({"other", 5}));
  BOOST_TEST(!notices.IsLeaving({"t", 6}));
  // What the next incarnation says is kept for itself.
  (void)notices.RecordPause({"t", 6}, At(1000));
  BOOST_TEST(!notices.IsLeaving({"t", 6}));
}

BOOST_AUTO_TEST_CASE(a_repeated_refusal_extends_a_pause_and_never_shortens_it) {
  TargetNotices notices;
  BOOST_TEST((notices.RecordPause({"t", 1}, At(3000)) == At(3000)));
  BOOST_TEST((notices.RecordPause({"t", 1}, At(1000)) == At(3000)));
  BOOST_TEST((notices.PausedUntil({"t", 1}, At(2999)) == At(3000)));
  BOOST_TEST((notices.RecordPause({"t", 1}, At(4000)) == At(4000)));
  BOOST_TEST(!notices.PausedUntil({"t", 1}, At(4000)).has_value());
  BOOST_TEST(!notices.PausedUntil({"t", 2}, At(3000)).has_value());
}

BOOST_AUTO_TEST_CASE(notices_are_bounded) {
  TargetNotices notices;
  for (std::size_t number = 0; number <= TargetNotices::kMaxTargets; ++number) {
    notices.RecordLeaving({"t" + std::to_string(number), 1});
  }
  BOOST_TEST(!notices.IsLeaving({"t0", 1}));
  BOOST_TEST(notices.IsLeaving({"t1", 1}));
}

BOOST_AUTO_TEST_CASE(a_target_that_leaves_is_chosen_for_nothing_new) {
  FleetView view = MakeView({"h1", "h2"});
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 7);
  tracker.notices().RecordLeaving({"h1", 0});
  for (int number = 0; number < 20; ++number) {
    const Choice choice = Choose(chooser, view, tracker, number);
    BOOST_REQUIRE(choice.target != nullptr);
    BOOST_TEST(choice.target->name == "h2");
  }
  // A retry after an attempt at the other one, and a resumed stream.
  BOOST_TEST((Choose(chooser, view, tracker, 0, {"h2"}).reason ==
              ChoiceFailure::kNoTarget));
  ChoiceRequest resumed = MakeChoiceRequest(100, 100);
  resumed.is_resumed = true;
  resumed.tried_targets = {"h2"};
  BOOST_TEST(
      (chooser.Choose(resumed, view, tracker, 1.5, At(0)).target == nullptr));
}

BOOST_AUTO_TEST_CASE(a_model_whose_heads_all_leave_is_known_to_be_unservable) {
  const FleetView view = MakeView({"h1", "h2"});
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 7);
  tracker.notices().RecordLeaving({"h1", 0});
  tracker.notices().RecordLeaving({"h2", 0});
  BOOST_TEST(
      (Choose(chooser, view, tracker, 0).reason == ChoiceFailure::kLeaving));
  BOOST_TEST((Choose(chooser, MakeView({}), tracker, 0).reason ==
              ChoiceFailure::kNoTarget));
}

// A configuration that changes a model's size reached entries before the leader
// had closed the groups of the old size, which went on getting requests.
BOOST_AUTO_TEST_CASE(groups_of_a_size_that_is_not_configured_get_no_requests) {
  Configuration configuration = MakeConfiguration();
  configuration.services[1].engine->models[0].size = 3;
  const FleetView view = MakeView({"h1", "h2"}, configuration);
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 7);
  BOOST_TEST(
      (Choose(chooser, view, tracker, 0).reason == ChoiceFailure::kNoTarget));
}

// Requests for a model that was retired went to its old heads as if these were
// plain targets, or waited although nothing could serve them.
BOOST_AUTO_TEST_CASE(requests_for_a_retired_model_are_known_to_be_unservable) {
  Configuration configuration = MakeConfiguration();
  configuration.services[1].engine->models[0].name = "other";
  const FleetView view = MakeView({"h1", "h2"}, configuration);
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 7);
  BOOST_TEST((Choose(chooser, view, tracker, 0).reason ==
              ChoiceFailure::kNotConfigured));
  configuration.services.pop_back();
  BOOST_TEST(
      (Choose(chooser, MakeView({"h1"}, configuration), tracker, 0).reason ==
       ChoiceFailure::kNotConfigured));
}

BOOST_AUTO_TEST_CASE(callers_of_paused_targets_learn_the_shortest_wait) {
  const FleetView view = MakeView({"h1", "h2"});
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 7);
  (void)tracker.notices().RecordPause({"h1", 0}, At(2000));
  const Choice other = Choose(chooser, view, tracker, 0);
  BOOST_REQUIRE(other.target != nullptr);
  BOOST_TEST(other.target->name == "h2");
  (void)tracker.notices().RecordPause({"h2", 0}, At(1500));
  const Choice none = Choose(chooser, view, tracker, 0);
  BOOST_TEST((none.reason == ChoiceFailure::kPaused));
  BOOST_TEST((none.resumes_at == At(1500)));
  // The one that was tried is not chosen again, but its pause may end first.
  const Choice retry = Choose(chooser, view, tracker, 0, {"h2"});
  BOOST_TEST((retry.reason == ChoiceFailure::kPaused));
  BOOST_TEST((retry.resumes_at == At(1500)));
}

BOOST_AUTO_TEST_CASE(a_target_returns_from_a_pause_gradually) {
  const FleetView view = MakeView({"h1"});
  TargetTracker tracker;
  TargetChooser chooser("a", "entry", 7);
  (void)tracker.notices().RecordPause({"h1", 0}, At(1000));
  // Answers of requests that were sent before don't shorten the return.
  tracker.notices().RecordGoodAnswer({"h1", 0}, At(500));
  std::uint32_t expected = 1;
  for (; expected < TargetNotices::kFullLimit; ++expected) {
    std::uint32_t sent = 0;
    while (Choose(chooser, view, tracker, 1000).target != nullptr) {
      tracker.BeginRequest("h1", 0, At(1000));
      sent += 1;
    }
    BOOST_TEST(tracker.OwnRequests("h1") == expected);
    for (; sent > 0; --sent) {
      tracker.EndRequest("h1", HealthSignal::kNone, At(1000));
    }
    tracker.notices().RecordGoodAnswer({"h1", 0}, At(1000));
  }
  BOOST_TEST(!tracker.notices().RequestLimit({"h1", 0}).has_value());
}
