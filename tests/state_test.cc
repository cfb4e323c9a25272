#define BOOST_TEST_MODULE state
#include "gooseberryturn/control/state.h"

#include <boost/test/unit_test.hpp>

#include "gooseberryturn/protocol/codec.h"

using namespace gooseberryturn;           // NOLINT
using namespace gooseberryturn::control;  // NOLINT

namespace {

/// Applies commands at consecutive log indices.
struct StateFixture {
  template <typename Body>
  CommandResult Execute(CommandKind kind, const Body& body) {
    ++this->index;
    return this->state.Apply(
        this->index, protocol::Encode(Command{kind, protocol::Encode(body)}));
  }
  ChangeResult Apply(const std::string& id, std::uint64_t base,
                     const std::string& text) {
    return this
        ->Execute(CommandKind::kApplyDocument, ApplyDocument{id, base, text})
        .change;
  }
  protocol::ClaimReply Claim(const std::string& key, std::uint64_t attempt,
                             std::uint64_t replaces = 0,
                             const std::string& digest = "d") {
    protocol::Claim claim;
    claim.team = "t";
    claim.key = key;
    claim.body_digest = digest;
    claim.attempt = attempt;
    claim.replaces = replaces;
    return this->Execute(CommandKind::kClaim, ClaimKey{claim, this->now_ms})
        .claim;
  }
  bool Settle(const std::string& key, std::uint64_t attempt, Outcome outcome,
              const std::string& body = "") {
    const protocol::Settle settle = {
        "t", key, attempt, outcome, {200, "text", body}};
    return this->Execute(CommandKind::kSettle, SettleKey{settle, this->now_ms})
        .settle.accepted;
  }
  bool Assign(const std::string& name, const std::string& host,
              std::uint64_t replaces) {
    protocol::Group group;
    group.name = name;
    group.service = "s";
    group.members = {{host, 1, {}}};
    return this
        ->Execute(CommandKind::kAssignGroup, AssignGroup{group, replaces})
        .change.accepted;
  }
  State state;
  std::uint64_t index = 0;
  std::int64_t now_ms = 1'000'000;
};

std::string DocumentText(int rate) {
  return "{\"environment\":\"e\",\"data_centres\":[{\"name\":\"a\",\"region\":"
         "\"r\"},{\"name\":\"b\",\"region\":\"r\"}],\"services\":[],\"teams\":"
         "[{\"name\":\"t\",\"requests_per_second\":" +
         std::to_string(rate) +
         ",\"in_flight\":1},{\"name\":\"u\",\"requests_per_second\":1,"
         "\"in_flight\":1}]}";
}

using Verdict = protocol::ClaimVerdict;

}  // namespace

BOOST_FIXTURE_TEST_CASE(stale_version_is_rejected_and_resend_repeats_result,
                        StateFixture) {
  BOOST_TEST(Apply("c1", 0, DocumentText(1)).accepted);
  const ChangeResult winner = Apply("c2", 1, DocumentText(2));
  const ChangeResult loser = Apply("c3", 1, DocumentText(3));
  BOOST_TEST(winner.accepted);
  BOOST_TEST(!loser.accepted);
  BOOST_TEST(Apply("c2", 1, DocumentText(2)).index == winner.index);
  BOOST_TEST(!Apply("c3", 1, DocumentText(3)).accepted);
  BOOST_TEST(state.document_version() == 2U);
  BOOST_TEST(state.document_text() == DocumentText(2));
}

BOOST_FIXTURE_TEST_CASE(delta_holds_only_what_changed, StateFixture) {
  (void)Apply("c1", 0, DocumentText(1));
  const Viewer entry = {protocol::Role::kEntry, "e", "", "a"};
  protocol::View view;
  BOOST_TEST(protocol::ApplyDelta(state.DeltaSince(0, entry), view));
  BOOST_TEST(view.teams.size() == 2U);
  (void)Apply("c2", 1, DocumentText(7));
  const protocol::ViewDelta delta = state.DeltaSince(view.index, entry);
  BOOST_TEST(delta.teams.size() == 1U);
  BOOST_TEST(delta.data_centres.empty());
  BOOST_TEST(protocol::ApplyDelta(delta, view));
  BOOST_TEST(view.teams.at("t").requests_per_second == 7);
  // A delta that is older than the view is rejected.
  BOOST_TEST(!protocol::ApplyDelta(delta, view));
  protocol::ViewDelta old;
  old.to = 1;
  BOOST_TEST(!protocol::ApplyDelta(old, view));
}

