#include <algorithm>
#include <functional>
#include <utility>

#include "gooseberryturn/consensus/node.h"

namespace gooseberryturn::consensus {

namespace {

constexpr std::size_t kMaxRounds = 256;
constexpr int kResendHeartbeats = 5;

}  // namespace

void Node::DropConflict(const std::vector<Entry>& incoming) {
  for (const Entry& entry : incoming) {
    if (entry.index <= this->entries.snapshot().index ||
        entry.index > this->entries.LastIndex() ||
        this->entries.TermAt(entry.index) == entry.term) {
      continue;
    }
    this->entries.Truncate(entry.index);
    this->stored_index = std::min(this->stored_index, entry.index - 1);
    if (this->unstored_from > entry.index) {
      this->unstored_from = 0;
    }
    this->RefreshMembership();
    return;
  }
}

void Node::Store(const Entry& entry) {
  this->entries.Append(entry);
  if (this->unstored_from == 0) {
    this->unstored_from = entry.index;
  }
  if (entry.kind == EntryKind::kMembership) {
    this->RefreshMembership();
  }
}

void Node::OnAppend(const Message& message, TimePoint now) {
  this->BecomeFollower(message.term, message.from);
  this->leader_heard_at = now;
  this->ResetElection(now);
  Message reply = this->MakeMessage(MessageType::kAppendReply, message.from);
  reply.round = message.round;
  const bool is_below_snapshot = message.index < this->entries.snapshot().index;
  if (!is_below_snapshot &&
      !this->entries.Holds(message.index, message.log_term)) {
    reply.reject = true;
    reply.index = std::min(this->entries.LastIndex(), message.index - 1);
    this->outbox.push_back(std::move(reply));
    return;
  }
  this->DropConflict(message.entries);
  for (const Entry& entry : message.entries) {
    if (entry.index == this->entries.LastIndex() + 1) {
      this->Store(entry);
    }
  }
  reply.index = message.index + message.entries.size();
  const Index known = std::min(message.commit, reply.index);
  this->commit = std::max(this->commit, known);
  this->outbox.push_back(std::move(reply));
}

void Node::OnSnapshot(const Message& message, TimePoint now) {
  this->BecomeFollower(message.term, message.from);
  this->leader_heard_at = now;
  this->ResetElection(now);
  const Snapshot& snapshot = message.snapshot;
  if (snapshot.index > this->commit) {
    this->entries.Install(snapshot);
    this->commit = snapshot.index;
    this->handed_out = snapshot.index;
    this->unstored_snapshot = snapshot;
    const bool has_more = this->entries.LastIndex() > snapshot.index;
    this->unstored_from = has_more ? snapshot.index + 1 : 0;
    this->stored_index = snapshot.index;
    this->RefreshMembership();
  }
  Message reply = this->MakeMessage(MessageType::kAppendReply, message.from);
  reply.round = message.round;
  reply.index = std::max(snapshot.index, this->commit);
  this->outbox.push_back(std::move(reply));
}

void Node::NoteAck(Progress& progress, std::uint64_t round) {
  for (const Round& sent : this->rounds) {
    if (sent.number == round) {
      progress.has_ack = true;
      progress.last_ack_sent = std::max(progress.last_ack_sent, sent.sent_at);
    }
  }
}

void Node::OnAppendReply(const Message& message, TimePoint now) {
  const auto found = this->progress.find(message.from);
  if (this->part != NodeRole::kLeader || found == this->progress.end()) {
    return;
  }
  Progress& peer = found->second;
  this->NoteAck(peer, message.round);
  if (message.reject) {
    peer.next =
        std::max(peer.match, std::min(message.index, peer.next - 1)) + 1;
    peer.in_flight_last = 0;
    this->SendEntries(message.from, peer, now);
    return;
  }
  peer.match = std::max(peer.match, message.index);
  peer.next = std::max(peer.next, peer.match + 1);
  if (peer.match >= peer.in_flight_last) {
    peer.in_flight_last = 0;
  }
  this->AdvanceCommit();
  this->BindDisk(message);
  if (this->part == NodeRole::kLeader) {
    this->SendEntries(message.from, this->progress[message.from], now);
  }
}

void Node::Broadcast(TimePoint now) {
  this->heartbeat_at = now + this->settings.heartbeat_interval;
  this->round_number += 1;
  this->rounds.push_back({this->round_number, now});
  if (this->rounds.size() > kMaxRounds) {
    this->rounds.erase(this->rounds.begin());
  }
  for (std::pair<const NodeId, Progress>& peer : this->progress) {
    if (peer.first != this->settings.id) {
      this->SendHeartbeat(peer.first, peer.second);
      this->SendEntries(peer.first, peer.second, now);
    }
  }
}

void Node::SendHeartbeat(NodeId peer, const Progress& progress) {
  Message message = this->MakeMessage(MessageType::kAppend, peer);
  const bool is_held = progress.match >= this->entries.snapshot().index;
  message.index = is_held ? progress.match : 0;
  message.log_term = is_held ? this->entries.TermAt(progress.match) : 0;
  message.commit = std::min(this->commit, progress.match);
  this->outbox.push_back(std::move(message));
}

void Node::SendEntries(NodeId peer, Progress& progress, TimePoint now) {
  const bool is_waiting =
      progress.in_flight_last != 0 && now < progress.resend_at;
  if (is_waiting || progress.next > this->entries.LastIndex()) {
    return;
  }
  progress.resend_at =
      now + kResendHeartbeats * this->settings.heartbeat_interval;
  if (progress.in_flight_last != 0) {
    progress.next = progress.match + 1;
  }
  if (progress.next < this->entries.FirstIndex()) {
    this->SendSnapshot(peer, progress, now);
    return;
  }
  Message message = this->MakeMessage(MessageType::kAppend, peer);
  message.index = progress.next - 1;
  message.log_term = this->entries.TermAt(message.index);
  message.entries =
      this->entries.From(progress.next, this->settings.max_append_bytes);
  message.commit = this->commit;
  progress.in_flight_last = message.entries.back().index;
  this->outbox.push_back(std::move(message));
}

void Node::SendSnapshot(NodeId peer, Progress& progress, TimePoint now) {
  Message message = this->MakeMessage(MessageType::kSnapshot, peer);
  message.snapshot = this->entries.snapshot();
  progress.in_flight_last = message.snapshot.index;
  progress.next = message.snapshot.index + 1;
  progress.resend_at = now + this->settings.election_timeout_max;
  this->outbox.push_back(std::move(message));
}

void Node::AdvanceCommit() {
  std::vector<Index> matches;
  for (const Peer& peer : this->members.peers) {
    if (peer.is_voter) {
      const bool is_self = peer.id == this->settings.id;
      matches.push_back(is_self ? this->stored_index
                                : this->progress[peer.id].match);
    }
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const Index agreed = matches[this->members.Quorum() - 1];
  if (agreed > this->commit &&
      this->entries.TermAt(agreed) == this->hard.term) {
    this->commit = agreed;
    this->StepDownWhenRemoved();
  }
}

}  // namespace gooseberryturn::consensus
