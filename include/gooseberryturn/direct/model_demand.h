#ifndef GOOSEBERRYTURN_DIRECT_MODEL_DEMAND_H_
#define GOOSEBERRYTURN_DIRECT_MODEL_DEMAND_H_

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::direct {

/// \brief Work for one model that callers have requested from an entry since
/// the entry started.
struct ModelWork {
  std::string service;
  std::string model;
  double engine_ms = 0;  ///< Busy time of one fully loaded group.

  MSGPACK_DEFINE(service, model, engine_ms)
};

/// \brief Number of groups of a model that the callers' requests keep busy.
struct ModelDemand {
  std::string service;
  std::string model;
  double busy_groups = 0;
};

/// \brief Measures the work requested from one entry.
class DemandMeter {
 public:
  /// \brief Adds a request that keeps a fully loaded group busy for
  /// `engine_ms`.
  void RecordRequest(const std::string& service, const std::string& model,
                     double engine_ms);
  /// \brief Records the length of a complete answer on `route`.
  void RecordAnswer(const std::string& route, double tokens);
  /// \brief Moving average of the answer length on `route`; `fallback` before
  /// the first answer.
  [[nodiscard]] double MeanAnswerTokens(const std::string& route,
                                        double fallback) const;
  [[nodiscard]] std::vector<ModelWork> Totals() const;

  /// Weight of the newest answer in the moving average of its route.
  static constexpr double kAnswerWeight = 0.02;

 private:
  /// Milliseconds by service and model.
  std::map<std::pair<std::string, std::string>, double> totals;
  std::map<std::string, double> mean_answers;  ///< Tokens by route.
};

/// \brief Adds up the demand that entries report to the leader.
///
/// \code
///   sum.AddReport({"front-1", 7, report.model_work}, now);
///   for (const ModelDemand& demand : sum.Demand(now)) ...
/// \endcode
class DemandAggregator {
 public:
  /// \brief Totals reported by one entry.
  struct Report {
    std::string host;
    std::uint64_t incarnation = 0;
    std::vector<ModelWork> work;
  };

  void AddReport(const Report& report, TimePoint now);
  /// \brief Smoothed demand by service and model; empty until an entry has
  /// reported for kMinWindows windows.
  [[nodiscard]] std::vector<ModelDemand> Demand(TimePoint now) const;

  /// Minimum time over which a rate is sampled.
  static constexpr Duration kWindow = std::chrono::milliseconds(500);
  /// Time constant of the smoothing: shorter than it takes to form a group,
  /// long enough to even out the arrivals of a second.
  static constexpr Duration kSmoothingTime = std::chrono::seconds(2);
  /// Windows needed before a rate is used: traffic that has just begun isn't
  /// representative.
  static constexpr int kMinWindows = 5;
  /// The callers of an entry that is silent for this time have moved to others.
  static constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);

 private:
  struct Rate {
    double total_ms = 0;
    double busy_groups = 0;
    int windows = 0;  ///< Measured so far.
  };
  struct Entry {
    std::uint64_t incarnation = 0;
    TimePoint window_start;
    TimePoint last_heard_at;
    std::map<std::pair<std::string, std::string>, Rate> rates;
  };

  std::map<std::string, Entry> entries;
};

/// \brief Share of the work for a model that is served well when it has
/// `coverage` times the hosts that the work keeps busy. Each further host adds
/// less than the one before; hosts never serve more work than keeps them busy.
[[nodiscard]] double ServedShare(double coverage) noexcept;

/// \brief Increase of ServedShare per further host, for work that keeps
/// `busy_hosts` busy.
[[nodiscard]] double MarginalServedShare(double coverage,
                                         double busy_hosts) noexcept;

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_MODEL_DEMAND_H_
