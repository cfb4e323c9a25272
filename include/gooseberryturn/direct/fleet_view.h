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

/// \brief What an entry knows of the fleet; it never goes back to an older
/// configuration.
class FleetView {
 public:
  /// \brief Takes an update that carries no new configuration, or one that
  /// was read into `configuration` (null: keep the one in force).
  void Apply(const FleetUpdate& update,
             std::shared_ptr<const RouteTable> configuration);

  [[nodiscard]] std::uint64_t version() const noexcept {
    return this->config_version;
  }
  /// \brief Null until a configuration is known.
  [[nodiscard]] const std::shared_ptr<const RouteTable>& routes()
      const noexcept {
    return this->table;
  }
  [[nodiscard]] const TargetView* FindTarget(const std::string& id) const;
  /// \brief Heads of open groups of `model`, outside data centres taken out.
  [[nodiscard]] std::vector<const TargetView*> Heads(
      const std::string& service, const std::string& model) const;
  /// \brief Targets of a plain service, outside data centres taken out.
  [[nodiscard]] std::vector<const TargetView*> PlainTargets(
      const std::string& service) const;
  /// \brief The group whose head is `target`, or null.
  [[nodiscard]] const GroupView* GroupOfHead(const std::string& target) const;
  /// \brief True when requests at `target` should go on elsewhere: its group
  /// is broken.
  [[nodiscard]] bool IsBroken(const std::string& target) const;
  [[nodiscard]] bool HasQuarantine() const noexcept {
    return !this->quarantined.empty();
  }
  /// \brief True when the request crashed several targets.
  [[nodiscard]] bool IsQuarantined(const std::string& fingerprint) const {
    return this->quarantined.count(fingerprint) > 0;
  }
  [[nodiscard]] std::uint32_t entries() const noexcept {
    return this->entry_count;
  }

 private:
  std::uint64_t config_version = 0;
  std::shared_ptr<const RouteTable> table;
  std::map<std::string, TargetView> targets;
  std::map<std::string, GroupView> groups;
  std::set<std::string> evacuated;
  std::set<std::string> quarantined;
  std::uint32_t entry_count = 1;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_FLEET_VIEW_H_
