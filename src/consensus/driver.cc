#include "gooseberryturn/consensus/driver.h"

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

constexpr std::size_t kMaxUnsentBytes = 128U * 1024U * 1024U;

Error LeadershipLost() {
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
      jobs(1) {}

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
                            this->Pump();
                          }
                        });
  this->storage_thread = std::thread([this] { this->RunStorage(); });
  this->Tick();
}

void Driver::Stop() {
  this->jobs.Close();
  if (this->storage_thread.joinable()) {
    this->storage_thread.join();
  }
}

// ------------------------------------------------------------------ storage

Result<void> Driver::Write(const WriteJob& job) {
  if (job.compaction != nullptr) {
    return this->storage.SaveSnapshot(*job.compaction, job.kept);
  }
  return this->storage.Save(*job.ready);
}

void Driver::RunStorage() {
  while (std::optional<WriteJob> job = this->jobs.Pop()) {
    Result<void> written = this->Write(*job);
    while (!written.has_value()) {
      // Nothing of the job counts: the host stays silent until it succeeds.
      LogEvent(Level::kError, "", "storage_failed",
               observe::FieldsOf(written.error()));
      std::this_thread::sleep_for(kStorageRetry);
      written = this->Write(*job);
    }
    boost::asio::post(this->context,
                      [this, done = std::move(*job)] { this->Written(done); });
  }
}

void Driver::Pump() {
  if (this->is_writing) {
    return;
  }
  this->NoteRole();
  const std::shared_ptr<Ready> ready =
      std::make_shared<Ready>(this->raft.TakeReady());
  if (ready->IsEmpty()) {
    return;
  }
  if (!ready->NeedsStorage()) {
    this->Finish(*ready);
    this->Pump();
    return;
  }
  this->is_writing = true;
  WriteJob job;
  job.ready = ready;
  if (!this->jobs.TryPush(std::move(job))) {
    this->is_writing = false;
  }
}

void Driver::Written(const WriteJob& job) {
  this->is_writing = false;
  if (job.ready != nullptr) {
    this->raft.Persisted(*job.ready);
    this->Finish(*job.ready);
    this->CompactIfLong();
  }
  this->Pump();
}

void Driver::Finish(const Ready& ready) {
  for (const Message& message : ready.messages) {
    this->Send(message);
  }
  if (ready.snapshot.has_value() && !this->machine.load(ready.snapshot->data)) {
    LogEvent(Level::kError, "", "snapshot_damaged");
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

void Driver::CompactIfLong() {
  const Index applied = this->machine.applied_index();
  const Index base = this->raft.log().snapshot().index;
  if (this->is_writing || applied < base + kSnapshotEvery) {
    return;
  }
  WriteJob job;
  job.compaction = std::make_shared<Snapshot>(
      this->raft.Compact(applied, this->machine.save()));
  job.kept =
      this->raft.log().Between(applied + 1, this->raft.log().LastIndex());
  this->is_writing = this->jobs.TryPush(std::move(job));
}

// --------------------------------------------------------------------- node

void Driver::Tick() {
  this->raft.Tick(Clock::now());
  this->Pump();
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void Driver::NoteRole() {
  const bool is_leading = this->raft.role() == NodeRole::kLeader;
  const bool is_new_term = is_leading && this->led_term != this->raft.term();
  if (this->was_leading && (!is_leading || is_new_term)) {
    this->FailPending();
  }
  if (is_leading != this->was_leading || is_new_term) {
    this->metrics.Set(observe::Metric::kIsLeader, is_leading ? 1 : 0);
    LogEvent(Level::kInfo, "", is_leading ? "leading" : "following",
             {{"term", std::to_string(this->raft.term())}});
  }
  this->was_leading = is_leading;
  if (is_new_term) {
    this->led_term = this->raft.term();
    if (this->on_become_leader) {
      this->on_become_leader();
    }
  }
}

void Driver::KeepUnsent(const Message& message) {
  std::deque<Message>& waiting = this->unsent[message.to];
  waiting.push_back(message);
  if (waiting.size() > kMaxUnsent) {
    waiting.pop_front();
  }
}

void Driver::SendUnsent(NodeId peer) {
  const std::deque<Message> waiting =
      std::exchange(this->unsent[peer], std::deque<Message>());
  const std::shared_ptr<link::Stream>& stream = this->streams[peer];
  if (stream == nullptr || stream->is_closed()) {
    return;  // The node repeats what still matters.
  }
  for (const Message& message : waiting) {
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
    this->KeepUnsent(message);
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
                 this->SendUnsent(id);
               });
    return;
  }
  if (stream->unsent_bytes() < kMaxUnsentBytes) {
    stream->Send(protocol::EncodeFrame(protocol::FrameType::kMessage,
                                       protocol::Encode(message)));
  }
}

void Driver::ApplyEntry(const Entry& entry) {
  this->machine.apply(entry);
  const auto waiting = this->pending.find(entry.index);
  if (waiting == this->pending.end()) {
    return;
  }
  const Pending done = std::move(waiting->second);
  this->pending.erase(waiting);
  this->metrics.Observe(observe::Timing::kCommit,
                        Clock::now() - done.proposed_at);
  if (done.term == entry.term) {
    done.on_applied(entry.index);
  } else {
    done.on_applied(tl::make_unexpected(LeadershipLost()));
  }
}

void Driver::Propose(std::string bytes, OnApplied on_applied) {
  if (this->pending.size() >= kMaxPending) {
    on_applied(tl::make_unexpected(
        Error{Reason::kOverloaded, Step::kCommit, Outcome::kNotRun,
              std::string(), "too many proposals wait for the log"}));
    return;
  }
  const Result<Index> index = this->raft.Propose(std::move(bytes));
  if (!index.has_value()) {
    on_applied(tl::make_unexpected(index.error()));
    return;
  }
  this->pending[*index] = {this->raft.term(), Clock::now(),
                           std::move(on_applied)};
  this->Pump();
}

Result<void> Driver::ChangeMembership(const Membership& next) {
  const Result<Index> index = this->raft.ChangeMembership(next);
  if (!index.has_value()) {
    return tl::make_unexpected(index.error());
  }
  this->Pump();
  return {};
}

void Driver::FailPending() {
  const std::map<Index, Pending> failed = std::move(this->pending);
  this->pending.clear();
  for (const std::pair<const Index, Pending>& entry : failed) {
    entry.second.on_applied(tl::make_unexpected(LeadershipLost()));
  }
}

}  // namespace gooseberryturn::consensus
