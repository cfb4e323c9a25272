#include "gooseberryturn/consensus/node.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::consensus {

Error NotLeaderError(NodeId leader) {
  return {Reason::kControlUnavailable, Step::kCommit, Outcome::kNotRun,
          "control " + std::to_string(leader), "this host is not the leader"};
}

Node::Node(Options options, PersistentState stored, TimePoint now)
    : settings(options),
      hard_state(stored.hard_state),
      previous_hard_state(stored.hard_state),
      raft_log(std::move(stored.snapshot), std::move(stored.entries)),
      persisted_index(this->raft_log.LastIndex()),
      commit(this->raft_log.snapshot().index),
      applying_index(this->raft_log.snapshot().index),
      last_leader_contact(now),
      current_time(now),
      random_engine(options.seed) {
  this->RefreshMembership();
  this->ResetElectionTimer(now);
}

// ----------------------------------------------------------------- messages

Message Node::MakeMessage(MessageType type, NodeId peer) const {
  Message message;
  message.type = type;
  message.from = this->settings.id;
  message.to = peer;
  message.disk_id = this->settings.disk_id;
  message.term = this->hard_state.term;
  message.round = this->round_number;
  return message;
}

bool Node::CheckDiskId(const Message& message) {
  const Peer* peer = this->members.Find(message.from);
  if (peer == nullptr || peer->disk_id == 0 ||
      peer->disk_id == message.disk_id) {
    return true;
  }
  this->replaced_disk_peers.insert(message.from);
  return false;
}

bool Node::ShouldAdoptTerm(const Message& message, TimePoint now) const {
  switch (message.type) {
    case MessageType::kPreVote:
      return false;
    case MessageType::kPreVoteReply:
      return message.reject;
    case MessageType::kVote:
      return this->MayReplaceLeader(message, now) && this->CanVote();
    default:
      return true;
  }
}

void Node::RejectStaleTerm(const Message& message) {
  MessageType type = MessageType::kAppendReply;
  if (message.type == MessageType::kPreVote) {
    type = MessageType::kPreVoteReply;
  } else if (message.type != MessageType::kAppend &&
             message.type != MessageType::kSnapshot) {
    return;
  }
  Message reply = this->MakeMessage(type, message.from);
  reply.reject = true;
  reply.index = this->raft_log.LastIndex();
  this->outbox.push_back(std::move(reply));
}

