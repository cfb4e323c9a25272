#define BOOST_TEST_MODULE entry_decision
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/protocol/frame.h"
#include "gooseberryturn/routing/group_chooser.h"
#include "gooseberryturn/routing/retry_decision.h"
#include "gooseberryturn/routing/team_limiter.h"
#include "gooseberryturn/stream/answer_verifier.h"

using namespace gooseberryturn;           // NOLINT
using namespace gooseberryturn::routing;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(std::chrono::hours(5));

protocol::View MakeView() {
  protocol::View view;
  view.data_centres["a"] = {"a", "r", false};
  view.data_centres["b"] = {"b", "r", false};
  view.data_centres["far"] = {"far", "q", false};
  view.services["s"].name = "s";
  view.services["s"].limits.cold_in_flight = 2;
  for (const std::string place : {"a", "b", "far"}) {
    for (const std::string number : {"1", "2"}) {
      protocol::Group group;
      group.name = place + number;
      group.service = "s";
      group.data_centre = place;
      group.fence = 1;
      view.groups[group.name] = group;
    }
  }
  return view;
}

/// Starts `count` attempts that stay outstanding and counts the data centres
/// chosen for them.
std::map<std::string, int> CountChosenDataCentres(GroupChooser& chooser,
                                                  const protocol::View& view,
                                                  int count) {
  std::map<std::string, int> counts;
  for (int number = 0; number < count; ++number) {
    const protocol::Group* group = chooser.Choose(view, "s", {}, kNow);
    if (group == nullptr) {
      counts["none"] += 1;
      continue;
    }
    chooser.RecordSent(*group, kNow);
    counts[group->data_centre] += 1;
  }
  return counts;
}

Error Failure(Reason reason, Outcome outcome) {
  return {reason, Step::kAdmit, outcome, "g", ""};
}

}  // namespace

BOOST_AUTO_TEST_CASE(nearest_first_then_spill_over_then_none) {
  const protocol::View view = MakeView();
  GroupChooser chooser("a", Policy::kTwoChoice, 1);
  std::map<std::string, int> counts = CountChosenDataCentres(chooser, view, 13);
  BOOST_TEST(counts["a"] == 4);
  BOOST_TEST(counts["b"] == 4);
  BOOST_TEST(counts["far"] == 4);
  BOOST_TEST(counts["none"] == 1);
}

BOOST_AUTO_TEST_CASE(data_centre_out_is_never_chosen) {
  protocol::View view = MakeView();
  view.data_centres["a"].out = true;
  GroupChooser chooser("a", Policy::kTwoChoice, 1);
  BOOST_TEST(CountChosenDataCentres(chooser, view, 20)["a"] == 0);
  GroupChooser baseline("a", Policy::kRandom, 1);
  BOOST_TEST(CountChosenDataCentres(baseline, view, 20)["a"] == 0);
}

BOOST_AUTO_TEST_CASE(load_reports_are_corrected_by_own_attempts) {
  protocol::View view = MakeView();
  view.groups.erase("a2");
  GroupChooser chooser("a", Policy::kTwoChoice, 1);
  chooser.RecordSent(view.groups["a1"], kNow);
  chooser.RecordLoad("a1", {9, 10}, kNow);
  BOOST_TEST(chooser.Choose(view, "s", {}, kNow)->name == "a1");
  chooser.RecordSent(view.groups["a1"], kNow);
  BOOST_TEST(chooser.Choose(view, "s", {}, kNow)->name != "a1");
  chooser.RecordDone("a1");
  BOOST_TEST(chooser.Choose(view, "s", {}, kNow)->name == "a1");
}

BOOST_AUTO_TEST_CASE(full_group_is_probed_once_its_report_is_old) {
  protocol::View view = MakeView();
  for (const std::string name : {"a2", "b1", "b2", "far1", "far2"}) {
    view.groups.erase(name);
  }
  GroupChooser chooser("a", Policy::kTwoChoice, 1);
  chooser.RecordSent(view.groups["a1"], kNow);
  chooser.RecordLoad("a1", {10, 10}, kNow);
  BOOST_TEST(chooser.Choose(view, "s", {}, kNow) == nullptr);
  BOOST_TEST(
      chooser.Choose(view, "s", {}, kNow + GroupChooser::kFullReportLifetime) !=
      nullptr);
}

BOOST_AUTO_TEST_CASE(failed_and_excluded_groups_are_skipped) {
  protocol::View view = MakeView();
  GroupChooser chooser("a", Policy::kTwoChoice, 1);
  chooser.RecordSent(view.groups["a1"], kNow);
  chooser.RecordFailure("a1", kNow);
  for (int number = 0; number < 20; ++number) {
    BOOST_TEST(chooser.Choose(view, "s", {"a2"}, kNow)->data_centre == "b");
  }
  // A new assignment starts without the failures of the old one.
  view.groups["a1"].fence = 2;
  BOOST_TEST(chooser.Choose(view, "s", {"a2"}, kNow)->name == "a1");
}

