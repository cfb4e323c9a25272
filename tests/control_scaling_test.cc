#define BOOST_TEST_MODULE control_scaling
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "http_call.h"
#include "process.h"

/// The number of targets that a leader decides. Runs the real program.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

constexpr char kConfiguration[] =
    R"({"version":1,"routes":[{"host":"shop.example","timeout_ms":2000,)"
    R"("public":true,"path_prefix":"/safe/","kind":"safe",)"
    R"("service":"plain"}],"services":[{"name":"plain",)"
    R"("scaling":{"min":3,"max":10,"boot_s":8}}]})";

/// A control host that is its own majority, on address 127.187.0.NUMBER.
class ControlHostProcess {
 public:
  ControlHostProcess(int number, const std::string& duties)
      : address("127.187.0." + std::to_string(number)) {
    char name[] = "/tmp/gooseberryturn-XXXXXX";
    this->folder = mkdtemp(name);
    std::ofstream(this->folder + "/c.conf")
        << "node_name=host-1\nzone=za\nip=" << this->address
        << "\nport_range=7340,7355\nseeds=" << this->address
        << ":7001\nbootstrap=true\nheartbeat_ms=300\nbounds.grace_s=6\n"
        << "bounds.retry_budget_ratio=0.2\nbounds.retry_budget_burst=160\n"
        << "listen.control=" << this->address
        << ":7001\ndata_dir=" << this->folder << "/data\n"
        << "cloud.address=" << this->address << ":8424\ncloud.duties=" << duties
        << "\ncloud.duty_per_s=50\n";
    this->process = std::make_unique<Process>(
        std::vector<std::string>{
            std::string(BINARY_ROOT) + "/gooseberryturn-direct-control",
            "--settings", this->folder + "/c.conf"},
        this->folder + "/c.log");
  }
  ~ControlHostProcess() {
    this->process.reset();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
  ControlHostProcess(const ControlHostProcess&) = delete;
  ControlHostProcess& operator=(const ControlHostProcess&) = delete;

  [[nodiscard]] bool PutConfiguration() const {
    return Call({this->address, 7001}, "PUT", "/api/config", {}, kConfiguration)
               .ReadAll()
               .status == 200;
  }
  [[nodiscard]] bool HasCounted(const std::string& line) const {
    return Call({this->address, 7001}, "GET", "/metrics", {}, "")
               .ReadAll()
               .body.find("\n" + line + "\n") != std::string::npos;
  }
  [[nodiscard]] std::string Log() const {
    std::ifstream file(this->folder + "/c.log");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
  }

 private:
  std::string address;
  std::string folder;
  std::unique_ptr<Process> process;
};

}  // namespace

// Guards against a planner that the leader does not run.
BOOST_AUTO_TEST_CASE(the_leader_decides_the_minimum_without_demand) {
  const ControlHostProcess host(1, "autoscale");
  BOOST_REQUIRE(Eventually([&host] { return host.PutConfiguration(); }));
  BOOST_TEST(Eventually([&host] {
    return host.HasCounted("gooseberryturn_scale_changes_total 1");
  }));
  BOOST_TEST(Eventually([&host] {
    const std::string log = host.Log();
    return log.find(R"("event":"scale_changed")") != std::string::npos &&
           log.find(R"("to":"3")") != std::string::npos;
  }));
}

// Guards against orders of a deployment that does not call for them.
BOOST_AUTO_TEST_CASE(nothing_is_decided_without_the_duty) {
  const ControlHostProcess host(2, "metering");
  BOOST_REQUIRE(Eventually([&host] { return host.PutConfiguration(); }));
  // Longer than it takes to settle and to give up waiting for demand.
  std::this_thread::sleep_for(std::chrono::seconds(10));
  BOOST_TEST(host.HasCounted("gooseberryturn_scale_changes_total 0"));
}
