#ifndef GOOSEBERRYTURN_CONSENSUS_DRIVER_H_
#define GOOSEBERRYTURN_CONSENSUS_DRIVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "gooseberryturn/consensus/node.h"
#include "gooseberryturn/consensus/storage.h"
#include "gooseberryturn/core/bounded_queue.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::consensus {

/// \brief Callbacks into the replicated state machine.
struct StateMachine {
  /// Applies a committed entry; called in log order.
  std::function<void(const Entry&)> apply;
  /// Serializes the state for a snapshot.
  std::function<std::string()> save;
  /// Replaces the state by a serialized one; false when it cannot be decoded.
  std::function<bool(const std::string&)> load;
  /// Index of the last applied entry.
  std::function<Index()> applied_index;
};

/// \brief Runs a Node: its timer, messages, storage writes and the state
/// machine.
///
/// \details The node runs on the link thread, the thread that runs `context`,
/// which also exchanges messages with the peers; a storage thread writes and
/// syncs. Writes go to the storage thread through a bounded queue, one at a
/// time.
///
/// Once started, Propose, ChangeMembership, Resign, Abstain, node, HasLease and
/// Leader must be called on the link thread, and all callbacks run on it.
class Driver {
 public:
  /// \brief Receives the index of a proposal once it is applied, or an error.
  using OnApplied = std::function<void(Result<Index>)>;

  Driver(boost::asio::io_context& context, link::ChannelPool& channels,
         Storage storage, Node node, StateMachine machine,
         observe::Metrics& metrics);
  ~Driver();
  Driver(const Driver&) = delete;
  Driver& operator=(const Driver&) = delete;

  /// \brief Called when this host becomes leader of a new term.
  std::function<void()> on_become_leader;
  /// \brief Called with the sender of each message from a peer.
  std::function<void(NodeId)> on_peer_message;
  /// \brief Called after committed entries were applied.
  std::function<void()> on_applied;

  /// \brief Loads the snapshot into the state machine; false when it cannot be
  /// decoded.
  [[nodiscard]] bool Restore();
  /// \brief Starts the storage thread and the tick timer, and serves consensus
  /// streams on `listener`.
  void Start(link::Listener& listener);
  /// \brief Stops the storage thread and waits for it.
  ///
  /// \details A write that fails is not repeated any more; nothing that depends
  /// on it has been sent. Work that needs storage is dropped from then on, and
  /// nothing is sent after it.
  void Stop();
  /// \brief Proposes a command and calls `on_applied` once it is applied.
  ///
  /// \details Fails with Outcome::kNotRun when this host is not the leader or
  /// kMaxPendingProposals are pending, and with Outcome::kUnknown when
  /// leadership is lost before the result is known.
  void Propose(std::string bytes, OnApplied on_applied);
  /// \brief Proposes a membership change; see Node::ChangeMembership.
  [[nodiscard]] Result<void> ChangeMembership(const Membership& next);

  /// \brief Hands leadership to another host if this one leads; see
  /// Node::Resign. Pending proposals fail with Outcome::kUnknown.
  void Resign();
  /// \brief Stands for no election any more; see Node::Abstain.
  void Abstain() { this->raft.Abstain(); }

  [[nodiscard]] const Node& node() const noexcept { return this->raft; }
  /// \brief True while this host may serve reads alone; see Node::HasLease.
  [[nodiscard]] bool HasLease(TimePoint now) const {
    return this->raft.HasLease(now);
  }
  /// \brief The current leader, or nullptr when it is unknown.
  [[nodiscard]] const Peer* Leader() const {
    return this->raft.membership().Find(this->raft.leader());
  }

  /// \brief Proposals that may be pending at a time.
  static constexpr std::size_t kMaxPendingProposals = 20'000;
  /// Applied entries after which the log is compacted into a new snapshot.
  static constexpr std::uint64_t kSnapshotThreshold = 5000;
  /// Bytes of applied entries after which it is compacted as well; the log is
  /// kept in memory.
  static constexpr std::size_t kSnapshotBytes = 8U * 1024U * 1024U;
  /// Messages queued for a peer while its stream is being opened; the oldest
  /// are dropped first. Of those with entries or a snapshot only the newest is
  /// kept.
  static constexpr std::size_t kMaxUnsentMessages = 16;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
  static constexpr Duration kStorageRetryInterval =
      std::chrono::milliseconds(500);

 private:
  /// Work for the storage thread: either `ready`, or a compacted log.
  struct WriteJob {
    std::shared_ptr<Ready> ready;
    std::shared_ptr<Snapshot> compaction;
    std::vector<Entry> retained_entries;  ///< Entries after `compaction`.
  };

  /// A proposal that is not applied yet.
  struct PendingProposal {
    Term term = 0;
    TimePoint proposed_at;
    OnApplied on_applied;
  };

  void Tick();
  void ProcessReady();
  void RunStorageThread();
  [[nodiscard]] Result<void> Write(const WriteJob& job);
  void OnWritten(const WriteJob& job);
  void SendAndApply(const Ready& ready);
  void Send(const Message& message);
  /// Queues a message while the stream to its peer is being opened. A vote that
  /// was dropped instead would delay the election by a whole election timeout.
  void QueueUnsent(const Message& message);
  void FlushUnsent(NodeId peer);
  void ApplyEntry(const Entry& entry);
  void CompactIfNeeded();
  void FailPendingProposals();
  void HandleRoleChange();

  boost::asio::io_context& context;
  boost::asio::steady_timer timer;
  link::ChannelPool& channels;
  Storage storage;
  Node raft;
  StateMachine machine;
  observe::Metrics& metrics;
  std::map<Index, PendingProposal> pending_proposals;
  std::map<NodeId, std::shared_ptr<link::Stream>> streams;
  std::map<NodeId, bool> is_opening;
  std::map<NodeId, std::deque<Message>> unsent_messages;
  std::size_t bytes_since_snapshot = 0;
  bool is_write_in_progress = false;
  bool was_leader = false;
  Term last_led_term = 0;
  BoundedQueue<WriteJob> write_jobs;
  std::thread storage_thread;
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_CONSENSUS_DRIVER_H_
