#define BOOST_TEST_MODULE odd_input
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../platform/settings.h"
#include "../platform/wire.h"
#include "direct_fixtures.h"
#include "gooseberryturn/direct/fleet_state.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/direct/registry.h"
#include "gooseberryturn/protocol/codec.h"

using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

/// Input of other writers: readers refuse it, and what is sound holds.
namespace {

const std::string kConfiguration =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example",)"
    R"("path_prefix":"/p/","kind":"streaming","timeout_ms":8000,"slo_ms":400,)"
    R"("priority":1,"service":"s1","attempts":2}],"services":[{"name":"s1",)"
    R"("max_conns":306,"cold_per_s":26.0,"engine":{"slots":34,"stride":5,)"
    R"("loads_at_once":3,"models":[{"name":"m","size":4,"share":0.5,)"
    R"("load_s":16.0,"warm_s":1.6}]}}],"limits":{"max_header_bytes":1000,)"
    R"("max_body_bytes":2000,"header_timeout_ms":3000,"idle_timeout_ms":4000},)"
    R"("tenants":[{"name":"t","api_keys":["k1"],"priority":1}]})";

const std::string kAnnouncement =
    R"({"service":"s1","address":"10.0.0.9:80","zone":"za","slots":34,)"
    R"("state":"ready","cold_left_ms":250,"seq":4,"born":17,"domain":"d",)"
    R"("staged":["m"],"models":[{"name":"m"}],"group":{"name":"g1",)"
    R"("epoch":12,"rank":1,"state":"ready"}})";

/// `text` with the number at `key` replaced.
std::string WithNumber(std::string text, const std::string& key,
                       const std::string& number) {
  const std::size_t start = text.find("\"" + key + "\":") + key.size() + 3;
  const std::size_t end = text.find_first_of(",}", start);
  return text.replace(start, end - start, number);
}

bool IsConfiguration(const std::string& text) {
  return platform::MakeDialect().read_configuration(text).has_value();
}

bool IsAnnouncement(const std::string& text) {
  return platform::MakeDialect().read_announcement("i", text).has_value();
}

std::string WhyNoConfiguration(const std::string& text) {
  const Result<direct::Configuration> read =
      platform::MakeDialect().read_configuration(text);
  return read.has_value() ? "" : read.error().message;
}

}  // namespace

// A number out of range was cast: the result differs between processors.
BOOST_AUTO_TEST_CASE(a_number_out_of_range_is_refused_and_named) {
  for (const char* number : {"1e300", "-1e300", "-7", "1e19"}) {
    for (const char* key :
         {"timeout_ms", "slo_ms", "attempts", "max_conns", "slots", "stride",
          "loads_at_once", "size", "max_header_bytes", "max_body_bytes",
          "header_timeout_ms", "idle_timeout_ms", "load_s", "warm_s"}) {
      const std::string why =
          WhyNoConfiguration(WithNumber(kConfiguration, key, number));
      BOOST_TEST(why.find(key) != std::string::npos, key << " " << number);
    }
    for (const char* key : {"slots", "seq", "born"}) {
      BOOST_TEST(!IsAnnouncement(WithNumber(kAnnouncement, key, number)),
                 key << " " << number);
    }
  }
  // A cold time that is over is no fault.
  BOOST_TEST(IsAnnouncement(WithNumber(kAnnouncement, "cold_left_ms", "-7")));
  BOOST_TEST(
      !IsAnnouncement(WithNumber(kAnnouncement, "cold_left_ms", "1e300")));
  BOOST_TEST(!IsAnnouncement(
      WithNumber(kAnnouncement, "born", "18446744073709551615")));
  BOOST_TEST(
      !IsConfiguration(WithNumber(kConfiguration, "priority", "-1e300")));
}

// A group of no hosts could be formed again and again, without an end.
BOOST_AUTO_TEST_CASE(a_model_of_no_hosts_is_refused) {
  BOOST_TEST(!IsConfiguration(WithNumber(kConfiguration, "size", "0")));
  BOOST_TEST(!IsConfiguration(WithNumber(kConfiguration, "size", "0.5")));
}

BOOST_AUTO_TEST_CASE(a_whole_number_with_a_decimal_point_is_accepted) {
  const Result<direct::Configuration> read =
      platform::MakeDialect().read_configuration(
          WithNumber(kConfiguration, "timeout_ms", "8000.0"));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->routes[0].timeout_ms == 8000);
  BOOST_TEST(IsAnnouncement(WithNumber(kAnnouncement, "slots", "3.4e1")));
}

