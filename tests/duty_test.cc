#define BOOST_TEST_MODULE duty
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/direct/duty_runner.h"
#include "gooseberryturn/direct/fleet_state.h"
#include "gooseberryturn/duty/call_queue.h"
#include "gooseberryturn/duty/duty_lease.h"
#include "gooseberryturn/duty/fleet_clock.h"
#include "gooseberryturn/duty/usage_ledger.h"
#include "gooseberryturn/duty/usage_meter.h"
#include "gooseberryturn/protocol/codec.h"

/// Duties for the whole fleet: the holder of the lease, counts of requests, the
/// fleet's time and calls to the platform. Without a network.
using namespace gooseberryturn;        // NOLINT
using namespace gooseberryturn::duty;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kLeaseTime = seconds(3);
constexpr std::int64_t kUnixMs = 1'700'000'000'000;

[[nodiscard]] PlatformSettings MakeSettings() {
  PlatformSettings settings;
  settings.reports_usage = true;
  settings.scales = true;
  settings.calls_per_s = 10;
  return settings;
}

[[nodiscard]] TimePoint At(Duration time) {
  return TimePoint(std::chrono::hours(1)) + time;
}

}  // namespace

// -------------------------------------------------------------------- lease

namespace {

constexpr int kHosts = 3;
constexpr int kSubjects = 3;
/// Time for which a leader that is cut off still trusts the log's lease.
constexpr Duration kLogLease = milliseconds(380);

/// A host of the simulated fleet.
struct SimulatedHost {
  DutyLease lease{kLeaseTime};
  TimePoint runs_at;     ///< Frozen until then.
  TimePoint lease_ends;  ///< Of the log's lease.
  bool is_leader = false;
};

struct Call {
  int host = 0;
  int subject = 0;
  std::uint64_t fence = 0;
  TimePoint arrives_at;
  bool is_delayed = false;  ///< By the platform, beyond the call's deadline.
};

/// Three hosts that lead in turn under random freezes, partitions, restarts and
/// delays. A new leader is elected only after the lease of the last one, as the
/// log guarantees.
class LeaseSimulation {
 public:
  explicit LeaseSimulation(unsigned seed) : random(seed), hosts(kHosts) {}

  void Run() {
    for (this->now = At(Duration(0)); this->now < At(seconds(120));
         this->now += milliseconds(20)) {
      this->MoveLeadership();
      for (int host = 0; host < kHosts; ++host) {
        if (this->now >= this->hosts[host].runs_at) {
          this->Step(host);
        }
      }
      this->Deliver();
    }
  }

  std::map<std::uint64_t, std::set<int>> hosts_by_fence;
  std::vector<Call> accepted;  ///< In the order of their execution.

 private:
  [[nodiscard]] int Draw(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(this->random);
  }
  void MoveLeadership() {
    SimulatedHost& old = this->hosts[this->leader];
    if (!old.is_leader || this->Draw(100) == 0) {
      const bool is_cut_off = this->Draw(2) == 0;
      if (old.is_leader && is_cut_off) {
        // It does not know yet; its lease runs out.
        this->next_election_at = old.lease_ends;
        old.runs_at = this->now + milliseconds(this->Draw(2) * Draw(6000));
        this->cut_off = this->leader;
      } else if (old.is_leader) {
        old.is_leader = false;
        this->next_election_at = old.lease_ends;
      }
    }
    if (this->now <= this->next_election_at) {
      return;
    }
    if (this->hosts[this->leader].is_leader && this->cut_off != this->leader) {
      this->hosts[this->leader].lease_ends = this->now + kLogLease;
      return;
    }
    this->hosts[this->leader].is_leader = false;
    this->cut_off = -1;
    this->leader = this->Draw(kHosts);
    SimulatedHost& next = this->hosts[this->leader];
    if (this->Draw(4) == 0) {
      next.lease = DutyLease(kLeaseTime);  // It has restarted since.
    }
    next.is_leader = true;
    next.runs_at = this->now;
    next.lease_ends = this->now + kLogLease;
    next.lease.StartLeading();
    this->last_index += 1;
  }
  void Step(int number) {
    SimulatedHost& host = this->hosts[number];
    const bool has_lease = host.is_leader && this->now < host.lease_ends;
    if (has_lease && host.lease.IsTokenDue(this->now)) {
      host.lease.RecordProposed(this->log_fence);
      const int fate = this->Draw(10);
      if (fate < 8) {
        this->log_fence = ++this->last_index;
      }
      if (fate < 7) {
        host.lease.RecordAcquired(this->log_fence, this->now);
      } else {
        host.lease.RecordProposalFailed();  // Applied all the same, for 7.
      }
    }
    const std::optional<std::uint64_t> fence =
        host.lease.Fence(has_lease, this->log_fence, this->now);
    if (!fence.has_value() || this->Draw(8) != 0) {
      return;
    }
    this->hosts_by_fence[*fence].insert(number);
    const bool is_delayed = this->Draw(10) == 0;
    const Duration delay =
        milliseconds(is_delayed ? 2000 + Draw(8000) : this->Draw(2000));
    this->calls.push_back(
        {number, this->Draw(kSubjects), *fence, this->now + delay, is_delayed});
  }
  void Deliver() {
    for (std::size_t index = 0; index < this->calls.size();) {
      const Call call = this->calls[index];
      if (call.arrives_at > this->now) {
        ++index;
        continue;
      }
      this->calls.erase(this->calls.begin() +
                        static_cast<std::ptrdiff_t>(index));
      std::uint64_t& highest = this->highest_fence[call.subject];
      if (call.fence >= highest) {
        highest = call.fence;
        this->accepted.push_back(call);
      } else {
        this->hosts[call.host].lease.RecordConflict(call.fence, this->now);
      }
    }
  }

