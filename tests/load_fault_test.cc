#define BOOST_TEST_MODULE load_fault
#include <boost/test/unit_test.hpp>

#include "fleet.h"

using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

void StartAll(Fleet& fleet, const DocumentPlan& plan, int targets,
              const std::vector<std::string>& options) {
  fleet.StartControlHosts();
  for (int number = 1; number <= targets; ++number) {
    fleet.StartTarget({number, "a", "rack-1", true, options});
  }
  fleet.StartEntry(1);
  fleet.StartEntry(2);
  fleet.ApplyDocument(MakeDocument(plan), 0);
  fleet.WaitForServingGroups(targets);
  fleet.WaitForEntry(1);
  fleet.WaitForEntry(2);
}

std::string Body(int number, int tokens) {
  return "{\"n\":" + std::to_string(number) +
         ",\"max_tokens\":" + std::to_string(tokens) + "}";
}

}  // namespace

BOOST_AUTO_TEST_CASE(cold_target_is_not_overloaded) {
  Fleet fleet(20);
  DocumentPlan plan;
  plan.in_flight = 32;
  plan.cold_in_flight = 2;
  // Until it has completed 8 requests, the fake engine exits when it has more
  // than 10 in progress.
  StartAll(fleet, plan, 1, {"--warm-after", "8", "--cold-bears", "10"});
  std::vector<std::unique_ptr<Call>> calls;
  for (int number = 0; number < 60; ++number) {
    calls.push_back(
        fleet.StartRequest(1 + number % 2, "/gen", Body(number, 4)));
  }
  int complete = 0;
  for (const std::unique_ptr<Call>& call : calls) {
    const Answer answer = call->ReadAll();
    complete += answer.is_complete && answer.status == 200 ? 1 : 0;
    BOOST_TEST((answer.status == 200 || answer.Contains("not_run")));
  }
  BOOST_TEST(complete >= 10);
  BOOST_TEST(!fleet.GetProcess("target-1").HasExited());
  BOOST_TEST(fleet.EngineCounter(1, "cold_max") <= 10);
}

BOOST_AUTO_TEST_CASE(restarted_target_is_cold_again) {
  Fleet fleet(21);
  DocumentPlan plan;
  plan.in_flight = 32;
  plan.cold_in_flight = 2;
  StartAll(fleet, plan, 1, {});
  for (int number = 0; number < 40; ++number) {
    fleet.Post(1, "/gen", Body(number, 1));
  }
  BOOST_TEST(Get(fleet.AgentHttp(1), "/metrics")
                 .Contains("gooseberryturn_concurrency_limit 32"));
  fleet.GetProcess("target-1").Kill();
  fleet.GetProcess("target-1").Start();
  fleet.WaitForServingGroups(1);
  BOOST_REQUIRE(Eventually(
      [&] { return fleet.Post(1, "/gen", Body(0, 1)).is_complete; }));
  BOOST_TEST(!Get(fleet.AgentHttp(1), "/metrics")
                  .Contains("gooseberryturn_concurrency_limit 32"));
}

// The health checks of the new run answer too late to tell of it, so that only
// the request's own answer can.
BOOST_AUTO_TEST_CASE(restart_is_noticed_by_the_first_answer) {
  Fleet fleet(25);
  DocumentPlan plan;
  plan.in_flight = 32;
  plan.cold_in_flight = 2;
  StartAll(fleet, plan, 1, {"--health-delay-ms", "900"});
  for (int number = 0; number < 40; ++number) {
    fleet.Post(1, "/gen", Body(number, 1));
  }
  BOOST_REQUIRE(Get(fleet.AgentHttp(1), "/metrics")
                    .Contains("gooseberryturn_concurrency_limit 32"));
  fleet.GetProcess("target-1").Kill();
  fleet.GetProcess("target-1").Start();
  BOOST_REQUIRE(Eventually(
      [&] { return Get(fleet.TargetEndpoint(1), "/counts").status == 200; }));
  BOOST_REQUIRE(fleet.Post(1, "/gen", Body(0, 1)).is_complete);
  BOOST_TEST(!Get(fleet.AgentHttp(1), "/metrics")
                  .Contains("gooseberryturn_concurrency_limit 32"));
}

BOOST_AUTO_TEST_CASE(reservations_never_exceed_the_memory_of_the_target) {
  Fleet fleet(22);
  DocumentPlan plan;
  plan.memory_tokens = 1000;
  // The fake engine exits when it holds more than 1000 tokens; each request
  // may need over 100.
  StartAll(fleet, plan, 1, {"--memory-tokens", "1000"});
  std::vector<std::unique_ptr<Call>> calls;
  for (int number = 0; number < 40; ++number) {
    calls.push_back(
        fleet.StartRequest(1 + number % 2, "/gen", Body(number, 90)));
  }
  for (const std::unique_ptr<Call>& call : calls) {
    const Answer answer = call->ReadAll();
    BOOST_TEST((answer.is_complete || answer.Contains("not_run")));
  }
  BOOST_TEST(!fleet.GetProcess("target-1").HasExited());
  const Answer too_large = fleet.Post(1, "/gen", std::string(5000, 'x'));
  BOOST_TEST(too_large.status == 413);
  BOOST_TEST(too_large.Contains("not_run"));
}

