#ifndef GOOSEBERRYTURN_DUTY_CALL_QUEUE_H_
#define GOOSEBERRYTURN_DUTY_CALL_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/duty/calls.h"
#include "gooseberryturn/duty/usage_record.h"

namespace gooseberryturn::duty {

/// \brief How a call to the platform ended.
enum class CallOutcome : std::uint8_t {
  kAcknowledged,
  kConflict,     ///< A higher token was seen; not executed.
  kRateLimited,  ///< Not executed.
  kRejected,     ///< For another reason; not executed.
  kNotSent,
  kUnknown,  ///< May be executed, also later.
};

inline constexpr NameTable<CallOutcome, 6> kCallOutcomeNames = {
    {"acknowledged", "conflict", "rate_limited", "rejected", "not_sent",
     "unknown"}};

/// \brief Outcome of a call that was answered with an HTTP status.
[[nodiscard]] CallOutcome OutcomeOfStatus(int status);

/// \brief A call to make.
struct PlatformCall {
  std::uint64_t number = 0;  ///< Unique in one queue.
  std::uint64_t fence = 0;
  Duty duty = Duty::kUsage;
  UsageReport usage;  ///< Of a usage report.
  ScaleOrder order;   ///< Of a scale order.
};

/// \brief Decides which call to the platform is made when.
///
/// \details All usage reports are one subject, and each service in a data
/// centre is one. A subject has at most one call in progress and backs off
/// exponentially, with jitter, after a failure. All calls together keep a
/// distance of 1 / `calls_per_s`: a burst could exceed the limit together with
/// the last calls of an earlier holder. Usage reports are made in order, and
/// alternate with scale orders.
///
/// An order without an answer may be executed later. A different order for its
/// subject therefore needs a higher token, with which the platform rejects the
/// earlier one. Made for 64 waiting reports, 100 subjects and 50 calls a
/// second.
class CallQueue {
 public:
  CallQueue(double calls_per_s, std::uint64_t seed);

  /// \brief Forgets all orders, acknowledgements and calls in progress.
  void StartLeading();
  /// \brief Sets the wanted number of targets of each subject. Subjects that
  /// are not named get no further orders; see kMaxSubjects.
  void SetScaleTargets(const std::vector<ScaleOrder>& orders);
  /// \brief The next call that may be made now under `fence`.
  /// \param reports The windows that the log holds as not acknowledged.
  [[nodiscard]] std::optional<PlatformCall> TakeNext(
      const WindowCounts& reports, std::uint64_t fence, TimePoint now);
  /// \brief The token that the next one has to exceed, for an order that may
  /// not be sent under it; 0 for none.
  [[nodiscard]] std::uint64_t FenceToExceed(std::uint64_t fence) const;
  /// \brief Records the end of a call; ignored for a call that was forgotten.
  void RecordOutcome(const PlatformCall& call, CallOutcome outcome,
                     TimePoint now);

  /// \brief The last window that the platform has acknowledged; 0 for none.
  [[nodiscard]] std::int64_t acknowledged_window() const noexcept {
    return this->last_acknowledged;
  }

  static constexpr Duration kMinBackoff = std::chrono::milliseconds(250);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(5);
  /// Further subjects of SetScaleTargets are ignored.
  static constexpr std::size_t kMaxSubjects = 1024;

 private:
  /// Service and data centre; both empty for usage reports.
  using SubjectKey = std::pair<std::string, std::string>;

  struct Unanswered {
    std::size_t targets = 0;
    std::uint64_t fence = 0;
  };

  struct Subject {
    std::optional<ScaleOrder> wanted;
    std::optional<std::size_t> acknowledged;  ///< Of the last answered order.
    std::optional<Unanswered> unanswered;  ///< May be executed while its token
                                           ///< is the highest.
    /// The platform may have another number than the acknowledged one.
    bool is_uncertain = false;
    std::uint64_t call_in_progress = 0;  ///< Its number; 0 for none.
    int failures = 0;                    ///< Since the last acknowledgement.
    TimePoint not_before;
    TimePoint last_sent_at;
  };

  [[nodiscard]] static bool NeedsOrder(const Subject& subject);
  /// False if an unanswered order could overwrite the wanted one.
  [[nodiscard]] static bool IsSafeUnder(const Subject& subject,
                                        std::uint64_t fence);
  [[nodiscard]] bool IsDue(const SubjectKey& key, const Subject& subject,
                           const WindowCounts& reports,
                           std::uint64_t fence) const;
  /// The subject whose call is next, or the end of `subjects`.
  [[nodiscard]] std::map<SubjectKey, Subject>::iterator FindNext(
      const WindowCounts& reports, std::uint64_t fence, TimePoint now);
  void RecordAcknowledged(Subject& subject, const PlatformCall& call);
  void BackOff(Subject& subject, TimePoint now);

  Duration call_interval;  ///< 0 if no calls are allowed.
  std::mt19937_64 random;
  std::map<SubjectKey, Subject> subjects;
  std::uint64_t last_number = 0;
  std::int64_t last_acknowledged = 0;
  Duty last_duty = Duty::kScale;
  TimePoint next_call_at;
};

}  // namespace gooseberryturn::duty

#endif  // GOOSEBERRYTURN_DUTY_CALL_QUEUE_H_
