#include <algorithm>
#include <map>
#include <utility>

#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

/// Epochs reserved for each term. Nothing checks that a leader forms fewer
/// groups in its term.
constexpr std::uint64_t kEpochsPerTerm = 1U << 20U;

/// Join time of a host whose last group served the same model.
constexpr double kSameModelSeconds = 0.2;

/// A group that takes this long to form scores half of what it would if it
/// formed at once.
constexpr double kFormingTimeScaleSeconds = 4;

}  // namespace

// ------------------------------------------------------------------ forming

double GroupPlanner::JoinSeconds(const TargetRecord& record,
                                 const ModelProfile& model) const {
  if (record.view.last_model == model.name) {
    return kSameModelSeconds;
  }
  return record.view.engine.HasStaged(model.name) ? model.warm_s : model.load_s;
}

GroupPlanner::FreeHosts GroupPlanner::FreeHostsByDomain(const Service& service,
                                                        const PlanInput& input,
                                                        TimePoint now) const {
  FreeHosts free_hosts;
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    const TargetRecord& record = entry.second;
    const bool is_usable =
        record.view.service == service.name && !record.view.is_leaving &&
        !record.is_unconfirmed && !this->IsSilent(record, input, now) &&
        this->group_by_target.count(entry.first) == 0 &&
        input.evacuated.count(record.view.data_centre) == 0 &&
        !this->IsSuspect(entry.first, record);
    if (is_usable && this->IsReleased(entry.first, record, input, now)) {
      free_hosts[record.view.engine.domain].push_back(entry.first);
    }
  }
  return free_hosts;
}

bool GroupPlanner::IsReleased(const std::string& id, const TargetRecord& record,
                              const PlanInput& input, TimePoint now) const {
  const std::optional<Membership>& membership = record.view.engine.membership;
  if (!membership.has_value() || membership->state == MemberState::kNone ||
      this->dissolved_groups.IsDissolved(record, input.registry)) {
    return true;
  }
  if (membership->rank == 0) {
    // A head in kReady counts as released here, while AdoptAnnouncedGroups
    // treats it as one that may be serving.
    return membership->state != MemberState::kOpen &&
           membership->state != MemberState::kClosing;
  }
  const auto orphan = this->orphans.find(id);
  return orphan != this->orphans.end() &&
         now >= orphan->second + input.member_loss_timeout + kOrphanMargin;
}

bool GroupPlanner::IsEvacuated(const GroupView& group,
                               const PlanInput& input) const {
  const TargetRecord* head = input.registry.Find(group.members.front());
  return head != nullptr && input.evacuated.count(head->view.data_centre) > 0;
}

void GroupPlanner::StartGroup(const Service& service,
                              const Candidate& candidate,
                              const PlanInput& input, PlannedActions& actions,
                              TimePoint now) {
  this->formed_groups += 1;
  Group group;
  group.view.epoch = this->term * kEpochsPerTerm + this->formed_groups;
  group.view.name = "g" + std::to_string(group.view.epoch);
  group.view.service = service.name;
  group.view.model = candidate.model->name;
  group.view.domain = candidate.domain;
  group.view.members = candidate.members;
  for (const std::string& id : candidate.members) {
    group.start_times_ms[id] = input.registry.Find(id)->view.start_time_ms;
    group.resend_at[id] = now + kOrderResendInterval;
    this->group_by_target[id] = group.view.name;
    actions.orders.push_back(this->MakeOrder(OrderKind::kJoin, group, id));
  }
  group.give_up_at =
      now + FromSeconds(2 * candidate.forming_s) + kFormingTimeout;
  LogEvent(Level::kInfo, "", "group_started",
           {{"group", group.view.name},
            {"model", group.view.model},
            {"domain", group.view.domain},
            {"expected_s", std::to_string(candidate.forming_s)}});
  const auto reservation = this->reservations.find(group.view.domain);
  if (reservation != this->reservations.end() &&
      reservation->second.model == group.view.model) {
    this->reservations.erase(reservation);
  }
  this->groups[group.view.name] = std::move(group);
  this->change_count += 1;
}

std::optional<GroupPlanner::Candidate> GroupPlanner::MakeCandidate(
    const ModelProfile& model, const std::string& domain,
    const std::vector<AvailableHost>& hosts, const PlanInput& input,
    TimePoint now) const {
  if (model.size == 0) {
    return std::nullopt;
  }
  const bool is_reserved_for_other =
      this->IsReserved(domain, now) &&
      this->reservations.at(domain).model != model.name;
  if (is_reserved_for_other) {
    return std::nullopt;
  }
  std::multimap<double, const AvailableHost*> host_by_ready_s;
  for (const AvailableHost& host : hosts) {
    const double join_s =
        this->JoinSeconds(*input.registry.Find(host.id), model);
    // With traffic, models are staged before a group is formed, so that hosts
    // that need no load don't wait for those that do.
    if (!input.has_traffic || join_s < model.load_s) {
      host_by_ready_s.insert({host.free_in_s + join_s, &host});
    }
  }
  if (host_by_ready_s.size() < model.size) {
    return std::nullopt;
  }
  Candidate candidate;
  candidate.model = &model;
  candidate.domain = domain;
  for (const std::pair<const double, const AvailableHost*>& host :
       host_by_ready_s) {
    if (candidate.members.size() < model.size) {
      candidate.members.push_back(host.second->id);
      candidate.forming_s = host.first;
      candidate.is_waiting |= host.second->free_in_s > 0;
    }
  }
  return candidate;
}

