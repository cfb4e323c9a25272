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

/// \brief Work that callers of one entry asked a model for, since it started.
struct ModelWork {
  std::string service;
  std::string model;
  double engine_ms = 0;  ///< Time of one group that runs at its full width.

  MSGPACK_DEFINE(service, model, engine_ms)
};

/// \brief Groups of a model that what callers ask for keeps busy.
struct ModelDemand {
  std::string service;
  std::string model;
  double busy_groups = 0;
};

/// \brief What one entry learns of the work that its callers ask for.
class DemandMeter {
 public:
  void RecordRequest(const std::string& service, const std::string& model,
                     double engine_ms);
  /// \brief An answer of `route` was complete with `tokens`.
  void RecordAnswer(const std::string& route, double tokens);
  /// \brief Tokens of a usual answer of `route`; `fallback` before any came.
  [[nodiscard]] double MeanAnswerTokens(const std::string& route,
                                        double fallback) const;
  [[nodiscard]] std::vector<ModelWork> Totals() const;

  /// Weight of the newest answer in the mean of its route.
  static constexpr double kAnswerWeight = 0.02;

 private:
  std::map<std::pair<std::string, std::string>, double> totals;
  std::map<std::string, double> answers;
};

/// \brief Adds up at the leader what all entries tell.
///
/// \code
///   sum.AddReport({"front-1", 7, report.work}, now);
///   for (const ModelDemand& demand : sum.Demand(now)) ...
/// \endcode
class DemandAggregator {
 public:
  /// \brief Totals of one entry.
  struct Report {
    std::string host;
    std::uint64_t incarnation = 0;
    std::vector<ModelWork> work;
  };

  void AddReport(const Report& report, TimePoint now);
  /// \brief The demand as entries told it lately; empty until an entry was
  /// heard for kLeastWindows.
  [[nodiscard]] std::vector<ModelDemand> Demand(TimePoint now) const;

  static constexpr Duration kWindow = std::chrono::milliseconds(500);
  /// Time over which rates are smoothed: shorter than it takes to form a
  /// group, long enough to level the arrivals of a second.
  static constexpr Duration kSmoothing = std::chrono::seconds(2);
  /// Windows before a rate is told: traffic that begins is not yet itself.
  static constexpr int kLeastWindows = 5;
  /// Callers of an entry that is silent for so long went to others.
  static constexpr Duration kLife = std::chrono::milliseconds(1500);

 private:
  struct Rate {
    double total_ms = 0;
    double groups = 0;
    int windows = 0;  ///< Measured so far.
  };
  struct Entry {
    std::uint64_t incarnation = 0;
    TimePoint window_at;
    TimePoint heard_at;
    std::map<std::pair<std::string, std::string>, Rate> rates;
  };

  std::map<std::string, Entry> entries;
};

/// \brief Share of the work for a model that is served well when its hosts are
/// `coverage` times those that the work keeps busy: each further host adds
/// less than the one before.
[[nodiscard]] double ServedShare(double coverage) noexcept;

/// \brief What a further host of the model adds to ServedShare, for work that
/// keeps `busy_hosts` busy.
[[nodiscard]] double MarginalServedShare(double coverage,
                                         double busy_hosts) noexcept;

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_MODEL_DEMAND_H_
