#define BOOST_TEST_MODULE soak_accounts
#include "soak_accounts.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

/// Which cut streams the accounts of the soak call lost (issue 37).
using namespace gooseberryturn::fleet;        // NOLINT
using namespace gooseberryturn::fleet::soak;  // NOLINT

namespace {

constexpr char kId[] = "s1-0-0";
constexpr char kFirstGroup[] = "g-1 4";
constexpr char kLost[] = "LOST: cut answer";

/// A stream that left its first target when a member of that group crashed, and
/// was cut when its second target, which had crashed, closed its connection
/// unread.
struct CutStream {
  CutStream() {
    this->attempt.id = kId;
    this->attempt.kind = Kind::kStream;
    this->attempt.ending = Ending::kCut;
    this->attempt.waited_ms = 400;
    this->attempt.ended_at = this->At(400);
    this->first = {kId, this->At(0), kFirstGroup, Arrival::Fate::kTaken, {}};
    this->second = {kId, this->At(300), "", Arrival::Fate::kDropped,
                    this->At(399)};
    this->loss = {this->At(100), Moment::max(), kFirstGroup};
  }
  [[nodiscard]] Moment At(int time_ms) const {
    return this->begin + milliseconds(time_ms);
  }
  [[nodiscard]] std::string Fault() const {
    Accounts accounts;
    accounts.runs[kId] = 1;
    accounts.arrivals[kId] = {this->first, this->second};
    accounts.outages = {this->loss};
    return FaultOf(this->attempt, accounts);
  }

  Moment begin = Now();
  Attempt attempt;
  Arrival first;
  Arrival second;
  Outage loss;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_stream_that_its_targets_broke_off_is_not_lost) {
  CutStream stream;
  BOOST_TEST(stream.Fault().empty());
  // The first target was silent for longer than a sound one may be.
  stream.loss.end = stream.loss.begin + kLongestSilence + milliseconds(1);
  BOOST_TEST(stream.Fault().empty());
  // The first target had crashed, too.
  stream.loss = {};
  stream.first.fate = Arrival::Fate::kDropped;
  stream.first.dropped_at = stream.At(200);
  BOOST_TEST(stream.Fault().empty());
}

BOOST_AUTO_TEST_CASE(a_stream_with_an_attempt_left_is_lost) {
  const CutStream stream;
  Accounts accounts;
  accounts.arrivals[kId] = {stream.second};
  BOOST_TEST(FaultOf(stream.attempt, accounts) == kLost);
  accounts.arrivals.clear();
  BOOST_TEST(FaultOf(stream.attempt, accounts) == kLost);
}

BOOST_AUTO_TEST_CASE(a_stream_that_left_a_sound_target_is_lost) {
  CutStream stream;
  stream.loss.group = "g-1 5";
  BOOST_TEST(stream.Fault() == kLost);
  stream = CutStream();
  stream.loss.begin = stream.At(301);
  BOOST_TEST(stream.Fault() == kLost);
  stream = CutStream();
  stream.loss.end = stream.loss.begin + kLongestSilence;
  BOOST_TEST(stream.Fault() == kLost);
  stream = CutStream();
  stream.loss = {stream.At(-1100), stream.At(-1), kFirstGroup};
  BOOST_TEST(stream.Fault() == kLost);
  // A target without a group is never left for the loss of another one.
  stream = CutStream();
  stream.first.group.clear();
  stream.loss.group.clear();
  BOOST_TEST(stream.Fault() == kLost);
}

BOOST_AUTO_TEST_CASE(a_stream_that_was_cut_before_its_target_closed_is_lost) {
  CutStream stream;
  stream.second.dropped_at = stream.At(401);
  BOOST_TEST(stream.Fault() == kLost);
  stream = CutStream();
  stream.second.fate = Arrival::Fate::kTaken;
  BOOST_TEST(stream.Fault() == kLost);
}

BOOST_AUTO_TEST_CASE(nothing_but_a_cut_stream_is_excused_by_its_targets) {
  CutStream stream;
  stream.attempt.kind = Kind::kSafe;
  BOOST_TEST(stream.Fault() == kLost);
  stream = CutStream();
  stream.attempt.ending = Ending::kUnanswered;
  BOOST_TEST(stream.Fault() == "LOST: run without an answer");
  stream = CutStream();
  stream.attempt.ending = Ending::kSilent;
  BOOST_TEST(!stream.Fault().empty());
}

// Seed 26 beside a build: a stream sent 2.2 s after SIGTERM, whose first target
// was silent, was still being written 5.1 s after it, and counted as lost.
BOOST_AUTO_TEST_CASE(
    only_the_last_sixth_of_the_grace_period_cuts_late_requests) {
  const Moment told_at = Now();
  Attempt attempt;
  attempt.id = kId;
  attempt.kind = Kind::kStream;
  attempt.ending = Ending::kCut;
  attempt.is_entry_leaving = true;
  attempt.told_to_stop_at = told_at;
  attempt.sent_at = told_at + kLateStopSend;
  attempt.ended_at = told_at + milliseconds(5000);
  const auto fault = [](const Attempt& cut) {
    return FaultOf(cut, Accounts());
  };
  BOOST_TEST(fault(attempt).empty());
  Attempt early = attempt;
  early.ended_at -= milliseconds(1);
  BOOST_TEST(fault(early) == kLost);
  Attempt late = attempt;
  late.sent_at += milliseconds(1);
  BOOST_TEST(fault(late) == kLost);
  Attempt before = attempt;
  before.sent_at = told_at - milliseconds(1);
  BOOST_TEST(fault(before) == kLost);
  Attempt staying = attempt;
  staying.is_entry_leaving = false;
  BOOST_TEST(fault(staying) == kLost);
}