void Node::Receive(const Message& message, TimePoint now) {
  this->current_time = now;
  const bool is_addressee = message.to == this->settings.id;
  if (!is_addressee || !this->CheckDiskId(message)) {
    return;
  }
  if (message.term < this->hard_state.term) {
    this->RejectStaleTerm(message);
    return;
  }
  if (message.term > this->hard_state.term) {
    if (this->ShouldAdoptTerm(message, now)) {
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
    case MessageType::kTransfer:
      this->OnTransfer(now);
      break;
  }
}

// ------------------------------------------------------------------- driver

void Node::AppendAndReplicate(EntryKind kind, std::string data) {
  Entry entry;
  entry.term = this->hard_state.term;
  entry.index = this->raft_log.LastIndex() + 1;
  entry.kind = kind;
  entry.data = std::move(data);
  this->AppendToLog(entry);
  for (std::pair<const NodeId, Progress>& peer : this->progress) {
    if (peer.first != this->settings.id) {
      this->SendEntries(peer.first, peer.second, this->current_time);
    }
  }
}

Result<Index> Node::Propose(std::string data) {
  if (this->current_role != NodeRole::kLeader) {
    return tl::make_unexpected(NotLeaderError(this->leader_id));
  }
  this->AppendAndReplicate(EntryKind::kCommand, std::move(data));
  return this->raft_log.LastIndex();
}

Ready Node::TakeReady() {
  Ready ready;
  if (this->hard_state != this->previous_hard_state) {
    ready.hard_state = this->hard_state;
    this->previous_hard_state = this->hard_state;
  }
  ready.snapshot = std::move(this->pending_snapshot);
  this->pending_snapshot.reset();
  if (this->pending_from != 0) {
    ready.entries = this->raft_log.EntriesBetween(this->pending_from,
                                                  this->raft_log.LastIndex());
    this->pending_from = 0;
  }
  ready.messages = std::move(this->outbox);
  this->outbox.clear();
  if (this->commit > this->applying_index) {
    ready.committed =
        this->raft_log.EntriesBetween(this->applying_index + 1, this->commit);
    this->applying_index = this->commit;
  }
  ready.last_index = this->raft_log.LastIndex();
  return ready;
}

void Node::Persisted(const Ready& ready) {
  if (ready.entries.empty()) {
    return;
  }
  const Entry& last = ready.entries.back();
  if (this->raft_log.Matches(last.index, last.term)) {
    this->persisted_index = std::max(this->persisted_index, last.index);
  }
  if (this->current_role == NodeRole::kLeader) {
    this->AdvanceCommit();
  }
}

Membership Node::MembershipAt(Index index) const {
  for (Index at = index; at >= this->raft_log.FirstIndex(); --at) {
    const Entry& entry = this->raft_log.At(at);
    if (entry.kind == EntryKind::kMembership) {
      return protocol::Decode<Membership>(entry.data).value_or(Membership{});
    }
  }
  return this->raft_log.snapshot().membership;
}

Snapshot Node::Compact(Index index, std::string data) {
  Snapshot snapshot;
  snapshot.index = index;
  snapshot.term = this->raft_log.TermAt(index);
  snapshot.membership = this->MembershipAt(index);
  snapshot.data = std::move(data);
  this->raft_log.InstallSnapshot(snapshot);
  return snapshot;
}

bool Node::HasLease(TimePoint now) const {
  if (this->current_role != NodeRole::kLeader ||
      this->commit < this->term_start_index) {
    return false;
  }
  if (this->lease_term == this->hard_state.term && now < this->lease_until) {
    return true;
  }
  const std::optional<TimePoint> acked_at = this->QuorumAckTime(now);
  if (!acked_at.has_value()) {
    return false;
  }
  this->lease_term = this->hard_state.term;
  this->lease_until = *acked_at + this->settings.election_timeout_min -
                      this->settings.max_clock_drift;
  return now < this->lease_until;
}

std::optional<TimePoint> Node::QuorumAckTime(TimePoint now) const {
  std::vector<TimePoint> ack_times;
  for (const Peer& peer : this->members.peers) {
    if (!peer.is_voter) {
      continue;
    }
    if (peer.id == this->settings.id) {
      ack_times.push_back(now);
      continue;
    }
    const auto known = this->progress.find(peer.id);
    if (known != this->progress.end() && known->second.has_acked_round) {
      ack_times.push_back(known->second.acked_round_sent_at);
    }
  }
  if (ack_times.size() < this->members.Quorum()) {
    return std::nullopt;
  }
  std::sort(ack_times.begin(), ack_times.end(), std::greater<>());
  return ack_times[this->members.Quorum() - 1];
}

bool Node::HasQuorumContact(TimePoint now) const {
  const TimePoint contact_at = std::max(
      this->elected_at, this->QuorumAckTime(now).value_or(this->elected_at));
  return now < contact_at +
                   kTimeoutsWithoutQuorum * this->settings.election_timeout_max;
}

bool Node::IsInContact(NodeId peer, TimePoint now) const {
  if (peer == this->settings.id) {
    return true;
  }
  const auto known = this->progress.find(peer);
  return known != this->progress.end() && known->second.has_acked_round &&
         now < known->second.acked_round_sent_at +
                   this->settings.election_timeout_min;
}

Index Node::MatchIndex(NodeId peer) const {
  if (peer == this->settings.id) {
    return this->persisted_index;
  }
  const auto known = this->progress.find(peer);
  return known == this->progress.end() ? 0 : known->second.match_index;
}

}  // namespace gooseberryturn::consensus
