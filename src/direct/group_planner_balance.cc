#include <algorithm>

#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

/// Groups that are closed serve nothing for about so long, until their hosts
/// are in another group.
constexpr double kMoveSeconds = 4;

/// A layout of groups serves for about so long before hosts are lost again.
constexpr double kLayoutSeconds = 10;

/// Gain in seconds of all work below which nothing is moved.
constexpr double kLeastGainSeconds = 0.4;

/// From the release of a member until the order to join may be given.
constexpr Duration kOrderSlack = std::chrono::milliseconds(500);

/// Share of all hosts that work keeps busy, until entries measured it.
constexpr double kUsualLoad = 0.6;

/// Share of the published demand that is always reckoned with: what is asked
/// for may come back sooner than a group is formed.
constexpr double kLeastDemand = 0.3;
constexpr double kLeastBusyHosts = 0.1;

}  // namespace

// --------------------------------------------------------- balance of models

void GroupPlanner::CountHosts(const PlanInput& input) {
  this->hosts_of.clear();
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    this->hosts_of[entry.second.view.service] += 1;
  }
}

double GroupPlanner::BusyHosts(const Service& service,
                               const ModelProfile& model,
                               const PlanInput& input) const {
  const auto counted = this->hosts_of.find(service.name);
  const double hosts = counted == this->hosts_of.end()
                           ? 0
                           : static_cast<double>(counted->second);
  const double published =
      std::max(kLeastBusyHosts, kUsualLoad * model.share * hosts);
  for (const ModelDemand& demand : input.demand) {
    if (demand.service == service.name && demand.model == model.name) {
      return std::max(kLeastDemand * published,
                      demand.busy_groups * static_cast<double>(model.size));
    }
  }
  return published;
}

std::map<std::string, double> GroupPlanner::Coverage(
    const Service& service, const PlanInput& input) const {
  std::map<std::string, double> coverage;
  std::map<std::string, double> busy;
  for (const ModelProfile& model : service.engine->models) {
    coverage[model.name] = 0;
    busy[model.name] = this->BusyHosts(service, model, input);
  }
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    const GroupView& view = entry.second.view;
    const ModelProfile* model = service.engine->FindModel(view.model);
    const bool counts = view.service == service.name && model != nullptr &&
                        view.phase != GroupPhase::kDissolving &&
                        view.phase != GroupPhase::kClosing &&
                        !this->IsEvacuated(view, input);
    if (counts) {
      coverage[view.model] +=
          static_cast<double>(view.members.size()) / busy[view.model];
    }
  }
  return coverage;
}

std::vector<std::string> GroupPlanner::GroupsToClose(
    const Service& service, const ModelProfile& poor, const std::string& domain,
    const std::vector<std::string>& spares, const PlanInput& input) const {
  const auto is_capable = [this, &input, &poor](const std::string& id) {
    const TargetRecord* record = input.registry.Find(id);
    return record != nullptr && this->JoinSeconds(*record, poor) < poor.load_s;
  };
  std::size_t capable = static_cast<std::size_t>(
      std::count_if(spares.begin(), spares.end(), is_capable));
  std::vector<std::string> closed;
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    const GroupView& view = entry.second.view;
    if (capable >= poor.size) {
      break;
    }
    const bool is_other = view.service == service.name &&
                          view.domain == domain && view.model != poor.name &&
                          view.phase == GroupPhase::kOpen &&
                          !this->IsEvacuated(view, input);
    if (!is_other) {
      continue;
    }
    const std::size_t gain = static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(), is_capable));
    if (gain > 0) {
      closed.push_back(entry.first);
      capable += gain;
    }
  }
  if (capable < poor.size) {
    closed.clear();
  }
  return closed;
}

double GroupPlanner::Served(const Service& service,
                            const std::map<std::string, double>& coverage) {
  double served = 0;
  for (const ModelProfile& model : service.engine->models) {
    served += model.share * ServedShare(coverage.at(model.name));
  }
  return served;
}

