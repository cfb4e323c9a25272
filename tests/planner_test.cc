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

/// Hosts and groups; moves are carried out as the control host would.
struct Site {
  explicit Site(std::int64_t groups, std::int64_t size) {
    config::Service service;
    service.name = "s";
    service.groups = groups;
    service.hosts_per_group = size;
    this->inventory.services["s"] = service;
  }
  void AddDomain(const std::string& place, const std::string& domain,
                 int count) {
    for (int number = 0; number < count; ++number) {
      Host host;
      host.name = place + "/" + domain + "/" + std::to_string(number);
      host.service = "s";
      host.data_centre = place;
      host.fabric_domain = domain;
      host.incarnation = 1;
      host.is_usable = true;
      host.is_free = true;
      this->inventory.hosts[host.name] = host;
    }
  }
  std::size_t PlanOnce() {
    const std::vector<GroupChange> moves =
        Plan(this->inventory, Policy::kBestFit);
    for (const GroupChange& move : moves) {
      this->Carry(move);
    }
    this->Check();
    return moves.size();
  }
  std::size_t Settle() {
    std::size_t total = 0;
    for (int round = 0; round < 10; ++round) {
      const std::size_t moves = this->PlanOnce();
      total += moves;
      if (moves == 0) {
        return total;
      }
    }
    BOOST_FAIL("the plan does not settle");
    return total;
  }
  void Kill(const std::string& name) {
    this->inventory.hosts[name].is_usable = false;
  }
  [[nodiscard]] int Whole() const {
    int count = 0;
    for (const auto& entry : this->inventory.groups) {
      bool is_whole = true;
      for (const protocol::Member& member : entry.second.members) {
        is_whole = is_whole && this->inventory.hosts.at(member.host).is_usable;
      }
      count += is_whole ? 1 : 0;
    }
    return count;
  }
  Inventory inventory;
  std::uint64_t fence = 0;

 private:
  void Carry(const GroupChange& move) {
    const auto old = this->inventory.groups.find(move.group.name);
    if (old != this->inventory.groups.end()) {
      BOOST_REQUIRE(old->second.fence == move.replaces);
      for (const protocol::Member& member : old->second.members) {
        this->inventory.hosts[member.host].is_free = true;
      }
      this->inventory.groups.erase(old);
    } else {
      BOOST_REQUIRE(move.replaces == 0U);
    }
    if (move.group.members.empty()) {
      return;
    }
    protocol::Group group = move.group;
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
  Site site(3, 4);
  site.AddDomain("a", "r1", 9);
  site.AddDomain("b", "r1", 9);
  site.AddDomain("c", "r1", 9);
  site.Settle();
  std::set<std::string> places;
  for (const auto& entry : site.inventory.groups) {
    places.insert(entry.second.data_centre);
  }
  BOOST_TEST(places.size() == 3U);
}

BOOST_AUTO_TEST_CASE(tightest_domain_keeps_the_large_one_free) {
  Site site(1, 4);
  site.AddDomain("a", "large", 16);
  site.AddDomain("a", "tight", 4);
  site.Settle();
  BOOST_TEST(site.inventory.groups.begin()->second.fabric_domain == "tight");
}

BOOST_AUTO_TEST_CASE(spare_replaces_one_member_and_moves_nobody_else) {
  Site site(1, 4);
  site.AddDomain("a", "r1", 5);
  site.Settle();
  const protocol::Group before = site.inventory.groups["s-1"];
  site.Kill(before.members[2].host);
  BOOST_TEST(site.Settle() == 1U);
  const protocol::Group after = site.inventory.groups["s-1"];
  int kept = 0;
  for (const protocol::Member& member : after.members) {
    for (const protocol::Member& old : before.members) {
      kept += member.host == old.host ? 1 : 0;
    }
  }
  BOOST_TEST(kept == 3);
  BOOST_TEST(site.Whole() == 1);
}

BOOST_AUTO_TEST_CASE(second_loss_takes_survivors_of_the_worse_group) {
  Site site(2, 4);
  site.AddDomain("a", "r1", 8);
  site.Settle();
  site.Kill(site.inventory.groups["s-1"].members[0].host);
  site.Settle();
  BOOST_TEST(site.Whole() == 1);
  site.Kill(site.inventory.groups["s-2"].members[0].host);
  site.Settle();
  BOOST_TEST(site.Whole() == 1);
}

BOOST_AUTO_TEST_CASE(dark_domain_moves_to_another) {
  Site site(1, 4);
  site.AddDomain("a", "r1", 4);
  site.AddDomain("a", "r2", 4);
  site.Settle();
  const std::string dark = site.inventory.groups["s-1"].fabric_domain;
  for (auto& entry : site.inventory.hosts) {
    if (entry.second.fabric_domain == dark) {
      entry.second.is_usable = false;
    }
  }
  site.Settle();
  BOOST_TEST(site.Whole() == 1);
}

BOOST_AUTO_TEST_CASE(broken_group_without_spares_waits_for_its_host) {
  Site site(1, 4);
  site.AddDomain("a", "r1", 4);
  site.Settle();
  const std::string host = site.inventory.groups["s-1"].members[1].host;
  site.Kill(host);
  BOOST_TEST(site.Settle() == 0U);
  site.inventory.hosts[host].is_usable = true;
  site.inventory.hosts[host].incarnation = 2;
  BOOST_TEST(site.Settle() == 1U);
  BOOST_TEST(site.Whole() == 1);
}

BOOST_AUTO_TEST_CASE(removed_service_and_fewer_groups_are_dissolved) {
  Site site(3, 2);
  site.AddDomain("a", "r1", 6);
  site.Settle();
  site.inventory.services["s"].groups = 1;
  site.Settle();
  BOOST_TEST(site.inventory.groups.size() == 1U);
  site.inventory.services.clear();
  site.Settle();
  BOOST_TEST(site.inventory.groups.empty());
}

BOOST_AUTO_TEST_CASE(random_losses_never_share_a_host) {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937_64 random(seed);
      Site site(12, 4);
      for (const std::string place : {"a", "b"}) {
        for (const std::string domain : {"r1", "r2", "r3"}) {
          site.AddDomain(place, domain, 9);
        }
      }
      for (int step = 0; step < 100; ++step) {
        auto host = site.inventory.hosts.begin();
        std::advance(host, random() % site.inventory.hosts.size());
        host->second.is_usable = random() % 3 != 0;
        host->second.incarnation += random() % 2;
        site.Settle();
      }
      for (auto& entry : site.inventory.hosts) {
        entry.second.is_usable = true;
      }
      site.Settle();
      BOOST_TEST(site.Whole() == 12);
    }
  }
}