BOOST_AUTO_TEST_CASE(slow_callers_use_bounded_memory) {
  constexpr int kCallers = 40;
  constexpr long kTokens = 2000;
  constexpr long kTokenBytes = 1000;
  constexpr int kSmallBuffer = 4096;
  constexpr long kMaxBytesPerStream = 128 * 1024;  // In entry and agent.
  Fleet fleet(23);
  DocumentPlan plan;
  plan.in_flight = 100;
  plan.cold_in_flight = 100;
  StartAll(fleet, plan, 1, {"--token-ms", "1", "--token-bytes", "1000"});
  const auto resident_bytes = [&](const std::string& name) {
    const std::string metrics =
        Get(name == "entry" ? fleet.EntryHttp(1) : fleet.AgentHttp(1),
            "/metrics")
            .body;
    const std::string metric = "gooseberryturn_resident_bytes ";
    const std::size_t found = metrics.find("\n" + metric);
    BOOST_REQUIRE(found != std::string::npos);
    return std::strtol(metrics.c_str() + found + 1 + metric.size(), nullptr,
                       10);
  };
  fleet.Post(1, "/gen", Body(0, 50));
  const long before = resident_bytes("entry") + resident_bytes("agent");
  std::vector<std::unique_ptr<Call>> calls;
  for (int number = 0; number < kCallers; ++number) {
    calls.push_back(fleet.StartRequest(1, "/gen",
                                       Body(number, static_cast<int>(kTokens)),
                                       "", "t1", kSmallBuffer));
  }
  // Nothing is read until all streams have stalled.
  long last = -1;
  BOOST_REQUIRE(Eventually([&] {
    const std::string metrics = Get(fleet.EntryHttp(1), "/metrics").body;
    const std::string metric = "gooseberryturn_answer_bytes_total ";
    const std::size_t found = metrics.find("\n" + metric);
    const long now =
        std::strtol(metrics.c_str() + found + 1 + metric.size(), nullptr, 10);
    const bool has_stalled = now > 0 && now == last;
    last = now;
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    return has_stalled;
  }));
  const long added_bytes =
      resident_bytes("entry") + resident_bytes("agent") - before;
  BOOST_TEST(last < kCallers * kTokens * kTokenBytes);
  BOOST_TEST(added_bytes <= kCallers * kMaxBytesPerStream);
  BOOST_TEST_MESSAGE("held per slow stream: " << added_bytes / kCallers
                                              << " bytes");
}

BOOST_AUTO_TEST_CASE(request_that_kills_targets_is_quarantined) {
  Fleet fleet(24);
  DocumentPlan plan;
  plan.groups = 3;
  StartAll(fleet, plan, 3, {"--poison", "deadly", "--token-ms", "5"});
  const auto exited_targets = [&] {
    int count = 0;
    for (int number = 1; number <= 3; ++number) {
      count += fleet.GetProcess("target-" + std::to_string(number)).HasExited()
                   ? 1
                   : 0;
    }
    return count;
  };
  const Answer first = fleet.Post(1, "/gen", "deadly");
  BOOST_TEST(first.status != 200);
  BOOST_REQUIRE(Eventually([&] {
    return fleet.GetStatus().find("\"quarantined\":[]") == std::string::npos;
  }));
  BOOST_TEST(exited_targets() <= 2);
  BOOST_REQUIRE(Eventually([&] {
    const Answer again = fleet.Post(2, "/gen", "deadly");
    return again.status == 422 && again.Contains("quarantined") &&
           again.Contains("not_run");
  }));
  BOOST_TEST(exited_targets() <= 2);
  // The remaining target still serves other requests.
  BOOST_TEST(fleet.Post(2, "/gen", "harmless").is_complete);
}

BOOST_AUTO_TEST_CASE(answer_cut_short_by_the_engine_is_never_a_success) {
  for (const std::string cut : {"1", "2", "7"}) {
    Fleet fleet(25);
    StartAll(fleet, DocumentPlan(), 1, {"--cut-after", cut});
    const Answer answer = fleet.Post(1, "/gen", Body(1, 8));
    BOOST_TEST(!(answer.status == 200 && answer.is_complete));
    BOOST_TEST(!answer.Contains("[DONE]"));
    BOOST_TEST(answer.Contains("\"outcome\":\"unknown\""));
  }
}

BOOST_AUTO_TEST_CASE(not_run_is_never_reported_if_an_attempt_may_have_run) {
  Fleet fleet(30);
  StartAll(fleet, DocumentPlan(), 1, {"--cut-after", "2", "--token-ms", "1"});
  for (int number = 0; number < 8; ++number) {
    const long before = fleet.EngineCounter(1, "runs");
    const Answer answer = fleet.Post(1, "/gen", Body(number, 8));
    const bool has_run = fleet.EngineCounter(1, "runs") > before;
    BOOST_TEST(!(has_run && answer.Contains("\"outcome\":\"not_run\"")));
  }
}

BOOST_AUTO_TEST_CASE(repeated_target_failures_cause_no_retry_storm) {
  Fleet fleet(26);
  DocumentPlan plan;
  plan.groups = 2;
  StartAll(fleet, plan, 2, {"--cut-after", "1", "--token-ms", "1"});
  constexpr long kRequests = 200;
  for (int number = 0; number < kRequests; ++number) {
    fleet.Post(1, "/gen", Body(number, 4));
  }
  const long runs =
      fleet.EngineCounter(1, "runs") + fleet.EngineCounter(2, "runs");
  // The retry budget allows a tenth of the requests and a burst of 20.
  BOOST_TEST(runs <= kRequests + kRequests / 10 + 20);
}
