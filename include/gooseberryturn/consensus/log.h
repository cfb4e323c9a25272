#ifndef GOOSEBERRYTURN_CONSENSUS_LOG_H_
#define GOOSEBERRYTURN_CONSENSUS_LOG_H_

#include <cstddef>
#include <vector>

#include "gooseberryturn/consensus/types.h"

namespace gooseberryturn::consensus {

/// \brief The in-memory log: a snapshot and the entries after it.
class Log {
 public:
  Log(Snapshot snapshot, std::vector<Entry> entries);

  [[nodiscard]] Index FirstIndex() const noexcept;
  [[nodiscard]] Index LastIndex() const noexcept;
  [[nodiscard]] Term LastTerm() const noexcept;
  /// \brief Term of the entry at `index`, which may be the last one of the
  /// snapshot; 0 when it is not in the log.
  [[nodiscard]] Term TermAt(Index index) const noexcept;
  /// \brief True when the entry at `index`, which may be the last one of the
  /// snapshot, has `term`.
  [[nodiscard]] bool Matches(Index index, Term term) const noexcept;
  /// \brief Entry at `index`, which must be from FirstIndex to LastIndex;
  /// throws std::out_of_range otherwise.
  [[nodiscard]] const Entry& At(Index index) const;
  /// \brief Entries from `first` on whose data is at most `max_bytes` together,
  /// but at least one.
  ///
  /// \details Empty when `first` is after LastIndex; throws std::out_of_range
  /// when it is before FirstIndex.
  [[nodiscard]] std::vector<Entry> EntriesFrom(Index first,
                                               std::size_t max_bytes) const;
  /// \brief Entries from `first` to `last`, both included; empty when `first`
  /// is after `last`.
  ///
  /// \details Throws std::out_of_range when one of them is not in the log.
  [[nodiscard]] std::vector<Entry> EntriesBetween(Index first,
                                                  Index last) const;

  /// \brief Appends an entry, whose index must be LastIndex + 1.
  void Append(Entry entry);
  /// \brief Removes the entries from `first` on, which must be from FirstIndex
  /// to LastIndex + 1.
  void TruncateFrom(Index first);
  /// \brief Replaces the log up to the last entry of the snapshot; later
  /// entries are kept only when the log holds that entry with the same term.
  void InstallSnapshot(Snapshot snapshot);

  /// \brief Membership in effect: the newest one in the log, or else that of
  /// the snapshot.
  [[nodiscard]] Membership CurrentMembership() const;
  [[nodiscard]] const Snapshot& snapshot() const noexcept {
    return this->last_snapshot;
  }

 private:
  Snapshot last_snapshot;
  std::vector<Entry> entries;
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_CONSENSUS_LOG_H_
