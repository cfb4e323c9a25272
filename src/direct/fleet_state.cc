#include "gooseberryturn/direct/fleet_state.h"

#include <optional>
#include <utility>

#include "gooseberryturn/core/compression.h"
#include "gooseberryturn/direct/configuration_text.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

namespace {

constexpr std::size_t kMaxSnapshotBytes = 64U * 1024U * 1024U;

void LogSkipped(const GroupView& group) {
  observe::LogEvent(observe::Level::kError, "", "group_not_readable",
                    {{"group", group.name}});
}

}  // namespace

void FleetState::Apply(const consensus::Entry& entry) {
  this->applied = entry.index;
  if (entry.kind != consensus::EntryKind::kCommand) {
    return;
  }
  const std::optional<FleetCommand> command =
      protocol::Decode<FleetCommand>(entry.data);
  if (!command.has_value()) {
    observe::LogEvent(observe::Level::kError, "", "command_not_readable",
                      {{"index", std::to_string(entry.index)}});
    return;
  }
  switch (command->kind) {
    case FleetCommandKind::kPutConfiguration:
      this->PutConfiguration(*command);
      break;
    case FleetCommandKind::kEvacuate:
      this->SetEvacuated(*command, entry.index);
      break;
    case FleetCommandKind::kFleetDelta:
      this->ApplyDelta(command->delta);
      break;
    case FleetCommandKind::kSuspects:
      this->known_suspects = command->suspects;
      break;
    case FleetCommandKind::kTakeDuties:
      this->holder = {command->duty_host, entry.index};
      break;
    case FleetCommandKind::kAddUsage:
      for (const duty::EntryUsage& totals : command->usage.totals) {
        this->usage_record.AddTotals(totals);
      }
      break;
    case FleetCommandKind::kCloseUsage:
      this->usage_record.CloseWindow(command->usage.window,
                                     command->usage.counts);
      break;
    case FleetCommandKind::kAcknowledgeUsage:
      this->usage_record.Acknowledge(command->usage.window);
      break;
  }
}

consensus::Index FleetState::Revision(const std::string& data_centre) const {
  const auto known = this->revisions.find(data_centre);
  return known == this->revisions.end() ? 0 : known->second;
}

void FleetState::SetEvacuated(const FleetCommand& command,
                              consensus::Index index) {
  const consensus::Index current = this->Revision(command.data_centre);
  // Without a revision any order applies: a snapshot of an earlier build has
  // none, and all replicas must decide alike.
  const bool is_overtaken =
      command.is_conditional && current != 0 && current != command.revision;
  if (is_overtaken) {
    return;
  }
  if (command.is_evacuated) {
    this->evacuated_data_centres.insert(command.data_centre);
  } else {
    this->evacuated_data_centres.erase(command.data_centre);
  }
  if (command.is_conditional) {
    this->revisions[command.data_centre] = index;
  }
}

void FleetState::PutConfiguration(const FleetCommand& command) {
  if (command.version <= this->config_version) {
    return;
  }
  if (!IsCompressed(command.text)) {
    this->config_version = command.version;
    this->config_text = command.text;
    return;
  }
  Result<std::string> text = Decompress(command.text, kMaxConfigurationBytes);
  if (!text.has_value()) {
    observe::LogEvent(observe::Level::kError, "", "configuration_not_readable",
                      observe::FieldsOf(text.error()));
    return;
  }
  this->config_version = command.version;
  this->config_text = std::move(*text);
}

void FleetState::ApplyDelta(const FleetDelta& delta) {
  for (const TargetView& target : delta.targets) {
    this->known_targets[target.name] = target;
  }
  for (const std::string& name : delta.removed_targets) {
    this->known_targets.erase(name);
  }
  for (const GroupView& group : delta.groups) {
    if (group.IsValid()) {
      this->known_groups[group.name] = group;
    } else {
      LogSkipped(group);
    }
  }
  for (const std::string& name : delta.removed_groups) {
    this->known_groups.erase(name);
  }
}

std::string FleetState::Save() const {
  return Compress(protocol::Encode(*this));
}

bool FleetState::Load(const std::string& bytes) {
  Result<std::string> encoded = bytes;
  if (IsCompressed(bytes)) {
    encoded = Decompress(bytes, kMaxSnapshotBytes);
  }
  if (!encoded.has_value()) {
    return false;
  }
  const std::optional<FleetState> loaded =
      protocol::Decode<FleetState>(*encoded);
  if (!loaded.has_value()) {
    return false;
  }
  *this = *loaded;
  for (auto entry = this->known_groups.begin();
       entry != this->known_groups.end();) {
    if (entry->second.IsValid()) {
      ++entry;
      continue;
    }
    LogSkipped(entry->second);
    entry = this->known_groups.erase(entry);
  }
  return true;
}

}  // namespace gooseberryturn::direct
