#ifndef GOOSEBERRYTURN_DIRECT_IN_FLIGHT_TOTALS_H_
#define GOOSEBERRYTURN_DIRECT_IN_FLIGHT_TOTALS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief Sum of the requests in flight that entries report for each target.
///
/// \details A report replaces its entry's previous one in the sum, so that the
/// cost goes with the size of the reports and not with entries times targets.
/// The report of an entry that is silent for kReportLifetime no longer counts.
class InFlightTotals {
 public:
  /// \param entry Number of the entry's stream, unique among all streams.
  void SetReport(std::uint64_t entry, const std::vector<InFlightWork>& work,
                 TimePoint now);
  /// \brief Forgets an entry whose stream has closed.
  void Remove(std::uint64_t entry);
  /// \brief Forgets the reports that are too old.
  void Expire(TimePoint now);
  /// \brief Sums of the targets that any report names, by target.
  [[nodiscard]] std::vector<InFlightWork> Sums() const;

  static constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);

 private:
  struct Report {
    std::vector<InFlightWork> work;
    TimePoint expires_at;
  };
  struct Sum {
    std::uint32_t requests = 0;
    std::uint32_t pending_prefill_tokens = 0;
    std::size_t reports = 0;  ///< That name the target.
  };

  void Subtract(const std::vector<InFlightWork>& work);

  std::map<std::uint64_t, Report> reports;
  std::map<std::string, Sum> sums;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_IN_FLIGHT_TOTALS_H_