// One announcement of megabytes went into the log, the stored state and all
// updates.
BOOST_AUTO_TEST_CASE(names_of_an_announcement_are_bounded) {
  const std::string long_name(100'000, 'x');
  for (const char* key : {"service", "zone", "domain", "name"}) {
    std::string text = kAnnouncement;
    const std::size_t start = text.find("\"" + std::string(key) + "\":\"") +
                              std::string(key).size() + 4;
    BOOST_TEST(!IsAnnouncement(text.insert(start, long_name)), key);
  }
  std::string text = kAnnouncement;
  std::string names;
  for (int count = 0; count < 100'000; ++count) {
    names += "\"m\",";
  }
  BOOST_TEST(!IsAnnouncement(text.insert(text.find("[\"m\"]") + 1, names)));
  BOOST_TEST(!platform::MakeDialect()
                  .read_announcement(long_name, kAnnouncement)
                  .has_value());
}

// A port over 65535 was cut to its last 16 bits.
BOOST_AUTO_TEST_CASE(settings_out_of_range_are_refused_and_named) {
  const std::string settings =
      "node_name=front-1\nzone=za\nip=10.1.0.40\nport_range=7340,7355\n"
      "seeds=10.1.0.40:82\nbootstrap=true\n";
  BOOST_REQUIRE(platform::ReadSettings(settings).has_value());
  for (const char* key :
       {"tolerate.machines", "heartbeat_ms", "bounds.stall_ms",
        "bounds.grace_s", "bounds.retry_budget_ratio",
        "bounds.retry_budget_burst", "bounds.cold_factor"}) {
    for (const char* value : {"1e300", "-1", "nan", "inf"}) {
      const Result<direct::HostSettings> read = platform::ReadSettings(
          settings + std::string(key) + "=" + value + "\n");
      BOOST_REQUIRE(!read.has_value());
      BOOST_TEST(read.error().message.find(key) != std::string::npos);
    }
  }
  for (const char* ports :
       {"72876,72880", "7340,72880", "7340,-1", "x,7355", "7340,7355x"}) {
    BOOST_TEST(!platform::ReadSettings(settings + "port_range=" + ports + "\n")
                    .has_value(),
               ports);
  }
}

// ----------------------------------------------------------------- registry

namespace {

constexpr std::int64_t kNowUnixMs = 1'800'000'000'000;
constexpr std::int64_t kBornMs = kNowUnixMs - 60'000;
constexpr std::int64_t kHeartbeatMs = 300;

/// A registry that target i1 announces itself to, after one odd announcement.
class ContestedRegistry {
 public:
  explicit ContestedRegistry(const Announcement& odd) {
    this->Announce();
    (void)this->registry.HandleAnnouncement(odd, At(this->now_ms), kNowUnixMs);
  }
  /// Announces the target until it is in the registry as it says, or `limit_ms`
  /// is over.
  [[nodiscard]] bool IsSoundWithin(std::int64_t limit_ms) {
    const std::int64_t end_ms = this->now_ms + limit_ms;
    while (this->now_ms <= end_ms) {
      this->Announce();
      (void)this->registry.Expire(At(this->now_ms));
      const TargetRecord* record = this->registry.Find("i1");
      if (record != nullptr && record->sequence == this->sequence &&
          record->view.start_time_ms == kBornMs && !record->view.is_leaving) {
        return this->registry.targets().size() == 1;
      }
    }
    return false;
  }

  Registry registry;
  std::int64_t now_ms = 1000;

 private:
  void Announce() {
    this->now_ms += kHeartbeatMs;
    (void)this->registry.HandleAnnouncement(
        MakeAnnouncement("i1", "10.0.0.1", kBornMs, ++this->sequence),
        At(this->now_ms), kNowUnixMs);
  }

  std::uint64_t sequence = 0;
};

constexpr std::int64_t kTakeoverLimitMs = 6000;

}  // namespace

// The true announcements looked old until the record expired, after 30 s; that
// counted as the end of the target.
BOOST_AUTO_TEST_CASE(one_huge_sequence_does_not_outdate_the_true_ones) {
  Announcement odd = MakeAnnouncement("i1", "10.0.0.1", kBornMs, 1ULL << 63U);
  BOOST_TEST(ContestedRegistry(odd).IsSoundWithin(kTakeoverLimitMs));
  odd.is_leaving = true;
  BOOST_TEST(ContestedRegistry(odd).IsSoundWithin(kTakeoverLimitMs));
}

BOOST_AUTO_TEST_CASE(a_start_far_ahead_replaces_no_sound_target) {
  const std::int64_t odd_start_ms = kNowUnixMs * 100;
  BOOST_TEST(
      ContestedRegistry(MakeAnnouncement("i1", "10.0.0.1", odd_start_ms, 1))
          .IsSoundWithin(kHeartbeatMs));
  BOOST_TEST(
      ContestedRegistry(MakeAnnouncement("odd", "10.0.0.1", odd_start_ms, 1))
          .IsSoundWithin(kHeartbeatMs));
}

BOOST_AUTO_TEST_CASE(a_credible_start_yields_to_the_target_that_goes_on) {
  for (const char* id : {"i1", "odd"}) {
    BOOST_TEST(
        ContestedRegistry(MakeAnnouncement(id, "10.0.0.1", kNowUnixMs, 1))
            .IsSoundWithin(kTakeoverLimitMs),
        id);
  }
}

BOOST_AUTO_TEST_CASE(late_announcements_never_replace_a_run_that_goes_on) {
  Registry registry;
  for (std::uint64_t number = 1; number < 100; ++number) {
    const TimePoint now = At(static_cast<std::int64_t>(number) * kHeartbeatMs);
    (void)registry.HandleAnnouncement(
        MakeAnnouncement("i1", "10.0.0.1", kBornMs + 1, 1000 + number), now,
        kNowUnixMs);
    for (const std::int64_t born_ms : {kBornMs, kBornMs + 1}) {
      BOOST_TEST((registry.HandleAnnouncement(
                      MakeAnnouncement("i1", "10.0.0.1", born_ms, number), now,
                      kNowUnixMs) == AnnouncementResult::kStale));
    }
  }
  // All at once, after a partition: they are older than what was heard last.
  const TimePoint later = At(100 * kHeartbeatMs);
  for (std::uint64_t number = 100; number < 200; ++number) {
    BOOST_TEST((registry.HandleAnnouncement(
                    MakeAnnouncement("i1", "10.0.0.1", kBornMs, number), later,
                    kNowUnixMs) == AnnouncementResult::kStale));
  }
}

// A host whose own clock is far behind still takes targets in.
BOOST_AUTO_TEST_CASE(a_clock_far_behind_keeps_no_target_out) {
  Registry registry;
  BOOST_TEST((registry.HandleAnnouncement(
                  MakeAnnouncement("i1", "10.0.0.1", kBornMs, 1), At(0), 0) ==
              AnnouncementResult::kNew));
}

// ------------------------------------------------- peers and the stored state

namespace {

GroupView MakeGroup(const std::string& name,
                    const std::vector<std::string>& members) {
  GroupView group;
  group.name = name;
  group.service = "engines";
  group.model = "small";
  group.members = members;
  group.phase = GroupPhase::kOpen;
  return group;
}

consensus::Entry MakeEntry(const std::string& data) {
  consensus::Entry entry;
  entry.index = 1;
  entry.kind = consensus::EntryKind::kCommand;
  entry.data = data;
  return entry;
}

}  // namespace

// The first member of a group without any was read, at each restart again.
BOOST_AUTO_TEST_CASE(a_group_without_members_is_skipped_and_the_others_hold) {
  FleetCommand command;
  command.kind = FleetCommandKind::kFleetDelta;
  command.delta.groups = {MakeGroup("odd", {}), MakeGroup("g1", {"i1"})};
  command.delta.groups.push_back(MakeGroup("odd-2", {"i1"}));
  command.delta.groups.back().phase = static_cast<GroupPhase>(77);
  FleetState state;
  state.Apply(MakeEntry(protocol::Encode(command)));
  BOOST_TEST(state.groups().size() == 1U);
  BOOST_TEST(state.groups().count("g1") == 1U);
  FleetState restarted;
  BOOST_TEST(restarted.Load(state.Save()));
  BOOST_TEST(restarted.groups().size() == 1U);

  FleetView view = MakeView({"i1"});
  FleetUpdate update;
  update.groups = command.delta.groups;
  view.Apply(update, nullptr);
  BOOST_TEST(view.GroupOfHead("i1") != nullptr);
  BOOST_TEST(!view.IsBroken("other"));
}

// Such messages were refused before, but only after memory was reserved for
// what they state.
BOOST_AUTO_TEST_CASE(a_message_states_no_more_elements_than_it_has_bytes) {
  const std::string stated = "\xdd\x08\x00\x00\x00";
  const std::string nested(100'000, '\x91');
  BOOST_TEST(!protocol::Decode<FleetUpdate>(stated).has_value());
  BOOST_TEST(!protocol::Decode<std::vector<std::string>>(nested).has_value());
  const FleetUpdate update;
  BOOST_TEST(
      protocol::Decode<FleetUpdate>(protocol::Encode(update)).has_value());
}

// A stored configuration may be older than the check of its sizes: groups were
// formed without end.
BOOST_AUTO_TEST_CASE(no_group_is_formed_of_a_model_of_no_hosts) {
  Configuration configuration = MakeConfiguration();
  configuration.services[1].engine->models[0].size = 0;
  const std::set<std::string> evacuated;
  Registry registry;
  GroupPlanner planner;
  planner.StartLeading(1, {}, At(0));
  for (std::uint64_t number = 1; number < 100; ++number) {
    const TimePoint now = At(static_cast<std::int64_t>(number) * kHeartbeatMs);
    Announcement announcement =
        MakeAnnouncement("i1", "10.0.0.1", kBornMs, number);
    announcement.service = "engines";
    announcement.engine = EngineReport();
    (void)registry.HandleAnnouncement(announcement, now, kNowUnixMs);
    const PlanInput input = {registry,
                             configuration,
                             evacuated,
                             {},
                             false,
                             std::chrono::milliseconds(kHeartbeatMs),
                             std::chrono::seconds(5),
                             {}};
    (void)planner.Plan(input, now);
  }
  BOOST_TEST(planner.Groups().empty());
}

BOOST_AUTO_TEST_CASE(a_span_out_of_range_is_bounded) {
  const TimePoint now = At(1'000'000'000);
  BOOST_TEST((now + FromSeconds(1e300) > now));
  BOOST_TEST((now + FromSeconds(-1e300) < now));
  BOOST_TEST((FromSeconds(1.5) == std::chrono::milliseconds(1500)));
}
