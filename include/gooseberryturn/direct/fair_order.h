#ifndef GOOSEBERRYTURN_DIRECT_FAIR_ORDER_H_
#define GOOSEBERRYTURN_DIRECT_FAIR_ORDER_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace gooseberryturn::direct {

/// \brief Divides the engine time of one model among teams.
///
/// \details Start-time fair queueing (Goyal, Vin and Cheng, 1996). Each team
/// has a virtual time that grows with the engine time of its dispatched
/// requests; the team with the lowest one goes next. A team that has not waited
/// starts at the virtual time of the last dispatched request: it neither
/// saves up time that it did not use, nor pays for time that nobody else
/// wanted.
///
/// Designed for a few hundred teams, of which one may send ten times as much
/// as the others. Memory is bounded by the number of teams that are ahead of
/// the virtual time.
///
/// \code
///   FairOrder order;
///   order.RecordDispatched("team-a", 40);
///   const bool is_next = order.Start("team-b") < order.Start("team-a");
/// \endcode
class FairOrder {
 public:
  /// \brief Virtual time at which the next request of `team` starts,
  /// milliseconds.
  [[nodiscard]] double Start(const std::string& team) const {
    return this->StartAfter(this->Finish(team));
  }
  /// \brief The same for a team whose last request finished at `finish`.
  [[nodiscard]] double StartAfter(double finish) const noexcept {
    return std::max(this->virtual_time, finish);
  }
  /// \brief Virtual time at which the last dispatched request of `team`
  /// finished, 0 if the team is not ahead of the virtual time.
  [[nodiscard]] double Finish(const std::string& team) const;
  /// \brief Records that a request of `team` was dispatched.
  /// \param engine_ms Engine time of the request, bounded by CostMs.
  void RecordDispatched(const std::string& team, double engine_ms);
  /// \brief What a request with `engine_ms` costs its team: a value below
  /// kMinCostMs, or one that is not a number, counts as kMinCostMs.
  [[nodiscard]] static double CostMs(double engine_ms) noexcept {
    // The comparison is false for a value that is not a number.
    return engine_ms > kMinCostMs ? std::min(engine_ms, kMaxCostMs)
                                  : kMinCostMs;
  }
  /// \brief Number of teams that are ahead of the virtual time.
  [[nodiscard]] std::size_t size() const noexcept {
    return this->finish_by_team.size();
  }

  /// Lower bound of a request's cost, so that requests without a known cost
  /// are divided by their number.
  static constexpr double kMinCostMs = 1;
  /// Upper bound, so that one estimate far off does not exclude its team.
  static constexpr double kMaxCostMs = 60'000;

 private:
  double virtual_time = 0;
  std::map<std::string, double> finish_by_team;
  /// The same teams, first the one that finishes first.
  std::set<std::pair<double, std::string>> teams_by_finish;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_FAIR_ORDER_H_
