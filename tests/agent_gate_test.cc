#define BOOST_TEST_MODULE agent_gate
#include <boost/test/unit_test.hpp>

#include "fleet.h"
#include "gooseberryturn/control/view_client.h"
#include "gooseberryturn/core/id.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/protocol/message.h"

using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

/// An entry that sends any hand-over without checks of its own, so that only
/// the agent's checks protect the target.
class UncheckedEntry {
 public:
  UncheckedEntry(const std::vector<Endpoint>& control)
      : channels(context),
        view_client(context, this->channels, control, Identity(),
                    Duration::zero(), metrics) {
    this->view_client.Start();
  }

  protocol::View WaitView(std::size_t groups) {
    BOOST_REQUIRE(this->RunUntil([this, groups] {
      return this->view_client.view().groups.size() >= groups;
    }));
    return this->view_client.view();
  }
  static protocol::HandOver MakeHandOver(const protocol::Group& group) {
    protocol::HandOver hand_over;
    hand_over.request_id = "bare";
    hand_over.attempt = RandomId();
    hand_over.service = group.service;
    hand_over.path = group.service == "llm" ? "/gen" : "/order";
    hand_over.idempotent = group.service == "llm";
    hand_over.group = group.name;
    hand_over.fence = group.fence;
    hand_over.incarnation = group.members.front().incarnation;
    hand_over.remaining_ms = 10'000;
    return hand_over;
  }
  /// Sends `hand_over` to the leader of `group` and returns how it ended.
  protocol::AnswerEnd Send(const protocol::Group& group,
                           const protocol::HandOver& hand_over) {
    std::optional<protocol::AnswerEnd> end;
    this->channels.Get(group.members.front().link)
        ->Open(
            protocol::kRunPath,
            [&end, hand_over](Result<std::shared_ptr<link::Stream>> opened) {
              BOOST_REQUIRE(opened.has_value());
              const std::shared_ptr<link::Stream> stream = *opened;
              stream->on_frame = [&end](protocol::FrameType type,
                                        std::string_view payload) {
                if (type == protocol::FrameType::kEnd) {
                  end = protocol::Decode<protocol::AnswerEnd>(payload);
                }
              };
              stream->Send(protocol::EncodeFrame(protocol::FrameType::kMessage,
                                                 protocol::Encode(hand_over)));
              stream->Finish();
            });
    BOOST_REQUIRE(this->RunUntil([&end] { return end.has_value(); }));
    return *end;
  }
  protocol::AttemptState QueryAttempt(const protocol::Group& group,
                                      const protocol::HandOver& hand_over) {
    std::optional<protocol::AttemptReply> reply;
    const protocol::AttemptQuery query = {hand_over.attempt,
                                          hand_over.incarnation};
    this->channels.Get(group.members.front().link)
        ->Call(protocol::kAttemptPath, protocol::Encode(query),
               Clock::now() + std::chrono::seconds(10),
               [&reply](const Result<std::string>& result) {
                 BOOST_REQUIRE(result.has_value());
                 reply = protocol::Decode<protocol::AttemptReply>(*result);
               });
    BOOST_REQUIRE(this->RunUntil([&reply] { return reply.has_value(); }));
    return reply->state;
  }

 private:
  static protocol::Renew Identity() {
    protocol::Renew identity;
    identity.host = "bare-entry";
    identity.data_centre = "b";
    identity.incarnation = 1;
    return identity;
  }
  bool RunUntil(const std::function<bool()>& condition) {
    return Eventually([this, &condition] {
      this->context.run_for(std::chrono::milliseconds(20));
      return condition();
    });
  }

  asio::io_context context;
  observe::Metrics metrics;
  link::ChannelPool channels;
  control::ViewClient view_client;
};

