#define BOOST_TEST_MODULE platform_soak
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "platform_fake_target.h"
#include "platform_fleet.h"
#include "process.h"
#include "soak_accounts.h"
#include "soak_caller.h"
#include "soak_fleet.h"

/// Callers with kept connections send whole requests through the real programs
/// while configurations change, processes are told to reload and to stop, and
/// targets say that they leave, ask for a pause, are silent for a second or
/// crash, some of them on a part of prompts. Every request is accounted for at
/// its caller and at the targets: one that reached a target which did not crash
/// is owed its complete answer or a refusal (issues 26 and 37).
///
/// The seed and the size come from the environment: GOOSEBERRYTURN_SOAK_SEED,
/// _SECONDS, _CALLERS, _ENTRIES, _NET (addresses 127.NET.0.*) and _KEEP, a
/// folder for the logs of failed runs.
using namespace gooseberryturn;               // NOLINT
using namespace gooseberryturn::fleet;        // NOLINT
using namespace gooseberryturn::fleet::soak;  // NOLINT

namespace {

constexpr int kPlainTargets = 3;
constexpr int kEngines = 8;
/// A part of prompts that crashes targets.
constexpr char kCrashingPart[] = "bad0";
/// `stable_window_ms` of the users' pages.
constexpr milliseconds kStableWindow(3000);
/// The requests with it that may end a target before it has to be known, and
/// those that may reach one later.
constexpr std::size_t kCrashesToKnow = 5;
constexpr int kAllowedArrivals = 3;

/// A fleet with targets, callers and disturbances.
class Soak {
 public:
  explicit Soak(const Plan& plan)
      : plan(plan),
        fleet(plan.net, plan.entries),
        op(this->fleet, plan.RandomOf(1), this->idle_limits, this->failures),
        scene{plan, this->fleet, this->entries, this->idle_limits,
              this->failures} {}

  void Run() {
    this->Prepare();
    for (int number = 0; number < this->plan.callers; ++number) {
      this->callers.push_back(std::make_unique<Caller>(this->scene, number));
    }
    std::vector<std::thread> threads;
    for (const std::unique_ptr<Caller>& caller : this->callers) {
      threads.emplace_back([&caller] { caller->Run(); });
    }
    std::vector<std::thread> disturbances = this->StartDisturbances();
    std::this_thread::sleep_for(this->plan.time);
    this->scene.is_over = true;
    for (std::thread& thread : threads) {
      thread.join();
    }
    while (this->active_disturbances > 0) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    for (const auto* hosts : {&this->entries, &this->controls}) {
      for (const std::unique_ptr<Host>& host : *hosts) {
        host->CheckAlive(this->failures);
      }
    }
    this->CheckConfiguration();
    this->CheckMetrics();
    this->StopEntries();
    this->is_checked = true;
    for (std::thread& thread : disturbances) {
      thread.join();
    }
    this->CheckRequests();
    this->Report();
  }

 private:
  void Prepare() {
    const std::vector<Endpoint> control_endpoints = {
        this->fleet.ControlEndpoint(1), this->fleet.ControlEndpoint(2),
        this->fleet.ControlEndpoint(3)};
    this->op.Send();
    for (int number = 1; number <= 3; ++number) {
      this->controls.push_back(std::make_unique<Host>(
          *this->fleet.controls[static_cast<std::size_t>(number - 1)],
          "control " + std::to_string(number),
          this->fleet.ControlEndpoint(number), "/api/config"));
      BOOST_REQUIRE(this->controls.back()->AwaitReady());
    }
    for (int entry = 0; entry < this->plan.entries; ++entry) {
      this->entries.push_back(std::make_unique<Host>(
          *this->fleet.entries[static_cast<std::size_t>(entry)],
          "entry " + std::to_string(entry),
          this->fleet.ReadinessEndpoint(entry), "/api/readyz"));
      BOOST_REQUIRE(this->entries.back()->AwaitReady());
    }
    for (int number = 0; number < kPlainTargets + kEngines; ++number) {
      const bool is_engine = number >= kPlainTargets;
      this->targets.push_back(std::make_unique<FakeTarget>(
          (is_engine ? "e-" : "i-") + std::to_string(number),
          this->fleet.EndpointAt(20 + number, 9000), control_endpoints,
          is_engine ? "engines" : "plain"));
      this->targets.back()->SetCrashingPart(kCrashingPart);
      this->targets.back()->crashes_silently = number % 2 == 0;
    }
    BOOST_REQUIRE(Eventually([this] {
      return std::any_of(this->targets.begin(), this->targets.end(),
                         [](const std::unique_ptr<FakeTarget>& target) {
                           return target->IsOpen();
                         });
    }));
  }