BOOST_FIXTURE_TEST_CASE(document_never_returns_a_data_centre, StateFixture) {
  (void)Apply("c1", 0, DocumentText(1));
  (void)Execute(CommandKind::kSetDataCentre,
                SetDataCentre{"c2", "a", true, false});
  BOOST_TEST(state.data_centres().Find("a")->out);
  (void)Apply("c3", 1, DocumentText(2));
  BOOST_TEST(state.data_centres().Find("a")->out);
  // Not even when a document in between left it out.
  std::string document_without_a = DocumentText(3);
  document_without_a.replace(
      document_without_a.find("{\"name\":\"a\",\"region\":\"r\"},"), 26, "");
  BOOST_TEST(Apply("c4", 2, document_without_a).accepted);
  BOOST_TEST(Apply("c5", 3, DocumentText(4)).accepted);
  BOOST_TEST(state.data_centres().Find("a")->out);
  const ChangeResult last = Execute(CommandKind::kSetDataCentre,
                                    SetDataCentre{"c6", "b", true, false})
                                .change;
  BOOST_TEST(!last.accepted);
}

BOOST_FIXTURE_TEST_CASE(one_attempt_holds_a_key, StateFixture) {
  BOOST_TEST((Claim("k", 1).verdict == Verdict::kGranted));
  BOOST_TEST((Claim("k", 1).verdict == Verdict::kGranted));
  BOOST_TEST((Claim("k", 2).verdict == Verdict::kInProgress));
  BOOST_TEST((Claim("k", 2, 0, "other").verdict == Verdict::kMismatch));
  // A claim replaces the holder only if it names the attempt that holds the
  // key as not run.
  BOOST_TEST((Claim("k", 3, 9).verdict == Verdict::kInProgress));
  BOOST_TEST((Claim("k", 3, 1).verdict == Verdict::kGranted));
  BOOST_TEST(!Settle("k", 1, Outcome::kRan, "stale"));
  BOOST_TEST(Settle("k", 3, Outcome::kRan, "done"));
  const protocol::ClaimReply repeated = Claim("k", 4);
  BOOST_TEST((repeated.verdict == Verdict::kFinished));
  BOOST_TEST(repeated.answer.body == "done");
  BOOST_TEST(!Settle("k", 3, Outcome::kNotRun));
}

BOOST_FIXTURE_TEST_CASE(unknown_outcome_lasts_until_an_answer_arrives,
                        StateFixture) {
  (void)Claim("k", 1);
  BOOST_TEST(Settle("k", 1, Outcome::kUnknown));
  BOOST_TEST((Claim("k", 2, 1).verdict == Verdict::kUnknown));
  BOOST_TEST(Settle("k", 1, Outcome::kNotRun));
  BOOST_TEST((Claim("k", 2, 1).verdict == Verdict::kUnknown));
  BOOST_TEST(Settle("k", 1, Outcome::kRan, "late"));
  BOOST_TEST((Claim("k", 2).verdict == Verdict::kFinished));
}

BOOST_FIXTURE_TEST_CASE(key_is_freed_by_not_run_and_by_expiry, StateFixture) {
  (void)Claim("k", 1);
  BOOST_TEST(Settle("k", 1, Outcome::kNotRun));
  BOOST_TEST((Claim("k", 2).verdict == Verdict::kGranted));
  now_ms += ClaimTable::kKeyLifetimeMs - 1;
  BOOST_TEST((Claim("k", 3).verdict == Verdict::kInProgress));
  now_ms += 2;
  BOOST_TEST((Claim("k", 3).verdict == Verdict::kGranted));
  // A wall clock that is set back expires no key.
  now_ms -= ClaimTable::kKeyLifetimeMs;
  BOOST_TEST((Claim("k", 4).verdict == Verdict::kInProgress));
}

