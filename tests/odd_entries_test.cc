#define BOOST_TEST_MODULE odd_entries
#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform_fake_target.h"
#include "platform_fleet.h"

/// Odd announcements beside sound targets. Runs the real programs.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

constexpr int kControls = 3;

/// An announcement whose `key` has the value `value`, as JSON.
std::string OddAnnouncement(const std::string& key, const std::string& value) {
  std::string text =
      R"({"service":"plain","address":"127.110.0.60:9","zone":"za",)"
      R"("slots":8,"state":"ready","cold_left_ms":0,"born":1,"seq":1,)"
      R"("domain":"d1","staged":["m"],"models":[{"name":"m"}],)"
      R"("group":{"name":"g1","epoch":5,"rank":0,"state":"open"}})";
  const std::size_t start = text.find("\"" + key + "\":") + key.size() + 3;
  return text.replace(start, text.find(',', start) - start, value);
}

std::vector<std::string> OddAnnouncements() {
  return {
      "",
      "{",
      "\xff\xfe",
      "[1]",
      std::string(200'000, '['),
      "{\"a\":" + std::string(200'000, '[') + std::string(200'000, ']') + "}",
      OddAnnouncement("service", "7"),
      OddAnnouncement("service", "\"unknown\""),
      OddAnnouncement("service", "\"" + std::string(500'000, 'x') + "\""),
      OddAnnouncement("address", "\"127.110.0.60:65536\""),
      OddAnnouncement("address", "\"127.110.0.60:-1\""),
      OddAnnouncement("address", "\"nowhere\""),
      OddAnnouncement("zone", "null"),
      OddAnnouncement("slots", "1e300"),
      OddAnnouncement("state", "\"unknown\""),
      OddAnnouncement("cold_left_ms", "1e300"),
      OddAnnouncement("cold_left_ms", "-9223372036854775808"),
      OddAnnouncement("born", "18446744073709551615"),
      OddAnnouncement("seq", "18446744073709551615"),
      OddAnnouncement("epoch", "18446744073709551615"),
      OddAnnouncement("rank", "18446744073709551615")};
}

/// True when both sound targets serve.
bool AreServing(const PlatformFleet& fleet, const std::string& label) {
  std::set<std::string> bodies;
  int sent = 0;
  return Eventually([&fleet, &label, &bodies, &sent] {
    sent += 1;
    const Answer answer =
        fleet.SendRequest("/safe/a", label + "-" + std::to_string(sent));
    if (answer.status == 200) {
      bodies.insert(answer.body);
    }
    return bodies.count("answer of i1") + bodies.count("answer of i2") == 2;
  });
}

bool IsEachProcessRunning(const PlatformFleet& fleet) {
  bool is_running = true;
  for (const auto* processes : {&fleet.controls, &fleet.entries}) {
    for (const std::unique_ptr<Process>& process : *processes) {
      is_running = is_running && !process->HasExited();
    }
  }
  return is_running;
}

}  // namespace

// One odd entry ended each control host that read it, again at each restart.
BOOST_AUTO_TEST_CASE(odd_entries_end_no_process_and_the_sound_ones_serve) {
  PlatformFleet fleet(110);
  fleet.PutConfiguration(1);
  const FakeTarget first("i1", fleet.EndpointAt(21, 9000),
                         fleet.ControlEndpoint(1), "plain");
  const FakeTarget second("i2", fleet.EndpointAt(22, 9000),
                          fleet.ControlEndpoint(2), "plain");
  BOOST_REQUIRE(AreServing(fleet, "before"));
  int number = 0;
  for (const std::string& text : OddAnnouncements()) {
    number += 1;
    const int status =
        Call(fleet.ControlEndpoint(1 + number % kControls), "PUT",
             "/api/instances/odd-" + std::to_string(number), {}, text)
            .ReadAll()
            .status;
    BOOST_TEST((status == 200 || status == 400), number << ": " << status);
  }
  BOOST_TEST(AreServing(fleet, "beside"));
  BOOST_TEST(IsEachProcessRunning(fleet));

  fleet.controls.clear();
  for (int control = 1; control <= kControls; ++control) {
    fleet.StartControl(control);
  }
  BOOST_TEST(AreServing(fleet, "restarted"));
  // The changes that follow are taken as before.
  fleet.PutConfiguration(2);
  BOOST_TEST(AreServing(fleet, "changed"));
  BOOST_TEST(IsEachProcessRunning(fleet));
}