  std::mt19937 random;
  std::vector<SimulatedHost> hosts;
  TimePoint now;
  TimePoint next_election_at;
  int leader = 0;
  int cut_off = -1;
  std::uint64_t last_index = 0;
  std::uint64_t log_fence = 0;
  std::deque<Call> calls;
  std::map<int, std::uint64_t> highest_fence;
};

/// True if a host acts, another one after it and the first one again within
/// `lease_time`.
[[nodiscard]] bool HasQuickReturn(const std::vector<Call>& calls) {
  std::map<int, TimePoint> last_by_host;
  std::optional<Call> last;
  for (const Call& call : calls) {
    if (call.is_delayed) {
      continue;
    }
    const auto before = last_by_host.find(call.host);
    const bool is_return = last.has_value() && last->host != call.host &&
                           before != last_by_host.end();
    if (is_return && call.arrives_at < before->second + kLeaseTime) {
      return true;
    }
    last_by_host[call.host] = call.arrives_at;
    last = call;
  }
  return false;
}

}  // namespace

// Guards against two hosts with one token, an older call that overwrites a
// newer one, and holders in the order A, B, A within the lease time.
BOOST_AUTO_TEST_CASE(holders_keep_the_lease_under_random_failures) {
  std::size_t changes = 0;
  for (unsigned seed = 1; seed <= 200; ++seed) {
    LeaseSimulation simulation(seed);
    simulation.Run();
    BOOST_TEST_CONTEXT("seed " << seed) {
      for (const auto& holders : simulation.hosts_by_fence) {
        BOOST_TEST(holders.second.size() == 1U);
      }
      std::map<int, std::uint64_t> last;
      for (const Call& call : simulation.accepted) {
        BOOST_TEST(call.fence >= last[call.subject]);
        last[call.subject] = call.fence;
      }
      BOOST_TEST(!HasQuickReturn(simulation.accepted));
    }
    for (std::size_t index = 1; index < simulation.accepted.size(); ++index) {
      changes +=
          simulation.accepted[index].host != simulation.accepted[index - 1].host
              ? 1
              : 0;
    }
  }
  BOOST_TEST(changes > 500U);
}

BOOST_AUTO_TEST_CASE(a_conflict_ends_the_use_of_a_token_at_once) {
  DutyLease lease(kLeaseTime);
  lease.StartLeading();
  BOOST_TEST(lease.IsTokenDue(At(seconds(0))));
  lease.RecordProposed(0);
  BOOST_TEST(!lease.IsTokenDue(At(seconds(0))));
  lease.RecordAcquired(7, At(seconds(0)));
  BOOST_TEST(*lease.Fence(true, 7, At(seconds(0))) == 7U);
  BOOST_TEST(!lease.Fence(false, 7, At(seconds(0))).has_value());
  BOOST_TEST(!lease.Fence(true, 8, At(seconds(0))).has_value());
  lease.RecordConflict(6, At(seconds(1)));  // Of an earlier token.
  BOOST_TEST(lease.Fence(true, 7, At(seconds(1))).has_value());
  lease.RecordConflict(7, At(seconds(1)));
  BOOST_TEST(!lease.Fence(true, 7, At(seconds(1))).has_value());
  BOOST_TEST(!lease.IsTokenDue(At(milliseconds(2999))));
  BOOST_TEST(lease.IsTokenDue(At(seconds(3))));
  lease.RecordProposed(7);
  lease.RecordAcquired(9, At(seconds(3)));
  BOOST_TEST(*lease.Fence(true, 9, At(seconds(3))) == 9U);
}

// -------------------------------------------------------------------- clock

