#ifndef GOOSEBERRYTURN_CONTROL_STATE_H_
#define GOOSEBERRYTURN_CONTROL_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <msgpack.hpp>
#include <set>
#include <string>

#include "gooseberryturn/config/document.h"
#include "gooseberryturn/control/claim_table.h"
#include "gooseberryturn/control/command.h"
#include "gooseberryturn/control/versioned_map.h"
#include "gooseberryturn/protocol/message.h"
#include "gooseberryturn/protocol/view.h"

namespace gooseberryturn::control {

/// \brief The entry or agent that a view is made for; decides what the view
/// contains.
struct Viewer {
  protocol::Role role = protocol::Role::kEntry;
  std::string host;
  std::string service;
  std::string data_centre;
};

/// \brief The replicated state machine of the control hosts.
///
/// \details Deterministic: it reads no clock and no random numbers, so the same
/// commands in the same order produce the same state on every replica.
class State {
 public:
  /// \brief Applies the encoded command `bytes` at log index `index`.
  [[nodiscard]] CommandResult Apply(std::uint64_t index,
                                    const std::string& bytes);
  /// \brief Records that an entry without a command was applied.
  void Skip(std::uint64_t index) noexcept { this->applied = index; }

  /// \brief What changed in the view of `viewer` after log index `from`.
  ///
  /// \details The delta holds the whole view when `from` is zero or is later
  /// than the last applied index.
  [[nodiscard]] protocol::ViewDelta DeltaSince(std::uint64_t from,
                                               const Viewer& viewer) const;

  /// \brief Serializes the state for a snapshot.
  [[nodiscard]] std::string Save() const;
  /// \brief Replaces the state by a serialized one.
  /// \returns False when `bytes` cannot be decoded; the state is unchanged.
  [[nodiscard]] bool Load(const std::string& bytes);

  [[nodiscard]] std::uint64_t applied_index() const noexcept {
    return this->applied;
  }
  /// \brief Log index of the last command that changed a view.
  [[nodiscard]] std::uint64_t view_index() const noexcept {
    return this->last_view_change;
  }
  [[nodiscard]] std::uint64_t document_version() const noexcept {
    return this->version;
  }
  [[nodiscard]] const std::string& document_text() const noexcept {
    return this->text;
  }
  [[nodiscard]] const VersionedMap<config::Service>& services() const noexcept {
    return this->service_items;
  }
  [[nodiscard]] const VersionedMap<config::Team>& teams() const noexcept {
    return this->team_items;
  }
  [[nodiscard]] const VersionedMap<protocol::DataCentreState>& data_centres()
      const noexcept {
    return this->data_centre_items;
  }
  [[nodiscard]] const VersionedMap<protocol::Group>& groups() const noexcept {
    return this->group_items;
  }
  [[nodiscard]] const VersionedMap<protocol::Suspect>& suspects()
      const noexcept {
    return this->suspect_items;
  }
  [[nodiscard]] const std::set<std::string>& drained_hosts() const noexcept {
    return this->drained_host_names;
  }
  [[nodiscard]] const ClaimTable& claims() const noexcept {
    return this->claim_table;
  }
  /// \brief Log index at which `host` last left a group; 0 when it is in a
  /// group now or never was in one.
  [[nodiscard]] std::uint64_t ReleaseIndex(const std::string& host) const;

  /// \brief Results of operators' commands kept for resends; the oldest are
  /// dropped first.
  static constexpr std::size_t kMaxChangeResults = 4096;
  /// \brief Suspect requests kept; the oldest are dropped first.
  static constexpr std::size_t kMaxSuspects = 4096;

 private:
  /// Keeps `result` for resends of the command with the same change id; does
  /// nothing when the id is empty.
  [[nodiscard]] ChangeResult RecordChange(const std::string& change_id,
                                          ChangeResult result);
  /// The result of an earlier command with this change id, or nullptr.
  [[nodiscard]] const ChangeResult* FindChange(
      const std::string& change_id) const;
  [[nodiscard]] ChangeResult OnApplyDocument(const ApplyDocument& command);
  [[nodiscard]] ChangeResult OnSetDataCentre(const SetDataCentre& command);
  [[nodiscard]] ChangeResult OnSetDrain(const SetDrain& command);
  [[nodiscard]] ChangeResult OnAssignGroup(const AssignGroup& command);
  [[nodiscard]] ChangeResult OnRemoveGroup(const RemoveGroup& command);
  [[nodiscard]] ChangeResult OnDeathReport(const ReportDeath& command);
  [[nodiscard]] ChangeResult OnClearQuarantine(const ClearQuarantine& command);
  void DropSuspect(const std::string& fingerprint);
  void PutDocument(const config::Document& document);
  /// Unbinds the members of `group` and records when they left it.
  void ReleaseMembers(const std::string& group);
  [[nodiscard]] ChangeResult Accept() const;
  [[nodiscard]] ChangeResult Reject(const std::string& message) const;

  std::uint64_t applied = 0;
  std::uint64_t last_view_change = 0;
  std::uint64_t version = 0;
  std::string text;
  VersionedMap<config::Service> service_items;
  VersionedMap<config::Team> team_items;
  VersionedMap<protocol::DataCentreState> data_centre_items;
  VersionedMap<protocol::Group> group_items;
  VersionedMap<protocol::Suspect> suspect_items;
  std::map<std::string, std::string> group_of_host;
  /// Log index at which a host left its group, by host; only of hosts that are
  /// in no group now.
  std::map<std::string, std::uint64_t> release_index;
  std::set<std::string> drained_host_names;
  std::map<std::string, ChangeResult> change_results;  ///< By change id.
  std::deque<std::string> change_order;                ///< Oldest first.
  /// Crashes of targets by the fingerprint of the request they were running.
  std::map<std::string, std::set<std::uint64_t>> death_ids;
  std::deque<std::string> suspect_order;  ///< Oldest first.
  ClaimTable claim_table;

 public:
  MSGPACK_DEFINE(applied, last_view_change, version, text, service_items,
                 team_items, data_centre_items, group_items, suspect_items,
                 group_of_host, release_index, drained_host_names,
                 change_results, change_order, death_ids, suspect_order,
                 claim_table)
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_STATE_H_
