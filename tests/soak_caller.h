#ifndef GOOSEBERRYTURN_TESTS_SOAK_CALLER_H_
#define GOOSEBERRYTURN_TESTS_SOAK_CALLER_H_

#include <algorithm>
#include <atomic>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http_call.h"
#include "kept_connection.h"
#include "platform_fake_target.h"
#include "platform_fleet.h"
#include "soak_fleet.h"

/// The callers of a soak.
namespace gooseberryturn::fleet::soak {

enum class Kind { kSafe, kUnsafe, kStream, kExtra, kSecondKey };

/// A request as its caller saw it.
struct Attempt {
  std::string id;
  Kind kind = Kind::kSafe;
  int work = 0;
  int entry = 0;
  bool is_entry_leaving = false;  ///< Or it has been told since.
  bool is_half_closed = false;    ///< By its caller, once it was sent.
  Ending ending = Ending::kComplete;
  Answer answer;
  std::int64_t idle_ms = 0;  ///< At most, before it was sent.
  int idle_limit_ms = 0;     ///< The smallest that may have been in force.
  std::int64_t waited_ms = 0;
  Moment sent_at;
  Moment ended_at;
  Moment told_to_stop_at;  ///< Its entry, if `is_entry_leaving`.

  /// Whether its connection ended unanswered although the entry had no reason.
  [[nodiscard]] bool IsClosedTooSoon() const {
    return this->ending == Ending::kUnanswered && !this->is_entry_leaving &&
           this->idle_ms < this->idle_limit_ms;
  }
  /// Whether it was sent so late and ran so long that its entry, which was told
  /// to stop, had to cut it at the end of its grace period.
  [[nodiscard]] bool IsCutAtEndOfGrace() const {
    return this->is_entry_leaving && this->ending == Ending::kCut &&
           this->sent_at >= this->told_to_stop_at &&
           this->sent_at <= this->told_to_stop_at + kLateStopSend &&
           this->ended_at >= this->told_to_stop_at + kGrace - kGrace / 6;
  }
};

/// What all callers share.
struct Scene {
  Plan plan;
  const PlatformFleet& fleet;
  std::vector<std::unique_ptr<Host>>& entries;
  IdleLimits& idle_limits;
  Failures& failures;
  std::atomic<bool> is_over = false;
};

/// A caller with several kept connections and one request at a time.
class Caller {
 public:
  Caller(Scene& scene, int number)
      : scene(scene),
        number(number),
        random(scene.plan.RandomOf(1000 + static_cast<unsigned>(number))),
        connections(static_cast<std::size_t>(Draw(random, 1, 3))) {}

  void Run() {
    while (!this->scene.is_over) {
      Kept& kept = this->Choose();
      if (this->IsUsable(kept) || this->Open(kept)) {
        this->Send(kept);
      }
      this->Pause();
    }
    this->connections.clear();
  }

  std::vector<Attempt> attempts;
  int found_closed = 0;

 private:
  struct Kept {
    std::unique_ptr<KeptConnection> connection;
    int entry = 0;
    int generation = 0;
    int idle_ms = 300;  ///< The idle time when it was opened.
  };

  [[nodiscard]] Host& EntryOf(const Kept& kept) const {
    return *this->scene.entries[static_cast<std::size_t>(kept.entry)];
  }
  [[nodiscard]] bool IsLeaving(const Kept& kept) const {
    return kept.generation % 2 == 1 ||
           this->EntryOf(kept).generation != kept.generation;
  }

  /// Half of the time the connection is used without a look at it, as by a
  /// caller whose request crosses the closing.
  /// \returns Whether the connection can take a request; closes it otherwise.
  bool IsUsable(Kept& kept) {
    if (kept.connection == nullptr) {
      return false;
    }
    if (kept.connection->is_kept && DrawChance(this->random, 50)) {
      return true;
    }
    if (kept.connection->is_kept) {
      const Moment begin = kept.connection->request_began_at;
      const IdleState state = kept.connection->State();
      const std::int64_t idle_ms = MsBetween(begin, Now());
      if (state == IdleState::kOpen) {
        return true;
      }
      this->found_closed += 1;
      const int limit_ms = this->scene.idle_limits.SmallestSince(begin);
      const std::string where = " at " + this->EntryOf(kept).Name() +
                                ", caller " + std::to_string(this->number) +
                                ", last request " + this->LastId();
      if (state == IdleState::kUnaskedBytes) {
        this->scene.failures.Add("bytes without a request" + where);
      } else if (!this->IsLeaving(kept) && idle_ms < limit_ms) {
        this->scene.failures.Add("closed after at most " +
                                 std::to_string(idle_ms) + " of " +
                                 std::to_string(limit_ms) + " ms idle" + where);
      }
    }
    kept.connection = nullptr;
    return false;
  }

  bool Open(Kept& kept) {
    kept.entry = Draw(this->random, 0, this->scene.plan.entries - 1);
    kept.generation = this->EntryOf(kept).generation;
    kept.idle_ms = this->scene.idle_limits.Newest();
    kept.connection = std::make_unique<KeptConnection>(kSilenceLimit);
    if (!kept.connection->Connect(
            this->scene.fleet.CallerEndpoint(kept.entry))) {
      kept.connection = nullptr;
    }
    return kept.connection != nullptr;
  }

