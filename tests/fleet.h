#ifndef GOOSEBERRYTURN_TESTS_FLEET_H_
#define GOOSEBERRYTURN_TESTS_FLEET_H_

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "http_call.h"
#include "process.h"
#include "relay.h"

/// Starts the real programs on loopback addresses for the process tests.
namespace gooseberryturn::fleet {

/// How to start a target and its agent.
struct TargetPlan {
  int number = 0;
  std::string data_centre = "a";
  std::string domain = "rack-1";
  bool is_model = true;
  std::vector<std::string> options;
};

/// A fleet of child processes on addresses 127.NET.ROLE.NUMBER; ROLE is 0 for
/// control hosts, 1 for entries, 2 for targets with their agents and 9 for
/// relays. Tests that run at the same time need different values of NET.
class Fleet {
 public:
  explicit Fleet(int net) : net(net) {
    char name[] = "/tmp/gooseberryturn-XXXXXX";
    this->folder = mkdtemp(name);
  }
  ~Fleet() {
    this->processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }

  Endpoint MakeEndpoint(int role, int number, int port) const {
    return {"127." + std::to_string(this->net) + "." + std::to_string(role) +
                "." + std::to_string(number),
            static_cast<std::uint16_t>(port)};
  }
  Endpoint ControlLink(int id) const { return this->MakeEndpoint(0, id, 7000); }
  Endpoint ControlHttp(int id) const { return this->MakeEndpoint(0, id, 7001); }
  Endpoint EntryEndpoint(int number) const {
    return this->MakeEndpoint(1, number, 8080);
  }
  Endpoint EntryHttp(int number) const {
    return this->MakeEndpoint(1, number, 7001);
  }
  Endpoint AgentHttp(int number) const {
    return this->MakeEndpoint(2, number, 7001);
  }
  Endpoint TargetEndpoint(int number) const {
    return this->MakeEndpoint(2, number, 9000);
  }
  Endpoint RelayEndpoint(int id) const {
    return this->MakeEndpoint(9, id, 7000);
  }

  Process& GetProcess(const std::string& name) {
    return *this->processes.at(name);
  }
  [[nodiscard]] std::string FilePath(const std::string& name) const {
    return this->folder + "/" + name;
  }

  void StartControlHost(int id, bool is_bootstrap = true) {
    std::string peers;
    for (int peer = 1; peer <= 3; ++peer) {
      // A new control host lists itself in place of host 3.
      const int peer_id = peer == 3 && id > 3 ? id : peer;
      peers += (peer == 1 ? "" : ",") + std::string("{\"id\":") +
               std::to_string(peer_id) + ",\"link\":\"" +
               ToString(this->ControlLink(peer_id)) + "\",\"http\":\"" +
               ToString(this->ControlHttp(peer_id)) + "\"}";
    }
    const std::string name = "control-" + std::to_string(id);
    this->WriteSettings(
        name, "\"host\":\"" + name + "\",\"data_centre\":\"a\",\"http\":\"" +
                  ToString(this->ControlHttp(id)) +
                  "\",\"id\":" + std::to_string(id) + ",\"data_folder\":\"" +
                  this->FilePath(name + "-data") + "\",\"peers\":[" + peers +
                  "]");
    this->StartServer(name, "gooseberryturn-control",
                      is_bootstrap ? std::vector<std::string>{"--bootstrap"}
                                   : std::vector<std::string>{});
  }
  void StartEntry(int number, const std::string& data_centre = "a",
                  const std::string& more_settings = "") {
    const std::string name = "entry-" + std::to_string(number);
    this->WriteSettings(
        name, "\"host\":\"" + name + "\",\"data_centre\":\"" + data_centre +
                  "\",\"http\":\"" + ToString(this->EntryHttp(number)) +
                  "\",\"callers\":\"" + ToString(this->EntryEndpoint(number)) +
                  "\",\"control\":" + this->ControlLinks(false) +
                  more_settings);
    this->StartServer(name, "gooseberryturn-entry", {});
  }
  /// Starts a fake target and its agent, which reaches control through the
  /// relays if `uses_relay` is true.
  void StartTarget(const TargetPlan& plan, bool uses_relay = false) {
    const std::string number = std::to_string(plan.number);
    std::vector<std::string> options = plan.options;
    options.push_back("--listen");
    options.push_back(ToString(this->TargetEndpoint(plan.number)));
    if (!plan.is_model) {
      options.push_back("--journal");
      options.push_back(this->FilePath("journal"));
    }
    this->StartProcess("target-" + number,
                       plan.is_model ? "fake-engine" : "fake-plain", options);
    const std::string name = "host-" + number;
    this->WriteSettings(
        name,
        "\"host\":\"" + name + "\",\"data_centre\":\"" + plan.data_centre +
            "\",\"http\":\"" + ToString(this->AgentHttp(plan.number)) +
            "\",\"link\":\"" +
            ToString(this->MakeEndpoint(2, plan.number, 7000)) +
            "\",\"target\":\"" + ToString(this->TargetEndpoint(plan.number)) +
            "\",\"target_kind\":\"" + (plan.is_model ? "model" : "plain") +
            "\",\"service\":\"" + (plan.is_model ? "llm" : "orders") +
            "\",\"fabric_domain\":\"" + plan.domain +
            "\",\"control\":" + this->ControlLinks(uses_relay));
    this->StartServer(name, "gooseberryturn-agent", {});
  }
  /// Starts control hosts 1 to 3.
  void StartControlHosts() {
    for (int id = 1; id <= 3; ++id) {
      this->StartControlHost(id);
    }
  }

