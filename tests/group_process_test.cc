#define BOOST_TEST_MODULE group_process
#include <boost/test/unit_test.hpp>

#include "fleet.h"

using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

/// One group of two hosts, and a spare host in the same fabric domain.
struct GroupWithSpare {
  explicit GroupWithSpare(int net = 19) : fleet(net) {
    fleet.StartControlHosts();
    fleet.StartEntry(1);
    for (int number = 1; number <= 3; ++number) {
      fleet.StartTarget({number, "a", "rack-1", true, {"--token-ms", "20"}});
    }
    DocumentPlan plan;
    plan.hosts = 2;
    fleet.ApplyDocument(MakeDocument(plan), 0);
    fleet.WaitForServingGroups(1);
    fleet.WaitForEntry(1);
  }
  /// Numbers of the hosts of the group; the leader comes first.
  std::vector<int> Members() {
    const std::string status = fleet.GetStatus();
    const std::size_t start = status.find("\"members\":[");
    std::vector<int> members;
    std::size_t at = start;
    const std::size_t end = status.find(']', start);
    while ((at = status.find("host-", at)) < end) {
      members.push_back(std::atoi(status.c_str() + at + 5));
      at += 5;
    }
    return members;
  }
  /// Waits until the group serves without `host`.
  void WaitRepaired(int host) {
    BOOST_REQUIRE(Eventually([&] {
      for (const int member : Members()) {
        if (member == host) {
          return false;
        }
      }
      return fleet.CountServingGroups() == 1;
    }));
  }
  std::unique_ptr<Call> BeginLongCall() {
    std::unique_ptr<Call> call =
        fleet.StartRequest(1, "/gen", "{\"max_tokens\":400}");
    BOOST_TEST(call->ReadSome().status == 200);
    return call;
  }
  Fleet fleet;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(member_dies_and_the_answer_ends_with_an_error,
                        GroupWithSpare) {
  const std::vector<int> members = Members();
  BOOST_REQUIRE(members.size() == 2U);
  const std::unique_ptr<Call> call = BeginLongCall();
  fleet.GetProcess("host-" + std::to_string(members[1])).Kill();
  const Answer answer = call->ReadAll();
  BOOST_TEST(!answer.is_complete);
  BOOST_TEST(answer.Contains("event: error"));
  BOOST_TEST(answer.Contains("\"outcome\":\"unknown\""));
  BOOST_TEST(!answer.Contains("[DONE]"));
  WaitRepaired(members[1]);
  BOOST_TEST(fleet.Post(1, "/gen", "{\"max_tokens\":2}").is_complete);
}

BOOST_FIXTURE_TEST_CASE(target_of_a_member_dies, GroupWithSpare) {
  const std::vector<int> members = Members();
  const std::unique_ptr<Call> call = BeginLongCall();
  fleet.GetProcess("target-" + std::to_string(members[1])).Kill();
  const Answer answer = call->ReadAll();
  BOOST_TEST(!answer.is_complete);
  BOOST_TEST(answer.Contains("event: error"));
  WaitRepaired(members[1]);
  BOOST_TEST(fleet.Post(1, "/gen", "{\"max_tokens\":2}").is_complete);
}

BOOST_FIXTURE_TEST_CASE(frozen_leader_resumes_and_forwards_nothing,
                        GroupWithSpare) {
  const std::vector<int> members = Members();
  const int leader = members[0];
  fleet.GetProcess("host-" + std::to_string(leader)).Signal(SIGSTOP);
  const std::unique_ptr<Call> stuck =
      fleet.StartRequest(1, "/gen", "{\"max_tokens\":2}");
  WaitRepaired(leader);
  const long before = fleet.EngineCounter(leader, "runs");
  fleet.GetProcess("host-" + std::to_string(leader)).Signal(SIGCONT);
  // The target must not receive requests queued while the leader was frozen.
  BOOST_TEST(fleet.Post(1, "/gen", "{\"max_tokens\":2}").is_complete);
  BOOST_REQUIRE(Eventually(
      [&] { return Get(fleet.AgentHttp(leader), "/ready").status == 200; }));
  BOOST_TEST(fleet.EngineCounter(leader, "runs") == before);
}

BOOST_FIXTURE_TEST_CASE(frozen_member_stops_the_group, GroupWithSpare) {
  const std::vector<int> members = Members();
  const std::unique_ptr<Call> call = BeginLongCall();
  fleet.GetProcess("host-" + std::to_string(members[1])).Signal(SIGSTOP);
  const Answer answer = call->ReadAll();
  BOOST_TEST(!answer.is_complete);
  WaitRepaired(members[1]);
  fleet.GetProcess("host-" + std::to_string(members[1])).Signal(SIGCONT);
  BOOST_TEST(fleet.Post(1, "/gen", "{\"max_tokens\":2}").is_complete);
}

BOOST_FIXTURE_TEST_CASE(leaving_member_drains_its_group, GroupWithSpare) {
  const std::vector<int> members = Members();
  const std::unique_ptr<Call> call =
      fleet.StartRequest(1, "/gen", "{\"max_tokens\":60}");
  BOOST_TEST(call->ReadSome().status == 200);
  Process& member = fleet.GetProcess("host-" + std::to_string(members[1]));
  member.Signal(SIGTERM);
  const Answer answer = call->ReadAll();
  BOOST_TEST(answer.is_complete);
  BOOST_TEST(answer.Contains("[DONE]"));
  BOOST_TEST(member.WaitExit() == 0);
  WaitRepaired(members[1]);
}

BOOST_FIXTURE_TEST_CASE(leaving_leader_drains_and_exits_with_0,
                        GroupWithSpare) {
  const std::vector<int> members = Members();
  const std::unique_ptr<Call> call =
      fleet.StartRequest(1, "/gen", "{\"max_tokens\":60}");
  BOOST_TEST(call->ReadSome().status == 200);
  Process& leader = fleet.GetProcess("host-" + std::to_string(members[0]));
  leader.Signal(SIGTERM);
  const Answer answer = call->ReadAll();
  BOOST_TEST(answer.is_complete);
  BOOST_TEST(leader.WaitExit() == 0);
  WaitRepaired(members[0]);
}

BOOST_FIXTURE_TEST_CASE(leaving_entry_finishes_its_requests, GroupWithSpare) {
  const std::unique_ptr<Call> call =
      fleet.StartRequest(1, "/gen", "{\"max_tokens\":60}");
  BOOST_TEST(call->ReadSome().status == 200);
  Process& entry = fleet.GetProcess("entry-1");
  entry.Signal(SIGTERM);
  BOOST_REQUIRE(Eventually(
      [&] { return Get(fleet.EntryHttp(1), "/ready").status == 503; }));
  const Answer refused = fleet.Post(1, "/gen", "x");
  BOOST_TEST(refused.Contains("\"reason\":\"leaving\""));
  BOOST_TEST(refused.Contains("not_run"));
  BOOST_TEST(call->ReadAll().is_complete);
  BOOST_TEST(entry.WaitExit() == 0);
}

BOOST_FIXTURE_TEST_CASE(drain_by_an_operator_frees_a_host, GroupWithSpare) {
  const std::vector<int> members = Members();
  const std::string host = "host-" + std::to_string(members[1]);
  BOOST_TEST(
      fleet.CallOperatorApi("POST", "/v1/drain?drain=1&host=" + host).status ==
      200);
  WaitRepaired(members[1]);
  BOOST_TEST(fleet.Post(1, "/gen", "{\"max_tokens\":2}").is_complete);
}

BOOST_FIXTURE_TEST_CASE(group_with_a_missing_member_refuses_requests,
                        GroupWithSpare) {
  const std::vector<int> members = Members();
  int spare = 1;
  while (spare == members[0] || spare == members[1]) {
    ++spare;
  }
  const std::unique_ptr<Call> call = BeginLongCall();
  fleet.GetProcess("host-" + std::to_string(spare)).Kill();
  fleet.GetProcess("host-" + std::to_string(members[1])).Kill();
  // No host can replace the member; the caller still gets an error.
  const Answer cut = call->ReadAll();
  BOOST_TEST(!cut.is_complete);
  BOOST_TEST(cut.Contains("group_not_whole"));
  BOOST_REQUIRE(Eventually([&] { return fleet.CountServingGroups() == 0; }));
  const long before = fleet.EngineCounter(members[0], "runs");
  const Answer answer = fleet.Post(1, "/gen", "{\"max_tokens\":2}");
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(answer.Contains("\"outcome\":\"not_run\""));
  BOOST_TEST(fleet.EngineCounter(members[0], "runs") == before);
  fleet.GetProcess("host-" + std::to_string(members[1])).Start();
  WaitRepaired(spare);
  BOOST_TEST(fleet.Post(1, "/gen", "{\"max_tokens\":2}").is_complete);
}
