#define BOOST_TEST_MODULE configuration_text
#include "gooseberryturn/direct/configuration_text.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "gooseberryturn/core/compression.h"
#include "gooseberryturn/core/id.h"
#include "gooseberryturn/direct/fleet_state.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/protocol/codec.h"

using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

constexpr std::size_t kMaxBytes = 1U << 20U;
/// A link of 40 Mbit/s carries this much in 2 ms.
constexpr std::size_t kMaxPatchBytes = 10'000;

/// A document with `routes` routes of about 300 bytes, each with names of its
/// own.
std::string MakeText(std::size_t routes, const std::string& last) {
  std::string text = "{\"routes\": [";
  for (std::size_t number = 0; number < routes; ++number) {
    const std::string name = Digest(std::to_string(number));
    text += "{\"name\": \"r-" + name + "\", \"host\": \"" + name.substr(0, 8) +
            ".example\", \"path\": \"/" + name +
            "/\", \"kind\": \"safe\", \"timeout_ms\": 8000, \"attempts\": 2, "
            "\"services\": [{\"service\": \"menu\", \"weight\": 1.0}], "
            "\"objective_ms\": 300, \"priority\": 1, \"public\": false},\n";
  }
  return text + "\"" + last + "\"]}";
}

}  // namespace

BOOST_AUTO_TEST_CASE(compression_is_reversed) {
  const std::string text = MakeText(100, "a");
  const std::string frame = Compress(text);
  BOOST_TEST(IsCompressed(frame));
  BOOST_TEST(!IsCompressed(text));
  BOOST_TEST(!IsCompressed(""));
  BOOST_TEST(frame.size() < text.size() / 3);
  BOOST_TEST((Decompress(frame, kMaxBytes).value() == text));
  BOOST_TEST(Decompress(Compress(""), kMaxBytes).value().empty());
}

BOOST_AUTO_TEST_CASE(damaged_frames_are_refused) {
  const std::string text = MakeText(100, "a");
  const std::string frame = Compress(text);
  BOOST_TEST(!Decompress("", kMaxBytes).has_value());
  BOOST_TEST(!Decompress(text, kMaxBytes).has_value());
  BOOST_TEST(!Decompress(frame, text.size() - 1).has_value());
  for (std::size_t size = 0; size < frame.size(); size += 7) {
    BOOST_TEST(!Decompress(frame.substr(0, size), kMaxBytes).has_value());
  }
}

// Many routes that change in quick succession: each change was sent as a whole
// document of half a megabyte to each follower.
BOOST_AUTO_TEST_CASE(a_small_change_of_a_large_configuration_is_a_small_patch) {
  ConfigurationHistory history;
  ConfigurationText held;
  for (std::uint64_t version = 1; version <= 240; ++version) {
    const std::string text = MakeText(1700, std::to_string(version));
    history.Record(version, text);
    const ConfigurationPatch& patch = history.PatchFrom(held.version);
    BOOST_TEST(patch.base_version == held.version);
    if (held.version > 0) {
      BOOST_REQUIRE(patch.frame.size() < kMaxPatchBytes);
    }
    Result<ConfigurationText> next = ApplyPatch(patch, held);
    BOOST_REQUIRE(next.has_value());
    BOOST_REQUIRE(next->text == text);
    held = *next;
  }
  BOOST_TEST(held.version == 240U);
}

BOOST_AUTO_TEST_CASE(a_follower_too_far_behind_gets_the_whole) {
  ConfigurationHistory history;
  for (std::uint64_t version = 1;
       version <= ConfigurationHistory::kMaxVersions + 1; ++version) {
    history.Record(version, MakeText(10, std::to_string(version)));
  }
  BOOST_TEST(history.PatchFrom(1).base_version == 0U);
  BOOST_TEST(history.PatchFrom(2).base_version == 2U);
  BOOST_TEST(history.PatchFrom(99).base_version == 0U);
  const Result<ConfigurationText> whole =
      ApplyPatch(history.PatchFrom(1), {1, MakeText(10, "1")});
  BOOST_REQUIRE(whole.has_value());
  BOOST_TEST(whole->version == ConfigurationHistory::kMaxVersions + 1);
}

