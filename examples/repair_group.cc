// Shows how the planner replaces a lost member by a free host of its domain.
#include <iostream>
#include <string>

#include "gooseberryturn/placement/planner.h"

int main() {
  using namespace gooseberryturn;  // NOLINT
  placement::Inventory inventory;
  inventory.services["llm"].name = "llm";
  inventory.services["llm"].groups = 1;
  inventory.services["llm"].hosts_per_group = 2;
  for (const std::string name : {"h1", "h2", "h3"}) {
    inventory.hosts[name] = {name, "llm", "dc-a", "rack-1", 1, {}, true, true};
  }
  protocol::Group group;
  group.name = "llm-1";
  group.service = "llm";
  group.data_centre = "dc-a";
  group.fabric_domain = "rack-1";
  group.fence = 7;
  group.members = {{"h1", 1, {}}, {"h2", 1, {}}};
  inventory.groups["llm-1"] = group;
  inventory.hosts["h1"].is_free = false;
  inventory.hosts["h2"].is_free = false;
  inventory.hosts["h2"].is_usable = false;  // Lost.
  for (const placement::GroupChange& change :
       placement::Plan(inventory, placement::Policy::kBestFit)) {
    std::cout << change.group.name << ":";
    for (const protocol::Member& member : change.group.members) {
      std::cout << " " << member.host;
    }
    std::cout << "\n";
  }
  return 0;
}
