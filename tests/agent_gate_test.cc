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

/// An entry without checks of its own: it sends whatever the test tells it to,
/// so that only the agent stands before the target.
class BareEntry {
 public:
  BareEntry(const std::vector<Endpoint>& control)
      : channels(context),
        views(context, this->channels, control, Self(), Duration::zero(),
              metrics) {
    this->views.Start();
  }

  protocol::View WaitView(std::size_t groups) {
    BOOST_REQUIRE(this->RunUntil(
        [this, groups] { return this->views.view().groups.size() >= groups; }));
    return this->views.view();
  }
  static protocol::HandOver OrderFor(const protocol::Group& group) {
    protocol::HandOver order;
    order.request_id = "bare";
    order.attempt = RandomId();
    order.service = group.service;
    order.path = group.service == "llm" ? "/gen" : "/order";
    order.idempotent = group.service == "llm";
    order.group = group.name;
    order.fence = group.fence;
    order.incarnation = group.members.front().incarnation;
    order.remaining_ms = 10'000;
    return order;
  }
  /// Hands `order` over and returns how it ended.
  protocol::AnswerEnd Send(const protocol::Group& group,
                           const protocol::HandOver& order) {
    std::optional<protocol::AnswerEnd> end;
    this->channels.Get(group.members.front().link)
        ->Open(protocol::kRunPath,
               [&end, order](Result<std::shared_ptr<link::Stream>> opened) {
                 BOOST_REQUIRE(opened.has_value());
                 const std::shared_ptr<link::Stream> stream = *opened;
                 stream->on_frame = [&end](protocol::FrameType type,
                                           std::string_view payload) {
                   if (type == protocol::FrameType::kEnd) {
                     end = protocol::Decode<protocol::AnswerEnd>(payload);
                   }
                 };
                 stream->Send(protocol::EncodeFrame(
                     protocol::FrameType::kMessage, protocol::Encode(order)));
                 stream->Finish();
               });
    BOOST_REQUIRE(this->RunUntil([&end] { return end.has_value(); }));
    return *end;
  }
  protocol::AttemptState Ask(const protocol::Group& group,
                             const protocol::HandOver& order) {
    std::optional<protocol::AttemptReply> reply;
    const protocol::AttemptQuery query = {order.attempt, order.incarnation};
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
  static protocol::Renew Self() {
    protocol::Renew self;
    self.host = "bare-entry";
    self.data_centre = "b";
    self.incarnation = 1;
    return self;
  }
  bool RunUntil(const std::function<bool()>& is_true) {
    return Eventually([this, &is_true] {
      this->context.run_for(std::chrono::milliseconds(20));
      return is_true();
    });
  }

  asio::io_context context;
  observe::Metrics metrics;
  link::ChannelPool channels;
  control::ViewClient views;
};

struct Gate {
  Gate() : fleet(28) {
    fleet.StartControls();
    for (int id = 1; id <= 3; ++id) {
      relays.push_back(
          std::make_unique<Relay>(fleet.RelayAt(id), fleet.ControlLink(id)));
      control.push_back(fleet.ControlLink(id));
    }
    fleet.StartTarget({1, "a", "rack-a", true, {}}, true);
    fleet.StartTarget({2, "a", "rack-a", false, {}});
    fleet.Apply(MakeDocument(DocumentPlan()), 0);
    fleet.WaitServing(2);
    entry = std::make_unique<BareEntry>(control);
    view = entry->WaitView(2);
  }
  void ExpectRefused(const protocol::Group& group,
                     const protocol::HandOver& order, Reason reason) {
    const protocol::AnswerEnd end = entry->Send(group, order);
    BOOST_TEST(kReasonNames.Name(end.error.reason) ==
               kReasonNames.Name(reason));
    BOOST_TEST((end.error.outcome == Outcome::kNotRun));
  }
  Fleet fleet;
  std::vector<std::unique_ptr<Relay>> relays;
  std::vector<Endpoint> control;
  std::unique_ptr<BareEntry> entry;
  protocol::View view;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(agent_refuses_stale_orders_by_itself, Gate) {
  const protocol::Group group = view.groups.at("llm-1");
  const protocol::HandOver good = BareEntry::OrderFor(group);
  BOOST_TEST((entry->Send(group, good).error.reason == Reason::kNone));
  protocol::HandOver order = BareEntry::OrderFor(group);
  order.incarnation += 1;
  ExpectRefused(group, order, Reason::kStaleIncarnation);
  order = BareEntry::OrderFor(group);
  order.fence -= 1;
  ExpectRefused(group, order, Reason::kStaleFence);
  order = BareEntry::OrderFor(group);
  order.remaining_ms = 0;
  ExpectRefused(group, order, Reason::kDeadline);
  order = BareEntry::OrderFor(group);
  order.body_bytes = 5;
  ExpectRefused(group, order, Reason::kBadRequest);
  BOOST_TEST(fleet.Counted(1, "runs") == 1);
}

BOOST_FIXTURE_TEST_CASE(cut_off_agent_refuses_an_entry_that_knows_less, Gate) {
  const protocol::Group group = view.groups.at("llm-1");
  for (const std::unique_ptr<Relay>& relay : relays) {
    relay->Cut(true);
  }
  const Answer out =
      fleet.Operate("POST", "/v1/data-centre?name=a&out=1&force=1");
  BOOST_TEST(out.Says("\"in_force\":true"));
  // The agent never heard of it, but its lease has run out by now.
  ExpectRefused(group, BareEntry::OrderFor(group), Reason::kNoView);
  BOOST_TEST(fleet.Counted(1, "runs") == 0);
  for (const std::unique_ptr<Relay>& relay : relays) {
    relay->Cut(false);
  }
  BOOST_REQUIRE(Eventually([&] {
    const protocol::AnswerEnd end =
        entry->Send(group, BareEntry::OrderFor(group));
    return end.error.reason == Reason::kDataCentreOut;
  }));
  BOOST_TEST(fleet.Counted(1, "runs") == 0);
}

BOOST_FIXTURE_TEST_CASE(late_order_is_refused_after_somebody_asked, Gate) {
  const protocol::Group group = view.groups.at("orders-1");
  const protocol::HandOver late = BareEntry::OrderFor(group);
  BOOST_TEST((entry->Ask(group, late) == protocol::AttemptState::kNeverRun));
  ExpectRefused(group, late, Reason::kTombstone);
  const protocol::HandOver twice = BareEntry::OrderFor(group);
  BOOST_TEST((entry->Send(group, twice).error.reason == Reason::kNone));
  const protocol::AnswerEnd second = entry->Send(group, twice);
  BOOST_TEST((second.error.reason == Reason::kTombstone));
  BOOST_TEST((second.error.outcome == Outcome::kUnknown));
  BOOST_TEST((entry->Ask(group, twice) == protocol::AttemptState::kFinished));
  BOOST_TEST(fleet.Runs("") == 1);
}
