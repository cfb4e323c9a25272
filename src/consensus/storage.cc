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
#include <msgpack.hpp>
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

/// Record format: length (4 bytes), checksum (8 bytes), payload; the integers
/// are in host byte order.
std::string EncodeRecord(const std::string& payload) {
  const std::uint32_t size = static_cast<std::uint32_t>(payload.size());
  const std::uint64_t checksum = XXH3_64bits(payload.data(), payload.size());
  std::string record(kRecordHeaderBytes, '\0');
  std::memcpy(record.data(), &size, sizeof(size));
  std::memcpy(record.data() + sizeof(size), &checksum, sizeof(checksum));
  return record + payload;
}

/// kIncomplete: the bytes end before the record does, or are all zero.
/// kDamaged: the record is whole, but its checksum does not match.
enum class RecordState { kComplete, kIncomplete, kDamaged };

struct Record {
  RecordState state = RecordState::kIncomplete;
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
  const bool is_zero_filled =
      bytes.find_first_not_of('\0') == std::string_view::npos;
  if (is_zero_filled || bytes.size() < kRecordHeaderBytes + size) {
    return {};
  }
  Record record;
  record.payload = bytes.substr(kRecordHeaderBytes, size);
  const bool is_checksum_valid =
      XXH3_64bits(record.payload.data(), record.payload.size()) == checksum;
  record.state =
      is_checksum_valid ? RecordState::kComplete : RecordState::kDamaged;
  return record;
}

/// True when a record whose length reaches beyond the end of the file is whole
/// all the same: its payload, which marks its own end, matches the checksum.
/// The length, which the checksum does not cover, is then damaged. Of a torn
/// write the payload breaks off.
bool HasDamagedLength(std::string_view bytes) {
  if (bytes.size() < kRecordHeaderBytes) {
    return false;
  }
  std::uint64_t checksum = 0;
  std::memcpy(&checksum, bytes.data() + sizeof(std::uint32_t),
              sizeof(checksum));
  const std::string_view rest = bytes.substr(kRecordHeaderBytes);
  std::size_t size = 0;
  msgpack::null_visitor visitor;
  return msgpack::parse(rest.data(), rest.size(), size, visitor) &&
         XXH3_64bits(rest.data(), size) == checksum;
}

bool WriteAll(int fd, std::string_view bytes, std::uint64_t offset) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count =
        pwrite(fd, bytes.data() + written, bytes.size() - written,
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
  const int fd = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return false;
  }
  const bool is_synced = fsync(fd) == 0;
  close(fd);
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
      stored_identity(other.stored_identity),
      has_created_identity(other.has_created_identity),
      has_incomplete_record(other.has_incomplete_record),
      log_fd(std::exchange(other.log_fd, -1)),
      log_size(other.log_size),
      positions(std::move(other.positions)) {}

Storage::~Storage() {
  if (this->log_fd >= 0) {
    close(this->log_fd);
  }
}

std::string Storage::PathOf(const std::string& name) const {
  return this->folder + "/" + name;
}

Error Storage::MakeError(const std::string& message) const {
  return {Reason::kTargetFailed, Step::kStorage, Outcome::kNotRun, this->folder,
          message};
}

Result<void> Storage::ReplaceFile(const std::string& name,
                                  const std::string& bytes) const {
  const std::string path = this->PathOf(name);
  const std::string temporary = path + kTemporarySuffix;
  const int fd = open(temporary.c_str(),
                      O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, kFileMode);
  if (fd < 0) {
    return tl::make_unexpected(this->MakeError("cannot create " + temporary +
                                               ": " + std::strerror(errno)));
  }
  const bool is_written = WriteAll(fd, bytes, 0) && fsync(fd) == 0;
  const int write_error = errno;
  close(fd);
  if (!is_written) {
    unlink(temporary.c_str());
    return tl::make_unexpected(this->MakeError(
        "cannot write " + temporary + ": " + std::strerror(write_error)));
  }
  if (rename(temporary.c_str(), path.c_str()) != 0 ||
      !SyncFolder(this->folder)) {
    return tl::make_unexpected(this->MakeError("cannot replace " + path + ": " +
                                               std::strerror(errno)));
  }
  return {};
}

