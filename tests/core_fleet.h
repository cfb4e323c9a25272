#ifndef GOOSEBERRYTURN_TESTS_CORE_FLEET_H_
#define GOOSEBERRYTURN_TESTS_CORE_FLEET_H_

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryturn/consensus/node.h"
#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/direct/quorum_leave.h"
#include "gooseberryturn/direct/quorum_planner.h"
#include "memory_disk.h"

/// Control hosts without sockets and disks: consensus::Node and QuorumPlanner
/// over a simulated network and clock, joined as ControlHost does it.
namespace gooseberryturn::direct {

/// One control host; down if it has no node.
struct CoreHost {
  consensus::Disk disk;
  Endpoint link;
  std::unique_ptr<consensus::Node> node;
  QuorumPlanner planner;
  QuorumLeave leave;
  consensus::Term led_term = 0;  ///< Last term that the planner has taken over.
  TimePoint next_join_request_at;
  bool is_frozen = false;
  std::vector<consensus::Message> held;  ///< Arrived while it was frozen.
};

/// Simulates control hosts. Fails a test when two nodes hold the lease, two
/// lead in one term, or two entries are committed at one index.
class CoreFleet {
 public:
  explicit CoreFleet(std::uint64_t seed, std::size_t tolerated_failures = 1)
      : random(seed), tolerated_failures(tolerated_failures) {
    const std::uint16_t count =
        static_cast<std::uint16_t>(2 * tolerated_failures + 1);
    consensus::Membership membership;
    for (std::uint16_t id = 1; id <= count; ++id) {
      membership.peers.push_back({id, LinkOf(id), LinkOf(id), true, 0});
    }
    for (std::uint16_t id = 1; id <= count; ++id) {
      CoreHost& host = this->hosts[id];
      host.disk.id = 1000U + id;
      host.disk.stored.snapshot.membership = membership;
      host.link = LinkOf(id);
      this->Boot(id);
    }
    this->next_id = count + 1U;
  }

  // ---------------------------------------------------------------- hosts

  /// Starts a host with an empty disk at a new address.
  consensus::NodeId StartNew() {
    const std::uint16_t port = static_cast<std::uint16_t>(this->next_id);
    return this->StartEmpty(LinkOf(port));
  }
  /// Restarts a host at its address with an empty disk, under a new id.
  consensus::NodeId RestartEmpty(consensus::NodeId id) {
    const Endpoint link = this->hosts.at(id).link;
    this->Kill(id);
    return this->StartEmpty(link);
  }
  /// Restarts a host with its disk.
  void Boot(consensus::NodeId id) {
    CoreHost& host = this->hosts.at(id);
    consensus::Options options;
    options.id = id;
    options.disk_id = host.disk.id;
    options.seed = this->random();
    options.election_timeout_min = ControlHost::kElectionTimeoutMin;
    options.election_timeout_max = ControlHost::kElectionTimeoutMax;
    host.node =
        std::make_unique<consensus::Node>(options, host.disk.stored, this->now);
    host.planner = QuorumPlanner();
    host.leave = QuorumLeave();
    host.led_term = 0;
    host.is_frozen = false;
    host.held.clear();
  }
  /// Stops a host as planned; it is down when it has left the quorum.
  void Stop(consensus::NodeId id) {
    CoreHost& host = this->hosts.at(id);
    host.leave.Start(this->now, this->now + QuorumLeave::kTimeout);
    host.node->Abstain();
  }
  void Kill(consensus::NodeId id) { this->hosts.at(id).node = nullptr; }
  void Freeze(consensus::NodeId id) { this->hosts.at(id).is_frozen = true; }
  /// \param keeps_messages What arrived meanwhile is read now; else it is lost.
  void Wake(consensus::NodeId id, bool keeps_messages) {
    CoreHost& host = this->hosts.at(id);
    host.is_frozen = false;
    const std::vector<consensus::Message> held = std::exchange(host.held, {});
    for (const consensus::Message& message : held) {
      if (keeps_messages) {
        this->Receive(host, message);
      }
    }
  }

