#include <optional>
#include <utility>

#include "gooseberryturn/consensus/node.h"

namespace gooseberryturn::consensus {

Duration Node::ElectionTimeoutMax() const {
  const std::size_t voters = this->members.VoterCount();
  if (voters <= kVotersWithBaseTimeout) {
    return this->settings.election_timeout_max;
  }
  const Duration spread =
      this->settings.election_timeout_max - this->settings.election_timeout_min;
  return this->settings.election_timeout_min +
         spread * static_cast<Duration::rep>(voters / kVotersPerSpread);
}

void Node::ResetElectionTimer(TimePoint now) {
  std::uniform_int_distribution<Duration::rep> timeout_distribution(
      this->settings.election_timeout_min.count(),
      this->ElectionTimeoutMax().count());
  this->election_deadline =
      now + Duration(timeout_distribution(this->random_engine));
}

bool Node::HasRecentLeaderContact(TimePoint now) const {
  return this->current_role == NodeRole::kLeader ||
         now < this->last_leader_contact + this->settings.election_timeout_min;
}

bool Node::IsEligible() const {
  return !this->is_abstaining && this->members.IsVoter(this->settings.id) &&
         this->CanVote();
}

bool Node::CanVote() const {
  if (this->members.VoterCount() == 0) {
    return false;
  }
  const Peer* self = this->members.Find(this->settings.id);
  return self == nullptr || self->disk_id == 0 ||
         self->disk_id == this->settings.disk_id;
}

bool Node::IsCandidateUpToDate(const Message& message) const {
  const Term last_term = this->raft_log.LastTerm();
  if (message.log_term != last_term) {
    return message.log_term > last_term;
  }
  return message.index >= this->raft_log.LastIndex();
}

void Node::Tick(TimePoint now) {
  this->current_time = now;
  if (this->current_role == NodeRole::kLeader) {
    this->TickLeader(now);
    return;
  }
  if (now < this->election_deadline) {
    return;
  }
  if (this->IsEligible()) {
    this->StartPreVote(now);
  } else {
    // A learner that was removed gets no more messages, not even about that.
    this->leader_id = 0;
  }
}

void Node::TickLeader(TimePoint now) {
  if (!this->HasQuorumContact(now)) {
    this->BecomeFollower(this->hard_state.term, 0);
    this->ResetElectionTimer(now);
    return;
  }
  if (now >= this->next_heartbeat_at) {
    this->BroadcastHeartbeat(now);
  }
}

void Node::BecomeFollower(Term term, NodeId leader) {
  if (term > this->hard_state.term) {
    this->hard_state.term = term;
    this->hard_state.vote = 0;
  }
  this->current_role = NodeRole::kFollower;
  this->leader_id = leader;
  this->progress.clear();
}

void Node::StartPreVote(TimePoint now) {
  this->current_role = NodeRole::kPreCandidate;
  this->leader_id = 0;
  this->votes = {this->settings.id};
  this->ResetElectionTimer(now);
  if (this->votes.size() >= this->members.Quorum()) {
    this->StartElection(now);
    return;
  }
  this->RequestVotes(MessageType::kPreVote, this->hard_state.term + 1);
}

void Node::StartElection(TimePoint now, bool is_transfer) {
  this->current_role = NodeRole::kCandidate;
  this->hard_state.term += 1;
  this->hard_state.vote = this->settings.id;
  this->votes = {this->settings.id};
  this->ResetElectionTimer(now);
  if (this->votes.size() >= this->members.Quorum()) {
    this->BecomeLeader(now);
    return;
  }
  this->RequestVotes(MessageType::kVote, this->hard_state.term, is_transfer);
}

std::optional<Message> Node::Resign(TimePoint now) {
  if (this->current_role != NodeRole::kLeader) {
    return std::nullopt;
  }
  const Peer* successor = nullptr;
  Index highest_match = 0;
  for (const Peer& peer : this->members.peers) {
    const bool is_eligible = peer.is_voter && peer.id != this->settings.id &&
                             this->IsInContact(peer.id, now);
    const Index match = is_eligible ? this->MatchIndex(peer.id) : 0;
    if (is_eligible && (successor == nullptr || match > highest_match)) {
      successor = &peer;
      highest_match = match;
    }
  }
  if (successor == nullptr) {
    return std::nullopt;
  }
  const Message transfer =
      this->MakeMessage(MessageType::kTransfer, successor->id);
  this->BecomeFollower(this->hard_state.term, 0);
  this->ResetElectionTimer(now);
  // Followers would take appends for contact with a leader, and refuse others
  // their votes.
  this->outbox.clear();
  return transfer;
}

void Node::OnTransfer(TimePoint now) {
  if (this->IsEligible() && this->current_role != NodeRole::kLeader) {
    this->StartElection(now, true);
  }
}

void Node::RequestVotes(MessageType type, Term term, bool is_transfer) {
  for (const Peer& peer : this->members.peers) {
    if (!peer.is_voter || peer.id == this->settings.id) {
      continue;
    }
    Message message = this->MakeMessage(type, peer.id);
    message.term = term;
    message.index = this->raft_log.LastIndex();
    message.log_term = this->raft_log.LastTerm();
    message.is_transfer = is_transfer;
    this->outbox.push_back(std::move(message));
  }
}

void Node::BecomeLeader(TimePoint now) {
  this->current_role = NodeRole::kLeader;
  this->leader_id = this->settings.id;
  this->elected_at = now;
  this->heartbeat_rounds.clear();
  this->progress.clear();
  for (const Peer& peer : this->members.peers) {
    this->progress[peer.id].next_index = this->raft_log.LastIndex() + 1;
  }
  this->term_start_index = this->raft_log.LastIndex() + 1;
  this->AppendAndReplicate(EntryKind::kNoop, std::string());
  this->BroadcastHeartbeat(now);
}

bool Node::MayReplaceLeader(const Message& message, TimePoint now) const {
  return message.is_transfer || !this->HasRecentLeaderContact(now);
}

void Node::OnVoteRequest(const Message& message, TimePoint now) {
  const bool is_pre_vote = message.type == MessageType::kPreVote;
  const bool is_vote_available =
      is_pre_vote
          ? message.term > this->hard_state.term
          : this->hard_state.vote == 0 || this->hard_state.vote == message.from;
  const bool is_granted = this->CanVote() && is_vote_available &&
                          this->MayReplaceLeader(message, now) &&
                          this->IsCandidateUpToDate(message);
  if (is_granted && !is_pre_vote) {
    this->hard_state.vote = message.from;
    this->ResetElectionTimer(now);
  }
  Message reply = this->MakeMessage(
      is_pre_vote ? MessageType::kPreVoteReply : MessageType::kVoteReply,
      message.from);
  reply.reject = !is_granted;
  if (is_granted) {
    reply.term = message.term;
  }
  this->outbox.push_back(std::move(reply));
}

void Node::OnVoteReply(const Message& message, TimePoint now) {
  const bool is_pre_vote = message.type == MessageType::kPreVoteReply;
  const NodeRole expected =
      is_pre_vote ? NodeRole::kPreCandidate : NodeRole::kCandidate;
  const Term term =
      is_pre_vote ? this->hard_state.term + 1 : this->hard_state.term;
  if (this->current_role != expected || message.reject ||
      message.term != term || !this->members.IsVoter(message.from)) {
    return;
  }
  this->votes.insert(message.from);
  if (this->votes.size() < this->members.Quorum()) {
    return;
  }
  if (is_pre_vote) {
    this->StartElection(now);
  } else {
    this->BecomeLeader(now);
  }
}

}  // namespace gooseberryturn::consensus
