#include "gooseberryturn/consensus/log.h"

#include <optional>
#include <utility>

#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::consensus {

Log::Log(Snapshot snapshot, std::vector<Entry> entries)
    : last_snapshot(std::move(snapshot)), entries(std::move(entries)) {}

Index Log::FirstIndex() const noexcept { return this->last_snapshot.index + 1; }

Index Log::LastIndex() const noexcept {
  return this->last_snapshot.index + this->entries.size();
}

Term Log::LastTerm() const noexcept { return this->TermAt(this->LastIndex()); }

Term Log::TermAt(Index index) const noexcept {
  if (index == this->last_snapshot.index) {
    return this->last_snapshot.term;
  }
  if (index < this->last_snapshot.index || index > this->LastIndex()) {
    return 0;
  }
  return this->entries[index - this->FirstIndex()].term;
}

bool Log::Matches(Index index, Term term) const noexcept {
  return index >= this->last_snapshot.index && index <= this->LastIndex() &&
         this->TermAt(index) == term;
}

const Entry& Log::At(Index index) const {
  return this->entries.at(index - this->FirstIndex());
}

std::vector<Entry> Log::EntriesFrom(Index first, std::size_t max_bytes) const {
  std::vector<Entry> result;
  std::size_t bytes = 0;
  for (Index index = first; index <= this->LastIndex(); ++index) {
    const Entry& entry = this->At(index);
    bytes += entry.data.size();
    if (!result.empty() && bytes > max_bytes) {
      break;
    }
    result.push_back(entry);
  }
  return result;
}

std::vector<Entry> Log::EntriesBetween(Index first, Index last) const {
  std::vector<Entry> result;
  for (Index index = first; index <= last; ++index) {
    result.push_back(this->At(index));
  }
  return result;
}

void Log::Append(Entry entry) { this->entries.push_back(std::move(entry)); }

void Log::TruncateFrom(Index first) {
  this->entries.resize(first - this->FirstIndex());
}

void Log::InstallSnapshot(Snapshot snapshot) {
  std::vector<Entry> kept;
  if (this->Matches(snapshot.index, snapshot.term)) {
    kept = this->EntriesBetween(snapshot.index + 1, this->LastIndex());
  }
  this->last_snapshot = std::move(snapshot);
  this->entries = std::move(kept);
}

Membership Log::CurrentMembership() const {
  for (auto entry = this->entries.rbegin(); entry != this->entries.rend();
       ++entry) {
    if (entry->kind == EntryKind::kMembership) {
      const std::optional<Membership> membership =
          protocol::Decode<Membership>(entry->data);
      if (membership.has_value()) {
        return *membership;
      }
    }
  }
  return this->last_snapshot.membership;
}

}  // namespace gooseberryturn::consensus
