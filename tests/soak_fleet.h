#ifndef GOOSEBERRYTURN_TESTS_SOAK_FLEET_H_
#define GOOSEBERRYTURN_TESTS_SOAK_FLEET_H_

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "http_call.h"
#include "platform_fleet.h"
#include "process.h"

/// The processes and the configurations of a soak, and what changes them.
namespace gooseberryturn::fleet::soak {

using Moment = std::chrono::steady_clock::time_point;
using Random = std::mt19937_64;
using std::chrono::milliseconds;

inline constexpr milliseconds kGrace(6000);  ///< bounds.grace_s of the fleet.
/// A request sent up to this time after SIGTERM may be cut in the last sixth of
/// kGrace while its target still works on it (users' pages, LOST).
inline constexpr milliseconds kLateStopSend(3000);
/// The signals of a stop are repeated so often.
inline constexpr milliseconds kRepeatTime(300);
inline constexpr milliseconds kApplyTime(2000);  ///< bounds.config_apply_ms.
inline constexpr milliseconds kSilenceLimit(60'000);
inline constexpr int kDeadlineMs = 8000;
inline constexpr int kMinTimeoutMs = 6000;
inline constexpr int kMaxTimeoutMs = 10'000;
inline constexpr int kTooManyFailures = 20;
/// `attempts` of the routes: targets that one request may be sent to.
inline constexpr int kRouteAttempts = 2;
/// Longest silence of a sound target in a soak.
inline constexpr milliseconds kLongestSilence(1200);

inline Moment Now() { return std::chrono::steady_clock::now(); }

inline std::int64_t MsBetween(Moment from, Moment to) {
  return std::chrono::duration_cast<milliseconds>(to - from).count();
}

inline int Draw(Random& random, int min, int max) {
  return std::uniform_int_distribution<int>(min, max)(random);
}

inline bool DrawChance(Random& random, int percent) {
  return Draw(random, 1, 100) <= percent;
}

/// Seed and size of a run.
struct Plan {
  std::uint64_t seed = FromEnvironment("SEED", 26);
  milliseconds time = std::chrono::seconds(FromEnvironment("SECONDS", 40));
  int callers = static_cast<int>(FromEnvironment("CALLERS", 20));
  int entries = static_cast<int>(FromEnvironment("ENTRIES", 3));
  int net = static_cast<int>(FromEnvironment("NET", 80));

  [[nodiscard]] static std::uint64_t FromEnvironment(const std::string& name,
                                                     std::uint64_t usual) {
    const char* text = std::getenv(("GOOSEBERRYTURN_SOAK_" + name).c_str());
    return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
  }
  [[nodiscard]] Random RandomOf(std::uint64_t part) const {
    std::seed_seq sequence{this->seed, part};
    return Random(sequence);
  }
};

/// Failures other than those of single requests.
class Failures {
 public:
  void Add(const std::string& text) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->texts.push_back(text);
  }
  [[nodiscard]] std::vector<std::string> All() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->texts;
  }

 private:
  std::mutex mutex;
  std::vector<std::string> texts;
};

/// The idle times of callers that were in force or may have been.
class IdleLimits {
 public:
  void Sent(int idle_ms) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->periods.push_back({idle_ms, Now(), Moment::max()});
  }
  /// The configuration that was sent last is acknowledged: earlier ones end.
  void Acknowledged() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    const Moment end = Now() + kApplyTime;
    for (std::size_t index = 0; index + 1 < this->periods.size(); ++index) {
      this->periods[index].end = std::min(this->periods[index].end, end);
    }
  }
  /// \returns The smallest that may have been in force from `begin` on.
  [[nodiscard]] int SmallestSince(Moment begin) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    int smallest = this->periods.back().idle_ms;
    for (const Period& period : this->periods) {
      if (period.end >= begin) {
        smallest = std::min(smallest, period.idle_ms);
      }
    }
    return smallest;
  }
  [[nodiscard]] int Newest() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->periods.back().idle_ms;
  }

 private:
  struct Period {
    int idle_ms;
    Moment begin;
    Moment end;
  };
  std::mutex mutex;
  std::vector<Period> periods;
};

