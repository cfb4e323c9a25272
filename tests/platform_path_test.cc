#define BOOST_TEST_MODULE platform_path
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "platform_stand_in.h"
#include "process.h"

/// The real programs, with stand-ins that speak the platform's protocol.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

constexpr char kKey[] = "Bearer key-1";

/// Three control hosts and one entry on addresses 127.NET.0.*.
class PlatformFleet {
 public:
  explicit PlatformFleet(int net) : net(net) {
    char name[] = "/tmp/gooseberryturn-XXXXXX";
    this->folder = mkdtemp(name);
    for (int number = 1; number <= 3; ++number) {
      this->StartControl(number);
    }
    this->StartEntry();
  }
  ~PlatformFleet() {
    this->controls.clear();
    this->entry.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  [[nodiscard]] Endpoint At(int number, int port) const {
    return {"127." + std::to_string(this->net) + ".0." + std::to_string(number),
            static_cast<std::uint16_t>(port)};
  }
  [[nodiscard]] Endpoint Control(int number) const {
    return this->At(number, 7001);
  }
  [[nodiscard]] Endpoint Callers() const { return this->At(9, 8080); }
  [[nodiscard]] Endpoint Ready() const { return this->At(9, 8081); }

  void Put(int version, int timeout_ms = 2000) {
    BOOST_REQUIRE(Eventually([this, version, timeout_ms] {
      return Call(this->Control(1), "PUT", "/api/config", {},
                  this->Configuration(version, timeout_ms))
                 .ReadAll()
                 .status == 200;
    }));
  }

  [[nodiscard]] std::string Configuration(int version, int timeout_ms) const {
    const std::string route = R"("host":"shop.example","timeout_ms":)" +
                              std::to_string(timeout_ms) +
                              R"(,"slo_ms":500,"attempts":2,"public":false,)";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{)" +
           route +
           R"("path_prefix":"/safe/","kind":"safe","service":"plain"},{)" +
           route +
           R"("path_prefix":"/unsafe/","kind":"unsafe","service":"plain"},{)" +
           route +
           R"("path_prefix":"/stream/","kind":"streaming","resumable":true,)"
           R"("service":"engines"}],"services":[{"name":"plain"},)"
           R"({"name":"engines","engine":{"slots":8,"stride":5,"step_ms":1,)"
           R"("read_per_s":45900,"chunk":2048,"loads_per_s":9,)"
           R"("loads_at_once":9,"models":[{"name":"m","size":2,"share":1,)"
           R"("pace":1,"load_s":1,"warm_s":0.1}]}}],)"
           R"("tenants":[{"name":"team-1","api_keys":["key-1"]}]})";
  }

  [[nodiscard]] Answer Ask(const std::string& path, const std::string& id,
                           const std::string& key = kKey,
                           bool is_stream = false) const {
    std::map<std::string, std::string> headers = {
        {"Host", "shop.example"},
        {"X-Gooseberryturn-Attempt-Id", id},
        {"X-Gooseberryturn-Deadline-Ms", "3000"},
        {"Authorization", key}};
    if (is_stream) {
      headers["X-Gooseberryturn-Model"] = "m";
      headers["X-Gooseberryturn-Token-Usage"] = "10,10";
    }
    return Call(this->Callers(), "POST", path, headers, "body").ReadAll();
  }

  /// Starts control host `number`; without a disk it passes calls on.
  void StartControl(int number, bool has_disk = true) {
    const std::string name = this->folder + "/c" + std::to_string(number);
    this->Write(name + ".conf", number,
                "listen.control=" + ToString(this->Control(number)) +
                    (has_disk ? "\ndata_dir=" + name : "") + "\n");
    this->controls.push_back(std::make_unique<Process>(
        std::vector<std::string>{
            std::string(BINARY_ROOT) + "/gooseberryturn-direct-control",
            "--settings", name + ".conf"},
        name + ".log"));
  }

  std::vector<std::unique_ptr<Process>> controls;
  std::unique_ptr<Process> entry;
  std::string folder;

 private:
  void Write(const std::string& file, int number, const std::string& lines) {
    std::ofstream(file)
        << "node_name=host-" << number
        << "\nzone=za\nip=" << this->At(number, 1).address
        << "\nport_range=7340,7355\nseeds=" << ToString(this->Control(1)) << ","
        << ToString(this->Control(2)) << "," << ToString(this->Control(3))
        << "\nbootstrap=true\nheartbeat_ms=300\nbounds.grace_s=6\n"
        << "bounds.retry_budget_ratio=0.2\nbounds.retry_budget_burst=160\n"
        << lines;
  }
  void StartEntry() {
    const std::string name = this->folder + "/e";
    this->Write(name + ".conf", 9,
                "listen.front=" + ToString(this->Callers()) +
                    "\nlisten.ready=" + ToString(this->Ready()) + "\n");
    this->entry = std::make_unique<Process>(
        std::vector<std::string>{
            std::string(BINARY_ROOT) + "/gooseberryturn-direct-entry",
            "--settings", name + ".conf"},
        name + ".log");
  }

  int net;
};

}  // namespace

