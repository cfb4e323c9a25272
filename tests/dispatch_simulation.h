#ifndef GOOSEBERRYTURN_TESTS_DISPATCH_SIMULATION_H_
#define GOOSEBERRYTURN_TESTS_DISPATCH_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "direct_fixtures.h"
#include "gooseberryturn/direct/admission_reserve.h"
#include "gooseberryturn/direct/capacity_learner.h"
#include "gooseberryturn/direct/capacity_merger.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/priority_map.h"
#include "gooseberryturn/direct/target_chooser.h"
#include "gooseberryturn/direct/target_tracker.h"
#include "gooseberryturn/direct/wait_queue.h"

/// Several entries that send the requests of one model to the heads of its
/// groups, with an engine that works by the published figures. Time passes in
/// steps of one millisecond.
namespace gooseberryturn::direct {

/// \brief Requests of one priority in a simulation.
struct SimulatedClass {
  int priority = 1;
  /// Requests that arrive in a second, over all entries.
  double requests_per_s = 0;
  std::int64_t from_ms = 0;
  std::int64_t until_ms = 1'000'000'000;
};

/// \brief What a simulation plays.
struct SimulatedLoad {
  std::size_t entries = 16;
  std::size_t heads = 4;
  /// Requests that arrive in a second, over all entries.
  double requests_per_s = 0;
  /// Replace `requests_per_s`, in the order of their priorities.
  std::vector<SimulatedClass> classes;
  bool sends_priorities = false;  ///< To the engines, by PriorityMap.
  bool reserves_room = false;     ///< By AdmissionReserve.
  double mean_prompt_tokens = 1600;
  double mean_events = 18;
  double objective_ms = 500;
  std::size_t slots = 46;  ///< Of each group.
  double time_factor = 1;  ///< Of the model.
  /// Time until the first event that the published figures leave out.
  double unpublished_ms = 110;
  std::int64_t duration_ms = 20'000;
  bool learns = false;  ///< Entries learn how fast the heads are.
  /// Events count as progress of their head, so that none seems stalled between
  /// two ends.
  bool records_progress = false;
  /// Factor on all times of the first head between two times.
  double slow_factor = 1;
  std::int64_t slow_from_ms = 0;
  std::int64_t slow_until_ms = 0;
  std::uint64_t seed = 1;
};

/// \brief How a simulation ended.
struct SimulatedResult {
  std::size_t arrived = 0;
  std::size_t on_time = 0;
  std::size_t late = 0;
  std::size_t rejected = 0;
  /// Of `rejected`, those that did not wait first.
  std::size_t rejected_at_once = 0;
  /// By priority, if the load has classes.
  std::map<int, SimulatedResult> by_priority;
  /// Variance of the requests that one head gets in 200 ms, divided by their
  /// mean: 1 for independent arrivals.
  double dispersion = 0;

  [[nodiscard]] double OnTimeShare() const {
    return static_cast<double>(this->on_time) /
           static_cast<double>(std::max<std::size_t>(1, this->arrived));
  }
};

/// \brief One group of replicas that works by the published figures.
class SimulatedEngine {
 public:
  struct Request {
    std::uint64_t id = 0;
    double prompt_tokens = 0;
    std::int64_t events = 1;
    int priority = 5;  ///< 0 goes first.
  };

  SimulatedEngine(const EngineProfile& profile, const ModelProfile& model)
      : profile(profile), model(model) {}

  void Add(const Request& request) {
    const auto behind = std::find_if(this->waiting.begin(), this->waiting.end(),
                                     [&request](const Request& other) {
                                       return other.priority > request.priority;
                                     });
    this->waiting.insert(behind, request);
  }

  /// \brief Requests with an event at the end of a pass.
  struct Events {
    std::vector<std::uint64_t> first;
    std::vector<std::uint64_t> later;
    std::vector<std::uint64_t> last;  ///< Also in one of the others.
  };

  /// \brief Ends the pass in progress if it is over, and begins the next one,
  /// which takes `slow_factor` times as long as published.
  [[nodiscard]] Events Advance(double now_ms, double slow_factor) {
    Events events;
    if (now_ms >= this->pass_ends_ms) {
      this->EndPass(events);
      this->BeginPass(now_ms, slow_factor);
    }
    return events;
  }

