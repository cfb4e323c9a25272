#define BOOST_TEST_MODULE consensus
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/consensus/node.h"

namespace {

using namespace gooseberryturn;             // NOLINT
using namespace gooseberryturn::consensus;  // NOLINT

constexpr Duration kStep = std::chrono::milliseconds(10);

/// What one host has on its disk.
struct Disk {
  PersistentState stored;
  std::uint64_t id = 0;

  void Save(const Ready& ready) {
    if (ready.hard_state.has_value()) {
      this->stored.hard_state = *ready.hard_state;
    }
    if (ready.snapshot.has_value()) {
      this->stored.snapshot = *ready.snapshot;
      this->stored.entries.clear();
    }
    for (const Entry& entry : ready.entries) {
      std::vector<Entry>& log = this->stored.entries;
      const Index first = this->stored.snapshot.index + 1;
      log.resize(std::min<std::size_t>(log.size(), entry.index - first));
      log.push_back(entry);
    }
  }
};

/// A few nodes on a link that loses, repeats and reorders messages. Checks
/// after each step what Raft promises.
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

  /// The host returns with an empty disk and the membership of a bootstrap.
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
        this->Drain(*node.second);
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
    this->Drain(*leader);
    return index.value_or(0);
  }

  /// Cuts messages from `from` to `to`.
  void Cut(NodeId from, NodeId to) { this->cuts.insert({from, to}); }
  void Isolate(NodeId id) {
    for (const auto& disk : this->disks) {
      this->Cut(id, disk.first);
      this->Cut(disk.first, id);
    }
  }
  void Heal() { this->cuts.clear(); }

  std::map<NodeId, std::unique_ptr<Node>> nodes;
  std::map<NodeId, Disk> disks;
  std::map<Index, Entry> committed;  ///< What any node ever applied.
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::mt19937_64 random;
  int loss_percent = 0;
  int repeat_percent = 0;
  bool reorder = false;

 private:
  void Drain(Node& node) {
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
      this->wire.push_back(message);
    }
  }

  void Deliver() {
    std::vector<Message> batch;
    batch.swap(this->wire);
    if (this->reorder) {
      std::shuffle(batch.begin(), batch.end(), this->random);
    }
    for (const Message& message : batch) {
      const bool is_cut = this->cuts.count({message.from, message.to}) > 0;
      const bool is_lost =
          static_cast<int>(this->random() % 100) < this->loss_percent;
      if (is_cut || is_lost) {
        continue;
      }
      if (static_cast<int>(this->random() % 100) < this->repeat_percent) {
        this->wire.push_back(message);
      }
      const auto node = this->nodes.find(message.to);
      if (node != this->nodes.end()) {
        node->second->Receive(message, this->now);
      }
    }
  }

  void CheckLeases() {
    int holders = 0;
    std::set<Term> terms;
    for (auto& node : this->nodes) {
      holders += node.second->HasLease(this->now) ? 1 : 0;
      if (node.second->role() == NodeRole::kLeader) {
        BOOST_REQUIRE_MESSAGE(terms.insert(node.second->term()).second,
                              "two leaders in one term");
      }
    }
    BOOST_REQUIRE_MESSAGE(holders <= 1, "two nodes hold the leader lease");
  }

  std::vector<Message> wire;
  std::set<std::pair<NodeId, NodeId>> cuts;
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

BOOST_AUTO_TEST_CASE(cut_off_leader_loses_its_lease_before_another_leads) {
  Cluster cluster(3, Seed());
  Node* old = cluster.WaitForLeader();
  const NodeId old_id = old->options().id;
  cluster.Isolate(old_id);
  cluster.Run(std::chrono::seconds(5));
  BOOST_TEST(!cluster.nodes[old_id]->HasLease(cluster.now));
  Node* next = cluster.WaitForLeader();
  BOOST_TEST(next->options().id != old_id);
  const Term term = next->term();
  cluster.Heal();
  cluster.Run(std::chrono::seconds(3));
  // Pre-vote: the host that comes back does not unseat the leader.
  BOOST_TEST(cluster.Leader()->term() == term);
}

