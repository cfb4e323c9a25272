#ifndef GOOSEBERRYTURN_TESTS_PLAIN_SIMULATION_H_
#define GOOSEBERRYTURN_TESTS_PLAIN_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "direct_fixtures.h"
#include "gooseberryturn/direct/capacity_learner.h"
#include "gooseberryturn/direct/capacity_merger.h"
#include "gooseberryturn/direct/target_chooser.h"
#include "gooseberryturn/direct/target_tracker.h"

/// Several entries that send requests to the plain targets of one service.
/// Time passes in steps of one millisecond.
namespace gooseberryturn::direct {

/// \brief A plain target, and how it is slow.
struct PlainTarget {
  std::string name;
  std::size_t slots = 16;
  std::size_t queue = 8;   ///< Requests that wait for a slot.
  double slow_factor = 1;  ///< Between the two times.
  std::int64_t slow_from_ms = 0;
  std::int64_t slow_until_ms = 0;
  /// From this share of its slots on, its time grows up to four times.
  double slow_from_share = 1;
  double failed_share = 0;  ///< Requests answered at once with an error.
};

/// \brief What a simulation plays.
struct PlainLoad {
  PlainLoad() {
    constexpr std::size_t kTargets = 6;
    for (std::size_t number = 0; number < kTargets; ++number) {
      this->targets.push_back({"t" + std::to_string(number)});
    }
  }
  std::size_t entries = 6;
  std::vector<PlainTarget> targets;
  double requests_per_s = 600;
  double work_ms = 45;
  double objective_ms = 150;
  std::int64_t max_wait_ms = 400;  ///< Refused when no target takes it until.
  bool learns = true;
  std::uint64_t seed = 1;
};

/// \brief How a simulation ended.
struct PlainResult {
  std::size_t arrived = 0;
  std::size_t on_time = 0;
  std::size_t late = 0;
  std::size_t failed = 0;
  std::size_t refused = 0;
  std::size_t target_refusals = 0;

  [[nodiscard]] double OnTimeShare() const {
    return static_cast<double>(this->on_time) /
           static_cast<double>(std::max<std::size_t>(1, this->arrived));
  }
};

/// \brief Plays PlainLoad with the real decisions of the entries and the
/// leader.
class PlainSimulation {
 public:
  explicit PlainSimulation(const PlainLoad& load)
      : load(load),
        random(load.seed),
        merger([](const std::string&, std::int64_t start_ms) {
          return start_ms == kStartMs;
        }),
        gap(load.requests_per_s / 1000) {
    FleetUpdate update;
    update.config_version = 3;
    update.entries = static_cast<std::uint32_t>(load.entries);
    for (const PlainTarget& target : load.targets) {
      TargetView known;
      known.name = target.name;
      known.service = "orders";
      known.data_centre = "a";
      known.start_time_ms = kStartMs;
      update.targets.push_back(known);
      this->targets[target.name].profile = target;
    }
    this->view.Apply(update,
                     std::make_shared<const RouteTable>(MakeConfiguration()));
    for (std::size_t number = 0; number < load.entries; ++number) {
      this->entries.push_back(
          std::make_unique<Entry>(load.seed, number, load.learns));
    }
    this->next_arrival_ms = this->gap(this->random);
  }

  /// \brief Plays until `until_ms`.
  void RunUntil(std::int64_t until_ms) {
    for (; this->now_ms < until_ms; ++this->now_ms) {
      while (this->next_arrival_ms <= static_cast<double>(this->now_ms)) {
        this->Arrive();
        this->next_arrival_ms += this->gap(this->random);
      }
      this->EndAnswers();
      this->ExchangeReports();
      this->DispatchWaiting();
    }
  }
  [[nodiscard]] const PlainResult& result() const noexcept {
    return this->outcome;
  }
  /// \brief Requests that reached a target.
  [[nodiscard]] std::size_t SentTo(const std::string& target) const {
    return this->targets.at(target).received;
  }
  /// \brief Mean over the entries of what they learnt.
  [[nodiscard]] double MeanFactor(const std::string& target) const {
    return this->Mean(target, [](const TargetEstimate& estimate) {
      return estimate.time_factor;
    });
  }
  [[nodiscard]] double MeanLimit(const std::string& target) const {
    return this->Mean(target, [](const TargetEstimate& estimate) {
      return estimate.request_limit;
    });
  }
  /// \brief Plays until `until_ms`.
  /// \returns The mean limit of `target` over that time.
  [[nodiscard]] double MeanLimitUntil(std::int64_t until_ms,
                                      const std::string& target) {
    constexpr std::int64_t kStepMs = 50;
    double sum = 0;
    int steps = 0;
    while (this->now_ms < until_ms) {
      this->RunUntil(std::min(until_ms, this->now_ms + kStepMs));
      sum += this->MeanLimit(target);
      steps += 1;
    }
    return sum / std::max(1, steps);
  }
  /// \brief Makes all entries take `limit` for the request limit.
  void TeachLimit(const std::string& target, float limit) {
    for (const std::unique_ptr<Entry>& entry : this->entries) {
      for (int update = 0; update < 40; ++update) {
        (void)entry->learner.ApplyMerged({{target, kStartMs, 1, limit, 1}},
                                         this->entries.size(),
                                         At(kEpochMs + this->now_ms));
      }
    }
  }

