#include "gooseberryturn/control/state.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::control {

using protocol::Decode;

namespace {

template <typename Item>
std::string Encoded(const Item& item) {
  return protocol::Encode(item);
}

/// Makes `items` hold exactly `wanted`. Items that are equal keep the index of
/// their last change.
template <typename Item>
void ReplaceAll(const std::vector<Item>& wanted, std::uint64_t index,
                VersionedMap<Item>& items) {
  std::set<std::string> names;
  for (const Item& item : wanted) {
    names.insert(item.name);
    const Item* old = items.Find(item.name);
    if (old == nullptr || Encoded(*old) != Encoded(item)) {
      items.Put(item, index);
    }
  }
  std::vector<std::string> removed;
  for (const auto& slot : items.slots) {
    if (names.count(slot.first) == 0) {
      removed.push_back(slot.first);
    }
  }
  for (const std::string& name : removed) {
    items.Remove(name, index);
  }
}

bool HasMember(const protocol::Group& group, const std::string& host) {
  return std::any_of(
      group.members.begin(), group.members.end(),
      [&host](const protocol::Member& member) { return member.host == host; });
}

/// Removes everything an agent does not need: it keeps its own service, data
/// centre and group.
void FilterForAgent(const Viewer& viewer, protocol::ViewDelta& delta) {
  const auto keep_only = [](auto& items, const auto& is_wanted) {
    items.erase(std::remove_if(items.begin(), items.end(),
                               [&is_wanted](const auto& item) {
                                 return !is_wanted(item);
                               }),
                items.end());
  };
  delta.teams.clear();
  delta.removed_teams.clear();
  delta.suspects.clear();
  delta.removed_suspects.clear();
  keep_only(delta.services, [&viewer](const config::Service& service) {
    return service.name == viewer.service;
  });
  keep_only(delta.data_centres,
            [&viewer](const protocol::DataCentreState& data_centre) {
              return data_centre.name == viewer.data_centre;
            });
  for (const protocol::Group& group : delta.groups) {
    const bool is_same_service = group.service == viewer.service;
    if (is_same_service && !HasMember(group, viewer.host) && delta.from != 0) {
      delta.removed_groups.push_back(group.name);
    }
  }
  keep_only(delta.groups, [&viewer](const protocol::Group& group) {
    return HasMember(group, viewer.host);
  });
}

}  // namespace

// ----------------------------------------------------------------- commands

CommandResult State::Apply(std::uint64_t index, const std::string& bytes) {
  this->applied = index;
  CommandResult result;
  const std::optional<Command> command = Decode<Command>(bytes);
  if (!command.has_value()) {
    result.change = this->Reject("not a command");
    return result;
  }
  // A body that cannot be decoded is applied as a command of its kind with
  // default values.
  const std::string& body = command->body;
  switch (command->kind) {
    case CommandKind::kApplyDocument:
      result.change = this->OnApplyDocument(
          Decode<ApplyDocument>(body).value_or(ApplyDocument{}));
      break;
    case CommandKind::kSetDataCentre:
      result.change = this->OnSetDataCentre(
          Decode<SetDataCentre>(body).value_or(SetDataCentre{}));
      break;
    case CommandKind::kSetDrain:
      result.change =
          this->OnSetDrain(Decode<SetDrain>(body).value_or(SetDrain{}));
      break;
    case CommandKind::kAssignGroup:
      result.change = this->OnAssignGroup(
          Decode<AssignGroup>(body).value_or(AssignGroup{}));
      break;
    case CommandKind::kRemoveGroup:
      result.change = this->OnRemoveGroup(
          Decode<RemoveGroup>(body).value_or(RemoveGroup{}));
      break;
    case CommandKind::kClaim: {
      const ClaimKey claim = Decode<ClaimKey>(body).value_or(ClaimKey{});
      result.claim = this->claim_table.Claim(claim.claim, claim.now_ms);
      break;
    }
    case CommandKind::kSettle: {
      const SettleKey settle = Decode<SettleKey>(body).value_or(SettleKey{});
      result.settle = this->claim_table.Settle(settle.settle, settle.now_ms);
      break;
    }
    case CommandKind::kReportDeath:
      result.change = this->OnDeathReport(
          Decode<ReportDeath>(body).value_or(ReportDeath{}));
      break;
    case CommandKind::kClearQuarantine:
      result.change = this->OnClearQuarantine(
          Decode<ClearQuarantine>(body).value_or(ClearQuarantine{}));
      break;
  }
  return result;
}

ChangeResult State::Accept() const {
  return {true, this->version, this->applied, std::string()};
}

ChangeResult State::Reject(const std::string& message) const {
  return {false, this->version, this->applied, message};
}

