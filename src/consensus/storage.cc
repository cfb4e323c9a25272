#include "gooseberryturn/consensus/storage.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::consensus {

namespace {

constexpr char kIdentityFile[] = "identity";
constexpr char kHardStateFile[] = "hard-state";
constexpr char kSnapshotFile[] = "snapshot";
constexpr char kLogFile[] = "log";
constexpr char kTemporarySuffix[] = ".new";
constexpr std::size_t kRecordHeaderBytes = 12;
constexpr mode_t kFileMode = 0600;

/// Length (4 bytes), checksum (8 bytes) and payload; host byte order.
std::string EncodeRecord(const std::string& payload) {
  const std::uint32_t size = static_cast<std::uint32_t>(payload.size());
  const std::uint64_t checksum = XXH3_64bits(payload.data(), payload.size());
  std::string record(kRecordHeaderBytes, '\0');
  std::memcpy(record.data(), &size, sizeof(size));
  std::memcpy(record.data() + sizeof(size), &checksum, sizeof(checksum));
  return record + payload;
}

enum class RecordState { kWhole, kCutOff, kDamaged };

struct Record {
  RecordState state = RecordState::kCutOff;
  std::string_view payload;
};

Record DecodeRecord(std::string_view bytes) {
  if (bytes.size() < kRecordHeaderBytes) {
    return {};
  }
  std::uint32_t size = 0;
  std::uint64_t checksum = 0;
  std::memcpy(&size, bytes.data(), sizeof(size));
  std::memcpy(&checksum, bytes.data() + sizeof(size), sizeof(checksum));
  const bool is_blank = bytes.find_first_not_of('\0') == std::string_view::npos;
  if (is_blank || bytes.size() < kRecordHeaderBytes + size) {
    return {};
  }
  Record record;
  record.payload = bytes.substr(kRecordHeaderBytes, size);
  const bool is_sound =
      XXH3_64bits(record.payload.data(), record.payload.size()) == checksum;
  record.state = is_sound ? RecordState::kWhole : RecordState::kDamaged;
  return record;
}

bool WriteAll(int file, std::string_view bytes, std::uint64_t offset) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        pwrite(file, bytes.data() + written, bytes.size() - written,
               static_cast<off_t>(offset + written));
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return false;
    }
    written += static_cast<std::size_t>(count);
  }
  return true;
}

bool SyncFolder(const std::string& folder) {
  const int file = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (file < 0) {
    return false;
  }
  const bool is_synced = fsync(file) == 0;
  close(file);
  return is_synced;
}

std::optional<std::string> ReadBytes(const std::string& path) {
  std::ifstream input(path, std::ios::binary);
  if (!input) {
    return std::nullopt;
  }
  std::ostringstream bytes;
  bytes << input.rdbuf();
  return bytes.str();
}

}  // namespace

Storage::Storage(std::string folder) : folder(std::move(folder)) {}

Storage::Storage(Storage&& other) noexcept
    : folder(std::move(other.folder)),
      owner(other.owner),
      created(other.created),
      torn(other.torn),
      log_file(std::exchange(other.log_file, -1)),
      log_size(other.log_size),
      positions(std::move(other.positions)) {}

Storage::~Storage() {
  if (this->log_file >= 0) {
    close(this->log_file);
  }
}

std::string Storage::PathOf(const std::string& name) const {
  return this->folder + "/" + name;
}

Error Storage::Failure(const std::string& what) const {
  return {Reason::kTargetFailed, Step::kStorage, Outcome::kNotRun, this->folder,
          what};
}