 private:
  void EndPass(Events& events) {
    std::vector<Request> remaining;
    for (Request& writer : this->writers) {
      const bool is_first = this->unstarted.erase(writer.id) > 0;
      (is_first ? events.first : events.later).push_back(writer.id);
      writer.events -= 1;
      if (writer.events <= 0) {
        events.last.push_back(writer.id);
      } else {
        remaining.push_back(writer);
      }
    }
    this->writers = std::move(remaining);
    for (const Request& read : this->read_in_pass) {
      this->unstarted[read.id] = true;
      this->writers.push_back(read);
    }
    this->read_in_pass.clear();
  }

  void BeginPass(double now_ms, double slow_factor) {
    while (!this->waiting.empty() &&
           this->reading.size() + this->writers.size() < this->profile.slots) {
      this->reading.push_back(this->waiting.front());
      this->waiting.pop_front();
    }
    double budget = this->profile.prefill_chunk_tokens;
    double tokens = 0;
    while (!this->reading.empty() && budget > 0) {
      Request& next = this->reading.front();
      const double part = std::min(budget, next.prompt_tokens);
      next.prompt_tokens -= part;
      budget -= part;
      tokens += part;
      if (next.prompt_tokens <= 0) {
        this->read_in_pass.push_back(next);
        this->reading.pop_front();
      }
    }
    const double writing = static_cast<double>(this->writers.size());
    const double decode_ms = writing > 0
                                 ? static_cast<double>(this->profile.stride) *
                                       (this->profile.step_ms +
                                        this->profile.per_sequence_ms * writing)
                                 : 0;
    const double prefill_ms =
        1000.0 * tokens / this->profile.prefill_tokens_per_s;
    const double pass_ms =
        slow_factor * this->model.time_factor * (decode_ms + prefill_ms);
    this->pass_ends_ms = std::max(now_ms, this->pass_ends_ms) + pass_ms;
    if (pass_ms <= 0) {
      this->pass_ends_ms = now_ms;
    }
  }

  EngineProfile profile;
  ModelProfile model;
  double pass_ends_ms = 0;
  std::deque<Request> waiting;
  std::deque<Request> reading;
  std::vector<Request> read_in_pass;
  std::vector<Request> writers;
  std::map<std::uint64_t, bool> unstarted;  ///< Without their first event.
};

/// \brief Plays SimulatedLoad with the real decisions of the entries.
class DispatchSimulation {
 public:
  explicit DispatchSimulation(const SimulatedLoad& load)
      : load(load), random(load.seed) {
    std::vector<std::string> names;
    for (std::size_t number = 0; number < load.heads; ++number) {
      names.push_back("h" + std::to_string(number));
    }
    Configuration configuration = MakeConfiguration();
    EngineProfile& engine = *configuration.services.back().engine;
    engine.slots = load.slots;
    engine.models.front().time_factor = load.time_factor;
    engine.mean_output_tokens =
        load.mean_events * static_cast<double>(engine.stride);
    this->view = MakeView(names, configuration);
    this->service = this->view.routes()->configuration().FindService("engines");
    this->model = &this->service->engine->models.front();
    for (const std::string& name : names) {
      this->engines.emplace(
          name, SimulatedEngine(*this->service->engine, *this->model));
    }
    for (std::size_t number = 0; number < load.entries; ++number) {
      this->entries.push_back(std::make_unique<Entry>(load.seed, number));
      if (load.learns) {
        this->entries.back()->UseLearntCapacity();
      }
    }
  }

  [[nodiscard]] SimulatedResult Run() {
    if (this->load.classes.empty()) {
      this->load.classes = {{1, this->load.requests_per_s}};
    }
    std::vector<double> next_arrivals_ms;
    for (const SimulatedClass& arriving : this->load.classes) {
      next_arrivals_ms.push_back(static_cast<double>(arriving.from_ms) +
                                 this->DrawGapMs(arriving));
    }
    for (this->now_ms = 0; this->now_ms < this->load.duration_ms;
         ++this->now_ms) {
      for (std::size_t number = 0; number < next_arrivals_ms.size(); ++number) {
        const SimulatedClass& arriving = this->load.classes[number];
        double& next_ms = next_arrivals_ms[number];
        while (next_ms <= static_cast<double>(this->now_ms) &&
               this->now_ms < arriving.until_ms) {
          this->Arrive(arriving.priority);
          next_ms += this->DrawGapMs(arriving);
        }
      }
      this->AdvanceEngines();
      this->ExchangeReports();
      for (std::size_t number = 0; number < this->entries.size(); ++number) {
        // Entries look at their queues at most every 50 ms without news.
        const std::int64_t phase = static_cast<std::int64_t>(number * 3 % 50);
        if ((this->now_ms + phase) % 50 == 0) {
          this->DispatchQueued(number);
        }
      }
    }
    this->result.dispersion = this->Dispersion();
    return this->result;
  }

