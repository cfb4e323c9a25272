#define BOOST_TEST_MODULE driver
#include "gooseberryturn/consensus/driver.h"

#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gooseberryturn/protocol/codec.h"
#include "gooseberryturn/protocol/message.h"

/// A control host's log on a disk that is full for a while: its driver, storage
/// and links, with a leader that the test plays.
using namespace gooseberryturn;             // NOLINT
using namespace gooseberryturn::consensus;  // NOLINT

namespace {

constexpr NodeId kFollower = 1;
constexpr NodeId kLeader = 2;
const Endpoint kFollowerLink = {"127.130.0.1", 7340};
const Endpoint kLeaderLink = {"127.130.0.2", 7340};
constexpr std::chrono::seconds kLimit(20);
/// A planned stop allows control hosts this long.
constexpr std::chrono::seconds kStopLimit(2);

[[nodiscard]] Membership TwoHosts() {
  Membership membership;
  membership.peers = {{kFollower, kFollowerLink, {}, true, 0},
                      {kLeader, kLeaderLink, {}, true, 0}};
  return membership;
}

/// While it exists, files of this process can't grow beyond `bytes`: writes are
/// cut there and fail, as on a full disk.
class FullDisk {
 public:
  explicit FullDisk(rlim_t bytes) {
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &this->before);
    rlimit full = this->before;
    full.rlim_cur = bytes;
    setrlimit(RLIMIT_FSIZE, &full);
  }
  ~FullDisk() { setrlimit(RLIMIT_FSIZE, &this->before); }
  FullDisk(const FullDisk&) = delete;
  FullDisk& operator=(const FullDisk&) = delete;

 private:
  rlimit before = {};
};

/// A follower's driver, and a leader that the test plays.
class DriverFixture {
 public:
  /// \param is_alone It is the only voter and leads, instead of following.
  explicit DriverFixture(bool is_alone = false)
      : channels(context), listener(context), leader_listener(context) {
    char name[] = "/tmp/gooseberryturn-driver-XXXXXX";
    this->folder = mkdtemp(name);
    Storage storage = Storage::Open(this->folder, kFollower).value();
    PersistentState stored = storage.Load().value();
    stored.snapshot.membership = TwoHosts();
    stored.snapshot.membership.Find(kLeader)->is_voter = !is_alone;
    BOOST_REQUIRE(storage.SaveSnapshot(stored.snapshot, {}).has_value());
    Options options;
    options.id = kFollower;
    options.disk_id = storage.identity().disk_id;
    if (!is_alone) {
      // Only the test's leader runs.
      options.election_timeout_min = std::chrono::minutes(10);
      options.election_timeout_max = std::chrono::minutes(20);
    }
    StateMachine machine;
    machine.apply = [this](const Entry& entry) { this->applied = entry.index; };
    machine.save = [this] {
      return std::to_string(this->applied) +
             std::string(this->saved_bytes, ' ');
    };
    machine.load = [this](const std::string& bytes) {
      this->applied = std::stoull(bytes);
      return true;
    };
    machine.applied_index = [this] { return this->applied; };
    this->driver = std::make_unique<Driver>(
        this->context, this->channels, std::move(storage),
        Node(options, std::move(stored), Clock::now()), std::move(machine),
        this->metrics);
    this->leader_listener.ServeMessage(
        protocol::kConsensusPath,
        [this](const std::shared_ptr<link::Stream>& /*stream*/,
               std::string_view payload) {
          this->replies.push_back(protocol::Decode<Message>(payload).value());
        });
    this->driver->Start(this->listener);
    BOOST_REQUIRE(this->listener.Start(kFollowerLink).has_value());
    BOOST_REQUIRE(this->leader_listener.Start(kLeaderLink).has_value());
    this->channels.Get(kFollowerLink)
        ->Open(protocol::kConsensusPath,
               [this](Result<std::shared_ptr<link::Stream>> opened) {
                 this->stream = opened.value();
               });
    BOOST_REQUIRE(this->RunUntil([this] { return this->stream != nullptr; }));
  }
  ~DriverFixture() {
    this->driver->Stop();
    std::filesystem::remove_all(this->folder);
  }
  DriverFixture(const DriverFixture&) = delete;
  DriverFixture& operator=(const DriverFixture&) = delete;

