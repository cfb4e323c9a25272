#define BOOST_TEST_MODULE consensus
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/consensus/node.h"
#include "memory_disk.h"

namespace {

using namespace gooseberryturn;             // NOLINT
using namespace gooseberryturn::consensus;  // NOLINT

constexpr Duration kStep = std::chrono::milliseconds(10);

/// Simulated cluster whose network can lose, duplicate and reorder messages.
/// Checks that no index has two committed entries, no term has two leaders and
/// no two nodes hold the lease.
class Cluster {
 public:
  Cluster(std::size_t count, std::uint64_t seed) : random(seed) {
    Membership membership;
    for (NodeId id = 1; id <= count; ++id) {
      membership.peers.push_back({id, {}, {}, true, 0});
    }
    for (NodeId id = 1; id <= count; ++id) {
      this->disks[id].id = 1000 + id;
      this->disks[id].stored.snapshot.membership = membership;
      this->Start(id);
    }
  }

  void Start(NodeId id) {
    Options options;
    options.id = id;
    options.disk_id = this->disks[id].id;
    options.seed = this->random();
    this->nodes[id] =
        std::make_unique<Node>(options, this->disks[id].stored, this->now);
  }

  void Crash(NodeId id) { this->nodes.erase(id); }

  /// Restarts a host with an empty disk and a new disk id; with `is_bootstrap`
  /// it starts with the initial membership, else without any.
  void LoseDisk(NodeId id, bool is_bootstrap) {
    Disk fresh;
    fresh.id = this->disks[id].id + 1000;
    if (is_bootstrap) {
      for (const auto& disk : this->disks) {
        fresh.stored.snapshot.membership.peers.push_back(
            {disk.first, {}, {}, true, 0});
      }
    }
    this->disks[id] = fresh;
    this->Start(id);
  }

  [[nodiscard]] Node* Leader() {
    Node* leader = nullptr;
    for (auto& node : this->nodes) {
      const bool is_newer =
          node.second->role() == NodeRole::kLeader &&
          (leader == nullptr || node.second->term() > leader->term());
      leader = is_newer ? node.second.get() : leader;
    }
    return leader;
  }

  void Run(Duration length) {
    for (const TimePoint end = this->now + length; this->now < end;) {
      this->Step();
    }
  }

  /// Runs until a leader holds its lease.
  Node* WaitForLeader() {
    for (int steps = 0; steps < 2000; ++steps) {
      this->Step();
      Node* leader = this->Leader();
      if (leader != nullptr && leader->HasLease(this->now)) {
        return leader;
      }
    }
    BOOST_FAIL("no leader");
    return nullptr;
  }

  void Step() {
    this->now += kStep;
    for (auto& node : this->nodes) {
      node.second->Tick(this->now);
    }
    for (int round = 0; round < 3; ++round) {
      this->Deliver();
      for (auto& node : this->nodes) {
        this->ProcessReady(*node.second);
      }
    }
    this->CheckLeases();
  }

  Index Propose(const std::string& data) {
    Node* leader = this->Leader();
    if (leader == nullptr) {
      return 0;
    }
    const Result<Index> index = leader->Propose(data);
    this->ProcessReady(*leader);
    return index.value_or(0);
  }

  void Resign(NodeId id) {
    const std::optional<Message> transfer = this->nodes[id]->Resign(this->now);
    if (transfer.has_value()) {
      this->in_transit.push_back(*transfer);
    }
  }

  /// Drops messages from `from` to `to`.
  void BlockLink(NodeId from, NodeId to) {
    this->blocked_links.insert({from, to});
  }
  void Isolate(NodeId id) {
    for (const auto& disk : this->disks) {
      this->BlockLink(id, disk.first);
      this->BlockLink(disk.first, id);
    }
  }
  void UnblockLinks() { this->blocked_links.clear(); }

  std::map<NodeId, std::unique_ptr<Node>> nodes;
  std::map<NodeId, Disk> disks;
  std::map<Index, Entry> committed;  ///< Entries committed at any node.
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::mt19937_64 random;
  int loss_percent = 0;
  int duplicate_percent = 0;
  bool reorder = false;

