#define BOOST_TEST_MODULE storage
#include "gooseberryturn/consensus/storage.h"

#include <sys/resource.h>

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

using namespace gooseberryturn;             // NOLINT
using namespace gooseberryturn::consensus;  // NOLINT

namespace {

/// Size of the length with which a record begins.
constexpr std::uintmax_t kLengthBytes = 4;

struct TemporaryFolder {
  TemporaryFolder() {
    char name[] = "/tmp/gooseberryturn-storage-XXXXXX";
    this->path = mkdtemp(name);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(this->path); }

  Storage Open() const { return Storage::Open(this->path, 1).value(); }
  std::string LogPath() const { return this->path + "/log"; }
  void Save(Storage& storage, Index first, Index last) const {
    Ready ready;
    ready.hard_state = HardState{1, 1};
    for (Index index = first; index <= last; ++index) {
      ready.entries.push_back(
          {1, index, EntryKind::kCommand, "entry " + std::to_string(index)});
    }
    BOOST_REQUIRE(storage.Save(ready).has_value());
  }
  std::string path;
};

}  // namespace

BOOST_FIXTURE_TEST_CASE(saved_state_is_loaded, TemporaryFolder) {
  std::uint64_t disk_id = 0;
  {
    Storage storage = Open();
    BOOST_TEST(storage.is_new());
    disk_id = storage.identity().disk_id;
    BOOST_TEST(storage.Load()->entries.empty());
    Save(storage, 1, 5);
    Save(storage, 4, 6);  // Replaces entries 4 and 5.
  }
  Storage storage = Open();
  BOOST_TEST(!storage.is_new());
  BOOST_TEST(storage.identity().disk_id == disk_id);
  const PersistentState stored = storage.Load().value();
  BOOST_TEST(stored.entries.size() == 6U);
  BOOST_TEST(stored.entries.back().data == "entry 6");
  BOOST_TEST(stored.hard_state.vote == 1U);
}

BOOST_FIXTURE_TEST_CASE(torn_tail_is_dropped_at_every_length, TemporaryFolder) {
  std::uintmax_t size_of_two = 0;
  {
    Storage storage = Open();
    Save(storage, 1, 2);
    size_of_two = std::filesystem::file_size(LogPath());
    Save(storage, 3, 3);
  }
  const std::uintmax_t size_of_three = std::filesystem::file_size(LogPath());
  for (std::uintmax_t size = size_of_three - 1; size > size_of_two; --size) {
    std::filesystem::resize_file(LogPath(), size);
    Storage storage = Open();
    const Result<PersistentState> stored = storage.Load();
    BOOST_REQUIRE(stored.has_value());
    BOOST_TEST(stored->entries.size() == 2U);
    BOOST_TEST(storage.had_incomplete_record());
    Save(storage, 3, 3);
  }
}

