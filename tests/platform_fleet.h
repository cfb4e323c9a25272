#ifndef GOOSEBERRYTURN_TESTS_PLATFORM_FLEET_H_
#define GOOSEBERRYTURN_TESTS_PLATFORM_FLEET_H_

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "http_call.h"
#include "process.h"

namespace gooseberryturn::fleet {

inline constexpr char kKey[] = "Bearer key-1";

/// Three control hosts and one or more entries on addresses 127.NET.0.*.
class PlatformFleet {
 public:
  explicit PlatformFleet(int net, int entry_count = 1) : net(net) {
    char name[] = "/tmp/gooseberryturn-XXXXXX";
    this->folder = mkdtemp(name);
    for (int number = 1; number <= 3; ++number) {
      this->StartControl(number);
    }
    for (int entry = 0; entry < entry_count; ++entry) {
      this->StartEntry(entry);
    }
  }
  ~PlatformFleet() {
    this->controls.clear();
    this->entries.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
  PlatformFleet(const PlatformFleet&) = delete;
  PlatformFleet& operator=(const PlatformFleet&) = delete;

  [[nodiscard]] Endpoint EndpointAt(int number, int port) const {
    return {"127." + std::to_string(this->net) + ".0." + std::to_string(number),
            static_cast<std::uint16_t>(port)};
  }
  [[nodiscard]] Endpoint ControlEndpoint(int number) const {
    return this->EndpointAt(number, 7001);
  }
  [[nodiscard]] Endpoint CallerEndpoint(int entry = 0) const {
    return this->EndpointAt(kFirstEntryNumber + entry, 8080);
  }
  [[nodiscard]] Endpoint ReadinessEndpoint(int entry = 0) const {
    return this->EndpointAt(kFirstEntryNumber + entry, 8081);
  }

  void PutConfiguration(int version, int timeout_ms = 2000) {
    BOOST_REQUIRE(Eventually([this, version, timeout_ms] {
      return Call(this->ControlEndpoint(1), "PUT", "/api/config", {},
                  this->ConfigurationJson(version, timeout_ms))
                 .ReadAll()
                 .status == 200;
    }));
  }

  [[nodiscard]] std::string ConfigurationJson(int version,
                                              int timeout_ms) const {
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

  [[nodiscard]] Answer SendRequest(const std::string& path,
                                   const std::string& id,
                                   const std::string& key = kKey,
                                   bool is_stream = false,
                                   int deadline_ms = 3000) const {
    std::map<std::string, std::string> headers = {
        {"Host", "shop.example"},
        {"X-Gooseberryturn-Attempt-Id", id},
        {"X-Gooseberryturn-Deadline-Ms", std::to_string(deadline_ms)},
        {"Authorization", key}};
    if (is_stream) {
      headers["X-Gooseberryturn-Model"] = "m";
      headers["X-Gooseberryturn-Token-Usage"] = "10,10";
    }
    return Call(this->CallerEndpoint(), "POST", path, headers, "body")
        .ReadAll();
  }

  /// Starts control host `number`; one without a disk forwards calls to the
  /// leader.
  /// \param known Numbers of the control hosts that its settings name.
  void StartControl(int number, bool has_disk = true,
                    const std::vector<int>& known = {1, 2, 3}) {
    const std::string name = this->folder + "/c" + std::to_string(number);
    this->WriteSettings(
        name + ".conf", number,
        "listen.control=" + ToString(this->ControlEndpoint(number)) +
            (has_disk ? "\ndata_dir=" + name : "") + "\n",
        known);
    this->controls.push_back(std::make_unique<Process>(
        std::vector<std::string>{
            std::string(BINARY_ROOT) + "/gooseberryturn-direct-control",
            "--settings", name + ".conf"},
        name + ".log"));
  }

  std::vector<std::unique_ptr<Process>> controls;
  std::vector<std::unique_ptr<Process>> entries;
  std::string folder;

 private:
  void WriteSettings(const std::string& file, int number,
                     const std::string& lines,
                     const std::vector<int>& known = {1, 2, 3}) {
    std::string seeds;
    for (const int control : known) {
      seeds +=
          (seeds.empty() ? "" : ",") + ToString(this->ControlEndpoint(control));
    }
    std::ofstream(file)
        << "node_name=host-" << number
        << "\nzone=za\nip=" << this->EndpointAt(number, 1).address
        << "\nport_range=7340,7355\nseeds=" << seeds
        << "\nbootstrap=true\nheartbeat_ms=300\nbounds.grace_s=6\n"
        << "bounds.retry_budget_ratio=0.2\nbounds.retry_budget_burst=160\n"
        << lines;
  }
  void StartEntry(int entry) {
    const int number = kFirstEntryNumber + entry;
    const std::string name = this->folder + "/e" + std::to_string(number);
    this->WriteSettings(
        name + ".conf", number,
        "listen.front=" + ToString(this->CallerEndpoint(entry)) +
            "\nlisten.ready=" + ToString(this->ReadinessEndpoint(entry)) +
            "\n");
    this->entries.push_back(std::make_unique<Process>(
        std::vector<std::string>{
            std::string(BINARY_ROOT) + "/gooseberryturn-direct-entry",
            "--settings", name + ".conf"},
        name + ".log"));
  }

  static constexpr int kFirstEntryNumber = 9;

  int net;
};

}  // namespace gooseberryturn::fleet

#endif  // GOOSEBERRYTURN_TESTS_PLATFORM_FLEET_H_
