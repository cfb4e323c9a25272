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

}  // namespace gooseberryturn::direct
