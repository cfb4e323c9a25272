#define BOOST_TEST_MODULE planner
#include "gooseberryturn/placement/planner.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>
#include <string>

using namespace gooseberryturn;             // NOLINT
using namespace gooseberryturn::placement;  // NOLINT

namespace {

/// Hosts and groups; applies each planned change as the control host does.
struct Cluster {
  explicit Cluster(std::int64_t groups, std::int64_t size) {
    config::Service service;
    service.name = "s";
    service.groups = groups;
    service.hosts_per_group = size;
    this->inventory.services["s"] = service;
  }
  void AddDomain(const std::string& data_centre, const std::string& domain,
                 int count) {
    for (int number = 0; number < count; ++number) {
      Host host;
      host.name = data_centre + "/" + domain + "/" + std::to_string(number);
      host.service = "s";
      host.data_centre = data_centre;
      host.fabric_domain = domain;
      host.incarnation = 1;
      host.is_usable = true;
      host.is_free = true;
      this->inventory.hosts[host.name] = host;
    }
  }
  std::size_t PlanOnce() {
    const std::vector<GroupChange> changes =
        Plan(this->inventory, Policy::kBestFit);
    for (const GroupChange& change : changes) {
      this->Apply(change);
    }
    this->Check();
    return changes.size();
  }
  std::size_t PlanUntilStable() {
    std::size_t total = 0;
    for (int round = 0; round < 10; ++round) {
      const std::size_t changes = this->PlanOnce();
      total += changes;
      if (changes == 0) {
        return total;
      }
    }
    BOOST_FAIL("the planner still changes groups after 10 rounds");
    return total;
  }
  void Kill(const std::string& name) {
    this->inventory.hosts[name].is_usable = false;
  }
  [[nodiscard]] int CompleteGroups() const {
    int count = 0;
    for (const auto& entry : this->inventory.groups) {
      bool is_complete = true;
      for (const protocol::Member& member : entry.second.members) {
        is_complete =
            is_complete && this->inventory.hosts.at(member.host).is_usable;
      }
      count += is_complete ? 1 : 0;
    }
    return count;
  }
  Inventory inventory;
  std::uint64_t fence = 0;

 private:
  void Apply(const GroupChange& change) {
    const auto old = this->inventory.groups.find(change.group.name);
    if (old != this->inventory.groups.end()) {
      BOOST_REQUIRE(old->second.fence == change.replaces);
      for (const protocol::Member& member : old->second.members) {
        this->inventory.hosts[member.host].is_free = true;
      }
      this->inventory.groups.erase(old);
    } else {
      BOOST_REQUIRE(change.replaces == 0U);
    }
    if (change.group.members.empty()) {
      return;
    }
    protocol::Group group = change.group;
    group.fence = ++this->fence;
    for (const protocol::Member& member : group.members) {
      this->inventory.hosts[member.host].is_free = false;
    }
    this->inventory.groups[group.name] = group;
  }

