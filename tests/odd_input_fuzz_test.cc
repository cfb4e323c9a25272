#define BOOST_TEST_MODULE odd_input_fuzz
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include "../platform/settings.h"
#include "../platform/wire.h"
#include "direct_fixtures.h"
#include "gooseberryturn/core/compression.h"
#include "gooseberryturn/direct/fleet_state.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/registry.h"
#include "gooseberryturn/protocol/codec.h"
#include "gooseberryturn/protocol/frame.h"

/// Changed input for all readers, beside a sound target that must stay as it
/// is. For longer runs: GOOSEBERRYTURN_SEED and GOOSEBERRYTURN_ROUNDS.
using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

constexpr std::uint64_t kSeed = 20'261'205;
constexpr std::uint64_t kRounds = 20'000;
constexpr std::int64_t kNowUnixMs = 1'800'000'000'000;
constexpr std::size_t kMaxDepth = 20'000;
constexpr std::size_t kMaxTextBytes = 1U << 20U;

const std::string kConfiguration =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example",)"
    R"("path_prefix":"/p/","kind":"streaming","timeout_ms":8000,"slo_ms":400,)"
    R"("priority":1,"split":[{"service":"s1","weight":9}],"attempts":2}],)"
    R"("services":[{"name":"s1","max_conns":306,"engine":{"slots":34,)"
    R"("stride":5,"models":[{"name":"m","size":4,"share":0.5,"load_s":16.0}],)"
    R"("usual":{"answer":135}}}],"limits":{"max_header_bytes":1000,)"
    R"("idle_timeout_ms":4000},"tenants":[{"name":"t","api_keys":["k1"]}]})";
const std::string kAnnouncement =
    R"({"service":"engines","address":"10.0.0.9:80","zone":"za","slots":34,)"
    R"("state":"ready","cold_left_ms":250,"seq":4,"born":1700000000000,)"
    R"("domain":"d","staged":["m"],"models":[{"name":"m"}],"group":{"name":)"
    R"("g1","epoch":12,"rank":1,"state":"ready"}})";
const std::string kSettings =
    "node_name=front-1\nzone=za\nip=10.1.0.40\nlisten.front=10.1.0.40:80\n"
    "port_range=7340,7355\nseeds=10.1.0.40:82,10.2.0.29:82\nbootstrap=true\n"
    "heartbeat_ms=300\nbounds.grace_s=8\n";

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// Changes texts and messages at random places.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : random(seed) {}

  [[nodiscard]] std::string Change(std::string text) {
    const std::uint64_t changes = 1 + this->random() % 4;
    for (std::uint64_t change = 0; change < changes; ++change) {
      this->ChangeOnce(text);
    }
    return text;
  }

 private:
  [[nodiscard]] std::string AnyFragment() {
    static const std::vector<std::string> fragments = {"1e300",
                                                       "-1e300",
                                                       "18446744073709551615",
                                                       "-1",
                                                       "0",
                                                       "null",
                                                       "true",
                                                       "\"\"",
                                                       "{}",
                                                       "[]",
                                                       "\"x\":",
                                                       ":65536",
                                                       "\n",
                                                       "\xff\xff\xff",
                                                       "\xdd\xff\xff\xff\xff",
                                                       "\xc0",
                                                       "\xcf\xff\xff\xff",
                                                       "\x28\xb5\x2f\xfd",
                                                       "\xcb\x7f\xf8\x00",
                                                       "nan",
                                                       std::string(300, 'x')};
    const std::uint64_t kind = this->random() % 8;
    if (kind == 0) {
      return std::string(this->random() % kMaxDepth, '[');
    }
    if (kind == 1) {
      return std::string(this->random() % kMaxDepth, '\x91');
    }
    return fragments[this->random() % fragments.size()];
  }

  void ChangeOnce(std::string& text) {
    const std::size_t at = this->random() % (text.size() + 1);
    const std::size_t size = this->random() % 12;
    switch (this->random() % 6) {
      case 0:
        text.resize(at);
        break;
      case 1:
        text.insert(at, this->AnyFragment());
        break;
      case 2:
        text.replace(at, size, this->AnyFragment());
        break;
      case 3:
        text.erase(at, size);
        break;
      case 4:
        // Also repeats keys.
        text.insert(at, text.substr(this->random() % (text.size() + 1), 40));
        break;
      default:
        if (at < text.size()) {
          text[at] = static_cast<char>(this->random());
        }
        break;
    }
  }

  std::mt19937_64 random;
};

TargetView MakeTarget(const std::string& name) {
  TargetView target;
  target.name = name;
  target.address = {"10.0.0.1", 80};
  target.service = "engines";
  target.engine.membership = Membership{"g", 1, 0, MemberState::kOpen};
  return target;
}

GroupView MakeGroup(const std::string& name, const std::string& head) {
  GroupView group;
  group.name = name;
  group.service = "engines";
  group.model = "small";
  group.members = {head};
  group.phase = GroupPhase::kOpen;
  return group;
}

