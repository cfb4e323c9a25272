#define BOOST_TEST_MODULE platform_control
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http_call.h"
#include "process.h"

/// Calls of operators and targets at control hosts that lose their majority or
/// are stopped. Runs the real programs.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT
using std::chrono::milliseconds;

namespace {

constexpr int kHosts = 3;
/// A call must be answered within this time, whatever state its host is in. It
/// allows for a busy machine; callers give up after one second.
constexpr std::chrono::seconds kAnswerLimit(5);
constexpr std::chrono::seconds kLogLimit(2);

[[nodiscard]] std::string ConfigurationJson(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"host":"shop.example","timeout_ms":2000,)"
         R"("slo_ms":500,"attempts":2,"public":true,"path_prefix":"/safe/",)"
         R"("kind":"safe","service":"plain"}],"services":[{"name":"plain"}]})";
}

[[nodiscard]] std::string AnnouncementJson(const std::string& state,
                                           int sequence) {
  return R"({"service":"plain","address":"127.0.0.1:9","zone":"za",)"
         R"("version":"v1","slots":8,"state":")" +
         state + R"(","cold_left_ms":0,"born":1,"seq":)" +
         std::to_string(sequence) + "}";
}

/// Three control hosts on addresses 127.NET.0.*.
class ControlHosts {
 public:
  explicit ControlHosts(int net) : net(net) {
    char name[] = "/tmp/gooseberryturn-XXXXXX";
    this->folder = mkdtemp(name);
    for (int number = 1; number <= kHosts; ++number) {
      this->Start(number);
    }
    BOOST_REQUIRE(Eventually([this] {
      return this->Put(this->EndpointOf(1), ConfigurationJson(1)).status == 200;
    }));
  }
  ~ControlHosts() {
    this->hosts.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
  ControlHosts(const ControlHosts&) = delete;
  ControlHosts& operator=(const ControlHosts&) = delete;

  [[nodiscard]] Endpoint EndpointOf(int number) const {
    return {"127." + std::to_string(this->net) + ".0." + std::to_string(number),
            7001};
  }
  [[nodiscard]] static Answer Put(const Endpoint& host,
                                  const std::string& text) {
    return Call(host, "PUT", "/api/config", {}, text).ReadAll();
  }
  /// A PUT whose answer arrives in the background. A call without an answer
  /// within kTestTimeout has status 0.
  [[nodiscard]] static std::future<Answer> PutLater(const Endpoint& host,
                                                    const std::string& path,
                                                    const std::string& text) {
    return std::async(std::launch::async, [host, path, text] {
      return Call(host, "PUT", path, {}, text).ReadAll();
    });
  }
  /// Number of the host that leads, once there is one.
  [[nodiscard]] int Leader() const {
    int leader = 0;
    BOOST_REQUIRE(Eventually([this, &leader] {
      for (int number = 1; number <= kHosts; ++number) {
        if (Get(this->EndpointOf(number), "/metrics")
                .Contains("is_leader 1\n")) {
          leader = number;
        }
      }
      return leader != 0;
    }));
    return leader;
  }
  void SignalOthers(int host, int signal) const {
    for (int number = 1; number <= kHosts; ++number) {
      if (number != host) {
        this->Host(number).Signal(signal);
      }
    }
  }
  [[nodiscard]] Process& Host(int number) const {
    return *this->hosts[static_cast<std::size_t>(number - 1)];
  }

 private:
  void Start(int number) {
    const std::string name = this->folder + "/c" + std::to_string(number);
    std::string seeds;
    for (int host = 1; host <= kHosts; ++host) {
      seeds += (seeds.empty() ? "" : ",") + ToString(this->EndpointOf(host));
    }
    std::ofstream(name + ".conf")
        << "node_name=host-" << number
        << "\nzone=za\nip=" << this->EndpointOf(number).address
        << "\nport_range=7340,7355\nseeds=" << seeds
        << "\nbootstrap=true\nheartbeat_ms=300\nbounds.grace_s=6\n"
        << "bounds.retry_budget_ratio=0.2\nbounds.retry_budget_burst=160\n"
        << "listen.control=" << ToString(this->EndpointOf(number))
        << "\ndata_dir=" << name << "\n";
    this->hosts.push_back(std::make_unique<Process>(
        std::vector<std::string>{
            std::string(BINARY_ROOT) + "/gooseberryturn-direct-control",
            "--settings", name + ".conf"},
        name + ".log"));
  }

  int net;
  std::string folder;
  std::vector<std::unique_ptr<Process>> hosts;
};

/// Calls a leader whose majority has just been stopped, until one call has
/// waited there for its commit: later ones are refused at once, because the
/// leader's lease has ended. Each must be answered.
void CallWithoutMajority(const ControlHosts& hosts, const std::string& path,
                         const std::function<std::string(int)>& text) {
  bool has_waited = false;
  for (int attempt = 2; attempt < 12 && !has_waited; ++attempt) {
    const int leader = hosts.Leader();
    hosts.SignalOthers(leader, SIGSTOP);
    std::future<Answer> called =
        ControlHosts::PutLater(hosts.EndpointOf(leader), path, text(attempt));
    const bool is_answered =
        called.wait_for(kAnswerLimit) == std::future_status::ready;
    hosts.SignalOthers(leader, SIGCONT);
    BOOST_REQUIRE(is_answered);
    BOOST_TEST(called.get().status == 503);
    // The log is written in the background.
    has_waited = Eventually(
        [&hosts, leader] {
          return hosts.Host(leader).Log().find("call_without_outcome") !=
                 std::string::npos;
        },
        kLogLimit);
  }
  BOOST_TEST(has_waited);
}

}  // namespace

