#ifndef GOOSEBERRYTURN_ROUTING_GROUP_CHOOSER_H_
#define GOOSEBERRYTURN_ROUTING_GROUP_CHOOSER_H_

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/protocol/message.h"
#include "gooseberryturn/protocol/view.h"
#include "gooseberryturn/routing/policy.h"

namespace gooseberryturn::routing {

/// \brief Chooses the replica group for each attempt of one entry.
///
/// \details Agents report their load with each answer. Between reports the
/// entry corrects the last one by what it sent itself since.
///
/// \code
///   const protocol::Group* group = chooser.Choose(view, "menu-llm", {}, now);
/// \endcode
class GroupChooser {
 public:
  GroupChooser(std::string data_centre, Policy policy, std::uint64_t seed);

  /// \brief Group for the next attempt, or null when none may be used or all
  /// look full.
  /// \param excluded Names of groups that this request was refused by.
  [[nodiscard]] const protocol::Group* Choose(
      const protocol::View& view, const std::string& service,
      const std::set<std::string>& excluded, TimePoint now);

  /// \brief An attempt was handed to the group.
  void RecordSent(const protocol::Group& group, TimePoint now);
  /// \brief An attempt at the group is over.
  void RecordDone(const std::string& group);
  /// \brief The group told its load.
  void RecordLoad(const std::string& group, const protocol::Load& load,
                  TimePoint now);
  /// \brief The group refused an attempt as busy.
  void RecordBusy(const std::string& group, TimePoint now);
  /// \brief The group could not be reached or failed.
  void RecordFailure(const std::string& group, TimePoint now);
  /// \brief Drops what is known of groups that are not in `view`.
  void Prune(const protocol::View& view);

  /// \brief A report of a full group older than this is put to the test by
  /// one attempt.
  static constexpr Duration kFullReportLifetime = std::chrono::milliseconds(50);
  static constexpr Duration kBusyPause = std::chrono::milliseconds(20);
  static constexpr Duration kFailurePause = std::chrono::milliseconds(500);

 private:
  struct Track {
    std::uint64_t fence = 0;
    std::int64_t outstanding = 0;
    std::int64_t outstanding_at_report = 0;
    protocol::Load reported;
    bool has_report = false;
    TimePoint probe_at;  ///< When a full group may be tried all the same.
    TimePoint paused_until;
  };

  /// A group that may be chosen.
  struct Candidate {
    const protocol::Group* group = nullptr;
    int distance = 0;  ///< 0 same data centre, 1 same region, 2 elsewhere.
    double usage = 0;  ///< Estimated load as a share of the limit.
  };

  [[nodiscard]] std::vector<Candidate> Candidates(
      const protocol::View& view, const std::string& service,
      const std::set<std::string>& excluded, TimePoint now) const;
  [[nodiscard]] int DistanceTo(const protocol::View& view,
                               const std::string& place) const;
  [[nodiscard]] double UsageOf(const protocol::Group& group,
                               const config::Service& service,
                               TimePoint now) const;
  [[nodiscard]] const protocol::Group* BetterOfTwo(
      const std::vector<Candidate>& candidates);

  std::string data_centre;
  Policy policy;
  std::mt19937_64 random;
  std::map<std::string, Track> tracks;
};

}  // namespace gooseberryturn::routing

#endif  // GOOSEBERRYTURN_ROUTING_GROUP_CHOOSER_H_
