#define BOOST_TEST_MODULE request_executor
#include "gooseberryturn/agent/request_executor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/protocol/codec.h"
#include "gooseberryturn/protocol/frame.h"

/// An executor between an entry and a target, over real sockets. The event loop
/// of the executor runs only when a test says so.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::agent;  // NOLINT
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using protocol::FrameType;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTestTimeout(10'000);

Endpoint FreeEndpoint() {
  asio::io_context context;
  const tcp::acceptor acceptor(
      context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

config::Service OrderService() {
  config::Service service;
  service.name = "orders";
  service.kind = config::ServiceKind::kPlain;
  service.limits.in_flight = 8;
  service.limits.cold_in_flight = 8;
  return service;
}

class Executor {
 public:
  Executor()
      : acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        link(FreeEndpoint()),
        monitor(context, this->target(), false),
        executor(context, this->target(), this->monitor, this->metrics),
        listener(context),
        channels(entry_context) {
    this->state.incarnation = 1;
    this->state.group = "orders-1";
    this->state.fence = 1;
    this->state.has_view = true;
    this->state.group_whole = true;
    this->state.target_ready = true;
    this->executor.agent_state = [this] { return this->state; };
    this->executor.Configure(OrderService());
    this->executor.Start(this->listener);
    BOOST_REQUIRE(this->listener.Start(this->link).has_value());
  }

  [[nodiscard]] Endpoint target() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }
  /// Hands a request over and runs the loop until it is admitted.
  void HandOver() {
    protocol::HandOver hand_over;
    hand_over.attempt = 1;
    hand_over.service = "orders";
    hand_over.path = "/order";
    hand_over.idempotent = false;
    hand_over.group = "orders-1";
    hand_over.fence = 1;
    hand_over.incarnation = 1;
    hand_over.remaining_ms = kTestTimeout.count();
    this->channels.Get(this->link)
        ->Open(protocol::kRunPath,
               [this, hand_over](Result<std::shared_ptr<link::Stream>> opened) {
                 BOOST_REQUIRE(opened.has_value());
                 const std::shared_ptr<link::Stream> stream = *opened;
                 this->run = stream;
                 // The entry takes no more than the window of the stream.
                 stream->EnableManualFlowControl();
                 stream->on_frame = [this](FrameType type,
                                           std::string_view payload) {
                   this->heads += type == FrameType::kMessage ? 1 : 0;
                   if (type == FrameType::kEnd) {
                     this->end = protocol::Decode<protocol::AnswerEnd>(payload);
                   }
                 };
                 stream->Send(protocol::EncodeFrame(
                     FrameType::kMessage, protocol::Encode(hand_over)));
                 stream->Finish();
               });
    const TimePoint give_up_at = Clock::now() + kTestTimeout;
    while (this->metrics.Get(observe::Metric::kRequests) == 0 &&
           Clock::now() < give_up_at) {
      this->TurnEntry();
      this->context.restart();
      this->context.poll_one();
    }
    BOOST_REQUIRE(this->metrics.Get(observe::Metric::kRequests) == 1);
  }
  void TurnEntry() {
    this->entry_context.restart();
    this->entry_context.run_for(milliseconds(1));
  }
  void Run() {
    for (int turn = 0; turn < 50; ++turn) {
      this->context.restart();
      this->context.poll();
      this->TurnEntry();
    }
  }
  /// What the target has received until now.
  std::string Received() {
    this->accepted = this->acceptor.accept();
    this->accepted->non_blocking(true);
    error_code error;
    std::string text(4096, '\0');
    text.resize(this->accepted->read_some(asio::buffer(text), error));
    return text;
  }

  /// Writes a part of the answer of the target and runs the loops.
  void Answer(const std::string& bytes) {
    this->accepted->non_blocking(true);
    const TimePoint give_up_at = Clock::now() + kTestTimeout;
    std::size_t sent = 0;
    while (sent < bytes.size() && Clock::now() < give_up_at) {
      error_code error;
      sent += this->accepted->write_some(
          asio::buffer(bytes.data() + sent, bytes.size() - sent), error);
      this->Run();
    }
    BOOST_REQUIRE(sent == bytes.size());
  }

  asio::io_context context;
  asio::io_context entry_context;
  observe::Metrics metrics;
  tcp::acceptor acceptor;
  std::optional<tcp::socket> accepted;
  Endpoint link;
  admission::AgentState state;
  target::Monitor monitor;
  RequestExecutor executor;
  link::Listener listener;
  link::ChannelPool channels;
  std::shared_ptr<link::Stream> run;  ///< The entry's side of the request.
  int heads = 0;                      ///< Heads of answers that the entry got.
  std::optional<protocol::AnswerEnd> end;
};

std::string AnswerHead(std::size_t body_bytes) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) +
         "\r\n\r\n";
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_admitted_request_is_sent) {
  Executor executor;
  executor.HandOver();
  executor.Run();
  BOOST_TEST(executor.Received().substr(0, 11) == "POST /order");
}

