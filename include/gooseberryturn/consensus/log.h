#ifndef GOOSEBERRYTURN_CONSENSUS_LOG_H_
#define GOOSEBERRYTURN_CONSENSUS_LOG_H_

#include <cstddef>
#include <vector>

#include "gooseberryturn/consensus/types.h"

namespace gooseberryturn::consensus {

/// \brief The log in memory: a snapshot and the entries after it.
class Log {
 public:
  Log(Snapshot snapshot, std::vector<Entry> entries);

  [[nodiscard]] Index FirstIndex() const noexcept;
  [[nodiscard]] Index LastIndex() const noexcept;
  [[nodiscard]] Term LastTerm() const noexcept;
  /// \brief Term of the entry at `index`, 0 when it is not held.
  [[nodiscard]] Term TermAt(Index index) const noexcept;
  [[nodiscard]] bool Holds(Index index, Term term) const noexcept;
  [[nodiscard]] const Entry& At(Index index) const;
  /// \brief Entries from `first` on, up to about `max_bytes`, at least one.
  [[nodiscard]] std::vector<Entry> From(Index first,
                                        std::size_t max_bytes) const;
  /// \brief Entries from `first` to `last`, both included.
  [[nodiscard]] std::vector<Entry> Between(Index first, Index last) const;

  void Append(Entry entry);
  /// \brief Drops the entries from `first` on.
  void Truncate(Index first);
  /// \brief Replaces everything up to the snapshot; later entries stay when
  /// they follow on it.
  void Install(Snapshot snapshot);

  /// \brief Membership in force: the newest one in the log or snapshot.
  [[nodiscard]] Membership CurrentMembership() const;
  [[nodiscard]] const Snapshot& snapshot() const noexcept { return this->base; }

 private:
  Snapshot base;
  std::vector<Entry> entries;
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_CONSENSUS_LOG_H_
