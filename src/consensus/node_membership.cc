#include <iterator>

#include "gooseberryturn/consensus/node.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::consensus {

namespace {

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

void Node::RefreshMembership() {
  this->members = this->raft_log.CurrentMembership();
  this->lease_term = 0;
  if (this->current_role != NodeRole::kLeader) {
    return;
  }
  for (const Peer& peer : this->members.peers) {
    // A new host has an empty log. It cannot reply before it has received the
    // membership, so it is sent the log from the start.
    if (this->progress.count(peer.id) == 0) {
      this->progress[peer.id].next_index = 1;
    }
  }
  for (auto known = this->progress.begin(); known != this->progress.end();) {
    const bool is_member = this->members.Find(known->first) != nullptr;
    known = is_member ? std::next(known) : this->progress.erase(known);
  }
}

bool Node::HasPendingMembershipChange() const {
  for (Index index = this->raft_log.LastIndex(); index > this->commit;
       --index) {
    if (this->raft_log.At(index).kind == EntryKind::kMembership) {
      return true;
    }
  }
  return false;
}

void Node::RecordDiskIds(const Message& message) {
  const Peer* known = this->members.Find(message.from);
  const bool is_ready = this->current_role == NodeRole::kLeader &&
                        this->commit >= this->term_start_index &&
                        !this->HasPendingMembershipChange();
  if (!is_ready || known == nullptr) {
    return;
  }
  Membership next = this->members;
  bool is_changed = false;
  const auto bind = [&next, &is_changed](NodeId id, std::uint64_t disk) {
    Peer* peer = next.Find(id);
    if (peer != nullptr && peer->disk_id == 0) {
      peer->disk_id = disk;
      is_changed = true;
    }
  };
  bind(message.from, message.disk_id);
  bind(this->settings.id, this->settings.disk_id);
  if (is_changed) {
    this->AppendAndReplicate(EntryKind::kMembership, protocol::Encode(next));
  }
}

void Node::StepDownIfRemoved() {
  if (!this->members.IsVoter(this->settings.id) &&
      !this->HasPendingMembershipChange()) {
    this->BecomeFollower(this->hard_state.term, 0);
  }
}

Result<Index> Node::ChangeMembership(const Membership& next) {
  if (this->current_role != NodeRole::kLeader) {
    return tl::make_unexpected(NotLeaderError(this->leader_id));
  }
  const bool is_busy = this->commit < this->term_start_index ||
                       this->HasPendingMembershipChange();
  if (is_busy || CountChanges(this->members, next) > 1 ||
      next.VoterCount() == 0) {
    // The first text is also the answer while the first entry of this term is
    // not committed, the second one also when no voter would be left.
    const std::string message =
        is_busy
            ? "another membership change is in progress; try again"
            : "a membership change may add, remove or promote only one host";
    return tl::make_unexpected(Error{Reason::kBadRequest, Step::kCommit,
                                     Outcome::kNotRun, "", message});
  }
  this->AppendAndReplicate(EntryKind::kMembership, protocol::Encode(next));
  return this->raft_log.LastIndex();
}

}  // namespace gooseberryturn::consensus