consensus::Entry MakeEntry(const FleetDelta& delta) {
  FleetCommand command;
  command.kind = FleetCommandKind::kFleetDelta;
  command.delta = delta;
  consensus::Entry entry;
  entry.kind = consensus::EntryKind::kCommand;
  entry.data = protocol::Encode(command);
  return entry;
}

FleetDelta MakeDelta(const std::string& name) {
  FleetDelta delta;
  delta.targets = {MakeTarget(name)};
  delta.groups = {MakeGroup("g-" + name, name)};
  return delta;
}

bool HoldsSound(const FleetState& state) {
  const auto target = state.targets().find("sound");
  const auto group = state.groups().find("g-sound");
  return target != state.targets().end() && group != state.groups().end() &&
         target->second.address.port == 80 &&
         group->second.phase == GroupPhase::kOpen;
}

}  // namespace

BOOST_AUTO_TEST_CASE(odd_texts_leave_the_sound_target_as_it_is) {
  Mutator mutator(FromEnvironment("GOOSEBERRYTURN_SEED", kSeed));
  const std::uint64_t rounds =
      FromEnvironment("GOOSEBERRYTURN_ROUNDS", kRounds);
  const Dialect dialect = platform::MakeDialect();
  Registry registry;
  for (std::uint64_t round = 1; round <= rounds; ++round) {
    const TimePoint now = At(static_cast<std::int64_t>(round));
    (void)registry.HandleAnnouncement(
        MakeAnnouncement("sound", "10.0.0.1", 17, round), now, kNowUnixMs);
    const Result<Announcement> odd = dialect.read_announcement(
        "odd-" + std::to_string(round % 5), mutator.Change(kAnnouncement));
    if (odd.has_value()) {
      (void)registry.HandleAnnouncement(*odd, now, kNowUnixMs);
    }
    (void)registry.Expire(now);
    (void)registry.AssignColdEntries({"e1", "e2"});
    const TargetRecord* sound = registry.Find("sound");
    BOOST_REQUIRE(sound != nullptr);
    BOOST_REQUIRE(sound->sequence == round);
    BOOST_REQUIRE(!sound->view.is_leaving);

    (void)dialect.read_report(mutator.Change(kAnnouncement));
    const Result<Configuration> configuration =
        dialect.read_configuration(mutator.Change(kConfiguration));
    if (configuration.has_value()) {
      (void)Validate(*configuration);
    }
    (void)platform::ReadSettings(mutator.Change(kSettings));
  }
}

BOOST_AUTO_TEST_CASE(
    odd_messages_and_records_leave_the_sound_ones_as_they_are) {
  Mutator mutator(FromEnvironment("GOOSEBERRYTURN_SEED", kSeed));
  const std::uint64_t rounds =
      FromEnvironment("GOOSEBERRYTURN_ROUNDS", kRounds);
  FleetState state;
  state.Apply(MakeEntry(MakeDelta("sound")));
  const std::string saved = state.Save();
  FleetView view = MakeView({"sound"});
  FleetUpdate odd_update;
  odd_update.targets = {MakeTarget("odd")};
  odd_update.groups = {MakeGroup("g-odd", "odd")};
  const std::string encoded_update = protocol::Encode(odd_update);
  const std::string frame =
      protocol::EncodeFrame(protocol::FrameType::kMessage, encoded_update);
  const consensus::Entry encoded_entry = MakeEntry(MakeDelta("odd"));
  for (std::uint64_t round = 0; round < rounds; ++round) {
    consensus::Entry entry = encoded_entry;
    entry.data = mutator.Change(entry.data);
    state.Apply(entry);
    BOOST_REQUIRE(HoldsSound(state));

    FleetState loaded;
    (void)loaded.Load(mutator.Change(saved));
    (void)Decompress(mutator.Change(saved), kMaxTextBytes);

    const std::optional<FleetUpdate> update =
        protocol::Decode<FleetUpdate>(mutator.Change(encoded_update));
    if (update.has_value() && !update->is_full) {
      view.Apply(*update, nullptr);
    }
    (void)view.PlainTargets("engines");
    (void)view.IsBroken("sound");
    BOOST_REQUIRE(view.GroupOfHead("sound") != nullptr);

    protocol::FrameReader reader;
    (void)reader.Feed(mutator.Change(frame),
                      [](protocol::FrameType /*type*/, std::string_view bytes) {
                        (void)protocol::Decode<EntryReport>(bytes);
                        (void)protocol::Decode<FollowerHello>(bytes);
                        (void)protocol::Decode<ForwardedAnswer>(bytes);
                        (void)protocol::Decode<JoinRequest>(bytes);
                        (void)protocol::Decode<LeaveRequest>(bytes);
                        (void)protocol::Decode<LeaveAnswer>(bytes);
                      });
  }
}
