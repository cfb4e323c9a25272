#include "gooseberryturn/protocol/view.h"

namespace gooseberryturn::protocol {

namespace {

template <typename Item>
void Merge(const std::vector<Item>& changed,
           const std::vector<std::string>& removed,
           std::map<std::string, Item>& items) {
  for (const std::string& name : removed) {
    items.erase(name);
  }
  for (const Item& item : changed) {
    items[item.name] = item;
  }
}

}  // namespace

bool ApplyDelta(const ViewDelta& delta, View& view) {
  if (delta.to < view.index) {
    return false;
  }
  if (delta.from != 0 && delta.from != view.index) {
    return false;
  }
  if (delta.from == 0) {
    view = View{};
  }
  Merge(delta.services, delta.removed_services, view.services);
  Merge(delta.teams, delta.removed_teams, view.teams);
  Merge(delta.data_centres, delta.removed_data_centres, view.data_centres);
  Merge(delta.groups, delta.removed_groups, view.groups);
  Merge(delta.suspects, delta.removed_suspects, view.suspects);
  view.index = delta.to;
  return true;
}

}  // namespace gooseberryturn::protocol
