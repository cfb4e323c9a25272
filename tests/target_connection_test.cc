#define BOOST_TEST_MODULE target_connection
#include "gooseberryturn/direct/target_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>

/// A connection to a target that sends what belongs to no request.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr char kIdHeader[] = "Attempt-Id";
constexpr std::size_t kMaxSentBytes = 8U * 1024U * 1024U;

/// Answers a request with fixed bytes, and then again and again with others.
class WrongTarget {
 public:
  WrongTarget(asio::io_context& context, std::string first, std::string endless)
      : acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        socket(context),
        first(std::move(first)),
        endless(std::move(endless)) {
    this->acceptor.async_accept(this->socket, [this](const error_code& error) {
      if (!error) {
        this->ReadRequest();
      }
    });
  }

  [[nodiscard]] Endpoint endpoint() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  std::size_t sent_bytes = 0;  ///< Of the endless part.
  int requests = 0;
  /// Sent for each request from the second one on, instead of `first`.
  std::string next;

 private:
  void ReadRequest() {
    asio::async_read_until(this->socket, this->input, "\r\n\r\n",
                           [this](const error_code& error, std::size_t size) {
                             if (error) {
                               return;
                             }
                             this->input.consume(size);
                             this->requests += 1;
                             const std::string& answer =
                                 this->requests == 1 ? this->first : this->next;
                             asio::async_write(
                                 this->socket, asio::buffer(answer),
                                 [this](const error_code& failed, std::size_t) {
                                   if (!failed) {
                                     this->Continue();
                                   }
                                 });
                           });
  }
  void Continue() {
    if (this->endless.empty()) {
      this->ReadRequest();
      return;
    }
    asio::async_write(this->socket, asio::buffer(this->endless),
                      [this](const error_code& error, std::size_t size) {
                        this->sent_bytes += size;
                        if (!error && this->sent_bytes < kMaxSentBytes) {
                          this->Continue();
                        }
                      });
  }

  tcp::acceptor acceptor;
  tcp::socket socket;
  asio::streambuf input;
  std::string first;
  std::string endless;
};

/// What one exchange delivered.
struct Outcome {
  std::optional<ExchangeEnd> end;
  std::string body;
};

Outcome Exchange(asio::io_context& context,
                 const std::shared_ptr<TargetConnection>& connection,
                 const std::string& id) {
  Outcome outcome;
  ExchangeHooks hooks;
  hooks.on_head = [](const ResponseHead& /*head*/) {};
  hooks.on_body = [&outcome](std::string_view bytes) { outcome.body += bytes; };
  hooks.on_end = [&outcome](ExchangeEnd end, const std::string& /*why*/) {
    outcome.end = end;
  };
  connection->Exchange("GET / HTTP/1.1\r\n\r\n", kIdHeader, id,
                       std::move(hooks));
  const TimePoint limit = Clock::now() + std::chrono::seconds(5);
  while (!outcome.end.has_value() && Clock::now() < limit) {
    context.run_one_for(std::chrono::milliseconds(50));
  }
  if (!outcome.end.has_value()) {
    connection->Cancel();
  }
  return outcome;
}

/// A target whose connections are accepted and served only when a test says so.
class HeldTarget {
 public:
  explicit HeldTarget(asio::io_context& context)
      : acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {}

  [[nodiscard]] Endpoint endpoint() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }
  void Accept() { this->accepted = this->acceptor.accept(); }
  /// Bytes that have arrived until now.
  std::string Received() {
    error_code error;
    std::string text(4096, '\0');
    this->accepted->non_blocking(true);
    text.resize(this->accepted->read_some(asio::buffer(text), error));
    return text;
  }
  void Send(const std::string& bytes) {
    asio::write(*this->accepted, asio::buffer(bytes));
  }

  tcp::acceptor acceptor;
  std::optional<tcp::socket> accepted;
};