  bool RunUntil(const std::function<bool()>& condition) {
    const TimePoint end = Clock::now() + kLimit;
    while (!condition() && Clock::now() < end) {
      this->context.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
  }
  void RunFor(Duration length) { this->context.run_for(length); }
  /// Sends entries `first` to `last` as the leader of term 1.
  void SendEntries(Index first, Index last, Index commit,
                   std::size_t bytes = 10) {
    Message message;
    message.type = MessageType::kAppend;
    message.index = first - 1;
    message.log_term = first == 1 ? 0 : 1;
    message.commit = commit;
    for (Index index = first; index <= last; ++index) {
      message.entries.push_back(
          {1, index, EntryKind::kCommand, std::string(bytes, 'x')});
    }
    this->Send(std::move(message));
  }
  void SendSnapshot(Index index) {
    Message message;
    message.type = MessageType::kSnapshot;
    message.snapshot = {index, 1, TwoHosts(), std::to_string(index)};
    this->Send(std::move(message));
  }
  /// Makes the driver lead: the leader of term 1 resigns in its favour.
  void MakeLeader() {
    Message transfer;
    transfer.type = MessageType::kTransfer;
    this->Send(transfer);
    const auto is_vote_requested = [this] {
      return !this->replies.empty() &&
             this->replies.back().type == MessageType::kVote;
    };
    BOOST_REQUIRE(this->RunUntil(is_vote_requested));
    BOOST_TEST(this->replies.back().is_transfer);
    this->leader_term = this->replies.back().term;
    Message vote;
    vote.type = MessageType::kVoteReply;
    this->Send(vote);
    BOOST_REQUIRE(this->RunUntil([this] {
      this->AcknowledgeAppends();
      return this->driver->HasLease(Clock::now());
    }));
  }
  /// Answers the appends received since the last call.
  void AcknowledgeAppends() {
    for (const Message& append : std::exchange(this->replies, {})) {
      Message reply;
      reply.type = MessageType::kAppendReply;
      reply.index = append.index + append.entries.size();
      reply.round = append.round;
      this->Send(reply);
    }
  }
  /// True once the follower has acknowledged entry `index` as stored.
  bool IsAcknowledged(Index index) {
    return this->RunUntil([this, index] {
      return !this->replies.empty() && !this->replies.back().reject &&
             this->replies.back().index == index;
    });
  }
  [[nodiscard]] std::string PathOf(const std::string& file) const {
    return this->folder + "/" + file;
  }

  boost::asio::io_context context;
  link::ChannelPool channels;
  link::Listener listener;
  link::Listener leader_listener;
  observe::Metrics metrics;
  std::string folder;
  Term leader_term = 1;
  Index applied = 0;
  std::size_t saved_bytes = 0;
  std::vector<Message> replies;
  std::shared_ptr<link::Stream> stream;
  std::unique_ptr<Driver> driver;

 private:
  void Send(Message message) {
    message.from = kLeader;
    message.to = kFollower;
    message.disk_id = 77;
    message.term = this->leader_term;
    this->stream->Send(protocol::EncodeFrame(protocol::FrameType::kMessage,
                                             protocol::Encode(message)));
  }
};

/// A driver that leads.
class LeaderFixture : public DriverFixture {
 public:
  LeaderFixture() : DriverFixture(true) {
    BOOST_REQUIRE(this->RunUntil(
        [this] { return this->driver->HasLease(Clock::now()); }));
  }
};

/// Time for which the disk stays full; longer than one retry of the driver.
constexpr std::chrono::milliseconds kFullTime(700);

}  // namespace

BOOST_FIXTURE_TEST_CASE(
    a_snapshot_that_arrives_during_a_write_is_not_compacted_away,
    DriverFixture) {
  // Applying entry 1 makes a compaction due.
  this->SendEntries(1, 1, 0, Driver::kSnapshotBytes);
  BOOST_REQUIRE(this->IsAcknowledged(1));
  {
    const FullDisk full(0);
    this->SendEntries(2, 2, 1);
    this->SendSnapshot(100);
    this->RunFor(kFullTime);
    BOOST_TEST(this->applied == 0U);
  }
  BOOST_REQUIRE(this->RunUntil([this] { return this->applied == 100; }));
  BOOST_TEST(this->driver->node().log().LastIndex() == 100U);
  this->SendEntries(101, 101, 101);
  BOOST_TEST(this->IsAcknowledged(101));
  BOOST_TEST(this->RunUntil([this] { return this->applied == 101; }));
}