Result<Storage> Storage::Open(const std::string& folder, NodeId id,
                              const Snapshot& initial) {
  Result<Storage> storage = Storage::OpenAny(folder, id, initial);
  if (storage.has_value() && storage->stored_identity.id != id) {
    return tl::make_unexpected(
        Error{Reason::kBadRequest, Step::kStorage, Outcome::kNotRun, folder,
              "data folder belongs to node id " +
                  std::to_string(storage->stored_identity.id)});
  }
  return storage;
}

Result<Storage> Storage::OpenAny(const std::string& folder, NodeId new_id,
                                 const Snapshot& initial) {
  Storage storage(folder);
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  const std::optional<std::string> bytes =
      ReadBytes(storage.PathOf(kIdentityFile));
  if (!bytes.has_value()) {
    if (std::filesystem::exists(storage.PathOf(kLogFile))) {
      return tl::make_unexpected(
          storage.MakeError("log file exists without an identity file"));
    }
    storage.stored_identity = {new_id, RandomId()};
    storage.has_created_identity = true;
    Result<void> saved;
    if (!initial.membership.peers.empty()) {
      saved = storage.ReplaceFile(kSnapshotFile,
                                  EncodeRecord(protocol::Encode(initial)));
    }
    if (saved.has_value()) {
      saved = storage.ReplaceFile(
          kIdentityFile,
          EncodeRecord(protocol::Encode(storage.stored_identity)));
    }
    if (!saved.has_value()) {
      return tl::make_unexpected(saved.error());
    }
  } else {
    const Record record = DecodeRecord(*bytes);
    const std::optional<Identity> stored_identity =
        record.state == RecordState::kComplete
            ? protocol::Decode<Identity>(record.payload)
            : std::nullopt;
    if (!stored_identity.has_value()) {
      return tl::make_unexpected(storage.MakeError("identity file is damaged"));
    }
    storage.stored_identity = *stored_identity;
  }
  const Result<void> opened = storage.OpenLogFile();
  if (!opened.has_value()) {
    return tl::make_unexpected(opened.error());
  }
  return storage;
}

Result<void> Storage::OpenLogFile() {
  if (this->log_fd >= 0) {
    close(this->log_fd);
  }
  this->log_fd = open(this->PathOf(kLogFile).c_str(),
                      O_RDWR | O_CREAT | O_CLOEXEC, kFileMode);
  struct stat info {};
  if (this->log_fd < 0 || fstat(this->log_fd, &info) != 0 ||
      !SyncFolder(this->folder)) {
    return tl::make_unexpected(this->MakeError(
        std::string("cannot open log: ") + std::strerror(errno)));
  }
  this->log_size = static_cast<std::uint64_t>(info.st_size);
  return {};
}

