#define BOOST_TEST_MODULE platform_control
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "gooseberryturn/direct/control_host.h"
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

namespace {

constexpr char kEvacuation[] = "/api/evacuations/za";

/// A host that isn't the leader stands still while `method` `path` is sent to
/// it by a caller that gives up, and while `meanwhile` runs. Repeated until the
/// host passes the order on after it has woken: one that stood still for long
/// knows no leader and refuses all calls.
/// \returns Number of times.
[[nodiscard]] int SendToFrozenHost(
    const ControlHosts& hosts, const std::string& method,
    const std::string& path,
    const std::function<void(const Endpoint& leader, int round)>& meanwhile) {
  constexpr int kMaxRounds = 10;
  bool is_refused = false;
  int round = 0;
  while (round < kMaxRounds && !is_refused) {
    round += 1;
    const int leader = hosts.Leader();
    const int frozen = leader % kHosts + 1;
    hosts.Host(frozen).Signal(SIGSTOP);
    Call late(hosts.EndpointOf(frozen), method, path, {}, "");
    late.Close();
    meanwhile(hosts.EndpointOf(leader), round);
    hosts.Host(frozen).Signal(SIGCONT);
    is_refused = Eventually(
        [&hosts, frozen] {
          return hosts.Host(frozen).Log().find("late_order_refused") !=
                 std::string::npos;
        },
        kLogLimit);
  }
  BOOST_TEST(is_refused);
  return round;
}

[[nodiscard]] int StatusOf(const Endpoint& host, const std::string& method,
                           const std::string& path) {
  return Call(host, method, path, {}, "").ReadAll().status;
}

/// Number of lines with both texts in the logs of all hosts.
[[nodiscard]] std::size_t CountLines(const ControlHosts& hosts,
                                     const std::string& event,
                                     const std::string& text) {
  std::size_t count = 0;
  for (int number = 1; number <= kHosts; ++number) {
    std::istringstream lines(hosts.Host(number).Log());
    for (std::string line; std::getline(lines, line);) {
      const bool has_both = line.find(event) != std::string::npos &&
                            line.find(text) != std::string::npos;
      count += has_both ? 1 : 0;
    }
  }
  return count;
}

}  // namespace

// Review, case 2: an evacuation that was ordered and acknowledged was undone by
// an older withdrawal that had waited in a frozen host.
BOOST_AUTO_TEST_CASE(an_old_order_of_a_frozen_host_undoes_no_later_one) {
  const ControlHosts hosts(146);
  BOOST_REQUIRE(
      StatusOf(hosts.EndpointOf(hosts.Leader()), "POST", kEvacuation) == 200);
  const int returns = SendToFrozenHost(
      hosts, "DELETE", kEvacuation, [](const Endpoint& leader, int /*round*/) {
        BOOST_TEST(StatusOf(leader, "DELETE", kEvacuation) == 200);
        BOOST_TEST(StatusOf(leader, "POST", kEvacuation) == 200);
      });
  BOOST_TEST(CountLines(hosts, "\"evacuate\"", "\"out\":\"false\"") ==
             static_cast<std::size_t>(returns));
}

// The same for a target that withdraws: its next run was taken out.
BOOST_AUTO_TEST_CASE(an_old_withdrawal_takes_out_no_later_run) {
  const ControlHosts hosts(147);
  const std::string path = "/api/instances/i-1";
  const Endpoint leader = hosts.EndpointOf(hosts.Leader());
  BOOST_REQUIRE(
      ControlHosts::PutLater(leader, path, AnnouncementJson("ready", 1))
          .get()
          .status == 200);
  (void)SendToFrozenHost(
      hosts, "DELETE", path, [&path](const Endpoint& host, int round) {
        std::string next = AnnouncementJson("ready", 1);
        next.replace(next.find("\"born\":1"), 8,
                     "\"born\":" + std::to_string(1 + round));
        BOOST_TEST(ControlHosts::PutLater(host, path, next).get().status ==
                   200);
      });
  BOOST_TEST(CountLines(hosts, "target_withdrawn", "i-1") == 0U);
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

BOOST_AUTO_TEST_CASE(a_leader_that_stops_leaves_another_one) {
  // Guards against an election timeout without a leader after a planned stop.
  const ControlHosts hosts(148);
  const int leader = hosts.Leader();
  const int other = leader % kHosts + 1;
  hosts.Host(leader).Signal(SIGTERM);
  BOOST_REQUIRE(hosts.Host(leader).WaitExit() == 0);
  const std::chrono::steady_clock::time_point ended =
      std::chrono::steady_clock::now();
  BOOST_TEST(
      ControlHosts::Put(hosts.EndpointOf(other), ConfigurationJson(2)).status ==
      200);
  BOOST_TEST((std::chrono::steady_clock::now() - ended <
              direct::ControlHost::kElectionTimeoutMin / 2));
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
