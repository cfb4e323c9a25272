#define BOOST_TEST_MODULE exchange
#include "gooseberryturn/target/exchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

/// An exchange with a target over a real socket. The event loop runs only when
/// a test says so, which decides what the loop finds ready in one turn.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::target;  // NOLINT
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kDeadline(100);
constexpr milliseconds kMargin(50);

/// A started exchange and its target, which accepts connections in the kernel.
class Started {
 public:
  Started()
      : acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    Request request;
    request.path = "/order";
    request.body = "body";
    this->exchange = std::make_shared<Exchange>(
        this->context,
        Endpoint{"127.0.0.1", this->acceptor.local_endpoint().port()}, request,
        Clock::now() + kDeadline);
    this->exchange->on_head = [this](const ResponseHead& /*head*/) {
      this->has_head = true;
    };
    this->exchange->on_body = [](std::string_view /*bytes*/) {};
    this->exchange->on_done = [this](const Result<void>& result) {
      this->result = result;
    };
    this->exchange->Start();
  }

  void RunFor(milliseconds time) {
    this->context.restart();
    this->context.run_for(time);
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

  asio::io_context context;
  tcp::acceptor acceptor;
  std::optional<tcp::socket> accepted;
  std::shared_ptr<Exchange> exchange;
  std::optional<Result<void>> result;
  bool has_head = false;
};

}  // namespace

BOOST_AUTO_TEST_CASE(a_request_is_sent_before_its_deadline) {
  Started started;
  started.RunFor(kDeadline / 2);
  BOOST_TEST(started.Received().substr(0, 11) == "POST /order");
  started.RunFor(kDeadline);
  BOOST_REQUIRE(started.result.has_value());
  BOOST_REQUIRE(!started.result->has_value());
  BOOST_TEST((started.result->error().reason == Reason::kDeadline));
  BOOST_TEST((started.result->error().outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_request_is_not_sent_after_its_deadline) {
  Started started;
  std::this_thread::sleep_for(kDeadline + kMargin);
  // The loop finds the connection and the deadline together.
  started.RunFor(kDeadline);
  BOOST_TEST(started.Received().empty());
  BOOST_REQUIRE(started.result.has_value());
  BOOST_REQUIRE(!started.result->has_value());
  BOOST_TEST((started.result->error().reason == Reason::kDeadline));
  BOOST_TEST((started.result->error().outcome == Outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(a_head_that_breaks_off_is_not_an_answer) {
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
  for (std::size_t size = 0; size < head.size(); ++size) {
    Started started;
    started.RunFor(milliseconds(5));
    BOOST_TEST(!started.Received().empty());
    asio::write(*started.accepted, asio::buffer(head.substr(0, size)));
    error_code ignored;
    started.accepted->shutdown(tcp::socket::shutdown_send, ignored);
    started.RunFor(milliseconds(20));
    BOOST_TEST(!started.has_head, "a head of " << size << " bytes");
    BOOST_REQUIRE(started.result.has_value());
    BOOST_REQUIRE(!started.result->has_value());
    BOOST_TEST((started.result->error().outcome == Outcome::kUnknown));
  }
}