Result<void> Storage::ReplaceFile(const std::string& name,
                                  const std::string& bytes) const {
  const std::string path = this->PathOf(name);
  const std::string temporary = path + kTemporarySuffix;
  const int file = open(temporary.c_str(),
                        O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (file < 0) {
    return tl::make_unexpected(this->Failure("cannot create " + temporary +
                                             ": " + std::strerror(errno)));
  }
  const bool is_written = WriteAll(file, bytes, 0) && fsync(file) == 0;
  const int write_error = errno;
  close(file);
  if (!is_written) {
    unlink(temporary.c_str());
    return tl::make_unexpected(this->Failure(
        "cannot write " + temporary + ": " + std::strerror(write_error)));
  }
  if (rename(temporary.c_str(), path.c_str()) != 0 ||
      !SyncFolder(this->folder)) {
    return tl::make_unexpected(
        this->Failure("cannot replace " + path + ": " + std::strerror(errno)));
  }
  return {};
}

Result<Storage> Storage::Open(const std::string& folder, NodeId id) {
  Result<Storage> storage = Storage::OpenAny(folder, id);
  if (storage.has_value() && storage->owner.id != id) {
    return tl::make_unexpected(
        Error{Reason::kBadRequest, Step::kStorage, Outcome::kNotRun, folder,
              "the folder belongs to id " + std::to_string(storage->owner.id)});
  }
  return storage;
}

Result<Storage> Storage::OpenAny(const std::string& folder, NodeId fresh_id) {
  Storage storage(folder);
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  const std::optional<std::string> bytes =
      ReadBytes(storage.PathOf(kIdentityFile));
  if (!bytes.has_value()) {
    if (std::filesystem::exists(storage.PathOf(kLogFile))) {
      return tl::make_unexpected(
          storage.Failure("a log without an identity file"));
    }
    storage.owner = {fresh_id, RandomId()};
    storage.created = true;
    const Result<void> saved = storage.ReplaceFile(
        kIdentityFile, EncodeRecord(protocol::Encode(storage.owner)));
    if (!saved.has_value()) {
      return tl::make_unexpected(saved.error());
    }
  } else {
    const Record record = DecodeRecord(*bytes);
    const std::optional<Identity> owner =
        record.state == RecordState::kWhole
            ? protocol::Decode<Identity>(record.payload)
            : std::nullopt;
    if (!owner.has_value()) {
      return tl::make_unexpected(storage.Failure("identity file is damaged"));
    }
    storage.owner = *owner;
  }
  const Result<void> opened = storage.OpenLog();
  if (!opened.has_value()) {
    return tl::make_unexpected(opened.error());
  }
  return storage;
}

Result<void> Storage::OpenLog() {
  if (this->log_file >= 0) {
    close(this->log_file);
  }
  this->log_file = open(this->PathOf(kLogFile).c_str(),
                        O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  struct stat info {};
  if (this->log_file < 0 || fstat(this->log_file, &info) != 0 ||
      !SyncFolder(this->folder)) {
    return tl::make_unexpected(
        this->Failure(std::string("cannot open log: ") + std::strerror(errno)));
  }
  this->log_size = static_cast<std::uint64_t>(info.st_size);
  return {};
}

Result<PersistentState> Storage::Load() {
  PersistentState stored;
  const std::optional<std::string> hard =
      ReadBytes(this->PathOf(kHardStateFile));
  if (hard.has_value()) {
    const Record record = DecodeRecord(*hard);
    const std::optional<HardState> state =
        record.state == RecordState::kWhole
            ? protocol::Decode<HardState>(record.payload)
            : std::nullopt;
    if (!state.has_value()) {
      return tl::make_unexpected(this->Failure("hard state is damaged"));
    }
    stored.hard_state = *state;
  }
  const std::optional<std::string> snapshot =
      ReadBytes(this->PathOf(kSnapshotFile));
  if (snapshot.has_value()) {
    const Record record = DecodeRecord(*snapshot);
    std::optional<Snapshot> decoded =
        record.state == RecordState::kWhole
            ? protocol::Decode<Snapshot>(record.payload)
            : std::nullopt;
    if (!decoded.has_value()) {
      return tl::make_unexpected(this->Failure("snapshot is damaged"));
    }
    stored.snapshot = std::move(*decoded);
  }
  Result<std::vector<Entry>> entries = this->LoadEntries();
  if (!entries.has_value()) {
    return tl::make_unexpected(entries.error());
  }
  for (Entry& entry : *entries) {
    if (entry.index <= stored.snapshot.index) {
      continue;
    }
    if (entry.index != stored.snapshot.index + stored.entries.size() + 1) {
      return tl::make_unexpected(this->Failure("log has a gap"));
    }
    stored.entries.push_back(std::move(entry));
  }
  return stored;
}

Result<std::vector<Entry>> Storage::LoadEntries() {
  const std::string bytes =
      ReadBytes(this->PathOf(kLogFile)).value_or(std::string());
  std::vector<Entry> entries;
  this->positions.clear();
  std::uint64_t offset = 0;
  while (offset < bytes.size()) {
    const Record record = DecodeRecord(std::string_view(bytes).substr(offset));
    if (record.state == RecordState::kCutOff) {
      this->torn = true;
      break;
    }
    std::optional<Entry> entry = record.state == RecordState::kWhole
                                     ? protocol::Decode<Entry>(record.payload)
                                     : std::nullopt;
    if (!entry.has_value()) {
      return tl::make_unexpected(
          this->Failure("log is damaged at byte " + std::to_string(offset) +
                        "; this host must return under a new id"));
    }
    this->positions.push_back({entry->index, offset});
    entries.push_back(std::move(*entry));
    offset += kRecordHeaderBytes + record.payload.size();
  }
  if (offset < bytes.size()) {
    const Result<void> cut = this->TruncateTo(offset);
    if (!cut.has_value()) {
      return tl::make_unexpected(cut.error());
    }
  }
  this->log_size = offset;
  return entries;
}

Result<void> Storage::TruncateTo(std::uint64_t offset) {
  if (ftruncate(this->log_file, static_cast<off_t>(offset)) != 0 ||
      fsync(this->log_file) != 0) {
    return tl::make_unexpected(this->Failure(
        std::string("cannot truncate log: ") + std::strerror(errno)));
  }
  this->log_size = offset;
  return {};
}

Result<void> Storage::AppendEntries(const std::vector<Entry>& entries) {
  const Index first = entries.front().index;
  while (!this->positions.empty() && this->positions.back().index >= first) {
    const Result<void> cut = this->TruncateTo(this->positions.back().offset);
    if (!cut.has_value()) {
      return cut;
    }
    this->positions.pop_back();
  }
  std::string bytes;
  std::vector<Position> added;
  for (const Entry& entry : entries) {
    added.push_back({entry.index, this->log_size + bytes.size()});
    bytes += EncodeRecord(protocol::Encode(entry));
  }
  if (!WriteAll(this->log_file, bytes, this->log_size) ||
      fdatasync(this->log_file) != 0) {
    const std::string cause = std::strerror(errno);
    const Result<void> undone = this->TruncateTo(this->log_size);
    return tl::make_unexpected(
        this->Failure("cannot append to log: " + cause +
                      (undone.has_value() ? "" : "; cannot undo it either")));
  }
  this->log_size += bytes.size();
  this->positions.insert(this->positions.end(), added.begin(), added.end());
  return {};
}

Result<void> Storage::SaveSnapshot(const Snapshot& snapshot,
                                   const std::vector<Entry>& entries) {
  Result<void> saved = this->ReplaceFile(
      kSnapshotFile, EncodeRecord(protocol::Encode(snapshot)));
  if (!saved.has_value()) {
    return saved;
  }
  std::string bytes;
  std::vector<Position> kept;
  for (const Entry& entry : entries) {
    kept.push_back({entry.index, bytes.size()});
    bytes += EncodeRecord(protocol::Encode(entry));
  }
  saved = this->ReplaceFile(kLogFile, bytes);
  if (!saved.has_value()) {
    return saved;
  }
  this->positions = std::move(kept);
  return this->OpenLog();
}

Result<void> Storage::Save(const Ready& ready) {
  Result<void> saved;
  if (ready.hard_state.has_value()) {
    saved = this->ReplaceFile(
        kHardStateFile, EncodeRecord(protocol::Encode(*ready.hard_state)));
  }
  if (saved.has_value() && ready.snapshot.has_value()) {
    return this->SaveSnapshot(*ready.snapshot, ready.entries);
  }
  if (saved.has_value() && !ready.entries.empty()) {
    saved = this->AppendEntries(ready.entries);
  }
  return saved;
}

}  // namespace gooseberryturn::consensus
