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

bool GroupPlanner::IsStaging(const std::string& target, TimePoint now) const {
  const auto staging = this->stagings.find(target);
  return staging != this->stagings.end() && now < staging->second.until;
}

bool GroupPlanner::IsSpareWith(const TargetRecord& record,
                               const std::string& model, TimePoint now) const {
  if (this->group_by_target.count(record.view.name) > 0 ||
      record.view.is_leaving || this->IsSuspect(record.view.name, record)) {
    return false;
  }
  if (this->IsStaging(record.view.name, now)) {
    return this->stagings.at(record.view.name).model == model;
  }
  return record.view.last_model == model || record.view.engine.HasStaged(model);
}

std::map<std::string, std::size_t> GroupPlanner::CountSparesByDomain(
    const std::string& model, const PlanInput& input, TimePoint now) const {
  std::map<std::string, std::size_t> spares;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    spares[entry.second.view.engine.domain] +=
        this->IsSpareWith(entry.second, model, now) ? 1 : 0;
  }
  return spares;
}

std::map<std::string, double> GroupPlanner::ExposedWorkByDomain(
    const Service& service, const ModelProfile& model,
    const PlanInput& input) const {
  const double served_by_group = ServedShare(
      static_cast<double>(model.size) / this->BusyHosts(service, model, input));
  std::map<std::string, double> exposed;
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    const GroupView& view = entry.second.view;
    if (view.service == service.name && view.model == model.name) {
      exposed[view.domain] +=
          static_cast<double>(view.members.size()) * served_by_group;
    }
  }
  return exposed;
}

std::vector<GroupPlanner::SpareDemand> GroupPlanner::SpareDemands(
    const Service& service, const PlanInput& input, TimePoint now) const {
  std::vector<SpareDemand> demands;
  for (const ModelProfile& model : service.engine->models) {
    demands.push_back({&model, this->ExposedWorkByDomain(service, model, input),
                       this->CountSparesByDomain(model.name, input, now)});
  }
  return demands;
}

GroupPlanner::Staging GroupPlanner::BestCopyForSpare(
    const TargetRecord& spare, std::vector<SpareDemand>& demands,
    TimePoint now) const {
  const std::string& domain = spare.view.engine.domain;
  Staging best;
  for (SpareDemand& demand : demands) {
    const bool is_held = this->IsSpareWith(spare, demand.model->name, now);
    const std::size_t others = demand.spares[domain] - (is_held ? 1 : 0);
    const double priority = demand.exposed_work[domain] /
                            static_cast<double>(1 + others) /
                            demand.model->load_s;
    if (priority > best.priority) {
      best = {spare.view.name, demand.model, priority};
    }
  }
  return best;
}

std::vector<GroupPlanner::Staging> GroupPlanner::StagingsOfSpares(
    const Service& service, const PlanInput& input, TimePoint now) const {
  std::vector<SpareDemand> demands = this->SpareDemands(service, input, now);
  std::vector<Staging> stagings;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const TargetRecord& record = entry.second;
    if (this->group_by_target.count(entry.first) > 0 ||
        !this->CanLoad(record, service, input, now)) {
      continue;
    }
    const Staging best = this->BestCopyForSpare(record, demands, now);
    if (best.model == nullptr ||
        this->IsSpareWith(record, best.model->name, now)) {
      continue;
    }
    for (SpareDemand& demand : demands) {
      const bool was_held = this->IsSpareWith(record, demand.model->name, now);
      std::size_t& spares = demand.spares[record.view.engine.domain];
      spares += demand.model == best.model ? 1 : 0;
      spares -= was_held ? 1 : 0;
    }
    stagings.push_back(best);
  }
  return stagings;
}

bool GroupPlanner::CanLoad(const TargetRecord& record, const Service& service,
                           const PlanInput& input, TimePoint now) const {
  return record.view.service == service.name && !record.view.is_leaving &&
         !record.is_unconfirmed && !this->IsSilent(record, input, now) &&
         !this->IsSuspect(record.view.name, record) &&
         !this->IsStaging(record.view.name, now);
}

bool GroupPlanner::CanStage(const TargetRecord& record, const Service& service,
                            const PlanInput& input, TimePoint now) const {
  const auto group = this->group_by_target.find(record.view.name);
  const bool is_forming =
      group != this->group_by_target.end() &&
      this->groups.at(group->second).view.phase != GroupPhase::kOpen;
  const std::vector<std::string>& staged = record.view.engine.staged;
  // A host can soon serve its last model again, so a copy of another model is
  // kept rather than replaced, unless that model is no longer served.
  const bool has_other_copy =
      std::any_of(staged.begin(), staged.end(),
                  [&record, &service](const std::string& model) {
                    return model != record.view.last_model &&
                           service.engine->FindModel(model) != nullptr;
                  });
  return !is_forming && !has_other_copy &&
         this->CanLoad(record, service, input, now);
}

std::vector<GroupPlanner::Staging> GroupPlanner::StagingsOfMembers(
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
  return stagings;
}

std::vector<GroupPlanner::Staging> GroupPlanner::StagingsInOrder(
    const Service& service, const PlanInput& input, TimePoint now) const {
  const auto sort = [](std::vector<Staging>& stagings) {
    std::stable_sort(stagings.begin(), stagings.end(),
                     [](const Staging& one, const Staging& other) {
                       return one.priority > other.priority;
                     });
  };
  std::vector<Staging> stagings = this->StagingsOfSpares(service, input, now);
  std::vector<Staging> of_members =
      this->StagingsOfMembers(service, input, now);
  sort(stagings);
  sort(of_members);
  stagings.insert(stagings.end(), of_members.begin(), of_members.end());
  return stagings;
}

void GroupPlanner::StageModels(const PlanInput& input, PlannedActions& actions,
                               TimePoint now) {
  if (now < this->next_staging_at) {
    return;
  }
  this->next_staging_at =
      now + kStagingIntervalPerTarget * input.registry.targets().size();
  for (const Service& service : input.configuration.services) {
    const bool may_load = service.engine.has_value() &&
                          (!input.has_traffic || this->load_limiter.MayStart(
                                                     *service.engine, 1, now));
    if (!may_load) {
      continue;
    }
    for (const Staging& staging : this->StagingsInOrder(service, input, now)) {
      if (this->IsStaging(staging.target, now)) {
        continue;  // Ordered as a spare.
      }

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
      order.fence = this->FenceOf(staging.target);
      actions.orders.push_back(order);
      this->stagings[staging.target] = {
          staging.model->name,
          now + FromSeconds(kStagingTimeoutFactor * seconds) +
              kOrderResendInterval};
    }
  }
}

}  // namespace gooseberryturn::direct
