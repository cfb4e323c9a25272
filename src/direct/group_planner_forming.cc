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

GroupPlanner::FreeHosts GroupPlanner::FreeByDomain(const Service& service,
                                                   const PlanInput& input,
                                                   TimePoint now) const {
  FreeHosts free;
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

void GroupPlanner::StartGroup(const Service& service,
                              const Candidate& candidate,
                              const PlanInput& input, PlannedActions& work,
                              TimePoint now) {
  this->counter += 1;
  Group group;
  group.view.epoch = this->term * kEpochsPerTerm + this->counter;
  group.view.name = "g" + std::to_string(group.view.epoch);
  group.view.service = service.name;
  group.view.model = candidate.model->name;
  group.view.domain = candidate.domain;
  group.view.members = candidate.members;
  for (const std::string& id : candidate.members) {
    group.lives[id] = input.registry.Find(id)->view.start_time_ms;
    group.resend_at[id] = now + kResendOrder;
    this->group_of[id] = group.view.name;
    work.orders.push_back(this->MakeOrder(OrderKind::kJoin, group, id));
  }
  group.give_up_at = now + FromSeconds(2 * candidate.seconds) + kFormingLimit;
  LogEvent(Level::kInfo, "", "group_started",
           {{"group", group.view.name},
            {"model", group.view.model},
            {"domain", group.view.domain},
            {"expected_s", std::to_string(candidate.seconds)}});
  this->groups[group.view.name] = std::move(group);
  this->changes += 1;
}

std::optional<GroupPlanner::Candidate> GroupPlanner::CandidateOf(
    const ModelProfile& model, const std::string& domain,
    std::vector<std::string> hosts, const PlanInput& input,
    TimePoint now) const {
  const auto kept = this->reserved.find(domain);
  const bool is_kept_for_other = kept != this->reserved.end() &&
                                 now < kept->second.until &&
                                 kept->second.model != model.name;
  if (hosts.size() < model.size || is_kept_for_other) {
    return std::nullopt;
  }
  const auto cost = [this, &input, &model](const std::string& id) {
    return this->JoinSeconds(*input.registry.Find(id), model);
  };
  std::stable_sort(hosts.begin(), hosts.end(),
                   [&cost](const std::string& a, const std::string& b) {
                     return cost(a) < cost(b);
                   });
  hosts.resize(model.size);
  const double seconds = cost(hosts.back());
  // A copy is staged first, so that hosts which need no load are not held up
  // by those that do.
  if (input.has_traffic && seconds >= model.load_s) {
    return std::nullopt;
  }
  return Candidate{&model, domain, std::move(hosts), seconds};
}

std::optional<GroupPlanner::Candidate> GroupPlanner::BestCandidate(
    const Service& service, const FreeHosts& free, const PlanInput& input,
    TimePoint now) const {
  const std::map<std::string, double> coverage = this->Coverage(service, input);
  const double load_share = input.has_traffic ? 1 : kEarlyLoadShare;
  std::optional<Candidate> best;
  double best_score = 0;
  for (const FreeHosts::value_type& domain : free) {
    for (const ModelProfile& model : service.engine->models) {
      std::optional<Candidate> candidate =
          this->CandidateOf(model, domain.first, domain.second, input, now);
      if (!candidate.has_value()) {
        continue;
      }
      const double need = MarginalServedShare(
          coverage.at(model.name), this->BusyHosts(service, model, input));
      const double seconds = load_share * candidate->seconds;
      const double score = need / (1.0 + seconds / kFormingScaleSeconds);
      if (score > best_score) {
        best_score = score;
        best = std::move(candidate);
      }
    }
  }
  return best;
}

void GroupPlanner::FormFor(const Service& service, FreeHosts free,
                           const PlanInput& input, PlannedActions& work,
                           TimePoint now) {
  for (;;) {
    const std::optional<Candidate> best =
        this->BestCandidate(service, free, input, now);
    if (!best.has_value()) {
      return;
    }
    const std::vector<std::string>& members = best->members;
    std::vector<std::string>& rest = free[best->domain];
    rest.erase(std::remove_if(rest.begin(), rest.end(),
                              [&members](const std::string& id) {
                                return std::find(members.begin(), members.end(),
                                                 id) != members.end();
                              }),
               rest.end());
    this->StartGroup(service, *best, input, work, now);
  }
}

void GroupPlanner::FormGroups(const PlanInput& input, PlannedActions& work,
                              TimePoint now) {
  for (const Service& service : input.configuration.services) {
    if (service.engine.has_value()) {
      const FreeHosts free = this->FreeByDomain(service, input, now);
      this->Rebalance(service, free, input, now);
      this->FormFor(service, free, input, work, now);
    }
  }
}

}  // namespace gooseberryturn::direct
