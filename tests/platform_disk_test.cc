#define BOOST_TEST_MODULE platform_disk
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "http_call.h"
#include "platform_fleet.h"
#include "process.h"

/// Control hosts whose disks are full for a while, beside changes by an
/// operator. Runs the real programs; a file size limit stands for a full disk.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

/// Bound of the platform's pages for the acknowledgement of a change.
constexpr milliseconds kAckLimit(4000);
/// Bound for an acknowledged change to be in force at the entries.
constexpr milliseconds kApplyLimit(2000);
constexpr milliseconds kFullTime(3000);
/// Longer than a host may be silent before the others remove it.
constexpr milliseconds kRemovalTime(4500);
/// Time for a write that has begun before the disk was full.
constexpr milliseconds kSettleTime(500);
constexpr milliseconds kChangeInterval(100);
constexpr seconds kStopLimit(6);
/// A change that isn't acknowledged within this time is given up.
constexpr seconds kChangeLimit(20);
constexpr int kUnauthorized = 401;
/// Room for a host's identity, but not for the first list of the core's
/// members.
constexpr rlim_t kIdentityBytes = 60;
/// With so many keys, forty changes make the log due for compaction.
constexpr int kKeysPerChange = 6000;
constexpr int kKeyCharacters = 40;

/// `count` random keys as members of a JSON list; they hardly compress.
[[nodiscard]] std::string RandomKeys(std::mt19937_64& random, int count) {
  constexpr char characters[] =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";
  std::string keys;
  for (int key = 0; key < count; ++key) {
    keys += ",\"";
    for (int at = 0; at < kKeyCharacters; ++at) {
      keys += characters[random() % (sizeof(characters) - 1)];
    }
    keys += '"';
  }
  return keys;
}

/// A fleet whose operator makes one change after another, in the background.
class ChangedFleet : public PlatformFleet {
 public:
  explicit ChangedFleet(int net, int keys_per_change = kKeysPerChange)
      : PlatformFleet(net), keys_per_change(keys_per_change) {
    this->PutConfiguration(1);
  }
  ~ChangedFleet() { this->StopChanges(); }

  void StartChanges() {
    this->is_changing = true;
    this->operator_thread = std::thread([this] {
      while (this->is_changing) {
        this->Change();
        std::this_thread::sleep_for(kChangeInterval);
      }
    });
  }
  void StopChanges() {
    this->is_changing = false;
    if (this->operator_thread.joinable()) {
      this->operator_thread.join();
    }
  }
  /// Makes the disk of control host `number` full for `length`.
  void FillDisk(int number, milliseconds length = kFullTime) const {
    this->Control(number).SetDiskFull(true);
    std::this_thread::sleep_for(kSettleTime);
    const std::uintmax_t stored = this->StoredBytes(number);
    std::this_thread::sleep_for(length - kSettleTime);
    BOOST_TEST(this->StoredBytes(number) <= stored);
    this->Control(number).SetDiskFull(false);
  }
  [[nodiscard]] Process& Control(int number) const {
    return *this->controls[static_cast<std::size_t>(number - 1)];
  }
  /// Number of the control host that leads, 0 if there is none.
  [[nodiscard]] int Leader() const {
    for (std::size_t at = 0; at < this->controls.size(); ++at) {
      const int number = static_cast<int>(at) + 1;
      if (Get(this->ControlEndpoint(number), "/metrics")
              .Contains("is_leader 1\n")) {
        return number;
      }
    }
    return 0;
  }
  /// Number of the leader, once there is one.
  [[nodiscard]] int WaitForLeader() const {
    int leader = 0;
    BOOST_REQUIRE(Eventually([this, &leader] {
      leader = this->Leader();
      return leader != 0;
    }));
    return leader;
  }
  /// Voters after each change of the core's membership, in order.
  [[nodiscard]] std::vector<int> VoterCounts() const {
    std::map<std::string, int> by_time;
    for (const std::unique_ptr<Process>& host : this->controls) {
      std::istringstream lines(host->Log());
      for (std::string line; std::getline(lines, line);) {
        if (line.find("\"event\":\"quorum_changed\"") != std::string::npos) {
          by_time[ValueOf(line, "\"time_us\":")] =
              std::stoi(ValueOf(line, "\"voters\":\""));
        }
      }
    }
    std::vector<int> counts;
    counts.reserve(by_time.size());
    for (const std::pair<const std::string, int>& change : by_time) {
      counts.push_back(change.second);
    }
    return counts;
  }
  [[nodiscard]] bool HasVoters(int count) const {
    const std::vector<int> counts = this->VoterCounts();
    return !counts.empty() && counts.back() == count;
  }
  /// The newest acknowledged change is read back from every control host and in
  /// force at the entry.
  void CheckNewest() const {
    const std::string version =
        "\"version\":" + std::to_string(this->newest) + ",";
    for (int number = 1; number <= 3; ++number) {
      BOOST_TEST_CONTEXT("control host " << number) {
        BOOST_TEST(Eventually(
            [this, number, &version] {
              return Get(this->ControlEndpoint(number), "/api/config")
                  .Contains(version);
            },
            kApplyLimit));
      }
    }
    BOOST_TEST(Eventually(
        [this] {
          const Answer answer = this->SendRequest(
              "/safe/x", "in-force",
              "Bearer " + std::string(KeyOf(this->newest)), false, 100);
          return answer.status != 0 && answer.status != kUnauthorized;
        },
        kApplyLimit));
  }
  /// Changes are acknowledged in time, and none was late.
  void CheckChanges() const {
    BOOST_TEST(this->late_changes == 0);
    BOOST_TEST_MESSAGE("changes " << this->newest << ", slowest "
                                  << this->slowest.count() << " ms");
  }

