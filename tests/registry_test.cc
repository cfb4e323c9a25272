#define BOOST_TEST_MODULE registry
#include "gooseberryturn/control/registry.h"

#include <boost/test/unit_test.hpp>

#include "gooseberryturn/protocol/codec.h"

using namespace gooseberryturn;           // NOLINT
using namespace gooseberryturn::control;  // NOLINT

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow(std::chrono::hours(5));

protocol::Renew AgentRenewal(const std::string& host,
                             std::uint64_t known_index) {
  protocol::Renew renew;
  renew.role = protocol::Role::kAgent;
  renew.host = host;
  renew.incarnation = 1;
  renew.known_index = known_index;
  renew.report.service = "s";
  renew.report.target_ready = true;
  return renew;
}

void Assign(State& state, std::uint64_t index, const std::string& host,
            std::uint64_t replaces) {
  protocol::Group group;
  group.name = "g";
  group.members = {{host, 1, {}}};
  (void)state.Apply(
      index, protocol::Encode(
                 Command{CommandKind::kAssignGroup,
                         protocol::Encode(AssignGroup{group, replaces})}));
}

}  // namespace

BOOST_AUTO_TEST_CASE(new_leader_waits_until_old_leases_expire) {
  Registry registry(seconds(2));
  registry.StartLeading(kNow);
  BOOST_TEST(!registry.OldLeasesExpired(kNow + milliseconds(1999)));
  BOOST_TEST(registry.OldLeasesExpired(kNow + seconds(2)));
}

BOOST_AUTO_TEST_CASE(host_is_free_only_after_it_saw_its_release) {
  State state;
  Assign(state, 1, "h1", 0);
  Assign(state, 2, "h2", 1);
  Registry registry(seconds(2));
  registry.RecordRenewal(AgentRenewal("h1", 1), state.ReleaseIndex("h1"), kNow);
  const auto is_free = [&](TimePoint now) {
    return registry.BuildInventory(state, now).hosts.at("h1").is_free;
  };
  BOOST_TEST(!is_free(kNow));
  // Not even long after: it may still hold the old view.
  BOOST_TEST(!is_free(kNow + seconds(60)));
  BOOST_TEST(registry.TakeChange(kNow));
  BOOST_TEST(!registry.TakeChange(kNow));
  registry.RecordRenewal(AgentRenewal("h1", 2), state.ReleaseIndex("h1"), kNow);
  BOOST_TEST(is_free(kNow));
  BOOST_TEST(registry.TakeChange(kNow));
}

BOOST_AUTO_TEST_CASE(granting_an_old_renewal_keeps_the_newer_report) {
  Registry registry(seconds(2));
  registry.RecordRenewal(AgentRenewal("h1", 1), 0, kNow);
  registry.RecordRenewal(AgentRenewal("h1", 7), 0, kNow + milliseconds(100));
  registry.RecordGrant("h1", kNow + milliseconds(500));
  BOOST_TEST(registry.view_holders().at("h1").last_renewal.known_index == 7U);
  BOOST_TEST(registry.HostsBehind(7, kNow + seconds(1)).empty());
  BOOST_TEST(registry.HostsBehind(8, kNow + seconds(1)).size() == 1U);
  // Behind, but its lease has expired: the change is in force without it.
  BOOST_TEST(registry.HostsBehind(8, kNow + milliseconds(2499)).size() == 1U);
  BOOST_TEST(registry.HostsBehind(8, kNow + milliseconds(2500)).empty());
}

BOOST_AUTO_TEST_CASE(lost_and_changed_hosts_trigger_a_plan) {
  Registry registry(seconds(2));
  registry.RecordRenewal(AgentRenewal("h1", 1), 0, kNow);
  (void)registry.TakeChange(kNow);
  BOOST_TEST(!registry.TakeChange(kNow + seconds(1)));
  BOOST_TEST(registry.TakeChange(kNow + seconds(2)));
  protocol::Renew restarted = AgentRenewal("h1", 1);
  restarted.incarnation = 2;
  registry.RecordRenewal(restarted, 0, kNow + seconds(3));
  BOOST_TEST(registry.TakeChange(kNow + seconds(3)));
  State state;
  BOOST_TEST(registry.BuildInventory(state, kNow + seconds(3))
                 .hosts.at("h1")
                 .is_usable);
  BOOST_TEST(!registry.BuildInventory(state, kNow + seconds(5))
                  .hosts.at("h1")
                  .is_usable);
  BOOST_TEST(registry.LiveEntryCount(kNow) == 0);
}

BOOST_AUTO_TEST_CASE(one_host_returns_while_another_is_lost) {
  Registry registry(seconds(2));
  registry.RecordRenewal(AgentRenewal("returns", 1), 0, kNow);
  registry.RecordRenewal(AgentRenewal("lost", 1), 0, kNow + seconds(1));
  BOOST_TEST(registry.TakeChange(kNow + milliseconds(2500)));
  BOOST_TEST(!registry.TakeChange(kNow + milliseconds(2600)));
  // One live host before, one live host after, but not the same.
  registry.RecordRenewal(AgentRenewal("returns", 1), 0,
                         kNow + milliseconds(3500));
  BOOST_TEST(registry.TakeChange(kNow + milliseconds(3500)));
}