  /// Calls the operator API; tries control hosts 1 to `last_id` until the
  /// leader answers.
  Answer CallOperatorApi(const std::string& method, const std::string& path,
                         const std::string& body = "", int last_id = 3) {
    Answer answer;
    const bool is_done = Eventually([&] {
      for (int id = 1; id <= last_id; ++id) {
        answer = Call(this->ControlHttp(id), method, path, {}, body).ReadAll();
        if (answer.status != 0 && answer.status != 421 &&
            answer.status != 503) {
          return true;
        }
      }
      return false;
    });
    BOOST_REQUIRE_MESSAGE(is_done, "no leader answered");
    return answer;
  }
  void ApplyDocument(const std::string& document, int base) {
    const Answer answer =
        this->CallOperatorApi("POST",
                              "/v1/apply?base=" + std::to_string(base) +
                                  "&change=test-" + std::to_string(base),
                              document);
    BOOST_REQUIRE_MESSAGE(answer.status == 200 || answer.status == 202,
                          answer.body);
  }
  std::string GetStatus() {
    return this->CallOperatorApi("GET", "/v1/status").body;
  }
  int CountServingGroups() {
    return this->CountOccurrences(this->GetStatus(), "\"serving\":true");
  }
  void WaitForServingGroups(int groups) {
    BOOST_REQUIRE_MESSAGE(
        Eventually([&] { return this->CountServingGroups() >= groups; }),
        "not enough groups serve: " << this->GetStatus());
  }
  void WaitForEntry(int number) {
    BOOST_REQUIRE(Eventually(
        [&] { return Get(this->EntryHttp(number), "/ready").status == 200; }));
  }
  Answer Post(int entry, const std::string& path, const std::string& body,
              const std::string& key = "", const std::string& team = "t1") {
    return this->StartRequest(entry, path, body, key, team)->ReadAll();
  }
  std::unique_ptr<Call> StartRequest(int entry, const std::string& path,
                                     const std::string& body,
                                     const std::string& key = "",
                                     const std::string& team = "t1",
                                     int receive_buffer = 0) {
    std::map<std::string, std::string> headers = {
        {"Gooseberryturn-Team", team}};
    if (!key.empty()) {
      headers["Idempotency-Key"] = key;
    }
    return std::make_unique<Call>(this->EntryEndpoint(entry), "POST", path,
                                  headers, body, receive_buffer);
  }
  /// Counts the requests that fake-plain targets ran and whose body contains
  /// `text`.
  int CountRuns(const std::string& text) const {
    std::ifstream journal(this->FilePath("journal"));
    std::string line;
    int count = 0;
    while (std::getline(journal, line)) {
      count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
  }
  /// Returns a counter of a fake-engine target; -1 when it is missing.
  long EngineCounter(int number, const std::string& name) const {
    const std::string body = Get(this->TargetEndpoint(number), "/counts").body;
    const std::size_t found = body.find("\"" + name + "\":");
    return found == std::string::npos
               ? -1
               : std::strtol(body.c_str() + found + name.size() + 3, nullptr,
                             10);
  }
  /// Waits until a control host leads and returns its id.
  int WaitForLeader() {
    int leader = 0;
    BOOST_REQUIRE(Eventually([&] {
      for (int id = 1; id <= 4; ++id) {
        if (this->processes.count("control-" + std::to_string(id)) > 0 &&
            Get(this->ControlHttp(id), "/ready").status == 200) {
          leader = id;
          return true;
        }
      }
      return false;
    }));
    return leader;
  }
  static int CountOccurrences(const std::string& text,
                              const std::string& part) {
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
      ++count;
    }
    return count;
  }