  std::atomic<int> newest = 1;
  std::atomic<int> late_changes = 0;
  milliseconds slowest = milliseconds(0);

 private:
  /// Digits after `key` in a line of the log.
  [[nodiscard]] static std::string ValueOf(const std::string& line,
                                           const std::string& key) {
    const std::size_t begin = line.find(key) + key.size();
    return line.substr(begin,
                       line.find_first_not_of("0123456789", begin) - begin);
  }
  [[nodiscard]] static std::string KeyOf(int version) {
    return "key-of-" + std::to_string(version);
  }
  /// Bytes in the log of control host `number`.
  [[nodiscard]] std::uintmax_t StoredBytes(int number) const {
    return std::filesystem::file_size(this->folder + "/c" +
                                      std::to_string(number) + "/log");
  }
  /// Sends the next change until it is acknowledged, to one host after another.
  void Change() {
    const int version = this->newest + 1;
    std::string text = this->ConfigurationJson(version, 2000);
    const std::string key = "\"key-1\"";
    text.replace(text.find(key), key.size(),
                 '"' + KeyOf(version) + '"' +
                     RandomKeys(this->random, this->keys_per_change));
    const steady_clock::time_point begin = steady_clock::now();
    int status = 0;
    const steady_clock::time_point end = begin + kChangeLimit;
    for (int host = version; status != 200 && steady_clock::now() < end;
         ++host) {
      status = Call(this->ControlEndpoint(1 + host % 3), "PUT", "/api/config",
                    {}, text)
                   .ReadAll()
                   .status;
      if (status != 200) {
        std::this_thread::sleep_for(milliseconds(50));
      }
    }
    const milliseconds taken =
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - begin);
    this->slowest = std::max(this->slowest, taken);
    this->late_changes += taken > kAckLimit ? 1 : 0;
    if (status == 200) {
      this->newest = version;
    }
  }

  int keys_per_change;
  std::mt19937_64 random;
  std::atomic<bool> is_changing = false;
  std::thread operator_thread;
};

/// While it exists, programs start with a disk that has room for `bytes` in
/// each file: see Process::SetDiskFull.
class FullDisk {
 public:
  explicit FullDisk(rlim_t bytes = 0) {
    getrlimit(RLIMIT_FSIZE, &this->before);
    rlimit full = this->before;
    full.rlim_cur = bytes;
    setrlimit(RLIMIT_FSIZE, &full);
  }
  ~FullDisk() { setrlimit(RLIMIT_FSIZE, &this->before); }
  FullDisk(const FullDisk&) = delete;
  FullDisk& operator=(const FullDisk&) = delete;

 private:
  rlimit before = {};
};

/// Files that can't grow must not end the programs.
struct IgnoreFileSizeSignal {
  IgnoreFileSizeSignal() { std::signal(SIGXFSZ, SIG_IGN); }
};

}  // namespace

BOOST_TEST_GLOBAL_FIXTURE(IgnoreFileSizeSignal);

BOOST_AUTO_TEST_CASE(changes_go_on_after_each_disk_was_full_in_turn) {
  ChangedFleet fleet(131);
  fleet.StartChanges();
  for (int round = 0; round < 2; ++round) {
    for (int number = 1; number <= 3; ++number) {
      fleet.FillDisk(number);
    }
  }
  const int before = fleet.newest;
  std::this_thread::sleep_for(kAckLimit);
  BOOST_TEST(fleet.newest > before + 1);
  fleet.StopChanges();
  fleet.CheckChanges();
  fleet.CheckNewest();
  for (int number = 1; number <= 3; ++number) {
    BOOST_TEST(!fleet.Control(number).HasExited());
    fleet.Control(number).Kill();
  }
  for (int number = 1; number <= 3; ++number) {
    fleet.Control(number).Start();
  }
  (void)fleet.WaitForLeader();
  fleet.CheckNewest();
}