BOOST_AUTO_TEST_CASE(only_safe_retries_are_allowed) {
  RetryBudget budget;
  RetryState retry_state;
  retry_state.attempts = 1;
  retry_state.deadline = kNow + seconds(1);
  const auto may_retry = [&](Reason reason, Outcome outcome) {
    return DecideRetry(retry_state, Failure(reason, outcome), budget, kNow)
        .has_value();
  };
  BOOST_TEST(may_retry(Reason::kLinkLost, Outcome::kUnknown));
  retry_state.idempotent = false;
  BOOST_TEST(!may_retry(Reason::kLinkLost, Outcome::kUnknown));
  BOOST_TEST(may_retry(Reason::kLeaving, Outcome::kNotRun));
  BOOST_TEST(!may_retry(Reason::kTooLarge, Outcome::kNotRun));
  retry_state.head_sent = true;
  BOOST_TEST(!may_retry(Reason::kLeaving, Outcome::kNotRun));
  retry_state.head_sent = false;
  retry_state.attempts = kMaxAttempts;
  BOOST_TEST(!may_retry(Reason::kLeaving, Outcome::kNotRun));
  retry_state.attempts = 1;
  retry_state.deadline = kNow + milliseconds(5);
  BOOST_TEST(!may_retry(Reason::kLeaving, Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_budget) {
  RetryBudget budget;
  int retries = 0;
  for (int request = 0; request < 1000; ++request) {
    budget.RecordFirstAttempt(10);
    retries += budget.TakeRetry() ? 1 : 0;
  }
  BOOST_TEST(retries <= 100 + static_cast<int>(RetryBudget::kDefaultBurst));
  BOOST_TEST(retries >= 100);
}

BOOST_AUTO_TEST_CASE(team_limit_is_split_among_entries) {
  TeamLimiter limiter;
  const config::Team team = {"t", 100, 10};
  int admitted = 0;
  for (int number = 0; number < 200; ++number) {
    admitted += limiter.Admit(team, 2, kNow).has_value() ? 1 : 0;
  }
  BOOST_TEST(admitted == 5);  // Half of 10 in flight, for 2 entries.
  for (int number = 0; number < admitted; ++number) {
    limiter.Release("t");
  }
  admitted = 0;
  for (int number = 0; number < 200; ++number) {
    if (limiter.Admit(team, 2, kNow).has_value()) {
      ++admitted;
      limiter.Release("t");
    }
  }
  BOOST_TEST(admitted == 45);  // 50 in one second, minus the 5.
  BOOST_TEST(limiter.InFlight("t") == 0);
}

BOOST_AUTO_TEST_CASE(frames_split_at_any_byte_are_reassembled) {
  const std::string bytes =
      protocol::EncodeFrame(protocol::FrameType::kMessage, "head") +
      protocol::EncodeChunk(7, "body") +
      protocol::EncodeFrame(protocol::FrameType::kEnd, "");
  for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
    protocol::FrameReader reader;
    std::string seen;
    const protocol::FrameReader::OnFrame on_frame =
        [&seen](protocol::FrameType type, std::string_view payload) {
          protocol::Chunk chunk;
          if (type == protocol::FrameType::kChunk &&
              protocol::DecodeChunk(payload, chunk)) {
            seen += std::to_string(chunk.offset) + std::string(chunk.bytes);
          } else {
            seen += std::string(payload);
          }
          seen += "|";
        };
    BOOST_TEST(reader.Feed(bytes.substr(0, cut), on_frame));
    BOOST_TEST(reader.Feed(bytes.substr(cut), on_frame));
    BOOST_TEST(seen == "head|7body||");
  }
  protocol::FrameReader reader;
  BOOST_TEST(!reader.Feed("\xff\xff\xff\xff\x01",
                          [](protocol::FrameType, std::string_view) {}));
}

BOOST_AUTO_TEST_CASE(only_a_complete_answer_is_accepted) {
  const std::vector<std::string> parts = {"one ", "two ", "three"};
  StreamDigest digest;
  std::vector<std::string> chunks;
  std::uint64_t offset = 0;
  for (const std::string& part : parts) {
    const std::string frame = protocol::EncodeChunk(offset, part);
    chunks.push_back(frame.substr(protocol::kFrameHeaderBytes));
    digest.Update(part);
    offset += part.size();
  }
  protocol::AnswerEnd end;
  end.length = offset;
  end.digest = digest.Hex();
  const auto accepts = [&](const std::vector<std::size_t>& order,
                           const protocol::AnswerEnd& with) {
    stream::AnswerVerifier verifier;
    verifier.Begin();
    for (const std::size_t place : order) {
      if (!verifier.VerifyChunk(chunks[place]).has_value()) {
        return false;
      }
    }
    return verifier.VerifyEnd(with).has_value();
  };
  BOOST_TEST(accepts({0, 1, 2}, end));
  BOOST_TEST(!accepts({}, end));
  BOOST_TEST(!accepts({0}, end));
  BOOST_TEST(!accepts({0, 1}, end));
  BOOST_TEST(!accepts({0, 2}, end));
  BOOST_TEST(!accepts({1, 0, 2}, end));
  BOOST_TEST(!accepts({0, 1, 1, 2}, end));
  protocol::AnswerEnd other = end;
  other.digest = Digest("another caller's answer");
  BOOST_TEST(!accepts({0, 1, 2}, other));
  stream::AnswerVerifier early;
  BOOST_TEST(!early.VerifyChunk(chunks[0]).has_value());
  BOOST_TEST(!early.VerifyEnd(protocol::AnswerEnd{}).has_value());
}
