#define BOOST_TEST_MODULE caller_session
#include "gooseberryturn/entry/caller_session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

/// A caller's session over a real socket. The event loop runs only when a test
/// says so, which decides what the loop finds ready in one turn.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::entry;  // NOLINT
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kHeaderTimeout(100);
constexpr milliseconds kIdleTimeout(300);
constexpr milliseconds kMargin(50);
constexpr std::size_t kMaxBodyBytes = 512U * 1024U;
constexpr std::size_t kLargeBytes = 8U * 1024U * 1024U;
constexpr char kOk[] = "HTTP/1.1 200 OK\r\n";

CallerLimits TestLimits() {
  CallerLimits limits;
  limits.max_header_bytes = 4096;
  limits.max_body_bytes = kMaxBodyBytes;
  limits.header_timeout = kHeaderTimeout;
  limits.idle_timeout = kIdleTimeout;
  limits.write_timeout = std::chrono::seconds(5);
  return limits;
}

std::string MakeHead(std::size_t body_bytes) {
  return "POST /a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n";
}

/// A session with its caller's side. Requests are answered at once, unless the
/// answer is empty.
class Connected {
 public:
  Connected()
      : acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        caller(context) {
    this->caller.connect(this->acceptor.local_endpoint());
    const std::shared_ptr<CallerSession> accepted =
        std::make_shared<CallerSession>(this->acceptor.accept(), TestLimits(),
                                        this->metrics);
    accepted->on_request = [this](const std::shared_ptr<CallerSession>& from,
                                  const CallerRequest& /*request*/) {
      this->requests += 1;
      this->session = from;
      from->on_disconnect = [this] { this->disconnects += 1; };
      if (!this->answer.empty()) {
        from->SendAnswer(200, "text/plain", this->answer, "");
      }
    };
    accepted->Start();
    this->Turn();
  }

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
  /// Runs the loop and reads until `size` bytes came, the connection ended or
  /// `limit` has passed; `error` says how the connection ended.
  std::string Read(std::size_t size, milliseconds limit, error_code& error) {
    const TimePoint give_up_at = Clock::now() + limit;
    std::string text;
    std::string part(64U * 1024U, '\0');
    this->caller.non_blocking(true);
    error = {};
    while (text.size() < size && Clock::now() < give_up_at) {
      this->RunFor(milliseconds(1));
      const std::size_t read =
          this->caller.read_some(asio::buffer(part), error);
      if (error == asio::error::would_block) {
        error = {};
      } else if (error) {
        break;
      }
      text.append(part, 0, read);
    }
    return text;
  }

