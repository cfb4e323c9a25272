#ifndef GOOSEBERRYTURN_TESTS_PLATFORM_FLEET_H_
#define GOOSEBERRYTURN_TESTS_PLATFORM_FLEET_H_

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "http_call.h"
#include "process.h"

namespace gooseberryturn::fleet {

inline constexpr char kKey[] = "Bearer key-1";

/// True once a check of the test case that runs now has failed.
[[nodiscard]] inline bool HasTestFailed() {
  namespace framework = boost::unit_test;
  return std::uncaught_exceptions() > 0 ||
         !framework::results_collector
              .results(framework::framework::current_test_case().p_id)
              .passed();
}

/// Three control hosts and one or more entries on addresses 127.NET.0.*. When
/// the test case fails, the answers of SendRequest and the logs are printed,
/// and the folder with the logs is kept.
class PlatformFleet {
 public:
  /// \param settings Further lines of the settings of all hosts.
  explicit PlatformFleet(int net, int entry_count = 1,
                         std::string settings = "")
      : net(net), common_settings(std::move(settings)) {
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
    if (HasTestFailed()) {
      this->PrintRecord();
      return;
    }
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
           R"("service":"engines"},{)" +
           route +
           R"("path_prefix":"/once/","kind":"streaming","resumable":false,)"
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
                                   int deadline_ms = 3000,
                                   const std::string& body = "body") const {
    std::map<std::string, std::string> headers = {
        {"Host", "shop.example"},
        {"X-Gooseberryturn-Attempt-Id", id},
        {"X-Gooseberryturn-Deadline-Ms", std::to_string(deadline_ms)},
        {"Authorization", key}};
    if (is_stream) {
      headers["X-Gooseberryturn-Model"] = "m";
      headers["X-Gooseberryturn-Token-Usage"] = "10,10";
    }
    const std::chrono::steady_clock::time_point began_at =
        std::chrono::steady_clock::now();
    const Answer answer =
        Call(this->CallerEndpoint(), "POST", path, headers, body).ReadAll();
    this->Record(path + " " + id, answer, began_at);
    return answer;
  }

  /// Sends a stream. A refusal is a complete answer too, but does not count.
  [[nodiscard]] bool IsStreamServed(const std::string& id) const {
    const Answer answer = this->SendRequest("/stream/1", id, kKey, true);
    return answer.status == 200 && answer.is_complete;
  }

  /// Keeps what became of a request for the record of a failed test case.
  void Record(const std::string& request, const Answer& answer,
              std::chrono::steady_clock::time_point began_at) const {
    const std::chrono::milliseconds time =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - began_at);
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->outcomes.push_back(
        request + ": " + std::to_string(answer.status) +
        (answer.is_complete ? " complete" : " incomplete") + " after " +
        std::to_string(time.count()) + " ms, " +
        std::to_string(answer.body.size()) + " bytes");
    if (this->outcomes.size() > kRecordedLines) {
      this->outcomes.pop_front();
    }
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
  /// Prints the outcomes and the last lines of each log.
  void PrintRecord() const {
    std::cerr << "failed; logs in " << this->folder << "\n";
    for (const std::string& outcome : this->outcomes) {
      std::cerr << outcome << "\n";
    }
    for (const std::filesystem::directory_entry& file :
         std::filesystem::directory_iterator(this->folder)) {
      if (file.path().extension() == ".log") {
        std::cerr << file.path().filename().string() << ":\n";
        PrintLastLines(file.path());
      }
    }
  }
  static void PrintLastLines(const std::filesystem::path& path) {
    std::ifstream file(path);
    std::deque<std::string> lines;
    for (std::string line; std::getline(file, line);) {
      lines.push_back(line);
      if (lines.size() > kRecordedLines) {
        lines.pop_front();
      }
    }
    for (const std::string& line : lines) {
      std::cerr << line << "\n";
    }
  }
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
        << this->common_settings << lines;
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
  static constexpr std::size_t kRecordedLines = 60;

  int net;
  std::string common_settings;
  mutable std::mutex mutex;
  mutable std::deque<std::string> outcomes;
};

}  // namespace gooseberryturn::fleet

#endif  // GOOSEBERRYTURN_TESTS_PLATFORM_FLEET_H_
