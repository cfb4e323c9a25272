#define BOOST_TEST_MODULE platform_stop
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "platform_fake_target.h"
#include "platform_fleet.h"

/// Requests that an entry or its target may not finish, with the real programs.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

constexpr int kLongMs = 20'000;
constexpr int kShortMs = 500;
constexpr std::chrono::milliseconds kSilence(1200);

/// A fleet with one group of two engines and one plain target.
class ServingFleet : public PlatformFleet {
 public:
  explicit ServingFleet(int net) : PlatformFleet(net) {
    this->PutConfiguration(1, kLongMs);
    this->plain = std::make_unique<FakeTarget>(
        "p-1", this->EndpointAt(20, 9000), this->ControlEndpoint(1), "plain");
    for (int number = 1; number <= 2; ++number) {
      this->engines.push_back(std::make_unique<FakeTarget>(
          "e-" + std::to_string(number), this->EndpointAt(30 + number, 9000),
          this->ControlEndpoint(number), "engines"));
    }
    BOOST_REQUIRE(Eventually([this] {
      const Answer stream = this->SendRequest("/stream/1", "warm", kKey, true);
      return stream.status == 200 && stream.is_complete &&
             this->SendRequest("/safe/1", "warm").status == 200;
    }));
  }

  /// Starts a stream and returns once a target runs it.
  [[nodiscard]] std::future<Answer> StartStream(const std::string& id) {
    std::future<Answer> stream = std::async(std::launch::async, [this, id] {
      return this->SendRequest("/stream/1", id, kKey, true, kLongMs);
    });
    BOOST_REQUIRE(Eventually([this, &id] { return this->HasRun(id); }));
    return stream;
  }
  /// Sends a whole request, ends the sending side and reads until the end.
  [[nodiscard]] std::string SendHalfClosed(const std::string& path) const {
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    caller.connect({asio::ip::make_address(this->CallerEndpoint().address),
                    this->CallerEndpoint().port});
    const std::string body = std::string(FakeTarget::kWorkPrefix) + "400";
    asio::write(caller,
                asio::buffer("POST " + path + " HTTP/1.1\r\nHost: " +
                             "shop.example\r\nContent-Length: " +
                             std::to_string(body.size()) +
                             "\r\nX-Gooseberryturn-Attempt-Id: half\r\n" +
                             "Authorization: " + kKey + "\r\n\r\n" + body));
    BOOST_REQUIRE(Eventually([this] { return this->HasRun("half"); }));
    caller.shutdown(asio::ip::tcp::socket::shutdown_send);
    std::string answer;
    error_code end;
    asio::read(caller, asio::dynamic_buffer(answer), end);
    return answer;
  }
  [[nodiscard]] bool HasRun(const std::string& id) const {
    std::vector<std::string> runs = this->plain->Runs();
    for (const std::unique_ptr<FakeTarget>& engine : this->engines) {
      const std::vector<std::string> more = engine->Runs();
      runs.insert(runs.end(), more.begin(), more.end());
    }
    return std::find(runs.begin(), runs.end(), id) != runs.end();
  }

  std::unique_ptr<FakeTarget> plain;
  std::vector<std::unique_ptr<FakeTarget>> engines;
};

}  // namespace

// LOST: a request was taken long after the stop began and given up at its end.
BOOST_AUTO_TEST_CASE(a_leaving_entry_refuses_what_it_may_not_finish) {
  ServingFleet fleet(81);
  for (const std::unique_ptr<FakeTarget>& engine : fleet.engines) {
    engine->event_interval_ms = 700;
  }
  std::future<Answer> stream = fleet.StartStream("early");
  fleet.entries.front()->Signal(SIGTERM);
  int number = 0;
  Answer late;
  BOOST_REQUIRE(Eventually([&fleet, &number, &late] {
    number += 1;
    late = fleet.SendRequest("/safe/1", "late-" + std::to_string(number), kKey,
                             false, kLongMs);
    return late.status != 200;
  }));
  BOOST_TEST(late.status == 503);
  BOOST_TEST(late.headers["Retry-After"] == "0.00");
  BOOST_TEST(!fleet.HasRun("late-" + std::to_string(number)));
  // What surely ends in time is still served, on new connections too.
  BOOST_TEST(
      fleet.SendRequest("/safe/1", "short", kKey, false, kShortMs).status ==
      200);
  const Answer early = stream.get();
  BOOST_TEST(early.status == 200);
  BOOST_TEST(early.is_complete);
  BOOST_TEST(fleet.entries.front()->WaitExit() == 0);
}