  asio::io_context context;
  observe::Metrics metrics;
  tcp::acceptor acceptor;
  tcp::socket caller;
  std::shared_ptr<CallerSession> session;  ///< From its first request on.
  std::string answer = "done";
  int requests = 0;
  int disconnects = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(an_answer_begun_as_the_read_time_ends_is_whole) {
  Connected connected;
  connected.answer = std::string(kLargeBytes, 'a');
  connected.Write(MakeHead(4) + "bo");
  connected.Turn();
  connected.Write("dy");
  std::this_thread::sleep_for(kHeaderTimeout + kMargin);
  // The loop finds the last bytes and the end of the read time together.
  connected.Turn();
  BOOST_TEST(connected.requests == 1);
  error_code error;
  const std::string text =
      connected.Read(kLargeBytes, std::chrono::seconds(10), error);
  BOOST_TEST(connected.disconnects == 0);
  BOOST_TEST(text.size() >= kLargeBytes);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_is_noticed_after_a_late_request) {
  Connected connected;
  connected.answer.clear();
  connected.Write(MakeHead(4) + "bo");
  connected.Turn();
  connected.Write("dy");
  std::this_thread::sleep_for(kHeaderTimeout + kMargin);
  connected.Turn();
  BOOST_TEST(connected.requests == 1);
  BOOST_TEST(connected.disconnects == 0);
  connected.caller.close();
  connected.RunFor(milliseconds(200));
  BOOST_TEST(connected.disconnects == 1);
}

BOOST_AUTO_TEST_CASE(a_request_begun_as_the_idle_time_ends_has_its_own_time) {
  Connected connected;
  connected.Write(MakeHead(4) + "body");
  error_code error;
  connected.Read(sizeof(kOk), milliseconds(200), error);
  const std::string request = MakeHead(4) + "body";
  connected.Write(request.substr(0, 10));
  std::this_thread::sleep_for(kIdleTimeout + kMargin);
  // The loop finds the first bytes and the end of the idle time together.
  connected.Turn();
  connected.Write(request.substr(10));
  const std::string text =
      connected.Read(sizeof(kOk) - 1, milliseconds(500), error);
  BOOST_TEST(connected.requests == 2);
  BOOST_TEST(text.substr(0, sizeof(kOk) - 1) == kOk);
}

BOOST_AUTO_TEST_CASE(a_request_that_arrives_as_the_idle_time_ends_is_answered) {
  Connected connected;
  connected.Write(MakeHead(4) + "body");
  error_code error;
  connected.Read(sizeof(kOk), milliseconds(200), error);
  // Expires in the same turn as the idle time and is served before it.
  asio::steady_timer sender(connected.context);
  sender.expires_after(kIdleTimeout / 2);
  sender.async_wait([&connected](const error_code& /*error*/) {
    connected.Write(MakeHead(4) + "body");
  });
  std::this_thread::sleep_for(kIdleTimeout + kMargin);
  connected.Turn();
  const std::string text =
      connected.Read(sizeof(kOk) - 1, milliseconds(500), error);
  BOOST_TEST(connected.requests == 2);
  BOOST_TEST(text.substr(0, sizeof(kOk) - 1) == kOk);
}

// Between the end of the idle time and the close of the connection.
BOOST_AUTO_TEST_CASE(a_request_that_arrives_before_an_idle_close_is_answered) {
  Connected connected;
  connected.Write(MakeHead(4) + "body");
  error_code error;
  connected.Read(sizeof(kOk), milliseconds(200), error);
  std::this_thread::sleep_for(kIdleTimeout + kMargin);
  connected.context.restart();
  connected.context.poll_one();
  connected.Write(MakeHead(4) + "body");
  connected.Turn();
  const std::string text =
      connected.Read(sizeof(kOk) - 1, milliseconds(500), error);
  BOOST_TEST(connected.requests == 2);
  BOOST_TEST(text.substr(0, sizeof(kOk) - 1) == kOk);
}

BOOST_AUTO_TEST_CASE(an_idle_session_is_closed_when_its_time_ends) {
  Connected connected;
  connected.Write(MakeHead(4) + "body");
  error_code error;
  connected.Read(sizeof(kOk), milliseconds(200), error);
  connected.Read(1, std::chrono::seconds(5), error);
  BOOST_TEST(error == asio::error::eof);
}

// The end of the read time falls between two reads of one request.
BOOST_AUTO_TEST_CASE(a_slow_request_is_refused_though_bytes_arrive_at_its_end) {
  Connected connected;
  connected.Write(MakeHead(kMaxBodyBytes) + "b");
  connected.Turn();
  connected.Write(std::string(256U * 1024U, 'b'));
  std::this_thread::sleep_for(kHeaderTimeout + kMargin);
  connected.Turn();
  error_code error;
  const std::string text =
      connected.Read(kLargeBytes, std::chrono::seconds(2), error);
  BOOST_TEST(connected.requests == 0);
  BOOST_TEST(text.substr(0, 12) == "HTTP/1.1 408");
}

// Closing a socket with unread bytes resets the connection: the caller's next
// write fails, and an answer on its way can be lost.
BOOST_AUTO_TEST_CASE(a_caller_that_sends_its_whole_body_gets_the_refusal) {
  constexpr std::size_t kPartBytes = 64U * 1024U;
  constexpr std::size_t kBodyBytes = kMaxBodyBytes + 4 * kPartBytes;
  Connected connected;
  connected.Write(MakeHead(kBodyBytes));
  connected.Turn();
  error_code error;
  std::size_t sent = 0;
  while (!error && sent < kBodyBytes) {
    sent += asio::write(connected.caller,
                        asio::buffer(std::string(kPartBytes, 'b')), error);
    connected.Turn();
  }
  BOOST_TEST(!error);
  BOOST_TEST(sent == kBodyBytes);
  const std::string text =
      connected.Read(kLargeBytes, std::chrono::seconds(1), error);
  BOOST_TEST(connected.requests == 0);
  BOOST_TEST(text.substr(0, 12) == "HTTP/1.1 413");
  BOOST_TEST(error == asio::error::eof);
}

BOOST_AUTO_TEST_CASE(a_refused_caller_that_sends_without_end_is_closed) {
  constexpr std::size_t kTooManyBytes = 32U * 1024U * 1024U;
  Connected connected;
  connected.Write(MakeHead(2 * kTooManyBytes));
  connected.Turn();
  const std::string part(64U * 1024U, 'b');
  error_code error;
  std::size_t sent = 0;
  while (!error && sent < kTooManyBytes) {
    sent += asio::write(connected.caller, asio::buffer(part), error);
    connected.Turn();
  }
  BOOST_TEST(sent < kTooManyBytes);
}

BOOST_AUTO_TEST_CASE(a_refused_caller_that_stays_is_closed) {
  Connected connected;
  connected.Write(MakeHead(kLargeBytes) + std::string(1024, 'b'));
  error_code error;
  connected.Read(kLargeBytes, std::chrono::seconds(1), error);
  const TimePoint give_up_at = Clock::now() + std::chrono::seconds(10);
  while (connected.metrics.Get(observe::Metric::kConnections) > 0 &&
         Clock::now() < give_up_at) {
    connected.Write("b");
    connected.RunFor(milliseconds(50));
  }
  BOOST_TEST(connected.metrics.Get(observe::Metric::kConnections) == 0);
}

// A caller sent its next request on a connection that was kept by its answer
// and closed after it by a stop.
BOOST_AUTO_TEST_CASE(a_stop_is_said_in_the_head_of_the_last_answer) {
  Connected connected;
  connected.answer.clear();
  connected.Write(MakeHead(0));
  connected.Turn();
  bool is_closing = false;
  connected.session->is_closing = [&is_closing] { return is_closing; };
  connected.session->StartStream(200, "text/plain");
  is_closing = true;
  connected.session->FinishStream();
  connected.RunFor(kMargin);
  connected.answer = "last";
  connected.Write(MakeHead(0));
  error_code error;
  const std::string answers = connected.Read(1000, kIdleTimeout, error);
  BOOST_TEST(connected.requests == 2);
  BOOST_TEST(answers.find("Connection: keep-alive") != std::string::npos);
  BOOST_TEST(answers.find("Connection: close") != std::string::npos);
  BOOST_TEST((error == asio::error::eof));
}

BOOST_AUTO_TEST_CASE(an_answer_of_a_leaving_entry_says_that_it_closes) {
  Connected connected;
  connected.answer.clear();
  connected.Write(MakeHead(4) + "body");
  connected.Turn();
  connected.session->is_closing = [] { return true; };
  connected.session->SendAnswer(200, "text/plain", "done", "");
  error_code error;
  const std::string text =
      connected.Read(kLargeBytes, milliseconds(300), error);
  BOOST_TEST(text.find("Connection: close\r\n") != std::string::npos);
  BOOST_TEST(error == asio::error::eof);
}

// A process that stops earlier would drop the rest of the answer.
BOOST_AUTO_TEST_CASE(a_request_ends_when_its_answer_is_written) {
  Connected connected;
  connected.answer.clear();
  connected.Write(MakeHead(4) + "body");
  connected.Turn();
  int ends = 0;
  connected.session->on_request_ended = [&ends] { ends += 1; };
  connected.session->SendAnswer(200, "text/plain",
                                std::string(kLargeBytes, 'a'), "");
  connected.RunFor(milliseconds(50));
  BOOST_TEST(ends == 0);
  error_code error;
  connected.Read(kLargeBytes, std::chrono::seconds(10), error);
  connected.RunFor(milliseconds(50));
  BOOST_TEST(ends == 1);
  connected.caller.close();
  connected.RunFor(milliseconds(50));
  BOOST_TEST(ends == 1);
}

BOOST_AUTO_TEST_CASE(a_request_ends_when_its_caller_leaves) {
  Connected connected;
  connected.answer.clear();
  connected.Write(MakeHead(4) + "body");
  connected.Turn();
  int ends = 0;
  connected.session->on_request_ended = [&ends] { ends += 1; };
  connected.caller.close();
  connected.RunFor(milliseconds(50));
  BOOST_TEST(ends == 1);
}

BOOST_AUTO_TEST_CASE(a_close_that_no_flow_is_told_of_is_counted) {
  for (const bool has_flow : {true, false}) {
    Connected connected;
    connected.answer.clear();
    connected.Write(MakeHead(4) + "body");
    connected.Turn();
    if (!has_flow) {
      connected.session->on_disconnect = nullptr;
    }
    connected.caller.close();
    connected.RunFor(milliseconds(50));
    BOOST_TEST(connected.metrics.Get(observe::Metric::kClosesNotReported) ==
               (has_flow ? 0 : 1));
    connected.session = nullptr;
    connected.RunFor(kMargin);
    BOOST_TEST(connected.metrics.Get(observe::Metric::kClosesNotReported) ==
               (has_flow ? 0 : 1));
  }
}

BOOST_AUTO_TEST_CASE(a_session_that_is_dropped_during_a_request_is_counted) {
  Connected connected;
  connected.answer.clear();
  connected.Write(MakeHead(4) + "body");
  connected.Turn();
  connected.session = nullptr;
  connected.RunFor(kMargin);
  BOOST_TEST(connected.metrics.Get(observe::Metric::kConnections) == 0);
  BOOST_TEST(connected.metrics.Get(observe::Metric::kClosesNotReported) == 1);
}

BOOST_AUTO_TEST_CASE(answers_and_refusals_count_as_no_untold_close) {
  Connected connected;
  connected.Write(MakeHead(4) + "body" + "no request\r\n\r\n");
  error_code error;
  connected.Read(kLargeBytes, std::chrono::seconds(2), error);
  connected.caller.close();
  connected.session = nullptr;
  connected.RunFor(kMargin);
  BOOST_TEST(connected.requests == 1);
  BOOST_TEST(connected.metrics.Get(observe::Metric::kConnections) == 0);
  BOOST_TEST(connected.metrics.Get(observe::Metric::kClosesNotReported) == 0);
}

// The rest of an answer whose caller ended its sending side meanwhile was lost.
BOOST_AUTO_TEST_CASE(
    a_caller_that_ends_its_sending_side_gets_its_whole_answer) {
  Connected connected;
  connected.answer = std::string(10'000'000, 'x');
  connected.Write(MakeHead(4) + "body");
  connected.Turn();
  connected.caller.shutdown(tcp::socket::shutdown_send);
  connected.Turn();
  error_code error;
  const std::string text =
      connected.Read(2 * connected.answer.size(), milliseconds(10'000), error);
  BOOST_TEST((error == asio::error::eof));
  BOOST_TEST(text.size() > connected.answer.size());
}