BOOST_AUTO_TEST_CASE(the_history_is_bounded_in_bytes) {
  ConfigurationHistory history;
  for (std::uint64_t version = 1; version <= 4; ++version) {
    history.Record(version, std::string(ConfigurationHistory::kMaxBytes / 2,
                                        static_cast<char>('a' + version)));
  }
  BOOST_TEST(history.PatchFrom(2).base_version == 0U);
  BOOST_TEST(history.PatchFrom(3).base_version == 3U);
  history.Record(5, std::string(2 * ConfigurationHistory::kMaxBytes, 'x'));
  BOOST_TEST(history.PatchFrom(4).base_version == 0U);
  BOOST_TEST(history.PatchFrom(4).version == 5U);
}

BOOST_AUTO_TEST_CASE(an_older_version_is_not_recorded) {
  ConfigurationHistory history;
  history.Record(0, "");
  BOOST_TEST(history.PatchFrom(0).version == 0U);
  history.Record(5, "five");
  history.Record(4, "four");
  history.Record(5, "other");
  const Result<ConfigurationText> newest = ApplyPatch(history.PatchFrom(0), {});
  BOOST_REQUIRE(newest.has_value());
  BOOST_TEST(newest->text == "five");
}

BOOST_AUTO_TEST_CASE(a_patch_that_does_not_fit_is_refused) {
  ConfigurationHistory history;
  const std::string before = MakeText(100, "before");
  history.Record(1, before);
  history.Record(2, MakeText(100, "after"));
  const ConfigurationPatch& patch = history.PatchFrom(1);
  BOOST_TEST(ApplyPatch(patch, {1, before}).has_value());
  BOOST_TEST(!ApplyPatch(patch, {}).has_value());
  BOOST_TEST(!ApplyPatch(patch, {3, before}).has_value());
  BOOST_TEST(
      !ApplyPatch(patch, {1, MakeText(100, "other content")}).has_value());
  ConfigurationPatch damaged = patch;
  damaged.frame.resize(damaged.frame.size() / 2);
  BOOST_TEST(!ApplyPatch(damaged, {1, before}).has_value());
  ConfigurationPatch forged = patch;
  forged.digest = Digest("other");
  const Result<ConfigurationText> refused = ApplyPatch(forged, {1, before});
  BOOST_REQUIRE(!refused.has_value());
  BOOST_TEST(refused.error().message ==
             "configuration 2: the digest does not fit");
}

BOOST_AUTO_TEST_CASE(the_log_holds_compressed_and_plain_configurations) {
  FleetState state;
  const auto put = [&state](consensus::Index index, std::uint64_t version,
                            const std::string& text) {
    FleetCommand command;
    command.version = version;
    command.text = text;
    state.Apply(
        {1, index, consensus::EntryKind::kCommand, protocol::Encode(command)});
  };
  put(1, 1, "{\"plain\": 1}");
  BOOST_TEST(state.text() == "{\"plain\": 1}");
  const std::string text = MakeText(1700, "a");
  put(2, 2, Compress(text));
  BOOST_TEST((state.text() == text));
  const std::string snapshot = state.Save();
  BOOST_TEST(snapshot.size() < text.size() / 3);
  FleetState copy;
  BOOST_TEST(copy.Load(snapshot));
  BOOST_TEST((copy.text() == text));
  BOOST_TEST(copy.version() == 2U);
  FleetState from_plain;
  BOOST_TEST(from_plain.Load(protocol::Encode(state)));
  BOOST_TEST((from_plain.text() == text));
  // A damaged command changes nothing.
  put(3, 3, Compress(text).substr(0, 100));
  BOOST_TEST(state.version() == 2U);
  BOOST_TEST(!copy.Load(snapshot.substr(0, snapshot.size() / 2)));
}

BOOST_AUTO_TEST_CASE(an_entry_knows_that_it_is_behind) {
  FleetView view;
  FleetUpdate update;
  update.config_version = 4;
  view.Apply(update, nullptr);
  BOOST_TEST(view.IsBehind());
  view.Apply(update, std::make_shared<const RouteTable>(Configuration()));
  BOOST_TEST(!view.IsBehind());
  update.config_version = 3;
  view.Apply(update, nullptr);
  BOOST_TEST(!view.IsBehind());
}