std::string MakeAnswer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\n" + std::string(kIdHeader) + ": " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

BOOST_AUTO_TEST_CASE(interim_answers_without_end_are_invalid) {
  asio::io_context context;
  WrongTarget target(context, "HTTP/1.1 100 Continue\r\n\r\n",
                     "HTTP/1.1 100 Continue\r\n\r\n");
  const std::shared_ptr<TargetConnection> connection =
      std::make_shared<TargetConnection>(context, target.endpoint());
  const Outcome outcome = Exchange(context, connection, "a");
  BOOST_REQUIRE(outcome.end.has_value());
  BOOST_TEST((*outcome.end == ExchangeEnd::kInvalid));
  BOOST_TEST(target.sent_bytes < kMaxSentBytes / 8);
}

BOOST_AUTO_TEST_CASE(a_head_without_end_is_invalid) {
  asio::io_context context;
  WrongTarget target(context, "HTTP/1.1 200 OK\r\n",
                     "Filler: " + std::string(1000, 'x') + "\r\n");
  const std::shared_ptr<TargetConnection> connection =
      std::make_shared<TargetConnection>(context, target.endpoint());
  const Outcome outcome = Exchange(context, connection, "a");
  BOOST_REQUIRE(outcome.end.has_value());
  BOOST_TEST((*outcome.end == ExchangeEnd::kInvalid));
  BOOST_TEST(target.sent_bytes < kMaxSentBytes / 8);
}

BOOST_AUTO_TEST_CASE(an_answer_of_another_request_without_end_is_invalid) {
  asio::io_context context;
  const std::string chunk = "400\r\n" + std::string(1024, 'x') + "\r\n";
  WrongTarget target(context,
                     "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n",
                     chunk);
  const std::shared_ptr<TargetConnection> connection =
      std::make_shared<TargetConnection>(context, target.endpoint());
  const Outcome outcome = Exchange(context, connection, "a");
  BOOST_REQUIRE(outcome.end.has_value());
  BOOST_TEST((*outcome.end == ExchangeEnd::kInvalid));
  BOOST_TEST(outcome.body.empty());
  BOOST_TEST(target.sent_bytes < kMaxSentBytes / 2);
}

// A second copy of the first answer arrives before the answer to the next
// request on the same connection.
BOOST_AUTO_TEST_CASE(a_second_copy_of_an_answer_reaches_nobody) {
  asio::io_context context;
  WrongTarget target(context, MakeAnswer("a", "first"), "");
  target.next = MakeAnswer("a", "first") + MakeAnswer("b", "second");
  const std::shared_ptr<TargetConnection> connection =
      std::make_shared<TargetConnection>(context, target.endpoint());
  const Outcome first = Exchange(context, connection, "a");
  BOOST_TEST(first.body == "first");
  BOOST_REQUIRE(connection->is_reusable());
  const Outcome second = Exchange(context, connection, "b");
  BOOST_REQUIRE(second.end.has_value());
  BOOST_TEST((*second.end == ExchangeEnd::kComplete));
  BOOST_TEST(second.body == "second");
  // The target is out of step, so the connection is not used again.
  BOOST_TEST(!connection->is_reusable());
}

// A refusal of an earlier request promises that that one has not run. Taken for
// the next request's, it would be a false promise.
BOOST_AUTO_TEST_CASE(a_second_copy_of_a_refusal_is_not_the_next_answer) {
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" +
      std::string(kIdHeader) + ": a\r\nContent-Length: 0\r\n\r\n";
  {
    asio::io_context context;
    WrongTarget target(context, refusal, "");
    target.next = refusal + MakeAnswer("b", "second");
    const std::shared_ptr<TargetConnection> connection =
        std::make_shared<TargetConnection>(context, target.endpoint());
    (void)Exchange(context, connection, "a");
    BOOST_REQUIRE(connection->is_reusable());
    const Outcome second = Exchange(context, connection, "b");
    BOOST_REQUIRE(second.end.has_value());
    BOOST_TEST((*second.end == ExchangeEnd::kComplete));
    BOOST_TEST(second.body == "second");
    BOOST_TEST(!connection->is_reusable());
  }
  // Only copies come: the request may have run, so no answer is reported.
  asio::io_context context;
  WrongTarget target(context, refusal, "");
  target.next = refusal + refusal;
  const std::shared_ptr<TargetConnection> connection =
      std::make_shared<TargetConnection>(context, target.endpoint());
  (void)Exchange(context, connection, "a");
  const Outcome second = Exchange(context, connection, "b");
  BOOST_REQUIRE(second.end.has_value());
  BOOST_TEST((*second.end == ExchangeEnd::kInvalid));
}

