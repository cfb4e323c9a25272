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
                            std::size_t tolerated_failures, TimePoint now) {
  return {
      node.membership(),
      node.options().id,
      node.commit_index(),
      [&node](consensus::NodeId peer) { return node.MatchIndex(peer); },
      [&node, now](consensus::NodeId peer) {
        return node.IsInContact(peer, now);
      },
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

bool QuorumPlanner::CanCommit(const QuorumInput& input,
                              const consensus::Membership& next,
                              consensus::NodeId added) {
  std::size_t certain_votes = 0;
  for (const consensus::Peer& peer : next.peers) {
    const bool is_certain =
        peer.is_voter && peer.id != added && input.is_in_contact(peer.id);
    certain_votes += is_certain ? 1 : 0;
  }
  const std::size_t needed_votes =
      std::min(next.Quorum(), input.membership.VoterCount());
  return certain_votes >= needed_votes;
}

std::vector<consensus::Peer> QuorumPlanner::PromotableLearners(
    const QuorumInput& input, TimePoint now) const {
  std::vector<consensus::Peer> learners;
  for (const consensus::Peer& peer : input.membership.peers) {
    const bool is_promotable = !peer.is_voter &&
                               this->IsStaying(input, peer.id, now) &&
                               input.is_in_contact(peer.id) &&
                               input.match_index(peer.id) >= input.commit_index;
    if (is_promotable) {
      learners.push_back(peer);
    }
  }
  return learners;
}

std::optional<consensus::Membership> QuorumPlanner::WithoutLostIdentity(
    const QuorumInput& input, const std::vector<consensus::Peer>& learners) {
  for (const consensus::Peer& learner : learners) {
    for (const consensus::Peer& previous : input.membership.peers) {
      if (previous.id == learner.id || previous.link != learner.link ||
          previous.id == input.self) {
        continue;
      }
      const consensus::Membership next = Without(input.membership, previous.id);
      if (CanCommit(input, next, 0)) {
        return next;
      }
    }
  }
  return std::nullopt;
}

std::optional<consensus::Membership> QuorumPlanner::WithoutDeparted(
    const QuorumInput& input, bool has_promotable_learner,
    TimePoint now) const {
  const std::size_t tolerated = input.tolerated_failures;
  const bool is_surplus =
      this->CountStayingVoters(input, now) >= 2 * tolerated + 1;
  // The learner becomes a voter in the next step. Until then what is committed
  // stands on the disks of tolerated + 1 voters.
  const bool is_replaced =
      has_promotable_learner && input.membership.VoterCount() > 2 * tolerated;
  for (const consensus::Peer& peer : input.membership.peers) {
    const bool is_departed =
        peer.id != input.self && !this->IsStaying(input, peer.id, now);
    if (!is_departed || (peer.is_voter && !is_surplus && !is_replaced)) {
      continue;
    }
    const consensus::Membership next = Without(input.membership, peer.id);
    if (CanCommit(input, next, 0)) {
      return next;
    }
  }
  return std::nullopt;
}

std::optional<consensus::Membership> QuorumPlanner::WithJoined(
    const QuorumInput& input, TimePoint now) const {
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

std::optional<consensus::Membership> QuorumPlanner::NextMembership(
    const QuorumInput& input, TimePoint now) const {
  const std::vector<consensus::Peer> learners =
      this->PromotableLearners(input, now);
  std::optional<consensus::Membership> next =
      WithoutLostIdentity(input, learners);
  if (next.has_value()) {
    return next;
  }
  const bool may_promote =
      !learners.empty() &&
      MayPromote(input, this->CountStayingVoters(input, now), learners.size());
  if (may_promote) {
    const consensus::NodeId promoted = learners.front().id;
    next = input.membership;
    next->Find(promoted)->is_voter = true;
    if (CanCommit(input, *next, promoted)) {
      return next;
    }
  }
  next = this->WithoutDeparted(input, !learners.empty(), now);
  return next.has_value() ? next : this->WithJoined(input, now);
}

}  // namespace gooseberryturn::direct
