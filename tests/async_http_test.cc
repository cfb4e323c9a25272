#define BOOST_TEST_MODULE async_http
#include "gooseberryturn/direct/async_http.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

/// A server over real sockets. The event loop runs only when a test says so,
/// which decides what the loop finds ready in one turn.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr char kRequest[] =
    "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody";
constexpr char kLongCallHead[] =
    "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n";
constexpr char kLastCall[] =
    "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
constexpr milliseconds kIdleTimeout(100);
constexpr milliseconds kLeaveTimeout(30);
constexpr int kSmallReceiveBuffer = 4096;
/// More than the buffer of a caller takes.
constexpr std::size_t kAnswerBytes = 300'000;
constexpr std::uint16_t kPort = 7399;

[[nodiscard]] HttpServerLimits ShortLimits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 1024;
  limits.idle_timeout = kIdleTimeout;
  limits.leave_timeout = kLeaveTimeout;
  return limits;
}

/// An address of this process alone: tests may run beside each other.
[[nodiscard]] std::string OwnAddress() {
  const unsigned pid = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + ((pid >> 16U) & 0x3fU)) + "." +
         std::to_string((pid >> 8U) & 0xffU) + "." +
         std::to_string(1 + pid % 254U);
}

/// A server and the calls that it was handed.
class Serving {
 public:
  explicit Serving(const HttpServerLimits& limits = ShortLimits())
      : server(
            context,
            [this](const HttpRequest& /*call*/, AsyncHttpServer::Reply reply) {
              this->replies.push_back(std::move(reply));
            },
            limits) {
    BOOST_REQUIRE(this->server.Start({OwnAddress(), kPort}).has_value());
  }