  std::map<std::string, std::unique_ptr<Process>> processes;

 private:
  std::string ControlLinks(bool uses_relay) const {
    std::string links;
    for (int id = 1; id <= 3; ++id) {
      links += (id == 1 ? "\"" : ",\"") +
               ToString(uses_relay ? this->RelayEndpoint(id)
                                   : this->ControlLink(id)) +
               "\"";
    }
    return "[" + links + "]";
  }
  void WriteSettings(const std::string& name,
                     const std::string& members) const {
    std::ofstream(this->FilePath(name + ".json")) << "{" << members << "}";
  }
  void StartServer(const std::string& name, const std::string& program,
                   std::vector<std::string> options) {
    options.push_back("--settings");
    options.push_back(this->FilePath(name + ".json"));
    this->StartProcess(name, program, options);
  }
  void StartProcess(const std::string& name, const std::string& program,
                    const std::vector<std::string>& options) {
    std::vector<std::string> command = {std::string(BINARY_ROOT) + "/" +
                                        program};
    command.insert(command.end(), options.begin(), options.end());
    this->processes[name] =
        std::make_unique<Process>(command, this->FilePath(name + ".log"));
  }

  int net;
  std::string folder;
};

/// Values of the document that MakeDocument writes.
struct DocumentPlan {
  int groups = 1;
  int hosts = 1;
  int order_groups = 1;
  int in_flight = 32;
  int cold_in_flight = 32;
  int memory_tokens = 1'000'000;
  int deadline_ms = 60'000;
  std::string note;
};

inline std::string MakeDocument(const DocumentPlan& plan) {
  const auto text = [](int number) { return std::to_string(number); };
  return "{\"environment\":\"test" + plan.note +
         "\",\"data_centres\":["
         "{\"name\":\"a\",\"region\":\"r\"},{\"name\":\"b\",\"region\":\"r\"}],"
         "\"services\":[{\"name\":\"llm\",\"kind\":\"model\",\"groups\":" +
         text(plan.groups) + ",\"hosts_per_group\":" + text(plan.hosts) +
         ",\"limits\":{\"memory_tokens\":" + text(plan.memory_tokens) +
         ",\"max_output_tokens\":100,\"in_flight\":" + text(plan.in_flight) +
         ",\"cold_in_flight\":" + text(plan.cold_in_flight) +
         ",\"max_body_bytes\":65536},\"routes\":[{\"path\":\"/gen\","
         "\"idempotent\":true,\"deadline_ms\":" +
         text(plan.deadline_ms) +
         "}]},{\"name\":\"orders\",\"kind\":\"plain\",\"groups\":" +
         text(plan.order_groups) +
         ",\"limits\":{\"in_flight\":8,\"cold_in_flight\":8},\"routes\":["
         "{\"path\":\"/order\",\"idempotent\":false,\"deadline_ms\":" +
         text(plan.deadline_ms) +
         "}]}],\"teams\":[{\"name\":\"t1\",\"requests_per_second\":100000,"
         "\"in_flight\":100000},{\"name\":\"small\",\"requests_per_second\":1,"
         "\"in_flight\":1}]}";
}

}  // namespace gooseberryturn::fleet

#endif  // GOOSEBERRYTURN_TESTS_FLEET_H_
