#include "gooseberryturn/consensus/types.h"

namespace gooseberryturn::consensus {

const Peer* Membership::Find(NodeId id) const noexcept {
  for (const Peer& peer : this->peers) {
    if (peer.id == id) {
      return &peer;
    }
  }
  return nullptr;
}

Peer* Membership::Find(NodeId id) noexcept {
  for (Peer& peer : this->peers) {
    if (peer.id == id) {
      return &peer;
    }
  }
  return nullptr;
}

bool Membership::IsVoter(NodeId id) const noexcept {
  const Peer* peer = this->Find(id);
  return peer != nullptr && peer->is_voter;
}

std::size_t Membership::VoterCount() const noexcept {
  std::size_t count = 0;
  for (const Peer& peer : this->peers) {
    count += peer.is_voter ? 1 : 0;
  }
  return count;
}

std::size_t Membership::Quorum() const noexcept {
  return this->VoterCount() / 2 + 1;
}

}  // namespace gooseberryturn::consensus
