#define BOOST_TEST_MODULE endless_bytes
#include "endless_bytes.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/direct/caller_connection.h"
#include "gooseberryturn/direct/http_server_session.h"
#include "gooseberryturn/direct/target_connection.h"
#include "gooseberryturn/entry/caller_session.h"
#include "gooseberryturn/target/exchange.h"

/// Every reader of HTTP, with peers whose messages don't end. Guards against
/// the failures of the review, cases 4 and 5: a long field after the last chunk
/// ended the process, and an endless one filled its memory.
using namespace gooseberryturn;  // NOLINT
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds kLimit(10);
/// What is read and dropped after a refusal, and what sockets take.
constexpr std::size_t kMaxTakenBytes = 24U * 1024U * 1024U;
constexpr char kAnswerLines[] = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\n";
constexpr char kRequestLines[] = "PUT /a HTTP/1.1\r\nHost: h\r\n";

void RunUntil(asio::io_context& context, const std::function<bool()>& is_over) {
  const TimePoint end = Clock::now() + kLimit;
  while (!is_over() && Clock::now() < end) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(20));
  }
}

/// A peer that accepts one connection and answers its request with a message.
class EndlessTarget {
 public:
  EndlessTarget(asio::io_context& context, const EndlessMessage& message)
      : acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        socket(context),
        sender(socket, kAnswerLines + message.begin, message.endless) {
    this->acceptor.async_accept(this->socket, [this](const error_code& error) {
      BOOST_REQUIRE(!error);
      this->socket.async_read_some(
          asio::buffer(this->request),
          [this](const error_code&, std::size_t) { this->sender.Start(); });
    });
  }
  [[nodiscard]] Endpoint endpoint() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  tcp::acceptor acceptor;
  tcp::socket socket;
  std::array<char, 4096> request = {};
  EndlessSender sender;
};

/// A caller that sends a message and reads what it gets until the connection
/// ends.
class EndlessCaller {
 public:
  EndlessCaller(asio::io_context& context, const tcp::endpoint& server,
                const EndlessMessage& message)
      : socket(context),
        sender(socket, kRequestLines + message.begin, message.endless) {
    this->socket.connect(server);
    this->sender.Start();
    this->Read();
  }

  tcp::socket socket;
  EndlessSender sender;
  std::string answer;
  bool has_ended = false;

 private:
  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->part),
        [this](const error_code& error, std::size_t size) {
          this->answer.append(this->part.data(), size);
          if (error) {
            this->has_ended = true;
          } else {
            this->Read();
          }
        });
  }

  std::array<char, 4096> part = {};
};

/// Bodies that are declared to be too long, or don't end. The first bytes
/// arrive with the head.
std::vector<EndlessMessage> EndlessBodies() {
  const std::string bytes(kEndlessPieceBytes, 'x');
  return {{"declared body", "Content-Length: 100000000\r\n\r\n" + bytes, bytes},
          {"chunked body", "Transfer-Encoding: chunked\r\n\r\n",
           "4000\r\n" + bytes + "\r\n"}};
}

