#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/direct/scaling_input.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;
using observe::Metric;

std::set<std::string> ControlHost::KnownDataCentres() const {
  std::set<std::string> known = {this->settings.data_centre};
  for (const std::shared_ptr<Follower>& follower : this->followers) {
    known.insert(follower->hello.data_centre);
  }
  for (const std::pair<const std::string, TargetRecord>& entry :
       this->registry.targets()) {
    known.insert(entry.second.view.data_centre);
  }
  for (const duty::ScaleOrder& order : this->scale_orders) {
    known.insert(order.data_centre);
  }
  return known;
}

void ControlHost::PlanScaling(const PlanInput& input, TimePoint now) {
  const bool is_enabled =
      this->settings.platform.has_value() && this->settings.platform->scales;
  if (!is_enabled || now < this->settled_at || now < this->next_scaling_at) {
    return;
  }
  this->next_scaling_at = now + kScalingInterval;
  const std::set<std::string> data_centres = this->KnownDataCentres();
  const std::vector<ModelCapacity> capacities = this->planner.Capacities(input);
  std::vector<duty::ServiceLoad> loads;
  for (const Service& service : input.configuration.services) {
    if (service.scaling.has_value()) {
      loads.push_back(
          MeasureServiceLoad(service, data_centres, capacities, input, now));
    }
  }
  const duty::ScaleDecision decision = this->scale_planner.Decide(loads, now);
  for (const duty::ScaleChange& change : decision.changes) {
    this->metrics.Add(Metric::kScaleChanges);
    LogEvent(
        Level::kInfo, "", "scale_changed",
        {{"service", change.order.service},
         {"data_centre", change.order.data_centre},
         {"from",
          change.previous.has_value() ? std::to_string(*change.previous) : ""},
         {"to", std::to_string(change.order.targets)},
         {"reason", std::string(duty::kScaleReasonNames.Name(change.reason))}});
  }
  this->metrics.Add(Metric::kScaleInputsIgnored,
                    static_cast<std::int64_t>(decision.ignored_inputs));
  this->PublishScaleOrders(decision.orders);
}

void ControlHost::PublishScaleOrders(std::vector<duty::ScaleOrder> orders) {
  this->scale_orders = std::move(orders);
  if (this->duties != nullptr) {
    this->duties->SetScaleTargets(this->scale_orders);
  }
}

}  // namespace gooseberryturn::direct
