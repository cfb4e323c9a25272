#define BOOST_TEST_MODULE crash_tracker
#include "gooseberryturn/direct/crash_tracker.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "direct_fixtures.h"
#include "gooseberryturn/direct/answered_contents.h"
#include "gooseberryturn/direct/cut_reports.h"
#include "gooseberryturn/direct/request_content.h"

using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

using Names = std::vector<std::string>;

constexpr std::int64_t kMinuteMs = 60'000;

/// A tracker and the crashes that it is told of.
class Scene {
 public:
  /// A target crashes while it runs one request for each list of parts.
  void Crash(const std::vector<Names>& requests, std::int64_t at_ms) {
    const std::string target = this->Cut(requests, at_ms);
    this->tracker.RecordEnd({target, 1}, TargetEnd::kCrashed, At(at_ms + 100));
    this->tracker.Update(At(at_ms + 100));
  }
  /// \returns The target, of which nothing else is known.
  std::string Cut(const std::vector<Names>& requests, std::int64_t at_ms) {
    const std::string target = "i" + std::to_string(++this->targets);
    for (const Names& parts : requests) {
      const std::string fingerprint = std::to_string(++this->requests);
      this->tracker.RecordCut(MakeCut(fingerprint, target, parts), At(at_ms));
    }
    this->tracker.Update(At(at_ms));
    return target;
  }
  void Answer(const std::string& part, std::int64_t at_ms) {
    this->tracker.RecordAnswer("part:" + part, At(at_ms));
    this->tracker.Update(At(at_ms));
  }
  [[nodiscard]] Names Held() const {
    Names names;
    for (const HeldContent& held : this->tracker.Held()) {
      names.push_back(held.content);
    }
    return names;
  }
  [[nodiscard]] HeldContent FindHeld(const std::string& content) const {
    for (const HeldContent& held : this->tracker.Held()) {
      if (held.content == content) {
        return held;
      }
    }
    return {};
  }

  CrashTracker tracker;

 private:
  int targets = 0;
  int requests = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_part_that_no_target_survives_is_quarantined) {
  Scene scene;
  scene.Answer("first", 0);
  for (int number = 0; number < 3; ++number) {
    const std::int64_t at_ms = 100 + 300 * number;
    BOOST_TEST(scene.tracker.Quarantined().empty());
    scene.Crash({{"first", "bad"}, {"first", "other" + std::to_string(number)}},
                at_ms);
    scene.Answer("first", at_ms + 200);
  }
  BOOST_TEST(scene.tracker.Quarantined() == Names{"part:bad"},
             boost::test_tools::per_element());
  // The crashes are explained: the others are not suspected for them.
  BOOST_TEST(scene.Held().empty());
}

BOOST_AUTO_TEST_CASE(crashes_of_other_causes_hold_no_popular_part) {
  Scene scene;
  scene.Answer("popular", 0);
  for (int number = 0; number < 40; ++number) {
    const std::int64_t at_ms = 1000 * number;
    scene.Crash({{"popular"}, {"popular", "rare" + std::to_string(number)}},
                at_ms);
    scene.Crash({{"popular"}}, at_ms + 10);
    scene.Answer("popular", at_ms + 900);
    BOOST_TEST(scene.tracker.Quarantined().empty());
    const Names held = scene.Held();
    BOOST_TEST(std::count(held.begin(), held.end(), "part:popular") == 0);
  }
}

