#define BOOST_TEST_MODULE control_load
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "direct_fixtures.h"
#include "gooseberryturn/consensus/node.h"
#include "gooseberryturn/direct/heartbeat_relay.h"
#include "gooseberryturn/direct/in_flight_totals.h"
#include "gooseberryturn/direct/registry.h"
#include "gooseberryturn/direct/update_encoder.h"
#include "gooseberryturn/direct/view_freshness.h"
#include "gooseberryturn/direct/work_pacer.h"
#include "gooseberryturn/protocol/codec.h"

using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

constexpr std::uint64_t kTerm = 7;

HttpRequest MakeCall(const std::string& id) {
  return {"PUT", "/targets/" + id, "{}"};
}

/// A leader's registry and a host that relays announcements to it.
struct RelayedFleet {
  /// Announces at the relaying host, which forwards what it doesn't take.
  /// \returns Whether it answered without the leader.
  bool Announce(const Announcement& announcement, std::int64_t at_ms) {
    if (this->relay.Takes(announcement, MakeCall(announcement.id), At(at_ms))) {
      return true;
    }
    (void)this->leader.HandleAnnouncement(announcement, At(at_ms));
    this->relay.RecordAccepted(announcement, kTerm, At(at_ms));
    return false;
  }

  /// Delivers the next summary.
  /// \returns The calls that the leader asks for.
  std::vector<HttpRequest> Summarise(std::int64_t at_ms) {
    const std::optional<HeartbeatSummary> summary =
        this->relay.TakeSummary(At(at_ms));
    if (!summary.has_value()) {
      return {};
    }
    HeartbeatAnswer answer;
    answer.is_accepted = true;
    for (const HeardTarget& heard : summary->heard) {
      if (!this->leader.Refresh(heard, At(at_ms))) {
        answer.unknown.push_back(heard.id);
      }
    }
    return this->relay.HandleAnswer(*summary, answer, At(at_ms));
  }

  Registry leader;
  HeartbeatRelay relay;
};

std::string FrameOf(UpdateEncoder& encoder, std::uint64_t revision) {
  UpdateNeeds needs;
  needs.from_revision = revision;
  return encoder.Frame(needs);
}

}  // namespace

// ---------------------------------------------------------------- summaries

// Guards against targets that count as silent although they announce
// themselves at a host that does not lead.
BOOST_AUTO_TEST_CASE(summaries_keep_targets_heard) {
  RelayedFleet fleet;
  BOOST_TEST(!fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 100, 1), 0));
  std::uint64_t sequence = 1;
  for (std::int64_t at_ms = 200; at_ms < 60'000; at_ms += 200) {
    if (at_ms % 1200 == 0) {
      BOOST_TEST(fleet.Announce(
          MakeAnnouncement("t", "10.0.0.1", 100, ++sequence), at_ms));
    }
    BOOST_TEST(fleet.Summarise(at_ms).empty());
    (void)fleet.leader.Expire(At(at_ms));
    BOOST_REQUIRE((fleet.leader.Find("t") != nullptr));
    BOOST_TEST((fleet.leader.Find("t")->last_heard_at >= At(at_ms - 1400)));
  }
  BOOST_TEST(fleet.leader.Find("t")->sequence == sequence);
}

// Guards against news that is held back from the leader.
BOOST_AUTO_TEST_CASE(news_is_forwarded_at_once) {
  RelayedFleet fleet;
  (void)fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 100, 1), 0);
  BOOST_TEST(fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 100, 2), 100));
  Announcement changed = MakeAnnouncement("t", "10.0.0.1", 100, 3);
  changed.engine = EngineReport{};
  changed.engine->membership = Membership{"g1", 1, 0, MemberState::kOpen};
  BOOST_TEST(!fleet.Announce(changed, 200));
  Announcement leaving = changed;
  leaving.sequence = 4;
  leaving.is_leaving = true;
  BOOST_TEST(!fleet.Announce(leaving, 300));
  BOOST_TEST(fleet.leader.Find("t")->view.is_leaving);
  // A repeated one of a target that leaves waits for its commit each time.
  leaving.sequence = 5;
  BOOST_TEST(!fleet.Announce(leaving, 400));
  // A new run, and one that starts over with its sequence.
  BOOST_TEST(!fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 200, 1), 500));
}