BOOST_AUTO_TEST_CASE(a_head_that_breaks_off_is_not_an_answer) {
  const std::string answer = MakeAnswer("a", "body");
  const std::size_t head_size = answer.find("body");
  for (std::size_t size = 0; size < head_size; ++size) {
    asio::io_context context;
    HeldTarget target(context);
    const std::shared_ptr<TargetConnection> connection =
        std::make_shared<TargetConnection>(context, target.endpoint());
    bool has_head = false;
    std::optional<ExchangeEnd> end;
    ExchangeHooks hooks;
    hooks.on_head = [&has_head](const ResponseHead& /*head*/) {
      has_head = true;
    };
    hooks.on_body = [](std::string_view /*bytes*/) {};
    hooks.on_end = [&end](ExchangeEnd ended, const std::string& /*why*/) {
      end = ended;
    };
    connection->Exchange("GET / HTTP/1.1\r\n\r\n", kIdHeader, "a",
                         std::move(hooks));
    context.run_for(std::chrono::milliseconds(5));
    target.Accept();
    target.Send(answer.substr(0, size));
    error_code ignored;
    target.accepted->shutdown(tcp::socket::shutdown_send, ignored);
    context.restart();
    const TimePoint limit = Clock::now() + std::chrono::seconds(5);
    while (!end.has_value() && Clock::now() < limit) {
      context.run_one_for(std::chrono::milliseconds(50));
    }
    BOOST_TEST(!has_head, "a head of " << size << " bytes");
    BOOST_REQUIRE(end.has_value());
    BOOST_TEST((*end == ExchangeEnd::kCut), "a head of " << size << " bytes");
  }
}

BOOST_AUTO_TEST_CASE(bytes_behind_an_answer_close_the_connection) {
  asio::io_context context;
  WrongTarget target(context, MakeAnswer("a", "first") + MakeAnswer("a", "x"),
                     "");
  const std::shared_ptr<TargetConnection> connection =
      std::make_shared<TargetConnection>(context, target.endpoint());
  const Outcome first = Exchange(context, connection, "a");
  BOOST_TEST(first.body == "first");
  BOOST_TEST(!connection->is_reusable());
}