BOOST_FIXTURE_TEST_CASE(zero_filled_tail_is_dropped, TemporaryFolder) {
  {
    Storage storage = Open();
    Save(storage, 1, 2);
  }
  std::ofstream(LogPath(), std::ios::app) << std::string(64, '\0');
  Storage storage = Open();
  BOOST_TEST(storage.Load()->entries.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(flipped_bit_is_never_taken_for_a_torn_tail,
                        TemporaryFolder) {
  {
    Storage storage = Open();
    Save(storage, 1, 3);
  }
  const std::uintmax_t size = std::filesystem::file_size(LogPath());
  for (const std::uintmax_t offset : {std::uintmax_t{20}, size / 2, size - 2}) {
    std::fstream file(LogPath(),
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekg(static_cast<std::streamoff>(offset));
    const char byte = static_cast<char>(file.get());
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(static_cast<char>(byte ^ 0x40));
    file.flush();
    Storage storage = Open();
    const Result<PersistentState> stored = storage.Load();
    BOOST_REQUIRE(!stored.has_value());
    BOOST_TEST(stored.error().message.find("damaged") != std::string::npos);
    BOOST_TEST((stored.error().step == Step::kStorage));
    file.seekp(static_cast<std::streamoff>(offset));
    file.put(byte);
  }
}

BOOST_FIXTURE_TEST_CASE(damaged_length_is_never_taken_for_a_torn_tail,
                        TemporaryFolder) {
  // The length is the first field of a record, outside its checksum. One that
  // reaches beyond the end of the file looked like a record of a torn write,
  // and all entries from there on were dropped.
  std::vector<std::uintmax_t> records = {0};
  {
    Storage storage = Open();
    for (Index index = 1; index <= 3; ++index) {
      Save(storage, index, index);
      records.push_back(std::filesystem::file_size(LogPath()));
    }
  }
  records.pop_back();
  for (const std::uintmax_t record : records) {
    for (std::uintmax_t byte = 0; byte < kLengthBytes; ++byte) {
      const std::streamoff offset = static_cast<std::streamoff>(record + byte);
      std::fstream file(LogPath(),
                        std::ios::in | std::ios::out | std::ios::binary);
      file.seekg(offset);
      const char before = static_cast<char>(file.get());
      file.seekp(offset);
      file.put(static_cast<char>(before ^ 0x7f));
      file.flush();
      Storage storage = Open();
      const Result<PersistentState> stored = storage.Load();
      BOOST_TEST_CONTEXT("record at " << record << ", byte " << byte) {
        BOOST_REQUIRE(!stored.has_value());
        BOOST_TEST(stored.error().message.find("damaged") != std::string::npos);
      }
      file.seekp(offset);
      file.put(before);
    }
  }
  Storage storage = Open();
  BOOST_TEST(storage.Load()->entries.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(damaged_hard_state_and_foreign_id_are_errors,
                        TemporaryFolder) {
  {
    Storage storage = Open();
    Save(storage, 1, 1);
  }
  BOOST_TEST(!Storage::Open(path, 2).has_value());
  std::ofstream(path + "/hard-state") << "garbage that is long enough";
  Storage storage = Open();
  BOOST_TEST(!storage.Load().has_value());
}

BOOST_FIXTURE_TEST_CASE(snapshot_replaces_the_log, TemporaryFolder) {
  {
    Storage storage = Open();
    Save(storage, 1, 9);
    Snapshot snapshot;
    snapshot.index = 7;
    snapshot.term = 1;
    snapshot.data = "state";
    BOOST_REQUIRE(
        storage
            .SaveSnapshot(snapshot, {{1, 8, EntryKind::kCommand, "entry 8"},
                                     {1, 9, EntryKind::kCommand, "entry 9"}})
            .has_value());
    Save(storage, 10, 10);
  }
  Storage storage = Open();
  const PersistentState stored = storage.Load().value();
  BOOST_TEST(stored.snapshot.data == "state");
  BOOST_TEST(stored.entries.size() == 3U);
  BOOST_TEST(stored.entries.front().index == 8U);
}

BOOST_FIXTURE_TEST_CASE(failed_save_on_a_full_disk_can_be_retried,
                        TemporaryFolder) {
  Storage storage = Open();
  Save(storage, 1, 1);
  // A file size limit simulates a full disk.
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  rlimit small = before;
  small.rlim_cur = std::filesystem::file_size(LogPath()) + 40;
  setrlimit(RLIMIT_FSIZE, &small);
  Ready ready;
  ready.entries = {{1, 2, EntryKind::kCommand, std::string(500, 'x')}};
  const Result<void> failed = storage.Save(ready);
  setrlimit(RLIMIT_FSIZE, &before);
  BOOST_REQUIRE(!failed.has_value());
  BOOST_TEST(storage.Save(ready).has_value());
  Storage reopened = Open();
  BOOST_TEST(reopened.Load()->entries.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(
    replaced_entries_do_not_return_when_a_snapshot_was_half_saved,
    TemporaryFolder) {
  {
    // The leader's snapshot is stored, but the disk is full before the log is
    // replaced, and the host restarts.
    Storage storage = Open();
    Save(storage, 1, 5);
    Snapshot snapshot;
    snapshot.index = 3;
    snapshot.term = 2;
    const std::string blocked = LogPath() + ".new";
    std::filesystem::create_directory(blocked);
    BOOST_REQUIRE(!storage.SaveSnapshot(snapshot, {}).has_value());
    std::filesystem::remove(blocked);
  }
  {
    Storage storage = Open();
    const PersistentState stored = storage.Load().value();
    BOOST_TEST(stored.snapshot.index == 3U);
    BOOST_TEST(stored.entries.empty());
    Ready ready;
    ready.entries = {{2, 4, EntryKind::kCommand, "committed"}};
    BOOST_REQUIRE(storage.Save(ready).has_value());
  }
  Storage storage = Open();
  const PersistentState stored = storage.Load().value();
  BOOST_REQUIRE(stored.entries.size() == 1U);
  BOOST_TEST(stored.entries.front().data == "committed");
}
