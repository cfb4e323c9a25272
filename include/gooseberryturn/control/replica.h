#ifndef GOOSEBERRYTURN_CONTROL_REPLICA_H_
#define GOOSEBERRYTURN_CONTROL_REPLICA_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "gooseberryturn/consensus/node.h"
#include "gooseberryturn/consensus/storage.h"
#include "gooseberryturn/control/command.h"
#include "gooseberryturn/control/state.h"
#include "gooseberryturn/core/ring.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::control {

/// \brief One control host's copy of the replicated state.
///
/// \details Drives a consensus::Node: the link thread decides and talks to
/// the peers, a storage thread syncs. They are joined by a bounded ring with
/// one write in progress at a time.
class Replica {
 public:
  using OnApplied = std::function<void(Result<CommandResult>)>;

  Replica(boost::asio::io_context& context, link::ChannelPool& channels,
          consensus::Storage storage, consensus::Node node,
          observe::Metrics& metrics);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// \brief Called when this host begins to lead.
  std::function<void()> on_lead;
  /// \brief Called after commands were applied.
  std::function<void()> on_applied;

  /// \brief Restores the state machine; false when the snapshot is damaged.
  [[nodiscard]] bool Restore();
  /// \brief Starts the threads and serves consensus streams of `listener`.
  void Start(link::Listener& listener);
  /// \brief Ends the storage thread.
  void Stop();
  /// \brief Proposes a command and reports its result once it is applied.
  ///
  /// \details Fails with kNotRun when this host does not lead and with
  /// kUnknown when leadership is lost before the result is known.
  template <typename Body>
  void Propose(CommandKind kind, const Body& body, OnApplied on_applied) {
    this->ProposeBytes(protocol::Encode(Command{kind, protocol::Encode(body)}),
                       std::move(on_applied));
  }
  /// \brief Proposes a change of the quorum.
  [[nodiscard]] Result<void> ChangeMembership(
      const consensus::Membership& next);

  [[nodiscard]] const State& state() const noexcept { return this->machine; }
  [[nodiscard]] const consensus::Node& node() const noexcept {
    return this->raft;
  }
  /// \brief True while this host may answer for the whole quorum.
  [[nodiscard]] bool HasLease(TimePoint now) const {
    return this->raft.HasLease(now);
  }
  /// \brief The peer that leads, or null when it is not known.
  [[nodiscard]] const consensus::Peer* Leader() const {
    return this->raft.membership().Find(this->raft.leader());
  }

  /// \brief Proposals that may wait for their results.
  static constexpr std::size_t kMaxPending = 20'000;
  static constexpr std::uint64_t kSnapshotEvery = 5000;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
  static constexpr Duration kStorageRetry = std::chrono::milliseconds(500);

 private:
  /// Work for the storage thread.
  struct WriteJob {
    std::shared_ptr<consensus::Ready> ready;
    std::shared_ptr<consensus::Snapshot> compaction;
    std::vector<consensus::Entry> kept;
  };

  /// A proposal whose result somebody waits for.
  struct Pending {
    consensus::Term term = 0;
    TimePoint proposed_at;
    OnApplied on_applied;
  };

  void ProposeBytes(std::string bytes, OnApplied on_applied);
  void Tick();
  void Pump();
  void RunStorage();
  [[nodiscard]] Result<void> Write(const WriteJob& job);
  void Written(const WriteJob& job);
  void Finish(const consensus::Ready& ready);
  void Send(const consensus::Message& message);
  void ApplyEntry(const consensus::Entry& entry);
  void CompactIfLong();
  void FailPending();
  void NoteRole();

  boost::asio::io_context& context;
  boost::asio::steady_timer timer;
  link::ChannelPool& channels;
  consensus::Storage storage;
  consensus::Node raft;
  State machine;
  observe::Metrics& metrics;
  std::map<consensus::Index, Pending> pending;
  std::map<consensus::NodeId, std::shared_ptr<link::Stream>> streams;
  std::map<consensus::NodeId, bool> is_opening;
  bool is_writing = false;
  bool was_leading = false;
  consensus::Term led_term = 0;
  Ring<WriteJob> jobs;
  std::thread storage_thread;
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_REPLICA_H_