BOOST_AUTO_TEST_CASE(a_part_that_was_sound_before_is_found_too) {
  Scene scene;
  scene.Answer("bad", 0);
  for (int number = 0; number < 5; ++number) {
    BOOST_TEST(scene.tracker.Quarantined().empty());
    scene.Crash({{"bad"}}, 100 + 300 * number);
  }
  BOOST_TEST(scene.tracker.Quarantined() == Names{"part:bad"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(
    of_two_parts_with_the_same_crashes_the_answered_one_is_let_go) {
  Scene scene;
  for (int number = 0; number < 3; ++number) {
    scene.Crash({{"rare", "bad"}}, 100 * number);
  }
  BOOST_TEST(scene.tracker.Quarantined().empty());
  BOOST_TEST(scene.Held() == (Names{"part:bad", "part:rare"}),
             boost::test_tools::per_element());
  scene.Answer("rare", 1000);
  BOOST_TEST(scene.tracker.Quarantined() == Names{"part:bad"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(five_crashes_are_enough_in_any_case) {
  Scene scene;
  for (int number = 0; number < 5; ++number) {
    BOOST_TEST(scene.tracker.Quarantined().empty());
    scene.Crash({{"rare", "bad"}}, 100 * number);
  }
  BOOST_TEST(scene.tracker.Quarantined() == (Names{"part:bad", "part:rare"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(two_crashing_parts_at_once_are_both_found) {
  Scene scene;
  for (int number = 0; number < 3; ++number) {
    scene.Crash({{"bad1"}}, 200 * number);
    scene.Crash({{"bad2"}}, 200 * number + 100);
  }
  BOOST_TEST(scene.tracker.Quarantined() == (Names{"part:bad1", "part:bad2"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(crashes_minutes_apart_add_up) {
  Scene scene;
  for (int number = 0; number < 3; ++number) {
    scene.Crash({{"bad"}}, 4 * kMinuteMs * number);
  }
  BOOST_TEST(scene.tracker.Quarantined() == Names{"part:bad"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_planned_end_of_a_target_counts_against_nothing) {
  Scene scene;
  for (int number = 0; number < 6; ++number) {
    const std::string target = scene.Cut({{"sound"}}, 100 * number);
    scene.tracker.RecordEnd({target, 1}, TargetEnd::kLeft, At(100 * number));
    scene.tracker.RecordCut(MakeCut("late", target, {"sound"}),
                            At(100 * number + 20));
  }
  scene.tracker.Update(At(1000));
  BOOST_TEST(scene.tracker.Quarantined().empty());
  BOOST_TEST(scene.Held().empty());
}

BOOST_AUTO_TEST_CASE(a_crash_may_be_known_before_its_requests) {
  Scene scene;
  for (int number = 0; number < 3; ++number) {
    const std::string target = "late" + std::to_string(number);
    scene.tracker.RecordEnd({target, 1}, TargetEnd::kCrashed,
                            At(1000 * number));
    CutRequest cut = MakeCut(std::to_string(number), target, {"bad"});
    cut.is_observed = false;  // Its caller left before the crash was seen.
    cut.age_ms = 900;
    scene.tracker.RecordCut(cut, At(1000 * number + 500));
  }
  scene.tracker.Update(At(3000));
  BOOST_TEST(scene.tracker.Quarantined() == Names{"part:bad"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_part_is_held_while_its_target_is_silent_and_no_longer) {
  Scene scene;
  scene.Cut({{"new"}}, 0);
  BOOST_TEST(scene.Held() == Names{"part:new"},
             boost::test_tools::per_element());
  const std::int64_t over_ms = WholeMs(CrashTracker::kMatchWindow) + 300;
  scene.tracker.Update(At(over_ms));
  BOOST_TEST(scene.Held().empty());
}

BOOST_AUTO_TEST_CASE(held_content_is_tried_by_one_request_at_a_time) {
  Scene scene;
  scene.Crash({{"new"}}, 0);
  scene.tracker.RequestTrial("part:new", "e1", At(200));
  scene.tracker.RequestTrial("part:new", "e2", At(300));
  const HeldContent first = scene.FindHeld("part:new");
  BOOST_TEST(first.trial_entry == "e1");
  // The trial ends in a crash: the next one may begin.
  scene.Crash({{"new"}}, 500);
  scene.tracker.RequestTrial("part:new", "e2", At(700));
  const HeldContent second = scene.FindHeld("part:new");
  BOOST_TEST(second.trial_entry == "e2");
  BOOST_TEST(second.trial_number != first.trial_number);
  // A third target is silent: three crashes would be enough.
  scene.Cut({{"new"}}, 900);
  scene.tracker.RequestTrial("part:new", "e3", At(8000));
  BOOST_TEST(scene.FindHeld("part:new").trial_entry == "e2");
}

BOOST_AUTO_TEST_CASE(a_new_leader_goes_on_with_the_crashes_that_were_recorded) {
  Scene scene;
  scene.Crash({{"known"}}, 0);
  scene.Crash({{"known"}}, 100);
  scene.Crash({{"known"}}, 200);
  scene.Crash({{"bad"}}, 300);
  scene.Crash({{"bad"}}, 400);
  CrashTracker next;
  next.Restore(scene.tracker.Records(), 2, At(1000));
  BOOST_TEST(next.Quarantined() == Names{"part:known"},
             boost::test_tools::per_element());
  next.RecordCut(MakeCut("again", "i4", {"bad"}), At(1100));
  next.RecordEnd({"i4", 1}, TargetEnd::kCrashed, At(1100));
  next.Update(At(1100));
  BOOST_TEST(next.Quarantined().size() == 1U);  // That crash was known.
  next.RecordCut(MakeCut("more", "other", {"bad"}), At(1200));
  next.RecordEnd({"other", 1}, TargetEnd::kCrashed, At(1200));
  next.Update(At(1200));
  BOOST_TEST(next.Quarantined() == (Names{"part:bad", "part:known"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(answers_from_before_a_change_of_leader_still_clear) {
  Scene scene;
  scene.Crash({{"sound"}}, 0);
  scene.Crash({{"sound"}}, 100);
  CrashTracker next;
  next.Restore(scene.tracker.Records(), 2, At(5000));
  next.RecordAnswer("part:sound", At(2000));
  next.Update(At(5000));
  BOOST_TEST(next.Held().empty());
  for (const SuspectRecord& record : next.Records()) {
    BOOST_TEST(record.content != "part:sound");
  }
}

BOOST_AUTO_TEST_CASE(a_new_leader_quarantines_no_request_that_is_answered) {
  const std::string content = RequestContentId("often");
  const std::int64_t settle_ms = WholeMs(CrashTracker::kSettleTime);
  for (const bool is_answered : {true, false}) {
    CrashTracker next;
    next.Restore({}, 2, At(20'000));
    // Entries report again what was cut under the leader before.
    for (const char* target : {"i1", "i2", "i3", "i4", "i5"}) {
      next.RecordEnd({target, 1}, TargetEnd::kCrashed, At(20'000));
      next.RecordCut(MakeCut("often", target, {}), At(20'000));
    }
    next.Update(At(20'000));
    BOOST_TEST(next.Quarantined().empty());
    BOOST_TEST(next.Watched() == Names{content},
               boost::test_tools::per_element());
    if (is_answered) {
      next.RecordAnswer(content, At(20'100));
    }
    next.Update(At(20'000 + settle_ms));
    BOOST_TEST(next.Quarantined().size() == (is_answered ? 0U : 1U));
  }
}

BOOST_AUTO_TEST_CASE(a_new_leader_waits_for_answers_to_parts_that_were_sound) {
  Scene scene;
  scene.Answer("first", 0);
  for (int number = 0; number < 4; ++number) {
    scene.Crash({{"first"}}, 100 + 100 * number);
  }
  CrashTracker next;
  next.Restore(scene.tracker.Records(), 2, At(1000));
  next.RecordEnd({"i5", 1}, TargetEnd::kCrashed, At(1000));
  next.RecordCut(MakeCut("own", "i5", {"first"}), At(1000));
  next.Update(At(1000));
  BOOST_TEST(next.Quarantined().empty());
  next.Update(At(1000 + WholeMs(CrashTracker::kSettleTime)));
  BOOST_TEST(next.Quarantined() == Names{"part:first"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_quarantine_lasts_while_its_requests_come) {
  Scene scene;
  for (int number = 0; number < 3; ++number) {
    scene.Crash({{"bad"}}, 100 * number);
  }
  const std::int64_t time_ms = WholeMs(CrashTracker::kQuarantineTime);
  for (int number = 1; number <= 10; ++number) {
    scene.tracker.RecordRefusal("part:bad", At(number * time_ms / 2));
    scene.tracker.Update(At(number * time_ms / 2));
  }
  BOOST_TEST(scene.tracker.Quarantined().size() == 1U);
  // Without requests it ends, and one crash brings it back.
  const std::int64_t end_ms = 6 * time_ms + 1000;
  scene.tracker.Update(At(end_ms));
  BOOST_TEST(scene.tracker.Quarantined().empty());
  BOOST_TEST(scene.Held().size() == 1U);
  scene.Crash({{"bad"}}, end_ms + 1000);
  BOOST_TEST(scene.tracker.Quarantined().size() == 1U);
  BOOST_TEST(scene.tracker.Clear("part:bad"));
  BOOST_TEST(scene.tracker.Quarantined().empty());
  BOOST_TEST(!scene.tracker.Clear("part:bad"));
}

BOOST_AUTO_TEST_CASE(a_sound_request_that_comes_often_is_not_quarantined) {
  CrashTracker tracker;
  for (int number = 0; number < 20; ++number) {
    const std::string target = "i" + std::to_string(number);
    const std::int64_t at_ms = 1000 * number;
    tracker.RecordCut(MakeCut("often", target), At(at_ms));
    tracker.RecordEnd({target, 1}, TargetEnd::kCrashed, At(at_ms));
    tracker.Update(At(at_ms));
    BOOST_TEST(tracker.Quarantined().empty());
    // Entries tell of answers to what is watched only.
    for (const std::string& content : tracker.Watched()) {
      BOOST_TEST(content == "request:often");
      tracker.RecordAnswer(content, At(at_ms - 10));
    }
  }
}

BOOST_AUTO_TEST_CASE(
    a_sound_request_beside_a_crashing_part_is_not_quarantined) {
  CrashTracker tracker;
  for (int number = 0; number < 3; ++number) {
    const std::string target = "i" + std::to_string(number);
    if (number > 0) {
      tracker.RecordCut(MakeCut("r" + std::to_string(number), target, {"bad"}),
                        At(100 * number));
    }
    tracker.RecordCut(MakeCut("rare", target), At(100 * number));
    tracker.RecordEnd({target, 1}, TargetEnd::kCrashed, At(100 * number));
    tracker.Update(At(100 * number));
  }
  BOOST_TEST(tracker.Quarantined().empty());
  // An entry that reports a cut says what it saw answered.
  for (int number = 3; number < 7; ++number) {
    const std::string target = "i" + std::to_string(number);
    CutRequest cut = MakeCut("known", target);
    cut.answered = {"request:known"};
    tracker.RecordCut(cut, At(100 * number));
    tracker.RecordEnd({target, 1}, TargetEnd::kCrashed, At(100 * number));
    tracker.Update(At(100 * number));
  }
  BOOST_TEST(tracker.Quarantined().empty());
}

BOOST_AUTO_TEST_CASE(room_is_made_for_new_suspects) {
  CrashTracker tracker;
  for (std::size_t number = 0; number < 2 * CrashTracker::kMaxSuspects;
       ++number) {
    const std::string target = "i" + std::to_string(number);
    tracker.RecordCut(MakeCut("once" + std::to_string(number), target), At(0));
    tracker.RecordEnd({target, 1}, TargetEnd::kCrashed, At(0));
  }
  for (int number = 0; number < 3; ++number) {
    const std::string target = "j" + std::to_string(number);
    tracker.RecordCut(MakeCut("r" + std::to_string(number), target, {"bad"}),
                      At(10));
    tracker.RecordEnd({target, 1}, TargetEnd::kCrashed, At(10));
  }
  tracker.Update(At(20));
  BOOST_TEST(tracker.Quarantined() == Names{"part:bad"},
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(what_is_kept_of_crashes_is_bounded) {
  Scene scene;
  for (int number = 0; number < 8000; ++number) {
    scene.Crash({{"part" + std::to_string(number)}}, 0);
  }
  BOOST_TEST(scene.Held().size() <= CrashTracker::kMaxPublished);
  BOOST_TEST(scene.tracker.Records().size() <= CrashTracker::kMaxPublished);
}

// -------------------------------------------------------- what an entry keeps

BOOST_AUTO_TEST_CASE(an_answer_counts_once_its_target_has_outlived_it) {
  AnsweredContents answered;
  TargetLife life = TargetLife::kEnded;
  const auto settle = [&answered, &life](std::int64_t ms) {
    return answered.Settle(At(ms),
                           [&life](const TargetIncarnation&) { return life; });
  };
  std::string urgent;
  const auto take = [&answered, &urgent](std::int64_t ms, bool is_urgent) {
    return answered
        .TakeReport(At(ms),
                    [&urgent, is_urgent](const std::string& content) {
                      return content == urgent ||
                             (is_urgent && content == "part:a");
                    })
        .size();
  };
  // Whole by its looks, but the target is gone soon after.
  answered.Record(MakeCut("r1", "i1", {"bad"}), false, At(100), At(150));
  // The end of this one is certain: its target ended for another reason.
  answered.Record(MakeCut("r0", "i1", {"whole"}), true, At(100), At(150));
  const std::vector<CutRequest> cut = settle(5000);
  BOOST_REQUIRE(cut.size() == 1U);
  BOOST_TEST(cut[0].fingerprint == "r1");
  BOOST_TEST(cut[0].age_ms == 4850U);
  BOOST_TEST(!answered.IsSound("part:bad", At(5000)));
  life = TargetLife::kUnknown;
  answered.Record(MakeCut("r2", "i1", {"a"}), true, At(6000), At(6100));
  BOOST_TEST(settle(6200).empty());
  BOOST_TEST(!answered.IsSound("part:a", At(6200)));
  BOOST_TEST(settle(8000).empty());
  BOOST_TEST(!answered.IsSound("part:a", At(8000)));
  life = TargetLife::kAlive;
  BOOST_TEST(settle(8000).empty());
  BOOST_TEST(answered.IsSound("part:a", At(8000)));
  BOOST_TEST(!answered.IsSound("part:whole", At(8000)));
  BOOST_TEST(take(8000, false) == 1U);
  BOOST_TEST(take(8100, true) == 0U);
  answered.Record(MakeCut("r3", "i1", {"a"}), true, At(6000), At(8200));
  BOOST_TEST(settle(8200).empty());
  BOOST_TEST(take(8200, false) == 0U);
  BOOST_TEST(take(8200, true) == 1U);
  answered.ReportAgain();
  BOOST_TEST(take(8300, false) == 1U);
  // A whole request is told of only when the leader asks for it.
  urgent = "request:r2";
  BOOST_TEST(take(8400, false) == 1U);
  BOOST_TEST(take(8500, false) == 0U);
}

BOOST_AUTO_TEST_CASE(a_new_leader_gets_the_cuts_of_the_last_seconds_again) {
  CutReports reports;
  reports.Add(MakeCut("old", "i1"), At(0));
  reports.RecordSent(At(100));
  reports.Add(MakeCut("new", "i2"), At(11'000));
  reports.RecordSent(At(11'100));
  BOOST_TEST(reports.Waiting(At(12'000)).empty());
  reports.SendAgain();
  const std::vector<CutRequest> waiting = reports.Waiting(At(12'000));
  BOOST_REQUIRE(waiting.size() == 1U);
  BOOST_TEST(waiting[0].fingerprint == "new");
  BOOST_TEST(waiting[0].age_ms == 1000U);
  for (std::size_t number = 0; number < 3 * CutReports::kMaxReports; ++number) {
    reports.Add(MakeCut("many", "i3"), At(13'000));
  }
  BOOST_TEST(reports.Waiting(At(13'000)).size() == CutReports::kMaxReports);
}
