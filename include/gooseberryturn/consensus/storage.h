#ifndef GOOSEBERRYTURN_CONSENSUS_STORAGE_H_
#define GOOSEBERRYTURN_CONSENSUS_STORAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryturn/consensus/node.h"
#include "gooseberryturn/core/error.h"

namespace gooseberryturn::consensus {

/// \brief Who a data folder belongs to.
struct Identity {
  NodeId id = 0;
  std::uint64_t disk_id = 0;  ///< Drawn when the folder was first used.

  MSGPACK_DEFINE(id, disk_id)
};

/// \brief The files of one node: identity, hard state, snapshot and log.
///
/// \details Every write is synced before it returns. Records carry a
/// checksum. A record cut off at the end of the log was never acknowledged
/// and is dropped; any other damage is an error, because acknowledged entries
/// may be gone: the host must then return under a new id.
class Storage {
 public:
  /// \brief Opens the folder; creates it and its identity when it is empty.
  /// \returns kBadRequest when the folder belongs to another id, kTargetFailed
  /// when a file is damaged or cannot be written.
  [[nodiscard]] static Result<Storage> Open(const std::string& folder,
                                            NodeId id);

  /// \brief Opens the folder of whatever id it belongs to; an empty one is
  /// created for `fresh_id`.
  [[nodiscard]] static Result<Storage> OpenAny(const std::string& folder,
                                               NodeId fresh_id);

  Storage(Storage&& other) noexcept;
  Storage& operator=(Storage&& other) = delete;
  Storage(const Storage&) = delete;
  Storage& operator=(const Storage&) = delete;
  ~Storage();

  /// \brief Reads everything stored.
  [[nodiscard]] Result<PersistentState> Load();
  /// \brief Stores and syncs hard state, snapshot and entries.
  ///
  /// \details After an error nothing of the call counts and it may be
  /// repeated.
  [[nodiscard]] Result<void> Save(const Ready& ready);
  /// \brief Stores a snapshot and replaces the log by `entries`.
  [[nodiscard]] Result<void> SaveSnapshot(const Snapshot& snapshot,
                                          const std::vector<Entry>& entries);

  [[nodiscard]] const Identity& identity() const noexcept {
    return this->owner;
  }
  /// \brief True when the folder was created by Open.
  [[nodiscard]] bool is_new() const noexcept { return this->created; }
  /// \brief True when Load dropped a record that was cut off.
  [[nodiscard]] bool had_torn_tail() const noexcept { return this->torn; }

 private:
  /// Place of an entry in the log file.
  struct Position {
    Index index = 0;
    std::uint64_t offset = 0;
  };

  explicit Storage(std::string folder);
  [[nodiscard]] std::string PathOf(const std::string& name) const;
  [[nodiscard]] Error Failure(const std::string& what) const;
  [[nodiscard]] Result<void> ReplaceFile(const std::string& name,
                                         const std::string& bytes) const;
  [[nodiscard]] Result<void> OpenLog();
  [[nodiscard]] Result<void> AppendEntries(const std::vector<Entry>& entries);
  [[nodiscard]] Result<void> TruncateTo(std::uint64_t offset);
  [[nodiscard]] Result<std::vector<Entry>> LoadEntries();

  std::string folder;
  Identity owner;
  bool created = false;
  bool torn = false;
  int log_file = -1;
  std::uint64_t log_size = 0;
  std::vector<Position> positions;
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_CONSENSUS_STORAGE_H_
