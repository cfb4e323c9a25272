#include <algorithm>

#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

/// Groups that one leader may form in one term.
constexpr std::uint64_t kEpochsPerTerm = 1U << 20U;

constexpr double kSameModelSeconds = 0.2;

/// Share of all hosts that work keeps busy, until entries measured it.
constexpr double kUsualLoad = 0.6;

/// Share of the published demand that is always reckoned with: what is asked
/// for may come back sooner than a group is formed.
constexpr double kLeastDemand = 0.3;
constexpr double kLeastBusyHosts = 0.1;

/// Groups that are closed serve nothing for about so long, until their hosts
/// are in another group.
constexpr double kMoveSeconds = 4;

/// A layout of groups serves for about so long before hosts are lost again.
constexpr double kLayoutSeconds = 10;

/// Gain in seconds of all work below which nothing is moved.
constexpr double kLeastGainSeconds = 0.4;

/// From the release of a member until the order to join may be given.
constexpr Duration kOrderSlack = std::chrono::milliseconds(500);

constexpr Duration kRebalanceEvery = std::chrono::milliseconds(2500);

/// Time to form a group counts against its gain by this scale.
constexpr double kFormingScaleSeconds = 4;

/// Loads take this share of their time before traffic begins.
constexpr double kEarlyLoadShare = 0.1;

bool HasStaged(const EngineReport& report, const std::string& model) {
  return std::find(report.staged.begin(), report.staged.end(), model) !=
         report.staged.end();
}

}  // namespace

// ------------------------------------------------------------------ forming

double GroupPlanner::JoinSeconds(const TargetRecord& record,
                                 const ModelProfile& model) const {
  if (record.view.last_model == model.name) {
    return kSameModelSeconds;
  }
  return HasStaged(record.view.engine, model.name) ? model.warm_s
                                                   : model.load_s;
}

std::map<std::string, std::vector<std::string>> GroupPlanner::FreeByDomain(
    const Service& service, const PlanInput& input, TimePoint now) const {
  std::map<std::string, std::vector<std::string>> free;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const TargetRecord& record = entry.second;
    const bool is_usable =
        record.view.service == service.name && !record.view.is_leaving &&
        !record.is_adopted && !this->IsSilent(record, input, now) &&
        this->group_of.count(entry.first) == 0 &&
        input.evacuated.count(record.view.data_centre) == 0 &&
        !this->IsSuspect(entry.first, record);
    if (is_usable && this->IsReleased(entry.first, record, input, now)) {
      free[record.view.engine.domain].push_back(entry.first);
    }
  }
  return free;
}

bool GroupPlanner::IsReleased(const std::string& id, const TargetRecord& record,
                              const PlanInput& input, TimePoint now) const {
  const std::optional<Membership>& last = record.view.engine.membership;
  if (!last.has_value() || last->state == MemberState::kNone ||
      this->closed_epochs.count(last->epoch) > 0) {
    return true;
  }
  if (last->rank == 0) {
    return last->state != MemberState::kOpen &&
           last->state != MemberState::kClosing;
  }
  const auto orphan = this->orphans.find(id);
  return orphan != this->orphans.end() &&
         now >= orphan->second + input.stall + kOrphanMargin;
}

bool GroupPlanner::IsEvacuated(const GroupView& group,
                               const PlanInput& input) const {
  const TargetRecord* head = input.registry.Find(group.members.front());
  return head != nullptr && input.evacuated.count(head->view.data_centre) > 0;
}