// Guards against a host that refreshes a state which another host has replaced
// at the leader: the leader has to get the announcement itself.
BOOST_AUTO_TEST_CASE(a_state_that_was_replaced_elsewhere_is_not_refreshed) {
  RelayedFleet fleet;
  (void)fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 100, 1), 0);
  Announcement changed = MakeAnnouncement("t", "10.0.0.1", 100, 2);
  changed.engine = EngineReport{};
  changed.engine->loaded_model = "m";
  (void)fleet.leader.HandleAnnouncement(changed, At(100));
  BOOST_TEST(fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 100, 3), 200));
  const std::vector<HttpRequest> calls = fleet.Summarise(300);
  BOOST_REQUIRE(calls.size() == 1U);
  BOOST_TEST(calls[0].path == MakeCall("t").path);
  BOOST_TEST(fleet.leader.Find("t")->sequence == 2U);
  BOOST_TEST((fleet.leader.Find("t")->last_heard_at == At(100)));
  BOOST_TEST(!fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 100, 4), 400));
}

// Guards against a late summary that moves the record of a later run.
BOOST_AUTO_TEST_CASE(a_late_summary_changes_no_later_run) {
  Registry leader;
  const Announcement first = MakeAnnouncement("t", "10.0.0.1", 100, 1);
  (void)leader.HandleAnnouncement(first, At(0));
  (void)leader.HandleAnnouncement(MakeAnnouncement("t", "10.0.0.1", 200, 1),
                                  At(100));
  BOOST_TEST(!leader.Refresh({"t", 100, 50, ContentDigest(first)}, At(5000)));
  BOOST_TEST(leader.Find("t")->sequence == 1U);
  BOOST_TEST((leader.Find("t")->last_heard_at == At(100)));
  BOOST_TEST(!leader.Refresh({"unknown", 100, 50, "x"}, At(5000)));
  BOOST_TEST(!leader.Refresh({"t", 200, 50, ""}, At(5000)));
}

// Guards against a new leader that takes the word of a host for targets that it
// has not heard itself, and against targets that it doesn't get to hear.
BOOST_AUTO_TEST_CASE(a_new_leader_hears_each_target_itself) {
  RelayedFleet fleet;
  (void)fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 100, 1), 0);
  BOOST_TEST(fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 100, 2), 100));
  const std::optional<HeartbeatSummary> summary =
      fleet.relay.TakeSummary(At(200));
  BOOST_REQUIRE(summary.has_value());
  BOOST_TEST(summary->heard.size() == 1U);
  // The next leader knows the target from the log only.
  Registry next;
  next.AddRecorded(fleet.leader.Find("t")->view, At(200));
  BOOST_TEST(!next.Refresh(summary->heard[0], At(250)));
  const std::vector<HttpRequest> calls =
      fleet.relay.HandleAnswer(*summary, HeartbeatAnswer(), At(200));
  BOOST_TEST(calls.size() == 1U);
  BOOST_TEST(!fleet.relay.Takes(MakeAnnouncement("t", "10.0.0.1", 100, 3),
                                MakeCall("t"), At(300)));
}

// Guards against a host that goes on answering while it can't reach the leader:
// its targets would be silent there.
BOOST_AUTO_TEST_CASE(without_confirmation_announcements_are_forwarded) {
  RelayedFleet fleet;
  (void)fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 100, 1), 0);
  BOOST_TEST(fleet.Announce(MakeAnnouncement("t", "10.0.0.1", 100, 2), 100));
  const std::optional<HeartbeatSummary> lost = fleet.relay.TakeSummary(At(200));
  BOOST_REQUIRE(lost.has_value());
  BOOST_TEST(fleet.relay.HandleAnswer(*lost, std::nullopt, At(200)).empty());
  BOOST_TEST(!fleet.relay.Takes(MakeAnnouncement("t", "10.0.0.1", 100, 3),
                                MakeCall("t"), At(900)));
  // What was lost is in the next summary.
  BOOST_TEST(fleet.Summarise(1000).empty());
  BOOST_TEST(fleet.leader.Find("t")->sequence == 2U);
  BOOST_TEST((fleet.leader.Find("t")->last_heard_at == At(1000)));
}