BOOST_AUTO_TEST_CASE(follower_that_comes_back_does_not_unseat_the_leader) {
  Cluster cluster(3, Seed());
  const NodeId leader = cluster.WaitForLeader()->options().id;
  const Term term = cluster.Leader()->term();
  cluster.Isolate(leader % 3 + 1);
  cluster.Run(std::chrono::seconds(10));
  cluster.Heal();
  cluster.Run(std::chrono::seconds(3));
  BOOST_TEST(cluster.Leader()->options().id == leader);
  BOOST_TEST(cluster.Leader()->term() == term);
}

BOOST_AUTO_TEST_CASE(voter_that_hears_the_leader_elects_nobody_else) {
  for (std::uint64_t run = 0; run < 20; ++run) {
    Cluster cluster(3, Seed() + run);
    const NodeId leader = cluster.WaitForLeader()->options().id;
    cluster.Run(std::chrono::seconds(1));
    const Term term = cluster.Leader()->term();
    const NodeId cut = leader % 3 + 1;
    // Leader and one follower cannot hear each other; the third hears both.
    cluster.Cut(leader, cut);
    cluster.Cut(cut, leader);
    cluster.Run(std::chrono::seconds(5));
    BOOST_TEST(cluster.Leader()->options().id == leader);
    BOOST_TEST(cluster.Leader()->term() == term);
  }
}

BOOST_AUTO_TEST_CASE(one_way_cut_does_not_stop_the_quorum) {
  Cluster cluster(3, Seed());
  Node* leader = cluster.WaitForLeader();
  const NodeId id = leader->options().id;
  const NodeId deaf = id % 3 + 1;
  cluster.Cut(id, deaf);
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
    const NodeId behind = lost % 3 + 1;
    // The third host misses an entry that the leader and the lost disk hold.
    cluster.Isolate(behind);
    const Index index = cluster.Propose("kept");
    cluster.Run(std::chrono::milliseconds(300));
    BOOST_TEST(cluster.committed.count(index) == 1U);
    cluster.Crash(leader);
    cluster.LoseDisk(lost, is_bootstrap);
    cluster.Heal();
    cluster.Run(std::chrono::seconds(20));
    // A quorum of the lost disk and the host that is behind would forget it.
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

BOOST_AUTO_TEST_CASE(second_loss_right_after_a_repair_loses_nothing) {
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
  // Four voters: after a second loss two are left and must not lead.
  cluster.Crash(leader);
  cluster.Run(std::chrono::seconds(10));
  BOOST_TEST(cluster.Leader() == nullptr);
  cluster.Start(lost);
  cluster.WaitForLeader();
  BOOST_TEST(cluster.Leader()->log().LastIndex() >= index);
}

BOOST_AUTO_TEST_CASE(changes_of_two_hosts_at_once_are_refused) {
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
      cluster.repeat_percent = 10;
      cluster.reorder = true;
      const NodeId count = cluster.disks.size();
      for (int step = 0; step < 1500; ++step) {
        cluster.Step();
        const std::uint64_t dice = cluster.random() % 100;
        const NodeId id = cluster.random() % count + 1;
        if (dice < 20) {
          cluster.Propose(std::to_string(step));
        } else if (dice == 20) {
          cluster.Crash(id);
        } else if (dice < 24 && cluster.nodes.count(id) == 0) {
          cluster.Start(id);
        } else if (dice == 24) {
          cluster.Isolate(id);
        } else if (dice == 25) {
          cluster.Cut(id, cluster.random() % count + 1);
        } else if (dice < 29) {
          cluster.Heal();
        } else if (dice == 29 && cluster.nodes.count(id) > 0) {
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
      cluster.Heal();
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

BOOST_AUTO_TEST_CASE(entry_of_an_older_term_is_not_committed_by_counting) {
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
  // Two of three hold entry 2 of term 2: another leader may still undo it.
  reply(MessageType::kAppendReply, 2);
  BOOST_TEST(node.commit_index() == 0U);
  reply(MessageType::kAppendReply, 3);
  BOOST_TEST(node.commit_index() == 3U);
}