void CheckRefused(const EndlessCaller& caller, const EndlessMessage& message,
                  const std::string& status = "431") {
  BOOST_TEST_CONTEXT(message.name) {
    BOOST_TEST(caller.answer.substr(0, 12) == "HTTP/1.1 " + status);
    BOOST_TEST(caller.has_ended);
    BOOST_TEST(caller.sender.sent_bytes < kMaxTakenBytes);
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_answer_that_does_not_end_is_invalid) {
  for (const EndlessMessage& message : EndlessMessages()) {
    asio::io_context context;
    EndlessTarget target(context, message);
    const std::shared_ptr<direct::TargetConnection> connection =
        std::make_shared<direct::TargetConnection>(context, target.endpoint());
    std::optional<direct::ExchangeEnd> end;
    direct::ExchangeHooks hooks;
    hooks.on_head = [](const direct::ResponseHead& /*head*/) {};
    hooks.on_body = [](std::string_view /*bytes*/) {};
    hooks.on_end = [&end](direct::ExchangeEnd how, const std::string& /*why*/) {
      end = how;
    };
    connection->Exchange("GET / HTTP/1.1\r\n\r\n", "Attempt-Id", "a1",
                         std::move(hooks));
    RunUntil(context, [&end] { return end.has_value(); });
    BOOST_TEST_CONTEXT(message.name) {
      BOOST_TEST((end == direct::ExchangeEnd::kInvalid));
      BOOST_TEST(!connection->is_reusable());
      BOOST_TEST(target.sender.sent_bytes < kMaxTakenBytes);
    }
    connection->Cancel();
  }
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_order_that_does_not_end_is_an_error) {
  std::vector<EndlessMessage> messages = EndlessMessages();
  for (const EndlessMessage& body : EndlessBodies()) {
    messages.push_back(body);
  }
  for (const EndlessMessage& message : messages) {
    asio::io_context context;
    EndlessTarget target(context, message);
    std::optional<Result<direct::HttpResponse>> response;
    direct::SendHttpRequest(context, target.endpoint(), {"GET", "/report", ""},
                            {}, Clock::now() + 2 * kLimit,
                            [&response](Result<direct::HttpResponse> received) {
                              response = std::move(received);
                            });
    RunUntil(context, [&response] { return response.has_value(); });
    BOOST_TEST_CONTEXT(message.name) {
      BOOST_REQUIRE(response.has_value());
      BOOST_TEST(!response->has_value());
      BOOST_TEST(target.sender.sent_bytes < kMaxTakenBytes);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_to_an_agent_that_does_not_end_is_an_error) {
  for (const EndlessMessage& message : EndlessMessages()) {
    asio::io_context context;
    EndlessTarget target(context, message);
    std::optional<Result<void>> result;
    const std::shared_ptr<target::Exchange> exchange =
        std::make_shared<target::Exchange>(context, target.endpoint(),
                                           target::Request{},
                                           Clock::now() + 2 * kLimit);
    exchange->on_head = [](const target::ResponseHead& /*head*/) {};
    exchange->on_body = [](std::string_view /*bytes*/) {};
    exchange->on_done = [&result](Result<void> done) {
      result = std::move(done);
    };
    exchange->Start();
    RunUntil(context, [&result] { return result.has_value(); });
    BOOST_TEST_CONTEXT(message.name) {
      BOOST_REQUIRE(result.has_value());
      BOOST_TEST(!result->has_value());
      BOOST_TEST(target.sender.sent_bytes < kMaxTakenBytes);
    }
  }
}

namespace {

/// Reads the message as the request of a caller.
void ReadAsRequest(const EndlessMessage& message, const std::string& status) {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  EndlessCaller caller(context, acceptor.local_endpoint(), message);
  const std::shared_ptr<direct::CallerConnection> connection =
      std::make_shared<direct::CallerConnection>(acceptor.accept(),
                                                 direct::CallerLimits());
  int requests = 0;
  connection->on_request =
      [&requests](const std::shared_ptr<direct::CallerConnection>& /*from*/,
                  const direct::CallerMessage& /*message*/,
                  TimePoint /*received_at*/) { requests += 1; };
  connection->Start();
  RunUntil(context, [&caller] { return caller.has_ended; });
  CheckRefused(caller, message, status);
  BOOST_TEST(requests == 0);
}

/// Reads the message as a call to a control host.
void ReadAsCall(const EndlessMessage& message, const std::string& status) {
  asio::io_context context;
  tcp::acceptor acceptor(context,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  EndlessCaller caller(context, acceptor.local_endpoint(), message);
  int calls = 0;
  const std::shared_ptr<direct::AsyncHttpServer::Handler> handler =
      std::make_shared<direct::AsyncHttpServer::Handler>(
          [&calls](const direct::HttpRequest& /*call*/,
                   const direct::AsyncHttpServer::Reply& /*reply*/) {
            calls += 1;
          });
  direct::HttpServerLimits limits;
  limits.max_body_bytes = 1024U * 1024U;
  std::make_shared<direct::HttpServerSession>(acceptor.accept(), handler,
                                              limits)
      ->Start();
  RunUntil(context, [&caller] { return caller.has_ended; });
  CheckRefused(caller, message, status);
  BOOST_TEST(calls == 0);
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_request_that_does_not_end_is_refused) {
  for (const EndlessMessage& message : EndlessMessages()) {
    ReadAsRequest(message, "431");
  }
}

BOOST_AUTO_TEST_CASE(a_call_to_a_control_host_that_does_not_end_is_refused) {
  for (const EndlessMessage& message : EndlessMessages()) {
    ReadAsCall(message, "431");
  }
}

// Requests were refused before too; answers to orders and probes were not, see
// above.
BOOST_AUTO_TEST_CASE(a_body_over_the_limit_is_refused) {
  for (const EndlessMessage& message : EndlessBodies()) {
    ReadAsRequest(message, "413");
    ReadAsCall(message, "413");
  }
}

BOOST_AUTO_TEST_CASE(a_request_with_agents_that_does_not_end_is_refused) {
  for (const EndlessMessage& message : EndlessMessages()) {
    asio::io_context context;
    observe::Metrics metrics;
    tcp::acceptor acceptor(
        context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    EndlessCaller caller(context, acceptor.local_endpoint(), message);
    entry::CallerLimits limits;
    limits.max_header_bytes = 16U * 1024U;
    limits.max_body_bytes = 1024U * 1024U;
    limits.header_timeout = 2 * kLimit;
    limits.write_timeout = kLimit;
    const std::shared_ptr<entry::CallerSession> session =
        std::make_shared<entry::CallerSession>(acceptor.accept(), limits,
                                               metrics);
    int requests = 0;
    session->on_request =
        [&requests](const std::shared_ptr<entry::CallerSession>& /*from*/,
                    const entry::CallerRequest& /*request*/) { requests += 1; };
    session->Start();
    RunUntil(context, [&caller] { return caller.has_ended; });
    BOOST_TEST_CONTEXT(message.name) {
      BOOST_TEST(caller.answer.substr(0, 10) == "HTTP/1.1 4");
      BOOST_TEST(caller.has_ended);
      BOOST_TEST(caller.sender.sent_bytes < kMaxTakenBytes);
    }
    BOOST_TEST(requests == 0);
  }
}
