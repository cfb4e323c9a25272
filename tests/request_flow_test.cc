#define BOOST_TEST_MODULE request_flow
#include "gooseberryturn/entry/request_flow.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "gooseberryturn/core/stream_digest.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/protocol/codec.h"
#include "gooseberryturn/protocol/frame.h"

/// A request that must not be repeated, with a control host and an agent over
/// real sockets. The event loop of the entry runs only when a test says so,
/// which decides what the loop finds ready in one turn.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::entry;  // NOLINT
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using protocol::FrameType;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kDeadline(400);
constexpr milliseconds kMargin(50);
constexpr milliseconds kTestTimeout(10'000);
constexpr char kRequest[] =
    "POST /order HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n\r\n"
    "body";
constexpr char kStatusLine[] = "HTTP/1.1 ";

Endpoint FreeEndpoint() {
  asio::io_context context;
  const tcp::acceptor acceptor(
      context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

config::Service OrderService(milliseconds deadline = kDeadline,
                             bool is_idempotent = false) {
  config::Service service;
  service.name = "orders";
  service.kind = config::ServiceKind::kPlain;
  service.limits.in_flight = 8;
  service.limits.cold_in_flight = 8;
  service.routes = {{"/order", is_idempotent, deadline.count()}};
  return service;
}

/// Control host and agent. Claims are granted once `holds_claims` is false.
class Peers {
 public:
  explicit Peers(const Endpoint& endpoint)
      : endpoint(endpoint), listener(this->context) {
    const auto serve = [this](const char* path, auto method) {
      this->listener.ServeMessage(
          path, [this, method](const std::shared_ptr<link::Stream>& stream,
                               std::string_view /*payload*/) {
            (this->*method)(stream);
          });
    };
    serve(protocol::kRenewPath, &Peers::OnRenew);
    serve(protocol::kClaimPath, &Peers::OnClaim);
    serve(protocol::kAttemptPath, &Peers::OnAttemptQuery);
    this->listener.ServeMessage(
        protocol::kSettlePath,
        [this](const std::shared_ptr<link::Stream>& stream,
               std::string_view payload) { this->OnSettle(stream, payload); });
    this->listener.Serve(
        protocol::kRunPath,
        [this](const std::shared_ptr<link::Stream>& stream) {
          this->run = stream;
          stream->on_frame = [this](FrameType type, std::string_view) {
            const bool is_hand_over = type == FrameType::kMessage;
            this->hand_overs += is_hand_over ? 1 : 0;
          };
        });
    BOOST_REQUIRE(this->listener.Start(endpoint).has_value());
  }

  void Turn() {
    this->context.restart();
    this->context.run_for(milliseconds(5));
  }
  void GrantClaim() {
    protocol::ClaimReply reply;
    reply.verdict = protocol::ClaimVerdict::kGranted;
    this->AnswerClaim(reply);
  }
  void AnswerClaim(const protocol::ClaimReply& reply) {
    link::Reply(*this->claim, reply);
    this->Turn();
  }
  void SendAnswer(int status = 200) {
    this->run->Send(protocol::EncodeFrame(
        FrameType::kMessage,
        protocol::Encode(protocol::AnswerHead{status, "text/plain"})));
    this->SendEnd(Error{});
  }
  void SendEnd(const Error& error) {
    protocol::AnswerEnd end;
    end.error = protocol::ToWire(error);
    end.digest = StreamDigest().Hex();
    this->run->Send(
        protocol::EncodeFrame(FrameType::kEnd, protocol::Encode(end)));
    this->run->Finish();
    this->Turn();
  }

  Endpoint endpoint;
  asio::io_context context;
  link::Listener listener;
  std::shared_ptr<link::Stream> claim;
  std::shared_ptr<link::Stream> run;
  protocol::AttemptReply attempt;  ///< The answer to each query.
  int hand_overs = 0;
  int settled = 0;
  std::optional<protocol::Settle> settle;  ///< The last one.

 private:
  void OnRenew(const std::shared_ptr<link::Stream>& stream) {
    if (this->has_sent_view) {
      this->held_renewal = stream;
      return;
    }
    this->has_sent_view = true;
    protocol::RenewReply reply;
    reply.granted = true;
    reply.lease_ms = 60'000;
    reply.entries = 1;
    reply.delta.to = 1;
    reply.delta.services = {OrderService()};
    reply.delta.data_centres = {{"a", "region", false}};
    protocol::Group group;
    group.name = "orders-1";
    group.service = "orders";
    group.data_centre = "a";
    group.fence = 1;
    group.members = {{"host-1", 1, this->endpoint}};
    reply.delta.groups = {group};
    link::Reply(*stream, reply);
  }
  void OnClaim(const std::shared_ptr<link::Stream>& stream) {
    this->claim = stream;
  }
  void OnSettle(const std::shared_ptr<link::Stream>& stream,
                std::string_view payload) {
    this->settled += 1;
    this->settle = protocol::Decode<protocol::Settle>(payload);
    link::Reply(*stream, protocol::SettleReply{true, true});
  }
  void OnAttemptQuery(const std::shared_ptr<link::Stream>& stream) {
    link::Reply(*stream, this->attempt);
  }

  bool has_sent_view = false;
  std::shared_ptr<link::Stream> held_renewal;
};

/// An entry with one caller, whose request starts a flow.
class Entry {
 public:
  explicit Entry(milliseconds deadline = kDeadline, bool is_idempotent = false)
      : peers(FreeEndpoint()),
        channels(context),
        view_client(context, this->channels, {this->peers.endpoint},
                    protocol::Renew{}, Duration(0), metrics),
        chooser("a", routing::Policy::kTwoChoice, 1),
        acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        caller(context) {
    this->view_client.Start();
    this->TurnUntil([this] { return this->view_client.view().index == 1; });
    // Later opens of a stream to the agent find a connection.
    bool is_connected = false;
    this->channels.Get(this->peers.endpoint)
        ->Call(protocol::kAttemptPath,
               protocol::Encode(protocol::AttemptQuery{}),
               Clock::now() + kTestTimeout,
               [&is_connected](const Result<std::string>& /*result*/) {
                 is_connected = true;
               });
    this->TurnUntil([&is_connected] { return is_connected; });
    this->caller.connect(this->acceptor.local_endpoint());
    CallerLimits limits;
    limits.max_header_bytes = 4096;
    limits.max_body_bytes = 4096;
    limits.header_timeout = kTestTimeout;
    limits.write_timeout = kTestTimeout;
    const std::shared_ptr<CallerSession> session =
        std::make_shared<CallerSession>(this->acceptor.accept(), limits,
                                        this->metrics);
    session->on_request = [this, deadline, is_idempotent](
                              const std::shared_ptr<CallerSession>& from,
                              const CallerRequest& request) {
      const config::Service service = OrderService(deadline, is_idempotent);
      const std::shared_ptr<RequestFlow> flow = std::make_shared<RequestFlow>(
          FlowContext{this->context, this->channels, this->view_client,
                      this->chooser, this->retry_budgets, this->metrics},
          from, request, service, service.routes.front());
      flow->on_finished = [this] { this->finished += 1; };
      this->started_at = Clock::now();
      flow->Start();
    };
    session->Start();
  }

  /// Runs the loop until nothing is ready.
  void Turn() {
    this->context.restart();
    this->context.poll();
  }
  template <typename Condition>
  void TurnUntil(Condition condition) {
    const TimePoint give_up_at = Clock::now() + kTestTimeout;
    while (!condition() && Clock::now() < give_up_at) {
      this->Turn();
      this->peers.Turn();
    }
    BOOST_REQUIRE(condition());
  }
  /// Sends the request and runs both loops until its claim has arrived.
  void SendRequest() {
    this->WriteRequest();
    this->TurnUntil([this] { return this->peers.claim != nullptr; });
  }
  /// Sends the request and runs both loops until the agent has it.
  void HandOver(bool is_claimed) {
    if (is_claimed) {
      this->SendRequest();
      this->peers.GrantClaim();
    } else {
      this->WriteRequest();
    }
    this->TurnUntil([this] { return this->peers.hand_overs == 1; });
  }
  void SleepPastDeadline() {
    std::this_thread::sleep_until(this->started_at + kDeadline + kMargin);
  }
  void TurnBoth() {
    for (int turn = 0; turn < 40; ++turn) {
      this->Turn();
      this->peers.Turn();
    }
  }
  /// Runs both loops for a while and returns what the caller has received.
  std::string ReadAll() {
    this->TurnBoth();
    error_code error;
    std::string text(16U * 1024U, '\0');
    this->caller.non_blocking(true);
    text.resize(this->caller.read_some(asio::buffer(text), error));
    return text;
  }

  asio::io_context context;
  Peers peers;
  observe::Metrics metrics;
  link::ChannelPool channels;
  control::ViewClient view_client;
  routing::GroupChooser chooser;
  std::map<std::string, routing::RetryBudget> retry_budgets;
  tcp::acceptor acceptor;
  tcp::socket caller;
  TimePoint started_at;
  int finished = 0;

 private:
  void WriteRequest() {
    error_code ignored;
    asio::write(this->caller, asio::buffer(kRequest, sizeof(kRequest) - 1),
                ignored);
  }
};

int CountAnswers(const std::string& text) {
  int count = 0;
  for (std::size_t at = text.find(kStatusLine); at != std::string::npos;
       at = text.find(kStatusLine, at + 1)) {
    count += 1;
  }
  return count;
}

/// Checks that the caller got a refusal which leaves open whether its request
/// ran.
void CheckOutcomeUnknown(Entry& entry) {
  const std::string text = entry.ReadAll();
  BOOST_TEST(text.substr(0, 12) == "HTTP/1.1 502");
  BOOST_TEST(CountAnswers(text) == 1);
  BOOST_TEST(text.find("\"unknown\"") != std::string::npos, text);
  BOOST_TEST(entry.finished == 1);
}

/// A stored answer that an earlier build took from its target.
protocol::KeptAnswer StoredAnswer(int status) {
  protocol::KeptAnswer answer;
  answer.status = status;
  answer.body = "stored";
  return answer;
}

/// Statuses that no answer has.
constexpr std::array<int, 5> kNoStatuses = {-1, 0, 99, 103, 600};

}  // namespace

BOOST_AUTO_TEST_CASE(an_outcome_that_arrives_in_time_is_answered) {
  Entry entry;
  entry.SendRequest();
  entry.peers.GrantClaim();
  entry.TurnUntil([&entry] { return entry.peers.hand_overs == 1; });
  entry.peers.SendAnswer();
  const std::string text = entry.ReadAll();
  BOOST_TEST(text.substr(0, 12) == "HTTP/1.1 200");
  BOOST_TEST(CountAnswers(text) == 1);
  BOOST_TEST(entry.peers.settled == 1);
  BOOST_TEST(entry.finished == 1);
}

BOOST_AUTO_TEST_CASE(
    an_outcome_that_arrives_with_the_deadline_is_answered_once) {
  Entry entry;
  entry.SendRequest();
  entry.peers.GrantClaim();
  entry.TurnUntil([&entry] { return entry.peers.hand_overs == 1; });
  entry.peers.SendAnswer();
  entry.SleepPastDeadline();
  // The loop finds the end of the answer and the deadline together.
  const std::string text = entry.ReadAll();
  BOOST_TEST(text.substr(0, 12) == "HTTP/1.1 200");
  BOOST_TEST(CountAnswers(text) == 1);
  BOOST_TEST(entry.peers.settled == 1);
  BOOST_TEST(entry.finished == 1);
}

BOOST_AUTO_TEST_CASE(a_request_is_not_handed_over_after_its_deadline) {
  Entry entry;
  entry.SendRequest();
  entry.peers.GrantClaim();
  entry.SleepPastDeadline();
  // The loop finds the grant and the deadline together.
  const std::string text = entry.ReadAll();
  BOOST_TEST(entry.peers.hand_overs == 0);
  BOOST_TEST(CountAnswers(text) == 1);
  BOOST_TEST(text.find("\"not_run\"") != std::string::npos);
  BOOST_TEST(entry.finished == 1);
}

// Its caller may send it again through another entry.
BOOST_AUTO_TEST_CASE(a_request_is_not_handed_over_after_its_caller_left) {
  Entry entry(kTestTimeout);
  entry.SendRequest();
  entry.caller.close();
  entry.TurnBoth();
  entry.peers.GrantClaim();
  entry.TurnBoth();
  BOOST_TEST(entry.peers.hand_overs == 0);
  BOOST_REQUIRE(entry.peers.settle.has_value());
  BOOST_TEST((entry.peers.settle->outcome == Outcome::kNotRun));
  BOOST_TEST(entry.finished == 1);
}

BOOST_AUTO_TEST_CASE(a_request_is_not_retried_after_its_caller_left) {
  Entry entry(kTestTimeout);
  entry.SendRequest();
  entry.peers.GrantClaim();
  entry.TurnUntil([&entry] { return entry.peers.hand_overs == 1; });
  entry.caller.close();
  entry.TurnBoth();
  entry.peers.claim = nullptr;
  entry.peers.SendEnd({Reason::kTargetBusy, Step::kAdmit, Outcome::kNotRun,
                       std::string(), "busy"});
  entry.TurnBoth();
  BOOST_TEST((entry.peers.claim == nullptr));
  BOOST_REQUIRE(entry.peers.settle.has_value());
  BOOST_TEST((entry.peers.settle->outcome == Outcome::kNotRun));
  BOOST_TEST(entry.finished == 1);
}

// An agent of an earlier build passes such answers on.
BOOST_AUTO_TEST_CASE(an_agents_answer_without_a_status_is_no_answer) {
  for (const int status : kNoStatuses) {
    Entry entry(kTestTimeout);
    entry.HandOver(true);
    entry.peers.attempt.state = protocol::AttemptState::kUnknown;
    entry.peers.SendAnswer(status);
    CheckOutcomeUnknown(entry);
    BOOST_REQUIRE(entry.peers.settle.has_value());
    BOOST_TEST((entry.peers.settle->outcome == Outcome::kUnknown));
  }
}

// It may be repeated, but no other group is there.
BOOST_AUTO_TEST_CASE(an_agents_answer_without_a_status_is_not_relayed) {
  for (const int status : kNoStatuses) {
    Entry entry(kDeadline, true);
    entry.HandOver(false);
    entry.peers.SendAnswer(status);
    entry.TurnUntil([&entry] { return entry.finished == 1; });
    const std::string text = entry.ReadAll();
    BOOST_TEST(text.substr(0, 10) == "HTTP/1.1 5", text);
    BOOST_TEST(CountAnswers(text) == 1);
    BOOST_TEST(text.find("\"unknown\"") != std::string::npos, text);
  }
}

BOOST_AUTO_TEST_CASE(an_attempts_answer_without_a_status_is_no_answer) {
  for (const int status : kNoStatuses) {
    Entry entry(kTestTimeout);
    entry.HandOver(true);
    entry.peers.attempt.state = protocol::AttemptState::kFinished;
    entry.peers.attempt.answer = StoredAnswer(status);
    entry.peers.SendEnd({Reason::kLinkLost, Step::kRelay, Outcome::kUnknown,
                         std::string(), "lost"});
    CheckOutcomeUnknown(entry);
    BOOST_REQUIRE(entry.peers.settle.has_value());
    BOOST_TEST((entry.peers.settle->outcome == Outcome::kUnknown));
  }
}

BOOST_AUTO_TEST_CASE(a_stored_answer_without_a_status_is_not_replayed) {
  for (const int status : kNoStatuses) {
    Entry entry(kTestTimeout);
    entry.SendRequest();
    protocol::ClaimReply reply;
    reply.verdict = protocol::ClaimVerdict::kFinished;
    reply.answer = StoredAnswer(status);
    entry.peers.AnswerClaim(reply);
    CheckOutcomeUnknown(entry);
  }
}

BOOST_AUTO_TEST_CASE(an_answer_with_an_unusual_status_is_taken) {
  for (const int status : {299, 418, 599}) {
    const std::string line = "HTTP/1.1 " + std::to_string(status);
    Entry entry(kTestTimeout);
    entry.HandOver(true);
    entry.peers.SendAnswer(status);
    BOOST_TEST(entry.ReadAll().substr(0, line.size()) == line);
    Entry replaying(kTestTimeout);
    replaying.SendRequest();
    protocol::ClaimReply reply;
    reply.verdict = protocol::ClaimVerdict::kFinished;
    reply.answer = StoredAnswer(status);
    replaying.peers.AnswerClaim(reply);
    BOOST_TEST(replaying.ReadAll().substr(0, line.size()) == line);
  }
}
