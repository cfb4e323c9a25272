#include "gooseberryturn/placement/planner.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace gooseberryturn::placement {

namespace {

using protocol::Group;
using protocol::Member;

/// One fabric domain of one data centre.
struct Domain {
  std::string data_centre;
  std::string name;

  bool operator<(const Domain& other) const {
    return this->data_centre != other.data_centre
               ? this->data_centre < other.data_centre
               : this->name < other.name;
  }
};

using FreeHosts = std::map<Domain, std::vector<const Host*>>;

Member MemberOf(const Host& host) {
  return {host.name, host.incarnation, host.link};
}

/// Plans the groups of one service.
class ServicePlanner {
 public:
  ServicePlanner(const Inventory& inventory, const config::Service& service,
                 Policy policy, std::vector<GroupChange>& moves)
      : inventory(inventory),
        service(service),
        size(static_cast<std::size_t>(service.hosts_per_group)),
        policy(policy),
        moves(moves) {
    for (const std::pair<const std::string, Host>& entry : inventory.hosts) {
      const Host& host = entry.second;
      if (host.service == service.name && host.is_usable && host.is_free) {
        this->free[{host.data_centre, host.fabric_domain}].push_back(&host);
      }
    }
    for (const std::pair<const std::string, Group>& entry : inventory.groups) {
      if (entry.second.service == service.name) {
        this->groups.push_back(&entry.second);
      }
    }
  }

  void Run() {
    this->DropSurplus();
    for (const Group* group : this->groups) {
      this->Mend(*group);
    }
    this->Consolidate();
    this->FormMissing();
  }

