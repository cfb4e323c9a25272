#define BOOST_TEST_MODULE platform_crash
#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform_fake_target.h"
#include "platform_fleet.h"
#include "process.h"

/// Runs the real programs with fake targets that crash.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

using Moment = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

constexpr char kCrashingPart[] = "bad0";
constexpr int kTargets = 12;
/// `stable_window_ms` of the users' pages.
constexpr milliseconds kStableWindow(3000);
/// The crashes after which a part has to be known.
constexpr std::size_t kCrashesToKnow = 5;
/// Requests with the part that may still reach a target then.
constexpr int kAllowedArrivals = 3;
/// A stream of two seconds.
constexpr char kLongStream[] = "work 200";
/// EntryHost::kHeldTime.
constexpr milliseconds kHeldTime(5000);
constexpr milliseconds kBaselineTime(3000);
constexpr milliseconds kCrashingTime(12'000);

/// When a request was sent, and whether its answer began.
struct Outcome {
  Moment sent_at;
  int status = 0;
};

/// A fleet with engines that crash on one part of a prompt, and its callers.
class CrashingFleet {
 public:
  explicit CrashingFleet(int net, int entries = 2) : fleet(net, entries) {
    this->fleet.PutConfiguration(1, 4000);
    for (int number = 0; number < kTargets; ++number) {
      this->targets.push_back(std::make_unique<FakeTarget>(
          "i-" + std::to_string(number),
          this->fleet.EndpointAt(20 + number, 9000),
          std::vector<Endpoint>{this->fleet.ControlEndpoint(1),
                                this->fleet.ControlEndpoint(2),
                                this->fleet.ControlEndpoint(3)},
          "engines"));
    }
    for (int entry = 0; entry < entries; ++entry) {
      BOOST_REQUIRE(Eventually([this, entry] {
        return this->Send(entry, "warm:40,own-" + this->NextId() + ":9") == 200;
      }));
    }
  }
  ~CrashingFleet() { this->Stop(); }
  CrashingFleet(const CrashingFleet&) = delete;
  CrashingFleet& operator=(const CrashingFleet&) = delete;

  void CrashOn(const std::string& part, bool is_silent) {
    for (const std::unique_ptr<FakeTarget>& target : this->targets) {
      target->crashes_silently = is_silent;
      target->SetCrashingPart(part);
    }
  }

  /// \returns The status of the answer, 0 without one.
  int Send(int entry, const std::string& parts,
           const std::string& body = "body") {
    const std::map<std::string, std::string> headers = {
        {"Host", "shop.example"},
        {"X-Gooseberryturn-Attempt-Id", "a-" + this->NextId()},
        {"X-Gooseberryturn-Deadline-Ms", "4000"},
        {"X-Gooseberryturn-Model", "m"},
        {"X-Gooseberryturn-Token-Usage", "10,10"},
        {"X-Gooseberryturn-Prefix-Hash", parts},
        {"Authorization", kKey}};
    const Moment began_at = std::chrono::steady_clock::now();
    const Answer answer = Call(this->fleet.CallerEndpoint(entry), "POST",
                               "/stream/1", headers, body + " " + parts)
                              .ReadAll();
    this->fleet.Record(parts, answer, began_at);
    return answer.status;
  }

  /// Sends a request every `interval` from a thread of its own.
  void SendOften(milliseconds interval,
                 const std::function<std::string()>& make_parts,
                 std::vector<Outcome>* outcomes) {
    this->threads.emplace_back([this, interval, make_parts, outcomes] {
      for (int number = 0; !this->is_over; ++number) {
        const int entry = number % static_cast<int>(this->fleet.entries.size());
        const Moment sent_at = std::chrono::steady_clock::now();
        const int status = this->Send(entry, make_parts());
        if (outcomes != nullptr) {
          const std::lock_guard<std::mutex> guard(this->mutex);
          outcomes->push_back({sent_at, status});
        }
        std::this_thread::sleep_until(sent_at + interval);
      }
    });
  }
  void Stop() {
    this->is_over = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  [[nodiscard]] std::vector<Moment> Crashes() {
    std::vector<Moment> all;
    for (const std::unique_ptr<FakeTarget>& target : this->targets) {
      const std::vector<Moment> crashes = target->Crashes();
      all.insert(all.end(), crashes.begin(), crashes.end());
    }
    std::sort(all.begin(), all.end());
    return all;
  }
  /// Requests with the crashing part that reached a target after `moment`.
  [[nodiscard]] int ArrivalsAfter(Moment moment) {
    int count = 0;
    for (const std::unique_ptr<FakeTarget>& target : this->targets) {
      for (const Moment arrival : target->CrashingArrivals()) {
        count += arrival > moment ? 1 : 0;
      }
    }
    return count;
  }
  /// The target whose latest request has these parts, or null.
  [[nodiscard]] FakeTarget* FindRunning(const std::string& parts) {
    for (const std::unique_ptr<FakeTarget>& target : this->targets) {
      if (target->LastHeaders()["X-Gooseberryturn-Prefix-Hash"] == parts) {
        return target.get();
      }
    }
    return nullptr;
  }
  [[nodiscard]] std::string NextId() { return std::to_string(this->next_id++); }

  PlatformFleet fleet;
  std::vector<std::unique_ptr<FakeTarget>> targets;

 private:
  std::atomic<int> next_id = 1;
  std::atomic<bool> is_over = false;
  std::mutex mutex;
  std::vector<std::thread> threads;
};

/// Share of the requests sent between two moments whose answer began at the
/// first attempt.
double ServedShare(const std::vector<Outcome>& outcomes, Moment from,
                   Moment to) {
  double sent = 0;
  double served = 0;
  for (const Outcome& outcome : outcomes) {
    const bool is_within = outcome.sent_at >= from && outcome.sent_at < to;
    sent += is_within ? 1 : 0;
    served += is_within && outcome.status == 200 ? 1 : 0;
  }
  return sent > 0 ? served / sent : 0;
}

/// The crashing part comes with requests that are all different; sound requests
/// share their caller, first part and entries. `disturb` is called when the
/// third target has crashed.
void CheckCrashingPart(int net, bool is_silent, const std::string& before,
                       const std::function<void(CrashingFleet&)>& disturb,
                       bool is_unframed = false) {
  std::vector<Outcome> sound;
  CrashingFleet scene(net);
  scene.CrashOn(kCrashingPart, is_silent);
  for (const std::unique_ptr<FakeTarget>& target : scene.targets) {
    target->is_unframed = is_unframed;
  }
  for (int caller = 0; caller < 4; ++caller) {
    scene.SendOften(
        milliseconds(60),
        [&scene] { return "first:40,own-" + scene.NextId() + ":9"; }, &sound);
  }
  const Moment began_at = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kBaselineTime);
  const Moment crashing_at = std::chrono::steady_clock::now();
  for (int caller = 0; caller < 2; ++caller) {
    scene.SendOften(
        milliseconds(250),
        [&scene, &before] {
          return before + kCrashingPart + ":40,own-" + scene.NextId() + ":9";
        },
        nullptr);
  }
  BOOST_CHECK(Eventually([&scene] { return scene.Crashes().size() >= 3; }));
  disturb(scene);
  std::this_thread::sleep_until(crashing_at + kCrashingTime);
  scene.Stop();

  const std::vector<Moment> crashes = scene.Crashes();
  BOOST_REQUIRE(!crashes.empty());
  const Moment known_at = crashes[std::min(crashes.size(), kCrashesToKnow) - 1];
  BOOST_TEST_MESSAGE(crashes.size()
                     << " targets crashed, " << scene.ArrivalsAfter(Moment())
                     << " requests with the part reached one");
  BOOST_TEST(scene.ArrivalsAfter(known_at + kStableWindow) <= kAllowedArrivals);
  const double served_before = ServedShare(sound, began_at, crashing_at);
  const double served_after =
      ServedShare(sound, known_at + 2 * kStableWindow, Moment::max());
  BOOST_TEST(served_before > 0.9);
  BOOST_TEST(served_after >= served_before / 2);
}

}  // namespace

