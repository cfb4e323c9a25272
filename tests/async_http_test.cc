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
constexpr milliseconds kIdleTimeout(100);
constexpr std::uint16_t kPort = 7399;

[[nodiscard]] HttpServerLimits ShortLimits() {
  HttpServerLimits limits;
  limits.max_body_bytes = 1024;
  limits.idle_timeout = kIdleTimeout;
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

  [[nodiscard]] tcp::socket Connect() {
    tcp::socket caller(this->callers);
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
};

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