// Guards against the late answer of an earlier leader that revives its term.
BOOST_AUTO_TEST_CASE(answers_of_earlier_terms_are_ignored) {
  HeartbeatRelay relay;
  const Announcement announcement = MakeAnnouncement("t", "10.0.0.1", 100, 1);
  relay.RecordAccepted(announcement, kTerm + 1, At(0));
  relay.RecordAccepted(MakeAnnouncement("u", "10.0.0.2", 100, 1), kTerm, At(0));
  BOOST_TEST(relay.size() == 1U);
  HeartbeatSummary earlier;
  earlier.term = kTerm;
  (void)relay.HandleAnswer(earlier, HeartbeatAnswer(), At(0));
  BOOST_TEST(relay.size() == 1U);
}

// ------------------------------------------------------------ work in flight

// Guards against totals that drift from the reports they are made of.
BOOST_AUTO_TEST_CASE(totals_equal_the_sum_of_the_last_reports) {
  InFlightTotals totals;
  totals.SetReport(1, {{"a", 2, 100}, {"b", 1, 10}}, At(0));
  totals.SetReport(2, {{"a", 3, 50}, {"a", 1, 0}}, At(100));
  BOOST_REQUIRE(totals.Sums().size() == 2U);
  BOOST_TEST(totals.Sums()[0].requests == 6U);
  BOOST_TEST(totals.Sums()[0].pending_prefill_tokens == 150U);
  totals.SetReport(1, {{"b", 4, 0}}, At(1000));
  BOOST_TEST(totals.Sums()[0].requests == 4U);
  BOOST_TEST(totals.Sums()[1].requests == 4U);
  totals.Expire(At(1600));  // The report of entry 2 is too old.
  BOOST_REQUIRE(totals.Sums().size() == 1U);
  BOOST_TEST(totals.Sums()[0].target == "b");
  totals.Remove(1);
  totals.Remove(1);
  BOOST_TEST(totals.Sums().empty());
}

// ------------------------------------------------------------------- updates

// Guards against an update that is encoded again for each follower, and against
// one that goes to a follower with other needs.
BOOST_AUTO_TEST_CASE(followers_with_the_same_needs_share_an_update) {
  int fills = 0;
  FleetUpdate common;
  common.config_version = 3;
  UpdateEncoder encoder(
      common, [&fills](const UpdateNeeds& needs, FleetUpdate& update) {
        fills += 1;
        update.removed_targets = {std::to_string(needs.from_revision)};
      });
  for (int follower = 0; follower < 300; ++follower) {
    BOOST_TEST((FrameOf(encoder, 5) == FrameOf(encoder, 5)));
  }
  BOOST_TEST(fills == 1);
  BOOST_TEST((FrameOf(encoder, 6) != FrameOf(encoder, 5)));
  BOOST_TEST(fills == 2);
  BOOST_TEST((encoder.CommonFrame() != FrameOf(encoder, 5)));
  BOOST_TEST(fills == 2);
}

// ------------------------------------------------------------------- pacing

