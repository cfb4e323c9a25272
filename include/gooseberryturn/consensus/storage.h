#ifndef GOOSEBERRYTURN_CONSENSUS_STORAGE_H_
#define GOOSEBERRYTURN_CONSENSUS_STORAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "gooseberryturn/consensus/node.h"
#include "gooseberryturn/core/error.h"

namespace gooseberryturn::consensus {

/// \brief Node id and disk id of a data folder.
struct Identity {
  NodeId id = 0;
  std::uint64_t disk_id = 0;  ///< Random, set with the identity.

  MSGPACK_DEFINE(id, disk_id)
};

/// \brief Stores identity, hard state, snapshot and log of one node in files.
///
/// \details Every write is synced before it returns. Records carry a
/// checksum. An incomplete record at the end of the log belongs to a write that
/// was never acknowledged, and Load drops it. Any other damage is an error,
/// because acknowledged entries may be lost: the host must then rejoin under a
/// new id.
///
/// A record counts as incomplete when its length reaches beyond the end of the
/// file and no whole payload that matches its checksum follows, or when the
/// rest of the file is zero bytes. Where the length and the payload of one
/// record are both damaged, it may pass for an incomplete record.
///
/// Failed writes and damaged files are kTargetFailed, with the data folder as
/// Error::peer. A file that cannot be opened for reading counts as missing.
class Storage {
 public:
  /// \brief Opens the folder; creates the folder and the identity when they do
  /// not exist.
  ///
  /// \details A new folder begins with `initial` unless that has no members.
  /// It is stored before the identity, so that a start that was cut off begins
  /// anew.
  /// \returns kBadRequest when the folder belongs to another id; kTargetFailed
  /// when the identity is damaged, when a log exists without an identity, or
  /// when a file cannot be written.
  [[nodiscard]] static Result<Storage> Open(const std::string& folder,
                                            NodeId id,
                                            const Snapshot& initial = {});

  /// \brief Opens the folder, whichever id it belongs to; without an identity,
  /// one is created for `new_id`, and `initial` is stored as Open does.
  /// \returns kTargetFailed as Open does.
  [[nodiscard]] static Result<Storage> OpenAny(const std::string& folder,
                                               NodeId new_id,
                                               const Snapshot& initial = {});

  Storage(Storage&& other) noexcept;
  Storage& operator=(Storage&& other) = delete;
  Storage(const Storage&) = delete;
  Storage& operator=(const Storage&) = delete;
  ~Storage();

  /// \brief Reads the stored state; drops an incomplete record at the end of
  /// the log.
  ///
  /// \details Must be called before Save and SaveSnapshot: it finds the
  /// positions of the stored entries, which Save needs to replace them.
  /// \returns kTargetFailed when a file is damaged or the log has a gap.
  [[nodiscard]] Result<PersistentState> Load();
  /// \brief Stores and syncs hard state, snapshot and entries.
  ///
  /// \details After an error (kTargetFailed) the caller must treat nothing as
  /// stored, and may repeat the call.
  [[nodiscard]] Result<void> Save(const Ready& ready);
  /// \brief Stores and syncs a snapshot and replaces the log by `entries`;
  /// errors as for Save.
  [[nodiscard]] Result<void> SaveSnapshot(const Snapshot& snapshot,
                                          const std::vector<Entry>& entries);

  [[nodiscard]] const Identity& identity() const noexcept {
    return this->stored_identity;
  }
  /// \brief True when Open or OpenAny created the identity.
  [[nodiscard]] bool is_new() const noexcept {
    return this->has_created_identity;
  }
  /// \brief True when Load dropped an incomplete record at the end of the log.
  [[nodiscard]] bool had_incomplete_record() const noexcept {
    return this->has_incomplete_record;
  }

 private:
  /// Byte offset of an entry in the log file.
  struct Position {
    Index index = 0;
    std::uint64_t offset = 0;
  };

  explicit Storage(std::string folder);
  [[nodiscard]] std::string PathOf(const std::string& name) const;
  [[nodiscard]] Error MakeError(const std::string& message) const;
  [[nodiscard]] Result<void> ReplaceFile(const std::string& name,
                                         const std::string& bytes) const;
  [[nodiscard]] Result<void> OpenLogFile();
  [[nodiscard]] Result<void> AppendEntries(const std::vector<Entry>& entries);
  [[nodiscard]] Result<void> TruncateLog(std::uint64_t offset);
  [[nodiscard]] Result<std::vector<Entry>> LoadEntries();

  std::string folder;
  Identity stored_identity;
  bool has_created_identity = false;
  bool has_incomplete_record = false;
  int log_fd = -1;
  std::uint64_t log_size = 0;
  std::vector<Position> positions;
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_CONSENSUS_STORAGE_H_
