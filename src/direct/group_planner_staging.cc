#include <algorithm>

#include "gooseberryturn/direct/group_planner.h"

namespace gooseberryturn::direct {

namespace {

/// A load is repeated once it has taken this multiple of its published time.
constexpr double kStagingTimeoutFactor = 1.5;

}  // namespace

std::map<std::string, std::size_t> GroupPlanner::CapableHostsByDomain(
    const Service& service, const ModelProfile& model,
    const PlanInput& input) const {
  std::map<std::string, std::size_t> capable;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const TargetRecord& record = entry.second;
    const bool counts = record.view.service == service.name &&
                        !record.view.is_leaving &&
                        !this->IsSuspect(entry.first, record) &&
                        input.evacuated.count(record.view.data_centre) == 0 &&
                        this->JoinSeconds(record, model) < model.load_s;
    capable[record.view.engine.domain] += counts ? 1 : 0;
  }
  return capable;
}

bool GroupPlanner::CanStage(const TargetRecord& record, const Service& service,
                            const PlanInput& input, TimePoint now) const {
  const auto staging = this->staging_until.find(record.view.name);
  const bool is_staging =
      staging != this->staging_until.end() && now < staging->second;
  const auto group = this->group_by_target.find(record.view.name);
  const bool is_forming =
      group != this->group_by_target.end() &&
      this->groups.at(group->second).view.phase != GroupPhase::kOpen;
  const std::vector<std::string>& staged = record.view.engine.staged;
  // A host can soon serve its last model again, so a copy of another model is
  // kept rather than replaced.
  const bool has_other_copy = std::any_of(
      staged.begin(), staged.end(), [&record](const std::string& model) {
        return model != record.view.last_model;
      });
  return record.view.service == service.name && !record.view.is_leaving &&
         !record.is_unconfirmed && !this->IsSilent(record, input, now) &&
         !this->IsSuspect(record.view.name, record) && !is_staging &&
         !is_forming && !has_other_copy;
}

std::vector<GroupPlanner::Staging> GroupPlanner::StagingsByPriority(
    const Service& service, const PlanInput& input, TimePoint now) const {
  const std::map<std::string, double> coverage = this->Coverage(service, input);
  std::map<std::string, double> served_per_host;
  std::map<std::string, std::map<std::string, std::size_t>> capable;
  for (const ModelProfile& model : service.engine->models) {
    served_per_host[model.name] = MarginalServedShare(
        coverage.at(model.name), this->BusyHosts(service, model, input));
    capable[model.name] = this->CapableHostsByDomain(service, model, input);
  }
  std::vector<Staging> stagings;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const TargetRecord& record = entry.second;
    if (!this->CanStage(record, service, input, now)) {
      continue;
    }
    Staging best;
    for (const ModelProfile& model : service.engine->models) {
      if (model.name == record.view.last_model) {
        continue;
      }
      const std::size_t capable_hosts =
          capable[model.name][record.view.engine.domain];
      const std::size_t missing =
          capable_hosts < model.size ? model.size - capable_hosts : 1;
      const double priority = served_per_host[model.name] /
                              static_cast<double>(missing) / model.load_s;
      if (priority > best.priority) {
        best = {entry.first, &model, priority};
      }
    }
    if (best.model != nullptr) {
      stagings.push_back(best);
    }
  }
  std::stable_sort(stagings.begin(), stagings.end(),
                   [](const Staging& one, const Staging& other) {
                     return one.priority > other.priority;
                   });
  return stagings;
}

void GroupPlanner::StageModels(const PlanInput& input, PlannedActions& actions,
                               TimePoint now) {
  for (const Service& service : input.configuration.services) {
    if (!service.engine.has_value()) {
      continue;
    }
    for (const Staging& staging :
         this->StagingsByPriority(service, input, now)) {
      const double seconds =
          input.has_traffic ? staging.model->load_s
                            : kPreTrafficLoadFactor * staging.model->load_s;
      if (input.has_traffic) {
        if (!this->load_limiter.MayStart(*service.engine, 1, now)) {
          return;
        }
        this->load_limiter.RecordStart(now, now + FromSeconds(seconds));
      }
      Order order;
      order.kind = OrderKind::kStage;
      order.target = staging.target;
      order.model = staging.model->name;
      order.fence = this->term;
      actions.orders.push_back(order);
      this->staging_until[staging.target] =
          now + FromSeconds(kStagingTimeoutFactor * seconds) +
          kOrderResendInterval;
    }
  }
}

}  // namespace gooseberryturn::direct
