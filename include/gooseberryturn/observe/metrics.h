#ifndef GOOSEBERRYTURN_OBSERVE_METRICS_H_
#define GOOSEBERRYTURN_OBSERVE_METRICS_H_

// Boost.Accumulators uses <sstream> without including it.
// clang-format off
#include <sstream>
// clang-format on

#include <array>
#include <atomic>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <mutex>
#include <sstream>
#include <string>

#include "gooseberryturn/core/close_cause.h"
#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/core/reason.h"
#include "gooseberryturn/core/time.h"

namespace gooseberryturn::observe {

/// \brief Counters (exported names that end in `_total`) and gauges.
enum class Metric : std::uint8_t {
  kRequests,
  kAnswers,
  kAnswerBytes,
  kInFlight,
  kConnections,
  kRelayBytes,
  kRenewals,
  kRenewBytes,
  kViewIndex,
  kLogCommit,
  kIsLeader,
  kGroups,
  kClaims,
  kReservedTokens,
  kConcurrencyLimit,
  kRequestsAfterClose,
  kTargetsLeaving,  ///< Learnt from answers.
  kTargetPauses,    ///< Asked for by targets.
  kTargetPausesBounded,
  kTargetPausesIgnored,
  kContentsHeld,         ///< Content that came under suspicion.
  kContentsCleared,      ///< Content that is suspected no longer.
  kContentsQuarantined,  ///< Content that was quarantined.
  kQuarantinesEnded,
  kMemoryFull,  ///< Requests and answers given up for want of memory.
  kLateOrders,  ///< Orders of operators and targets that were not carried out.
  kClosesNotReported,   ///< To the flow of the request in progress.
  kScaleChanges,        ///< Wanted numbers of targets that changed.
  kScaleInputsIgnored,  ///< Invalid samples and sizes.
  kEarlyRetries,        ///< Requests that came back before their Retry-After.
  kClosedOut,           ///< Refused at once for more urgent requests.
  /// Refused as overloaded while half of the slots were free and none waited.
  kRefusalsWithRoom,
  kLengthHintsIgnored,  ///< Of callers; no whole number, or out of range.
  kPlatformCalls,       ///< Calls to the platform that were made.
  kPlatformCallsFailed,
  kPlatformConflicts,        ///< Rejected for a higher fencing token.
  kPlatformCallsLimited,     ///< Rejected by the platform's rate limit.
  kUsageWindowsClosed,       ///< Content was written to the log.
  kUsageWindowsDropped,      ///< The platform was down for too long.
  kUsageWindowsWaiting,      ///< Closed and not acknowledged.
  kUsageLateRequests,        ///< Reported after their window was closed.
  kUsageCountsIgnored,       ///< Not valid.
  kTargetsSlow,              ///< Targets found to be slow by their answers.
  kTargetsRecovered,         ///< Slow targets that are fast again.
  kLearntCapacitiesIgnored,  ///< Invalid, or of an unknown incarnation.
  kCapacityProbes,           ///< Requests sent to see if a target recovered.
  kRequestLimitDecreases,    ///< Of learnt request limits.
};

inline constexpr std::size_t kMetricCount = 47;

/// \brief Exported names, without the prefix `gooseberryturn_`.
inline constexpr NameTable<Metric, kMetricCount> kMetricNames = {
    {"requests_total",
     "answers_total",
     "answer_bytes_total",
     "in_flight",
     "connections",
     "relay_buffer_bytes",
     "view_renewals_total",
     "view_renewal_bytes_total",
     "view_index",
     "log_commit_index",
     "is_leader",
     "groups",
     "claims",
     "reserved_tokens",
     "concurrency_limit",
     "requests_after_close_total",
     "targets_leaving_total",
     "target_pauses_total",
     "target_pauses_bounded_total",
     "target_pauses_ignored_total",
     "contents_held_total",
     "contents_cleared_total",
     "contents_quarantined_total",
     "quarantines_ended_total",
     "memory_full_total",
     "late_orders_total",
     "closes_not_reported_total",
     "scale_changes_total",
     "scale_inputs_ignored_total",
     "early_retries_total",
     "closed_out_total",
     "refusals_with_room_total",
     "length_hints_ignored_total",
     "platform_calls_total",
     "platform_calls_failed_total",
     "platform_conflicts_total",
     "platform_calls_limited_total",
     "usage_windows_closed_total",
     "usage_windows_dropped_total",
     "usage_windows_waiting",
     "usage_late_requests_total",
     "usage_counts_ignored_total",
     "targets_slow_total",
     "targets_recovered_total",
     "learnt_capacities_ignored_total",
     "capacity_probes_total",
     "request_limit_decreases_total"}};

/// \brief Durations that are exported as summaries with quantiles.
enum class Timing : std::uint8_t {
  kFirstByte,
  kRequest,
  kCommit,
  kLoopDelay,  ///< Time by which the event loop runs late.
};

inline constexpr std::size_t kTimingCount = 4;

/// \brief Exported names, without the prefix `gooseberryturn_`.
inline constexpr NameTable<Timing, kTimingCount> kTimingNames = {
    {"first_byte_seconds", "request_seconds", "commit_seconds",
     "event_loop_delay_seconds"}};

/// \brief Counters, gauges and timings of one process; thread-safe.
///
/// \code
///   metrics.CountRefusal(Reason::kTeamLimit);
///   std::string page = metrics.Render();
/// \endcode
class Metrics {
 public:
  Metrics();

  void Add(Metric metric, std::int64_t amount = 1) noexcept;
  void Set(Metric metric, std::int64_t value) noexcept;
  [[nodiscard]] std::int64_t Get(Metric metric) const noexcept;
  /// \brief Counts a refused request.
  void CountRefusal(Reason reason) noexcept;
  /// \brief Counts a closed connection of a caller.
  void CountClose(CloseCause cause) noexcept;
  /// \brief Counts a retry; `reason` is why the attempt before it failed.
  void CountRetry(Reason reason) noexcept;
  void Observe(Timing timing, Duration duration);
  /// \brief All metrics in the Prometheus text format.
  [[nodiscard]] std::string Render() const;

 private:
  using Quantiles = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<
          boost::accumulators::tag::count, boost::accumulators::tag::sum,
          boost::accumulators::tag::extended_p_square_quantile>>;

  std::array<std::atomic<std::int64_t>, kMetricCount> values;
  std::array<std::atomic<std::int64_t>, kReasonCount> refusals;
  std::array<std::atomic<std::int64_t>, kReasonCount> retries;
  std::array<std::atomic<std::int64_t>, kCloseCauseCount> closes;
  mutable std::mutex timing_mutex;
  std::array<Quantiles, kTimingCount> timings;
};

}  // namespace gooseberryturn::observe

#endif  // GOOSEBERRYTURN_OBSERVE_METRICS_H_
