#include "gooseberryturn/control/registry.h"

#include <utility>

namespace gooseberryturn::control {

void Registry::StartLeading(TimePoint now) {
  this->known.clear();
  this->has_changed = true;
  this->settled_at = now + this->lease;
}

namespace {

/// Whether the planner would see a host differently.
bool MattersToPlanner(const protocol::Renew& before,
                      const protocol::Renew& after, std::uint64_t released_at) {
  const protocol::HostReport& old = before.report;
  const protocol::HostReport& next = after.report;
  const bool has_acknowledged =
      before.known_index < released_at && after.known_index >= released_at;
  return before.incarnation != after.incarnation ||
         old.target_ready != next.target_ready || old.leaving != next.leaving ||
         old.drained != next.drained || has_acknowledged;
}

}  // namespace

void Registry::Heard(const protocol::Renew& renew, std::uint64_t released_at,
                     TimePoint now) {
  Watcher& watcher = this->known[renew.host];
  // A host that returns may make up for one that is lost in the same moment,
  // so the number of live hosts alone does not tell.
  this->has_changed = this->has_changed || !this->IsAlive(watcher, now) ||
                      MattersToPlanner(watcher.last, renew, released_at);
  watcher.last = renew;
  watcher.lost_at = now + this->lease;
}

void Registry::Granted(const std::string& host, TimePoint now) {
  const auto watcher = this->known.find(host);
  if (watcher != this->known.end()) {
    watcher->second.lost_at = now + this->lease;
  }
}

bool Registry::TakeChanged(TimePoint now) {
  std::size_t alive = 0;
  for (const std::pair<const std::string, Watcher>& entry : this->known) {
    alive += this->IsAlive(entry.second, now) ? 1 : 0;
  }
  const bool result = this->has_changed || alive != this->alive_before;
  this->has_changed = false;
  this->alive_before = alive;
  return result;
}

void Registry::Forget(TimePoint now) {
  for (auto watcher = this->known.begin(); watcher != this->known.end();) {
    const bool is_gone = now >= watcher->second.lost_at + kForgetAfter;
    watcher = is_gone ? this->known.erase(watcher) : std::next(watcher);
  }
}

std::int64_t Registry::EntryCount(TimePoint now) const {
  std::int64_t count = 0;
  for (const std::pair<const std::string, Watcher>& entry : this->known) {
    const bool is_entry = entry.second.last.role == protocol::Role::kEntry;
    count += is_entry && this->IsAlive(entry.second, now) ? 1 : 0;
  }
  return count;
}

std::vector<std::string> Registry::Behind(std::uint64_t index,
                                          TimePoint now) const {
  std::vector<std::string> hosts;
  for (const std::pair<const std::string, Watcher>& entry : this->known) {
    const Watcher& watcher = entry.second;
    if (this->IsAlive(watcher, now) && watcher.last.known_index < index) {
      hosts.push_back(entry.first);
    }
  }
  return hosts;
}

placement::Inventory Registry::Inventory(const State& state,
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
  for (const std::pair<const std::string, Watcher>& entry : this->known) {
    const protocol::Renew& renew = entry.second.last;
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
                   renew.known_index >= state.ReleasedAt(host.name) &&
                   !renew.report.leaving &&
                   state.drained_hosts().count(host.name) == 0;
    inventory.hosts[host.name] = std::move(host);
  }
  return inventory;
}

}  // namespace gooseberryturn::control
