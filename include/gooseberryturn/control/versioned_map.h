#ifndef GOOSEBERRYTURN_CONTROL_VERSIONED_MAP_H_
#define GOOSEBERRYTURN_CONTROL_VERSIONED_MAP_H_

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace gooseberryturn::control {

/// \brief Map of named items with the version at which each last changed.
///
/// \details A version is a number above zero that never decreases from one
/// change to the next, such as a log index. `Item` has a member `name`. The
/// names of removed items are kept, so that a delta can list them.
template <typename Item>
struct VersionedMap {
  struct Slot {
    Item item;
    std::uint64_t changed_version = 0;

    MSGPACK_DEFINE(item, changed_version)
  };

  std::map<std::string, Slot> slots;
  /// Version of the removal, by name of the removed item.
  std::map<std::string, std::uint64_t> removed_versions;

  MSGPACK_DEFINE(slots, removed_versions)

  /// \brief Item with `name`, or nullptr.
  [[nodiscard]] const Item* Find(const std::string& name) const {
    const auto found = this->slots.find(name);
    return found == this->slots.end() ? nullptr : &found->second.item;
  }
  /// \brief Adds or replaces the item of that name.
  void Put(const Item& item, std::uint64_t version) {
    this->slots[item.name] = {item, version};
    this->removed_versions.erase(item.name);
  }
  /// \brief Removes the item; does nothing when there is none.
  void Remove(const std::string& name, std::uint64_t version) {
    if (this->slots.erase(name) > 0) {
      this->removed_versions[name] = version;
    }
  }
  /// \brief Appends the items that changed and the names that were removed
  /// after version `from`; with `from` zero all items and no removals.
  void CollectChanges(std::uint64_t from, std::vector<Item>& changed,
                      std::vector<std::string>& removed) const {
    for (const std::pair<const std::string, Slot>& entry : this->slots) {
      if (entry.second.changed_version > from) {
        changed.push_back(entry.second.item);
      }
    }
    if (from == 0) {
      return;
    }
    for (const std::pair<const std::string, std::uint64_t>& entry :
         this->removed_versions) {
      if (entry.second > from) {
        removed.push_back(entry.first);
      }
    }
  }
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_VERSIONED_MAP_H_
