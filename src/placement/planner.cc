#include "gooseberryturn/placement/planner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace gooseberryturn::placement {

namespace {

using protocol::Group;
using protocol::Member;

/// A fabric domain; its name is unique only within its data centre.
struct Domain {
  std::string data_centre;
  std::string name;

  bool operator<(const Domain& other) const {
    return this->data_centre != other.data_centre
               ? this->data_centre < other.data_centre
               : this->name < other.name;
  }
};

using HostsByDomain = std::map<Domain, std::vector<const Host*>>;

Member MemberOf(const Host& host) {
  return {host.name, host.incarnation, host.link};
}

/// Plans the groups of one service.
class ServicePlanner {
 public:
  ServicePlanner(const Inventory& inventory, const config::Service& service,
                 Policy policy, std::vector<GroupChange>& changes)
      : inventory(inventory),
        service(service),
        group_size(static_cast<std::size_t>(service.hosts_per_group)),
        policy(policy),
        changes(changes) {
    for (const std::pair<const std::string, Host>& entry : inventory.hosts) {
      const Host& host = entry.second;
      if (host.service == service.name && host.is_usable && host.is_free) {
        this->free_hosts[{host.data_centre, host.fabric_domain}].push_back(
            &host);
      }
    }
    for (const std::pair<const std::string, Group>& entry : inventory.groups) {
      if (entry.second.service == service.name) {
        this->groups.push_back(&entry.second);
      }
    }
  }

  void Run() {
    this->DissolveSurplus();
    for (const Group* group : this->groups) {
      this->Repair(*group);
    }
    this->Consolidate();
    this->FormMissing();
  }

 private:
  /// Dissolves groups of the wrong size and groups beyond the configured count.
  void DissolveSurplus() {
    std::vector<const Group*> kept;
    for (const Group* group : this->groups) {
      const bool is_wanted =
          group->members.size() == this->group_size &&
          kept.size() < static_cast<std::size_t>(this->service.groups);
      if (is_wanted) {
        kept.push_back(group);
      } else {
        this->Dissolve(*group);
      }
    }
    this->groups = std::move(kept);
  }

  void Dissolve(const Group& group) {
    GroupChange change;
    change.group = group;
    change.group.members.clear();
    change.replaces = group.fence;
    this->changes.push_back(std::move(change));
  }

  void Assign(const Group& group, std::vector<Member> members) {
    GroupChange change;
    change.group = group;
    change.group.members = std::move(members);
    change.replaces = group.fence;
    this->changes.push_back(std::move(change));
  }

  /// Members that can still serve, with their current incarnations.
  [[nodiscard]] std::vector<Member> Survivors(const Group& group) const {
    std::vector<Member> survivors;
    for (const Member& member : group.members) {
      const auto host = this->inventory.hosts.find(member.host);
      const bool is_available =
          host != this->inventory.hosts.end() && host->second.is_usable &&
          host->second.data_centre == group.data_centre &&
          host->second.fabric_domain == group.fabric_domain;
      if (is_available) {
        survivors.push_back(MemberOf(host->second));
      }
    }
    return survivors;
  }

  /// Renews the members' incarnations and replaces lost members by free hosts
  /// of the domain; with too few of them the group is recorded as broken. Under
  /// kFirstFit a group that lost a member is dissolved instead.
  void Repair(const Group& group) {
    std::vector<Member> members = this->Survivors(group);
    if (members == group.members) {
      return;
    }
    const std::size_t missing = this->group_size - members.size();
    if (this->policy == Policy::kFirstFit && missing > 0) {
      this->Dissolve(group);
      return;
    }
    std::vector<const Host*>& free_in_domain =
        this->free_hosts[{group.data_centre, group.fabric_domain}];
    if (free_in_domain.size() >= missing) {
      for (std::size_t count = 0; count < missing; ++count) {
        members.push_back(MemberOf(*free_in_domain.back()));
        free_in_domain.pop_back();
      }
      this->Assign(group, std::move(members));
      return;
    }
    this->broken_groups.push_back(&group);
  }

  /// Moves each broken group to a domain with enough free hosts for a whole
  /// group. Without such a domain, dissolves a broken group of the same domain
  /// whose survivors, once free, complete this one in the next plan.
  void Consolidate() {
    std::set<const Group*> handled;
    for (const Group* group : this->broken_groups) {
      if (handled.count(group) > 0) {
        continue;
      }
      const std::optional<Domain> new_domain =
          this->PickDomain(group->data_centre);
      if (new_domain.has_value()) {
        this->Relocate(*group, *new_domain);
        continue;
      }
      const Group* donor = this->FindDonor(*group, handled);
      if (donor != nullptr) {
        handled.insert(donor);
        handled.insert(group);
        this->Dissolve(*donor);
      }
    }
  }