std::vector<GroupPlanner::Candidate> GroupPlanner::MakeCandidates(
    const Service& service, const std::string& domain,
    const std::vector<AvailableHost>& hosts, const PlanInput& input,
    TimePoint now) const {
  std::vector<Candidate> candidates;
  for (const ModelProfile& model : service.engine->models) {
    std::optional<Candidate> candidate =
        this->MakeCandidate(model, domain, hosts, input, now);
    if (candidate.has_value()) {
      candidates.push_back(std::move(*candidate));
    }
  }
  return candidates;
}

std::optional<GroupPlanner::Candidate> GroupPlanner::BestCandidate(
    const Service& service, const CandidatesByDomain& candidates,
    const std::map<std::string, double>& coverage,
    const PlanInput& input) const {
  const double load_factor = input.has_traffic ? 1 : kPreTrafficLoadFactor;
  const Candidate* best = nullptr;
  double best_score = 0;
  for (const CandidatesByDomain::value_type& domain : candidates) {
    for (const Candidate& candidate : domain.second) {
      const ModelProfile& model = *candidate.model;
      const double gain =
          model.share *
          MarginalServedShare(coverage.at(model.name),
                              this->BusyHosts(service, model, input));
      const double forming_s = load_factor * candidate.forming_s;
      const double score = gain / (1.0 + forming_s / kFormingTimeScaleSeconds);
      if (score > best_score) {
        best_score = score;
        best = &candidate;
      }
    }
  }
  return best == nullptr ? std::nullopt : std::optional<Candidate>(*best);
}

GroupPlanner::AvailableHosts GroupPlanner::AvailableHostsByDomain(
    const Service& service, const FreeHosts& free_hosts, const PlanInput& input,
    TimePoint now) const {
  AvailableHosts available;
  for (const FreeHosts::value_type& domain : free_hosts) {
    for (const std::string& id : domain.second) {
      available[domain.first].push_back({id, 0});
    }
  }
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    const Group& group = entry.second;
    const bool is_release_certain =
        group.view.service == service.name &&
        group.view.phase == GroupPhase::kDissolving &&
        group.member_left_at.has_value() &&
        !this->IsEvacuated(group.view, input);
    if (!is_release_certain) {
      continue;
    }
    const TimePoint free_at =
        *group.member_left_at + input.member_loss_timeout + kBreakMargin;
    const double free_in_s =
        std::max(0.0, std::chrono::duration<double>(free_at - now).count());
    for (const std::string& id : this->UsableMembers(group, input)) {
      available[group.view.domain].push_back({id, free_in_s});
    }
  }
  return available;
}

void GroupPlanner::FormServiceGroups(const Service& service,
                                     const FreeHosts& free_hosts,
                                     const PlanInput& input,
                                     PlannedActions& actions, TimePoint now) {
  AvailableHosts available =
      this->AvailableHostsByDomain(service, free_hosts, input, now);
  std::map<std::string, double> coverage =
      this->PlannedCoverage(service, input, now);
  CandidatesByDomain candidates;
  for (const AvailableHosts::value_type& domain : available) {
    candidates[domain.first] =
        this->MakeCandidates(service, domain.first, domain.second, input, now);
  }
  for (;;) {
    const std::optional<Candidate> best =
        this->BestCandidate(service, candidates, coverage, input);
    if (!best.has_value()) {
      return;
    }
    const std::vector<std::string>& members = best->members;
    std::vector<AvailableHost>& remaining = available[best->domain];
    remaining.erase(std::remove_if(remaining.begin(), remaining.end(),
                                   [&members](const AvailableHost& host) {
                                     return std::find(members.begin(),
                                                      members.end(),
                                                      host.id) != members.end();
                                   }),
                    remaining.end());
    coverage[best->model->name] +=
        static_cast<double>(members.size()) /
        this->BusyHosts(service, *best->model, input);
    // A group that waits for a release only keeps its free members from others.
    if (!best->is_waiting) {
      this->StartGroup(service, *best, input, actions, now);
    }
    // Only the hosts and the reservation of this domain have changed.
    candidates[best->domain] =
        this->MakeCandidates(service, best->domain, remaining, input, now);
  }
}

void GroupPlanner::FormGroups(const PlanInput& input, PlannedActions& actions,
                              TimePoint now) {
  for (const Service& service : input.configuration.services) {
    if (service.engine.has_value()) {
      const FreeHosts free_hosts = this->FreeHostsByDomain(service, input, now);
      this->Rebalance(service, free_hosts, input, now);
      this->FormServiceGroups(service, free_hosts, input, actions, now);
    }
  }
}

}  // namespace gooseberryturn::direct