std::map<std::string, GroupPlanner::Returning> GroupPlanner::ReturningByDomain(
    const Service& service, const PlanInput& input, TimePoint now) const {
  std::map<std::string, Returning> returning;
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    const Group& group = entry.second;
    if (group.view.service != service.name ||
        group.view.phase != GroupPhase::kDissolving ||
        this->IsEvacuated(group.view, input)) {
      continue;
    }
    Returning& there = returning[group.view.domain];
    for (const std::string& id : group.view.members) {
      const TargetRecord* record = input.registry.Find(id);
      if (record != nullptr && !record->view.is_leaving &&
          !this->IsMemberGone(group, id, input) &&
          !this->IsSuspect(id, *record)) {
        there.targets.push_back(id);
      }
    }
    const TimePoint free_at =
        group.broken_at.value_or(now) + input.stall + kBreakMargin;
    there.free_at = std::max(there.free_at, free_at);
  }
  return returning;
}

const ModelProfile* GroupPlanner::PoorestModel(
    const Service& service, const std::map<std::string, double>& coverage) {
  const ModelProfile* poorest = nullptr;
  for (const ModelProfile& model : service.engine->models) {
    const bool is_poorer = poorest == nullptr ||
                           coverage.at(model.name) < coverage.at(poorest->name);
    poorest = model.share > 0 && is_poorer ? &model : poorest;
  }
  return poorest;
}

double GroupPlanner::GainOfClosing(
    const Service& service, const ModelProfile& poor,
    const std::vector<std::string>& closed,
    const std::map<std::string, double>& coverage,
    const PlanInput& input) const {
  std::map<std::string, double> next = coverage;
  for (const std::string& name : closed) {
    const GroupView& view = this->groups.at(name).view;
    const ModelProfile* model = service.engine->FindModel(view.model);
    next[view.model] -= static_cast<double>(view.members.size()) /
                        this->BusyHosts(service, *model, input);
  }
  const double before = Served(service, coverage);
  const double meanwhile = Served(service, next);
  next[poor.name] +=
      static_cast<double>(poor.size) / this->BusyHosts(service, poor, input);
  const double after = Served(service, next);
  return (after - before) * kLayoutSeconds +
         (meanwhile - before) * kMoveSeconds;
}

GroupPlanner::Move GroupPlanner::BestMove(
    const Service& service, const ModelProfile& poor,
    const std::map<std::string, double>& coverage, const FreeHosts& free,
    const PlanInput& input, TimePoint now) const {
  FreeHosts domains = free;
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    if (entry.second.view.service == service.name) {
      domains.insert({entry.second.view.domain, {}});
    }
  }
  const std::map<std::string, Returning> returning =
      this->ReturningByDomain(service, input, now);
  Move best;
  best.gain_s = kLeastGainSeconds;
  for (std::pair<const std::string, std::vector<std::string>>& domain :
       domains) {
    std::vector<std::string>& spares = domain.second;
    TimePoint until = now + kRebalanceEvery;
    const auto back = returning.find(domain.first);
    if (back != returning.end()) {
      spares.insert(spares.end(), back->second.targets.begin(),
                    back->second.targets.end());
      until = std::max(until, back->second.free_at + kOrderSlack);
    }
    const std::vector<std::string> closed =
        this->GroupsToClose(service, poor, domain.first, spares, input);
    if (closed.empty()) {
      continue;
    }
    const double gain_s =
        this->GainOfClosing(service, poor, closed, coverage, input);
    if (gain_s > best.gain_s) {
      best = {domain.first, closed, gain_s, until};
    }
  }
  return best;
}

void GroupPlanner::Rebalance(const Service& service, const FreeHosts& free,
                             const PlanInput& input, TimePoint now) {
  if (now < this->rebalance_at) {
    return;
  }
  const std::map<std::string, double> coverage = this->Coverage(service, input);
  const ModelProfile* poor = PoorestModel(service, coverage);
  if (poor == nullptr) {
    return;
  }
  const Move move = this->BestMove(service, *poor, coverage, free, input, now);
  for (const std::string& name : move.closed) {
    Group& group = this->groups.at(name);
    LogEvent(Level::kInfo, "", "group_rebalanced",
             {{"group", name},
              {"for_model", poor->name},
              {"coverage", std::to_string(coverage.at(poor->name))},
              {"served", std::to_string(Served(service, coverage))},
              {"gain_s", std::to_string(move.gain_s)}});
    group.view.closing_for = poor->name;
    this->SetPhase(group, GroupPhase::kClosing);
    group.close_at = now + kCloseLimit;
    this->rebalance_at = now + kRebalanceEvery;
    this->reserved[move.domain] = {poor->name, move.until};
  }
}

}  // namespace gooseberryturn::direct
