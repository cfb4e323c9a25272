#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <filesystem>
#include <regex>

#include "gooseberryturn/config/document.h"
#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/core/reason.h"

using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::config;  // NOLINT

namespace {

std::string JoinFaults(const Faults& faults) {
  std::string text;
  for (const Fault& fault : faults) {
    text += ToString(fault, "f") + "\n";
  }
  return text;
}

std::string FaultsOf(const std::string& text) {
  const tl::expected<Document, Faults> document = ParseDocument(text);
  return document.has_value() ? "" : JoinFaults(document.error());
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::string WithService(const std::string& service) {
  return "{\"environment\":\"e\",\"data_centres\":[],\"teams\":[],"
         "\"services\":[" +
         service + "]}";
}

}  // namespace

// Each level of nesting slows the JSON parser down, so that a short text could
// block a process. Brackets in strings and comments are no nesting.
BOOST_AUTO_TEST_CASE(deep_nesting_is_rejected_in_linear_time) {
  const std::chrono::steady_clock::time_point begin =
      std::chrono::steady_clock::now();
  const std::string lists(200'000, '[');
  BOOST_TEST(Contains(FaultsOf("{\"environment\":\n" + lists),
                      "f:2: found nesting deeper than"));
  std::string objects;
  for (int level = 0; level < 100'000; ++level) {
    objects += "{\"a\":";
  }
  BOOST_TEST(Contains(FaultsOf(objects), "nesting deeper than"));
  // One second per million characters is far more than linear time takes.
  BOOST_TEST(
      (std::chrono::steady_clock::now() - begin < std::chrono::seconds(2)));
  const std::string brackets(200, '[');
  BOOST_TEST(!Contains(FaultsOf("{\"environment\": \"" + brackets + "\" // " +
                                brackets + "\n/* " + brackets + " */}"),
                       "nesting"));
}

BOOST_AUTO_TEST_CASE(examples_have_no_faults) {
  const std::filesystem::path folder = std::string(SOURCE_ROOT) + "/examples";
  int count = 0;
  for (const auto& file : std::filesystem::directory_iterator(folder)) {
    if (file.path().extension() == ".json") {
      ++count;
      const tl::expected<std::string, Faults> text =
          ReadFile(file.path().string());
      BOOST_TEST(FaultsOf(text.value()) == "");
    }
  }
  BOOST_TEST(count >= 3);
}

BOOST_AUTO_TEST_CASE(syntax_error_names_the_line) {
  BOOST_TEST(Contains(FaultsOf("{\n\"environment\": 1,\n,}"), "f:3: "));
  BOOST_TEST(Contains(FaultsOf("[1]"), "expected one JSON object"));
  BOOST_TEST(Contains(FaultsOf("{} tail"), "text after the end"));
  BOOST_TEST(!Contains(FaultsOf("// a\n{} // b\n/* c */"), "text after"));
}

BOOST_AUTO_TEST_CASE(every_fault_is_reported_with_its_path) {
  const std::string faults = FaultsOf(WithService(
      "{\"name\":\"m\",\"kind\":\"modell\",\"groups\":0,\"hosts_per_grup\":2,"
      "\"limits\":{\"memory_tokens\":\"x\",\"max_output_tokens\":5,"
      "\"in_flight\":1,\"cold_in_flight\":2,\"in_flight\":1},"
      "\"routes\":[{\"path\":\"a\",\"idempotent\":1,\"deadline_ms\":2}]}"));
  BOOST_TEST(Contains(faults, "services[0].kind: found \"modell\""));
  BOOST_TEST(
      Contains(faults, "services[0].groups: found 0, expected an integer"));
  BOOST_TEST(Contains(faults,
                      "services[0].hosts_per_grup: found an unknown key, "
                      "expected a known key, such as hosts_per_group"));
  BOOST_TEST(Contains(faults, "services[0].limits.memory_tokens: found \"x\""));
  BOOST_TEST(
      Contains(faults, "services[0].limits.in_flight: found the key a second"));
  BOOST_TEST(Contains(faults, "services[0].limits.cold_in_flight: found 2"));
  BOOST_TEST(Contains(faults, "services[0].routes[0].path: found \"a\""));
  BOOST_TEST(Contains(faults, "services[0].routes[0].idempotent: found 1"));
}

BOOST_AUTO_TEST_CASE(duplicate_names_and_paths_are_faults) {
  const std::string service =
      "{\"name\":\"m\",\"kind\":\"plain\",\"groups\":1,\"limits\":{"
      "\"in_flight\":1,\"cold_in_flight\":1},\"routes\":[{\"path\":\"/a\","
      "\"idempotent\":true,\"deadline_ms\":2}]}";
  const std::string faults = FaultsOf(WithService(service + "," + service));
  BOOST_TEST(Contains(faults, "services[1].name: found \"m\" a second time"));
  BOOST_TEST(
      Contains(faults, "services[1].routes[0].path: found \"/a\" a second"));
}

BOOST_AUTO_TEST_CASE(invalid_endpoints_are_faults) {
  const tl::expected<AgentSettings, Faults> settings = ParseAgentSettings(
      "{\"host\":\"h\",\"data_centre\":\"a\",\"http\":\"localhost:1\","
      "\"link\":\"127.0.0.1:0\",\"target\":\"127.0.0.1:9\",\"service\":\"s\","
      "\"target_kind\":\"model\",\"fabric_domain\":\"d\","
      "\"control\":[\"127.0.0.1\"]}");
  BOOST_REQUIRE(!settings.has_value());
  const std::string faults = JoinFaults(settings.error());
  BOOST_TEST(
      Contains(faults, "http: found \"localhost:1\", expected an IP number"));
  BOOST_TEST(Contains(faults, "link: found \"127.0.0.1:0\""));
  BOOST_TEST(Contains(faults, "control[0]: found \"127.0.0.1\""));
  BOOST_TEST(!Contains(faults, "target:"));
}

BOOST_AUTO_TEST_CASE(settings_page_names_every_key) {
  const tl::expected<std::string, Faults> page =
      ReadFile(std::string(SOURCE_ROOT) + "/docs/SETTINGS.md");
  const std::vector<std::string> sources = {"settings.cc", "document.cc"};
  for (const std::string& source : sources) {
    const tl::expected<std::string, Faults> code =
        ReadFile(std::string(SOURCE_ROOT) + "/src/config/" + source);
    const std::regex key(
        "(?:Integer|String|Boolean|Array|Object|ReadEnum|ReadEndpoints?)\\([^"
        "\"(]*"
        "\"([a-z_]+)\"");
    const std::sregex_iterator end;
    for (std::sregex_iterator it(code->begin(), code->end(), key); it != end;
         ++it) {
      const std::string name = (*it)[1];
      BOOST_TEST(Contains(*page, name), "docs/SETTINGS.md lacks " << name);
    }
  }
}

BOOST_AUTO_TEST_CASE(callers_page_names_every_reason) {
  const tl::expected<std::string, Faults> page =
      ReadFile(std::string(SOURCE_ROOT) + "/docs/CALLERS.md");
  for (const std::string_view name : kReasonNames.names) {
    const bool is_internal = name == "none";
    BOOST_TEST((is_internal || Contains(*page, "`" + std::string(name) + "`")),
               "docs/CALLERS.md lacks " << name);
  }
}
