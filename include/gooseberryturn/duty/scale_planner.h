#ifndef GOOSEBERRYTURN_DUTY_SCALE_PLANNER_H_
#define GOOSEBERRYTURN_DUTY_SCALE_PLANNER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/duty/calls.h"
#include "gooseberryturn/duty/demand_forecast.h"
#include "gooseberryturn/duty/group_division.h"

namespace gooseberryturn::duty {

/// \brief Demand for one model of a service.
struct ModelLoad {
  std::string model;
  std::size_t size = 1;              ///< Hosts in a group.
  double load_s = 0;                 ///< Load time from the weight store.
  std::optional<double> busy_hosts;  ///< Empty until measured.
};

/// \brief Targets of one service in one data centre.
struct DataCentreTargets {
  std::string data_centre;
  std::size_t serving = 0;
  std::size_t starting = 0;  ///< They announce themselves and don't serve yet.
  std::size_t leaving = 0;
  std::size_t silent = 0;   ///< Known, and not heard of; probably lost.
  std::size_t domains = 1;  ///< Fabric domains.
  bool is_out_of_service = false;

  /// \brief Targets that serve now or soon.
  [[nodiscard]] std::size_t Present() const noexcept {
    return this->serving + this->starting;
  }
};

/// \brief State of one scaled service on which a decision is based.
struct ServiceLoad {
  std::string service;
  std::size_t min_targets = 0;  ///< In each data centre.
  std::size_t max_targets = 0;  ///< In each data centre.
  double start_s = 0;           ///< From an order until a new target serves.
  std::vector<ModelLoad> models;
  std::vector<DataCentreTargets> data_centres;
};

/// \brief Why a wanted number changed.
enum class ScaleReason : std::uint8_t {
  kFirst,           ///< First number of this planner.
  kLimits,          ///< The limits of the service.
  kDemand,          ///< More is needed.
  kDataCentreLost,  ///< Other data centres are lost or out of service.
  kLowDemand,       ///< Less has been needed for a while.
};

inline constexpr NameTable<ScaleReason, 5> kScaleReasonNames = {
    {"first", "limits", "demand", "data_centre_lost", "low_demand"}};

/// \brief A wanted number that changed.
struct ScaleChange {
  ScaleOrder order;
  std::optional<std::size_t> previous;  ///< Empty for the first number.
  ScaleReason reason = ScaleReason::kFirst;
};

/// \brief Result of ScalePlanner::Decide.
struct ScaleDecision {
  std::vector<ScaleOrder> orders;    ///< All wanted numbers.
  std::vector<ScaleChange> changes;  ///< Since the last decision.
  std::size_t ignored_inputs = 0;    ///< Invalid samples and sizes.
};

/// \brief Decides how many targets each service is to have in each data centre.
///
/// \details Sizes a service in whole groups plus spares, for the demand
/// predicted for the time at which a new target serves. Numbers rise at once,
/// and fall in small steps to the highest need within a stabilization window
/// (as in the Kubernetes horizontal autoscaler) that is longer than a target
/// takes to start and load. Between kMinCoverage and kTargetCoverage nothing
/// rises, so noise has little effect. No number is decided before demand has
/// been measured, except to keep the limits. Does no I/O and reads no clock.
///
/// Designed for one call a second with 10 services of 3 models in 3 data
/// centres of 1,000 targets.
class ScalePlanner {
 public:
  /// \brief Decides all numbers. Forgets services and data centres that are not
  /// in `services`.
  [[nodiscard]] ScaleDecision Decide(const std::vector<ServiceLoad>& services,
                                     TimePoint now);

