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
/// \details Agents report their load with each answer. Until the next report
/// the entry adds the attempts that it started itself and subtracts those that
/// ended.
///
/// \code
///   const protocol::Group* group = chooser.Choose(view, "menu-llm", {}, now);
/// \endcode
class GroupChooser {
 public:
  GroupChooser(std::string data_centre, Policy policy, std::uint64_t seed);

  /// \brief Group for the next attempt; null when no group may be used or,
  /// under kTwoChoice, when all seem to be at their concurrency limits.
  /// \param excluded Names of groups in which this request already failed or
  /// was refused.
  [[nodiscard]] const protocol::Group* Choose(
      const protocol::View& view, const std::string& service,
      const std::set<std::string>& excluded, TimePoint now);

  /// \brief Records that an attempt at the group starts.
  void RecordSent(const protocol::Group& group, TimePoint now);
  /// \brief Records that an attempt at the group is over.
  void RecordDone(const std::string& group);
  /// \brief Records a load report of the group.
  void RecordLoad(const std::string& group, const protocol::Load& load,
                  TimePoint now);
  /// \brief Records that the group was too busy to accept an attempt; no new
  /// ones go to it for kBusyPause.
  void RecordBusy(const std::string& group, TimePoint now);
  /// \brief Records that the group was unreachable or failed; no new attempts
  /// go to it for kFailurePause.
  void RecordFailure(const std::string& group, TimePoint now);
  /// \brief Drops the state of groups that are not in `view` and have no
  /// attempts in progress.
  void Prune(const protocol::View& view);

  /// \brief After this time without a report or a new attempt, a group at its
  /// limit is tried with one attempt, since its last report may be outdated.
  static constexpr Duration kFullReportLifetime = std::chrono::milliseconds(50);
  static constexpr Duration kBusyPause = std::chrono::milliseconds(20);
  static constexpr Duration kFailurePause = std::chrono::milliseconds(500);

 private:
  struct GroupState {
    std::uint64_t fence = 0;
    std::int64_t outstanding = 0;  ///< Attempts of this entry in progress.
    std::int64_t outstanding_at_report = 0;
    protocol::Load reported;
    bool has_report = false;
    TimePoint probe_at;  ///< From when on a group at its limit may be tried.
    TimePoint paused_until;
  };

  /// A group that may be chosen.
  struct Candidate {
    const protocol::Group* group = nullptr;
    int distance = 0;  ///< 0 same data centre, 1 same region, 2 elsewhere.
    double usage = 0;  ///< Estimated load divided by the limit.
  };

  [[nodiscard]] std::vector<Candidate> Candidates(
      const protocol::View& view, const std::string& service,
      const std::set<std::string>& excluded, TimePoint now) const;
  /// Distance to the data centre `name`, as in Candidate.
  [[nodiscard]] int DistanceTo(const protocol::View& view,
                               const std::string& name) const;
  [[nodiscard]] double UsageOf(const protocol::Group& group,
                               const config::Service& service,
                               TimePoint now) const;
  /// Picks by the policy; `candidates` must not be empty.
  [[nodiscard]] const protocol::Group* PickCandidate(
      const std::vector<Candidate>& candidates);

  std::string data_centre;
  Policy policy;
  std::mt19937_64 random;
  std::map<std::string, GroupState> states;
};

}  // namespace gooseberryturn::routing

#endif  // GOOSEBERRYTURN_ROUTING_GROUP_CHOOSER_H_
