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

/// \brief The replicated state machine as its driver sees it.
struct StateMachine {
  std::function<void(const Entry&)> apply;
  std::function<std::string()> save;
  /// False when the bytes are no saved state.
  std::function<bool(const std::string&)> load;
  /// Index of the last entry that was applied.
  std::function<Index()> applied_index;
};

/// \brief Drives a Node: the link thread decides and talks to the peers, a
/// storage thread syncs.
///
/// \details The threads are joined by a bounded ring with one write in
/// progress at a time.
class Driver {
 public:
  /// \brief Result of a proposal: its index once it is applied.
  using OnApplied = std::function<void(Result<Index>)>;

  Driver(boost::asio::io_context& context, link::ChannelPool& channels,
         Storage storage, Node node, StateMachine machine,
         observe::Metrics& metrics);
  ~Driver();
  Driver(const Driver&) = delete;
  Driver& operator=(const Driver&) = delete;

  /// \brief Called when this host begins to lead.
  std::function<void()> on_lead;
  /// \brief Called when a peer gave a sign of life.
  std::function<void(NodeId)> on_heard;
  /// \brief Called after entries were applied.
  std::function<void()> on_applied;

  /// \brief Restores the state machine; false when the snapshot is damaged.
  [[nodiscard]] bool Restore();
  /// \brief Starts the threads and serves consensus streams of `listener`.
  void Start(link::Listener& listener);
  /// \brief Ends the storage thread.
  void Stop();
  /// \brief Proposes a command and reports when it is applied.
  ///
  /// \details Fails with kNotRun when this host does not lead and with
  /// kUnknown when leadership is lost before the result is known.
  void Propose(std::string bytes, OnApplied on_applied);
  /// \brief Proposes a change of the quorum.
  [[nodiscard]] Result<void> ChangeMembership(const Membership& next);

  [[nodiscard]] const Node& node() const noexcept { return this->raft; }
  /// \brief True while this host may answer for the whole quorum.
  [[nodiscard]] bool HasLease(TimePoint now) const {
    return this->raft.HasLease(now);
  }
  /// \brief The peer that leads, or null when it is not known.
  [[nodiscard]] const Peer* Leader() const {
    return this->raft.membership().Find(this->raft.leader());
  }

  /// \brief Proposals that may wait for their results.
  static constexpr std::size_t kMaxPending = 20'000;
  static constexpr std::uint64_t kSnapshotEvery = 5000;
  /// Messages kept for a peer whose link is being opened.
  static constexpr std::size_t kMaxUnsent = 16;
  static constexpr Duration kTickInterval = std::chrono::milliseconds(20);
  static constexpr Duration kStorageRetry = std::chrono::milliseconds(500);

 private:
  /// Work for the storage thread.
  struct WriteJob {
    std::shared_ptr<Ready> ready;
    std::shared_ptr<Snapshot> compaction;
    std::vector<Entry> kept;
  };

  /// A proposal whose result somebody waits for.
  struct Pending {
    Term term = 0;
    TimePoint proposed_at;
    OnApplied on_applied;
  };

  void Tick();
  void Pump();
  void RunStorage();
  [[nodiscard]] Result<void> Write(const WriteJob& job);
  void Written(const WriteJob& job);
  void Finish(const Ready& ready);
  void Send(const Message& message);
  /// Keeps a message while the link to its peer is being opened, so that a
  /// vote is not lost for a whole election timeout.
  void KeepUnsent(const Message& message);
  void SendUnsent(NodeId peer);
  void ApplyEntry(const Entry& entry);
  void CompactIfLong();
  void FailPending();
  void NoteRole();

  boost::asio::io_context& context;
  boost::asio::steady_timer timer;
  link::ChannelPool& channels;
  Storage storage;
  Node raft;
  StateMachine machine;
  observe::Metrics& metrics;
  std::map<Index, Pending> pending;
  std::map<NodeId, std::shared_ptr<link::Stream>> streams;
  std::map<NodeId, bool> is_opening;
  std::map<NodeId, std::deque<Message>> unsent;
  bool is_writing = false;
  bool was_leading = false;
  Term led_term = 0;
  BoundedQueue<WriteJob> jobs;
  std::thread storage_thread;
};

}  // namespace gooseberryturn::consensus

#endif  // GOOSEBERRYTURN_CONSENSUS_DRIVER_H_