BOOST_AUTO_TEST_CASE(a_change_at_a_leader_without_majority_is_answered) {
  const ControlHosts hosts(140);
  CallWithoutMajority(hosts, "/api/config", ConfigurationJson);
  // The answer promised nothing. The same change is accepted when it is sent
  // again, and holds.
  BOOST_TEST(Eventually([&hosts] {
    return ControlHosts::Put(hosts.EndpointOf(2), ConfigurationJson(20))
               .status == 200;
  }));
  BOOST_TEST(Eventually([&hosts] {
    return Get(hosts.EndpointOf(3), "/api/config").body ==
           ConfigurationJson(20);
  }));
}

BOOST_AUTO_TEST_CASE(a_target_that_leaves_without_majority_is_answered) {
  const ControlHosts hosts(141);
  BOOST_REQUIRE(Eventually([&hosts] {
    return ControlHosts::PutLater(hosts.EndpointOf(1), "/api/instances/i-1",
                                  AnnouncementJson("ready", 1))
               .get()
               .status == 200;
  }));
  CallWithoutMajority(hosts, "/api/instances/i-1", [](int attempt) {
    return AnnouncementJson("draining", attempt);
  });
}

BOOST_AUTO_TEST_CASE(a_leaving_target_is_acknowledged_only_after_the_commit) {
  const ControlHosts hosts(144);
  const auto announce = [&hosts](int host, const std::string& state,
                                 int sequence) {
    return ControlHosts::PutLater(hosts.EndpointOf(host), "/api/instances/i-1",
                                  AnnouncementJson(state, sequence));
  };
  BOOST_REQUIRE(Eventually(
      [&announce] { return announce(1, "ready", 1).get().status == 200; }));
  const int leader = hosts.Leader();
  hosts.SignalOthers(leader, SIGSTOP);
  // The target, or a host between, sends the same call once more.
  std::future<Answer> first = announce(leader, "draining", 2);
  std::this_thread::sleep_for(milliseconds(50));
  std::future<Answer> second = announce(leader, "draining", 2);
  const int first_status = first.get().status;
  const int second_status = second.get().status;
  hosts.SignalOthers(leader, SIGCONT);
  BOOST_TEST(first_status == 503);
  BOOST_TEST(second_status == 503);
}

BOOST_AUTO_TEST_CASE(a_change_in_progress_is_answered_by_a_leader_that_stops) {
  const ControlHosts hosts(142);
  const int leader = hosts.Leader();
  const int other = leader % kHosts + 1;
  // The others commit only after the leader was told to stop.
  hosts.SignalOthers(leader, SIGSTOP);
  std::future<Answer> called = ControlHosts::PutLater(
      hosts.EndpointOf(leader), "/api/config", ConfigurationJson(2));
  std::this_thread::sleep_for(milliseconds(100));
  hosts.Host(leader).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(400));
  hosts.SignalOthers(leader, SIGCONT);
  const Answer answer = called.get();
  BOOST_TEST(hosts.Host(leader).WaitExit() == 0);
  BOOST_TEST(answer.is_complete);
  // 503 where another host has taken over before the commit.
  BOOST_TEST((answer.status == 200 || answer.status == 503));
  if (answer.status == 200) {
    BOOST_TEST(Eventually([&hosts, other] {
      return Get(hosts.EndpointOf(other), "/api/config").status == 200;
    }));
    BOOST_TEST(Get(hosts.EndpointOf(other), "/api/config").body ==
               ConfigurationJson(2));
  }
  // Sent again, it is acknowledged, whether it was applied or not.
  int status = 0;
  BOOST_TEST(Eventually([&hosts, &status, other] {
    status =
        ControlHosts::Put(hosts.EndpointOf(other), ConfigurationJson(2)).status;
    return status != 0 && status != 503;
  }));
  BOOST_TEST(status == 200);
}

BOOST_AUTO_TEST_CASE(a_stop_without_majority_answers_and_ends_in_time) {
  const ControlHosts hosts(143);
  const int leader = hosts.Leader();
  hosts.SignalOthers(leader, SIGSTOP);
  std::future<Answer> called = ControlHosts::PutLater(
      hosts.EndpointOf(leader), "/api/config", ConfigurationJson(2));
  std::this_thread::sleep_for(milliseconds(100));
  hosts.Host(leader).Signal(SIGTERM);
  BOOST_TEST(
      Eventually([&hosts, leader] { return hosts.Host(leader).HasExited(); },
                 kAnswerLimit));
  BOOST_TEST(called.get().status == 503);
  hosts.SignalOthers(leader, SIGCONT);
}
