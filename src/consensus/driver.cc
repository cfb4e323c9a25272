#include "gooseberryturn/consensus/driver.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <optional>
#include <utility>

#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"
#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::consensus {

using observe::Level;
using observe::LogEvent;

namespace {

/// Messages to a peer whose stream holds this many unsent bytes are dropped;
/// the node sends again what is still needed.
constexpr std::size_t kMaxUnsentBytes = 1024U * 1024U;
/// The same for entries and snapshots. Lower, so that heartbeats and votes
/// don't wait behind copies of entries that are still on their way.
constexpr std::size_t kMaxUnsentBulkBytes = 64U * 1024U;

/// True for messages whose size goes with the log or the state.
bool IsBulk(const Message& message) {
  return !message.entries.empty() || message.type == MessageType::kSnapshot;
}

Error LeadershipLostError() {
  return {Reason::kControlUnavailable, Step::kCommit, Outcome::kUnknown,
          std::string(), "leadership was lost before the result was known"};
}

}  // namespace

Driver::Driver(boost::asio::io_context& context, link::ChannelPool& channels,
               Storage storage, Node node, StateMachine machine,
               observe::Metrics& metrics)
    : context(context),
      timer(context),
      channels(channels),
      storage(std::move(storage)),
      raft(std::move(node)),
      machine(std::move(machine)),
      metrics(metrics),
      write_jobs(1) {}

Driver::~Driver() { this->Stop(); }

bool Driver::Restore() {
  const Snapshot& snapshot = this->raft.log().snapshot();
  return snapshot.index == 0 || snapshot.data.empty() ||
         this->machine.load(snapshot.data);
}

void Driver::Start(link::Listener& listener) {
  listener.ServeMessage(protocol::kConsensusPath,
                        [this](const std::shared_ptr<link::Stream>& /*stream*/,
                               std::string_view payload) {
                          const std::optional<Message> message =
                              protocol::Decode<Message>(payload);
                          if (message.has_value()) {
                            if (this->on_peer_message) {
                              this->on_peer_message(message->from);
                            }
                            this->raft.Receive(*message, Clock::now());
                            this->ProcessReady();
                          }
                        });
  this->storage_thread = std::thread([this] { this->RunStorageThread(); });
  this->Tick();
}

void Driver::Stop() {
  this->write_jobs.Close();
  if (this->storage_thread.joinable()) {
    this->storage_thread.join();
  }
}

// ------------------------------------------------------------------ storage

Result<void> Driver::Write(const WriteJob& job) {
  if (job.compaction != nullptr) {
    return this->storage.SaveSnapshot(*job.compaction, job.retained_entries);
  }
  return this->storage.Save(*job.ready);
}

void Driver::RunStorageThread() {
  while (std::optional<WriteJob> job = this->write_jobs.Pop()) {
    Result<void> written = this->Write(*job);
    while (!written.has_value()) {
      // None of the job counts as stored. Until the write succeeds, nothing is
      // sent but a transfer of leadership.
      LogEvent(Level::kError, "", "storage_failed",
               observe::FieldsOf(written.error()));
      boost::asio::post(this->context, [this] { this->Resign(); });
      if (this->write_jobs.WaitUntilClosed(kStorageRetryInterval)) {
        return;
      }
      written = this->Write(*job);
    }
    boost::asio::post(this->context, [this, done = std::move(*job)] {
      this->OnWritten(done);
    });
  }
}

void Driver::ProcessReady() {
  // A write may wait for a long time, and calls must not wait with it.
  this->HandleRoleChange();
  if (this->is_write_in_progress) {
    return;
  }
  const std::shared_ptr<Ready> ready =
      std::make_shared<Ready>(this->raft.TakeReady());
  if (ready->IsEmpty()) {
    return;
  }
  if (!ready->NeedsStorage()) {
    this->SendAndApply(*ready);
    this->ProcessReady();
    return;
  }
  this->is_write_in_progress = true;
  WriteJob job;
  job.ready = ready;
  // Fails only once the driver is stopped. The work is not stored then, so
  // nothing that follows it may be sent or applied.
  (void)this->write_jobs.TryPush(std::move(job));
}

void Driver::OnWritten(const WriteJob& job) {
  this->is_write_in_progress = false;
  if (job.ready != nullptr) {
    this->raft.Persisted(*job.ready);
    this->SendAndApply(*job.ready);
    this->CompactIfNeeded();
  }
  this->ProcessReady();
}

void Driver::SendAndApply(const Ready& ready) {
  for (const Message& message : ready.messages) {
    this->Send(message);
  }
  if (ready.snapshot.has_value()) {
    this->bytes_since_snapshot = 0;
    if (!this->machine.load(ready.snapshot->data)) {
      LogEvent(Level::kError, "", "snapshot_damaged");
    }
  }
  for (const Entry& entry : ready.committed) {
    this->ApplyEntry(entry);
  }
  this->metrics.Set(observe::Metric::kLogCommit,
                    static_cast<std::int64_t>(this->raft.commit_index()));
  if (!ready.committed.empty() && this->on_applied) {
    this->on_applied();
  }
}

void Driver::CompactIfNeeded() {
  const Index applied = this->machine.applied_index();
  const Index snapshot_index = this->raft.log().snapshot().index;
  const bool is_due = applied >= snapshot_index + kSnapshotThreshold ||
                      this->bytes_since_snapshot >= kSnapshotBytes;
  // A snapshot from the leader may be in the log, but not loaded yet. The state
  // is then older than the log, and must not replace its beginning.
  if (this->is_write_in_progress || applied <= snapshot_index || !is_due) {
    return;
  }
  this->bytes_since_snapshot = 0;
  WriteJob job;
  job.compaction = std::make_shared<Snapshot>(
      this->raft.Compact(applied, this->machine.save()));
  job.retained_entries = this->raft.log().EntriesBetween(
      applied + 1, this->raft.log().LastIndex());
  this->is_write_in_progress = true;
  (void)this->write_jobs.TryPush(std::move(job));
}

