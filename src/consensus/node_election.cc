#include <utility>

#include "gooseberryturn/consensus/node.h"

namespace gooseberryturn::consensus {

void Node::ResetElection(TimePoint now) {
  std::uniform_int_distribution<Duration::rep> pick(
      this->settings.election_timeout_min.count(),
      this->settings.election_timeout_max.count());
  this->election_at = now + Duration(pick(this->random));
}

bool Node::HearsLeader(TimePoint now) const {
  return this->part == NodeRole::kLeader ||
         now < this->leader_heard_at + this->settings.election_timeout_min;
}

bool Node::MayVote() const {
  if (this->members.VoterCount() == 0) {
    return false;
  }
  const Peer* self = this->members.Find(this->settings.id);
  return self == nullptr || self->disk_id == 0 ||
         self->disk_id == this->settings.disk_id;
}

bool Node::IsCandidateCurrent(const Message& message) const {
  const Term last_term = this->entries.LastTerm();
  if (message.log_term != last_term) {
    return message.log_term > last_term;
  }
  return message.index >= this->entries.LastIndex();
}

void Node::Tick(TimePoint now) {
  this->last_now = now;
  if (this->part == NodeRole::kLeader) {
    if (now >= this->heartbeat_at) {
      this->Broadcast(now);
    }
    return;
  }
  const bool is_eligible =
      this->members.IsVoter(this->settings.id) && this->MayVote();
  if (is_eligible && now >= this->election_at) {
    this->StartPreVote(now);
  }
}

void Node::BecomeFollower(Term term, NodeId leader) {
  if (term > this->hard.term) {
    this->hard.term = term;
    this->hard.vote = 0;
  }
  this->part = NodeRole::kFollower;
  this->leader_id = leader;
  this->progress.clear();
}

void Node::StartPreVote(TimePoint now) {
  this->part = NodeRole::kPreCandidate;
  this->leader_id = 0;
  this->votes = {this->settings.id};
  this->ResetElection(now);
  if (this->votes.size() >= this->members.Quorum()) {
    this->StartElection(now);
    return;
  }
  this->AskForVotes(MessageType::kPreVote, this->hard.term + 1);
}

void Node::StartElection(TimePoint now) {
  this->part = NodeRole::kCandidate;
  this->hard.term += 1;
  this->hard.vote = this->settings.id;
  this->votes = {this->settings.id};
  this->ResetElection(now);
  if (this->votes.size() >= this->members.Quorum()) {
    this->BecomeLeader(now);
    return;
  }
  this->AskForVotes(MessageType::kVote, this->hard.term);
}

void Node::AskForVotes(MessageType type, Term term) {
  for (const Peer& peer : this->members.peers) {
    if (!peer.is_voter || peer.id == this->settings.id) {
      continue;
    }
    Message message = this->MakeMessage(type, peer.id);
    message.term = term;
    message.index = this->entries.LastIndex();
    message.log_term = this->entries.LastTerm();
    this->outbox.push_back(std::move(message));
  }
}

void Node::BecomeLeader(TimePoint now) {
  this->part = NodeRole::kLeader;
  this->leader_id = this->settings.id;
  this->rounds.clear();
  this->progress.clear();
  for (const Peer& peer : this->members.peers) {
    this->progress[peer.id].next = this->entries.LastIndex() + 1;
  }
  this->term_start = this->entries.LastIndex() + 1;
  this->AppendEntry(EntryKind::kNoop, std::string());
  this->Broadcast(now);
}

void Node::OnVoteRequest(const Message& message, TimePoint now) {
  const bool is_pre_vote = message.type == MessageType::kPreVote;
  const bool is_vote_free =
      is_pre_vote ? message.term > this->hard.term
                  : this->hard.vote == 0 || this->hard.vote == message.from;
  const bool is_granted = this->MayVote() && is_vote_free &&
                          !this->HearsLeader(now) &&
                          this->IsCandidateCurrent(message);
  if (is_granted && !is_pre_vote) {
    this->hard.vote = message.from;
    this->ResetElection(now);
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
  const Term term = is_pre_vote ? this->hard.term + 1 : this->hard.term;
  if (this->part != expected || message.reject || message.term != term ||
      !this->members.IsVoter(message.from)) {
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