  /// Broken group of the same domain with the fewest survivors that suffice to
  /// complete `group`, and with no more survivors than `group` itself; null
  /// when there is none. Groups in `handled` are left out.
  [[nodiscard]] const Group* FindDonor(
      const Group& group, const std::set<const Group*>& handled) const {
    const std::size_t own_survivors = this->Survivors(group).size();
    const Domain domain = {group.data_centre, group.fabric_domain};
    const auto free_in_domain = this->free_hosts.find(domain);
    const std::size_t free_count = free_in_domain == this->free_hosts.end()
                                       ? 0
                                       : free_in_domain->second.size();
    const Group* best = nullptr;
    std::size_t fewest_survivors = 0;
    for (const Group* other : this->broken_groups) {
      const bool is_candidate = other != &group && handled.count(other) == 0 &&
                                other->data_centre == group.data_centre &&
                                other->fabric_domain == group.fabric_domain;
      if (!is_candidate) {
        continue;
      }
      const std::size_t survivors = this->Survivors(*other).size();
      const bool completes_group =
          own_survivors + free_count + survivors >= this->group_size;
      if (completes_group && survivors <= own_survivors &&
          (best == nullptr || survivors < fewest_survivors)) {
        best = other;
        fewest_survivors = survivors;
      }
    }
    return best;
  }

  void Relocate(const Group& group, const Domain& domain) {
    Group next = group;
    next.data_centre = domain.data_centre;
    next.fabric_domain = domain.name;
    this->Assign(next, this->TakeHosts(domain));
  }

  [[nodiscard]] std::vector<Member> TakeHosts(const Domain& domain) {
    std::vector<const Host*>& hosts = this->free_hosts[domain];
    std::vector<Member> members;
    for (std::size_t count = 0; count < this->group_size; ++count) {
      members.push_back(MemberOf(*hosts.back()));
      hosts.pop_back();
    }
    return members;
  }

  /// Domain with enough free hosts for a whole group: in the data centre with
  /// the fewest groups, then with the fewest free hosts. `data_centre` counts
  /// as having no groups. Under kFirstFit, the first such domain.
  [[nodiscard]] std::optional<Domain> PickDomain(
      const std::string& data_centre) const {
    const std::map<std::string, std::size_t> group_counts =
        this->GroupsByDataCentre();
    std::optional<Domain> best;
    std::size_t fewest_groups = 0;
    std::size_t best_free_count = 0;
    for (const auto& entry : this->free_hosts) {
      const std::size_t free_count = entry.second.size();
      if (free_count < this->group_size) {
        continue;
      }
      if (this->policy == Policy::kFirstFit) {
        return entry.first;
      }
      const auto counted = group_counts.find(entry.first.data_centre);
      std::size_t group_count =
          counted == group_counts.end() ? 0 : counted->second;
      if (entry.first.data_centre == data_centre) {
        group_count = 0;
      }
      const bool is_better =
          !best.has_value() || group_count < fewest_groups ||
          (group_count == fewest_groups && free_count < best_free_count);
      if (is_better) {
        best = entry.first;
        fewest_groups = group_count;
        best_free_count = free_count;
      }
    }
    return best;
  }

  /// Groups kept and groups newly formed by this plan, by data centre.
  [[nodiscard]] std::map<std::string, std::size_t> GroupsByDataCentre() const {
    std::map<std::string, std::size_t> group_counts;
    for (const Group* group : this->groups) {
      group_counts[group->data_centre] += 1;
    }
    for (const GroupChange& change : this->changes) {
      if (change.replaces == 0 && change.group.service == this->service.name) {
        group_counts[change.group.data_centre] += 1;
      }
    }
    return group_counts;
  }

  void FormMissing() {
    std::size_t count = this->groups.size();
    std::size_t number = 0;
    while (count < static_cast<std::size_t>(this->service.groups)) {
      const std::optional<Domain> domain = this->PickDomain(std::string());
      if (!domain.has_value()) {
        return;
      }
      Group group;
      group.name = this->NextName(number);
      group.service = this->service.name;
      group.data_centre = domain->data_centre;
      group.fabric_domain = domain->name;
      this->Assign(group, this->TakeHosts(*domain));
      ++count;
    }
  }

  /// Next unused group name; `number` is the last one tried.
  [[nodiscard]] std::string NextName(std::size_t& number) const {
    std::string name;
    do {
      ++number;
      name = this->service.name + "-" + std::to_string(number);
    } while (this->inventory.groups.count(name) > 0);
    return name;
  }

  const Inventory& inventory;
  const config::Service& service;
  const std::size_t group_size;
  const Policy policy;
  std::vector<GroupChange>& changes;
  HostsByDomain free_hosts;
  std::vector<const Group*> groups;
  std::vector<const Group*> broken_groups;
};

}  // namespace

std::vector<GroupChange> Plan(const Inventory& inventory, Policy policy) {
  std::vector<GroupChange> changes;
  for (const std::pair<const std::string, Group>& entry : inventory.groups) {
    if (inventory.services.count(entry.second.service) == 0) {
      GroupChange change;
      change.group = entry.second;
      change.group.members.clear();
      change.replaces = entry.second.fence;
      changes.push_back(std::move(change));
    }
  }
  for (const std::pair<const std::string, config::Service>& entry :
       inventory.services) {
    ServicePlanner(inventory, entry.second, policy, changes).Run();
  }
  return changes;
}

}  // namespace gooseberryturn::placement
