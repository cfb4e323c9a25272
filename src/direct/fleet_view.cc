#include "gooseberryturn/direct/fleet_view.h"

#include <algorithm>
#include <utility>

#include "gooseberryturn/direct/request_content.h"

namespace gooseberryturn::direct {

void FleetView::Apply(const FleetUpdate& update,
                      std::shared_ptr<const RouteTable> configuration) {
  this->newest_version = std::max(this->newest_version, update.config_version);
  if (configuration != nullptr &&
      update.config_version > this->config_version) {
    this->table = std::move(configuration);
    this->config_version = update.config_version;
  }
  if (update.is_full) {
    this->targets.clear();
    this->groups.clear();
  }
  for (const TargetView& view : update.targets) {
    this->targets[view.name] = view;
  }
  for (const std::string& name : update.removed_targets) {
    this->targets.erase(name);
  }
  for (const GroupView& view : update.groups) {
    if (view.IsValid()) {
      this->groups[view.name] = view;
    }
  }
  for (const std::string& name : update.removed_groups) {
    this->groups.erase(name);
  }
  this->evacuated = {update.evacuated.begin(), update.evacuated.end()};
  this->quarantined = {update.quarantined.begin(), update.quarantined.end()};
  this->has_quarantined_requests = std::any_of(
      this->quarantined.begin(), this->quarantined.end(),
      [](const std::string& content) { return !IsPartContentId(content); });
  this->watched = {update.watched.begin(), update.watched.end()};
  this->held.clear();
  for (const HeldContent& suspect : update.held) {
    this->held[suspect.content] = suspect;
  }
  this->entry_count = update.entries;
}

const HeldContent* FleetView::FindHeld(const std::string& content) const {
  const auto found = this->held.find(content);
  return found == this->held.end() ? nullptr : &found->second;
}

const TargetView* FleetView::FindTarget(const std::string& id) const {
  const auto found = this->targets.find(id);
  return found == this->targets.end() ? nullptr : &found->second;
}

std::vector<const TargetView*> FleetView::Heads(
    const std::string& service, const ModelProfile& model) const {
  std::vector<const TargetView*> heads;
  for (const std::pair<const std::string, GroupView>& entry : this->groups) {
    const GroupView& group = entry.second;
    if (group.phase != GroupPhase::kOpen || group.service != service ||
        group.model != model.name || group.members.size() != model.size) {
      continue;
    }
    const TargetView* head = this->FindTarget(group.members.front());
    if (head != nullptr && !head->is_leaving &&
        this->evacuated.count(head->data_centre) == 0) {
      heads.push_back(head);
    }
  }
  return heads;
}

bool FleetView::IsGroupStarting(const std::string& service,
                                const std::string& model) const {
  return std::any_of(
      this->groups.begin(), this->groups.end(),
      [&service, &model](const std::pair<const std::string, GroupView>& entry) {
        const GroupView& group = entry.second;
        const bool is_starting = group.phase == GroupPhase::kForming ||
                                 group.phase == GroupPhase::kOpening;
        return is_starting && group.service == service && group.model == model;
      });
}

std::vector<const TargetView*> FleetView::PlainTargets(
    const std::string& service) const {
  std::vector<const TargetView*> found;
  for (const std::pair<const std::string, TargetView>& entry : this->targets) {
    const TargetView& target = entry.second;
    if (target.service == service && !target.is_leaving &&
        this->evacuated.count(target.data_centre) == 0) {
      found.push_back(&target);
    }
  }
  return found;
}

const GroupView* FleetView::GroupOfHead(const std::string& target) const {
  for (const std::pair<const std::string, GroupView>& entry : this->groups) {
    if (entry.second.members.front() == target &&
        entry.second.phase != GroupPhase::kDissolving) {
      return &entry.second;
    }
  }
  return nullptr;
}

bool FleetView::IsBroken(const std::string& target) const {
  bool is_broken = false;
  for (const std::pair<const std::string, GroupView>& entry : this->groups) {
    if (entry.second.members.front() != target) {
      continue;
    }
    if (entry.second.phase != GroupPhase::kDissolving) {
      return false;
    }
    is_broken = true;
  }
  return is_broken;
}

}  // namespace gooseberryturn::direct