 private:
  struct Request {
    std::size_t entry = 0;
    int priority = 1;
    double engine_ms = 0;
    std::int64_t arrived_ms = 0;
    std::int64_t sent_ms = 0;
    double prompt_tokens = 0;
    std::int64_t events = 1;
    double expected_ms = 0;
    double published_ms = 0;
    std::int64_t last_event_ms = 0;
    std::string target;
  };

  struct Entry {
    Entry(std::uint64_t seed, std::size_t number)
        : learner(seed * 31 + number),
          chooser("a", "entry-" + std::to_string(number), seed * 977 + number) {
    }
    void UseLearntCapacity() { this->chooser.UseLearntCapacity(this->learner); }

    TargetTracker tracker;
    CapacityLearner learner;
    TargetChooser chooser;
    WaitQueue queue;
    AdmissionReserve reserve;
    std::vector<InFlightWork> reported;
  };

  static constexpr std::int64_t kReportMs = 100;
  static constexpr std::int64_t kMaxQueueMs = 1200;

  [[nodiscard]] double DrawGapMs(const SimulatedClass& arriving) {
    std::exponential_distribution<double> gap(arriving.requests_per_s / 1000);
    return gap(this->random);
  }

  /// Counts an event for the whole load and for its priority.
  void Record(int priority, std::size_t SimulatedResult::*count) {
    this->result.*count += 1;
    this->result.by_priority[priority].*count += 1;
  }

  void Arrive(int priority) {
    // Most prompts are short, a few are long.
    constexpr double kPromptSigma = 0.8;
    constexpr double kMaxPromptFactor = 3;
    std::lognormal_distribution<double> prompt(
        std::log(this->load.mean_prompt_tokens) -
            kPromptSigma * kPromptSigma / 2,
        kPromptSigma);
    std::geometric_distribution<std::int64_t> events(1.0 /
                                                     this->load.mean_events);
    std::uniform_int_distribution<std::size_t> pick(0,
                                                    this->entries.size() - 1);
    const std::uint64_t id = this->next_id++;
    Request& request = this->requests[id];
    request.entry = pick(this->random);
    request.arrived_ms = this->now_ms;
    request.prompt_tokens = std::min(
        prompt(this->random), kMaxPromptFactor * this->load.mean_prompt_tokens);
    request.events = 1 + events(this->random);
    request.priority = priority;
    request.engine_ms = EngineTimeMs(*this->service->engine, *this->model,
                                     request.prompt_tokens,
                                     this->service->engine->mean_output_tokens);
    this->Record(priority, &SimulatedResult::arrived);
    Entry& entry = *this->entries[request.entry];
    entry.reserve.RecordArrival(priority, request.engine_ms, At(this->now_ms));
    entry.chooser.RecordPrompt("engines", "small", request.prompt_tokens);
    QueuedRequest queued = {id, "m", priority, this->DispatchBy(request),
                            At(request.arrived_ms + kMaxQueueMs)};
    queued.engine_ms = request.engine_ms;
    const bool must_wait = !entry.queue.GoesFirst(queued, At(this->now_ms));
    if (!must_wait && this->TryDispatch(id)) {
      return;
    }
    if (this->IsClosedOut(entry, priority)) {
      this->Record(priority, &SimulatedResult::rejected);
      this->Record(priority, &SimulatedResult::rejected_at_once);
      this->requests.erase(id);
      return;
    }
    entry.queue.Add(queued);
  }

  [[nodiscard]] bool IsClosedOut(Entry& entry, int priority) {
    const TimePoint now = At(this->now_ms);
    return this->load.reserves_room &&
           entry.reserve.IsClosed(priority,
                                  entry.queue.MoreUrgentMs("m", priority, now),
                                  Milliseconds(kMaxQueueMs), now);
  }

  /// Priority at the engine, as an entry sends it.
  [[nodiscard]] int EnginePriority(const Request& request, bool is_late) const {
    constexpr int kDefault = 5;
    if (this->load.classes.size() < 2) {
      return kDefault;
    }
    if (is_late) {
      return PriorityMap::kLate;
    }
    if (!this->load.sends_priorities) {
      return kDefault;
    }
    return request.priority == this->load.classes.front().priority
               ? PriorityMap::kMostUrgent
               : PriorityMap::kLeastUrgent;
  }

