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

/// \brief Who asks for a view, which decides what it is shown.
struct Viewer {
  protocol::Role role = protocol::Role::kEntry;
  std::string host;
  std::string service;
  std::string data_centre;
};

/// \brief The replicated state machine of the control hosts.
///
/// \details Free of clocks and random numbers: the same commands in the same
/// order give the same state on every replica.
class State {
 public:
  /// \brief Applies the command at log index `index`.
  [[nodiscard]] CommandResult Apply(std::uint64_t index,
                                    const std::string& bytes);
  /// \brief Notes that an entry without a command was applied.
  void Skip(std::uint64_t index) noexcept { this->applied = index; }

  /// \brief What changed for `viewer` after index `from`.
  ///
  /// \details A `from` of zero, or one this state cannot know, gives all.
  [[nodiscard]] protocol::ViewDelta DeltaSince(std::uint64_t from,
                                               const Viewer& viewer) const;

  [[nodiscard]] std::string Save() const;
  /// \returns False when the bytes are no saved state.
  [[nodiscard]] bool Load(const std::string& bytes);

  [[nodiscard]] std::uint64_t applied_index() const noexcept {
    return this->applied;
  }
  /// \brief Log index of the last command that changed any view.
  [[nodiscard]] std::uint64_t view_index() const noexcept {
    return this->view_changed;
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
    return this->drained;
  }
  [[nodiscard]] const ClaimTable& claims() const noexcept {
    return this->claim_table;
  }
  /// \brief Log index at which `host` last left a group, or 0.
  [[nodiscard]] std::uint64_t ReleasedAt(const std::string& host) const;

  static constexpr std::size_t kMaxChanges = 4096;
  static constexpr std::size_t kMaxSuspects = 4096;

 private:
  [[nodiscard]] ChangeResult ApplyOnce(const std::string& change_id,
                                       ChangeResult result);
  [[nodiscard]] const ChangeResult* FindChange(
      const std::string& change_id) const;
  [[nodiscard]] ChangeResult OnDocument(const ApplyDocument& command);
  [[nodiscard]] ChangeResult OnDataCentre(const SetDataCentre& command);
  [[nodiscard]] ChangeResult OnDrain(const SetDrain& command);
  [[nodiscard]] ChangeResult OnAssign(const AssignGroup& command);
  [[nodiscard]] ChangeResult OnRemove(const RemoveGroup& command);
  [[nodiscard]] ChangeResult OnDeath(const ReportDeath& command);
  [[nodiscard]] ChangeResult OnClear(const ClearQuarantine& command);
  void DropSuspect(const std::string& fingerprint);
  void PutDocument(const config::Document& document);
  void Release(const std::string& group);
  [[nodiscard]] ChangeResult Accept() const;
  [[nodiscard]] ChangeResult Reject(const std::string& message) const;

  std::uint64_t applied = 0;
  std::uint64_t view_changed = 0;
  std::uint64_t version = 0;
  std::string text;
  VersionedMap<config::Service> service_items;
  VersionedMap<config::Team> team_items;
  VersionedMap<protocol::DataCentreState> data_centre_items;
  VersionedMap<protocol::Group> group_items;
  VersionedMap<protocol::Suspect> suspect_items;
  std::map<std::string, std::string> host_groups;
  std::map<std::string, std::uint64_t> released_at;
  std::set<std::string> drained;
  std::map<std::string, ChangeResult> changes;
  std::deque<std::string> change_order;
  std::map<std::string, std::set<std::uint64_t>> deaths;
  std::deque<std::string> suspect_order;
  ClaimTable claim_table;

 public:
  MSGPACK_DEFINE(applied, view_changed, version, text, service_items,
                 team_items, data_centre_items, group_items, suspect_items,
                 host_groups, released_at, drained, changes, change_order,
                 deaths, suspect_order, claim_table)
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_STATE_H_