BOOST_FIXTURE_TEST_CASE(kept_answers_are_bounded, StateFixture) {
  (void)Claim("big", 1);
  BOOST_TEST(Settle("big", 1, Outcome::kRan,
                    std::string(ClaimTable::kMaxAnswerBytes + 1, 'x')));
  const protocol::ClaimReply reply = Claim("big", 2);
  BOOST_TEST((reply.verdict == Verdict::kFinished));
  BOOST_TEST(reply.answer.body.empty());
  BOOST_TEST(!reply.answer.is_kept);
  BOOST_TEST(state.claims().kept_bytes() < 2000U);
}

BOOST_FIXTURE_TEST_CASE(host_belongs_to_one_group, StateFixture) {
  BOOST_TEST(Assign("g1", "h1", 0));
  BOOST_TEST(!Assign("g2", "h1", 0));
  BOOST_TEST(!Assign("g1", "h2", 99));
  const std::uint64_t fence = state.groups().Find("g1")->fence;
  BOOST_TEST(fence == 1U);
  BOOST_TEST(Assign("g1", "h2", fence));
  BOOST_TEST(state.groups().Find("g1")->fence > fence);
  BOOST_TEST(state.ReleaseIndex("h1") == index);
  BOOST_TEST(Assign("g2", "h1", 0));
}

BOOST_FIXTURE_TEST_CASE(second_death_quarantines_and_a_completed_run_clears,
                        StateFixture) {
  const auto deaths = [this](const std::string& name) {
    const protocol::Suspect* suspect = state.suspects().Find(name);
    return suspect == nullptr ? 0U : suspect->deaths;
  };
  (void)Execute(CommandKind::kReportDeath, ReportDeath{7, {"bad", "innocent"}});
  (void)Execute(CommandKind::kReportDeath, ReportDeath{7, {"bad"}});
  BOOST_TEST(deaths("bad") == 1U);
  (void)Execute(CommandKind::kReportDeath, ReportDeath{0, {"innocent"}});
  BOOST_TEST(deaths("innocent") == 0U);
  (void)Execute(CommandKind::kReportDeath, ReportDeath{8, {"bad"}});
  BOOST_TEST(deaths("bad") == 2U);
  (void)Execute(CommandKind::kReportDeath, ReportDeath{0, {"bad"}});
  BOOST_TEST(deaths("bad") == 2U);
  (void)Execute(CommandKind::kClearQuarantine, ClearQuarantine{"c", "bad"});
  BOOST_TEST(deaths("bad") == 0U);
}

BOOST_FIXTURE_TEST_CASE(saved_state_round_trips, StateFixture) {
  (void)Apply("c1", 0, DocumentText(1));
  (void)Claim("k", 1);
  (void)Settle("k", 1, Outcome::kRan, "done");
  (void)Assign("g1", "h1", 0);
  State copy;
  BOOST_TEST(copy.Load(state.Save()));
  BOOST_TEST(copy.Save() == state.Save());
  BOOST_TEST(!copy.Load("garbage"));
}

BOOST_FIXTURE_TEST_CASE(agent_view_holds_only_its_own_items, StateFixture) {
  (void)Apply("c1", 0, DocumentText(1));
  (void)Assign("g1", "h1", 0);
  (void)Assign("g2", "h2", 0);
  const Viewer agent = {protocol::Role::kAgent, "h1", "s", "a"};
  const protocol::ViewDelta all = state.DeltaSince(0, agent);
  BOOST_TEST(all.groups.size() == 1U);
  BOOST_TEST(all.teams.empty());
  BOOST_TEST(all.data_centres.size() == 1U);
  // A host that left a group is told that the group is removed.
  const std::uint64_t from = index;
  (void)Assign("g1", "h3", state.groups().Find("g1")->fence);
  const protocol::ViewDelta delta = state.DeltaSince(from, agent);
  BOOST_TEST(delta.groups.empty());
  BOOST_TEST(delta.removed_groups.size() == 1U);
}