  [[nodiscard]] TimePoint DispatchBy(const Request& request) const {
    const Entry& entry = *this->entries[request.entry];
    const double first_event_ms = entry.chooser.PredictFirstEventMs(
        "engines", "small",
        FirstEventMs(*this->service->engine, *this->model,
                     request.prompt_tokens));
    return At(request.arrived_ms +
              static_cast<std::int64_t>(
                  std::max(0.0, this->load.objective_ms - first_event_ms)));
  }

  bool TryDispatch(std::uint64_t id) {
    Request& request = this->requests.at(id);
    Entry& entry = *this->entries[request.entry];
    const TimePoint now = At(this->now_ms);
    const bool is_late = now >= this->DispatchBy(request);
    ChoiceRequest asked = MakeChoiceRequest(
        request.prompt_tokens,
        this->load.objective_ms *
            (is_late ? kLatePrefillWaitShare : kPrefillWaitShare));
    if (!is_late) {
      asked.time_to_objective_ms =
          this->load.objective_ms -
          static_cast<double>(this->now_ms - request.arrived_ms);
    }
    if (this->load.reserves_room) {
      asked.reserved_requests =
          entry.reserve.ReservedRequests(request.priority, now);
      asked.room_priority = request.priority;
    }
    asked.waiting = std::max<std::size_t>(
        1, this->load.reserves_room ? entry.queue.CountByPriority(
                                          "m", is_late, now)[request.priority]
                                    : entry.queue.Count("m", is_late, now));
    const Choice choice =
        entry.chooser.Choose(asked, this->view, entry.tracker, 1.5, now);
    if (choice.target == nullptr) {
      return false;
    }
    entry.queue.Remove(id);
    request.target = choice.target->name;
    request.sent_ms = this->now_ms;
    request.expected_ms = choice.expected_ms;
    request.published_ms = choice.published_ms;
    entry.tracker.BeginRequest(
        request.target, static_cast<std::uint32_t>(request.prompt_tokens), now);
    this->engines.at(request.target)
        .Add({id, request.prompt_tokens, request.events,
              this->EnginePriority(request, is_late)});
    this->sent[{request.target, this->now_ms / 200}] += 1;
    return true;
  }

  void DispatchQueued(std::size_t number) {
    Entry& entry = *this->entries[number];
    std::optional<std::uint64_t> next =
        entry.queue.Next("m", At(this->now_ms), {});
    while (next.has_value() && this->TryDispatch(*next)) {
      next = entry.queue.Next("m", At(this->now_ms), {});
    }
    for (const std::uint64_t id : entry.queue.TakeExpired(At(this->now_ms))) {
      this->Record(this->requests.at(id).priority, &SimulatedResult::rejected);
      this->requests.erase(id);
    }
  }

  void AdvanceEngines() {
    for (std::pair<const std::string, SimulatedEngine>& item : this->engines) {
      const bool is_slow = item.first == "h0" &&
                           this->now_ms >= this->load.slow_from_ms &&
                           this->now_ms < this->load.slow_until_ms;
      const SimulatedEngine::Events events =
          item.second.Advance(static_cast<double>(this->now_ms),
                              is_slow ? this->load.slow_factor : 1);
      for (const std::uint64_t id : events.first) {
        this->OnFirstEvent(this->requests.at(id));
      }
      for (const std::uint64_t id : events.later) {
        this->OnLaterEvent(this->requests.at(id));
      }
      for (const std::uint64_t id : events.last) {
        const Request& request = this->requests.at(id);
        const std::size_t entry = request.entry;
        this->entries[entry]->tracker.EndRequest(
            request.target, HealthSignal::kGood, At(this->now_ms));
        this->requests.erase(id);
        this->DispatchQueued(entry);
      }
    }
  }

  void RecordProgress(const Request& request) {
    if (this->load.records_progress) {
      this->entries[request.entry]->tracker.RecordProgress(request.target,
                                                           At(this->now_ms));
    }
  }