  std::vector<std::thread> StartDisturbances() {
    std::vector<std::thread> threads;
    this->active_disturbances = 9;
    threads.emplace_back([this] {
      this->Repeat(2, 20, 1800, [this](Random& /*random*/) {
        this->op.Vary();
        this->op.Send();
      });
    });
    threads.emplace_back([this] {
      this->Repeat(3, 100, 2000, [this](Random& random) {
        DrawHost(random,
                 DrawChance(random, 70) ? this->entries : this->controls)
            .Reload();
      });
    });
    threads.emplace_back([this] {
      this->Repeat(4, 500, 4000, [this](Random& random) {
        DrawHost(random, this->entries).Restart(random, this->failures);
      });
    });
    threads.emplace_back([this] {
      this->Repeat(5, 1500, 8000, [this](Random& random) {
        this->unrest.Add(Now());
        DrawHost(random, this->controls).Restart(random, this->failures);
        this->unrest.Add(Now());
      });
    });
    threads.emplace_back([this] {
      this->Repeat(6, 10, 100, [this](Random& random) {
        DrawHost(random, this->entries)
            .Freeze(milliseconds(Draw(random, 2, 40)));
      });
    });
    threads.emplace_back([this] {
      this->Repeat(7, 300, 2000, [this](Random& random) {
        // The first target is spared, so that requests can always be served.
        FakeTarget& target =
            *this->targets[static_cast<std::size_t>(Draw(random, 1, 2))];
        if (DrawChance(random, 50)) {
          AskForPause(random, target);
        } else {
          LeaveAndComeBack(random, target);
        }
      });
    });
    threads.emplace_back([this] {
      this->Repeat(8, 1500, 5000, [this](Random& random) {
        this->targets[static_cast<std::size_t>(Draw(random, 0, 4))]->FallSilent(
            milliseconds(Draw(random, 400, 1200)));
        this->silences += 1;
      });
    });
    threads.emplace_back([this] {
      this->Repeat(9, 800, 4000, [this](Random& random) {
        // The first target is spared here too.
        this->targets[static_cast<std::size_t>(
                          Draw(random, 1, kPlainTargets + kEngines - 1))]
            ->Crash();
        this->crashes += 1;
      });
    });
    threads.emplace_back([this] {
      this->Repeat(10, 50, 400,
                   [this](Random& random) { this->SendCrashingPart(random); });
    });
    return threads;
  }

  /// Sends a request with the part that crashes targets, unlike any other.
  void SendCrashingPart(Random& random) {
    const std::string id = "bad-" + std::to_string(this->crashing_requests++);
    const std::string first =
        DrawChance(random, 50) ? "shared1:40," : std::string();
    (void)Call(
        this->fleet.CallerEndpoint(Draw(random, 0, this->plan.entries - 1)),
        "POST", "/stream/",
        {{"Host", "shop.example"},
         {"X-Gooseberryturn-Attempt-Id", id},
         {"X-Gooseberryturn-Deadline-Ms", "3000"},
         {"X-Gooseberryturn-Model", "m"},
         {"X-Gooseberryturn-Token-Usage", "10,10"},
         {"X-Gooseberryturn-Prefix-Hash",
          first + kCrashingPart + ":40," + id + ":9"},
         {"Authorization", "Bearer key-1"}},
        id)
        .ReadAll();
  }
  /// Few requests with the crashing part reach a target once it is known.
  void CheckCrashingPart() {
    std::vector<Moment> arrivals;
    for (const std::unique_ptr<FakeTarget>& target : this->targets) {
      for (const Moment arrival : target->CrashingArrivals()) {
        arrivals.push_back(arrival);
      }
    }
    std::sort(arrivals.begin(), arrivals.end());
    this->counts["crashing part arrived"] = static_cast<int>(arrivals.size());
    if (arrivals.size() <= kCrashesToKnow) {
      return;
    }
    const Moment known_at = arrivals[kCrashesToKnow - 1] + kStableWindow;
    const auto late = std::count_if(
        arrivals.begin(), arrivals.end(), [this, known_at](Moment arrival) {
          return arrival > known_at &&
                 this->unrest.IsCalm(arrival, kStableWindow);
        });
    if (late > kAllowedArrivals) {
      this->failures.Add("the part that crashes targets reached " +
                         std::to_string(late) + " after it was known");
    }
  }

  /// Nothing but the part that crashes targets is quarantined.
  void CheckQuarantine(const std::string& log) {
    const std::string event = R"("event":"content_quarantined","content":")";
    for (std::size_t at = log.find(event); at != std::string::npos;
         at = log.find(event, at + 1)) {
      const std::size_t begin = at + event.size();
      const std::string content =
          log.substr(begin, log.find('"', begin) - begin);
      if (content != std::string("part:") + kCrashingPart) {
        this->failures.Add("sound content is quarantined: " + content);
      }
    }
  }