  [[nodiscard]] bool IsDown(consensus::NodeId id) const {
    return this->hosts.at(id).node == nullptr;
  }
  [[nodiscard]] bool IsRunning(consensus::NodeId id) const {
    const CoreHost& host = this->hosts.at(id);
    return host.node != nullptr && !host.is_frozen;
  }
  /// The host that leads and may answer reads; 0 for none.
  [[nodiscard]] consensus::NodeId Leader() const {
    for (const std::pair<const consensus::NodeId, CoreHost>& entry :
         this->hosts) {
      if (this->IsLeading(entry.second)) {
        return entry.first;
      }
    }
    return 0;
  }
  /// Membership in the eyes of the leader; empty without one.
  [[nodiscard]] consensus::Membership Membership() const {
    const consensus::NodeId leader = this->Leader();
    return leader == 0 ? consensus::Membership()
                       : this->hosts.at(leader).node->membership();
  }

  // ----------------------------------------------------------------- time

  void Run(Duration length) {
    for (const TimePoint end = this->now + length; this->now < end;) {
      this->Step();
    }
  }

  /// Runs until a leader commits a new entry, and checks that it has every
  /// entry that was acknowledged.
  /// \returns False if that takes longer than `limit`.
  [[nodiscard]] bool CommitsWithin(Duration limit) {
    const std::string data = "value " + std::to_string(++this->last_value);
    for (const TimePoint end = this->now + limit; this->now < end;) {
      const consensus::NodeId id = this->Leader();
      if (id == 0) {
        this->Step();
        continue;
      }
      consensus::Node& leader = *this->hosts.at(id).node;
      const Result<consensus::Index> index = leader.Propose(data);
      this->ProcessReady(this->hosts.at(id));
      const TimePoint retry_at = this->now + ControlHost::kCommitTimeout;
      while (index.has_value() && this->now < std::min(end, retry_at)) {
        this->Step();
        const auto entry = this->committed.find(*index);
        if (entry != this->committed.end() && entry->second.data == data) {
          this->acknowledged[*index] = data;
          this->CheckAcknowledged();
          return true;
        }
      }
    }
    return false;
  }

  std::map<consensus::NodeId, CoreHost> hosts;
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::mt19937_64 random;

 private:
  static constexpr Duration kStep = Milliseconds(10);
  static constexpr int kStepsPerTick = 5;
  /// Messages that a step may pass on: a reply and what follows from it.
  static constexpr int kHopsPerStep = 2;

  static Endpoint LinkOf(std::uint16_t port) { return {"10.0.0.1", port}; }

  consensus::NodeId StartEmpty(const Endpoint& link) {
    const consensus::NodeId id = this->next_id++;
    CoreHost& host = this->hosts[id];
    host.disk.id = 1000 + id;
    host.link = link;
    this->Boot(id);
    return id;
  }

  [[nodiscard]] bool IsLeading(const CoreHost& host) const {
    return host.node != nullptr && !host.is_frozen &&
           host.node->role() == consensus::NodeRole::kLeader &&
           host.led_term == host.node->term() && host.node->HasLease(this->now);
  }

  void Step() {
    this->now += kStep;
    this->step_count += 1;
    for (std::pair<const consensus::NodeId, CoreHost>& entry : this->hosts) {
      if (this->IsRunning(entry.first)) {
        entry.second.node->Tick(this->now);
        this->ProcessReady(entry.second);
      }
    }
    for (int hop = 0; hop < kHopsPerStep; ++hop) {
      this->Deliver();
    }
    this->CheckLeases();
    if (this->step_count % kStepsPerTick != 0) {
      return;
    }
    for (std::pair<const consensus::NodeId, CoreHost>& entry : this->hosts) {
      if (this->IsRunning(entry.first)) {
        this->TickHost(entry.second);
      }
    }
  }

  /// See ControlHost::Tick.
  void TickHost(CoreHost& host) {
    consensus::Node& node = *host.node;
    if (host.leave.is_started()) {
      this->TickLeaver(host);
      return;
    }
    if (node.role() != consensus::NodeRole::kLeader) {
      this->RequestToJoin(host);
      return;
    }
    if (host.led_term != node.term() && node.HasLease(this->now)) {
      host.led_term = node.term();
      host.planner.StartLeading(node.membership(), this->now);
    }
    if (!this->IsLeading(host)) {
      return;
    }
    const std::optional<consensus::Membership> next =
        host.planner.NextMembership(
            MakeQuorumInput(node, this->tolerated_failures, this->now),
            this->now);
    if (next.has_value()) {
      (void)node.ChangeMembership(*next);
      this->ProcessReady(host);
    }
  }