  void Check() {
    std::set<std::string> seen;
    for (const auto& entry : this->inventory.groups) {
      for (const protocol::Member& member : entry.second.members) {
        BOOST_REQUIRE_MESSAGE(seen.insert(member.host).second,
                              member.host << " is in two groups");
        const Host& host = this->inventory.hosts[member.host];
        BOOST_REQUIRE(host.fabric_domain == entry.second.fabric_domain);
        BOOST_REQUIRE(host.data_centre == entry.second.data_centre);
      }
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_CASE(groups_stay_in_a_domain_and_spread) {
  Cluster cluster(3, 4);
  cluster.AddDomain("a", "r1", 9);
  cluster.AddDomain("b", "r1", 9);
  cluster.AddDomain("c", "r1", 9);
  cluster.PlanUntilStable();
  std::set<std::string> data_centres;
  for (const auto& entry : cluster.inventory.groups) {
    data_centres.insert(entry.second.data_centre);
  }
  BOOST_TEST(data_centres.size() == 3U);
}

BOOST_AUTO_TEST_CASE(group_takes_the_domain_with_the_fewest_free_hosts) {
  Cluster cluster(1, 4);
  cluster.AddDomain("a", "large", 16);
  cluster.AddDomain("a", "tight", 4);
  cluster.PlanUntilStable();
  BOOST_TEST(cluster.inventory.groups.begin()->second.fabric_domain == "tight");
}

BOOST_AUTO_TEST_CASE(free_host_replaces_only_the_lost_member) {
  Cluster cluster(1, 4);
  cluster.AddDomain("a", "r1", 5);
  cluster.PlanUntilStable();
  const protocol::Group before = cluster.inventory.groups["s-1"];
  cluster.Kill(before.members[2].host);
  BOOST_TEST(cluster.PlanUntilStable() == 1U);
  const protocol::Group after = cluster.inventory.groups["s-1"];
  int kept = 0;
  for (const protocol::Member& member : after.members) {
    for (const protocol::Member& old : before.members) {
      kept += member.host == old.host ? 1 : 0;
    }
  }
  BOOST_TEST(kept == 3);
  BOOST_TEST(cluster.CompleteGroups() == 1);
}

BOOST_AUTO_TEST_CASE(survivors_of_two_broken_groups_form_one) {
  Cluster cluster(2, 4);
  cluster.AddDomain("a", "r1", 8);
  cluster.PlanUntilStable();
  cluster.Kill(cluster.inventory.groups["s-1"].members[0].host);
  cluster.PlanUntilStable();
  BOOST_TEST(cluster.CompleteGroups() == 1);
  cluster.Kill(cluster.inventory.groups["s-2"].members[0].host);
  cluster.PlanUntilStable();
  BOOST_TEST(cluster.CompleteGroups() == 1);
}

BOOST_AUTO_TEST_CASE(group_moves_out_of_a_failed_domain) {
  Cluster cluster(1, 4);
  cluster.AddDomain("a", "r1", 4);
  cluster.AddDomain("a", "r2", 4);
  cluster.PlanUntilStable();
  const std::string failed_domain =
      cluster.inventory.groups["s-1"].fabric_domain;
  for (auto& entry : cluster.inventory.hosts) {
    if (entry.second.fabric_domain == failed_domain) {
      entry.second.is_usable = false;
    }
  }
  cluster.PlanUntilStable();
  BOOST_TEST(cluster.CompleteGroups() == 1);
}

BOOST_AUTO_TEST_CASE(broken_group_without_free_hosts_waits_for_its_host) {
  Cluster cluster(1, 4);
  cluster.AddDomain("a", "r1", 4);
  cluster.PlanUntilStable();
  const std::string host = cluster.inventory.groups["s-1"].members[1].host;
  cluster.Kill(host);
  BOOST_TEST(cluster.PlanUntilStable() == 0U);
  cluster.inventory.hosts[host].is_usable = true;
  cluster.inventory.hosts[host].incarnation = 2;
  BOOST_TEST(cluster.PlanUntilStable() == 1U);
  BOOST_TEST(cluster.CompleteGroups() == 1);
}

BOOST_AUTO_TEST_CASE(groups_of_a_removed_or_smaller_service_are_dissolved) {
  Cluster cluster(3, 2);
  cluster.AddDomain("a", "r1", 6);
  cluster.PlanUntilStable();
  cluster.inventory.services["s"].groups = 1;
  cluster.PlanUntilStable();
  BOOST_TEST(cluster.inventory.groups.size() == 1U);
  cluster.inventory.services.clear();
  cluster.PlanUntilStable();
  BOOST_TEST(cluster.inventory.groups.empty());
}

BOOST_AUTO_TEST_CASE(random_host_losses_never_put_a_host_in_two_groups) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937_64 random(seed);
      Cluster cluster(12, 4);
      for (const std::string data_centre : {"a", "b"}) {
        for (const std::string domain : {"r1", "r2", "r3"}) {
          cluster.AddDomain(data_centre, domain, 9);
        }
      }
      for (int step = 0; step < 100; ++step) {
        auto host = cluster.inventory.hosts.begin();
        std::advance(host, random() % cluster.inventory.hosts.size());
        host->second.is_usable = random() % 3 != 0;
        host->second.incarnation += random() % 2;
        cluster.PlanUntilStable();
      }
      for (auto& entry : cluster.inventory.hosts) {
        entry.second.is_usable = true;
      }
      cluster.PlanUntilStable();
      BOOST_TEST(cluster.CompleteGroups() == 12);
    }
  }
}