  /// The target refuses for a moment and asks for a longer pause.
  void AskForPause(Random& random, FakeTarget& target) {
    target.SetRetryAfter("0." + std::to_string(Draw(random, 1, 9)));
    target.behaviour = Behaviour::kShed;
    std::this_thread::sleep_for(milliseconds(Draw(random, 50, 300)));
    target.behaviour = Behaviour::kServe;
    this->pauses += 1;
  }
  /// The target says in its answers that it leaves, and then has a new
  /// incarnation.
  void LeaveAndComeBack(Random& random, FakeTarget& target) {
    target.says_leaving = true;
    std::this_thread::sleep_for(milliseconds(Draw(random, 100, 1000)));
    target.says_leaving = false;
    target.born += 1;
    this->leaves += 1;
  }

  /// Calls `act` again and again until the soak is over, after pauses. Returns
  /// when the checks are done: a process ends with the thread that started it.
  void Repeat(std::uint64_t part, int min_pause_ms, int max_pause_ms,
              const std::function<void(Random&)>& act) {
    Random random = this->plan.RandomOf(part);
    while (true) {
      const Moment end =
          Now() + milliseconds(Draw(random, min_pause_ms, max_pause_ms));
      while (!this->scene.is_over && Now() < end) {
        std::this_thread::sleep_for(milliseconds(10));
      }
      if (this->scene.is_over) {
        break;
      }
      act(random);
    }
    this->active_disturbances -= 1;
    while (!this->is_checked) {
      std::this_thread::sleep_for(milliseconds(10));
    }
  }
  static Host& DrawHost(Random& random,
                        const std::vector<std::unique_ptr<Host>>& hosts) {
    return *hosts[static_cast<std::size_t>(
        Draw(random, 0, static_cast<int>(hosts.size()) - 1))];
  }

  /// What was acknowledged last is read back and in force everywhere.
  void CheckConfiguration() {
    this->op.variation.is_final = true;
    this->CheckStored();
    this->op.Send();
    this->CheckStored();
    for (int entry = 0; entry < this->plan.entries; ++entry) {
      const bool is_in_force = Eventually([this, entry] {
        return Call(this->fleet.CallerEndpoint(entry), "POST", "/final/",
                    {{"Host", "shop.example"},
                     {"X-Gooseberryturn-Attempt-Id", "final"},
                     {"Authorization", "Bearer key-final"}},
                    "")
                   .ReadAll()
                   .status == 200;
      });
      if (!is_in_force) {
        this->failures.Add("the last configuration is not in force at entry " +
                           std::to_string(entry));
      }
    }
  }
  void CheckStored() {
    for (int number = 1; number <= 3; ++number) {
      const bool is_stored = Eventually([this, number] {
        return Get(this->fleet.ControlEndpoint(number), "/api/config").body ==
               this->op.acknowledged_text;
      });
      if (!is_stored) {
        this->failures.Add("control " + std::to_string(number) +
                           " does not return the configuration acknowledged "
                           "last");
      }
    }
  }

  void CheckMetrics() {
    const std::string name = "gooseberryturn_requests_after_close_total ";
    for (int entry = 0; entry < this->plan.entries; ++entry) {
      const std::string text =
          Get(this->fleet.ReadinessEndpoint(entry), "/metrics").body;
      const std::size_t at = text.find("\n" + name);
      if (at == std::string::npos ||
          std::atof(text.c_str() + at + 1 + name.size()) != 0) {
        this->failures.Add("entry " + std::to_string(entry) + ": " + name +
                           "is not 0");
      }
    }
  }

  void StopEntries() {
    for (const std::unique_ptr<Host>& entry : this->entries) {
      entry->Stop(this->failures);
    }
  }

  void CheckRequests() {
    for (const std::unique_ptr<FakeTarget>& target : this->targets) {
      this->accounts.AddTarget(*target);
    }
    this->CheckCrashingPart();
    for (const std::unique_ptr<Host>& entry : this->entries) {
      const std::string log = entry->Log();
      this->accounts.AddLog(log);
      if (log.find("request_after_close") != std::string::npos) {
        this->failures.Add(entry->Name() + " logged request_after_close");
      }
    }
    for (const std::unique_ptr<Host>& control : this->controls) {
      this->CheckQuarantine(control->Log());
    }
    for (const std::unique_ptr<Caller>& caller : this->callers) {
      for (const Attempt& attempt : caller->attempts) {
        this->Count(attempt);
        const std::string fault = FaultOf(attempt, this->accounts);
        if (!fault.empty()) {
          this->failures.Add(fault + ": " + Describe(attempt, this->accounts));
        }
      }
      this->counts["found closed"] += caller->found_closed;
    }
  }
  void Count(const Attempt& attempt) {
    static const std::map<Ending, std::string> names = {
        {Ending::kCut, "cut"}, {Ending::kSilent, "silent"}};
    if (attempt.ending == Ending::kComplete) {
      this->counts["status " + std::to_string(attempt.answer.status)] += 1;
    } else if (attempt.ending == Ending::kUnanswered) {
      this->counts[attempt.is_half_closed     ? "ended with its input"
                   : attempt.is_entry_leaving ? "crossed a stop"
                                              : "crossed an idle close"] += 1;
    } else {
      this->counts[names.at(attempt.ending)] += 1;
      const bool is_lost = this->accounts.HasLostItsTargets(attempt);
      this->counts["cut by its targets"] += is_lost ? 1 : 0;
      std::cout << (is_lost ? "cut by its targets: " : "cut: ")
                << Describe(attempt, this->accounts) << std::endl;
    }
    if (attempt.ending == Ending::kComplete && attempt.answer.status == 200) {
      this->successes[attempt.kind] += 1;
    }
  }