// LOST: the second of two stop signals ended the process at once, with all
// requests in progress.
BOOST_AUTO_TEST_CASE(a_second_stop_signal_ends_no_request) {
  ServingFleet fleet(102);
  for (const std::unique_ptr<FakeTarget>& engine : fleet.engines) {
    engine->event_interval_ms = 300;
  }
  std::future<Answer> stream = fleet.StartStream("held");
  fleet.entries.front()->Signal(SIGTERM);
  BOOST_REQUIRE(Eventually([&fleet] {
    return fleet.entries.front()->Log().find("\"leaving\"") !=
           std::string::npos;
  }));
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGTERM}) {
    fleet.entries.front()->Signal(number);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  const Answer held = stream.get();
  BOOST_TEST(held.status == 200);
  BOOST_TEST(held.is_complete);
  BOOST_TEST(fleet.entries.front()->WaitExit() == 0);
}

// A process that was stopped ended by a signal while it wrote the rest of its
// log.
BOOST_AUTO_TEST_CASE(signals_do_not_kill_a_process_that_ends) {
  PlatformFleet fleet(103);
  BOOST_REQUIRE(Eventually([&fleet] {
    return Get(fleet.ControlEndpoint(1), "/metrics").status == 200 &&
           Get(fleet.ReadinessEndpoint(), "/metrics").status == 200;
  }));
  for (Process* host : {fleet.entries[0].get(), fleet.controls[0].get()}) {
    host->Signal(SIGTERM);
    std::optional<int> code;
    BOOST_REQUIRE(Eventually([host, &code] {
      for (int number = 0; number < 1000 && !code.has_value(); ++number) {
        host->Signal(number % 2 == 0 ? SIGHUP : SIGTERM);
        code = host->PollExit();
      }
      return code.has_value();
    }));
    BOOST_TEST(*code == 0);
  }
}

// LOST: a stream was cut because its target was silent, long before its
// deadline, although the target went on later.
BOOST_AUTO_TEST_CASE(a_silent_target_is_kept_while_no_other_has_room) {
  ServingFleet fleet(82);
  for (const std::unique_ptr<FakeTarget>& engine : fleet.engines) {
    engine->pause_ms = 4000;
  }
  const Answer answer = fleet.StartStream("silent").get();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.is_complete);
  BOOST_TEST(answer.Contains("id: 6\n"));
}

BOOST_AUTO_TEST_CASE(one_failed_attempt_does_not_use_up_the_retry_budget) {
  ServingFleet fleet(83);
  fleet.plain->behaviour = Behaviour::kCloseUnanswered;
  // Its one target was tried: there is none left for a retry.
  BOOST_TEST(fleet.SendRequest("/safe/1", "cut").status == 502);
  BOOST_TEST(Get(fleet.ReadinessEndpoint(), "/metrics")
                 .Contains("retries_total{reason=\"target_busy\"} 0"));
}

// LOST: the outcome of a request that may run only once, whose caller had ended
// its sending side.
BOOST_AUTO_TEST_CASE(
    a_half_closed_caller_learns_the_outcome_of_an_unsafe_request) {
  ServingFleet fleet(104);
  const std::string answer = fleet.SendHalfClosed("/unsafe/1");
  BOOST_TEST(answer.find("HTTP/1.1 200") == 0U);
  BOOST_TEST(answer.find("answer of p-1") != std::string::npos);
}

// Its caller may have left, and may send it again.
BOOST_AUTO_TEST_CASE(a_safe_request_ends_with_the_input_of_its_caller) {
  ServingFleet fleet(105);
  BOOST_TEST(fleet.SendHalfClosed("/safe/1") == "");
  BOOST_TEST(Eventually([&fleet] {
    return fleet.entries[0]->Log().find("unanswered_caller_left") !=
           std::string::npos;
  }));
}

// LOST: answers of sound targets that send nothing for a second and go on, in
// health checks and announcements neither.
BOOST_AUTO_TEST_CASE(a_second_of_silence_ends_no_answer) {
  ServingFleet fleet(106);
  for (const std::unique_ptr<FakeTarget>& engine : fleet.engines) {
    engine->event_interval_ms = 100;
  }
  std::future<Answer> stream = fleet.StartStream("streamed");
  fleet.plain->FallSilent(kSilence);
  std::vector<std::future<Answer>> answers;
  for (const std::string path : {"/safe/1", "/unsafe/1"}) {
    answers.push_back(std::async(std::launch::async, [&fleet, path] {
      return fleet.SendRequest(path, "silent" + path, kKey, false, kLongMs);
    }));
  }
  for (const std::unique_ptr<FakeTarget>& engine : fleet.engines) {
    engine->FallSilent(kSilence);
  }
  const Answer streamed = stream.get();
  BOOST_TEST(streamed.is_complete);
  BOOST_TEST(streamed.Contains("id: 6\n"));
  for (std::future<Answer>& answer : answers) {
    BOOST_TEST(answer.get().status == 200);
  }
  std::vector<std::string> runs = fleet.plain->Runs();
  BOOST_TEST(std::count(runs.begin(), runs.end(), "silent/unsafe/1") == 1);
  for (const std::unique_ptr<FakeTarget>& engine : fleet.engines) {
    BOOST_TEST(engine->leaves == 0);
  }
}