double GroupPlanner::BusyHosts(const Service& service,
                               const ModelProfile& model,
                               const PlanInput& input) const {
  double hosts = 0;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    hosts += entry.second.view.service == service.name ? 1 : 0;
  }
  const double published =
      std::max(kLeastBusyHosts, kUsualLoad * model.share * hosts);
  for (const ModelDemand& demand : input.demand) {
    if (demand.service == service.name && demand.model == model.name) {
      return std::max(kLeastDemand * published,
                      demand.groups * static_cast<double>(model.size));
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

void GroupPlanner::StartGroup(const Service& service, const ModelProfile& model,
                              const std::string& domain,
                              const std::vector<std::string>& members,
                              const PlanInput& input, PlannedWork& work,
                              TimePoint now) {
  this->counter += 1;
  Group group;
  group.view.epoch = this->term * kEpochsPerTerm + this->counter;
  group.view.name = "g" + std::to_string(group.view.epoch);
  group.view.service = service.name;
  group.view.model = model.name;
  group.view.domain = domain;
  group.view.members = members;
  double seconds = 0;
  for (const std::string& id : members) {
    const TargetRecord& record = *input.registry.Find(id);
    const double join = this->JoinSeconds(record, model);
    seconds = std::max(seconds, join);
    group.lives[id] = record.view.born_ms;
    group.resend_at[id] = now + kResendOrder;
    this->group_of[id] = group.view.name;
    work.orders.push_back(this->MakeOrder(OrderKind::kJoin, group, id));
  }
  group.give_up_at = now + FromSeconds(2 * seconds) + kFormingLimit;
  LogEvent(Level::kInfo, "", "group_started",
           {{"group", group.view.name},
            {"model", model.name},
            {"domain", domain},
            {"expected_s", std::to_string(seconds)}});
  this->groups[group.view.name] = std::move(group);
  this->changes += 1;
}

void GroupPlanner::FormFor(const Service& service, const PlanInput& input,
                           PlannedWork& work, TimePoint now) {
  std::map<std::string, std::vector<std::string>> free =
      this->FreeByDomain(service, input, now);
  for (;;) {
    const std::map<std::string, double> coverage =
        this->Coverage(service, input);
    const ModelProfile* best_model = nullptr;
    std::string best_domain;
    std::vector<std::string> best_members;
    double best_score = 0;
    for (std::pair<const std::string, std::vector<std::string>>& domain :
         free) {
      for (const ModelProfile& model : service.engine->models) {
        const auto kept = this->reserved.find(domain.first);
        const bool is_kept_for_other = kept != this->reserved.end() &&
                                       now < kept->second.until &&
                                       kept->second.model != model.name;
        if (domain.second.size() < model.size || is_kept_for_other) {
          continue;
        }
        std::vector<std::string> ids = domain.second;
        const auto cost = [this, &input, &model](const std::string& id) {
          return this->JoinSeconds(*input.registry.Find(id), model);
        };
        std::stable_sort(ids.begin(), ids.end(),
                         [&cost](const std::string& a, const std::string& b) {
                           return cost(a) < cost(b);
                         });
        ids.resize(model.size);
        double seconds = cost(ids.back());
        std::size_t load_count = 0;
        for (const std::string& id : ids) {
          load_count += cost(id) >= model.load_s ? 1 : 0;
        }
        if (!input.has_traffic) {
          seconds *= kEarlyLoadShare;
        } else if (load_count > 0) {
          // A copy is staged first, so that hosts which need no load are not
          // held up by those that do.
          continue;
        }
        const double need = ServedByHost(
            coverage.at(model.name), this->BusyHosts(service, model, input));
        const double score = need / (1.0 + seconds / kFormingScaleSeconds);
        if (score > best_score) {
          best_score = score;
          best_model = &model;
          best_domain = domain.first;
          best_members = ids;
        }
      }
    }
    if (best_model == nullptr) {
      return;
    }
    std::vector<std::string>& rest = free[best_domain];
    rest.erase(std::remove_if(rest.begin(), rest.end(),
                              [&best_members](const std::string& id) {
                                return std::find(best_members.begin(),
                                                 best_members.end(),
                                                 id) != best_members.end();
                              }),
               rest.end());
    this->StartGroup(service, *best_model, best_domain, best_members, input,
                     work, now);
  }
}

void GroupPlanner::FormGroups(const PlanInput& input, PlannedWork& work,
                              TimePoint now) {
  for (const Service& service : input.configuration.services) {
    if (service.engine.has_value()) {
      this->Rebalance(service, input, now);
      this->FormFor(service, input, work, now);
    }
  }
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
    const std::size_t gain = static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(), is_capable));
    if (is_other && gain > 0) {
      closed.push_back(entry.first);
      capable += gain;
    }
  }
  if (capable < poor.size) {
    closed.clear();
  }
  return closed;
}

double GroupPlanner::Served(
    const Service& service,
    const std::map<std::string, double>& coverage) const {
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
          !this->IsMemberDead(group, id, input, now) &&
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

void GroupPlanner::Rebalance(const Service& service, const PlanInput& input,
                             TimePoint now) {
  if (now < this->rebalance_at) {
    return;
  }
  const std::map<std::string, double> coverage = this->Coverage(service, input);
  const ModelProfile* poor = nullptr;
  for (const ModelProfile& model : service.engine->models) {
    const bool is_poorer =
        poor == nullptr || coverage.at(model.name) < coverage.at(poor->name);
    poor = model.share > 0 && is_poorer ? &model : poor;
  }
  if (poor == nullptr) {
    return;
  }
  std::map<std::string, std::vector<std::string>> domains =
      this->FreeByDomain(service, input, now);
  const std::map<std::string, Returning> returning =
      this->ReturningByDomain(service, input, now);
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    if (entry.second.view.service == service.name) {
      domains.insert({entry.second.view.domain, {}});
    }
  }
  const double before = this->Served(service, coverage);
  double best = kLeastGainSeconds;
  std::string best_domain;
  std::vector<std::string> best_closed;
  TimePoint best_until = now + kRebalanceEvery;
  for (std::pair<const std::string, std::vector<std::string>>& domain :
       domains) {
    TimePoint until = now + kRebalanceEvery;
    const auto back = returning.find(domain.first);
    if (back != returning.end()) {
      domain.second.insert(domain.second.end(), back->second.targets.begin(),
                           back->second.targets.end());
      until = std::max(until, back->second.free_at + kOrderSlack);
    }
    const std::vector<std::string> closed =
        this->GroupsToClose(service, *poor, domain.first, domain.second, input);
    if (closed.empty()) {
      continue;
    }
    std::map<std::string, double> next = coverage;
    for (const std::string& name : closed) {
      const GroupView& view = this->groups.at(name).view;
      const ModelProfile* model = service.engine->FindModel(view.model);
      next[view.model] -= static_cast<double>(view.members.size()) /
                          this->BusyHosts(service, *model, input);
    }
    const double meanwhile = this->Served(service, next);
    next[poor->name] += static_cast<double>(poor->size) /
                        this->BusyHosts(service, *poor, input);
    const double after = this->Served(service, next);
    const double gain =
        (after - before) * kLayoutSeconds + (meanwhile - before) * kMoveSeconds;
    if (gain > best) {
      best = gain;
      best_domain = domain.first;
      best_closed = closed;
      best_until = until;
    }
  }
  for (const std::string& name : best_closed) {
    Group& group = this->groups.at(name);
    LogEvent(Level::kInfo, "", "group_rebalanced",
             {{"group", name},
              {"for_model", poor->name},
              {"served_before", std::to_string(before)},
              {"gain_s", std::to_string(best)}});
    group.view.closing_for = poor->name;
    this->SetPhase(group, GroupPhase::kClosing);
    group.close_at = now + kCloseLimit;
    this->rebalance_at = now + kRebalanceEvery;
    this->reserved[best_domain] = {poor->name, best_until};
  }
}

}  // namespace gooseberryturn::direct