BOOST_AUTO_TEST_CASE(requests_with_a_crashing_part_end_target_after_target) {
  CheckCrashingPart(151, true, "first:40,", [](CrashingFleet&) {});
}

BOOST_AUTO_TEST_CASE(a_crashing_part_that_comes_first_and_resets_is_found) {
  CheckCrashingPart(152, false, "", [](CrashingFleet&) {});
}

BOOST_AUTO_TEST_CASE(a_crash_that_ends_streams_inside_an_event_is_found) {
  CheckCrashingPart(
      150, false, "first:40,", [](CrashingFleet&) {}, true);
}

BOOST_AUTO_TEST_CASE(a_new_leader_finds_a_crashing_part_too) {
  CheckCrashingPart(153, true, "first:40,", [](CrashingFleet& scene) {
    for (int number = 1; number <= 3; ++number) {
      if (Get(scene.fleet.ControlEndpoint(number), "/metrics")
              .Contains("gooseberryturn_is_leader 1")) {
        scene.fleet.controls[static_cast<std::size_t>(number - 1)]->Kill();
        return;
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(an_entry_that_was_restarted_knows_a_crashing_part) {
  CheckCrashingPart(154, true, "first:40,", [](CrashingFleet& scene) {
    scene.fleet.entries[1]->Kill();
    scene.fleet.entries[1]->Start();
  });
}

BOOST_AUTO_TEST_CASE(targets_that_crash_for_other_reasons_cost_no_part) {
  std::vector<Outcome> sound;
  CrashingFleet scene(155);
  scene.CrashOn("", true);
  for (int caller = 0; caller < 4; ++caller) {
    scene.SendOften(
        milliseconds(60),
        [&scene, caller] {
          const std::string own = scene.NextId();
          return (caller % 2 == 0 ? "popular:40,own-" : "first:40,own-") + own +
                 ":9";
        },
        &sound);
  }
  std::this_thread::sleep_for(kBaselineTime);
  for (std::size_t number = 0; number < 12; ++number) {
    FakeTarget& target = *scene.targets[(5 * number) % scene.targets.size()];
    target.crashes_silently = number % 2 == 0;
    target.Crash();
    std::this_thread::sleep_for(milliseconds(700));
  }
  scene.Stop();
  for (int entry = 0; entry < 2; ++entry) {
    const Answer page = Get(scene.fleet.ReadinessEndpoint(entry), "/metrics");
    BOOST_REQUIRE(page.status == 200);
    BOOST_TEST(page.Contains("refusals_total{reason=\"quarantined\"} 0\n"));
    BOOST_TEST(page.Contains("refusals_total{reason=\"suspect\"} 0\n"));
  }
}

BOOST_AUTO_TEST_CASE(an_entry_without_a_leader_holds_nothing_for_long) {
  CrashingFleet scene(156);
  // A sound part is in progress at a target that crashes: it is held.
  std::thread caller([&scene] {
    (void)scene.Send(0, "new:40,own1:9", std::string(kLongStream));
  });
  FakeTarget* target = nullptr;
  BOOST_REQUIRE(Eventually([&scene, &target] {
    target = scene.FindRunning("new:40,own1:9");
    return target != nullptr;
  }));
  target->Crash();
  BOOST_REQUIRE(Eventually([&scene] {
    return std::any_of(scene.fleet.controls.begin(), scene.fleet.controls.end(),
                       [](const std::unique_ptr<Process>& control) {
                         return control->Log().find("part:new") !=
                                std::string::npos;
                       });
  }));
  for (const std::unique_ptr<Process>& control : scene.fleet.controls) {
    control->Kill();
  }
  std::this_thread::sleep_for(kHeldTime + milliseconds(1000));
  BOOST_TEST(scene.Send(0, "new:40,own2:9") == 200);
  caller.join();
}
