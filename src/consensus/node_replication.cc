#include <algorithm>
#include <functional>
#include <utility>

#include "gooseberryturn/consensus/node.h"

namespace gooseberryturn::consensus {

namespace {

/// Rounds whose send time is kept. The acknowledgement of an older round does
/// not extend the leader lease.
constexpr std::size_t kMaxHeartbeatRounds = 256;
/// Heartbeat intervals after which unacknowledged entries are sent again.
constexpr int kResendAfterHeartbeats = 5;

}  // namespace

void Node::TruncateConflicts(const std::vector<Entry>& incoming) {
  for (const Entry& entry : incoming) {
    if (entry.index <= this->raft_log.snapshot().index ||
        entry.index > this->raft_log.LastIndex() ||
        this->raft_log.TermAt(entry.index) == entry.term) {
      continue;
    }
    this->raft_log.TruncateFrom(entry.index);
    this->persisted_index = std::min(this->persisted_index, entry.index - 1);
    if (this->pending_from > entry.index) {
      this->pending_from = 0;
    }
    this->RefreshMembership();
    return;
  }
}

void Node::AppendToLog(const Entry& entry) {
  this->raft_log.Append(entry);
  if (this->pending_from == 0) {
    this->pending_from = entry.index;
  }
  if (entry.kind == EntryKind::kMembership) {
    this->RefreshMembership();
  }
}

void Node::OnAppend(const Message& message, TimePoint now) {
  this->BecomeFollower(message.term, message.from);
  this->last_leader_contact = now;
  this->ResetElectionTimer(now);
  Message reply = this->MakeMessage(MessageType::kAppendReply, message.from);
  reply.round = message.round;
  // Entries up to the snapshot are committed, so a previous entry before it
  // needs no comparison.
  const bool is_below_snapshot =
      message.index < this->raft_log.snapshot().index;
  if (!is_below_snapshot &&
      !this->raft_log.Matches(message.index, message.log_term)) {
    reply.reject = true;
    reply.index = std::min(this->raft_log.LastIndex(), message.index - 1);
    this->outbox.push_back(std::move(reply));
    return;
  }
  this->TruncateConflicts(message.entries);
  for (const Entry& entry : message.entries) {
    if (entry.index == this->raft_log.LastIndex() + 1) {
      this->AppendToLog(entry);
    }
  }
  reply.index = message.index + message.entries.size();
  const Index new_commit = std::min(message.commit, reply.index);
  this->commit = std::max(this->commit, new_commit);
  this->outbox.push_back(std::move(reply));
}

void Node::OnSnapshot(const Message& message, TimePoint now) {
  this->BecomeFollower(message.term, message.from);
  this->last_leader_contact = now;
  this->ResetElectionTimer(now);
  const Snapshot& snapshot = message.snapshot;
  if (snapshot.index > this->commit) {
    this->raft_log.InstallSnapshot(snapshot);
    this->commit = snapshot.index;
    this->applying_index = snapshot.index;
    this->pending_snapshot = snapshot;
    const bool has_more = this->raft_log.LastIndex() > snapshot.index;
    this->pending_from = has_more ? snapshot.index + 1 : 0;
    this->persisted_index = snapshot.index;
    this->RefreshMembership();
  }
  Message reply = this->MakeMessage(MessageType::kAppendReply, message.from);
  reply.round = message.round;
  reply.index = std::max(snapshot.index, this->commit);
  this->outbox.push_back(std::move(reply));
}

void Node::RecordAck(Progress& progress, std::uint64_t round) {
  for (const HeartbeatRound& sent : this->heartbeat_rounds) {
    if (sent.number == round) {
      progress.has_acked_round = true;
      progress.acked_round_sent_at =
          std::max(progress.acked_round_sent_at, sent.sent_at);
    }
  }
}

void Node::OnAppendReply(const Message& message, TimePoint now) {
  const auto found = this->progress.find(message.from);
  if (this->current_role != NodeRole::kLeader ||
      found == this->progress.end()) {
    return;
  }
  Progress& peer = found->second;
  this->RecordAck(peer, message.round);
  if (message.reject) {
    peer.next_index = std::max(peer.match_index,
                               std::min(message.index, peer.next_index - 1)) +
                      1;
    peer.in_flight_last = 0;
    this->SendEntries(message.from, peer, now);
    return;
  }
  peer.match_index = std::max(peer.match_index, message.index);
  peer.next_index = std::max(peer.next_index, peer.match_index + 1);
  if (peer.match_index >= peer.in_flight_last) {
    peer.in_flight_last = 0;
  }
  this->AdvanceCommit();
  this->RecordDiskIds(message);
  if (this->current_role == NodeRole::kLeader) {
    this->SendEntries(message.from, this->progress[message.from], now);
  }
}

void Node::BroadcastHeartbeat(TimePoint now) {
  this->next_heartbeat_at = now + this->settings.heartbeat_interval;
  this->round_number += 1;
  this->heartbeat_rounds.push_back({this->round_number, now});
  if (this->heartbeat_rounds.size() > kMaxHeartbeatRounds) {
    this->heartbeat_rounds.erase(this->heartbeat_rounds.begin());
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
  const bool is_in_log =
      progress.match_index >= this->raft_log.snapshot().index;
  // Index 0 with term 0 matches every log in OnAppend, so a follower that lies
  // before the leader's snapshot also acknowledges heartbeats.
  message.index = is_in_log ? progress.match_index : 0;
  message.log_term =
      is_in_log ? this->raft_log.TermAt(progress.match_index) : 0;
  message.commit = std::min(this->commit, progress.match_index);
  this->outbox.push_back(std::move(message));
}

void Node::SendEntries(NodeId peer, Progress& progress, TimePoint now) {
  const bool is_waiting =
      progress.in_flight_last != 0 && now < progress.resend_at;
  if (is_waiting || progress.next_index > this->raft_log.LastIndex()) {
    return;
  }
  progress.resend_at =
      now + kResendAfterHeartbeats * this->settings.heartbeat_interval;
  if (progress.in_flight_last != 0) {
    progress.next_index = progress.match_index + 1;
  }
  if (progress.next_index < this->raft_log.FirstIndex()) {
    this->SendSnapshot(peer, progress, now);
    return;
  }
  Message message = this->MakeMessage(MessageType::kAppend, peer);
  message.index = progress.next_index - 1;
  message.log_term = this->raft_log.TermAt(message.index);
  message.entries = this->raft_log.EntriesFrom(progress.next_index,
                                               this->settings.max_append_bytes);
  message.commit = this->commit;
  progress.in_flight_last = message.entries.back().index;
  this->outbox.push_back(std::move(message));
}

void Node::SendSnapshot(NodeId peer, Progress& progress, TimePoint now) {
  Message message = this->MakeMessage(MessageType::kSnapshot, peer);
  message.snapshot = this->raft_log.snapshot();
  progress.in_flight_last = message.snapshot.index;
  progress.next_index = message.snapshot.index + 1;
  progress.resend_at = now + this->settings.election_timeout_max;
  this->outbox.push_back(std::move(message));
}

void Node::AdvanceCommit() {
  std::vector<Index> matches;
  for (const Peer& peer : this->members.peers) {
    if (peer.is_voter) {
      const bool is_self = peer.id == this->settings.id;
      matches.push_back(is_self ? this->persisted_index
                                : this->progress[peer.id].match_index);
    }
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  const Index quorum_index = matches[this->members.Quorum() - 1];
  if (quorum_index > this->commit &&
      this->raft_log.TermAt(quorum_index) == this->hard_state.term) {
    this->commit = quorum_index;
    this->StepDownIfRemoved();
  }
}

}  // namespace gooseberryturn::consensus