/// When control hosts were told to stop: for some time the quorum is unstable.
class Unrest {
 public:
  void Add(Moment moment) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->moments.push_back(moment);
  }
  /// True if there was none in the `time` before `moment`.
  [[nodiscard]] bool IsCalm(Moment moment, milliseconds time) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return std::none_of(this->moments.begin(), this->moments.end(),
                        [moment, time](Moment unrest) {
                          return unrest <= moment && moment < unrest + time;
                        });
  }

 private:
  std::mutex mutex;
  std::vector<Moment> moments;
};

/// A process that several threads signal, stop and start again.
class Host {
 public:
  Host(Process& process, std::string name, Endpoint endpoint, std::string path)
      : process(process),
        name(std::move(name)),
        endpoint(std::move(endpoint)),
        path(std::move(path)) {}

  /// Waits until the process answers with status 200.
  [[nodiscard]] bool AwaitReady() {
    const bool is_answered = Eventually(
        [this] { return Get(this->endpoint, this->path).status == 200; });
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->is_up = is_answered;
    return is_answered;
  }
  void Reload() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->is_up) {
      this->process.Signal(SIGHUP);
    }
  }
  /// Leaves the process without processor time, as on a busy machine: what
  /// happens meanwhile is found in one turn of its event loop.
  void Freeze(milliseconds time) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->is_up) {
      this->process.Signal(SIGSTOP);
      std::this_thread::sleep_for(time);
      this->process.Signal(SIGCONT);
    }
  }
  /// Stops the process and starts it again once it has exited.
  void Restart(Random& random, Failures& failures) {
    this->Stop(failures);
    std::this_thread::sleep_for(milliseconds(Draw(random, 0, 500)));
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      this->process.Start();
    }
    if (!this->AwaitReady()) {
      failures.Add(this->name + " is not ready after a restart");
    }
  }
  void Stop(Failures& failures) {
    this->told_to_stop_at = Now().time_since_epoch().count();
    this->generation += 1;
    this->process.Signal(SIGTERM);
    const Moment told_at = this->ToldToStopAt();
    Moment repeat_at = told_at + kRepeatTime;
    std::optional<int> code;
    while (!code.has_value() && Now() < told_at + kTestTimeout) {
      std::this_thread::sleep_for(milliseconds(5));
      const std::lock_guard<std::mutex> guard(this->mutex);
      if (Now() >= repeat_at) {
        this->process.Signal(SIGTERM);
        this->process.Signal(SIGHUP);
        repeat_at = Now() + kRepeatTime;
      }
      code = this->process.PollExit();
      this->is_up = this->is_up && !code.has_value();
    }
    const Moment ended_at = Now();
    if (!code.has_value()) {
      failures.Add(this->name + " has not exited a minute after SIGTERM");
      const std::lock_guard<std::mutex> guard(this->mutex);
      this->is_up = false;
      this->process.Kill();
    } else if (*code != 0 || ended_at > told_at + kGrace) {
      failures.Add(this->name + " exited with " + std::to_string(*code) + " " +
                   std::to_string(MsBetween(told_at, ended_at)) +
                   " ms after SIGTERM");
    }
    this->stops += 1;
    this->generation += 1;
  }

  /// Adds a failure if the process has ended although nobody told it to.
  void CheckAlive(Failures& failures) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (this->is_up && this->process.HasExited()) {
      failures.Add(this->name + " has ended by itself");
      this->is_up = false;
    }
  }

  [[nodiscard]] std::string Log() const { return this->process.Log(); }
  [[nodiscard]] const std::string& Name() const { return this->name; }
  /// When the last stop began.
  [[nodiscard]] Moment ToldToStopAt() const {
    return Moment(Moment::duration(this->told_to_stop_at));
  }

  /// Odd from the SIGTERM until the process has exited.
  std::atomic<int> generation = 0;
  std::atomic<int> stops = 0;

 private:
  std::atomic<Moment::duration::rep> told_to_stop_at = 0;
  Process& process;
  std::string name;
  Endpoint endpoint;
  std::string path;
  std::mutex mutex;
  bool is_up = false;
};

/// What varies between configurations.
struct Variation {
  std::uint64_t version = 1;
  int timeout_ms = kMinTimeoutMs;
  int idle_ms = 1500;
  int filler_routes = 0;
  bool has_extra_route = true;
  bool has_second_key = true;
  bool is_final = false;
};

