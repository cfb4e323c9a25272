#include "gooseberryturn/direct/quorum_planner.h"

#include <algorithm>
#include <vector>

namespace gooseberryturn::direct {

namespace {

consensus::Membership Without(const consensus::Membership& membership,
                              consensus::NodeId id) {
  consensus::Membership next = membership;
  next.peers.erase(std::remove_if(next.peers.begin(), next.peers.end(),
                                  [id](const consensus::Peer& peer) {
                                    return peer.id == id;
                                  }),
                   next.peers.end());
  return next;
}

}  // namespace

bool NeedsToJoin(const consensus::Node& node) {
  const consensus::Membership& membership = node.membership();
  return membership.Find(node.options().id) == nullptr ||
         membership.Find(node.leader()) == nullptr;
}

QuorumInput MakeQuorumInput(const consensus::Node& node,
                            std::size_t tolerated_failures) {
  return {
      node.membership(),
      node.options().id,
      node.commit_index(),
      [&node](consensus::NodeId peer) { return node.MatchIndex(peer); },
      tolerated_failures,
      node.HasPendingMembershipChange(),
  };
}

void QuorumPlanner::StartLeading(const consensus::Membership& membership,
                                 TimePoint now) {
  this->last_heard_at.clear();
  this->leaving_until.clear();
  for (const consensus::Peer& peer : membership.peers) {
    this->last_heard_at[peer.id] = now;
  }
}

void QuorumPlanner::HandleJoinRequest(const JoinRequest& request,
                                      TimePoint now) {
  this->pending_joins[request.id] = {request, now};
  this->leaving_until.erase(request.id);
}

LeaveState QuorumPlanner::HandleLeaveRequest(consensus::NodeId id,
                                             const QuorumInput& input,
                                             TimePoint now) {
  this->pending_joins.erase(id);
  if (input.membership.Find(id) == nullptr) {
    return input.is_change_pending ? LeaveState::kPending
                                   : LeaveState::kRemoved;
  }
  this->leaving_until[id] = now + kLeaveRequestLifetime;
  const bool is_dispensable =
      !input.membership.IsVoter(id) ||
      this->CountStayingVoters(input, now) >= 2 * input.tolerated_failures + 1;
  if (is_dispensable || this->HasSuccessor(input, now)) {
    return LeaveState::kPending;
  }
  this->leaving_until.erase(id);
  return LeaveState::kKept;
}

void QuorumPlanner::RecordMessage(consensus::NodeId peer, TimePoint now) {
  this->last_heard_at[peer] = now;
}

bool QuorumPlanner::WasHeardSince(consensus::NodeId peer,
                                  TimePoint since) const {
  const auto last_heard = this->last_heard_at.find(peer);
  return last_heard != this->last_heard_at.end() && last_heard->second >= since;
}

bool QuorumPlanner::IsAlive(const QuorumInput& input, consensus::NodeId peer,
                            TimePoint now) const {
  const auto last_heard = this->last_heard_at.find(peer);
  const bool was_heard_recently = last_heard != this->last_heard_at.end() &&
                                  now < last_heard->second + kSilenceTimeout;
  // A new host sends no consensus messages before it has received the
  // membership, so its join request counts as a sign of life for as long as a
  // message does. kJoinRequestLifetime is not used here.
  const auto pending_join = this->pending_joins.find(peer);
  const bool has_requested_join =
      pending_join != this->pending_joins.end() &&
      now < pending_join->second.requested_at + kSilenceTimeout;
  return peer == input.self || was_heard_recently || has_requested_join;
}

bool QuorumPlanner::IsLeaving(consensus::NodeId peer, TimePoint now) const {
  const auto leaving = this->leaving_until.find(peer);
  return leaving != this->leaving_until.end() && now < leaving->second;
}

bool QuorumPlanner::IsStaying(const QuorumInput& input, consensus::NodeId peer,
                              TimePoint now) const {
  return this->IsAlive(input, peer, now) && !this->IsLeaving(peer, now);
}

std::size_t QuorumPlanner::CountStayingVoters(const QuorumInput& input,
                                              TimePoint now) const {
  std::size_t count = 0;
  for (const consensus::Peer& peer : input.membership.peers) {
    count += peer.is_voter && this->IsStaying(input, peer.id, now) ? 1 : 0;
  }
  return count;
}

bool QuorumPlanner::HasSuccessor(const QuorumInput& input,
                                 TimePoint now) const {
  return std::any_of(
      input.membership.peers.begin(), input.membership.peers.end(),
      [this, &input, now](const consensus::Peer& peer) {
        return !peer.is_voter && this->IsStaying(input, peer.id, now);
      });
}

bool QuorumPlanner::MayPromote(const QuorumInput& input,
                               std::size_t staying_voters,
                               std::size_t promotable_learners) noexcept {
  const bool is_odd = staying_voters % 2 == 1;
  const std::size_t needed_voters = 2 * input.tolerated_failures + 1;
  const bool is_replacing = staying_voters < input.membership.VoterCount() &&
                            staying_voters < needed_voters;
  return !is_odd || is_replacing || promotable_learners >= 2;
}

std::optional<consensus::Membership> QuorumPlanner::NextMembership(
    const QuorumInput& input, TimePoint now) const {
  const std::size_t staying_voters = this->CountStayingVoters(input, now);
  std::vector<consensus::Peer> promotable_learners;
  for (const consensus::Peer& peer : input.membership.peers) {
    const bool is_caught_up = input.match_index(peer.id) >= input.commit_index;
    if (!peer.is_voter && this->IsStaying(input, peer.id, now) &&
        is_caught_up) {
      promotable_learners.push_back(peer);
    }
  }
  for (const consensus::Peer& peer : promotable_learners) {
    // The peer that had this address before has lost its disk.
    for (const consensus::Peer& previous : input.membership.peers) {
      if (previous.id != peer.id && previous.link == peer.link &&
          previous.id != input.self) {
        return Without(input.membership, previous.id);
      }
    }
    if (MayPromote(input, staying_voters, promotable_learners.size())) {
      consensus::Membership next = input.membership;
      next.Find(peer.id)->is_voter = true;
      return next;
    }
  }
  const std::size_t needed_voters = 2 * input.tolerated_failures + 1;
  for (const consensus::Peer& peer : input.membership.peers) {
    if (peer.id == input.self || this->IsStaying(input, peer.id, now)) {
      continue;
    }
    if (!peer.is_voter || staying_voters >= needed_voters) {
      return Without(input.membership, peer.id);
    }
  }
  for (const std::pair<const consensus::NodeId, PendingJoin>& entry :
       this->pending_joins) {
    const bool is_current =
        now < entry.second.requested_at + kJoinRequestLifetime;
    if (is_current && input.membership.Find(entry.first) == nullptr) {
      consensus::Membership next = input.membership;
      next.peers.push_back({entry.first, entry.second.request.link,
                            entry.second.request.http, false,
                            entry.second.request.disk_id});
      return next;
    }
  }
  return std::nullopt;
}

}  // namespace gooseberryturn::direct
