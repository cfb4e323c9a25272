#include "gooseberryturn/control/registry.h"

#include <utility>

namespace gooseberryturn::control {

void Registry::StartLeading(TimePoint now) {
  this->holders.clear();
  this->has_change = true;
  this->old_leases_expire_at = now + this->lease_with_drift;
}

namespace {

/// True when a renewal changes what the planner knows of a host.
bool AffectsPlan(const protocol::Renew& before, const protocol::Renew& after,
                 std::uint64_t release_index) {
  const protocol::HostReport& old = before.report;
  const protocol::HostReport& next = after.report;
  const bool has_acknowledged =
      before.known_index < release_index && after.known_index >= release_index;
  return before.incarnation != after.incarnation ||
         old.target_ready != next.target_ready || old.leaving != next.leaving ||
         old.drained != next.drained || has_acknowledged;
}

}  // namespace

void Registry::RecordRenewal(const protocol::Renew& renew,
                             std::uint64_t release_index, TimePoint now) {
  ViewHolder& holder = this->holders[renew.host];
  // Comparing the number of live hosts is not enough: one host may return just
  // when another is lost.
  this->has_change = this->has_change || !this->IsAlive(holder, now) ||
                     AffectsPlan(holder.last_renewal, renew, release_index);
  holder.last_renewal = renew;
  holder.lease_expires_at = now + this->lease_with_drift;
}

void Registry::RecordGrant(const std::string& host, TimePoint now) {
  const auto holder = this->holders.find(host);
  if (holder != this->holders.end()) {
    holder->second.lease_expires_at = now + this->lease_with_drift;
  }
}

bool Registry::TakeChange(TimePoint now) {
  std::size_t alive = 0;
  for (const std::pair<const std::string, ViewHolder>& entry : this->holders) {
    alive += this->IsAlive(entry.second, now) ? 1 : 0;
  }
  const bool result = this->has_change || alive != this->last_alive_count;
  this->has_change = false;
  this->last_alive_count = alive;
  return result;
}

void Registry::RemoveStale(TimePoint now) {
  for (auto holder = this->holders.begin(); holder != this->holders.end();) {
    const bool is_stale = now >= holder->second.lease_expires_at + kStaleAfter;
    holder = is_stale ? this->holders.erase(holder) : std::next(holder);
  }
}

std::int64_t Registry::LiveEntryCount(TimePoint now) const {
  std::int64_t count = 0;
  for (const std::pair<const std::string, ViewHolder>& entry : this->holders) {
    const bool is_entry =
        entry.second.last_renewal.role == protocol::Role::kEntry;
    count += is_entry && this->IsAlive(entry.second, now) ? 1 : 0;
  }
  return count;
}

std::vector<std::string> Registry::HostsBehind(std::uint64_t index,
                                               TimePoint now) const {
  std::vector<std::string> hosts;
  for (const std::pair<const std::string, ViewHolder>& entry : this->holders) {
    const ViewHolder& holder = entry.second;
    if (this->IsAlive(holder, now) && holder.last_renewal.known_index < index) {
      hosts.push_back(entry.first);
    }
  }
  return hosts;
}

placement::Inventory Registry::BuildInventory(const State& state,
                                              TimePoint now) const {
  placement::Inventory inventory;
  for (const auto& slot : state.services().slots) {
    inventory.services[slot.first] = slot.second.item;
  }
  std::map<std::string, bool> is_assigned;
  for (const auto& slot : state.groups().slots) {
    inventory.groups[slot.first] = slot.second.item;
    for (const protocol::Member& member : slot.second.item.members) {
      is_assigned[member.host] = true;
    }
  }
  for (const std::pair<const std::string, ViewHolder>& entry : this->holders) {
    const protocol::Renew& renew = entry.second.last_renewal;
    if (renew.role != protocol::Role::kAgent) {
      continue;
    }
    placement::Host host;
    host.name = entry.first;
    host.service = renew.report.service;
    host.data_centre = renew.data_centre;
    host.fabric_domain = renew.report.fabric_domain;
    host.incarnation = renew.incarnation;
    host.link = renew.report.link;
    host.is_usable = this->IsAlive(entry.second, now) &&
                     renew.report.target_ready && !renew.report.drained;
    host.is_free = is_assigned.count(host.name) == 0 &&
                   renew.known_index >= state.ReleaseIndex(host.name) &&
                   !renew.report.leaving &&
                   state.drained_hosts().count(host.name) == 0;
    inventory.hosts[host.name] = std::move(host);
  }
  return inventory;
}

}  // namespace gooseberryturn::control
