#include "gooseberryturn/consensus/node.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::consensus {

Error NotLeader(NodeId leader) {
  return {Reason::kControlUnavailable, Step::kCommit, Outcome::kNotRun,
          "control " + std::to_string(leader), "this host does not lead"};
}

Node::Node(Options options, PersistentState stored, TimePoint now)
    : settings(options),
      hard(stored.hard_state),
      stored_hard(stored.hard_state),
      entries(std::move(stored.snapshot), std::move(stored.entries)),
      stored_index(this->entries.LastIndex()),
      commit(this->entries.snapshot().index),
      handed_out(this->entries.snapshot().index),
      leader_heard_at(now),
      last_now(now),
      random(options.seed) {
  this->RefreshMembership();
  this->ResetElection(now);
}

// ----------------------------------------------------------------- messages

Message Node::MakeMessage(MessageType type, NodeId peer) const {
  Message message;
  message.type = type;
  message.from = this->settings.id;
  message.to = peer;
  message.disk_id = this->settings.disk_id;
  message.term = this->hard.term;
  message.round = this->round_number;
  return message;
}

bool Node::IsFromKnownDisk(const Message& message) {
  const Peer* peer = this->members.Find(message.from);
  if (peer == nullptr || peer->disk_id == 0 ||
      peer->disk_id == message.disk_id) {
    return true;
  }
  this->replaced_disks.insert(message.from);
  return false;
}

bool Node::TakesTerm(const Message& message, TimePoint now) const {
  switch (message.type) {
    case MessageType::kPreVote:
      return false;
    case MessageType::kPreVoteReply:
      return message.reject;
    case MessageType::kVote:
      return !this->HearsLeader(now) && this->MayVote();
    default:
      return true;
  }
}

void Node::RejectOldTerm(const Message& message) {
  MessageType type = MessageType::kAppendReply;
  if (message.type == MessageType::kPreVote) {
    type = MessageType::kPreVoteReply;
  } else if (message.type != MessageType::kAppend &&
             message.type != MessageType::kSnapshot) {
    return;
  }
  Message reply = this->MakeMessage(type, message.from);
  reply.reject = true;
  reply.index = this->entries.LastIndex();
  this->outbox.push_back(std::move(reply));
}

void Node::Receive(const Message& message, TimePoint now) {
  this->last_now = now;
  const bool is_for_me = message.to == this->settings.id;
  if (!is_for_me || !this->IsFromKnownDisk(message)) {
    return;
  }
  if (message.term < this->hard.term) {
    this->RejectOldTerm(message);
    return;
  }
  if (message.term > this->hard.term) {
    if (this->TakesTerm(message, now)) {
      const bool is_leader = message.type == MessageType::kAppend ||
                             message.type == MessageType::kSnapshot;
      this->BecomeFollower(message.term, is_leader ? message.from : 0);
    } else if (message.type == MessageType::kVote) {
      return;
    }
  }
  this->Dispatch(message, now);
}

void Node::Dispatch(const Message& message, TimePoint now) {
  switch (message.type) {
    case MessageType::kPreVote:
    case MessageType::kVote:
      this->OnVoteRequest(message, now);
      break;
    case MessageType::kPreVoteReply:
    case MessageType::kVoteReply:
      this->OnVoteReply(message, now);
      break;
    case MessageType::kAppend:
      this->OnAppend(message, now);
      break;
    case MessageType::kAppendReply:
      this->OnAppendReply(message, now);
      break;
    case MessageType::kSnapshot:
      this->OnSnapshot(message, now);
      break;
  }
}

// ------------------------------------------------------------------- driver

void Node::AppendEntry(EntryKind kind, std::string data) {
  Entry entry;
  entry.term = this->hard.term;
  entry.index = this->entries.LastIndex() + 1;
  entry.kind = kind;
  entry.data = std::move(data);
  this->Store(entry);
  for (std::pair<const NodeId, Progress>& peer : this->progress) {
    if (peer.first != this->settings.id) {
      this->SendEntries(peer.first, peer.second, this->last_now);
    }
  }
}

Result<Index> Node::Propose(std::string data) {
  if (this->part != NodeRole::kLeader) {
    return tl::make_unexpected(NotLeader(this->leader_id));
  }
  this->AppendEntry(EntryKind::kCommand, std::move(data));
  return this->entries.LastIndex();
}

Ready Node::TakeReady() {
  Ready ready;
  if (this->hard != this->stored_hard) {
    ready.hard_state = this->hard;
    this->stored_hard = this->hard;
  }
  ready.snapshot = std::move(this->unstored_snapshot);
  this->unstored_snapshot.reset();
  if (this->unstored_from != 0) {
    ready.entries =
        this->entries.Between(this->unstored_from, this->entries.LastIndex());
    this->unstored_from = 0;
  }
  ready.messages = std::move(this->outbox);
  this->outbox.clear();
  if (this->commit > this->handed_out) {
    ready.committed = this->entries.Between(this->handed_out + 1, this->commit);
    this->handed_out = this->commit;
  }
  ready.last_index = this->entries.LastIndex();
  return ready;
}

void Node::Persisted(const Ready& ready) {
  if (ready.entries.empty()) {
    return;
  }
  const Entry& last = ready.entries.back();
  if (this->entries.Holds(last.index, last.term)) {
    this->stored_index = std::max(this->stored_index, last.index);
  }
  if (this->part == NodeRole::kLeader) {
    this->AdvanceCommit();
  }
}

Membership Node::MembershipAt(Index index) const {
  for (Index at = index; at >= this->entries.FirstIndex(); --at) {
    const Entry& entry = this->entries.At(at);
    if (entry.kind == EntryKind::kMembership) {
      return protocol::Decode<Membership>(entry.data).value_or(Membership{});
    }
  }
  return this->entries.snapshot().membership;
}

Snapshot Node::Compact(Index index, std::string data) {
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = this->entries.TermAt(index);
  snapshot.membership = this->MembershipAt(index);
  snapshot.data = std::move(data);
  this->entries.Install(snapshot);
  return snapshot;
}

bool Node::HasLease(TimePoint now) const {
  if (this->part != NodeRole::kLeader || this->commit < this->term_start) {
    return false;
  }
  std::vector<TimePoint> acks;
  for (const Peer& peer : this->members.peers) {
    if (!peer.is_voter) {
      continue;
    }
    if (peer.id == this->settings.id) {
      acks.push_back(now);
      continue;
    }
    const auto known = this->progress.find(peer.id);
    if (known != this->progress.end() && known->second.has_ack) {
      acks.push_back(known->second.last_ack_sent);
    }
  }
  if (acks.size() < this->members.Quorum()) {
    return false;
  }
  std::sort(acks.begin(), acks.end(), std::greater<>());
  const TimePoint agreed = acks[this->members.Quorum() - 1];
  return now < agreed + this->settings.election_timeout_min -
                   this->settings.max_clock_drift;
}

Index Node::MatchIndex(NodeId peer) const {
  if (peer == this->settings.id) {
    return this->stored_index;
  }
  const auto known = this->progress.find(peer);
  return known == this->progress.end() ? 0 : known->second.match;
}

}  // namespace gooseberryturn::consensus
