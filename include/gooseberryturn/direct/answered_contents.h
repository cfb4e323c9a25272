#ifndef GOOSEBERRYTURN_DIRECT_ANSWERED_CONTENTS_H_
#define GOOSEBERRYTURN_DIRECT_ANSWERED_CONTENTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/crash_report.h"
#include "gooseberryturn/direct/target_notices.h"

namespace gooseberryturn::direct {

/// \brief Content ids of a request: of itself and of its shared parts.
[[nodiscard]] std::vector<std::string> ContentsOf(const CutRequest& request);

/// \brief What an entry knows of an incarnation of a target.
enum class TargetLife : std::uint8_t {
  kAlive,
  kUnknown,  ///< Silent at the moment.
  kEnded,    ///< Not registered, or its group is dissolved.
};

/// \brief The content that targets have answered whole and outlived, as one
/// entry saw it, and what of it is due for a report to the leader.
///
/// \details Such content does not crash targets. An answer counts only once its
/// target has lived for kOutliveTime since it began to write. One that ended
/// with its connection may look whole although its target crashed: its request
/// is reported as cut when the target did not live so long.
class AnsweredContents {
 public:
  using FindLife = std::function<TargetLife(const TargetIncarnation&)>;

  /// \brief Records a whole answer to `request` that its target began to write
  /// at `began_at`.
  /// \param has_end False if only the end of its connection ended it.
  void Record(CutRequest request, bool has_end, TimePoint began_at,
              TimePoint now);
  /// \brief Counts the answers that are old enough. Those of silent targets
  /// wait for up to kMaxWait longer.
  /// \returns Requests to be reported as cut.
  [[nodiscard]] std::vector<CutRequest> Settle(TimePoint now,
                                               const FindLife& find_life);
  /// \brief True for content that was answered in the last kSoundTime.
  [[nodiscard]] bool IsSound(const std::string& content, TimePoint now) const;
  /// \brief Answers that are due: of each part one per kReportInterval, but
  /// each of content that is urgent, and none of other whole requests; at most
  /// kMaxReported.
  [[nodiscard]] std::vector<AnsweredContent> TakeReport(
      TimePoint now, const std::function<bool(const std::string&)>& is_urgent);
  /// \brief Makes all content due again, for a leader that knows none of it.
  void ReportAgain();

  static constexpr Duration kOutliveTime = std::chrono::milliseconds(2000);
  static constexpr Duration kMaxWait = std::chrono::milliseconds(4000);
  static constexpr Duration kSoundTime = std::chrono::seconds(60);
  static constexpr Duration kReportInterval = std::chrono::seconds(5);
  static constexpr std::size_t kMaxContents = 8192;
  static constexpr std::size_t kMaxPending = 8192;
  static constexpr std::size_t kMaxReported = 256;

 private:
  struct PendingAnswer {
    CutRequest request;
    bool has_end = true;
    TimePoint answered_at;
    TimePoint settles_at;
  };
  struct Answer {
    TimePoint answered_at;     ///< The latest.
    TimePoint reported_at;     ///< TimePoint() if it was never reported.
    bool is_reported = false;  ///< The latest one.
  };

  void Count(const PendingAnswer& pending);
  void Expire(TimePoint now);

  std::deque<PendingAnswer> pending_answers;
  std::map<std::string, Answer> answers;
  TimePoint next_expiry_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_ANSWERED_CONTENTS_H_