 private:
  void ProcessReady(Node& node) {
    const Ready ready = node.TakeReady();
    const NodeId id = node.options().id;
    this->disks[id].Save(ready);
    node.Persisted(ready);
    for (const Entry& entry : ready.committed) {
      const auto known = this->committed.find(entry.index);
      if (known != this->committed.end()) {
        BOOST_REQUIRE_MESSAGE(known->second.term == entry.term &&
                                  known->second.data == entry.data,
                              "two entries committed at index " << entry.index);
      }
      this->committed[entry.index] = entry;
    }
    for (const Message& message : ready.messages) {
      this->in_transit.push_back(message);
    }
  }

  void Deliver() {
    std::vector<Message> batch;
    batch.swap(this->in_transit);
    if (this->reorder) {
      std::shuffle(batch.begin(), batch.end(), this->random);
    }
    for (const Message& message : batch) {
      const bool is_blocked =
          this->blocked_links.count({message.from, message.to}) > 0;
      const bool is_dropped =
          static_cast<int>(this->random() % 100) < this->loss_percent;
      if (is_blocked || is_dropped) {
        continue;
      }
      if (static_cast<int>(this->random() % 100) < this->duplicate_percent) {
        this->in_transit.push_back(message);
      }
      const auto node = this->nodes.find(message.to);
      if (node != this->nodes.end()) {
        node->second->Receive(message, this->now);
      }
    }
  }

  void CheckLeases() {
    int lease_holders = 0;
    std::set<Term> terms;
    for (auto& node : this->nodes) {
      lease_holders += node.second->HasLease(this->now) ? 1 : 0;
      if (node.second->role() == NodeRole::kLeader) {
        BOOST_REQUIRE_MESSAGE(terms.insert(node.second->term()).second,
                              "two leaders in one term");
      }
    }
    BOOST_REQUIRE_MESSAGE(lease_holders <= 1,
                          "two nodes hold the leader lease");
  }

