#ifndef GOOSEBERRYTURN_DIRECT_DUTY_RUNNER_H_
#define GOOSEBERRYTURN_DIRECT_DUTY_RUNNER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryturn/consensus/types.h"
#include "gooseberryturn/direct/fleet_state.h"
#include "gooseberryturn/direct/view.h"
#include "gooseberryturn/duty/call_queue.h"
#include "gooseberryturn/duty/calls.h"
#include "gooseberryturn/duty/duty_lease.h"
#include "gooseberryturn/duty/fleet_clock.h"
#include "gooseberryturn/duty/usage_ledger.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::direct {

/// \brief What DutyRunner asks of its host.
struct DutyHooks {
  /// Receives the log index of a command once it is applied, or nothing if
  /// that is not known.
  using OnApplied = std::function<void(std::optional<consensus::Index>)>;
  using OnOutcome = std::function<void(duty::CallOutcome)>;

  std::function<void(const FleetCommand&, const OnApplied&)> propose;
  /// Makes a call, unless `may_send` says no right before it is written, and
  /// gives it up at `deadline`.
  std::function<void(const duty::PlatformCall&, TimePoint deadline,
                     std::function<bool()> may_send, const OnOutcome&)>
      send;
  /// True while this host leads and holds the lease of the log.
  std::function<bool(TimePoint)> has_lease;
  std::function<std::int64_t()> unix_ms;  ///< Time of day of this host.
  std::function<TimePoint()> now;
};

/// \brief Carries out the duties of the fleet at the leader: reports usage and
/// orders targets.
///
/// \details Connects the decisions of duty:: with the log and the platform. All
/// state that the next leader needs is in the log.
class DutyRunner {
 public:
  /// \param state Outlives this object; the state that the log has led to.
  DutyRunner(std::string host, const duty::PlatformSettings& settings,
             std::uint64_t seed, const FleetState& state,
             observe::Metrics& metrics, DutyHooks hooks);

  /// \brief Called when this host has taken over as the leader.
  void StartLeading(TimePoint now);
  /// \brief Called when this host no longer leads.
  void StopLeading();
  /// \brief Called several times a second while this host leads with the lease.
  void Tick(TimePoint now);
  /// \brief Records what a report says of the time of day and of usage.
  void RecordReport(const FollowerHello& hello, const EntryReport& report,
                    TimePoint now);
  /// \brief The fleet's time for updates; 0 if it is unknown or not needed.
  [[nodiscard]] std::int64_t UnixMs(TimePoint now);
  /// \brief Sets the wanted numbers of targets. An order is sent for a subject
  /// when the number differs from the last one that was acknowledged or, before
  /// that, from ScaleOrder::present. Without the duty nothing is sent.
  void SetScaleTargets(const std::vector<duty::ScaleOrder>& orders);

  /// Longest time for a call; lease_time if that is shorter.
  static constexpr Duration kCallTimeout = std::chrono::seconds(2);
  static constexpr Duration kMinCallTimeout = std::chrono::milliseconds(200);
  static constexpr Duration kTotalsInterval = std::chrono::milliseconds(500);
  /// After a longer time without a tick, entries may have been silent only
  /// because this host was frozen.
  static constexpr Duration kMaxTickGap = std::chrono::milliseconds(500);

 private:
  void ProposeToken(TimePoint now);
  void ProposeTotals(TimePoint now);
  void ProposeClosed(std::int64_t unix_ms, TimePoint now);
  void ProposeAcknowledged();
  void MakeCalls(TimePoint now);
  void Send(const duty::PlatformCall& call, TimePoint now);
  void OnOutcome(const duty::PlatformCall& call, duty::CallOutcome outcome);
  [[nodiscard]] std::optional<std::uint64_t> Fence(TimePoint now) const;
  /// Proposes a command about usage. `is_open` is true until it is applied or
  /// has failed; `on_applied` is called in the former case.
  void ProposeUsage(const FleetCommand& command, bool& is_open,
                    std::function<void()> on_applied);
  /// Counts and logs a window whose content the log holds, and the one that was
  /// dropped for it, if any.
  void RecordClosed(const duty::UsageReport& closed,
                    std::optional<std::int64_t> dropped);
  void ExportCounters();

  std::string host;
  duty::PlatformSettings settings;
  const FleetState& state;
  observe::Metrics& metrics;
  DutyHooks hooks;
  duty::DutyLease lease;
  duty::FleetClock clock;
  duty::UsageLedger ledger;
  duty::CallQueue queue;
  /// Counts the calls of StartLeading: callbacks of earlier ones are ignored.
  std::uint64_t leadership = 0;
  TimePoint last_tick_at;
  TimePoint next_totals_at;
  bool is_proposing_totals = false;
  bool is_proposing_window = false;
  bool is_proposing_acknowledgement = false;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_DUTY_RUNNER_H_
