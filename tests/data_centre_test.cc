#define BOOST_TEST_MODULE data_centre
#include <boost/test/unit_test.hpp>

#include "fleet.h"

using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

constexpr char kTakeOut[] = "/v1/data-centre?name=a&out=1";
constexpr char kReturn[] = "/v1/data-centre?name=a&out=0";

/// Group 1 is in data centre a and reaches control through relays that can be
/// cut; group 2 is in data centre b.
struct TwoDataCentres {
  explicit TwoDataCentres(int net = 18) : fleet(net) {
    fleet.StartControlHosts();
    for (int id = 1; id <= 3; ++id) {
      relays.push_back(std::make_unique<Relay>(fleet.RelayEndpoint(id),
                                               fleet.ControlLink(id)));
    }
    fleet.StartTarget({1, "a", "rack-a", true, {"--token-ms", "20"}}, true);
    fleet.StartTarget({2, "b", "rack-b", true, {"--token-ms", "20"}});
    fleet.StartEntry(1, "a");
    DocumentPlan plan;
    plan.groups = 2;
    document = MakeDocument(plan);
    fleet.ApplyDocument(document, 0);
    fleet.WaitForServingGroups(2);
    fleet.WaitForEntry(1);
  }
  Answer Generate(int tokens) {
    return fleet.Post(1, "/gen",
                      "{\"max_tokens\":" + std::to_string(tokens) + "}");
  }
  Fleet fleet;
  std::vector<std::unique_ptr<Relay>> relays;
  std::string document;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(data_centre_taken_out_only_finishes_work_in_progress,
                        TwoDataCentres) {
  const std::unique_ptr<Call> call =
      fleet.StartRequest(1, "/gen", "{\"max_tokens\":60}");
  BOOST_REQUIRE(
      Eventually([&] { return fleet.EngineCounter(1, "runs") == 1; }));
  const Answer out = fleet.CallOperatorApi("POST", kTakeOut);
  BOOST_TEST(out.status == 200);
  BOOST_TEST(out.Contains("\"in_force\":true"));
  for (int number = 0; number < 20; ++number) {
    BOOST_TEST(Generate(1).is_complete);
  }
  BOOST_TEST(fleet.EngineCounter(1, "runs") == 1);
  BOOST_TEST(fleet.EngineCounter(2, "runs") == 20);
  // The request in progress is not cut.
  const Answer answer = call->ReadAll();
  BOOST_TEST(answer.is_complete);
  BOOST_TEST(answer.Contains("[DONE]"));
  // Applying the document again does not return the data centre to service.
  fleet.ApplyDocument(document, 1);
  BOOST_TEST(Generate(1).is_complete);
  BOOST_TEST(fleet.EngineCounter(1, "runs") == 1);
  BOOST_TEST(fleet.CallOperatorApi("POST", kReturn).status == 200);
  BOOST_REQUIRE(Eventually([&] {
    return Generate(1).is_complete && fleet.EngineCounter(1, "runs") > 1;
  }));
}

BOOST_AUTO_TEST_CASE(returned_data_centre_ramps_up) {
  Fleet fleet(27);
  fleet.StartControlHosts();
  // While it is cold, until it has completed 8 requests, the fake engine exits
  // when it has more than 12 in progress.
  fleet.StartTarget(
      {1, "a", "rack-a", true, {"--warm-after", "8", "--cold-bears", "12"}});
  fleet.StartTarget({2, "b", "rack-b", true, {}});
  fleet.StartEntry(1, "a");
  DocumentPlan plan;
  plan.groups = 2;
  plan.in_flight = 32;
  plan.cold_in_flight = 2;
  fleet.ApplyDocument(MakeDocument(plan), 0);
  fleet.WaitForServingGroups(2);
  fleet.WaitForEntry(1);
  for (int number = 0; number < 60; ++number) {
    fleet.Post(1, "/gen", "{\"max_tokens\":1}");
  }
  BOOST_TEST(Get(fleet.AgentHttp(1), "/metrics")
                 .Contains("gooseberryturn_concurrency_limit 32"));
  BOOST_TEST(fleet.CallOperatorApi("POST", kTakeOut).status == 200);
  // The target is cold again, as if its caches had gone stale meanwhile.
  Call(fleet.TargetEndpoint(1), "POST", "/cold", {}, "").ReadAll();
  BOOST_TEST(fleet.CallOperatorApi("POST", kReturn).status == 200);
  std::vector<std::unique_ptr<Call>> calls;
  for (int number = 0; number < 60; ++number) {
    calls.push_back(fleet.StartRequest(
        1, "/gen", "{\"n\":" + std::to_string(number) + ",\"max_tokens\":3}"));
  }
  for (const std::unique_ptr<Call>& call : calls) {
    const Answer answer = call->ReadAll();
    BOOST_TEST((answer.is_complete || answer.Contains("not_run")));
  }
  BOOST_TEST(!fleet.GetProcess("target-1").HasExited());
  BOOST_TEST(fleet.EngineCounter(1, "cold_max") <= 12);
}

BOOST_FIXTURE_TEST_CASE(partitioned_data_centre_takes_no_new_work,
                        TwoDataCentres) {
  for (const std::unique_ptr<Relay>& relay : relays) {
    relay->SetPaused(true);
  }
  const Answer out = fleet.CallOperatorApi("POST", kTakeOut);
  // In force once the lease of the partitioned agent has expired.
  BOOST_TEST(out.status == 200);
  BOOST_TEST(out.Contains("\"in_force\":true"));
  const long before = fleet.EngineCounter(1, "runs");
  // The agent is not ready: it refuses a request that reaches it in any way.
  BOOST_TEST(Get(fleet.AgentHttp(1), "/ready").status == 503);
  for (int number = 0; number < 10; ++number) {
    BOOST_TEST(Generate(1).is_complete);
  }
  BOOST_TEST(fleet.EngineCounter(1, "runs") == before);
}

BOOST_FIXTURE_TEST_CASE(last_data_centre_needs_force, TwoDataCentres) {
  BOOST_TEST(fleet.CallOperatorApi("POST", kTakeOut).status == 200);
  const Answer last =
      fleet.CallOperatorApi("POST", "/v1/data-centre?name=b&out=1");
  BOOST_TEST(last.status == 409);
  BOOST_TEST(last.Contains("--force"));
  BOOST_TEST(Generate(1).is_complete);
  BOOST_TEST(
      fleet.CallOperatorApi("POST", "/v1/data-centre?name=b&out=1&force=1")
          .status == 200);
  const Answer refused = Generate(1);
  BOOST_TEST(refused.status == 503);
  BOOST_TEST(refused.Contains("not_run"));
}

BOOST_FIXTURE_TEST_CASE(loss_of_the_control_majority_stops_new_work,
                        TwoDataCentres) {
  const int leader = fleet.WaitForLeader();
  for (int id = 1; id <= 3; ++id) {
    if (id != leader) {
      fleet.GetProcess("control-" + std::to_string(id)).Kill();
    }
  }
  BOOST_REQUIRE(Eventually([&] {
    const Answer answer = Generate(1);
    return answer.status == 503 && answer.Contains("no_view") &&
           answer.Contains("not_run");
  }));
  fleet.GetProcess("control-" + std::to_string(leader % 3 + 1)).Start();
  BOOST_REQUIRE(Eventually([&] { return Generate(1).is_complete; }));
}

BOOST_FIXTURE_TEST_CASE(take_out_survives_a_leader_failure, TwoDataCentres) {
  BOOST_TEST(fleet.CallOperatorApi("POST", kTakeOut).status == 200);
  const int leader = fleet.WaitForLeader();
  fleet.GetProcess("control-" + std::to_string(leader)).Kill();
  for (int number = 0; number < 20; ++number) {
    const Answer answer = Generate(1);
    BOOST_TEST((answer.is_complete && answer.status == 200));
  }
  BOOST_TEST(
      fleet.CallOperatorApi("POST", "/v1/data-centre?name=b&out=1").status ==
      409);
  BOOST_TEST(fleet.EngineCounter(1, "runs") == 0);
}

BOOST_FIXTURE_TEST_CASE(failed_data_centre_loses_only_requests_in_progress,
                        TwoDataCentres) {
  const std::unique_ptr<Call> call =
      fleet.StartRequest(1, "/gen", "{\"max_tokens\":400}");
  BOOST_TEST(call->ReadSome().status == 200);
  fleet.GetProcess("host-1").Kill();
  fleet.GetProcess("target-1").Kill();
  const Answer lost = call->ReadAll();
  BOOST_TEST(!lost.is_complete);
  BOOST_TEST(!lost.Contains("[DONE]"));
  for (int number = 0; number < 20; ++number) {
    BOOST_TEST(Generate(1).is_complete);
  }
  fleet.GetProcess("target-1").Start();
  fleet.GetProcess("host-1").Start();
  fleet.WaitForServingGroups(2);
  BOOST_TEST(Generate(1).is_complete);
}