// The process may be held up between the two.
BOOST_AUTO_TEST_CASE(
    a_lease_that_ends_after_admission_keeps_it_from_the_target) {
  Executor executor;
  executor.HandOver();
  executor.state.has_view = false;
  executor.Run();
  BOOST_TEST(executor.Received().empty());
  BOOST_REQUIRE(executor.end.has_value());
  BOOST_TEST((executor.end->error.reason == Reason::kNoView));
  BOOST_TEST((executor.end->error.outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(a_group_assigned_anew_keeps_a_request_from_the_target) {
  Executor executor;
  executor.HandOver();
  executor.state.fence = 2;
  executor.Run();
  BOOST_TEST(executor.Received().empty());
  BOOST_REQUIRE(executor.end.has_value());
  BOOST_TEST((executor.end->error.reason == Reason::kStaleFence));
  BOOST_TEST((executor.end->error.outcome == Outcome::kNotRun));
}

// The answer ends within the loop that resumes all answers.
BOOST_AUTO_TEST_CASE(an_answer_that_is_whole_while_paused_ends_when_resumed) {
  Executor executor;
  executor.HandOver();
  executor.Run();
  executor.Received();
  executor.Answer(AnswerHead(2));
  executor.executor.PauseAnswers(true);
  executor.Answer("ok");
  BOOST_TEST(executor.executor.running() == 1);
  executor.executor.PauseAnswers(false);
  executor.Run();
  BOOST_TEST(executor.executor.running() == 0);
  BOOST_REQUIRE(executor.end.has_value());
  BOOST_TEST((executor.end->error.reason == Reason::kNone));
}

// Its unsent bytes are never sent, so nothing else would resume it.
BOOST_AUTO_TEST_CASE(a_pause_leaves_no_request_without_its_entry_paused) {
  constexpr std::size_t kPartBytes = 128U * 1024U;
  Executor executor;
  executor.HandOver();
  executor.Run();
  executor.Received();
  executor.Answer(AnswerHead(kPartBytes + 2));
  executor.Answer(std::string(kPartBytes, 'a'));
  executor.run->Cancel();
  executor.Run();
  executor.executor.PauseAnswers(true);
  executor.executor.PauseAnswers(false);
  executor.Answer("ok");
  BOOST_TEST(executor.executor.running() == 0);
}

// An agent that leaves would drop what the entry has not taken yet.
BOOST_AUTO_TEST_CASE(an_answer_counts_until_its_entry_has_taken_it) {
  constexpr std::size_t kBytes = 40U * 1024U;  // More than a window.
  Executor executor;
  executor.HandOver();
  executor.Run();
  executor.Received();
  executor.Answer(AnswerHead(kBytes));
  executor.Answer(std::string(kBytes, 'a'));
  BOOST_TEST(executor.executor.running() == 0);
  BOOST_TEST(!executor.end.has_value());
  BOOST_TEST(executor.executor.HasUnsentAnswer(Clock::now()));
  BOOST_TEST(!executor.executor.HasUnsentAnswer(Clock::now() + kTestTimeout));
  executor.run->Consume(kBytes / 2);
  executor.Run();
  BOOST_TEST(executor.end.has_value());
  BOOST_TEST(!executor.executor.HasUnsentAnswer(Clock::now()));
}

// The entry got it as an answer, and passed it on.
BOOST_AUTO_TEST_CASE(an_answer_whose_status_is_none_does_not_reach_the_entry) {
  Executor executor;
  executor.HandOver();
  executor.Run();
  executor.Received();
  executor.Answer("HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok");
  executor.Run();
  BOOST_TEST(executor.heads == 0);
  BOOST_REQUIRE(executor.end.has_value());
  BOOST_TEST((executor.end->error.reason == Reason::kTargetFailed));
  BOOST_TEST((executor.end->error.outcome == Outcome::kUnknown));
}