  /// Hosts in groups, divided by those that the demand keeps busy: with less, a
  /// number rises. Bursts and lost hosts cost a part of it.
  static constexpr double kMinCoverage = 1.4;
  /// Hosts to have after a change. Above 2, further hosts serve hardly more.
  static constexpr double kTargetCoverage = 1.6;
  /// Spare hosts, as a share of those in groups: a group that has lost a member
  /// serves nothing until a spare replaces it.
  static constexpr double kSpareShare = 0.08;
  /// Time for which nothing is ordered while demand is not measured: targets
  /// that are starting may not have announced themselves to a new leader.
  static constexpr Duration kMeasurementTime = std::chrono::seconds(5);
  /// Stabilization window, as a multiple of the time to start and load.
  static constexpr double kHoldFactor = 1.5;
  static constexpr Duration kMinHoldTime = std::chrono::seconds(20);
  /// Demand is measured anew after a longer time without a decision.
  static constexpr Duration kMaxGap = std::chrono::seconds(5);
  /// Bound of the time to start and load, and so of the memory for the window.
  static constexpr Duration kMaxLeadTime = std::chrono::minutes(5);
  /// Time between two steps down in one data centre.
  static constexpr Duration kStepDownInterval = std::chrono::seconds(10);
  /// A number falls only if it is at least by this share too high.
  static constexpr double kStepDownMargin = 0.1;
  /// A data centre with a smaller share of its part rises without more demand,
  /// for example after its return to service.
  static constexpr double kMinShareOfPart = 0.6;
  /// A data centre that has lost more than half of its targets, and at least
  /// this many, is lost at once; with fewer, after the time to start and load.
  static constexpr std::size_t kMinLostTargets = 3;
  /// Targets that were ordered and have not appeared after this multiple of the
  /// time to start and load are lost.
  static constexpr int kDeliveryFactor = 3;

 private:
  /// A need for hosts at one time.
  struct Need {
    TimePoint at;
    std::size_t hosts = 0;
  };

  /// State of one service in one data centre.
  struct DataCentreState {
    std::optional<std::size_t> wanted;
    std::size_t expected = 0;  ///< Targets that have been there, or should be.
    std::optional<TimePoint> short_since;  ///< Lacks over half of `expected`.
    TimePoint delivery_deadline;  ///< `wanted` targets are expected from then.
    std::deque<Need> needs;       ///< Falling, oldest first.
    TimePoint next_step_down_at;
    bool is_lost = false;
  };

  /// State of one service.
  struct ServiceState {
    std::optional<TimePoint> begun_at;
    std::optional<TimePoint> measured_since;  ///< Without a gap.
    TimePoint last_decision_at;
    std::map<std::string, DemandForecast> forecasts;
    std::map<std::string, DataCentreState> data_centres;
  };

  /// One decision for one service.
  struct Context {
    const ServiceLoad& load;
    ServiceState& state;
    ScaleDecision& decision;
    TimePoint now;
    Duration lead_time;           ///< To start and load.
    std::size_t max_targets = 0;  ///< At least the minimum.
    std::size_t smallest_group = 1;
    std::size_t largest_group = 1;
  };

  /// Hosts needed in each data centre of a list.
  struct Division {
    std::vector<std::size_t> needs;  ///< With spares, within the limits.
    std::vector<std::size_t> group_sizes;
    bool is_complete = true;
  };

  using DataCentres = std::vector<const DataCentreTargets*>;

  static void DecideService(Context& context);
  /// Sets the fields of `context` that depend on the limits and the models.
  static void MeasureGroups(Context& context);
  /// Adds samples of demand.
  /// \returns Whether demand is measured.
  static bool RecordDemand(Context& context);
  /// Updates which data centres are lost.
  static void RecordTargets(Context& context);
  static void UpdateLoss(const Context& context,
                         const DataCentreTargets& targets,
                         DataCentreState& state);
  /// Moves numbers into the limits, also before demand is measured.
  static void KeepLimits(Context& context);
  static void DecideFirst(Context& context, const DataCentreTargets& targets,
                          std::size_t need);
  static void RaiseNumbers(Context& context, const DataCentres& serving,
                           const Division& division);
  /// Gives lost data centres their part for their return, without change later.
  static void HoldLost(Context& context, std::size_t serving_count);
  static void LowerNumber(Context& context, const DataCentreTargets& targets,
                          std::size_t need);
  static void SetWanted(Context& context, const std::string& data_centre,
                        std::size_t wanted, ScaleReason reason);
  /// Data centres in service, without lost ones unless `includes_lost`.
  static DataCentres InService(const Context& context, bool includes_lost);
  static Division Divide(const Context& context, const DataCentres& centres,
                         double coverage);
  /// True when the wanted numbers leave less than kMinCoverage.
  static bool IsShort(const Context& context, const DataCentres& serving);
  /// Spares for `hosts` in groups.
  static std::size_t Spares(const Context& context,
                            const DataCentreTargets& targets,
                            std::size_t hosts);
  /// Hosts in groups that `targets` leave together with their spares.
  static std::size_t HostsInGroups(const Context& context,
                                   const DataCentreTargets& targets,
                                   std::size_t count);

  std::map<std::string, ServiceState> services;
};

}  // namespace gooseberryturn::duty

#endif  // GOOSEBERRYTURN_DUTY_SCALE_PLANNER_H_
