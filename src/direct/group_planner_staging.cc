#include <algorithm>

#include "gooseberryturn/direct/group_planner.h"

namespace gooseberryturn::direct {

namespace {

/// A load may take this much longer than published before it is repeated.
constexpr double kStagingPatience = 1.5;

}  // namespace

std::map<std::string, std::size_t> GroupPlanner::CapableByDomain(
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

bool GroupPlanner::MayStage(const TargetRecord& record, const Service& service,
                            const PlanInput& input, TimePoint now) const {
  const auto staging = this->staging_until.find(record.view.name);
  const bool is_staging =
      staging != this->staging_until.end() && now < staging->second;
  const auto group = this->group_of.find(record.view.name);
  const bool is_forming =
      group != this->group_of.end() &&
      this->groups.at(group->second).view.phase != GroupPhase::kOpen;
  const std::vector<std::string>& staged = record.view.engine.staged;
  // A host keeps the last model it served at hand, so one copy of another
  // model is worth keeping.
  const bool has_other_copy = std::any_of(
      staged.begin(), staged.end(), [&record](const std::string& model) {
        return model != record.view.last_model;
      });
  return record.view.service == service.name && !record.view.is_leaving &&
         !record.is_adopted && !this->IsSilent(record, input, now) &&
         !this->IsSuspect(record.view.name, record) && !is_staging &&
         !is_forming && !has_other_copy;
}

std::vector<GroupPlanner::Staging> GroupPlanner::StagingByNeed(
    const Service& service, const PlanInput& input, TimePoint now) const {
  const std::map<std::string, double> coverage = this->Coverage(service, input);
  std::map<std::string, double> needed;
  std::map<std::string, std::map<std::string, std::size_t>> capable;
  for (const ModelProfile& model : service.engine->models) {
    needed[model.name] = MarginalServedShare(
        coverage.at(model.name), this->BusyHosts(service, model, input));
    capable[model.name] = this->CapableByDomain(service, model, input);
  }
  std::vector<Staging> wanted;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const TargetRecord& record = entry.second;
    if (!this->MayStage(record, service, input, now)) {
      continue;
    }
    Staging best;
    for (const ModelProfile& model : service.engine->models) {
      if (model.name == record.view.last_model) {
        continue;
      }
      const std::size_t there = capable[model.name][record.view.engine.domain];
      const std::size_t missing = there < model.size ? model.size - there : 1;
      const double need =
          needed[model.name] / static_cast<double>(missing) / model.load_s;
      if (need > best.need) {
        best = {entry.first, &model, need};
      }
    }
    if (best.model != nullptr) {
      wanted.push_back(best);
    }
  }
  std::stable_sort(wanted.begin(), wanted.end(),
                   [](const Staging& one, const Staging& other) {
                     return one.need > other.need;
                   });
  return wanted;
}

void GroupPlanner::StageModels(const PlanInput& input, PlannedActions& work,
                               TimePoint now) {
  for (const Service& service : input.configuration.services) {
    if (!service.engine.has_value()) {
      continue;
    }
    for (const Staging& staging : this->StagingByNeed(service, input, now)) {
      const double seconds = input.has_traffic
                                 ? staging.model->load_s
                                 : kEarlyLoadShare * staging.model->load_s;
      if (input.has_traffic) {
        if (!this->loads.MayStart(*service.engine, 1, now)) {
          return;
        }
        this->loads.RecordStart(now, now + FromSeconds(seconds));
      }
      Order order;
      order.kind = OrderKind::kStage;
      order.target = staging.target;
      order.model = staging.model->name;
      order.fence = this->term;
      work.orders.push_back(order);
      this->staging_until[staging.target] =
          now + FromSeconds(kStagingPatience * seconds) + kResendOrder;
    }
  }
}

}  // namespace gooseberryturn::direct
