#include "gooseberryturn/consensus/node.h"

#include <algorithm>
#include <utility>

#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::consensus {

namespace {

constexpr std::size_t kMaxRounds = 256;
constexpr int kResendHeartbeats = 5;

Error NotLeader(NodeId leader) {
  return {Reason::kControlUnavailable, Step::kCommit, Outcome::kNotRun,
          "control " + std::to_string(leader), "this host does not lead"};
}

std::size_t CountChanges(const Membership& before, const Membership& after) {
  std::size_t changes = 0;
  for (const Peer& peer : after.peers) {
    const Peer* old = before.Find(peer.id);
    const bool is_same = old != nullptr && old->is_voter == peer.is_voter;
    changes += is_same ? 0 : 1;
  }
  for (const Peer& peer : before.peers) {
    changes += after.Find(peer.id) == nullptr ? 1 : 0;
  }
  return changes;
}

}  // namespace

Node::Node(Options options, Stored stored, TimePoint now)
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

// ---------------------------------------------------------------- elections

void Node::ResetElection(TimePoint now) {
  std::uniform_int_distribution<Duration::rep> pick(
      this->settings.election_min.count(), this->settings.election_max.count());
  this->election_at = now + Duration(pick(this->random));
}

bool Node::HearsLeader(TimePoint now) const {
  return this->part == NodeRole::kLeader ||
         now < this->leader_heard_at + this->settings.election_min;
}

bool Node::MayVote() const {
  if (this->members.VoterCount() == 0) {
    return false;
  }
  const Peer* self = this->members.Find(this->settings.id);
  return self == nullptr || self->disk == 0 ||
         self->disk == this->settings.disk;
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

// ----------------------------------------------------------------- messages

Message Node::MakeMessage(MessageType type, NodeId peer) const {
  Message message;
  message.type = type;
  message.from = this->settings.id;
  message.to = peer;
  message.disk = this->settings.disk;
  message.term = this->hard.term;
  message.round = this->round_number;
  return message;
}

bool Node::IsFromKnownDisk(const Message& message) {
  const Peer* peer = this->members.Find(message.from);
  if (peer == nullptr || peer->disk == 0 || peer->disk == message.disk) {
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

// -------------------------------------------------------------- replication

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
  this->heartbeat_at = now + this->settings.heartbeat;
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
  progress.resend_at = now + kResendHeartbeats * this->settings.heartbeat;
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
  progress.resend_at = now + this->settings.election_max;
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

// --------------------------------------------------------------- membership

void Node::RefreshMembership() {
  this->members = this->entries.CurrentMembership();
  if (this->part != NodeRole::kLeader) {
    return;
  }
  for (const Peer& peer : this->members.peers) {
    // A new host holds nothing; until it has the membership it cannot even
    // answer, so it is sent everything from the start.
    if (this->progress.count(peer.id) == 0) {
      this->progress[peer.id].next = 1;
    }
  }
  for (auto known = this->progress.begin(); known != this->progress.end();) {
    const bool is_member = this->members.Find(known->first) != nullptr;
    known = is_member ? std::next(known) : this->progress.erase(known);
  }
}

bool Node::HasPendingMembership() const {
  for (Index index = this->entries.LastIndex(); index > this->commit; --index) {
    if (this->entries.At(index).kind == EntryKind::kMembership) {
      return true;
    }
  }
  return false;
}

void Node::BindDisk(const Message& message) {
  const Peer* known = this->members.Find(message.from);
  const bool is_ready = this->part == NodeRole::kLeader &&
                        this->commit >= this->term_start &&
                        !this->HasPendingMembership();
  if (!is_ready || known == nullptr) {
    return;
  }
  Membership next = this->members;
  bool is_changed = false;
  const auto bind = [&next, &is_changed](NodeId id, std::uint64_t disk) {
    Peer* peer = next.Find(id);
    if (peer != nullptr && peer->disk == 0) {
      peer->disk = disk;
      is_changed = true;
    }
  };
  bind(message.from, message.disk);
  bind(this->settings.id, this->settings.disk);
  if (is_changed) {
    this->AppendEntry(EntryKind::kMembership, protocol::Encode(next));
  }
}

void Node::StepDownWhenRemoved() {
  if (!this->members.IsVoter(this->settings.id) &&
      !this->HasPendingMembership()) {
    this->BecomeFollower(this->hard.term, 0);
  }
}

Result<Index> Node::ChangeMembership(const Membership& next) {
  if (this->part != NodeRole::kLeader) {
    return tl::make_unexpected(NotLeader(this->leader_id));
  }
  const bool is_busy =
      this->commit < this->term_start || this->HasPendingMembership();
  if (is_busy || CountChanges(this->members, next) > 1 ||
      next.VoterCount() == 0) {
    const std::string message =
        is_busy ? "another membership change is in progress; try again"
                : "a change may add, remove or promote one host";
    return tl::make_unexpected(Error{Reason::kBadRequest, Step::kCommit,
                                     Outcome::kNotRun, "", message});
  }
  this->AppendEntry(EntryKind::kMembership, protocol::Encode(next));
  return this->entries.LastIndex();
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
  return now < agreed + this->settings.election_min - this->settings.max_drift;
}

Index Node::MatchIndex(NodeId peer) const {
  if (peer == this->settings.id) {
    return this->stored_index;
  }
  const auto known = this->progress.find(peer);
  return known == this->progress.end() ? 0 : known->second.match;
}

}  // namespace gooseberryturn::consensus