  /// A `receive_buffer` of 0 bytes keeps the default of the system.
  [[nodiscard]] tcp::socket Connect(int receive_buffer = 0) {
    tcp::socket caller(this->callers, tcp::v4());
    if (receive_buffer > 0) {
      caller.set_option(asio::socket_base::receive_buffer_size(receive_buffer));
    }
    caller.connect({asio::ip::make_address(OwnAddress()), kPort});
    this->Turn();
    return caller;
  }
  static void Write(tcp::socket& caller, const std::string& bytes) {
    error_code ignored;
    asio::write(caller, asio::buffer(bytes), ignored);
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
  void Stop(milliseconds time = std::chrono::minutes(1)) {
    this->server.Stop(Clock::now() + time, [this] { this->is_stopped = true; });
  }
  /// Reads until the connection ends. An answer that has arrived can be lost
  /// to a reset, so the caller reads only after the loop has run.
  [[nodiscard]] static std::string ReadToEnd(tcp::socket& caller,
                                             error_code& error) {
    std::string text;
    asio::read(caller, asio::dynamic_buffer(text), error);
    return text;
  }

  asio::io_context context;
  asio::io_context callers;
  AsyncHttpServer server;
  std::vector<AsyncHttpServer::Reply> replies;
  bool is_stopped = false;
};

/// What a caller has received so far.
struct Received {
  std::string text;
  error_code error;  ///< would_block while the connection is open.
};

[[nodiscard]] Received ReadReady(tcp::socket& caller) {
  Received received;
  caller.non_blocking(true);
  asio::read(caller, asio::dynamic_buffer(received.text), received.error);
  return received;
}

[[nodiscard]] bool HasStatus(const std::string& text, int status) {
  return text.rfind("HTTP/1.1 " + std::to_string(status), 0) == 0;
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_call_that_arrives_as_the_idle_time_ends_is_answered) {
  Serving serving;
  tcp::socket caller = serving.Connect();
  Serving::Write(caller, kRequest);
  std::this_thread::sleep_for(kIdleTimeout + milliseconds(50));
  // The loop finds the call and the end of the idle time together.
  serving.Turn();
  BOOST_REQUIRE(serving.replies.size() == 1);
  serving.replies.front()({200, "application/json", "{}"});
  serving.RunFor(kIdleTimeout * 2);
  error_code error;
  const std::string answer = Serving::ReadToEnd(caller, error);
  BOOST_TEST(HasStatus(answer, 200));
}

BOOST_AUTO_TEST_CASE(a_handler_can_tell_that_its_caller_has_gone) {
  Serving serving;
  tcp::socket caller = serving.Connect();
  tcp::socket pipelining = serving.Connect();
  Serving::Write(caller, kRequest);
  Serving::Write(pipelining, std::string(kRequest) + kRequest);
  serving.Turn();
  BOOST_REQUIRE(serving.replies.size() == 2U);
  BOOST_TEST(serving.replies[0].IsAwaited());
  BOOST_TEST(serving.replies[1].IsAwaited());
  caller.close();
  pipelining.close();
  BOOST_TEST(!serving.replies[0].IsAwaited());
  BOOST_TEST(!serving.replies[1].IsAwaited());
}

BOOST_AUTO_TEST_CASE(a_caller_refused_in_the_middle_of_a_body_can_send_it) {
  Serving serving;
  tcp::socket caller = serving.Connect();
  Serving::Write(caller, kLongCallHead);
  serving.RunFor(milliseconds(20));
  // The rest of the body crosses the answer. Many callers give up at the first
  // error of a write and never read the answer.
  for (int part = 0; part < 10; ++part) {
    error_code error;
    asio::write(caller, asio::buffer(std::string(20'000, 'x')), error);
    BOOST_TEST(!error.failed());
    serving.RunFor(milliseconds(20));
  }
  error_code error;
  const std::string answer = Serving::ReadToEnd(caller, error);
  BOOST_TEST(HasStatus(answer, 413));
  BOOST_TEST(error == asio::error::eof);
  BOOST_TEST(serving.replies.empty());
}

BOOST_AUTO_TEST_CASE(a_last_answer_before_an_unread_call_is_not_destroyed) {
  Serving serving;
  tcp::socket caller = serving.Connect(kSmallReceiveBuffer);
  Serving::Write(caller, kLastCall);
  serving.RunFor(milliseconds(20));
  BOOST_REQUIRE(serving.replies.size() == 1);
  Serving::Write(caller, kRequest);
  // Most of the answer is still in the kernel of the server when it closes.
  serving.replies.front()(
      {200, "application/json", std::string(kAnswerBytes, 'x')});
  serving.RunFor(milliseconds(100));
  error_code error;
  const std::string answer = Serving::ReadToEnd(caller, error);
  BOOST_TEST(HasStatus(answer, 200));
  BOOST_TEST(answer.size() > kAnswerBytes);
  BOOST_TEST(error == asio::error::eof);
  BOOST_TEST(serving.replies.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_caller_that_never_stops_sending_is_cut_off) {
  HttpServerLimits limits = ShortLimits();
  limits.max_linger_bytes = 1000;
  limits.linger_timeout = std::chrono::minutes(1);
  Serving serving(limits);
  tcp::socket caller = serving.Connect();
  Serving::Write(caller, kLongCallHead);
  serving.RunFor(milliseconds(20));
  for (int round = 0; round < 20; ++round) {
    Serving::Write(caller, std::string(1000, 'x'));
    serving.RunFor(milliseconds(5));
  }
  error_code error;
  asio::write(caller, asio::buffer(std::string("x")), error);
  BOOST_TEST(error.failed());
}

BOOST_AUTO_TEST_CASE(a_caller_that_stays_after_the_last_answer_is_cut_off) {
  HttpServerLimits limits = ShortLimits();
  limits.linger_timeout = milliseconds(50);
  Serving serving(limits);
  tcp::socket caller = serving.Connect();
  Serving::Write(caller, kLastCall);
  serving.RunFor(milliseconds(20));
  BOOST_REQUIRE(serving.replies.size() == 1);
  serving.replies.front()({200, "application/json", "{}"});
  serving.RunFor(milliseconds(200));
  error_code error;
  asio::write(caller, asio::buffer(std::string("x")), error);
  std::this_thread::sleep_for(milliseconds(50));
  asio::write(caller, asio::buffer(std::string("x")), error);
  BOOST_TEST(error.failed());
}

// ----------------------------------------------------------------- stopping

BOOST_AUTO_TEST_CASE(a_stopping_server_closes_connections_without_a_call) {
  Serving serving;
  tcp::socket caller = serving.Connect();
  serving.Stop();
  BOOST_TEST(!serving.is_stopped);
  serving.RunFor(kLeaveTimeout * 3);
  BOOST_TEST(serving.is_stopped);
  BOOST_TEST((ReadReady(caller).error == asio::error::eof));
}

BOOST_AUTO_TEST_CASE(a_stopping_server_answers_a_call_on_its_way) {
  Serving serving;
  tcp::socket caller = serving.Connect();
  serving.Stop();
  Serving::Write(caller, kRequest);
  serving.RunFor(milliseconds(20));
  BOOST_REQUIRE(serving.replies.size() == 1);
  serving.replies.front()({200, "application/json", "{}"});
  serving.RunFor(milliseconds(20));
  const Received received = ReadReady(caller);
  BOOST_TEST(HasStatus(received.text, 200));
  BOOST_TEST(received.text.find("Connection: close") != std::string::npos);
  BOOST_TEST((received.error == asio::error::eof));
  caller.close();
  serving.RunFor(milliseconds(20));
  BOOST_TEST(serving.is_stopped);
}

BOOST_AUTO_TEST_CASE(a_stopping_server_waits_for_the_answer_of_a_call) {
  Serving serving;
  tcp::socket caller = serving.Connect();
  Serving::Write(caller, kRequest);
  serving.RunFor(milliseconds(20));
  BOOST_REQUIRE(serving.replies.size() == 1);
  serving.Stop();
  serving.RunFor(kLeaveTimeout * 3);
  BOOST_TEST(!serving.is_stopped);
  serving.replies.front()({200, "application/json", "{}"});
  serving.RunFor(milliseconds(20));
  const Received received = ReadReady(caller);
  BOOST_TEST(HasStatus(received.text, 200));
  BOOST_TEST((received.error == asio::error::eof));
}

BOOST_AUTO_TEST_CASE(a_stopping_server_reads_the_rest_of_a_call) {
  Serving serving;
  tcp::socket caller = serving.Connect();
  const std::string request = kRequest;
  Serving::Write(caller, request.substr(0, 30));
  serving.RunFor(milliseconds(20));
  serving.Stop();
  serving.RunFor(kLeaveTimeout * 2);
  Serving::Write(caller, request.substr(30));
  serving.RunFor(milliseconds(20));
  BOOST_TEST(serving.replies.size() == 1);
}

BOOST_AUTO_TEST_CASE(a_stopping_server_waits_until_its_deadline) {
  Serving serving;
  tcp::socket caller = serving.Connect();
  Serving::Write(caller, kRequest);
  serving.RunFor(milliseconds(20));
  serving.Stop(milliseconds(100));
  serving.RunFor(milliseconds(150));
  BOOST_TEST(serving.is_stopped);
}

BOOST_AUTO_TEST_CASE(a_stopping_server_answers_connections_not_accepted_yet) {
  Serving serving;
  tcp::socket caller(serving.callers);
  caller.connect({asio::ip::make_address(OwnAddress()), kPort});
  Serving::Write(caller, kRequest);
  serving.Stop();
  serving.RunFor(milliseconds(20));
  BOOST_REQUIRE(serving.replies.size() == 1);
  serving.replies.front()({200, "application/json", "{}"});
  serving.RunFor(milliseconds(20));
  BOOST_TEST(HasStatus(ReadReady(caller).text, 200));
}

// A configuration is longer than the first read of its call.
BOOST_AUTO_TEST_CASE(a_long_call_that_arrives_as_the_idle_time_ends) {
  HttpServerLimits limits = ShortLimits();
  limits.max_body_bytes = 100'000;
  Serving serving(limits);
  tcp::socket caller = serving.Connect();
  Serving::Write(caller,
                 "PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 8000\r\n\r\n" +
                     std::string(8000, 'x'));
  std::this_thread::sleep_for(kIdleTimeout + milliseconds(50));
  serving.Turn();
  BOOST_REQUIRE(serving.replies.size() == 1);
  serving.replies.front()({200, "application/json", "{}"});
  serving.RunFor(kIdleTimeout * 2);
  error_code error;
  BOOST_TEST(HasStatus(Serving::ReadToEnd(caller, error), 200));
}

// The status of an answer that another host wrote ended the process.
BOOST_AUTO_TEST_CASE(an_answer_without_a_valid_status_is_an_error) {
  for (const int status : {5000, -1, 1}) {
    Serving serving;
    tcp::socket caller = serving.Connect();
    Serving::Write(caller, kLastCall);
    serving.RunFor(milliseconds(20));
    BOOST_REQUIRE(serving.replies.size() == 1);
    serving.replies.front()({status, "application/json", "{}"});
    serving.RunFor(milliseconds(20));
    BOOST_TEST(HasStatus(ReadReady(caller).text, 500));
  }
}