BOOST_AUTO_TEST_CASE(an_answer_that_breaks_off_is_not_complete) {
  asio::io_context context;
  WrongTarget target(context,
                     "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n"
                     "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                     "not a chunk\r\n");
  const std::shared_ptr<TargetConnection> connection =
      std::make_shared<TargetConnection>(context, target.endpoint());
  const Outcome outcome = Exchange(context, connection, "a");
  BOOST_REQUIRE(outcome.end.has_value());
  BOOST_TEST((*outcome.end == ExchangeEnd::kInvalid));
}

BOOST_AUTO_TEST_CASE(a_request_is_not_sent_after_its_deadline) {
  constexpr std::chrono::milliseconds kDeadline(100);
  asio::io_context context;
  HeldTarget target(context);
  const std::shared_ptr<TargetConnection> connection =
      std::make_shared<TargetConnection>(context, target.endpoint());
  std::optional<ExchangeEnd> end;
  ExchangeHooks hooks;
  hooks.on_end = [&end](ExchangeEnd ended, const std::string& /*why*/) {
    end = ended;
  };
  hooks.send_by = Clock::now() + kDeadline;
  connection->Exchange("GET / HTTP/1.1\r\n\r\n", kIdHeader, "a",
                       std::move(hooks));
  std::this_thread::sleep_for(kDeadline * 2);
  // The loop finds the connection after the deadline.
  context.run_for(kDeadline);
  target.Accept();
  BOOST_TEST(target.Received().empty());
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST((*end == ExchangeEnd::kNotSent));
}

BOOST_AUTO_TEST_CASE(a_late_request_is_not_sent_on_an_idle_connection_either) {
  asio::io_context context;
  HeldTarget target(context);
  const std::shared_ptr<TargetConnection> connection =
      std::make_shared<TargetConnection>(context, target.endpoint());
  std::optional<ExchangeEnd> end;
  const auto make_hooks = [&end] {
    ExchangeHooks hooks;
    hooks.on_head = [](const ResponseHead& /*head*/) {};
    hooks.on_body = [](std::string_view /*bytes*/) {};
    hooks.on_end = [&end](ExchangeEnd ended, const std::string& /*why*/) {
      end = ended;
    };
    return hooks;
  };
  connection->Exchange("GET / HTTP/1.1\r\n\r\n", kIdHeader, "a", make_hooks());
  context.run_for(std::chrono::milliseconds(50));
  target.Accept();
  BOOST_TEST(!target.Received().empty());
  target.Send(MakeAnswer("a", "first"));
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  BOOST_REQUIRE(end.has_value());
  BOOST_REQUIRE(connection->is_reusable());
  end.reset();
  ExchangeHooks late = make_hooks();
  late.send_by = Clock::now();
  connection->Exchange("GET / HTTP/1.1\r\n\r\n", kIdHeader, "b",
                       std::move(late));
  // Hooks are never called before Exchange has returned.
  BOOST_TEST(!end.has_value());
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  BOOST_TEST(target.Received().empty());
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST((*end == ExchangeEnd::kNotSent));
}

BOOST_AUTO_TEST_CASE(a_connection_that_the_target_has_closed_is_not_used) {
  asio::io_context context;
  HeldTarget target(context);
  TargetConnectionPool pool(context);
  const std::shared_ptr<TargetConnection> connection =
      pool.Acquire("a", target.endpoint());
  std::optional<ExchangeEnd> end;
  const auto make_hooks = [&end] {
    ExchangeHooks hooks;
    hooks.on_head = [](const ResponseHead& /*head*/) {};
    hooks.on_body = [](std::string_view /*bytes*/) {};
    hooks.on_end = [&end](ExchangeEnd ended, const std::string& /*why*/) {
      end = ended;
    };
    return hooks;
  };
  connection->Exchange("GET / HTTP/1.1\r\n\r\n", kIdHeader, "a", make_hooks());
  context.run_for(std::chrono::milliseconds(50));
  target.Accept();
  target.Send(MakeAnswer("a", "first"));
  BOOST_TEST(!target.Received().empty());
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  BOOST_REQUIRE(end.has_value());
  pool.Release("a", connection, 1);
  context.restart();
  context.poll();
  // The loop has not run since the target closed the connection.
  target.accepted->close();
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  end.reset();
  const std::shared_ptr<TargetConnection> next =
      pool.Acquire("a", target.endpoint());
  BOOST_TEST(next != connection);
  next->Exchange("GET / HTTP/1.1\r\n\r\n", kIdHeader, "b", make_hooks());
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  BOOST_REQUIRE(!end.has_value());
  target.Accept();
  target.Send(MakeAnswer("b", "second"));
  context.restart();
  context.run_for(std::chrono::milliseconds(50));
  BOOST_REQUIRE(end.has_value());
  BOOST_TEST((*end == ExchangeEnd::kComplete));
}