Result<PersistentState> Storage::Load() {
  PersistentState stored;
  const std::optional<std::string> hard_state_bytes =
      ReadBytes(this->PathOf(kHardStateFile));
  if (hard_state_bytes.has_value()) {
    const Record record = DecodeRecord(*hard_state_bytes);
    const std::optional<HardState> hard_state =
        record.state == RecordState::kComplete
            ? protocol::Decode<HardState>(record.payload)
            : std::nullopt;
    if (!hard_state.has_value()) {
      return tl::make_unexpected(this->MakeError("hard state is damaged"));
    }
    stored.hard_state = *hard_state;
  }
  const std::optional<std::string> snapshot_bytes =
      ReadBytes(this->PathOf(kSnapshotFile));
  if (snapshot_bytes.has_value()) {
    const Record record = DecodeRecord(*snapshot_bytes);
    std::optional<Snapshot> decoded =
        record.state == RecordState::kComplete
            ? protocol::Decode<Snapshot>(record.payload)
            : std::nullopt;
    if (!decoded.has_value()) {
      return tl::make_unexpected(this->MakeError("snapshot is damaged"));
    }
    stored.snapshot = std::move(*decoded);
  }
  Result<std::vector<Entry>> entries = this->LoadEntries();
  if (!entries.has_value()) {
    return tl::make_unexpected(entries.error());
  }
  const auto is_replaced = [&stored](const Entry& entry) {
    return entry.index == stored.snapshot.index &&
           entry.term != stored.snapshot.term;
  };
  if (std::any_of(entries->begin(), entries->end(), is_replaced)) {
    // The snapshot was stored, but not the log that belongs to it: the entries
    // after the snapshot conflict with it as well.
    entries->clear();
    this->positions.clear();
    const Result<void> truncated = this->TruncateLog(0);
    if (!truncated.has_value()) {
      return tl::make_unexpected(truncated.error());
    }
  }
  for (Entry& entry : *entries) {
    if (entry.index <= stored.snapshot.index) {
      continue;
    }
    if (entry.index != stored.snapshot.index + stored.entries.size() + 1) {
      return tl::make_unexpected(this->MakeError("log has a gap"));
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
    const std::string_view rest = std::string_view(bytes).substr(offset);
    const Record record = DecodeRecord(rest);
    if (record.state == RecordState::kIncomplete && !HasDamagedLength(rest)) {
      this->has_incomplete_record = true;
      break;
    }
    std::optional<Entry> entry = record.state == RecordState::kComplete
                                     ? protocol::Decode<Entry>(record.payload)
                                     : std::nullopt;
    if (!entry.has_value()) {
      return tl::make_unexpected(
          this->MakeError("log is damaged at byte " + std::to_string(offset) +
                          "; this host must rejoin under a new id"));
    }
    this->positions.push_back({entry->index, offset});
    entries.push_back(std::move(*entry));
    offset += kRecordHeaderBytes + record.payload.size();
  }
  if (offset < bytes.size()) {
    const Result<void> truncated = this->TruncateLog(offset);
    if (!truncated.has_value()) {
      return tl::make_unexpected(truncated.error());
    }
  }
  this->log_size = offset;
  return entries;
}

Result<void> Storage::TruncateLog(std::uint64_t offset) {
  if (ftruncate(this->log_fd, static_cast<off_t>(offset)) != 0 ||
      fsync(this->log_fd) != 0) {
    return tl::make_unexpected(this->MakeError(
        std::string("cannot truncate log: ") + std::strerror(errno)));
  }
  this->log_size = offset;
  return {};
}

Result<void> Storage::AppendEntries(const std::vector<Entry>& entries) {
  const Index first = entries.front().index;
  while (!this->positions.empty() && this->positions.back().index >= first) {
    const Result<void> truncated =
        this->TruncateLog(this->positions.back().offset);
    if (!truncated.has_value()) {
      return truncated;
    }
    this->positions.pop_back();
  }
  std::string bytes;
  std::vector<Position> new_positions;
  for (const Entry& entry : entries) {
    new_positions.push_back({entry.index, this->log_size + bytes.size()});
    bytes += EncodeRecord(protocol::Encode(entry));
  }
  if (!WriteAll(this->log_fd, bytes, this->log_size) ||
      fdatasync(this->log_fd) != 0) {
    const std::string cause = std::strerror(errno);
    const Result<void> rolled_back = this->TruncateLog(this->log_size);
    return tl::make_unexpected(this->MakeError(
        "cannot append to log: " + cause +
        (rolled_back.has_value() ? "" : "; cannot roll it back either")));
  }
  this->log_size += bytes.size();
  this->positions.insert(this->positions.end(), new_positions.begin(),
                         new_positions.end());
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
  std::vector<Position> retained_positions;
  for (const Entry& entry : entries) {
    retained_positions.push_back({entry.index, bytes.size()});
    bytes += EncodeRecord(protocol::Encode(entry));
  }
  saved = this->ReplaceFile(kLogFile, bytes);
  if (!saved.has_value()) {
    return saved;
  }
  this->positions = std::move(retained_positions);
  return this->OpenLogFile();
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