  void Send(Kept& kept) {
    Attempt attempt;
    attempt.id = "s" + std::to_string(this->scene.plan.seed) + "-" +
                 std::to_string(this->number) + "-" +
                 std::to_string(this->attempts.size());
    attempt.kind = this->DrawKind();
    attempt.work = this->DrawWork(attempt.kind);
    attempt.entry = kept.entry;
    const Moment idle_since = kept.connection->request_began_at;
    attempt.is_half_closed = DrawChance(this->random, 5);
    attempt.ending = kept.connection->Exchange(
        this->MakeRequest(attempt), attempt.answer, attempt.is_half_closed);
    attempt.idle_ms = MsBetween(idle_since, kept.connection->request_sent_at);
    attempt.idle_limit_ms = this->scene.idle_limits.SmallestSince(idle_since);
    attempt.sent_at = kept.connection->request_sent_at;
    attempt.ended_at = Now();
    attempt.waited_ms = MsBetween(attempt.sent_at, attempt.ended_at);
    attempt.is_entry_leaving = this->IsLeaving(kept);
    attempt.told_to_stop_at = this->EntryOf(kept).ToldToStopAt();
    if (attempt.ending != Ending::kComplete || attempt.is_half_closed) {
      kept.connection = nullptr;
    }
    this->attempts.push_back(std::move(attempt));
  }

  KeptConnection::Request MakeRequest(const Attempt& attempt) {
    static const std::map<Kind, std::string> paths = {
        {Kind::kSafe, "/safe/"},
        {Kind::kUnsafe, "/unsafe/"},
        {Kind::kStream, "/stream/"},
        {Kind::kExtra, "/extra/"},
        {Kind::kSecondKey, "/safe/"}};
    KeptConnection::Request request(http::verb::post, paths.at(attempt.kind),
                                    11);
    request.set(http::field::host, "shop.example");
    request.set("X-Gooseberryturn-Attempt-Id", attempt.id);
    request.set("X-Gooseberryturn-Deadline-Ms", std::to_string(kDeadlineMs));
    request.set("Authorization", attempt.kind == Kind::kSecondKey
                                     ? "Bearer key-2"
                                     : "Bearer key-1");
    if (attempt.kind == Kind::kStream) {
      request.set("X-Gooseberryturn-Model", "m");
      request.set("X-Gooseberryturn-Token-Usage", "10,10");
      request.set("X-Gooseberryturn-Prefix-Hash",
                  "shared" + std::to_string(Draw(this->random, 1, 3)) +
                      ":40,own-" + attempt.id + ":9");
    }
    request.body() = std::string(FakeTarget::kWorkPrefix) +
                     std::to_string(attempt.work) + " ";
    if (DrawChance(this->random, 10)) {
      request.body().append(
          static_cast<std::size_t>(Draw(this->random, 1000, 200'000)), '.');
    }
    request.prepare_payload();
    return request;
  }

  Kind DrawKind() {
    const int draw = Draw(this->random, 1, 100);
    if (draw <= 45) {
      return Kind::kSafe;
    }
    if (draw <= 70) {
      return Kind::kUnsafe;
    }
    return draw <= 88   ? Kind::kStream
           : draw <= 94 ? Kind::kExtra
                        : Kind::kSecondKey;
  }
  int DrawWork(Kind kind) {
    if (kind == Kind::kStream) {
      return DrawChance(this->random, 5) ? Draw(this->random, 100, 200)
                                         : Draw(this->random, 1, 40);
    }
    if (DrawChance(this->random, 50)) {
      return 0;
    }
    return DrawChance(this->random, 6) ? Draw(this->random, 300, 2000)
                                       : Draw(this->random, 1, 30);
  }
  /// The connection used last, or a random one after an ordinary pause.
  Kept& Choose() {
    if (!this->is_last_due) {
      this->last_used = static_cast<std::size_t>(Draw(
          this->random, 0, static_cast<int>(this->connections.size()) - 1));
    }
    return this->connections[this->last_used];
  }
  /// In turn, a time of short pauses, in which connections grow old, and one in
  /// which the connection used last is often idle for about as long as it may.
  void Pause() {
    if (Now() >= this->phase_end) {
      this->is_busy = !this->is_busy;
      this->phase_end = Now() + milliseconds(Draw(this->random, 1000, 5000));
    }
    int time_us = Draw(this->random, 0, 40'000);
    this->is_last_due = !this->is_busy && DrawChance(this->random, 70);
    if (this->is_last_due) {
      const int limit_ms = DrawChance(this->random, 70)
                               ? this->scene.idle_limits.Newest()
                               : this->connections[this->last_used].idle_ms;
      const int spread_us = DrawChance(this->random, 50) ? 700 : 8000;
      time_us = limit_ms * 1000 + Draw(this->random, -spread_us, spread_us);
    } else if (!this->is_busy && DrawChance(this->random, 10)) {
      time_us = Draw(this->random, 0, 1'600'000);
    }
    const Moment end = Now() + std::chrono::microseconds(time_us);
    while (!this->scene.is_over && Now() < end) {
      std::this_thread::sleep_until(std::min(end, Now() + milliseconds(100)));
    }
  }
  [[nodiscard]] std::string LastId() const {
    return this->attempts.empty() ? "none" : this->attempts.back().id;
  }

  Scene& scene;
  int number;
  Random random;
  std::vector<Kept> connections;
  std::size_t last_used = 0;
  bool is_last_due = false;  ///< The connection used last is used next.
  bool is_busy = false;
  Moment phase_end;
};

}  // namespace gooseberryturn::fleet::soak

#endif  // GOOSEBERRYTURN_TESTS_SOAK_CALLER_H_
