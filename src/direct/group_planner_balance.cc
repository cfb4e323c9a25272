#include <algorithm>

#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

/// Approximate time during which hosts of closed groups serve nothing, until
/// they are in another group.
constexpr double kReassignmentSeconds = 4;

/// Approximate time for which an assignment of hosts serves before hosts are
/// lost again.
constexpr double kLayoutLifetimeSeconds = 10;

/// Minimum gain of a reassignment; see GainFromClosing.
constexpr double kMinGainSeconds = 0.4;

/// Fraction of all hosts assumed to be busy until entries have measured it.
constexpr double kDefaultUtilization = 0.6;

/// Fraction of the published demand that is always assumed: demand may return
/// sooner than a group can be formed.
constexpr double kMinDemandShare = 0.3;

/// Lower bound of the published demand, which Coverage divides by.
constexpr double kMinBusyHosts = 0.1;

}  // namespace

// ---------------------------------------------------------- model rebalancing

void GroupPlanner::CountHosts(const PlanInput& input) {
  this->host_counts.clear();
  for (const std::pair<const std::string, TargetRecord>& entry :
       input.registry.targets()) {
    this->host_counts[entry.second.view.service] += 1;
  }
}

double GroupPlanner::BusyHosts(const Service& service,
                               const ModelProfile& model,
                               const PlanInput& input) const {
  const auto counted = this->host_counts.find(service.name);
  const double hosts = counted == this->host_counts.end()
                           ? 0
                           : static_cast<double>(counted->second);
  const double published =
      std::max(kMinBusyHosts, kDefaultUtilization * model.share * hosts);
  for (const ModelDemand& demand : input.demand) {
    if (demand.service == service.name && demand.model == model.name) {
      return std::max(kMinDemandShare * published,
                      demand.busy_groups * static_cast<double>(model.size));
    }
  }
  return published;
}

std::map<std::string, double> GroupPlanner::Coverage(
    const Service& service, const PlanInput& input) const {
  std::map<std::string, double> coverage;
  std::map<std::string, double> busy_hosts;
  for (const ModelProfile& model : service.engine->models) {
    coverage[model.name] = 0;
    busy_hosts[model.name] = this->BusyHosts(service, model, input);
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
          static_cast<double>(view.members.size()) / busy_hosts[view.model];
    }
  }
  return coverage;
}

bool GroupPlanner::IsReserved(const std::string& domain, TimePoint now) const {
  const auto reservation = this->reservations.find(domain);
  return reservation != this->reservations.end() &&
         now < reservation->second.until;
}

std::map<std::string, double> GroupPlanner::PlannedCoverage(
    const Service& service, const PlanInput& input, TimePoint now) const {
  std::map<std::string, double> coverage = this->Coverage(service, input);
  for (const std::pair<const std::string, Reservation>& entry :
       this->reservations) {
    const ModelProfile* model = service.engine->FindModel(entry.second.model);
    if (model != nullptr && now < entry.second.until) {
      coverage[model->name] += static_cast<double>(model->size) /
                               this->BusyHosts(service, *model, input);
    }
  }
  return coverage;
}

std::vector<ModelCapacity> GroupPlanner::Capacities(
    const PlanInput& input) const {
  std::vector<ModelCapacity> capacities;
  for (const Service& service : input.configuration.services) {
    if (!service.engine.has_value()) {
      continue;
    }
    const std::map<std::string, double> coverage =
        this->Coverage(service, input);
    for (const ModelProfile& model : service.engine->models) {
      ModelCapacity capacity;
      capacity.service = service.name;
      capacity.model = model.name;
      capacity.coverage = coverage.at(model.name);
      capacity.busy_groups = this->BusyHosts(service, model, input) /
                             static_cast<double>(model.size);
      for (const std::pair<const std::string, Group>& entry : this->groups) {
        const GroupView& view = entry.second.view;
        const bool is_open = view.service == service.name &&
                             view.model == model.name &&
                             view.phase == GroupPhase::kOpen;
        capacity.open_groups += is_open ? 1 : 0;
      }
      capacities.push_back(capacity);
    }
  }
  return capacities;
}