  /// See ControlHost::FinishLeaveIfReady.
  void TickLeaver(CoreHost& host) {
    const std::optional<consensus::Message> transfer =
        host.node->Resign(this->now);
    if (transfer.has_value()) {
      this->in_transit.push_back(*transfer);
    }
    if (host.leave.IsDone(this->now)) {
      host.node = nullptr;
      return;
    }
    const bool is_leader = host.node->role() == consensus::NodeRole::kLeader;
    const consensus::NodeId leader_id = this->Leader();
    if (!is_leader && leader_id != 0 && host.leave.TakeRequest(this->now)) {
      CoreHost& leader = this->hosts.at(leader_id);
      host.leave.HandleAnswer(
          leader.planner.HandleLeaveRequest(
              host.node->options().id,
              MakeQuorumInput(*leader.node, this->tolerated_failures,
                              this->now),
              this->now),
          this->now);
    }
  }

  void RequestToJoin(CoreHost& host) {
    if (!NeedsToJoin(*host.node) || this->now < host.next_join_request_at) {
      return;
    }
    host.next_join_request_at = this->now + ControlHost::kJoinRequestInterval;
    const consensus::NodeId leader = this->Leader();
    if (leader != 0) {
      this->hosts.at(leader).planner.HandleJoinRequest(
          {host.node->options().id, host.disk.id, host.link, host.link},
          this->now);
    }
  }

  // ------------------------------------------------------------- messages

  void ProcessReady(CoreHost& host) {
    consensus::Node& node = *host.node;
    const consensus::Ready ready = node.TakeReady();
    host.disk.Save(ready);
    node.Persisted(ready);
    for (const consensus::Entry& entry : ready.committed) {
      const auto known = this->committed.insert({entry.index, entry}).first;
      BOOST_REQUIRE_MESSAGE(
          known->second.term == entry.term && known->second.data == entry.data,
          "two entries committed at index " << entry.index);
    }
    for (const consensus::Message& message : ready.messages) {
      // As Driver::Send: no address is known of others.
      if (node.membership().Find(message.to) != nullptr) {
        this->in_transit.push_back(message);
      }
    }
  }

  void Receive(CoreHost& host, const consensus::Message& message) {
    host.planner.RecordMessage(message.from, this->now);
    host.node->Receive(message, this->now);
    this->ProcessReady(host);
  }

  void Deliver() {
    const std::vector<consensus::Message> batch =
        std::exchange(this->in_transit, {});
    for (const consensus::Message& message : batch) {
      const auto found = this->hosts.find(message.to);
      if (found == this->hosts.end() || found->second.node == nullptr) {
        continue;
      }
      if (found->second.is_frozen) {
        found->second.held.push_back(message);
      } else {
        this->Receive(found->second, message);
      }
    }
  }

  // --------------------------------------------------------------- checks

  void CheckLeases() const {
    int lease_holders = 0;
    std::set<consensus::Term> terms;
    for (const std::pair<const consensus::NodeId, CoreHost>& entry :
         this->hosts) {
      const consensus::Node* node = entry.second.node.get();
      if (node == nullptr || entry.second.is_frozen) {
        continue;
      }
      lease_holders += node->HasLease(this->now) ? 1 : 0;
      if (node->role() == consensus::NodeRole::kLeader) {
        BOOST_REQUIRE_MESSAGE(terms.insert(node->term()).second,
                              "two leaders in one term");
      }
    }
    BOOST_REQUIRE_MESSAGE(lease_holders <= 1,
                          "two nodes hold the leader lease");
  }

  void CheckAcknowledged() {
    const consensus::Log& log = this->hosts.at(this->Leader()).node->log();
    for (const std::pair<const consensus::Index, std::string>& entry :
         this->acknowledged) {
      BOOST_REQUIRE_MESSAGE(entry.first <= log.LastIndex() &&
                                log.At(entry.first).data == entry.second,
                            entry.second << " was acknowledged and is lost");
    }
  }

  std::size_t tolerated_failures;
  consensus::NodeId next_id = 1;
  std::uint64_t step_count = 0;
  std::uint64_t last_value = 0;
  std::vector<consensus::Message> in_transit;
  std::map<consensus::Index, consensus::Entry> committed;
  std::map<consensus::Index, std::string> acknowledged;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_TESTS_CORE_FLEET_H_