const ChangeResult* State::FindChange(const std::string& change_id) const {
  const auto found = this->change_results.find(change_id);
  return found == this->change_results.end() ? nullptr : &found->second;
}

ChangeResult State::RecordChange(const std::string& change_id,
                                 ChangeResult result) {
  if (change_id.empty()) {
    return result;
  }
  this->change_results[change_id] = result;
  this->change_order.push_back(change_id);
  if (this->change_order.size() > kMaxChangeResults) {
    this->change_results.erase(this->change_order.front());
    this->change_order.pop_front();
  }
  return result;
}

ChangeResult State::OnApplyDocument(const ApplyDocument& command) {
  const ChangeResult* previous = this->FindChange(command.change_id);
  if (previous != nullptr) {
    return *previous;
  }
  if (command.base != this->version) {
    return this->RecordChange(
        command.change_id,
        this->Reject("base version " + std::to_string(command.base) +
                     " is not the current version " +
                     std::to_string(this->version)));
  }
  const tl::expected<config::Document, config::Faults> document =
      config::ParseDocument(command.text);
  if (!document.has_value()) {
    return this->RecordChange(command.change_id,
                              this->Reject("the document has faults"));
  }
  this->version += 1;
  this->text = command.text;
  this->last_view_change = this->applied;
  this->PutDocument(*document);
  return this->RecordChange(command.change_id, this->Accept());
}

void State::PutDocument(const config::Document& document) {
  ReplaceAll(document.services, this->applied, this->service_items);
  ReplaceAll(document.teams, this->applied, this->team_items);
  std::vector<protocol::DataCentreState> data_centres;
  for (const config::DataCentre& data_centre : document.data_centres) {
    const protocol::DataCentreState* old =
        this->data_centre_items.Find(data_centre.name);
    // Only an operator's command takes a data centre out or returns it; a
    // document never does.
    const bool is_out = old != nullptr && old->out;
    data_centres.push_back({data_centre.name, data_centre.region, is_out});
  }
  // A data centre that is out stays even when the document no longer lists it.
  // Otherwise listing it again would return it to service.
  for (const auto& slot : this->data_centre_items.slots) {
    const bool is_removed =
        std::none_of(data_centres.begin(), data_centres.end(),
                     [&slot](const protocol::DataCentreState& data_centre) {
                       return data_centre.name == slot.first;
                     });
    if (is_removed && slot.second.item.out) {
      data_centres.push_back(slot.second.item);
    }
  }
  ReplaceAll(data_centres, this->applied, this->data_centre_items);
}

ChangeResult State::OnSetDataCentre(const SetDataCentre& command) {
  const ChangeResult* previous = this->FindChange(command.change_id);
  if (previous != nullptr) {
    return *previous;
  }
  const protocol::DataCentreState* data_centre =
      this->data_centre_items.Find(command.name);
  if (data_centre == nullptr) {
    return this->RecordChange(
        command.change_id, this->Reject("unknown data centre " + command.name));
  }
  std::size_t remaining = 0;
  for (const auto& slot : this->data_centre_items.slots) {
    remaining += !slot.second.item.out && slot.first != command.name ? 1 : 0;
  }
  if (command.out && remaining == 0 && !command.force) {
    return this->RecordChange(
        command.change_id,
        this->Reject(command.name + " is the last data centre; use --force"));
  }
  protocol::DataCentreState next = *data_centre;
  next.out = command.out;
  this->data_centre_items.Put(next, this->applied);
  this->last_view_change = this->applied;
  return this->RecordChange(command.change_id, this->Accept());
}

ChangeResult State::OnSetDrain(const SetDrain& command) {
  const ChangeResult* previous = this->FindChange(command.change_id);
  if (previous != nullptr) {
    return *previous;
  }
  if (command.drain) {
    this->drained_host_names.insert(command.host);
  } else {
    this->drained_host_names.erase(command.host);
  }
  return this->RecordChange(command.change_id, this->Accept());
}

// ------------------------------------------------------------------- groups

void State::ReleaseMembers(const std::string& group) {
  const protocol::Group* old = this->group_items.Find(group);
  if (old == nullptr) {
    return;
  }
  for (const protocol::Member& member : old->members) {
    this->group_of_host.erase(member.host);
    this->release_index[member.host] = this->applied;
  }
}