struct AgentFixture {
  AgentFixture() : fleet(28) {
    fleet.StartControlHosts();
    for (int id = 1; id <= 3; ++id) {
      relays.push_back(std::make_unique<Relay>(fleet.RelayEndpoint(id),
                                               fleet.ControlLink(id)));
      control.push_back(fleet.ControlLink(id));
    }
    fleet.StartTarget({1, "a", "rack-a", true, {}}, true);
    fleet.StartTarget({2, "a", "rack-a", false, {}});
    fleet.ApplyDocument(MakeDocument(DocumentPlan()), 0);
    fleet.WaitForServingGroups(2);
    entry = std::make_unique<UncheckedEntry>(control);
    view = entry->WaitView(2);
  }
  void ExpectRefused(const protocol::Group& group,
                     const protocol::HandOver& hand_over, Reason reason) {
    const protocol::AnswerEnd end = entry->Send(group, hand_over);
    BOOST_TEST(kReasonNames.Name(end.error.reason) ==
               kReasonNames.Name(reason));
    BOOST_TEST((end.error.outcome == Outcome::kNotRun));
  }
  Fleet fleet;
  std::vector<std::unique_ptr<Relay>> relays;
  std::vector<Endpoint> control;
  std::unique_ptr<UncheckedEntry> entry;
  protocol::View view;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(agent_refuses_stale_or_malformed_hand_overs,
                        AgentFixture) {
  const protocol::Group group = view.groups.at("llm-1");
  const protocol::HandOver valid_hand_over =
      UncheckedEntry::MakeHandOver(group);
  BOOST_TEST(
      (entry->Send(group, valid_hand_over).error.reason == Reason::kNone));
  protocol::HandOver hand_over = UncheckedEntry::MakeHandOver(group);
  hand_over.incarnation += 1;
  ExpectRefused(group, hand_over, Reason::kStaleIncarnation);
  hand_over = UncheckedEntry::MakeHandOver(group);
  hand_over.fence -= 1;
  ExpectRefused(group, hand_over, Reason::kStaleFence);
  hand_over = UncheckedEntry::MakeHandOver(group);
  hand_over.remaining_ms = 0;
  ExpectRefused(group, hand_over, Reason::kDeadline);
  hand_over = UncheckedEntry::MakeHandOver(group);
  hand_over.body_bytes = 5;
  ExpectRefused(group, hand_over, Reason::kBadRequest);
  BOOST_TEST(fleet.EngineCounter(1, "runs") == 1);
}

BOOST_FIXTURE_TEST_CASE(partitioned_agent_refuses_once_its_view_lease_expired,
                        AgentFixture) {
  const protocol::Group group = view.groups.at("llm-1");
  for (const std::unique_ptr<Relay>& relay : relays) {
    relay->SetPaused(true);
  }
  const Answer reply =
      fleet.CallOperatorApi("POST", "/v1/data-centre?name=a&out=1&force=1");
  BOOST_TEST(reply.Contains("\"in_force\":true"));
  // The agent never received the change, but its view lease has expired.
  ExpectRefused(group, UncheckedEntry::MakeHandOver(group), Reason::kNoView);
  BOOST_TEST(fleet.EngineCounter(1, "runs") == 0);
  for (const std::unique_ptr<Relay>& relay : relays) {
    relay->SetPaused(false);
  }
  BOOST_REQUIRE(Eventually([&] {
    const protocol::AnswerEnd end =
        entry->Send(group, UncheckedEntry::MakeHandOver(group));
    return end.error.reason == Reason::kDataCentreOut;
  }));
  BOOST_TEST(fleet.EngineCounter(1, "runs") == 0);
}

BOOST_FIXTURE_TEST_CASE(late_hand_over_is_refused_after_a_query, AgentFixture) {
  const protocol::Group group = view.groups.at("orders-1");
  const protocol::HandOver late_hand_over = UncheckedEntry::MakeHandOver(group);
  BOOST_TEST((entry->QueryAttempt(group, late_hand_over) ==
              protocol::AttemptState::kNeverRun));
  ExpectRefused(group, late_hand_over, Reason::kTombstone);
  const protocol::HandOver repeated_hand_over =
      UncheckedEntry::MakeHandOver(group);
  BOOST_TEST(
      (entry->Send(group, repeated_hand_over).error.reason == Reason::kNone));
  const protocol::AnswerEnd second = entry->Send(group, repeated_hand_over);
  BOOST_TEST((second.error.reason == Reason::kTombstone));
  BOOST_TEST((second.error.outcome == Outcome::kUnknown));
  BOOST_TEST((entry->QueryAttempt(group, repeated_hand_over) ==
              protocol::AttemptState::kFinished));
  BOOST_TEST(fleet.CountRuns("") == 1);
}