// --------------------------------------------------------------------- node

void Driver::Tick() {
  this->raft.Tick(Clock::now());
  this->ProcessReady();
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void Driver::HandleRoleChange() {
  const bool is_leader = this->raft.role() == NodeRole::kLeader;
  const bool is_new_term =
      is_leader && this->last_led_term != this->raft.term();
  if (this->was_leader && (!is_leader || is_new_term)) {
    this->FailPendingProposals();
  }
  if (is_leader != this->was_leader || is_new_term) {
    this->metrics.Set(observe::Metric::kIsLeader, is_leader ? 1 : 0);
    LogEvent(Level::kInfo, "", is_leader ? "leading" : "following",
             {{"term", std::to_string(this->raft.term())}});
  }
  this->was_leader = is_leader;
  if (is_new_term) {
    this->last_led_term = this->raft.term();
    if (this->on_become_leader) {
      this->on_become_leader();
    }
  }
}

void Driver::QueueUnsent(const Message& message) {
  std::deque<Message>& queue = this->unsent_messages[message.to];
  if (IsBulk(message)) {
    queue.erase(std::remove_if(queue.begin(), queue.end(), IsBulk),
                queue.end());
  }
  queue.push_back(message);
  if (queue.size() > kMaxUnsentMessages) {
    queue.pop_front();
  }
}

void Driver::FlushUnsent(NodeId peer) {
  const std::deque<Message> queue =
      std::exchange(this->unsent_messages[peer], std::deque<Message>());
  const std::shared_ptr<link::Stream>& stream = this->streams[peer];
  if (stream == nullptr || stream->is_closed()) {
    return;  // The node resends what is still needed.
  }
  for (const Message& message : queue) {
    this->Send(message);
  }
}

void Driver::Send(const Message& message) {
  const Peer* peer = this->raft.membership().Find(message.to);
  if (peer == nullptr) {
    return;
  }
  std::shared_ptr<link::Stream>& stream = this->streams[message.to];
  if (stream == nullptr || stream->is_closed()) {
    stream = nullptr;
    this->QueueUnsent(message);
    if (this->is_opening[message.to]) {
      return;
    }
    this->is_opening[message.to] = true;
    this->channels.Get(peer->link)
        ->Open(protocol::kConsensusPath,
               [this,
                id = message.to](Result<std::shared_ptr<link::Stream>> opened) {
                 this->is_opening[id] = false;
                 if (opened.has_value()) {
                   this->streams[id] = *opened;
                 }
                 this->FlushUnsent(id);
               });
    return;
  }
  const std::size_t max_unsent_bytes =
      IsBulk(message) ? kMaxUnsentBulkBytes : kMaxUnsentBytes;
  if (stream->unsent_bytes() < max_unsent_bytes) {
    stream->Send(protocol::EncodeFrame(protocol::FrameType::kMessage,
                                       protocol::Encode(message)));
  }
}

void Driver::ApplyEntry(const Entry& entry) {
  this->bytes_since_snapshot += entry.data.size();
  this->machine.apply(entry);
  const auto found = this->pending_proposals.find(entry.index);
  if (found == this->pending_proposals.end()) {
    return;
  }
  const PendingProposal proposal = std::move(found->second);
  this->pending_proposals.erase(found);
  this->metrics.Observe(observe::Timing::kCommit,
                        Clock::now() - proposal.proposed_at);
  if (proposal.term == entry.term) {
    proposal.on_applied(entry.index);
  } else {
    proposal.on_applied(tl::make_unexpected(LeadershipLostError()));
  }
}

void Driver::Propose(std::string bytes, OnApplied on_applied) {
  if (this->pending_proposals.size() >= kMaxPendingProposals) {
    on_applied(tl::make_unexpected(Error{Reason::kOverloaded, Step::kCommit,
                                         Outcome::kNotRun, std::string(),
                                         "too many proposals are pending"}));
    return;
  }
  const Result<Index> index = this->raft.Propose(std::move(bytes));
  if (!index.has_value()) {
    on_applied(tl::make_unexpected(index.error()));
    return;
  }
  this->pending_proposals[*index] = {this->raft.term(), Clock::now(),
                                     std::move(on_applied)};
  this->ProcessReady();
}

Result<void> Driver::ChangeMembership(const Membership& next) {
  const Result<Index> index = this->raft.ChangeMembership(next);
  if (!index.has_value()) {
    return tl::make_unexpected(index.error());
  }
  this->ProcessReady();
  return {};
}

void Driver::Resign() {
  const std::optional<Message> transfer = this->raft.Resign(Clock::now());
  if (!transfer.has_value()) {
    return;
  }
  LogEvent(Level::kInfo, "", "leadership_resigned",
           {{"term", std::to_string(transfer->term)},
            {"successor", std::to_string(transfer->to)}});
  this->Send(*transfer);
  this->HandleRoleChange();
}

void Driver::FailPendingProposals() {
  const std::map<Index, PendingProposal> failed =
      std::move(this->pending_proposals);
  this->pending_proposals.clear();
  for (const std::pair<const Index, PendingProposal>& entry : failed) {
    entry.second.on_applied(tl::make_unexpected(LeadershipLostError()));
  }
}

}  // namespace gooseberryturn::consensus
