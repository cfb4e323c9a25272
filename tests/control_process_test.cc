#define BOOST_TEST_MODULE control_process
#include <boost/test/unit_test.hpp>

#include "fleet.h"

using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

long Version(const std::string& json) {
  const std::string mark = "\"version\":";
  const std::size_t found = json.find(mark);
  return found == std::string::npos
             ? -1
             : std::strtol(json.c_str() + found + mark.size(), nullptr, 10);
}

std::string Document(const std::string& note) {
  DocumentPlan plan;
  plan.note = note;
  return MakeDocument(plan);
}

}  // namespace

BOOST_AUTO_TEST_CASE(hundreds_of_changes_survive_restarts) {
  Fleet fleet(13);
  fleet.StartControlHosts();
  for (int version = 0; version < 300; ++version) {
    fleet.ApplyDocument(Document(std::to_string(version)), version);
  }
  for (int id = 1; id <= 3; ++id) {
    fleet.GetProcess("control-" + std::to_string(id)).Kill();
  }
  for (int id = 1; id <= 3; ++id) {
    fleet.GetProcess("control-" + std::to_string(id)).Start();
  }
  const Answer document = fleet.CallOperatorApi("GET", "/v1/document");
  BOOST_TEST(Version(document.body) == 300);
  BOOST_TEST(document.Says("test299"));
}

BOOST_AUTO_TEST_CASE(equal_versions_race_and_one_wins) {
  Fleet fleet(14);
  fleet.StartControlHosts();
  fleet.ApplyDocument(Document("first"), 0);
  const int leader = fleet.WaitForLeader();
  std::vector<std::unique_ptr<Call>> calls;
  for (int number = 0; number < 8; ++number) {
    calls.push_back(std::make_unique<Call>(
        fleet.ControlHttp(leader), "POST",
        "/v1/apply?base=1&change=racer-" + std::to_string(number),
        std::map<std::string, std::string>{},
        Document("racer" + std::to_string(number))));
  }
  int accepted = 0;
  int rejected = 0;
  std::string winner;
  for (std::size_t number = 0; number < calls.size(); ++number) {
    const Answer answer = calls[number]->ReadAll();
    const bool is_winner = answer.status == 200 || answer.status == 202;
    accepted += is_winner ? 1 : 0;
    rejected += answer.status == 409 ? 1 : 0;
    winner = is_winner ? std::to_string(number) : winner;
  }
  BOOST_TEST(accepted == 1);
  BOOST_TEST(rejected == 7);
  BOOST_TEST(
      fleet.CallOperatorApi("GET", "/v1/document").Says("racer" + winner));
  // A change sent again with its id gets the first result.
  const Answer resend =
      fleet.CallOperatorApi("POST", "/v1/apply?base=1&change=racer-" + winner,
                            Document("racer" + winner));
  BOOST_TEST((resend.status == 200 || resend.status == 202));
  BOOST_TEST(Version(resend.body) == 2);
  BOOST_TEST(Version(fleet.CallOperatorApi("GET", "/v1/document").body) == 2);
}

BOOST_AUTO_TEST_CASE(frozen_leader_wakes_and_changes_nothing) {
  Fleet fleet(15);
  fleet.StartControlHosts();
  fleet.StartTarget({1, "a", "rack-1", true, {}});
  fleet.StartEntry(1);
  fleet.ApplyDocument(Document("before"), 0);
  fleet.WaitForServingGroups(1);
  fleet.WaitForEntry(1);
  const int old = fleet.WaitForLeader();
  Process& frozen = fleet.GetProcess("control-" + std::to_string(old));
  frozen.Signal(SIGSTOP);
  // The others elect a leader and take a change while the old one sleeps.
  const int other = old % 3 + 1;
  const int third = other % 3 + 1;
  BOOST_REQUIRE(Eventually([&] {
    for (const int id : {other, third}) {
      const Answer answer =
          Call(fleet.ControlHttp(id), "POST", "/v1/apply?base=1&change=c", {},
               Document("after"))
              .ReadAll();
      if (answer.status == 200 || answer.status == 202) {
        return true;
      }
    }
    return false;
  }));
  BOOST_REQUIRE(
      Eventually([&] { return fleet.Post(1, "/gen", "x").status == 200; }));
  frozen.Signal(SIGCONT);
  // Whatever it answers from now on, it is never the old document.
  const Answer woken =
      Call(fleet.ControlHttp(old), "GET", "/v1/document", {}, "").ReadAll();
  BOOST_TEST((woken.status != 200 || woken.Says("testafter")));
  BOOST_TEST(fleet.CallOperatorApi("GET", "/v1/document").Says("testafter"));
}

BOOST_AUTO_TEST_CASE(lost_disk_returns_under_a_new_id) {
  Fleet fleet(16);
  fleet.StartControlHosts();
  fleet.ApplyDocument(Document("kept"), 0);
  const int leader = fleet.WaitForLeader();
  const int lost = leader == 3 ? 2 : 3;
  const std::string name = "control-" + std::to_string(lost);
  // Its disk must be known to the quorum before it is lost.
  BOOST_REQUIRE(Eventually([&] {
    return fleet.GetStatus().find("\"entries_behind\":0") != std::string::npos;
  }));
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  fleet.GetProcess(name).Kill();
  std::filesystem::remove_all(fleet.FilePath(name + "-data"));
  fleet.GetProcess(name).Start();
  BOOST_REQUIRE(Eventually([&] {
    return fleet.GetStatus().find("\"lost_disk\":true") != std::string::npos;
  }));
  fleet.GetProcess(name).Kill();
  fleet.StartControlHost(4, false);
  const std::string add =
      "/v1/control?action=add&id=4&link=" + ToString(fleet.ControlLink(4)) +
      "&http=" + ToString(fleet.ControlHttp(4));
  BOOST_TEST(fleet.CallOperatorApi("POST", add).status == 200);
  BOOST_REQUIRE(Eventually([&] {
    return fleet.CallOperatorApi("POST", "/v1/control?action=promote&id=4")
               .status == 200;
  }));
  BOOST_REQUIRE(Eventually([&] {
    return fleet
               .CallOperatorApi("POST", "/v1/control?action=remove&id=" +
                                            std::to_string(lost))
               .status == 200;
  }));
  // A second host is lost right after the repair: two of three remain.
  const int second = lost == 3 ? (leader == 1 ? 2 : 1) : (leader == 1 ? 3 : 1);
  fleet.GetProcess("control-" + std::to_string(second)).Kill();
  BOOST_TEST(
      fleet.CallOperatorApi("GET", "/v1/document", "", 4).Says("testkept"));
  const Answer change = fleet.CallOperatorApi("POST", "/v1/apply?base=1",
                                              Document("repaired"), 4);
  BOOST_TEST((change.status == 200 || change.status == 202));
}

BOOST_AUTO_TEST_CASE(faulty_document_is_refused_whole) {
  Fleet fleet(17);
  fleet.StartControlHosts();
  const Answer answer = fleet.CallOperatorApi(
      "POST", "/v1/apply?base=0", "{\"environment\":\"x\",\"teams\":3}");
  BOOST_TEST(answer.status == 400);
  BOOST_TEST(answer.Says("teams: found 3, expected an array"));
  BOOST_TEST(answer.Says("services: found nothing"));
  BOOST_TEST(Version(fleet.CallOperatorApi("GET", "/v1/document").body) == 0);
}
