#define BOOST_TEST_MODULE caller_connection
#include "gooseberryturn/direct/caller_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

/// A caller's connection over a real socket. The event loop runs only when a
/// test says so, which decides what the loop finds ready in one turn.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr char kRequest[] =
    "POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n\r\nbody";
constexpr char kAnswerHead[] = "HTTP/1.1 200 OK\r\n";
constexpr milliseconds kIdleTimeout(100);
constexpr milliseconds kLongEnough(60'000);

/// A connection with its caller's side, and what was reported of it.
class Connected {
 public:
  explicit Connected(CallerLimits limits = ShortIdleTime())
      : acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        caller(context) {
    this->caller.connect(this->acceptor.local_endpoint());
    this->connection = std::make_shared<CallerConnection>(
        this->acceptor.accept(), std::move(limits));
    this->connection->on_request =
        [this](const std::shared_ptr<CallerConnection>& /*from*/,
               const CallerMessage& /*message*/,
               TimePoint /*received_at*/) { this->requests += 1; };
    this->connection->on_closed = [this](CloseCause cause) {
      this->causes.push_back(cause);
    };
    this->connection->on_request_after_close = [this] {
      this->requests_after_close += 1;
    };
    this->connection->on_close_not_reported = [this](CloseCause cause) {
      this->closes_not_reported.push_back(cause);
    };
    this->connection->Start();
    this->context.poll();
  }

  [[nodiscard]] static CallerLimits ShortIdleTime() {
    CallerLimits limits;
    limits.idle_timeout_ms = kIdleTimeout.count();
    return limits;
  }

  void SendRequest() { this->Write(kRequest); }
  void Write(const std::string& bytes) {
    error_code ignored;
    asio::write(this->caller, asio::buffer(bytes), ignored);
  }
  /// Runs the loop until nothing is ready.
  void Turn() {
    this->context.restart();
    this->context.poll();
  }
  void RunFor(milliseconds time) {
    this->context.restart();
    this->context.run_for(time);
  }
  /// Reads what the caller gets until the connection ends or `size` bytes came.
  std::string Read(std::size_t size, error_code& error) {
    std::string text(size, '\0');
    text.resize(asio::read(this->caller, asio::buffer(text), error));
    return text;
  }
  /// Reads what has arrived at the caller.
  std::string ReadSome() {
    std::string text(4096, '\0');
    error_code ignored;
    text.resize(this->caller.read_some(asio::buffer(text), ignored));
    return text;
  }
  /// Sends `body` as the answer and returns the status line that arrives.
  std::string Answer(const std::string& body = "done") {
    this->connection->SendAnswer(kAnswerHead, body);
    this->RunFor(milliseconds(50));
    error_code error;
    return this->Read(sizeof(kAnswerHead) - 1, error);
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  tcp::socket caller;
  std::shared_ptr<CallerConnection> connection;
  int requests = 0;
  int requests_after_close = 0;
  std::vector<CloseCause> causes;
  std::vector<CloseCause> closes_not_reported;
};

}  // namespace

// LOST: the request was handed over and its answer had no connection left.
BOOST_AUTO_TEST_CASE(a_request_that_arrives_as_the_idle_time_ends_is_answered) {
  Connected connected;
  connected.SendRequest();
  std::this_thread::sleep_for(kIdleTimeout + milliseconds(50));
  // The loop finds the request and the end of the idle time together.
  connected.Turn();
  BOOST_TEST(connected.requests == 1);
  BOOST_TEST(connected.requests_after_close == 0);
  BOOST_TEST(connected.causes.empty());
  BOOST_TEST(connected.Answer() == kAnswerHead);
}

// A caller goes by the idle timeout in force, not by that of its connect.
BOOST_AUTO_TEST_CASE(a_raised_idle_timeout_holds_for_open_connections) {
  Connected connected;
  CallerLimits raised;
  raised.idle_timeout_ms = 10'000;
  connected.connection->SetLimits(raised);
  connected.RunFor(3 * kIdleTimeout);
  connected.SendRequest();
  connected.RunFor(kIdleTimeout);
  BOOST_TEST(connected.requests == 1);
  BOOST_TEST(connected.Answer() == kAnswerHead);
}

BOOST_AUTO_TEST_CASE(a_lowered_idle_timeout_spares_an_idle_connection) {
  CallerLimits long_idle_time;
  long_idle_time.idle_timeout_ms = 10'000;
  Connected connected(long_idle_time);
  connected.connection->SetLimits(Connected::ShortIdleTime());
  connected.RunFor(3 * kIdleTimeout);
  connected.SendRequest();
  connected.RunFor(kIdleTimeout);
  BOOST_TEST(connected.requests == 1);
  BOOST_TEST(connected.Answer("") == kAnswerHead);
  connected.RunFor(3 * kIdleTimeout);
  BOOST_REQUIRE(connected.causes.size() == 1);
  BOOST_TEST((connected.causes.front() == CloseCause::kIdleTimeout));
}

// LOST: callers went on using a connection up to the moment of its closing.
BOOST_AUTO_TEST_CASE(an_answer_says_how_long_its_connection_may_be_idle) {
  CallerLimits limits;
  limits.idle_timeout_ms = 15'000;
  Connected connected(limits);
  connected.SendRequest();
  connected.Turn();
  connected.connection->SendAnswer(kAnswerHead, "done");
  connected.RunFor(milliseconds(50));
  const std::string answer = connected.ReadSome();
  BOOST_TEST(answer.find("Keep-Alive: timeout=12\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(an_announced_idle_timeout_is_kept_to) {
  CallerLimits limits;
  limits.idle_timeout_ms = 2000;
  Connected connected(limits);
  connected.SendRequest();
  connected.Turn();
  connected.connection->BeginChunks(kAnswerHead);
  connected.connection->SetLimits(Connected::ShortIdleTime());
  connected.connection->EndChunks();
  connected.RunFor(3 * kIdleTimeout);
  BOOST_TEST(connected.ReadSome().find("Keep-Alive: timeout=1\r\n") !=
             std::string::npos);
  connected.SendRequest();
  connected.RunFor(kIdleTimeout);
  BOOST_TEST(connected.requests == 2);
}

BOOST_AUTO_TEST_CASE(a_raised_body_limit_holds_for_open_connections) {
  CallerLimits small_bodies;
  small_bodies.max_body_bytes = 2;
  Connected connected(small_bodies);
  connected.connection->SetLimits(CallerLimits());
  connected.SendRequest();
  connected.RunFor(kIdleTimeout);
  BOOST_TEST(connected.requests == 1);
}

// LOST: a request that was in the kernel at a planned stop was reset.
BOOST_AUTO_TEST_CASE(a_request_that_has_arrived_at_a_stop_is_answered) {
  Connected connected;
  connected.connection->EndKeepAlive();
  connected.SendRequest();
  connected.connection->CloseIfIdle(Clock::now() + kLongEnough);
  connected.Turn();
  BOOST_TEST(connected.requests == 1);
  BOOST_TEST(connected.causes.empty());
  connected.connection->SendAnswer(kAnswerHead, "done");
  connected.RunFor(kIdleTimeout);
  error_code error;
  const std::string answer = connected.Read(1000, error);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  BOOST_TEST(answer.find("done") != std::string::npos);
  BOOST_TEST((error == asio::error::eof));
}

// LOST: an answer without Connection: close was followed by a close, and the
// next request got no answer.
BOOST_AUTO_TEST_CASE(an_answer_that_keeps_the_connection_is_kept_to) {
  Connected connected;
  connected.SendRequest();
  connected.Turn();
  connected.connection->SendAnswer(kAnswerHead, "done");
  connected.connection->EndKeepAlive();
  connected.SendRequest();
  connected.RunFor(milliseconds(50));
  BOOST_TEST(connected.requests == 2);
  connected.connection->SendAnswer(kAnswerHead, "last");
  connected.RunFor(milliseconds(50));
  error_code error;
  const std::string answers = connected.Read(1000, error);
  BOOST_TEST(answers.find("Connection: close") > answers.find("done"));
  BOOST_TEST(answers.find("last") != std::string::npos);
  BOOST_TEST((error == asio::error::eof));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_at_a_stop) {
  Connected connected;
  connected.connection->CloseIfIdle(Clock::now());
  BOOST_TEST(connected.causes.empty());  // It may be about to be used.
  connected.connection->CloseIfIdle(Clock::now() + kLongEnough);
  BOOST_REQUIRE(connected.causes.size() == 1);
  BOOST_TEST((connected.causes.front() == CloseCause::kLeaving));
}

// LOST: the reset of a connection with unread bytes destroyed its answer.
BOOST_AUTO_TEST_CASE(an_answer_is_not_destroyed_by_unread_bytes) {
  CallerLimits limits;
  limits.max_body_bytes = 10;
  Connected connected(limits);
  const std::string part(50'000, 'x');
  connected.Write(
      "POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: "
      "100000\r\n\r\n" +
      part);
  connected.RunFor(milliseconds(50));
  // The caller goes on sending its body before it reads.
  error_code error;
  asio::write(connected.caller, asio::buffer(part), error);
  BOOST_TEST(!error);
  connected.RunFor(milliseconds(50));
  const std::string answer = connected.Read(10'000, error);
  BOOST_TEST(answer.find("HTTP/1.1 413") == 0U);
  BOOST_TEST((error == asio::error::eof));
  connected.caller.close();
  connected.RunFor(milliseconds(50));
  BOOST_REQUIRE(connected.causes.size() == 1);
  BOOST_TEST((connected.causes.front() == CloseCause::kAnswered));
}

BOOST_AUTO_TEST_CASE(bytes_after_the_last_answer_are_bounded) {
  CallerLimits limits;
  limits.max_body_bytes = 10;
  Connected connected(limits);
  connected.Write(
      "POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: "
      "9000000\r\n\r\n");
  connected.caller.non_blocking(true);
  const std::string part(50'000, 'x');
  for (int round = 0; round < 1000 && connected.causes.empty(); ++round) {
    error_code ignored;
    connected.caller.write_some(asio::buffer(part), ignored);
    connected.Turn();
  }
  BOOST_TEST(connected.causes.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_during_its_request_is_noticed) {
  Connected connected;
  std::vector<CloseCause> disconnects;
  connected.connection->on_disconnected = [&disconnects](CloseCause cause) {
    disconnects.push_back(cause);
  };
  connected.SendRequest();
  connected.Turn();
  connected.caller.close();
  connected.RunFor(milliseconds(50));
  BOOST_REQUIRE(disconnects.size() == 1);
  BOOST_TEST((disconnects.front() == CloseCause::kCallerLeft));
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_when_its_time_ends) {
  Connected connected;
  connected.RunFor(kIdleTimeout + milliseconds(100));
  BOOST_TEST(connected.requests == 0);
  BOOST_REQUIRE(connected.causes.size() == 1);
  BOOST_TEST((connected.causes.front() == CloseCause::kIdleTimeout));
}

// The exception of a header field that is too long ended the entry.
BOOST_AUTO_TEST_CASE(a_field_longer_than_the_parser_can_hold_is_refused) {
  CallerLimits limits;
  limits.max_header_bytes = 200'000;
  Connected connected(limits);
  connected.Write("GET / HTTP/1.1\r\nHost: shop.example\r\nX-Long: " +
                  std::string(70'000, 'a') + "\r\n\r\n");
  connected.RunFor(milliseconds(50));
  BOOST_TEST(connected.requests == 0);
  error_code error;
  BOOST_TEST(connected.Read(12, error) == "HTTP/1.1 431");
}

// LOST: a caller that had ended its sending side and waited for its answer.
BOOST_AUTO_TEST_CASE(a_caller_that_only_ends_its_sending_side_is_answered) {
  Connected connected;
  connected.connection->on_input_end = [] { return true; };
  connected.SendRequest();
  connected.Turn();
  connected.caller.shutdown(tcp::socket::shutdown_send);
  connected.RunFor(milliseconds(50));
  BOOST_TEST(connected.causes.empty());
  connected.connection->SendAnswer(kAnswerHead, "done");
  connected.RunFor(milliseconds(50));
  error_code error;
  const std::string answer = connected.Read(4096, error);
  BOOST_TEST((error == asio::error::eof));
  BOOST_TEST(answer.find(kAnswerHead) == 0U);
  BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
  BOOST_REQUIRE(connected.causes.size() == 1);
  BOOST_TEST((connected.causes.front() == CloseCause::kAnswered));
}

// GONE: bytes written after the end of input tell whether the caller is there.
BOOST_AUTO_TEST_CASE(a_caller_that_left_is_noticed_when_something_is_written) {
  Connected connected;
  connected.connection->on_input_end = [] { return true; };
  connected.SendRequest();
  connected.Turn();
  connected.caller.close();
  connected.RunFor(milliseconds(50));
  BOOST_TEST(connected.causes.empty());
  connected.connection->BeginChunks(kAnswerHead);
  connected.RunFor(milliseconds(50));
  BOOST_REQUIRE(connected.causes.size() == 1);
  BOOST_TEST((connected.causes.front() == CloseCause::kCallerLeft));
}

// LOST: the end of an answer that the caller had still to read.
BOOST_AUTO_TEST_CASE(
    a_caller_that_ends_its_sending_side_gets_its_whole_answer) {
  Connected connected;
  connected.SendRequest();
  connected.Turn();
  const std::string body(10'000'000, 'x');
  connected.connection->SendAnswer(kAnswerHead, body);
  connected.Turn();
  connected.caller.shutdown(tcp::socket::shutdown_send);
  connected.Turn();
  BOOST_TEST(connected.causes.empty());
  connected.caller.non_blocking(true);
  std::string answer;
  error_code error;
  while (!error || error == asio::error::would_block) {
    answer += connected.Read(1'000'000, error);
    connected.RunFor(milliseconds(1));
  }
  BOOST_TEST((error == asio::error::eof));
  BOOST_TEST(answer.size() > body.size());
  BOOST_TEST(connected.causes.size() == 1);
}

// LOST: a request was handed over, and nobody was told that its connection
// closed.
BOOST_AUTO_TEST_CASE(a_close_that_no_flow_is_told_of_is_reported) {
  Connected connected;
  connected.SendRequest();
  connected.Turn();
  connected.connection->on_disconnected = nullptr;
  connected.caller.close();
  connected.RunFor(milliseconds(50));
  BOOST_REQUIRE(connected.closes_not_reported.size() == 1);
  BOOST_TEST(
      (connected.closes_not_reported.front() == CloseCause::kCallerLeft));
}

// LOST: a flow that has not ended was taken for one that has answered.
BOOST_AUTO_TEST_CASE(a_close_after_an_answer_with_an_open_flow_is_reported) {
  Connected connected;
  connected.SendRequest();
  connected.Turn();
  int times_told = 0;
  connected.connection->on_disconnected = [&times_told](CloseCause /*cause*/) {
    times_told += 1;
  };
  connected.connection->SendAnswer(kAnswerHead, std::string(10'000'000, 'x'));
  connected.caller.close();
  connected.RunFor(milliseconds(50));
  BOOST_TEST(connected.causes.size() == 1);
  BOOST_TEST(times_told == 0);
  BOOST_TEST(connected.closes_not_reported.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_close_that_a_flow_is_told_of_is_not_reported) {
  Connected connected;
  connected.SendRequest();
  connected.Turn();
  int times_told = 0;
  connected.connection->on_disconnected = [&times_told](CloseCause /*cause*/) {
    times_told += 1;
  };
  connected.caller.close();
  connected.RunFor(milliseconds(50));
  BOOST_TEST(times_told == 1);
  BOOST_TEST(connected.closes_not_reported.empty());
}