// Guards against windows that move when the time of day of some hosts jumps.
BOOST_AUTO_TEST_CASE(jumps_of_some_clocks_do_not_move_the_fleets_time) {
  FleetClock clock;
  clock.StartLeading(At(Duration(0)));
  std::int64_t jump_ms = 0;
  for (int ms = 0; ms < 60'000; ms += 100) {
    const TimePoint now = At(milliseconds(ms));
    if (ms == 20'000) {
      jump_ms = 3'600'000;
    } else if (ms == 40'000) {
      jump_ms = -86'400'000;
    }
    clock.Record("leader", kUnixMs + ms + jump_ms, now);
    clock.Record("entry-1", kUnixMs + ms + 3, now);
    clock.Record("entry-2", kUnixMs + ms - 4, now);
    clock.Record("entry-3", kUnixMs + ms + jump_ms, now);
    clock.Record("entry-4", -ms, now);
    const std::optional<std::int64_t> time = clock.UnixMs(now);
    BOOST_TEST(time.has_value() == (ms >= 1000));
    if (time.has_value()) {
      BOOST_TEST(std::abs(*time - kUnixMs - ms) <= 4);
    }
  }
}

BOOST_AUTO_TEST_CASE(silent_hosts_do_not_count_for_the_fleets_time) {
  FleetClock clock;
  clock.StartLeading(At(Duration(0)));
  clock.Record("wrong-1", 1000, At(Duration(0)));
  clock.Record("wrong-2", 1000, At(Duration(0)));
  clock.Record("right", kUnixMs + 9000, At(seconds(9)));
  BOOST_TEST(*clock.UnixMs(At(seconds(10))) == kUnixMs + 10'000);
  BOOST_TEST(*clock.UnixMs(At(seconds(40))) == kUnixMs + 40'000);
}

// -------------------------------------------------------------------- meter

namespace {

[[nodiscard]] std::map<std::string, std::uint64_t> Sum(
    const std::vector<UsageCount>& counts) {
  std::map<std::string, std::uint64_t> sum;
  for (const UsageCount& count : counts) {
    if (!count.team.empty()) {
      sum[count.team + "@" + std::to_string(count.window % 1000)] +=
          count.requests;
    }
  }
  return sum;
}

}  // namespace

// Guards against counting refused requests, and one request twice.
// In a report, an empty team marks the first window that may still change. A
// configuration may have a team without a name, whose requests would move it.
BOOST_AUTO_TEST_CASE(requests_of_a_team_without_a_name_are_not_counted) {
  UsageMeter meter{seconds(5)};
  const std::int64_t window = 340'000'000;
  meter.SetTime(window * 5000, 0, At(Duration(0)));
  meter.BeginAttempt(1, "", At(seconds(1)));
  meter.EndAttempt(1, true);
  meter.RecordFirstEvent(2, "", At(seconds(1)));
  for (const UsageCount& count : meter.TakeReport(At(seconds(2)))) {
    BOOST_TEST(count.requests == 0U);
  }
}

BOOST_AUTO_TEST_CASE(a_request_counts_once_when_a_target_began_to_run_it) {
  UsageMeter meter{seconds(5)};
  meter.BeginAttempt(99, "early", At(Duration(0)));  // The time is not known.
  meter.EndAttempt(99, true);
  BOOST_TEST(meter.TakeReport(At(Duration(0))).empty());
  const std::int64_t window = 340'000'000;
  meter.SetTime(window * 5000, 0, At(Duration(0)));
  meter.BeginAttempt(1, "a", At(seconds(4)));
  meter.EndAttempt(1, false);  // Not executed.
  meter.BeginAttempt(1, "a", At(seconds(4)));
  meter.EndAttempt(1, true);  // A 500 that is retried.
  meter.BeginAttempt(1, "a", At(seconds(6)));
  meter.EndAttempt(1, true);
  meter.EndRequest(1);
  meter.BeginAttempt(2, "a", At(seconds(4)));
  meter.EndAttempt(2, false);
  meter.EndRequest(2);
  meter.RecordFirstEvent(3, "b", At(seconds(6)));
  meter.RecordFirstEvent(3, "b", At(seconds(6)));
  std::vector<UsageCount> report = meter.TakeReport(At(seconds(6)));
  BOOST_TEST(report.front().team.empty());
  BOOST_TEST(report.front().window == window + 1);
  BOOST_TEST((Sum(report) ==
              std::map<std::string, std::uint64_t>{{"a@0", 1}, {"b@1", 1}}));
  BOOST_TEST(meter.TakeReport(At(seconds(6))).size() == 1U);
  meter.ReportAgain();
  BOOST_TEST(meter.TakeReport(At(seconds(6))).size() == 3U);
}

// Guards against a window that is closed while the outcome of a request in it
// is open, and against one slow answer that holds up all windows.
BOOST_AUTO_TEST_CASE(a_window_is_final_when_its_requests_are_known) {
  UsageMeter meter{seconds(5)};
  const std::int64_t window = 340'000'000;
  meter.SetTime(window * 5000, 0, At(Duration(0)));
  meter.BeginAttempt(1, "a", At(milliseconds(4500)));
  BOOST_TEST(meter.TakeReport(At(milliseconds(5500))).front().window == window);
  const std::vector<UsageCount> report =
      meter.TakeReport(At(milliseconds(6500)));
  BOOST_TEST(report.front().window == window + 1);
  BOOST_TEST((Sum(report) == std::map<std::string, std::uint64_t>{{"a@0", 1}}));
  meter.EndAttempt(1, true);
  BOOST_TEST(meter.TakeReport(At(seconds(7))).size() == 1U);
  // A correction by a few milliseconds does not lead back.
  meter.SetTime((window + 1) * 5000 - 3, 0, At(seconds(8)));
  BOOST_TEST(meter.TakeReport(At(seconds(8))).front().window == window + 1);
}

// ------------------------------------------------------------------- ledger

namespace {

/// Entries with meters, a leader with a ledger that changes, and the log.
class UsageSimulation {
 public:
  explicit UsageSimulation(unsigned seed) : random(seed) {
    this->ledger.StartLeading(At(Duration(0)));
    for (int entry = 0; entry < kEntries; ++entry) {
      this->Restart(entry);
    }
  }

  void Run() {
    for (int ms = 0; ms < kRunMs; ms += kStepMs) {
      this->now = At(milliseconds(ms));
      this->unix_ms = kUnixMs + ms;
      this->InjectFailure();
      this->ReceiveRequests();
      if (ms % 100 == 0) {
        this->SendReports();
      }
      this->Deliver();
      this->RunLeader();
    }
  }

  static constexpr int kEntries = 6;
  static constexpr int kRunMs = 90'000;
  static constexpr int kStepMs = 10;

  WindowCounts true_counts;
  WindowCounts closed;
  std::vector<std::int64_t> closing_order;
  std::int64_t longest_delay_ms = 0;  ///< From a window's end to its closing.

 private:
  struct Report {
    EntryRun run;
    std::vector<UsageCount> counts;
    TimePoint arrives_at;
  };

  [[nodiscard]] int Draw(int below) {
    return std::uniform_int_distribution<int>(0, below - 1)(this->random);
  }
  void Restart(int entry) {
    this->meters.insert_or_assign(entry, UsageMeter(seconds(5)));
    this->runs[entry] = {"entry-" + std::to_string(entry),
                         ++this->last_incarnation};
  }
  /// One failure at a time: what an entry has counted is lost if it is killed
  /// before a leader could write it to the log.
  void InjectFailure() {
    if (this->now < this->next_failure_at) {
      return;
    }
    this->next_failure_at = this->now + milliseconds(4000 + this->Draw(4000));
    const int entry = this->Draw(kEntries);
    switch (this->Draw(3)) {
      case 0:
        this->Restart(entry);
        break;
      case 1:
        this->cut_off_until[entry] = this->now + milliseconds(this->Draw(3500));
        break;
      default:
        this->ledger.StartLeading(this->now);
        this->reports.clear();
        for (auto& meter : this->meters) {
          meter.second.ReportAgain();
        }
        break;
    }
  }
  void ReceiveRequests() {
    for (auto& entry : this->meters) {
      entry.second.SetTime(this->unix_ms, 0, this->now);
      for (int request = this->Draw(3); request > 0; --request) {
        const std::string team = "team-" + std::to_string(this->Draw(4));
        const std::uint64_t id = ++this->last_request;
        if (this->Draw(2) == 0) {
          entry.second.RecordFirstEvent(id, team, this->now);
        } else {
          entry.second.BeginAttempt(id, team, this->now);
          entry.second.EndAttempt(id, true);
        }
        entry.second.EndRequest(id);
        this->true_counts[WindowAt(this->unix_ms, seconds(5))][team] += 1;
      }
    }
  }
  void SendReports() {
    for (auto& entry : this->meters) {
      if (this->now < this->cut_off_until[entry.first]) {
        entry.second.ReportAgain();
        continue;
      }
      const Report report = {this->runs[entry.first],
                             entry.second.TakeReport(this->now),
                             this->now + milliseconds(this->Draw(60))};
      this->reports.push_back(report);
      if (this->Draw(5) == 0) {
        this->reports.push_back(report);
        this->reports.back().arrives_at += milliseconds(this->Draw(4000));
      }
    }
  }
  void Deliver() {
    for (std::size_t index = 0; index < this->reports.size();) {
      if (this->reports[index].arrives_at > this->now) {
        ++index;
        continue;
      }
      this->ledger.RecordReport(this->reports[index].run,
                                this->reports[index].counts, this->now);
      this->reports.erase(this->reports.begin() +
                          static_cast<std::ptrdiff_t>(index));
    }
  }
  void RunLeader() {
    this->ledger.Expire(this->record, this->unix_ms, this->now);
    for (const EntryUsage& ended :
         this->ledger.TotalsToLog(this->record, "leader", this->now)) {
      this->record.AddTotals(ended);
    }
    const std::optional<UsageReport> next =
        this->ledger.NextClosed(this->record, this->unix_ms, this->now);
    if (!next.has_value()) {
      return;
    }
    this->record.CloseWindow(next->window, next->counts);
    this->closed[next->window] = next->counts;
    this->closing_order.push_back(next->window);
    this->longest_delay_ms = std::max(
        this->longest_delay_ms, this->unix_ms - (next->window + 1) * 5000);
  }

  std::mt19937 random;
  TimePoint now;
  std::int64_t unix_ms = kUnixMs;
  std::map<int, EntryRun> runs;
  std::map<int, TimePoint> cut_off_until;
  TimePoint next_failure_at = At(Duration(0));
  std::map<int, UsageMeter> meters;
  std::vector<Report> reports;
  UsageLedger ledger{MakeSettings()};
  UsageRecord record;
  std::uint64_t last_incarnation = 0;
  std::uint64_t last_request = 0;
};

[[nodiscard]] std::uint64_t Total(const TeamCounts& counts) {
  std::uint64_t total = 0;
  for (const auto& team : counts) {
    total += team.second;
  }
  return total;
}

}  // namespace

// Guards against lost and double counts under repeated reports, restarts of
// entries, partitions and changes of the leader.
BOOST_AUTO_TEST_CASE(counts_stay_within_five_percent_under_random_failures) {
  double worst = 0;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    UsageSimulation simulation(seed);
    simulation.Run();
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(simulation.closing_order.size() >= 14U);
      BOOST_TEST(simulation.longest_delay_ms <= 10'000);
      for (std::size_t index = 1; index < simulation.closing_order.size();
           ++index) {
        BOOST_TEST(simulation.closing_order[index] ==
                   simulation.closing_order[index - 1] + 1);
      }
      for (const auto& window : simulation.closed) {
        const double expected =
            static_cast<double>(Total(simulation.true_counts[window.first]));
        const double error =
            std::abs(static_cast<double>(Total(window.second)) - expected) /
            expected;
        worst = std::max(worst, error);
        BOOST_TEST(error <= 0.05, window.first << ": " << error);
        BOOST_TEST(Total(window.second) <=
                   Total(simulation.true_counts[window.first]));
      }
    }
  }
  BOOST_TEST_MESSAGE("largest error: " << worst);
}

// Guards against counts that change with the order or repetition of reports.
BOOST_AUTO_TEST_CASE(repeated_and_older_reports_change_nothing) {
  UsageLedger ledger(MakeSettings());
  UsageRecord record;
  ledger.StartLeading(At(Duration(0)));
  const std::int64_t window = kUnixMs / 5000;
  const EntryRun first = {"entry", 1};
  const EntryRun second = {"entry", 2};
  ledger.RecordReport(first, {{window, "", 0}, {window, "a", 5}},
                      At(seconds(2)));
  ledger.RecordReport(first, {{window, "", 0}, {window, "a", 3}},
                      At(seconds(2)));
  ledger.RecordReport(second, {{window, "", 0}, {window, "a", 2}},
                      At(seconds(3)));
  ledger.RecordReport(second, {{window, "a", 2}}, At(seconds(3)));
  // Of a run that has ended: written to the log once.
  const std::vector<EntryUsage> ended =
      ledger.TotalsToLog(record, "leader", At(seconds(3)));
  BOOST_REQUIRE(ended.size() == 1U);
  record.AddTotals(ended[0]);
  record.AddTotals(ended[0]);
  BOOST_TEST(ledger.TotalsToLog(record, "leader", At(seconds(3))).empty());
  // A live entry is written only by the leader on its own host.
  BOOST_TEST(ledger.TotalsToLog(record, "entry", At(seconds(3))).size() == 1U);
  BOOST_TEST(!ledger.NextClosed(record, kUnixMs + 4000, At(seconds(4))));
  // The entry has not gone on to the next window.
  BOOST_TEST(!ledger.NextClosed(record, kUnixMs + 5100, At(seconds(5))));
  ledger.RecordReport(second, {{window + 1, "", 0}}, At(seconds(5)));
  const std::optional<UsageReport> closed =
      ledger.NextClosed(record, kUnixMs + 5100, At(milliseconds(5100)));
  BOOST_REQUIRE(closed.has_value());
  BOOST_TEST((closed->counts == TeamCounts{{"a", 7}}));
  record.CloseWindow(closed->window, closed->counts);
  record.CloseWindow(closed->window, {});
  BOOST_TEST((record.unacknowledged().at(window) == TeamCounts{{"a", 7}}));
}

// Guards against counts that are not valid: they must not outweigh the others.
BOOST_AUTO_TEST_CASE(implausible_counts_are_ignored) {
  UsageLedger ledger(MakeSettings());
  UsageRecord record;
  ledger.StartLeading(At(Duration(0)));
  const std::int64_t window = kUnixMs / 5000;
  ledger.RecordReport({"entry", 1},
                      {{window, "a", ~std::uint64_t{0}},
                       {-1, "a", 5},
                       {window + 1000, "a", 5},
                       {window - 1000, "a", 5},
                       {window, std::string(5000, 'x'), 5}},
                      At(seconds(1)));
  ledger.Expire(record, kUnixMs + 1000, At(seconds(1)));
  BOOST_TEST(ledger.ignored_counts() == 4U);
  BOOST_TEST(!ledger.NextClosed(record, kUnixMs + 60'000, At(seconds(60))));
}

BOOST_AUTO_TEST_CASE(reports_wait_in_order_and_the_oldest_is_dropped) {
  UsageRecord record;
  for (std::int64_t window = 1; window <= 70; ++window) {
    record.CloseWindow(window, {{"a", 1}});
  }
  BOOST_TEST(record.unacknowledged().size() == UsageRecord::kMaxReports);
  BOOST_TEST(record.unacknowledged().begin()->first == 7);
  record.Acknowledge(7);
  record.Acknowledge(7);
  BOOST_TEST(record.unacknowledged().begin()->first == 8);
  BOOST_TEST(record.next_window() == 71);
}

// -------------------------------------------------------------------- calls

// Guards against more calls than the platform takes, and two in flight.
BOOST_AUTO_TEST_CASE(calls_keep_their_rate_and_alternate) {
  CallQueue queue(10, 1);
  queue.StartLeading();
  WindowCounts reports;
  for (std::int64_t window = 1; window <= 40; ++window) {
    reports[window] = {{"a", 1}};
  }
  const int data_centres = 40;
  std::vector<ScaleOrder> orders;
  orders.reserve(data_centres);
  for (int zone = 0; zone < data_centres; ++zone) {
    orders.push_back({"s", std::to_string(zone), 5});
  }
  queue.SetScaleTargets(orders);
  std::vector<TimePoint> sent;
  std::int64_t last_window = 0;
  for (int ms = 0; ms < 8000; ++ms) {
    const TimePoint now = At(milliseconds(ms));
    const std::optional<PlatformCall> call = queue.TakeNext(reports, 5, now);
    if (!call.has_value()) {
      continue;
    }
    sent.push_back(now);
    if (call->duty == Duty::kUsage) {
      BOOST_TEST(call->usage.window == last_window + 1);
      last_window = call->usage.window;
    }
    BOOST_TEST(!queue.TakeNext(reports, 5, now).has_value());
    queue.RecordOutcome(*call, CallOutcome::kAcknowledged, now);
  }
  for (std::size_t index = 1; index < sent.size(); ++index) {
    BOOST_TEST((sent[index] - sent[index - 1] >= milliseconds(100)));
  }
  BOOST_TEST(last_window >= 34);
  BOOST_TEST(sent.size() >= 68U);
  for (const double rate : {0.0, -1.0, std::nan("")}) {
    CallQueue none(rate, 1);
    BOOST_TEST(!none.TakeNext(reports, 5, At(Duration(0))).has_value());
  }
}

// Guards against retries without pause while the platform fails.
BOOST_AUTO_TEST_CASE(failures_back_off_and_end) {
  for (const CallOutcome failure :
       {CallOutcome::kUnknown, CallOutcome::kNotSent, CallOutcome::kRejected,
        CallOutcome::kRateLimited, CallOutcome::kConflict}) {
    CallQueue queue(1000, 7);
    queue.StartLeading();
    const WindowCounts reports = {{3, {{"a", 1}}}};
    int calls = 0;
    for (int ms = 0; ms < 30'000; ms += 10) {
      const TimePoint now = At(milliseconds(ms));
      const std::optional<PlatformCall> call = queue.TakeNext(reports, 5, now);
      if (call.has_value()) {
        calls += 1;
        queue.RecordOutcome(*call, failure, now);
      }
    }
    BOOST_TEST(calls >= 8);
    BOOST_TEST(calls <= 20);
    TimePoint now = At(seconds(30));
    std::optional<PlatformCall> call;
    while (!call.has_value()) {
      now += milliseconds(10);
      call = queue.TakeNext(reports, 6, now);
    }
    BOOST_TEST((now < At(seconds(36))));
    queue.RecordOutcome(*call, CallOutcome::kAcknowledged, now);
    BOOST_TEST(queue.acknowledged_window() == 3);
    BOOST_TEST(!queue.TakeNext(reports, 6, now + seconds(9)).has_value());
  }
}

// Guards against needless orders, and an earlier order that is executed late.
BOOST_AUTO_TEST_CASE(a_different_order_after_an_unanswered_one_needs_a_token) {
  CallQueue queue(1000, 7);
  queue.StartLeading();
  queue.SetScaleTargets({{"s", "za", 6, 6}});
  BOOST_TEST(!queue.TakeNext({}, 5, At(seconds(0))).has_value());
  queue.SetScaleTargets({{"s", "za", 8, 6}});
  std::optional<PlatformCall> call = queue.TakeNext({}, 5, At(seconds(1)));
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(!queue.TakeNext({}, 5, At(seconds(2))).has_value());
  queue.RecordOutcome(*call, CallOutcome::kUnknown, At(seconds(3)));
  queue.SetScaleTargets({{"s", "za", 6, 6}});
  BOOST_TEST(!queue.TakeNext({}, 5, At(seconds(10))).has_value());
  BOOST_TEST(queue.FenceToExceed(5) == 5U);
  BOOST_TEST(queue.FenceToExceed(6) == 0U);
  call = queue.TakeNext({}, 6, At(seconds(11)));
  BOOST_REQUIRE(call.has_value());
  BOOST_TEST(call->order.targets == 6U);
  queue.RecordOutcome(*call, CallOutcome::kAcknowledged, At(seconds(11)));
  BOOST_TEST(!queue.TakeNext({}, 6, At(seconds(20))).has_value());
  queue.SetScaleTargets({{"s", "za", 9, 6}});
  call = queue.TakeNext({}, 6, At(seconds(21)));
  BOOST_TEST(call.has_value());
  // A retry that succeeds does not recall the first, unanswered call.
  queue.RecordOutcome(*call, CallOutcome::kUnknown, At(seconds(21)));
  call = queue.TakeNext({}, 6, At(seconds(30)));
  BOOST_REQUIRE(call.has_value());
  queue.RecordOutcome(*call, CallOutcome::kAcknowledged, At(seconds(30)));
  queue.SetScaleTargets({{"s", "za", 4, 6}});
  BOOST_TEST(!queue.TakeNext({}, 6, At(seconds(40))).has_value());
  BOOST_TEST(queue.FenceToExceed(6) == 6U);
  BOOST_TEST(queue.TakeNext({}, 7, At(seconds(41))).has_value());
}

// ------------------------------------------------------------------- runner

namespace {

/// A leader's DutyRunner with the log's state and a platform that answers as
/// told. Time passes in steps of the leader's tick.
class RunnerFixture {
 public:
  RunnerFixture() { this->Lead(); }

  /// The leadership moves to a host that has not led before.
  void Lead() {
    direct::DutyHooks hooks;
    hooks.propose = [this](const direct::FleetCommand& command,
                           const direct::DutyHooks::OnApplied& on_applied) {
      consensus::Entry entry;
      entry.index = this->state.applied_index() + 1;
      entry.kind = consensus::EntryKind::kCommand;
      entry.data = protocol::Encode(command);
      this->state.Apply(entry);
      on_applied(entry.index);
    };
    hooks.send = [this](const PlatformCall& call, TimePoint /*deadline*/,
                        const std::function<bool()>& may_send,
                        const direct::DutyHooks::OnOutcome& on_outcome) {
      BOOST_TEST(may_send());
      this->calls.push_back(call);
      on_outcome(this->outcome);
    };
    hooks.has_lease = [this](TimePoint /*now*/) { return this->has_lease; };
    hooks.unix_ms = [this] { return this->UnixMs(); };
    hooks.now = [this] { return this->now; };
    this->host_number += 1;
    this->runner = std::make_unique<direct::DutyRunner>(
        "host-" + std::to_string(this->host_number), this->settings, 1,
        this->state, this->metrics, hooks);
    this->runner->StartLeading(this->now);
  }
  void Run(Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += milliseconds(50)) {
      this->runner->Tick(this->now);
    }
  }
  void Report(std::vector<UsageCount> usage) {
    direct::EntryReport report;
    report.unix_ms = this->UnixMs();
    report.usage = std::move(usage);
    this->runner->RecordReport({"entry", "za", 1}, report, this->now);
  }
  [[nodiscard]] std::int64_t UnixMs() const {
    return kUnixMs + WholeMs(this->now - At(Duration(0)));
  }

  PlatformSettings settings = MakeSettings();
  direct::FleetState state;
  observe::Metrics metrics;
  std::unique_ptr<direct::DutyRunner> runner;
  std::vector<PlatformCall> calls;
  CallOutcome outcome = CallOutcome::kAcknowledged;
  TimePoint now = At(Duration(0));
  bool has_lease = true;
  int host_number = 0;
};

}  // namespace

// Guards against a window that is reported with two contents, and against calls
// without the lease.
BOOST_AUTO_TEST_CASE(a_window_keeps_its_content_across_leaders) {
  RunnerFixture fixture;
  fixture.Run(seconds(3));
  const std::int64_t window = kUnixMs / 5000;
  fixture.Report({{window, "", 0}, {window, "a", 4}, {window, "b", 1}});
  BOOST_TEST(fixture.calls.empty());
  fixture.outcome = CallOutcome::kUnknown;
  fixture.Run(seconds(8));
  BOOST_REQUIRE(!fixture.calls.empty());
  fixture.has_lease = false;
  const std::size_t calls = fixture.calls.size();
  fixture.Run(seconds(2));
  BOOST_TEST(fixture.calls.size() == calls);
  fixture.has_lease = true;
  const TimePoint taken_over_at = fixture.now;
  fixture.Lead();
  fixture.Report({{window + 1, "", 0}, {window, "a", 6}});
  fixture.Run(milliseconds(2900));
  BOOST_TEST(fixture.calls.size() == calls);  // It waits for the lease time.
  fixture.outcome = CallOutcome::kAcknowledged;
  fixture.Run(seconds(20));
  const std::uint64_t first_fence = fixture.calls.front().fence;
  for (const PlatformCall& call : fixture.calls) {
    if (call.usage.window == window) {
      BOOST_TEST((call.usage.counts == TeamCounts{{"a", 4}, {"b", 1}}));
    } else {
      BOOST_TEST(call.usage.counts.empty());
    }
  }
  BOOST_TEST(fixture.calls.back().fence > first_fence);
  BOOST_TEST(fixture.calls.back().usage.window > window + 2);
  BOOST_TEST(fixture.state.duty_holder().host == "host-2");
  BOOST_TEST(fixture.state.usage().unacknowledged().empty());
  BOOST_TEST((fixture.now - taken_over_at > seconds(20)));
}

// Guards against the use of a token after the platform has rejected it.
BOOST_AUTO_TEST_CASE(a_conflict_leads_to_a_new_token) {
  RunnerFixture fixture;
  fixture.Run(seconds(1));
  fixture.runner->SetScaleTargets({{"s", "za", 5, 4}, {"s", "zb", 4, 4}});
  fixture.outcome = CallOutcome::kConflict;
  fixture.Run(seconds(10));
  std::set<std::uint64_t> fences;
  for (const PlatformCall& call : fixture.calls) {
    BOOST_TEST(call.order.data_centre == "za");
    BOOST_TEST(fences.insert(call.fence).second);
  }
  BOOST_TEST(fixture.calls.size() >= 3U);
  BOOST_TEST(fixture.calls.size() <= 4U);  // One in each lease time.
  BOOST_TEST(fixture.metrics.Get(observe::Metric::kPlatformConflicts) ==
             static_cast<std::int64_t>(fixture.calls.size()));
  fixture.outcome = CallOutcome::kAcknowledged;
  fixture.Run(seconds(10));
  const std::size_t calls = fixture.calls.size();
  fixture.Run(seconds(10));
  BOOST_TEST(fixture.calls.size() == calls);
}

// Guards against calls for a duty that the settings do not name.
BOOST_AUTO_TEST_CASE(a_duty_that_is_not_named_is_not_carried_out) {
  RunnerFixture fixture;
  fixture.settings.reports_usage = false;
  fixture.settings.scales = false;
  fixture.Lead();
  const std::int64_t window = kUnixMs / 5000;
  fixture.Report({{window, "", 0}, {window, "a", 4}});
  fixture.runner->SetScaleTargets({{"s", "za", 5, 4}});
  fixture.Run(seconds(30));
  BOOST_TEST(fixture.calls.empty());
  BOOST_TEST(fixture.runner->UnixMs(fixture.now) == 0);
}

// -------------------------------------------------------------------- state

namespace {

/// The state as builds without duties wrote it.
struct EarlierState {
  std::uint64_t applied = 12;
  std::uint64_t config_version = 3;
  std::string config_text = "{}";
  std::set<std::string> evacuated = {"zb"};
  std::map<std::string, direct::TargetView> targets;
  std::map<std::string, direct::GroupView> groups;
  std::vector<direct::SuspectRecord> suspects;
  std::map<std::string, std::uint64_t> revisions = {{"zb", 7}};

  MSGPACK_DEFINE(applied, config_version, config_text, evacuated, targets,
                 groups, suspects, revisions)
};

}  // namespace

// Guards against snapshots that cannot be read after an upgrade.
BOOST_AUTO_TEST_CASE(snapshots_without_duties_are_read) {
  direct::FleetState state;
  BOOST_REQUIRE(state.Load(protocol::Encode(EarlierState())));
  BOOST_TEST(state.version() == 3U);
  BOOST_TEST(state.Revision("zb") == 7U);
  BOOST_TEST(state.duty_holder().fence == 0U);
  consensus::Entry entry;
  entry.index = 13;
  entry.kind = consensus::EntryKind::kCommand;
  direct::FleetCommand command;
  command.kind = direct::FleetCommandKind::kTakeDuties;
  command.duty_host = "host-1";
  entry.data = protocol::Encode(command);
  state.Apply(entry);
  direct::FleetState copy;
  BOOST_REQUIRE(copy.Load(state.Save()));
  BOOST_TEST(copy.duty_holder().fence == 13U);
  BOOST_TEST(copy.duty_holder().host == "host-1");
  BOOST_TEST(copy.version() == 3U);
}