std::vector<std::string> GroupPlanner::GroupsToClose(
    const Service& service, const ModelProfile& underserved,
    const std::string& domain, const std::vector<std::string>& available_hosts,
    const PlanInput& input) const {
  const auto is_capable = [this, &input, &underserved](const std::string& id) {
    const TargetRecord* record = input.registry.Find(id);
    return record != nullptr &&
           this->JoinSeconds(*record, underserved) < underserved.load_s;
  };
  std::size_t capable_hosts = static_cast<std::size_t>(std::count_if(
      available_hosts.begin(), available_hosts.end(), is_capable));
  std::vector<std::string> closed_groups;
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    const GroupView& view = entry.second.view;
    if (capable_hosts >= underserved.size) {
      break;
    }
    const bool is_closable =
        view.service == service.name && view.domain == domain &&
        view.model != underserved.name && view.phase == GroupPhase::kOpen &&
        !this->IsEvacuated(view, input);
    if (!is_closable) {
      continue;
    }
    const std::size_t capable_members = static_cast<std::size_t>(
        std::count_if(view.members.begin(), view.members.end(), is_capable));
    if (capable_members > 0) {
      closed_groups.push_back(entry.first);
      capable_hosts += capable_members;
    }
  }
  if (capable_hosts < underserved.size) {
    closed_groups.clear();
  }
  return closed_groups;
}

double GroupPlanner::ServedFraction(
    const Service& service, const std::map<std::string, double>& coverage) {
  double served = 0;
  for (const ModelProfile& model : service.engine->models) {
    served += model.share * ServedShare(coverage.at(model.name));
  }
  return served;
}

std::vector<std::string> GroupPlanner::UsableMembers(
    const Group& group, const PlanInput& input) const {
  std::vector<std::string> usable;
  for (const std::string& id : group.view.members) {
    const TargetRecord* record = input.registry.Find(id);
    if (record != nullptr && !record->view.is_leaving &&
        !this->IsMemberGone(group, id, input) &&
        !this->IsSuspect(id, *record)) {
      usable.push_back(id);
    }
  }
  return usable;
}

std::map<std::string, GroupPlanner::PendingRelease>
GroupPlanner::PendingReleasesByDomain(const Service& service,
                                      const PlanInput& input,
                                      TimePoint now) const {
  std::map<std::string, PendingRelease> pending_releases;
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    const Group& group = entry.second;
    if (group.view.service != service.name ||
        group.view.phase != GroupPhase::kDissolving ||
        this->IsEvacuated(group.view, input)) {
      continue;
    }
    PendingRelease& release = pending_releases[group.view.domain];
    const std::vector<std::string> usable = this->UsableMembers(group, input);
    release.targets.insert(release.targets.end(), usable.begin(), usable.end());
    const TimePoint free_at = group.member_left_at.value_or(now) +
                              input.member_loss_timeout + kBreakMargin;
    release.free_at = std::max(release.free_at, free_at);
  }
  return pending_releases;
}

const ModelProfile* GroupPlanner::LeastCoveredModel(
    const Service& service, const std::map<std::string, double>& coverage) {
  const ModelProfile* least_covered = nullptr;
  for (const ModelProfile& model : service.engine->models) {
    const bool is_less_covered =
        least_covered == nullptr ||
        coverage.at(model.name) < coverage.at(least_covered->name);
    least_covered = model.share > 0 && is_less_covered ? &model : least_covered;
  }
  return least_covered;
}

