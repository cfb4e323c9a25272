#ifndef GOOSEBERRYTURN_PLACEMENT_PLANNER_H_
#define GOOSEBERRYTURN_PLACEMENT_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gooseberryturn/config/document.h"
#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/placement/policy.h"
#include "gooseberryturn/protocol/view.h"

namespace gooseberryturn::placement {

/// \brief A host and whether it may be placed in a group.
struct Host {
  std::string name;
  std::string service;
  std::string data_centre;
  std::string fabric_domain;
  std::uint64_t incarnation = 0;
  Endpoint link;
  bool is_usable = false;  ///< Alive, ready and not drained.
  bool is_free = false;    ///< May join a group: assigned to none, knows of
                           ///< its last release, not leaving or drained.
};

/// \brief Input of the planner; each map is keyed by name.
struct Inventory {
  std::map<std::string, Host> hosts;
  std::map<std::string, config::Service> services;
  std::map<std::string, protocol::Group> groups;
};

/// \brief Assigns hosts to a group, or dissolves it when it has no members.
struct GroupChange {
  protocol::Group group;
  std::uint64_t replaces = 0;  ///< Fence of the replaced assignment, 0 if new.
};

/// \brief Decides which hosts form which replica groups.
///
/// \details All hosts of a group are in one fabric domain. Under kBestFit a
/// broken group gets free hosts of its domain; if they are too few, it moves to
/// a domain with enough free hosts for a whole group; failing that, another
/// broken group of its domain is dissolved, so that the next plan can use the
/// survivors of that group; else it waits for its hosts to come back.
///
/// \code
///   std::vector<GroupChange> changes = Plan(inventory, Policy::kBestFit);
/// \endcode
[[nodiscard]] std::vector<GroupChange> Plan(const Inventory& inventory,
                                            Policy policy);

}  // namespace gooseberryturn::placement

#endif  // GOOSEBERRYTURN_PLACEMENT_PLANNER_H_