BOOST_AUTO_TEST_CASE(changes_go_on_while_each_leaders_disk_is_full) {
  ChangedFleet fleet(132);
  fleet.StartChanges();
  for (int round = 0; round < 4; ++round) {
    const int leader = fleet.WaitForLeader();
    fleet.FillDisk(leader);
  }
  const int before = fleet.newest;
  std::this_thread::sleep_for(kAckLimit);
  BOOST_TEST(fleet.newest > before + 1);
  fleet.StopChanges();
  fleet.CheckChanges();
  fleet.CheckNewest();
}

BOOST_AUTO_TEST_CASE(a_planned_stop_ends_in_time_while_the_disk_is_full) {
  ChangedFleet fleet(133, 1);
  fleet.StartChanges();
  std::this_thread::sleep_for(seconds(1));
  const int leader = fleet.WaitForLeader();
  const int follower = leader % 3 + 1;
  for (const int number : {follower, leader}) {
    Process& host = fleet.Control(number);
    host.SetDiskFull(true);
    std::this_thread::sleep_for(seconds(1));
    host.Signal(SIGTERM);
    BOOST_TEST(host.WaitExitFor(kStopLimit) == 0);
    // Started again, it has room.
    if (host.HasExited()) {
      host.Start();
    } else {
      host.SetDiskFull(false);
    }
    std::this_thread::sleep_for(seconds(2));
  }
  fleet.StopChanges();
  fleet.CheckChanges();
  fleet.CheckNewest();
}

BOOST_AUTO_TEST_CASE(a_host_restarts_while_its_disk_is_full) {
  ChangedFleet fleet(134);
  fleet.StartChanges();
  for (int number = 1; number <= 3; ++number) {
    Process& host = fleet.Control(number);
    host.SetDiskFull(true);
    std::this_thread::sleep_for(seconds(1));
    host.Kill();
    {
      const FullDisk inherited;
      host.Start();
    }
    std::this_thread::sleep_for(kFullTime);
    BOOST_TEST(!host.HasExited());
    host.SetDiskFull(false);
    std::this_thread::sleep_for(seconds(1));
  }
  fleet.StopChanges();
  fleet.CheckChanges();
  fleet.CheckNewest();
}

BOOST_AUTO_TEST_CASE(
    a_core_that_removes_hosts_with_full_disks_takes_them_back) {
  ChangedFleet fleet(135);
  // Started one after another, they join the first three.
  for (const int number : {4, 5}) {
    fleet.StartControl(number);
  }
  BOOST_REQUIRE(Eventually([&fleet] { return fleet.HasVoters(5); }));
  const std::size_t joins = fleet.VoterCounts().size();
  fleet.StartChanges();
  for (int number = 1; number <= 5; ++number) {
    fleet.FillDisk(number, kRemovalTime);
  }
  const int before = fleet.newest;
  std::this_thread::sleep_for(kAckLimit);
  BOOST_TEST(fleet.newest > before + 1);
  const std::vector<int> counts = fleet.VoterCounts();
  BOOST_REQUIRE(counts.size() > joins);
  // At least one host was removed meanwhile.
  BOOST_TEST((*std::min_element(
                  std::next(counts.begin(), static_cast<std::ptrdiff_t>(joins)),
                  counts.end()) < 5));
  BOOST_TEST(Eventually([&fleet] { return fleet.HasVoters(5); }));
  fleet.StopChanges();
  fleet.CheckChanges();
  fleet.CheckNewest();
}

BOOST_AUTO_TEST_CASE(hosts_whose_first_start_met_a_full_disk_form_a_core) {
  PlatformFleet fleet(137, 0);
  for (int number = 1; number <= 3; ++number) {
    Process& host = *fleet.controls[static_cast<std::size_t>(number - 1)];
    host.Kill();
    std::filesystem::remove_all(fleet.folder + "/c" + std::to_string(number));
  }
  for (const std::unique_ptr<Process>& host : fleet.controls) {
    const FullDisk inherited(kIdentityBytes);
    host->Start();
    BOOST_TEST(host->WaitExitFor(kStopLimit) > 0);
  }
  for (const std::unique_ptr<Process>& host : fleet.controls) {
    host->Start();
  }
  BOOST_TEST(Eventually(
      [&fleet] {
        return Call(fleet.ControlEndpoint(1), "PUT", "/api/config", {},
                    fleet.ConfigurationJson(1, 2000))
                   .ReadAll()
                   .status == 200;
      },
      kChangeLimit));
}