 private:
  struct Request {
    std::size_t entry = 0;
    std::int64_t arrived_ms = 0;
    std::int64_t sent_ms = 0;
    std::uint32_t load = 0;
    bool fails = false;
    std::vector<std::string> tried;
    std::string target;
  };

  struct Target {
    PlainTarget profile;
    std::size_t running = 0;
    std::deque<std::uint64_t> queue;
    std::size_t received = 0;
  };

  struct Entry {
    Entry(std::uint64_t seed, std::size_t number, bool learns)
        : learner(seed * 31 + number),
          chooser("a", "entry-" + std::to_string(number), seed * 977 + number) {
      if (learns) {
        this->chooser.UseLearntCapacity(this->learner);
      }
    }
    TargetTracker tracker;
    CapacityLearner learner;
    TargetChooser chooser;
    std::deque<std::uint64_t> waiting;
    std::vector<InFlightWork> reported;
  };

  static constexpr std::int64_t kStartMs = 7;
  static constexpr std::int64_t kEpochMs = 100'000;
  static constexpr std::int64_t kReportMs = 100;
  static constexpr std::size_t kMaxAttempts = 3;

  [[nodiscard]] TimePoint Now() const { return At(kEpochMs + this->now_ms); }

  [[nodiscard]] double Mean(
      const std::string& target,
      const std::function<double(const TargetEstimate&)>& value) const {
    double sum = 0;
    for (const std::unique_ptr<Entry>& entry : this->entries) {
      sum += value(entry->learner.Estimate(target, kStartMs, this->Now()));
    }
    return sum / static_cast<double>(this->entries.size());
  }

  void Arrive() {
    std::uniform_int_distribution<std::size_t> pick(0,
                                                    this->entries.size() - 1);
    const std::uint64_t id = this->next_id++;
    Request& request = this->requests[id];
    request.entry = pick(this->random);
    request.arrived_ms = this->now_ms;
    this->outcome.arrived += 1;
    this->DispatchOrWait(id);
  }

  void DispatchOrWait(std::uint64_t id) {
    if (!this->TryDispatch(id)) {
      this->entries[this->requests.at(id).entry]->waiting.push_back(id);
    }
  }

  bool TryDispatch(std::uint64_t id) {
    Request& request = this->requests.at(id);
    Entry& entry = *this->entries[request.entry];
    ChoiceRequest asked;
    asked.service = "orders";
    asked.tried_targets = request.tried;
    const Choice choice =
        entry.chooser.Choose(asked, this->view, entry.tracker, 1, this->Now());
    if (choice.target == nullptr) {
      return false;
    }
    request.target = choice.target->name;
    request.load = choice.load;
    request.sent_ms = this->now_ms;
    request.tried.push_back(request.target);
    entry.tracker.BeginRequest(request.target, 0, this->Now());
    this->Receive(id, this->targets.at(request.target));
    return true;
  }

  void Receive(std::uint64_t id, Target& target) {
    std::uniform_real_distribution<double> draw(0, 1);
    target.received += 1;
    Request& request = this->requests.at(id);
    request.fails = draw(this->random) < target.profile.failed_share;
    if (request.fails) {
      this->EndAt(2, id);
    } else if (target.running < target.profile.slots) {
      this->Begin(id, target);
    } else if (target.queue.size() < target.profile.queue) {
      target.queue.push_back(id);
    } else {
      this->refused.push_back(id);
    }
  }

  void Begin(std::uint64_t id, Target& target) {
    constexpr double kSpread = 0.5;
    constexpr double kTailShare = 0.01;
    constexpr double kTailFactor = 5;
    std::lognormal_distribution<double> spread(-kSpread * kSpread / 2, kSpread);
    std::uniform_real_distribution<double> draw(0, 1);
    target.running += 1;
    double work_ms = this->load.work_ms * spread(this->random);
    work_ms *= draw(this->random) < kTailShare ? kTailFactor : 1;
    const bool is_slow = this->now_ms >= target.profile.slow_from_ms &&
                         this->now_ms < target.profile.slow_until_ms;
    work_ms *= is_slow ? target.profile.slow_factor : 1;
    const double used = static_cast<double>(target.running) /
                        static_cast<double>(target.profile.slots);
    const double from = target.profile.slow_from_share;
    if (used > from) {
      work_ms *= 1 + 3 * (used - from) / (1 - from);
    }
    this->EndAt(work_ms, id);
  }