BOOST_AUTO_TEST_CASE(configurations_are_kept_checked_and_read_back) {
  PlatformFleet fleet(60);
  BOOST_TEST(Eventually(
      [&fleet] { return Get(fleet.Ready(), "/api/readyz").status == 503; }));
  fleet.Put(5);
  // Read back and changed through another host than the one it was sent to.
  for (int number = 1; number <= 3; ++number) {
    BOOST_TEST(Eventually([&fleet, number] {
      return Get(fleet.Control(number), "/api/config").body ==
             fleet.Configuration(5, 2000);
    }));
  }
  BOOST_TEST(Eventually(
      [&fleet] { return Get(fleet.Ready(), "/api/readyz").status == 200; }));
  const auto put = [&fleet](const std::string& text) {
    return Call(fleet.Control(2), "PUT", "/api/config", {}, text)
        .ReadAll()
        .status;
  };
  BOOST_TEST(put(fleet.Configuration(6, 0)) == 400);
  BOOST_TEST(put(fleet.Configuration(6, 2000).substr(0, 300)) == 400);
  BOOST_TEST(put(fleet.Configuration(4, 999)) == 200);
  BOOST_TEST(put(fleet.Configuration(5, 999)) == 200);
  BOOST_TEST(Get(fleet.Control(3), "/api/config").body ==
             fleet.Configuration(5, 2000));
  BOOST_TEST(put(std::string(200'000, '[')) == 400);
}

BOOST_AUTO_TEST_CASE(a_control_host_without_a_disk_passes_calls_on) {
  PlatformFleet fleet(65);
  fleet.StartControl(4, false);
  const Endpoint relay = fleet.Control(4);
  BOOST_REQUIRE(Eventually([&fleet, &relay] {
    return Call(relay, "PUT", "/api/config", {}, fleet.Configuration(5, 2000))
               .ReadAll()
               .status == 200;
  }));
  BOOST_TEST(Get(fleet.Control(2), "/api/config").body ==
             fleet.Configuration(5, 2000));
  // A target that announces itself there is told to whom it speaks next.
  StandIn target("i-1", fleet.At(20, 9000), relay, "plain");
  BOOST_TEST(Eventually(
      [&fleet] { return fleet.Ask("/safe/1", "a1").status == 200; }));
  // It finds the next leader, and says so while there is none.
  fleet.controls[0]->Kill();
  BOOST_TEST(Eventually([&fleet, &relay] {
    return Get(relay, "/api/config").body == fleet.Configuration(5, 2000);
  }));
  fleet.controls[1]->Kill();
  BOOST_TEST(
      Eventually([&relay] { return Get(relay, "/api/config").status == 503; }));
  fleet.controls[3]->Signal(SIGTERM);
  BOOST_TEST(fleet.controls[3]->WaitExit() == 0);
}

BOOST_AUTO_TEST_CASE(a_control_host_that_was_taken_out_comes_back) {
  // Seen on tdb-ops-grown, incident inc-867c: a host that was down for 5 s was
  // taken out of the quorum and never asked to be let in again.
  PlatformFleet fleet(66);
  fleet.StartControl(4);
  const auto count = [&fleet](const std::string& text) {
    std::size_t found = 0;
    for (const std::unique_ptr<Process>& control : fleet.controls) {
      const std::string log = control->Log();
      for (std::size_t at = log.find(text); at != std::string::npos;
           at = log.find(text, at + 1)) {
        found += 1;
      }
    }
    return found;
  };
  BOOST_REQUIRE(Eventually(
      [&count] { return count(R"("hosts":"4","voters":"3")") == 1; }));
  fleet.Put(5);
  fleet.controls[2]->Kill();
  BOOST_REQUIRE(Eventually(
      [&count] { return count(R"("hosts":"3","voters":"3")") >= 1; }));
  fleet.controls[2]->Start();
  BOOST_TEST(Eventually(
      [&count] { return count(R"("hosts":"4","voters":"3")") == 2; }));
  BOOST_TEST(Eventually([&fleet] {
    return Get(fleet.Control(3), "/api/config").body ==
           fleet.Configuration(5, 2000);
  }));
}

BOOST_AUTO_TEST_CASE(what_was_acknowledged_survives_a_kill_of_all_hosts) {
  PlatformFleet fleet(61);
  fleet.Put(8);
  for (const std::unique_ptr<Process>& control : fleet.controls) {
    control->Kill();
  }
  fleet.entry->Kill();
  for (const std::unique_ptr<Process>& control : fleet.controls) {
    control->Start();
  }
  fleet.entry->Start();
  BOOST_TEST(Eventually([&fleet] {
    return Get(fleet.Control(2), "/api/config").body ==
           fleet.Configuration(8, 2000);
  }));
  BOOST_TEST(Eventually(
      [&fleet] { return Get(fleet.Ready(), "/api/readyz").status == 200; }));
}

BOOST_AUTO_TEST_CASE(plain_requests_reach_the_right_target_once) {
  PlatformFleet fleet(62);
  fleet.Put(1);
  StandIn one("i-1", fleet.At(20, 9000), fleet.Control(2), "plain");
  BOOST_REQUIRE(Eventually(
      [&fleet] { return fleet.Ask("/safe/1", "warm").status == 200; }));
  const Answer served = fleet.Ask("/safe/1", "a1");
  BOOST_TEST(served.body == "answer of i-1");
  std::map<std::string, std::string> headers = one.LastHeaders();
  BOOST_TEST(headers["X-Gooseberryturn-Tenant"] == "team-1");
  BOOST_TEST(headers["X-Gooseberryturn-Target-Instance"] == "i-1");
  BOOST_TEST(headers.count("Authorization") == 0U);
  BOOST_TEST(std::stoi(headers["X-Gooseberryturn-Deadline-Ms"]) <= 2000);
  BOOST_TEST(fleet.Ask("/safe/1", "a2", "Bearer nobody").status == 401);
  BOOST_TEST(fleet.Ask("/none/1", "a3").status == 404);

  // Not run: a truthful 503 that says when to come back.
  one.manner = Manner::kShed;
  const Answer shed = fleet.Ask("/unsafe/1", "a4");
  BOOST_TEST(shed.status == 503);
  BOOST_TEST(shed.headers.count("Retry-After") == 1U);
  // It ran and its answer was lost: no promise, and no second run.
  one.manner = Manner::kCloseUnanswered;
  BOOST_TEST(fleet.Ask("/unsafe/1", "a5").status == 502);
  const std::vector<std::string> runs = one.Runs();
  BOOST_TEST(std::count(runs.begin(), runs.end(), "a4") == 0);
  BOOST_TEST(std::count(runs.begin(), runs.end(), "a5") == 1);

  // A safe one goes on at another target.
  StandIn two("i-2", fleet.At(21, 9000), fleet.Control(3), "plain");
  BOOST_TEST(Eventually(
      [&fleet] { return fleet.Ask("/safe/1", "a6").body == "answer of i-2"; }));
}

BOOST_AUTO_TEST_CASE(a_broken_stream_goes_on_at_another_group) {
  PlatformFleet fleet(63);
  fleet.Put(1);
  std::vector<std::unique_ptr<StandIn>> engines;
  for (int number = 1; number <= 4; ++number) {
    engines.push_back(std::make_unique<StandIn>(
        "e-" + std::to_string(number), fleet.At(30 + number, 9000),
        fleet.Control(1 + number % 3), "engines"));
  }
  const auto count_open = [&engines] {
    return std::count_if(engines.begin(), engines.end(),
                         [](const std::unique_ptr<StandIn>& engine) {
                           return engine->IsOpen();
                         });
  };
  BOOST_REQUIRE(Eventually([&count_open] { return count_open() == 2; }));
  BOOST_REQUIRE(Eventually([&fleet] {
    return fleet.Ask("/stream/1", "warm", kKey, true).is_complete;
  }));
  for (const std::unique_ptr<StandIn>& engine : engines) {
    engine->manner = Manner::kCutStream;
  }
  const Answer resumed = fleet.Ask("/stream/1", "s1", kKey, true);
  // Both break off after three events: six whole ones came, each once, and
  // the answer does not look complete.
  std::string expected;
  for (int number = 1; number <= 6; ++number) {
    expected += "id: " + std::to_string(number) +
                "\ndata: " + std::to_string(number) + "\n\n";
  }
  BOOST_TEST(resumed.body == expected);
  BOOST_TEST(!resumed.is_complete);
}

BOOST_AUTO_TEST_CASE(hosts_stop_and_reload_as_asked) {
  PlatformFleet fleet(64);
  fleet.Put(1);
  BOOST_TEST(Eventually(
      [&fleet] { return Get(fleet.Ready(), "/api/readyz").status == 200; }));
  fleet.entry->Signal(SIGHUP);
  fleet.controls[0]->Signal(SIGHUP);
  BOOST_TEST(Eventually([&fleet] {
    return fleet.entry->Log().find("settings_reloaded") != std::string::npos &&
           fleet.controls[0]->Log().find("settings_reloaded") !=
               std::string::npos;
  }));
  BOOST_TEST(Get(fleet.Ready(), "/metrics").body.find("requests_total") !=
             std::string::npos);
  fleet.entry->Signal(SIGTERM);
  BOOST_TEST(Eventually(
      [&fleet] { return Get(fleet.Ready(), "/api/readyz").status == 503; }));
  BOOST_TEST(fleet.entry->WaitExit() == 0);
  fleet.controls[0]->Signal(SIGTERM);
  BOOST_TEST(fleet.controls[0]->WaitExit() == 0);
}