  void Report() {
    std::ostringstream summary;
    summary << "seed " << this->plan.seed << ", configurations "
            << this->op.acknowledged;
    int entry_stops = -this->plan.entries;  // All are stopped at the end.
    int control_stops = 0;
    for (const std::unique_ptr<Host>& entry : this->entries) {
      entry_stops += entry->stops;
    }
    for (const std::unique_ptr<Host>& control : this->controls) {
      control_stops += control->stops;
    }
    summary << ", entries stopped " << entry_stops << ", control hosts stopped "
            << control_stops << ", pauses " << this->pauses << ", leaves "
            << this->leaves << ", silences " << this->silences << ", crashes "
            << this->crashes;
    for (const auto& count : this->counts) {
      summary << ", " << count.first << ": " << count.second;
    }
    std::cout << summary.str() << std::endl;
    // The run has tested something.
    BOOST_TEST(this->op.acknowledged > 2);
    BOOST_TEST(entry_stops > 0);
    BOOST_TEST(control_stops > 0);
    BOOST_TEST(this->pauses > 0);
    BOOST_TEST(this->leaves > 0);
    BOOST_TEST(this->silences > 0);
    BOOST_TEST(this->crashes > 0);
    BOOST_TEST(this->counts["crashing part arrived"] > 0);
    for (const Kind kind : {Kind::kSafe, Kind::kUnsafe, Kind::kStream}) {
      BOOST_TEST(this->successes[kind] > 0);
    }
    const std::vector<std::string> failed = this->failures.All();
    for (std::size_t index = 0;
         index < std::min<std::size_t>(failed.size(), kTooManyFailures);
         ++index) {
      BOOST_TEST_ERROR("seed " << this->plan.seed << ": " << failed[index]);
    }
    BOOST_TEST(failed.size() == 0U);
    this->KeepLogs(summary.str(), failed);
  }
  void KeepLogs(const std::string& summary,
                const std::vector<std::string>& failed) const {
    const char* keep = std::getenv("GOOSEBERRYTURN_SOAK_KEEP");
    if (keep == nullptr || failed.empty()) {
      return;
    }
    const std::filesystem::path folder =
        std::filesystem::path(keep) /
        ("seed-" + std::to_string(this->plan.seed));
    std::filesystem::create_directories(folder);
    std::ofstream report(folder / "report.txt");
    report << summary << "\n";
    for (const std::string& text : failed) {
      report << text << "\n";
    }
    for (const std::filesystem::directory_entry& file :
         std::filesystem::directory_iterator(this->fleet.folder)) {
      if (file.path().extension() == ".log") {
        std::filesystem::copy_file(
            file.path(), folder / file.path().filename(),
            std::filesystem::copy_options::overwrite_existing);
      }
    }
  }

  Plan plan;
  IdleLimits idle_limits;
  Failures failures;
  PlatformFleet fleet;
  std::vector<std::unique_ptr<Host>> controls;
  std::vector<std::unique_ptr<Host>> entries;
  std::vector<std::unique_ptr<FakeTarget>> targets;
  Operator op;
  Scene scene;
  std::vector<std::unique_ptr<Caller>> callers;
  std::atomic<int> active_disturbances = 0;
  std::atomic<int> pauses = 0;  ///< Asked for by targets.
  std::atomic<int> leaves = 0;  ///< Told by targets in their answers.
  std::atomic<int> silences = 0;
  std::atomic<int> crashes = 0;  ///< Of targets, for no reason.
  std::atomic<int> crashing_requests = 0;
  Unrest unrest;
  std::atomic<bool> is_checked = false;
  Accounts accounts;
  std::map<std::string, int> counts;
  std::map<Kind, int> successes;
};

}  // namespace

BOOST_AUTO_TEST_CASE(no_request_is_lost_beside_planned_work) {
  Soak soak((Plan()));
  soak.Run();
}
