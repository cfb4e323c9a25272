#ifndef GOOSEBERRYTURN_DIRECT_FLEET_VIEW_H_
#define GOOSEBERRYTURN_DIRECT_FLEET_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/direct/configuration.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief An entry's view of the fleet, built from the leader's updates. The
/// configuration version never decreases.
class FleetView {
 public:
  /// \brief Applies an update. `configuration` is the parsed configuration of
  /// the update; null keeps the current one.
  void Apply(const FleetUpdate& update,
             std::shared_ptr<const RouteTable> configuration);

  /// \brief Version of the configuration; 0 for none.
  [[nodiscard]] std::uint64_t version() const noexcept {
    return this->config_version;
  }
  /// \brief True when the leader has told of a newer configuration than this
  /// one: what this one doesn't allow may be allowed by now.
  [[nodiscard]] bool IsBehind() const noexcept {
    return this->newest_version > this->config_version;
  }
  /// \brief Null until a configuration is known.
  [[nodiscard]] const std::shared_ptr<const RouteTable>& routes()
      const noexcept {
    return this->table;
  }
  /// \brief The target with this id, or null if it is unknown.
  [[nodiscard]] const TargetView* FindTarget(const std::string& id) const;
  /// \brief Heads of open groups of `model` that are not leaving and whose data
  /// centre is in service. A group of another size than `model` has was formed
  /// under an earlier configuration and doesn't count.
  [[nodiscard]] std::vector<const TargetView*> Heads(
      const std::string& service, const ModelProfile& model) const;
  /// \brief True while a group of `model` forms or opens.
  [[nodiscard]] bool IsGroupStarting(const std::string& service,
                                     const std::string& model) const;
  /// \brief Targets of a plain service that are not leaving and whose data
  /// centre is in service.
  [[nodiscard]] std::vector<const TargetView*> PlainTargets(
      const std::string& service) const;
  /// \brief The group, not being dissolved, whose head is `target`, or null.
  [[nodiscard]] const GroupView* GroupOfHead(const std::string& target) const;
  /// \brief True when the group whose head is `target` is being dissolved and
  /// `target` heads no other, so that its requests should continue elsewhere.
  [[nodiscard]] bool IsBroken(const std::string& target) const;
  /// \brief True while any content is quarantined or held.
  [[nodiscard]] bool HasSuspects() const noexcept {
    return !this->quarantined.empty() || !this->held.empty();
  }
  /// \brief True while a whole request is quarantined.
  [[nodiscard]] bool HasQuarantinedRequests() const noexcept {
    return this->has_quarantined_requests;
  }
  /// \brief True when requests with this content have crashed several targets.
  [[nodiscard]] bool IsQuarantined(const std::string& content) const {
    return this->quarantined.count(content) > 0;
  }
  /// \brief True for content of which the leader wants to know at once when it
  /// is answered.
  [[nodiscard]] bool IsWatched(const std::string& content) const {
    return this->watched.count(content) > 0 ||
           this->quarantined.count(content) > 0 ||
           this->held.count(content) > 0;
  }
  /// \brief The state of a content that is suspected of crashing targets, or
  /// null.
  [[nodiscard]] const HeldContent* FindHeld(const std::string& content) const;
  /// \brief Number of entries that follow the leader.
  [[nodiscard]] std::uint32_t entries() const noexcept {
    return this->entry_count;
  }

 private:
  std::uint64_t config_version = 0;
  std::uint64_t newest_version = 0;  ///< Highest that an update named.
  std::shared_ptr<const RouteTable> table;
  std::map<std::string, TargetView> targets;
  std::map<std::string, GroupView> groups;
  std::set<std::string> evacuated;
  std::set<std::string> quarantined;
  std::set<std::string> watched;
  std::map<std::string, HeldContent> held;
  bool has_quarantined_requests = false;
  std::uint32_t entry_count = 1;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_FLEET_VIEW_H_
