#ifndef GOOSEBERRYTURN_TESTS_MEMORY_DISK_H_
#define GOOSEBERRYTURN_TESTS_MEMORY_DISK_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "gooseberryturn/consensus/node.h"

namespace gooseberryturn::consensus {

/// In-memory storage of one host.
struct Disk {
  PersistentState stored;
  std::uint64_t id = 0;

  void Save(const Ready& ready) {
    if (ready.hard_state.has_value()) {
      this->stored.hard_state = *ready.hard_state;
    }
    if (ready.snapshot.has_value()) {
      this->stored.snapshot = *ready.snapshot;
      this->stored.entries.clear();
    }
    for (const Entry& entry : ready.entries) {
      std::vector<Entry>& log = this->stored.entries;
      const Index first = this->stored.snapshot.index + 1;
      log.resize(std::min<std::size_t>(log.size(), entry.index - first));
      log.push_back(entry);
    }
  }
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_TESTS_MEMORY_DISK_H_