 private:
  /// Dissolves groups of the wrong size and those over the wanted count.
  void DropSurplus() {
    std::vector<const Group*> kept;
    for (const Group* group : this->groups) {
      const bool is_wanted =
          group->members.size() == this->size &&
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
    GroupChange move;
    move.group = group;
    move.group.members.clear();
    move.replaces = group.fence;
    this->moves.push_back(std::move(move));
  }

  void Assign(const Group& group, std::vector<Member> members) {
    GroupChange move;
    move.group = group;
    move.group.members = std::move(members);
    move.replaces = group.fence;
    this->moves.push_back(std::move(move));
  }

  /// Members that still can serve, under their present incarnations.
  [[nodiscard]] std::vector<Member> Survivors(const Group& group) const {
    std::vector<Member> survivors;
    for (const Member& member : group.members) {
      const auto host = this->inventory.hosts.find(member.host);
      const bool is_here = host != this->inventory.hosts.end() &&
                           host->second.is_usable &&
                           host->second.data_centre == group.data_centre &&
                           host->second.fabric_domain == group.fabric_domain;
      if (is_here) {
        survivors.push_back(MemberOf(host->second));
      }
    }
    return survivors;
  }

  void Mend(const Group& group) {
    std::vector<Member> members = this->Survivors(group);
    if (members == group.members) {
      return;
    }
    const std::size_t missing = this->size - members.size();
    if (this->policy == Policy::kFirstFit && missing > 0) {
      this->Dissolve(group);
      return;
    }
    std::vector<const Host*>& spares =
        this->free[{group.data_centre, group.fabric_domain}];
    if (spares.size() >= missing) {
      for (std::size_t count = 0; count < missing; ++count) {
        members.push_back(MemberOf(*spares.back()));
        spares.pop_back();
      }
      this->Assign(group, std::move(members));
      return;
    }
    this->broken.push_back(&group);
  }

  /// Takes the survivors of the worst broken group of a domain for the
  /// others, or moves a group to a domain with room for all of it.
  void Consolidate() {
    std::set<const Group*> donors;
    for (const Group* group : this->broken) {
      if (donors.count(group) > 0) {
        continue;
      }
      const std::optional<Domain> room = this->PickDomain(group->data_centre);
      if (room.has_value()) {
        this->MoveTo(*group, *room);
        continue;
      }
      const Group* donor = this->FindDonor(*group, donors);
      if (donor != nullptr) {
        donors.insert(donor);
        donors.insert(group);
        this->Dissolve(*donor);
      }
    }
  }

  [[nodiscard]] const Group* FindDonor(
      const Group& group, const std::set<const Group*>& used) const {
    const std::size_t own = this->Survivors(group).size();
    const Domain place = {group.data_centre, group.fabric_domain};
    const auto spares = this->free.find(place);
    const std::size_t spare_count =
        spares == this->free.end() ? 0 : spares->second.size();
    const Group* best = nullptr;
    std::size_t best_size = 0;
    for (const Group* other : this->broken) {
      const bool is_candidate = other != &group && used.count(other) == 0 &&
                                other->data_centre == group.data_centre &&
                                other->fabric_domain == group.fabric_domain;
      if (!is_candidate) {
        continue;
      }
      const std::size_t gift = this->Survivors(*other).size();
      const bool is_enough = own + spare_count + gift >= this->size;
      if (is_enough && gift <= own && (best == nullptr || gift < best_size)) {
        best = other;
        best_size = gift;
      }
    }
    return best;
  }

  void MoveTo(const Group& group, const Domain& domain) {
    Group next = group;
    next.data_centre = domain.data_centre;
    next.fabric_domain = domain.name;
    this->Assign(next, this->TakeHosts(domain));
  }

  [[nodiscard]] std::vector<Member> TakeHosts(const Domain& domain) {
    std::vector<const Host*>& hosts = this->free[domain];
    std::vector<Member> members;
    for (std::size_t count = 0; count < this->size; ++count) {
      members.push_back(MemberOf(*hosts.back()));
      hosts.pop_back();
    }
    return members;
  }

  /// Domain with room for a whole group; `data_centre` goes first when set.
  [[nodiscard]] std::optional<Domain> PickDomain(
      const std::string& data_centre) const {
    const std::map<std::string, std::size_t> load = this->GroupsByDataCentre();
    std::optional<Domain> best;
    std::size_t best_load = 0;
    std::size_t best_room = 0;
    for (const auto& entry : this->free) {
      const std::size_t room = entry.second.size();
      if (room < this->size) {
        continue;
      }
      if (this->policy == Policy::kFirstFit) {
        return entry.first;
      }
      const auto known = load.find(entry.first.data_centre);
      std::size_t groups_there = known == load.end() ? 0 : known->second;
      if (entry.first.data_centre == data_centre) {
        groups_there = 0;
      }
      const bool is_better = !best.has_value() || groups_there < best_load ||
                             (groups_there == best_load && room < best_room);
      if (is_better) {
        best = entry.first;
        best_load = groups_there;
        best_room = room;
      }
    }
    return best;
  }

  [[nodiscard]] std::map<std::string, std::size_t> GroupsByDataCentre() const {
    std::map<std::string, std::size_t> load;
    for (const Group* group : this->groups) {
      load[group->data_centre] += 1;
    }
    for (const GroupChange& move : this->moves) {
      if (move.replaces == 0 && move.group.service == this->service.name) {
        load[move.group.data_centre] += 1;
      }
    }
    return load;
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
  const std::size_t size;
  const Policy policy;
  std::vector<GroupChange>& moves;
  FreeHosts free;
  std::vector<const Group*> groups;
  std::vector<const Group*> broken;
};

}  // namespace

std::vector<GroupChange> Plan(const Inventory& inventory, Policy policy) {
  std::vector<GroupChange> moves;
  for (const std::pair<const std::string, Group>& entry : inventory.groups) {
    if (inventory.services.count(entry.second.service) == 0) {
      GroupChange move;
      move.group = entry.second;
      move.group.members.clear();
      move.replaces = entry.second.fence;
      moves.push_back(std::move(move));
    }
  }
  for (const std::pair<const std::string, config::Service>& entry :
       inventory.services) {
    ServicePlanner(inventory, entry.second, policy, moves).Run();
  }
  return moves;
}

}  // namespace gooseberryturn::placement
