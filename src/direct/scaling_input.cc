#include "gooseberryturn/direct/scaling_input.h"

#include <algorithm>
#include <map>
#include <utility>

#include "gooseberryturn/direct/target_chooser.h"

namespace gooseberryturn::direct {

namespace {

/// A target whose last heartbeat is older than this many heartbeat intervals
/// does not count as present.
constexpr int kSilentHeartbeats = 4;

/// Counts of a service's targets, by data centre.
class TargetCounter {
 public:
  TargetCounter(const std::string& service, const PlanInput& input,
                TimePoint now)
      : service(service),
        now(now),
        silent_after(kSilentHeartbeats * input.heartbeat) {}

  void AddDataCentre(const std::string& name, bool is_out_of_service) {
    if (!name.empty()) {
      duty::DataCentreTargets& targets = this->counts[name];
      targets.data_centre = name;
      targets.is_out_of_service = is_out_of_service;
    }
  }

  void AddTarget(const TargetRecord& record) {
    const TargetView& view = record.view;
    const auto found = this->counts.find(view.data_centre);
    if (view.service != this->service || found == this->counts.end()) {
      return;
    }
    duty::DataCentreTargets& targets = found->second;
    this->domains[view.data_centre].insert(view.engine.domain);
    const bool is_engine = !view.engine.domain.empty();
    const bool is_starting =
        view.is_cold || (is_engine && view.engine.loaded_model.empty());
    if (view.is_leaving) {
      targets.leaving += 1;
    } else if (this->now >= record.last_heard_at + this->silent_after) {
      targets.silent += 1;
    } else if (is_starting) {
      targets.starting += 1;
    } else {
      targets.serving += 1;
    }
  }

  [[nodiscard]] std::vector<duty::DataCentreTargets> Counts() const {
    std::vector<duty::DataCentreTargets> all;
    for (const std::pair<const std::string, duty::DataCentreTargets>& entry :
         this->counts) {
      all.push_back(entry.second);
      const auto known = this->domains.find(entry.first);
      all.back().domains =
          known == this->domains.end() ? 1 : known->second.size();
    }
    return all;
  }

 private:
  const std::string& service;
  TimePoint now;
  Duration silent_after;
  std::map<std::string, duty::DataCentreTargets> counts;
  std::map<std::string, std::set<std::string>> domains;
};

bool IsMeasured(const PlanInput& input, const std::string& service,
                const std::string& model) {
  return std::any_of(input.demand.begin(), input.demand.end(),
                     [&service, &model](const ModelDemand& demand) {
                       return demand.service == service &&
                              demand.model == model;
                     });
}

/// Demand for the models of an engine service. What the planner assumes for a
/// model without measured demand grows with the number of targets, so it can't
/// decide that number.
std::vector<duty::ModelLoad> EngineLoads(
    const Service& service, const std::vector<ModelCapacity>& capacities,
    const PlanInput& input) {
  std::vector<duty::ModelLoad> loads;
  for (const ModelProfile& model : service.engine->models) {
    duty::ModelLoad load = {model.name, model.size, model.load_s, std::nullopt};
    for (const ModelCapacity& capacity : capacities) {
      if (capacity.service == service.name && capacity.model == model.name &&
          IsMeasured(input, service.name, model.name)) {
        load.busy_hosts =
            capacity.busy_groups * static_cast<double>(model.size);
      }
    }
    loads.push_back(load);
  }
  return loads;
}

/// Demand for plain targets: requests in flight, divided by those that one
/// target takes at a time.
std::vector<duty::ModelLoad> PlainLoads(const Service& service,
                                        const PlanInput& input) {
  duty::ModelLoad load;
  if (input.has_traffic) {
    double requests = 0;
    for (const std::pair<const std::string, std::uint32_t>& work :
         input.in_flight_work) {
      const TargetRecord* record = input.registry.Find(work.first);
      const bool counts =
          record != nullptr && record->view.service == service.name;
      requests += counts ? work.second : 0;
    }
    load.busy_hosts = requests / TargetChooser::kMaxPlainRequests;
  }
  return {load};
}

}  // namespace

duty::ServiceLoad MeasureServiceLoad(
    const Service& service, const std::set<std::string>& data_centres,
    const std::vector<ModelCapacity>& capacities, const PlanInput& input,
    TimePoint now) {
  duty::ServiceLoad load;
  load.service = service.name;
  load.min_targets = service.scaling->min_targets;
  load.max_targets = service.scaling->max_targets;
  load.start_s = service.scaling->start_s;
  load.models = service.engine.has_value()
                    ? EngineLoads(service, capacities, input)
                    : PlainLoads(service, input);
  TargetCounter counter(service.name, input, now);
  for (const std::string& name : data_centres) {
    counter.AddDataCentre(name, input.evacuated.count(name) > 0);
  }
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    counter.AddTarget(entry.second);
  }
  load.data_centres = counter.Counts();
  return load;
}

}  // namespace gooseberryturn::direct