  void OnLaterEvent(Request& request) {
    Entry& entry = *this->entries[request.entry];
    this->RecordProgress(request);
    EventGap gap;
    gap.began_at = At(request.last_event_ms);
    gap.expected_ms =
        EventGapMs(*this->service->engine, *this->model,
                   entry.tracker.Load(request.target),
                   entry.tracker.PendingPrefillTokens(request.target));
    entry.learner.ObserveEventGap({request.target, 0}, gap, At(this->now_ms));
    request.last_event_ms = this->now_ms;
  }

  void OnFirstEvent(Request& request) {
    Entry& entry = *this->entries[request.entry];
    const double engine_ms =
        static_cast<double>(this->now_ms - request.sent_ms) +
        this->load.unpublished_ms;
    const double total_ms =
        engine_ms + static_cast<double>(request.sent_ms - request.arrived_ms);
    entry.tracker.EndPrefill(request.target,
                             static_cast<std::uint32_t>(request.prompt_tokens));
    this->RecordProgress(request);
    entry.learner.ObserveFirstEvent(
        {request.target, 0},
        entry.chooser.PredictFirstEventMs("engines", "small",
                                          request.published_ms),
        engine_ms, At(this->now_ms));
    request.last_event_ms = this->now_ms;
    entry.chooser.RecordFirstEvent("engines", "small", request.expected_ms,
                                   engine_ms);
    if (total_ms <= this->load.objective_ms) {
      this->Record(request.priority, &SimulatedResult::on_time);
    } else {
      this->Record(request.priority, &SimulatedResult::late);
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
        (void)this->merger.AddReport(entry.learner.TakeReport(At(this->now_ms)),
                                     At(this->now_ms));
      }
      if ((this->now_ms + 53) % kReportMs == phase) {
        entry.tracker.SetTotals(this->Totals());
        (void)entry.learner.ApplyMerged(this->merger.Notable(At(this->now_ms)),
                                        this->entries.size(), At(this->now_ms));
        this->StartRound(entry);
        this->DispatchQueued(number);
      }
    }
  }

  void StartRound(Entry& entry) {
    const TimePoint now = At(this->now_ms);
    entry.reserve.SetCapacity({this->load.heads, this->entries.size()});
    RoomShare::WaitingByPool waiting;
    const std::string key = QueueKey("engines", "small");
    for (const bool is_late : {false, true}) {
      if (!this->load.reserves_room) {
        waiting[RoomPool(key, is_late)] = entry.queue.Count("m", is_late, now);
        continue;
      }
      for (const std::pair<const int, std::size_t>& count :
           entry.queue.CountByPriority("m", is_late, now)) {
        waiting[RoomPool(key, is_late, count.first)] = count.second;
      }
    }
    entry.chooser.BeginRound(this->entries.size(), waiting, now);
  }

  [[nodiscard]] std::vector<InFlightWork> Totals() const {
    std::map<std::string, InFlightWork> sums;
    for (const std::unique_ptr<Entry>& entry : this->entries) {
      for (const InFlightWork& work : entry->reported) {
        InFlightWork& sum = sums[work.target];
        sum.target = work.target;
        sum.requests += work.requests;
        sum.pending_prefill_tokens += work.pending_prefill_tokens;
      }
    }
    std::vector<InFlightWork> totals;
    totals.reserve(sums.size());
    for (const std::pair<const std::string, InFlightWork>& sum : sums) {
      totals.push_back(sum.second);
    }
    return totals;
  }

  [[nodiscard]] double Dispersion() const {
    const std::int64_t windows = this->load.duration_ms / 200;
    double sum = 0;
    double squares = 0;
    for (const auto& item : this->sent) {
      sum += item.second;
      squares += item.second * item.second;
    }
    const double count =
        static_cast<double>(windows) * static_cast<double>(this->load.heads);
    const double mean = sum / count;
    return (squares / count - mean * mean) / std::max(mean, 1e-9);
  }

  SimulatedLoad load;
  std::mt19937_64 random;
  FleetView view;
  CapacityMerger merger =
      CapacityMerger([](const std::string&, std::int64_t) { return true; });
  const Service* service = nullptr;
  const ModelProfile* model = nullptr;
  std::map<std::string, SimulatedEngine> engines;
  std::vector<std::unique_ptr<Entry>> entries;
  std::map<std::uint64_t, Request> requests;
  /// Requests sent to a head in each window of 200 ms.
  std::map<std::pair<std::string, std::int64_t>, double> sent;
  std::uint64_t next_id = 1;
  std::int64_t now_ms = 0;
  SimulatedResult result;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_TESTS_DISPATCH_SIMULATION_H_