  std::vector<Message> in_transit;
  std::set<std::pair<NodeId, NodeId>> blocked_links;
};

std::uint64_t Seed() {
  const char* text = std::getenv("GOOSEBERRYTURN_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

}  // namespace

BOOST_AUTO_TEST_CASE(elects_and_commits) {
  Cluster cluster(3, Seed());
  cluster.WaitForLeader();
  const Index index = cluster.Propose("a");
  cluster.Run(std::chrono::milliseconds(300));
  BOOST_TEST(cluster.committed.at(index).data == "a");
  for (auto& node : cluster.nodes) {
    BOOST_TEST(node.second->commit_index() >= index);
  }
}

BOOST_AUTO_TEST_CASE(isolated_leader_loses_lease_before_another_is_elected) {
  Cluster cluster(3, Seed());
  Node* old = cluster.WaitForLeader();
  const NodeId old_id = old->options().id;
  cluster.Isolate(old_id);
  cluster.Run(std::chrono::seconds(5));
  BOOST_TEST(!cluster.nodes[old_id]->HasLease(cluster.now));
  Node* next = cluster.WaitForLeader();
  BOOST_TEST(next->options().id != old_id);
  const Term term = next->term();
  cluster.UnblockLinks();
  cluster.Run(std::chrono::seconds(3));
  // With pre-vote, the rejoining host does not depose the new leader.
  BOOST_TEST(cluster.Leader()->term() == term);
}

BOOST_AUTO_TEST_CASE(rejoining_follower_does_not_depose_the_leader) {
  Cluster cluster(3, Seed());
  const NodeId leader = cluster.WaitForLeader()->options().id;
  const Term term = cluster.Leader()->term();
  cluster.Isolate(leader % 3 + 1);
  cluster.Run(std::chrono::seconds(10));
  cluster.UnblockLinks();
  cluster.Run(std::chrono::seconds(3));
  BOOST_TEST(cluster.Leader()->options().id == leader);
  BOOST_TEST(cluster.Leader()->term() == term);
}

BOOST_AUTO_TEST_CASE(voter_in_contact_with_the_leader_grants_no_vote) {
  for (std::uint64_t run = 0; run < 20; ++run) {
    Cluster cluster(3, Seed() + run);
    const NodeId leader = cluster.WaitForLeader()->options().id;
    cluster.Run(std::chrono::seconds(1));
    const Term term = cluster.Leader()->term();
    const NodeId blocked = leader % 3 + 1;
    // The leader and one follower cannot reach each other; the third node
    // reaches both.
    cluster.BlockLink(leader, blocked);
    cluster.BlockLink(blocked, leader);
    cluster.Run(std::chrono::seconds(5));
    BOOST_TEST(cluster.Leader()->options().id == leader);
    BOOST_TEST(cluster.Leader()->term() == term);
  }
}

BOOST_AUTO_TEST_CASE(resigned_leader_is_replaced_at_once) {
  // Without a transfer, hosts are without a leader for an election timeout
  // whenever the leader is stopped.
  for (const std::size_t count : {3, 5}) {
    Cluster cluster(count, Seed());
    const NodeId old_id = cluster.WaitForLeader()->options().id;
    cluster.Propose("x");
    cluster.Resign(old_id);
    BOOST_TEST(!cluster.nodes[old_id]->HasLease(cluster.now));
    cluster.Run(5 * kStep);
    Node* next = cluster.Leader();
    BOOST_REQUIRE(next != nullptr);
    BOOST_TEST(next->options().id != old_id);
    BOOST_TEST(next->HasLease(cluster.now));
  }
}

BOOST_AUTO_TEST_CASE(resigning_passes_over_a_follower_without_contact) {
  Cluster cluster(3, Seed());
  const NodeId old_id = cluster.WaitForLeader()->options().id;
  const NodeId silent = old_id % 3 + 1;
  cluster.Crash(silent);
  cluster.Run(std::chrono::seconds(2));
  cluster.Resign(old_id);
  cluster.Run(5 * kStep);
  BOOST_REQUIRE(cluster.Leader() != nullptr);
  BOOST_TEST(cluster.Leader()->options().id == silent % 3 + 1);
}

BOOST_AUTO_TEST_CASE(leader_without_contact_does_not_resign) {
  Cluster cluster(3, Seed());
  const NodeId id = cluster.WaitForLeader()->options().id;
  cluster.Isolate(id);
  cluster.Run(std::chrono::seconds(2));
  BOOST_TEST(!cluster.nodes[id]->Resign(cluster.now).has_value());
  BOOST_TEST((cluster.nodes[id]->role() == NodeRole::kLeader));
}

BOOST_AUTO_TEST_CASE(late_transfer_does_not_depose_a_leader) {
  for (const bool has_heard : {false, true}) {
    Cluster cluster(3, Seed());
    const NodeId old_id = cluster.WaitForLeader()->options().id;
    const Message transfer = *cluster.nodes[old_id]->Resign(cluster.now);
    // The message is late, and another leader is elected by then. Its successor
    // has heard from that one, or is still in the term before.
    cluster.Isolate(transfer.to);
    cluster.Run(std::chrono::seconds(3));
    const NodeId leader = cluster.WaitForLeader()->options().id;
    const Term term = cluster.Leader()->term();
    cluster.UnblockLinks();
    if (has_heard) {
      cluster.Run(std::chrono::seconds(1));
    }
    cluster.nodes[transfer.to]->Receive(transfer, cluster.now);
    cluster.Run(std::chrono::seconds(2));
    BOOST_TEST(cluster.Leader()->options().id == leader);
    BOOST_TEST(cluster.Leader()->term() == term);
  }
}

BOOST_AUTO_TEST_CASE(one_way_partition_does_not_block_commits) {
  Cluster cluster(3, Seed());
  Node* leader = cluster.WaitForLeader();
  const NodeId id = leader->options().id;
  const NodeId unreachable = id % 3 + 1;
  cluster.BlockLink(id, unreachable);
  cluster.Run(std::chrono::seconds(5));
  const Index index = cluster.Propose("x");
  cluster.Run(std::chrono::seconds(1));
  BOOST_TEST(index != 0U);
  BOOST_TEST(cluster.committed.count(index) == 1U);
}

BOOST_AUTO_TEST_CASE(host_with_a_lost_disk_never_votes) {
  for (const bool is_bootstrap : {false, true}) {
    Cluster cluster(3, Seed());
    cluster.WaitForLeader();
    cluster.Run(std::chrono::seconds(2));
    const NodeId leader = cluster.Leader()->options().id;
    const NodeId lost = leader % 3 + 1;
    const NodeId lagging = lost % 3 + 1;
    // The lagging host misses an entry that is stored on the leader and on the
    // disk that is lost next.
    cluster.Isolate(lagging);
    const Index index = cluster.Propose("kept");
    cluster.Run(std::chrono::milliseconds(300));
    BOOST_TEST(cluster.committed.count(index) == 1U);
    cluster.Crash(leader);
    cluster.LoseDisk(lost, is_bootstrap);
    cluster.UnblockLinks();
    cluster.Run(std::chrono::seconds(20));
    // The empty host and the lagging one would be a quorum without that entry.
    BOOST_TEST(cluster.Leader() == nullptr);
    cluster.Start(leader);
    cluster.WaitForLeader();
    cluster.Run(std::chrono::seconds(1));
    BOOST_TEST(cluster.Leader()->commit_index() >= index);
  }
}

BOOST_AUTO_TEST_CASE(learner_catches_up_by_snapshot_and_is_promoted) {
  Cluster cluster(3, Seed());
  Node* leader = cluster.WaitForLeader();
  cluster.Run(std::chrono::seconds(1));
  for (int count = 0; count < 50; ++count) {
    cluster.Propose("entry " + std::to_string(count));
    cluster.Run(std::chrono::milliseconds(20));
  }
  cluster.Run(std::chrono::milliseconds(500));
  leader = cluster.Leader();
  const Index applied = leader->commit_index();
  const Snapshot snapshot = leader->Compact(applied, "state");
  BOOST_TEST(snapshot.membership.VoterCount() == 3U);
  cluster.disks[4].id = 4000;
  cluster.Start(4);
  Membership next = leader->membership();
  next.peers.push_back({4, {}, {}, false, 0});
  BOOST_TEST(leader->ChangeMembership(next).has_value());
  cluster.Run(std::chrono::seconds(2));
  BOOST_TEST(cluster.Leader()->MatchIndex(4) >= applied);
  BOOST_TEST((cluster.nodes[4]->role() == NodeRole::kFollower));
  next = cluster.Leader()->membership();
  next.Find(4)->is_voter = true;
  BOOST_TEST(cluster.Leader()->ChangeMembership(next).has_value());
  cluster.Run(std::chrono::seconds(1));
  BOOST_TEST(cluster.nodes[4]->membership().VoterCount() == 4U);
}

BOOST_AUTO_TEST_CASE(second_failure_after_a_repair_loses_no_entry) {
  Cluster cluster(3, Seed());
  cluster.WaitForLeader();
  cluster.Run(std::chrono::seconds(1));
  const NodeId leader = cluster.Leader()->options().id;
  const NodeId lost = leader % 3 + 1;
  cluster.Crash(lost);
  cluster.Run(std::chrono::seconds(1));
  cluster.disks[4].id = 4000;
  cluster.Start(4);
  Membership next = cluster.Leader()->membership();
  next.peers.push_back({4, {}, {}, false, 0});
  BOOST_REQUIRE(cluster.Leader()->ChangeMembership(next).has_value());
  cluster.Run(std::chrono::seconds(1));
  next.Find(4)->is_voter = true;
  BOOST_REQUIRE(cluster.Leader()->ChangeMembership(next).has_value());
  cluster.Run(std::chrono::seconds(1));
  const Index index = cluster.Propose("after the repair");
  cluster.Run(std::chrono::milliseconds(300));
  BOOST_REQUIRE(cluster.committed.count(index) == 1U);
  // Of four voters, the remaining two are no quorum.
  cluster.Crash(leader);
  cluster.Run(std::chrono::seconds(10));
  BOOST_TEST(cluster.Leader() == nullptr);
  cluster.Start(lost);
  cluster.WaitForLeader();
  BOOST_TEST(cluster.Leader()->log().LastIndex() >= index);
}

BOOST_AUTO_TEST_CASE(membership_change_of_two_hosts_is_rejected) {
  Cluster cluster(3, Seed());
  cluster.WaitForLeader();
  cluster.Run(std::chrono::seconds(1));
  Membership next = cluster.Leader()->membership();
  next.peers.push_back({4, {}, {}, false, 0});
  next.peers.push_back({5, {}, {}, false, 0});
  BOOST_TEST(!cluster.Leader()->ChangeMembership(next).has_value());
}

BOOST_AUTO_TEST_CASE(random_faults_keep_every_committed_entry) {
  constexpr int kRuns = 40;
  for (int run = 0; run < kRuns; ++run) {
    const std::uint64_t seed = Seed() * 1000 + static_cast<std::uint64_t>(run);
    BOOST_TEST_CONTEXT("seed " << seed) {
      Cluster cluster(run % 2 == 0 ? 3 : 5, seed);
      cluster.loss_percent = 10;
      cluster.duplicate_percent = 10;
      cluster.reorder = true;
      const NodeId count = cluster.disks.size();
      for (int step = 0; step < 1500; ++step) {
        cluster.Step();
        const std::uint64_t action = cluster.random() % 100;
        const NodeId id = cluster.random() % count + 1;
        if (action < 20) {
          cluster.Propose(std::to_string(step));
        } else if (action == 20) {
          cluster.Crash(id);
        } else if (action < 24 && cluster.nodes.count(id) == 0) {
          cluster.Start(id);
        } else if (action == 24) {
          cluster.Isolate(id);
        } else if (action == 25) {
          cluster.BlockLink(id, cluster.random() % count + 1);
        } else if (action < 29) {
          cluster.UnblockLinks();
        } else if (action == 30 && cluster.nodes.count(id) > 0) {
          cluster.Resign(id);
        } else if (action == 29 && cluster.nodes.count(id) > 0) {
          Node& node = *cluster.nodes[id];
          const Index index = node.commit_index();
          if (index > node.log().snapshot().index + 20) {
            cluster.disks[id].stored.snapshot = node.Compact(index, "state");
            std::vector<Entry>& log = cluster.disks[id].stored.entries;
            log.erase(std::remove_if(log.begin(), log.end(),
                                     [index](const Entry& entry) {
                                       return entry.index <= index;
                                     }),
                      log.end());
          }
        }
      }
      cluster.loss_percent = 0;
      cluster.UnblockLinks();
      for (NodeId id = 1; id <= count; ++id) {
        if (cluster.nodes.count(id) == 0) {
          cluster.Start(id);
        }
      }
      cluster.WaitForLeader();
      const Index last = cluster.Propose("last");
      cluster.Run(std::chrono::seconds(3));
      BOOST_REQUIRE(cluster.committed.count(last) == 1U);
      BOOST_TEST(cluster.committed.rbegin()->first == last);
    }
  }
}

BOOST_AUTO_TEST_CASE(older_term_entry_is_not_committed_by_counting_replicas) {
  PersistentState stored;
  stored.hard_state = {2, 0};
  for (NodeId id = 1; id <= 3; ++id) {
    stored.snapshot.membership.peers.push_back({id, {}, {}, true, 0});
  }
  stored.entries = {{1, 1, EntryKind::kCommand, "a"},
                    {2, 2, EntryKind::kCommand, "b"}};
  Options options;
  options.id = 1;
  TimePoint now(std::chrono::hours(1));
  Node node(options, stored, now);
  now += options.election_timeout_max;
  node.Tick(now);
  const auto reply = [&](MessageType type, Index index) {
    Message message;
    message.type = type;
    message.from = 2;
    message.to = 1;
    message.term = 3;
    message.index = index;
    node.Receive(message, now);
    node.Persisted(node.TakeReady());
  };
  reply(MessageType::kPreVoteReply, 0);
  reply(MessageType::kVoteReply, 0);
  BOOST_REQUIRE((node.role() == NodeRole::kLeader));
  // Entry 2 of term 2 is on two of three nodes, but a leader of a later term
  // could still overwrite it.
  reply(MessageType::kAppendReply, 2);
  BOOST_TEST(node.commit_index() == 0U);
  reply(MessageType::kAppendReply, 3);
  BOOST_TEST(node.commit_index() == 3U);
}