BOOST_FIXTURE_TEST_CASE(a_stopped_driver_acknowledges_nothing_unstored,
                        DriverFixture) {
  // An entry that came after the stop was kept in memory only, and
  // acknowledged when it came again.
  this->SendEntries(1, 1, 0);
  BOOST_REQUIRE(this->IsAcknowledged(1));
  this->driver->Stop();
  for (int attempt = 0; attempt < 2; ++attempt) {
    this->SendEntries(2, 2, 0);
    this->RunFor(std::chrono::milliseconds(100));
  }
  BOOST_TEST(this->replies.back().index == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_stop_does_not_wait_for_a_full_disk, DriverFixture) {
  this->SendEntries(1, 1, 0);
  BOOST_REQUIRE(this->IsAcknowledged(1));
  const FullDisk full(0);
  this->SendEntries(2, 2, 0);
  this->RunFor(kFullTime);
  // The disk gets room only after the stop must have ended.
  std::thread room([] {
    std::this_thread::sleep_for(2 * kStopLimit);
    rlimit free = {};
    getrlimit(RLIMIT_FSIZE, &free);
    free.rlim_cur = free.rlim_max;
    setrlimit(RLIMIT_FSIZE, &free);
  });
  const TimePoint before = Clock::now();
  this->driver->Stop();
  BOOST_TEST((Clock::now() - before < kStopLimit));
  room.join();
}

BOOST_FIXTURE_TEST_CASE(a_torn_write_is_repeated_when_the_disk_has_room,
                        DriverFixture) {
  this->SendEntries(1, 3, 1);
  BOOST_REQUIRE(this->IsAcknowledged(3));
  {
    // The write of entry 4 is cut in its middle.
    const FullDisk full(std::filesystem::file_size(this->PathOf("log")) + 500);
    this->SendEntries(4, 4, 3, 1000);
    this->SendEntries(5, 6, 3);
    this->RunFor(kFullTime);
    BOOST_TEST(this->replies.back().index == 3U);
  }
  BOOST_TEST(this->IsAcknowledged(6));
  this->driver->Stop();
  Storage reopened = Storage::Open(this->folder, kFollower).value();
  const PersistentState stored = reopened.Load().value();
  BOOST_TEST(stored.entries.size() == 6U);
  BOOST_TEST(!reopened.had_incomplete_record());
}

BOOST_FIXTURE_TEST_CASE(a_compaction_is_repeated_when_the_disk_has_room,
                        DriverFixture) {
  this->saved_bytes = 2 * Driver::kSnapshotBytes;
  this->SendEntries(1, 1, 0, Driver::kSnapshotBytes);
  BOOST_REQUIRE(this->IsAcknowledged(1));
  {
    // There is room for entry 2, but not for the whole snapshot.
    const FullDisk full(Driver::kSnapshotBytes + 1000);
    this->SendEntries(2, 2, 1);
    BOOST_REQUIRE(this->IsAcknowledged(2));
    this->SendEntries(3, 4, 2);
    this->RunFor(kFullTime);
    BOOST_TEST(this->replies.back().index == 2U);
  }
  BOOST_TEST(this->IsAcknowledged(4));
  this->driver->Stop();
  Storage reopened = Storage::Open(this->folder, kFollower).value();
  const PersistentState stored = reopened.Load().value();
  BOOST_TEST(stored.snapshot.index == 1U);
  BOOST_TEST(stored.entries.size() == 3U);
  BOOST_TEST(!std::filesystem::exists(this->PathOf("snapshot.new")));
}

BOOST_FIXTURE_TEST_CASE(a_leader_whose_disk_is_full_resigns, DriverFixture) {
  // It could not store a change, and the others would wait for an election
  // timeout before one of them can.
  this->MakeLeader();
  const FullDisk full(0);
  bool has_failed = false;
  this->driver->Propose("change", [&has_failed](const Result<Index>& applied) {
    has_failed = !applied.has_value();
  });
  BOOST_TEST(this->RunUntil([this] {
    return !this->replies.empty() &&
           this->replies.back().type == MessageType::kTransfer;
  }));
  BOOST_TEST(has_failed);
  BOOST_TEST((this->driver->node().role() == NodeRole::kFollower));
}

BOOST_FIXTURE_TEST_CASE(
    a_deposed_leader_answers_its_calls_while_its_disk_is_full, LeaderFixture) {
  const FullDisk full(0);
  bool is_answered = false;
  this->driver->Propose("change", [&is_answered](const Result<Index>& applied) {
    is_answered = !applied.has_value();
  });
  this->RunFor(kFullTime);
  BOOST_TEST(!is_answered);
  this->leader_term = this->driver->node().term() + 1;
  this->SendEntries(100, 100, 0);
  BOOST_TEST(this->RunUntil([&is_answered] { return is_answered; }));
}
