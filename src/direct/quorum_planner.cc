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

void QuorumPlanner::StartLeading(const consensus::Membership& membership,
                                 TimePoint now) {
  this->heard_at.clear();
  for (const consensus::Peer& peer : membership.peers) {
    this->heard_at[peer.id] = now;
  }
}

void QuorumPlanner::HandleJoinRequest(const JoinRequest& request,
                                      TimePoint now) {
  this->joiners[request.id] = {request, now};
}

void QuorumPlanner::RecordMessage(consensus::NodeId peer, TimePoint now) {
  this->heard_at[peer] = now;
}

bool QuorumPlanner::IsAlive(const QuorumInput& input, consensus::NodeId peer,
                            TimePoint now) const {
  const auto heard = this->heard_at.find(peer);
  const bool is_heard =
      heard != this->heard_at.end() && now < heard->second + kSilenceTimeout;
  // A new host cannot speak in the quorum before it holds a membership.
  const auto joiner = this->joiners.find(peer);
  const bool has_asked = joiner != this->joiners.end() &&
                         now < joiner->second.asked_at + kSilenceTimeout;
  return peer == input.self || is_heard || has_asked;
}

bool QuorumPlanner::MayPromote(std::size_t voters, std::size_t live_voters,
                               std::size_t candidates) noexcept {
  const bool is_odd = voters % 2 == 1;
  return !is_odd || live_voters < voters || candidates >= 2;
}

std::optional<consensus::Membership> QuorumPlanner::NextMembership(
    const QuorumInput& input, TimePoint now) const {
  std::size_t live_voters = 0;
  std::vector<consensus::Peer> candidates;
  for (const consensus::Peer& peer : input.membership.peers) {
    const bool is_alive = this->IsAlive(input, peer.id, now);
    const bool is_caught_up = input.match_index(peer.id) >= input.commit;
    live_voters += peer.is_voter && is_alive ? 1 : 0;
    if (!peer.is_voter && is_alive && is_caught_up) {
      candidates.push_back(peer);
    }
  }
  for (const consensus::Peer& peer : candidates) {
    // The identity that the address had before is gone with its disk.
    for (const consensus::Peer& old : input.membership.peers) {
      if (old.id != peer.id && old.link == peer.link && old.id != input.self) {
        return Without(input.membership, old.id);
      }
    }
    if (MayPromote(input.membership.VoterCount(), live_voters,
                   candidates.size())) {
      consensus::Membership next = input.membership;
      next.Find(peer.id)->is_voter = true;
      return next;
    }
  }
  const std::size_t needed = 2 * input.tolerated + 1;
  for (const consensus::Peer& peer : input.membership.peers) {
    if (this->IsAlive(input, peer.id, now)) {
      continue;
    }
    if (!peer.is_voter || live_voters >= needed) {
      return Without(input.membership, peer.id);
    }
  }
  for (const std::pair<const consensus::NodeId, Joiner>& entry :
       this->joiners) {
    const bool is_current = now < entry.second.asked_at + kJoinLife;
    if (is_current && input.membership.Find(entry.first) == nullptr) {
      consensus::Membership next = input.membership;
      next.peers.push_back({entry.first, entry.second.request.link,
                            entry.second.request.control, false,
                            entry.second.request.disk});
      return next;
    }
  }
  return std::nullopt;
}

}  // namespace gooseberryturn::direct