inline std::string RouteJson(const Variation& variation,
                             const std::string& prefix,
                             const std::string& rest) {
  return R"({"host":"shop.example","slo_ms":500,"attempts":)" +
         std::to_string(kRouteAttempts) + R"(,"public":false,"timeout_ms":)" +
         std::to_string(variation.timeout_ms) + R"(,"path_prefix":")" + prefix +
         "\"," + rest + "}";
}

inline std::string ConfigurationJson(const Variation& variation) {
  constexpr char safe[] = R"("kind":"safe","service":"plain")";
  std::string json = R"({"version":)" + std::to_string(variation.version) +
                     R"(,"routes":[)" + RouteJson(variation, "/safe/", safe);
  json += "," + RouteJson(variation, "/unsafe/",
                          R"("kind":"unsafe","service":"plain")");
  json += "," + RouteJson(variation, "/stream/",
                          R"("kind":"streaming","resumable":true,)"
                          R"("service":"engines")");
  if (variation.has_extra_route) {
    json += "," + RouteJson(variation, "/extra/", safe);
  }
  if (variation.is_final) {
    json += "," + RouteJson(variation, "/final/", safe);
  }
  for (int number = 0; number < variation.filler_routes; ++number) {
    json += "," + RouteJson(variation,
                            "/filler/" + std::to_string(number) + "/", safe);
  }
  json +=
      R"(],"services":[{"name":"plain"},{"name":"engines","engine":{"slots":8,)"
      R"("stride":5,"step_ms":1,"read_per_s":45900,"chunk":2048,)"
      R"("loads_per_s":9,"loads_at_once":9,"models":[{"name":"m","size":2,)"
      R"("share":1,"pace":1,"load_s":1,"warm_s":0.1}]}}],)"
      R"("limits":{"idle_timeout_ms":)" +
      std::to_string(variation.idle_ms) +
      R"(},"tenants":[{"name":"team-1","api_keys":["key-1")" +
      (variation.has_second_key ? R"(,"key-2")" : "") +
      (variation.is_final ? R"(,"key-final")" : "") + "]}]}";
  return json;
}

/// Sends configurations and resends each until it is acknowledged.
class Operator {
 public:
  Operator(const PlatformFleet& fleet, Random random, IdleLimits& idle_limits,
           Failures& failures)
      : fleet(fleet),
        random(random),
        idle_limits(idle_limits),
        failures(failures) {}

  void Send() {
    this->variation.version +=
        static_cast<std::uint64_t>(Draw(this->random, 1, 3));
    const std::string text = ConfigurationJson(this->variation);
    this->idle_limits.Sent(this->variation.idle_ms);
    const bool is_acknowledged = Eventually([this, &text] {
      const int control = Draw(this->random, 1, 3);
      const int status = Call(this->fleet.ControlEndpoint(control), "PUT",
                              "/api/config", {}, text)
                             .ReadAll()
                             .status;
      if (status / 100 == 4) {
        this->failures.Add("a valid configuration was refused with " +
                           std::to_string(status));
      }
      return status == 200;
    });
    if (!is_acknowledged) {
      this->failures.Add("configuration " +
                         std::to_string(this->variation.version) +
                         " was not acknowledged");
      return;
    }
    this->idle_limits.Acknowledged();
    this->acknowledged_text = text;
    this->acknowledged += 1;
  }
  void Vary() {
    this->variation.timeout_ms =
        Draw(this->random, kMinTimeoutMs, kMaxTimeoutMs);
    this->variation.has_extra_route = DrawChance(this->random, 60);
    this->variation.has_second_key = DrawChance(this->random, 60);
    this->variation.filler_routes =
        DrawChance(this->random, 30) ? Draw(this->random, 200, 700) : 0;
    if (Now() >= this->next_idle_change_at) {
      this->variation.idle_ms = std::min(Draw(this->random, 300, 1500),
                                         Draw(this->random, 300, 1500));
      this->next_idle_change_at =
          Now() + milliseconds(Draw(this->random, 500, 7000));
    }
  }

  Variation variation;
  std::string acknowledged_text;
  int acknowledged = 0;

 private:
  const PlatformFleet& fleet;
  Random random;
  IdleLimits& idle_limits;
  Failures& failures;
  Moment next_idle_change_at;
};

}  // namespace gooseberryturn::fleet::soak

#endif  // GOOSEBERRYTURN_TESTS_SOAK_FLEET_H_