ChangeResult State::OnAssignGroup(const AssignGroup& command) {
  const protocol::Group* old = this->group_items.Find(command.group.name);
  const std::uint64_t fence = old == nullptr ? 0 : old->fence;
  if (fence != command.replaces || command.group.members.empty()) {
    return this->Reject("the group changed in the meantime");
  }
  std::set<std::string> hosts;
  for (const protocol::Member& member : command.group.members) {
    const auto current_group = this->group_of_host.find(member.host);
    const bool is_taken = current_group != this->group_of_host.end() &&
                          current_group->second != command.group.name;
    // A host that the new group lists twice is rejected with the same text.
    if (is_taken || !hosts.insert(member.host).second) {
      return this->Reject("host " + member.host + " belongs to a group");
    }
  }
  this->ReleaseMembers(command.group.name);
  protocol::Group group = command.group;
  group.fence = this->applied;
  for (const protocol::Member& member : group.members) {
    this->group_of_host[member.host] = group.name;
    this->release_index.erase(member.host);
  }
  this->group_items.Put(group, this->applied);
  this->last_view_change = this->applied;
  return this->Accept();
}

ChangeResult State::OnRemoveGroup(const RemoveGroup& command) {
  const protocol::Group* old = this->group_items.Find(command.name);
  if (old == nullptr || old->fence != command.fence) {
    return this->Reject("the group changed in the meantime");
  }
  this->ReleaseMembers(command.name);
  this->group_items.Remove(command.name, this->applied);
  this->last_view_change = this->applied;
  return this->Accept();
}

std::uint64_t State::ReleaseIndex(const std::string& host) const {
  const auto found = this->release_index.find(host);
  return found == this->release_index.end() ? 0 : found->second;
}

// --------------------------------------------------------------- quarantine

void State::DropSuspect(const std::string& fingerprint) {
  this->suspect_items.Remove(fingerprint, this->applied);
  this->death_ids.erase(fingerprint);
  this->suspect_order.erase(std::remove(this->suspect_order.begin(),
                                        this->suspect_order.end(), fingerprint),
                            this->suspect_order.end());
}

ChangeResult State::OnDeathReport(const ReportDeath& command) {
  for (const std::string& fingerprint : command.fingerprints) {
    const protocol::Suspect* suspect = this->suspect_items.Find(fingerprint);
    if (command.death == 0) {
      const bool is_cleared =
          suspect != nullptr && suspect->deaths < protocol::kQuarantineDeaths;
      if (is_cleared) {
        this->DropSuspect(fingerprint);
      }
      continue;
    }
    if (suspect == nullptr) {
      this->suspect_order.push_back(fingerprint);
    }
    std::set<std::uint64_t>& known_deaths = this->death_ids[fingerprint];
    known_deaths.insert(command.death);
    this->suspect_items.Put({fingerprint, known_deaths.size()}, this->applied);
    if (this->suspect_order.size() > kMaxSuspects) {
      const std::string oldest = this->suspect_order.front();
      this->DropSuspect(oldest);
    }
  }
  this->last_view_change = this->applied;
  return this->Accept();
}

ChangeResult State::OnClearQuarantine(const ClearQuarantine& command) {
  const ChangeResult* previous = this->FindChange(command.change_id);
  if (previous != nullptr) {
    return *previous;
  }
  if (this->suspect_items.Find(command.fingerprint) == nullptr) {
    return this->RecordChange(
        command.change_id,
        this->Reject("no quarantined request " + command.fingerprint));
  }
  this->DropSuspect(command.fingerprint);
  this->last_view_change = this->applied;
  return this->RecordChange(command.change_id, this->Accept());
}

// -------------------------------------------------------------------- views

protocol::ViewDelta State::DeltaSince(std::uint64_t from,
                                      const Viewer& viewer) const {
  protocol::ViewDelta delta;
  delta.from = from <= this->applied ? from : 0;
  delta.to = this->applied;
  if (delta.from >= this->last_view_change && delta.from != 0) {
    return delta;
  }
  this->service_items.CollectChanges(delta.from, delta.services,
                                     delta.removed_services);
  this->team_items.CollectChanges(delta.from, delta.teams, delta.removed_teams);
  this->data_centre_items.CollectChanges(delta.from, delta.data_centres,
                                         delta.removed_data_centres);
  this->group_items.CollectChanges(delta.from, delta.groups,
                                   delta.removed_groups);
  this->suspect_items.CollectChanges(delta.from, delta.suspects,
                                     delta.removed_suspects);
  if (viewer.role == protocol::Role::kAgent) {
    FilterForAgent(viewer, delta);
  }
  return delta;
}

std::string State::Save() const { return protocol::Encode(*this); }

bool State::Load(const std::string& bytes) {
  std::optional<State> loaded = Decode<State>(bytes);
  if (!loaded.has_value()) {
    return false;
  }
  *this = std::move(*loaded);
  return true;
}

}  // namespace gooseberryturn::control