  void EndAt(double after_ms, std::uint64_t id) {
    this->ends.push(
        {this->now_ms + std::max<std::int64_t>(1, std::llround(after_ms)), id});
  }

  void EndAnswers() {
    for (const std::uint64_t id : std::exchange(this->refused, {})) {
      this->OnRefused(id);
    }
    while (!this->ends.empty() && this->ends.top().first <= this->now_ms) {
      const std::uint64_t id = this->ends.top().second;
      this->ends.pop();
      Target& target = this->targets.at(this->requests.at(id).target);
      if (!this->requests.at(id).fails) {
        target.running -= 1;
        if (!target.queue.empty()) {
          const std::uint64_t next = target.queue.front();
          target.queue.pop_front();
          this->Begin(next, target);
        }
      }
      this->OnAnswered(id);
    }
  }

  void OnRefused(std::uint64_t id) {
    const Request& request = this->requests.at(id);
    Entry& entry = *this->entries[request.entry];
    this->outcome.target_refusals += 1;
    entry.tracker.EndRequest(request.target, HealthSignal::kNone, this->Now());
    entry.learner.ObserveRefusal({request.target, kStartMs}, request.load,
                                 this->Now());
    if (request.tried.size() >= kMaxAttempts) {
      this->outcome.refused += 1;
      this->requests.erase(id);
      return;
    }
    this->DispatchOrWait(id);
  }

  void OnAnswered(std::uint64_t id) {
    const Request& request = this->requests.at(id);
    Entry& entry = *this->entries[request.entry];
    entry.tracker.EndRequest(request.target, HealthSignal::kGood, this->Now());
    PlainAnswer answer;
    answer.service = "orders";
    answer.time_ms = static_cast<double>(this->now_ms - request.sent_ms);
    answer.load = request.load;
    answer.has_failed = request.fails;
    entry.learner.ObserveAnswer({request.target, kStartMs}, answer,
                                this->Now());
    const double total_ms =
        static_cast<double>(this->now_ms - request.arrived_ms);
    this->outcome.failed += request.fails ? 1 : 0;
    const bool is_on_time =
        !request.fails && total_ms <= this->load.objective_ms;
    this->outcome.on_time += is_on_time ? 1 : 0;
    this->outcome.late += !request.fails && !is_on_time ? 1 : 0;
    this->requests.erase(id);
  }

  void DispatchWaiting() {
    for (const std::unique_ptr<Entry>& entry : this->entries) {
      while (!entry->waiting.empty()) {
        const std::uint64_t id = entry->waiting.front();
        const Request& request = this->requests.at(id);
        const bool is_over =
            this->now_ms >= request.arrived_ms + this->load.max_wait_ms;
        if (!is_over && !this->TryDispatch(id)) {
          break;
        }
        entry->waiting.pop_front();
        if (is_over) {
          this->outcome.refused += 1;
          this->requests.erase(id);
        }
      }
    }
  }

  /// Each entry reports to the leader and hears from it every 100 ms, each at a
  /// time of its own.
  void ExchangeReports() {
    for (std::size_t number = 0; number < this->entries.size(); ++number) {
      Entry& entry = *this->entries[number];
      const std::int64_t phase = static_cast<std::int64_t>(number * 7 % 100);
      if (this->now_ms % kReportMs == phase) {
        entry.reported = entry.tracker.ReportInFlightWork();
        (void)this->merger.AddReport(entry.learner.TakeReport(this->Now()),
                                     this->Now());
      }
      if ((this->now_ms + 53) % kReportMs == phase) {
        entry.tracker.SetTotals(this->Totals());
        (void)entry.learner.ApplyMerged(this->merger.Notable(this->Now()),
                                        this->entries.size(), this->Now());
      }
    }
  }

  [[nodiscard]] std::vector<InFlightWork> Totals() const {
    std::map<std::string, InFlightWork> sums;
    for (const std::unique_ptr<Entry>& entry : this->entries) {
      for (const InFlightWork& work : entry->reported) {
        InFlightWork& sum = sums[work.target];
        sum.target = work.target;
        sum.requests += work.requests;
      }
    }
    std::vector<InFlightWork> totals;
    totals.reserve(sums.size());
    for (const std::pair<const std::string, InFlightWork>& sum : sums) {
      totals.push_back(sum.second);
    }
    return totals;
  }

  using End = std::pair<std::int64_t, std::uint64_t>;

  PlainLoad load;
  std::mt19937_64 random;
  FleetView view;
  CapacityMerger merger;
  std::exponential_distribution<double> gap;
  double next_arrival_ms = 0;
  std::map<std::string, Target> targets;
  std::vector<std::unique_ptr<Entry>> entries;
  std::map<std::uint64_t, Request> requests;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::vector<std::uint64_t> refused;
  std::uint64_t next_id = 1;
  std::int64_t now_ms = 0;
  PlainResult outcome;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_TESTS_PLAIN_SIMULATION_H_
