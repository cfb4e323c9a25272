#ifndef GOOSEBERRYTURN_DIRECT_TARGET_TRACKER_H_
#define GOOSEBERRYTURN_DIRECT_TARGET_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/target_notices.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief What the end of an exchange tells about the health of its target.
enum class HealthSignal : std::uint8_t {
  kNone,  ///< Nothing: cancelled, or rejected by a full target.
  kGood,  ///< A complete answer.
  kBad,   ///< Cut off, stalled, invalid, or no connection.
};

inline constexpr NameTable<HealthSignal, 3> kHealthSignalNames = {
    {"none", "good", "bad"}};

/// \brief Tracks the load and health of each target, as one entry sees them.
///
/// \details Load counts the requests in flight of all entries. This entry's own
/// are known at once; those of the other entries arrive through the leader with
/// a delay of about 100 ms.
class TargetTracker {
 public:
  /// \brief Records that a request with `prompt_tokens` was sent to `target`.
  void BeginRequest(const std::string& target, std::uint32_t prompt_tokens,
                    TimePoint now);
  /// \brief Records that the prefill of a request is over, or that its attempt
  /// ended without one.
  void EndPrefill(const std::string& target, std::uint32_t prompt_tokens);
  /// \brief Records that an attempt at `target` ended, and updates its health
  /// by `signal`.
  void EndRequest(const std::string& target, HealthSignal signal,
                  TimePoint now);
  /// \brief Records that the target sent answer bytes.
  void RecordProgress(const std::string& target, TimePoint now);
  /// \brief Records that nothing is read from `target` for a request, because
  /// its caller reads slowly, or that reading goes on. A target that may not
  /// send is not stalled.
  void SetPaused(const std::string& target, bool is_paused, TimePoint now);
  /// \brief Sets the sums over all entries, which include this entry's last
  /// report.
  void SetTotals(const std::vector<InFlightWork>& totals);
  /// \brief Returns this entry's work in flight and remembers it as reported.
  [[nodiscard]] std::vector<InFlightWork> ReportInFlightWork();
  /// \brief This entry's requests in flight at `target`.
  [[nodiscard]] std::uint32_t OwnRequests(const std::string& target) const;
  /// \brief Requests in flight of all entries at `target`.
  [[nodiscard]] std::uint32_t Load(const std::string& target) const;
  /// \brief Prompt tokens of all entries that wait for prefill at `target`.
  [[nodiscard]] std::uint32_t PendingPrefillTokens(
      const std::string& target) const;
  /// \brief Targets with requests in flight, not all of them paused, that sent
  /// nothing for kStallTimeout.
  [[nodiscard]] std::vector<std::string> StalledTargets(TimePoint now) const;
  /// \brief Targets at which an exchange broke off or could not begin in the
  /// last kBrokenTime and that sent nothing since: they may have crashed.
  [[nodiscard]] std::vector<std::string> BrokenTargets(TimePoint now) const;
  /// \brief True if `target` is one of the StalledTargets.
  [[nodiscard]] bool IsStalled(const std::string& target, TimePoint now) const;
  /// \brief True while the target is stalled, and for kMinAvoidTime after
  /// kFailuresToAvoid failures in a row. Each further failure in a row doubles
  /// this time, up to kMaxAvoidTime; a good answer does not shorten it.
  [[nodiscard]] bool IsAvoided(const std::string& target, TimePoint now) const;
  /// \brief Takes one request from the rate limit of a cold target, `per_s`
  /// requests a second without bursts.
  /// \returns False when the limit is reached.
  [[nodiscard]] bool TakeColdRequest(const std::string& target, double per_s,
                                     TimePoint now);

  /// \brief What targets said of themselves.
  [[nodiscard]] TargetNotices& notices() noexcept {
    return this->target_notices;
  }
  [[nodiscard]] const TargetNotices& notices() const noexcept {
    return this->target_notices;
  }

  static constexpr Duration kStallTimeout = std::chrono::milliseconds(320);
  static constexpr Duration kBrokenTime = std::chrono::milliseconds(1000);
  static constexpr Duration kMinAvoidTime = std::chrono::milliseconds(500);
  static constexpr Duration kMaxAvoidTime = std::chrono::seconds(4);
  static constexpr int kFailuresToAvoid = 2;

 private:
  struct TargetState {
    std::uint32_t own_requests = 0;       ///< In flight, sent by this entry.
    std::uint32_t paused_requests = 0;    ///< Of these, not read from.
    std::uint32_t reported_requests = 0;  ///< `own_requests` as last reported.
    std::uint32_t total_requests = 0;     ///< Of all entries, by the leader.
    // Prompt tokens that wait for prefill, counted in the same three ways.
    std::uint32_t own_pending_prefill_tokens = 0;
    std::uint32_t reported_pending_prefill_tokens = 0;
    std::uint32_t total_pending_prefill_tokens = 0;
    TimePoint last_progress_at;
    TimePoint last_broken_at;
    int consecutive_failures = 0;
    TimePoint avoid_until;
    double cold_credit = 0;  ///< Token bucket of a cold target.
    TimePoint cold_refilled_at;
  };

  std::map<std::string, TargetState> targets;
  TargetNotices target_notices;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_TARGET_TRACKER_H_