double GroupPlanner::GainFromClosing(
    const Service& service, const ModelProfile& underserved,
    const std::vector<std::string>& closed_groups,
    const std::map<std::string, double>& coverage,
    const PlanInput& input) const {
  std::map<std::string, double> new_coverage = coverage;
  for (const std::string& name : closed_groups) {
    const GroupView& view = this->groups.at(name).view;
    const ModelProfile* model = service.engine->FindModel(view.model);
    if (model != nullptr) {
      new_coverage[view.model] -= static_cast<double>(view.members.size()) /
                                  this->BusyHosts(service, *model, input);
    }
  }
  const double before = ServedFraction(service, coverage);
  const double during = ServedFraction(service, new_coverage);
  new_coverage[underserved.name] +=
      static_cast<double>(underserved.size) /
      this->BusyHosts(service, underserved, input);
  const double after = ServedFraction(service, new_coverage);
  return (after - before) * kLayoutLifetimeSeconds +
         (during - before) * kReassignmentSeconds;
}

bool GroupPlanner::HasWork(const std::vector<std::string>& names,
                           const PlanInput& input) const {
  return std::any_of(
      names.begin(), names.end(), [this, &input](const std::string& name) {
        const auto in_flight = input.in_flight_work.find(
            this->groups.at(name).view.members.front());
        return in_flight != input.in_flight_work.end() && in_flight->second > 0;
      });
}

GroupPlanner::Reassignment GroupPlanner::BestReassignment(
    const Service& service, const ModelProfile& underserved,
    const std::map<std::string, double>& coverage, const FreeHosts& free_hosts,
    const PlanInput& input, TimePoint now) const {
  FreeHosts domains = free_hosts;
  for (const std::pair<const std::string, Group>& entry : this->groups) {
    if (entry.second.view.service == service.name) {
      domains.insert({entry.second.view.domain, {}});
    }
  }
  const std::map<std::string, PendingRelease> pending_releases =
      this->PendingReleasesByDomain(service, input, now);
  Reassignment best;
  best.gain_s = kMinGainSeconds;
  for (std::pair<const std::string, std::vector<std::string>>& domain :
       domains) {
    if (this->IsReserved(domain.first, now)) {
      continue;
    }
    std::vector<std::string>& available_hosts = domain.second;
    TimePoint until = now + kReservationTime;
    const auto release = pending_releases.find(domain.first);
    if (release != pending_releases.end()) {
      available_hosts.insert(available_hosts.end(),
                             release->second.targets.begin(),
                             release->second.targets.end());
      until = std::max(until, release->second.free_at + kRejoinMargin);
    }
    const std::vector<std::string> closed_groups = this->GroupsToClose(
        service, underserved, domain.first, available_hosts, input);
    if (closed_groups.empty()) {
      continue;
    }
    if (this->HasWork(closed_groups, input)) {
      // Hosts that are free sooner wait for those of the last group to close.
      until = std::max(until, now + kCloseTimeout + kRejoinMargin);
    }
    const double gain_s = this->GainFromClosing(service, underserved,
                                                closed_groups, coverage, input);
    if (gain_s > best.gain_s) {
      best = {domain.first, closed_groups, gain_s, until};
    }
  }
  return best;
}

void GroupPlanner::Rebalance(const Service& service,
                             const FreeHosts& free_hosts,
                             const PlanInput& input, TimePoint now) {
  const std::map<std::string, double> coverage =
      this->PlannedCoverage(service, input, now);
  const ModelProfile* underserved = LeastCoveredModel(service, coverage);
  if (underserved == nullptr) {
    return;
  }
  const Reassignment reassignment = this->BestReassignment(
      service, *underserved, coverage, free_hosts, input, now);
  for (const std::string& name : reassignment.closed_groups) {
    Group& group = this->groups.at(name);
    LogEvent(Level::kInfo, "", "group_rebalanced",
             {{"group", name},
              {"for_model", underserved->name},
              {"coverage", std::to_string(coverage.at(underserved->name))},
              {"served", std::to_string(ServedFraction(service, coverage))},
              {"gain_s", std::to_string(reassignment.gain_s)}});
    group.view.closing_for = underserved->name;
    this->SetPhase(group, GroupPhase::kClosing);
    group.close_deadline = now + kCloseTimeout;
    this->reservations[reassignment.domain] = {underserved->name,
                                               reassignment.until};
  }
}

}  // namespace gooseberryturn::direct
