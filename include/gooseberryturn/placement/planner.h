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

/// \brief A host as the planner sees it.
struct Host {
  std::string name;
  std::string service;
  std::string data_centre;
  std::string fabric_domain;
  std::uint64_t incarnation = 0;
  Endpoint link;
  bool is_usable = false;  ///< Alive, ready and not drained.
  bool is_free = false;    ///< May join: in no group, known to have left the
                           ///< last, and not about to leave.
};

/// \brief Everything a plan depends on.
struct Inventory {
  std::map<std::string, Host> hosts;
  std::map<std::string, config::Service> services;
  std::map<std::string, protocol::Group> groups;
};

/// \brief A change to the groups. Without members the group is dissolved.
struct GroupChange {
  protocol::Group group;
  std::uint64_t replaces = 0;  ///< Fence of the assignment it replaces, or 0.
};

/// \brief Decides which hosts form which replica groups.
///
/// \details Groups stay inside one fabric domain. A broken group is repaired
/// with a spare of its domain; without one, survivors of another broken group
/// of that domain are used; then the group moves to a domain that has room
/// for all of it; else it waits for its hosts.
///
/// \code
///   std::vector<GroupChange> moves = Plan(inventory, Policy::kBestFit);
/// \endcode
[[nodiscard]] std::vector<GroupChange> Plan(const Inventory& inventory,
                                            Policy policy);

}  // namespace gooseberryturn::placement

#endif  // GOOSEBERRYTURN_PLACEMENT_PLANNER_H_