// Guards against a leader that does nothing but plan, and against pauses at a
// small fleet or after a freeze of the host.
BOOST_AUTO_TEST_CASE(long_work_is_paced) {
  WorkPacer pacer(1.0 / 3, std::chrono::milliseconds(200));
  BOOST_TEST(pacer.IsDue(At(0)));
  pacer.RecordRun(At(0), At(1));
  BOOST_TEST(pacer.IsDue(At(1)));
  pacer.RecordRun(At(1), At(31));
  BOOST_TEST(!pacer.IsDue(At(90)));
  BOOST_TEST(pacer.IsDue(At(92)));
  pacer.RecordRun(At(100), At(10'100));
  BOOST_TEST(pacer.IsDue(At(10'301)));
}

// ---------------------------------------------------------------- elections

namespace {

/// Voters that start at the same time on slow hosts, as after a restart of all.
class SlowVoters {
 public:
  SlowVoters(std::size_t count, std::uint64_t seed) {
    consensus::PersistentState stored;
    for (consensus::NodeId id = 1; id <= count; ++id) {
      stored.snapshot.membership.peers.push_back({id, {}, {}, true, 0});
    }
    for (consensus::NodeId id = 1; id <= count; ++id) {
      consensus::Options options;
      options.id = id;
      options.seed = seed * 1000 + id;
      options.election_timeout_min = std::chrono::milliseconds(400);
      options.election_timeout_max = std::chrono::milliseconds(800);
      this->nodes[id] =
          std::make_unique<consensus::Node>(options, stored, At(0));
    }
  }

  /// \returns Time at which a leader holds its lease, in milliseconds.
  std::int64_t TimeToLeader(std::int64_t limit_ms) {
    for (std::int64_t now_ms = 0; now_ms < limit_ms; now_ms += kStepMs) {
      for (auto& entry : this->nodes) {
        this->Advance(*entry.second, this->inboxes[entry.first], now_ms);
        if (entry.second->HasLease(At(now_ms))) {
          return now_ms;
        }
      }
    }
    return limit_ms;
  }

 private:
  static constexpr std::int64_t kStepMs = 10;
  static constexpr std::int64_t kDelayMs = 30;
  /// Messages that a host handles in a step. At this rate and with timeouts
  /// that are not spread, no leader is elected within 30 s.
  static constexpr int kMessagesPerStep = 5;

  struct Delivery {
    std::int64_t at_ms = 0;
    consensus::Message message;
  };

  void Advance(consensus::Node& node, std::deque<Delivery>& inbox,
               std::int64_t now_ms) {
    node.Tick(At(now_ms));
    for (int handled = 0; handled < kMessagesPerStep && !inbox.empty() &&
                          inbox.front().at_ms <= now_ms;
         ++handled) {
      node.Receive(inbox.front().message, At(now_ms));
      inbox.pop_front();
    }
    for (consensus::Ready ready = node.TakeReady(); !ready.IsEmpty();
         ready = node.TakeReady()) {
      node.Persisted(ready);
      for (const consensus::Message& message : ready.messages) {
        this->inboxes[message.to].push_back({now_ms + kDelayMs, message});
      }
    }
  }

  std::map<consensus::NodeId, std::unique_ptr<consensus::Node>> nodes;
  std::map<consensus::NodeId, std::deque<Delivery>> inboxes;
};

}  // namespace

// Guards against candidates that split the votes again and again when many
// voters start together.
BOOST_AUTO_TEST_CASE(a_hundred_voters_elect_a_leader_soon) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    SlowVoters voters(100, seed);
    const std::int64_t elected_ms = voters.TimeToLeader(30'000);
    BOOST_TEST_MESSAGE("seed " << seed << ": " << elected_ms << " ms");
    BOOST_TEST(elected_ms < 4000);
  }
}

// With 300 entries, updates waited for seconds at the leader, and an entry that
// had not heard of an acknowledged configuration answered 404 for its routes.
BOOST_AUTO_TEST_CASE(an_update_that_waited_does_not_count_as_current) {
  ViewFreshness freshness;
  BOOST_TEST(!freshness.IsStale(At(100'000)));
  std::uint64_t first = 0;
  for (std::int64_t now = 0; now <= 3000; now += 100) {
    const std::uint64_t number = freshness.RecordSent(At(now));
    first = first == 0 ? number : first;
  }
  // Updates go on to arrive, but the leader has handled none but the first.
  freshness.RecordHandled(first);
  BOOST_TEST(!freshness.IsStale(At(1500)));
  BOOST_TEST(freshness.IsStale(At(1501)));
  freshness.RecordHandled(first);
  BOOST_TEST(freshness.IsStale(At(3000)));
  freshness.RecordHandled(first + 20);  // Sent at 2,000 ms.
  BOOST_TEST(!freshness.IsStale(At(3500)));
  BOOST_TEST(freshness.IsStale(At(3501)));
  // Numbers that were never sent, and an older update, change nothing.
  freshness.RecordHandled(first + 1000);
  freshness.RecordHandled(first + 2);
  BOOST_TEST(freshness.IsStale(At(3501)));
}
