#ifndef GOOSEBERRYTURN_DIRECT_CUT_REPORTS_H_
#define GOOSEBERRYTURN_DIRECT_CUT_REPORTS_H_

#include <cstddef>
#include <deque>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/crash_report.h"

namespace gooseberryturn::direct {

/// \brief Reports of cut requests that an entry has to send to the leader, and
/// those sent lately: a leader that is new gets them once more.
class CutReports {
 public:
  /// \brief Adds a report, whose age is given; the oldest one goes when there
  /// are kMaxReports.
  void Add(CutRequest cut, TimePoint now);
  /// \brief True if a report of a target that broke off or fell silent waits.
  [[nodiscard]] bool IsUrgent() const noexcept { return this->is_urgent; }
  /// \brief The reports that wait, with their ages.
  [[nodiscard]] std::vector<CutRequest> Waiting(TimePoint now) const;
  /// \brief Records that the reports that waited were sent.
  void RecordSent(TimePoint now);
  /// \brief Makes the reports of the last kResendTime wait again.
  void SendAgain();

  static constexpr std::size_t kMaxReports = 512;
  static constexpr Duration kResendTime = std::chrono::seconds(10);

 private:
  struct Report {
    CutRequest cut;
    TimePoint at;
  };

  std::deque<Report> waiting;
  std::deque<Report> sent;
  bool is_urgent = false;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CUT_REPORTS_H_
