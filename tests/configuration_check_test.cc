#define BOOST_TEST_MODULE configuration_check
#include "gooseberryturn/direct/configuration_check.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

using namespace gooseberryturn;          // NOLINT
using namespace gooseberryturn::direct;  // NOLINT

namespace {

constexpr char kSecretKey[] = "secret-key-1";

/// A configuration without findings.
Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.version = 2;
  Service service;
  service.name = "llm";
  service.cold_requests_per_s = 4;
  service.engine = EngineProfile();
  service.engine->slots = 48;
  service.engine->loads_per_s = 1;
  ModelProfile large;
  large.name = "large";
  large.size = 16;
  large.share = 0.4;
  large.load_s = 16;
  ModelProfile small = large;
  small.name = "small";
  small.size = 4;
  service.engine->models = {large, small};
  service.scaling = ScalingLimits{4, 37, 8};
  configuration.services = {service};
  Route route;
  route.host = "shop.example";
  route.path_prefix = "/chat/";
  route.timeout_ms = 2000;
  route.objective_ms = 500;
  route.services = {{"llm", 1}};
  configuration.routes = {route};
  configuration.has_teams = true;
  Team team;
  team.name = "team-a";
  team.keys = {kSecretKey};
  configuration.teams = {team};
  return configuration;
}

bool HasFinding(const Configuration& configuration, FindingSeverity severity,
                FindingKind kind, const std::string& subject) {
  const std::vector<Finding> findings = CheckConfiguration(configuration);
  return std::any_of(findings.begin(), findings.end(),
                     [severity, kind, &subject](const Finding& finding) {
                       return finding.severity == severity &&
                              finding.kind == kind &&
                              finding.subject == subject;
                     });
}

bool HasError(const Configuration& configuration, FindingKind kind,
              const std::string& subject) {
  return HasFinding(configuration, FindingSeverity::kError, kind, subject);
}

bool HasHint(const Configuration& configuration, FindingKind kind,
             const std::string& subject) {
  return HasFinding(configuration, FindingSeverity::kHint, kind, subject);
}

/// The only change, as text.
std::string OnlyChange(const Configuration& before,
                       const Configuration& after) {
  const std::vector<ConfigurationChange> changes =
      CompareConfigurations(before, after);
  BOOST_REQUIRE(changes.size() == 1U);
  const ConfigurationChange& change = changes.front();
  return std::string(kChangeKindNames.Name(change.kind)) + "|" +
         change.subject + "|" + change.field + "|" + change.before + "|" +
         change.after;
}

}  // namespace

// ------------------------------------------------------------------ findings

// Guards against findings that operators learn to ignore.
BOOST_AUTO_TEST_CASE(a_sound_configuration_has_no_findings) {
  BOOST_TEST(CheckConfiguration(MakeConfiguration()).empty());
}

BOOST_AUTO_TEST_CASE(what_the_control_hosts_refuse_is_an_error) {
  Configuration configuration = MakeConfiguration();
  configuration.routes[0].services = {{"other", 1}};
  BOOST_TEST(HasError(configuration, FindingKind::kInvalid, "configuration"));
}

BOOST_AUTO_TEST_CASE(errors_come_before_hints) {
  Configuration configuration = MakeConfiguration();
  configuration.routes[0].path_prefix = "/chat";
  configuration.limits.max_header_bytes = 0;
  const std::vector<Finding> findings = CheckConfiguration(configuration);
  BOOST_REQUIRE(findings.size() == 2U);
  BOOST_TEST((findings[0].severity == FindingSeverity::kError));
  BOOST_TEST((findings[1].severity == FindingSeverity::kHint));
}

BOOST_AUTO_TEST_CASE(a_route_with_the_location_of_another_is_hidden) {
  Configuration configuration = MakeConfiguration();
  configuration.routes.push_back(configuration.routes[0]);
  BOOST_TEST(HasError(configuration, FindingKind::kHiddenRoute,
                      "route shop.example/chat/"));
  configuration.routes[1].host = "other.example";
  BOOST_TEST(CheckConfiguration(configuration).empty());
}

BOOST_AUTO_TEST_CASE(prefixes_that_match_nothing_or_too_much_are_found) {
  Configuration configuration = MakeConfiguration();
  std::string& prefix = configuration.routes[0].path_prefix;
  prefix = "chat/";
  BOOST_TEST(
      HasError(configuration, FindingKind::kPrefix, "route shop.examplechat/"));
  prefix = "/chat?a/";
  BOOST_TEST(HasError(configuration, FindingKind::kPrefix,
                      "route shop.example/chat?a/"));
  prefix = "/chat";
  BOOST_TEST(
      HasHint(configuration, FindingKind::kPrefix, "route shop.example/chat"));
  prefix = "";
  BOOST_TEST(
      HasHint(configuration, FindingKind::kPrefix, "route shop.example"));
  prefix = "/";
  BOOST_TEST(CheckConfiguration(configuration).empty());
}

BOOST_AUTO_TEST_CASE(services_that_get_no_requests_are_found) {
  Configuration configuration = MakeConfiguration();
  Service other;
  other.name = "other";
  other.cold_requests_per_s = 1;
  configuration.services.push_back(other);
  BOOST_TEST(
      HasHint(configuration, FindingKind::kUnusedService, "service other"));
  Route& route = configuration.routes[0];
  route.services.push_back({"other", 0});
  BOOST_TEST(HasHint(configuration, FindingKind::kNoShare,
                     "route shop.example/chat/"));
  route.services[1].weight = 1;
  BOOST_TEST(CheckConfiguration(configuration).empty());
  route.services.push_back({"other", 1});
  BOOST_TEST(HasHint(configuration, FindingKind::kNoShare,
                     "route shop.example/chat/"));
}

BOOST_AUTO_TEST_CASE(teams_without_keys_are_found) {
  Configuration configuration = MakeConfiguration();
  configuration.teams.push_back({"team-b", {}, std::nullopt});
  BOOST_TEST(HasHint(configuration, FindingKind::kNoKeys, "team team-b"));
  configuration.teams[0].keys.clear();
  BOOST_TEST(HasError(configuration, FindingKind::kNoKeys, "teams"));
  configuration.routes[0].is_public = true;
  BOOST_TEST(!HasError(configuration, FindingKind::kNoKeys, "teams"));
  configuration.teams[1].keys = {""};
  BOOST_TEST(HasHint(configuration, FindingKind::kNoKeys, "team team-b"));
}

BOOST_AUTO_TEST_CASE(an_objective_outside_the_timeout_is_found) {
  Configuration configuration = MakeConfiguration();
  Route& route = configuration.routes[0];
  route.objective_ms = 2001;
  BOOST_TEST(HasHint(configuration, FindingKind::kObjective,
                     "route shop.example/chat/"));
  route.objective_ms = 0;
  BOOST_TEST(HasHint(configuration, FindingKind::kObjective,
                     "route shop.example/chat/"));
  route.objective_ms = 2000;
  BOOST_TEST(CheckConfiguration(configuration).empty());
}

BOOST_AUTO_TEST_CASE(models_that_form_no_group_are_found) {
  Configuration configuration = MakeConfiguration();
  EngineProfile& engine = *configuration.services[0].engine;
  engine.models[0].size = 0;
  BOOST_TEST(HasError(configuration, FindingKind::kModel, "model llm/large"));
  engine.models[0].size = 2000;
  BOOST_TEST(HasHint(configuration, FindingKind::kModel, "model llm/large"));
  engine.models[0].size = 16;
  engine.models[0].share = 0;
  BOOST_TEST(HasHint(configuration, FindingKind::kModel, "model llm/large"));
  engine.models[0].share = 1;
  engine.models[0].warm_s = 17;
  BOOST_TEST(HasHint(configuration, FindingKind::kModel, "model llm/large"));
  engine.models[0].warm_s = 1;
  engine.models[1].name = "large";
  BOOST_TEST(HasError(configuration, FindingKind::kModel, "model llm/large"));
  engine.slots = 0;
  BOOST_TEST(HasError(configuration, FindingKind::kEngine, "service llm"));
  engine.slots = 1;
  engine.loads_per_s = 0;
  BOOST_TEST(HasError(configuration, FindingKind::kEngine, "service llm"));
  engine.models.clear();
  BOOST_TEST(HasError(configuration, FindingKind::kEngine, "service llm"));
}

BOOST_AUTO_TEST_CASE(contradicting_scaling_limits_are_found) {
  Configuration configuration = MakeConfiguration();
  ScalingLimits& limits = *configuration.services[0].scaling;
  limits = {38, 37, 8};
  BOOST_TEST(
      HasError(configuration, FindingKind::kScalingLimits, "service llm"));
  limits = {1, 3, 8};
  BOOST_TEST(
      HasError(configuration, FindingKind::kScalingLimits, "service llm"));
  limits = {1, 15, 8};
  BOOST_TEST(
      HasHint(configuration, FindingKind::kScalingLimits, "model llm/large"));
  limits = {0, 0, 8};
  BOOST_TEST(
      HasHint(configuration, FindingKind::kScalingLimits, "service llm"));
  limits = {16, 16, 8};
  BOOST_TEST(CheckConfiguration(configuration).empty());
}

BOOST_AUTO_TEST_CASE(limits_that_let_nothing_through_are_found) {
  Configuration configuration = MakeConfiguration();
  configuration.services[0].cold_requests_per_s = 0;
  BOOST_TEST(HasHint(configuration, FindingKind::kColdRate, "service llm"));
  configuration = MakeConfiguration();
  configuration.limits.max_header_bytes = 0;
  BOOST_TEST(HasError(configuration, FindingKind::kCallerLimits, "limits"));
  configuration = MakeConfiguration();
  configuration.limits.max_body_bytes = 0;
  BOOST_TEST(HasHint(configuration, FindingKind::kCallerLimits, "limits"));
  configuration = MakeConfiguration();
  configuration.limits.header_timeout_ms = 0;
  BOOST_TEST(HasHint(configuration, FindingKind::kCallerLimits, "limits"));
  configuration = MakeConfiguration();
  configuration.limits.idle_timeout_ms = 0;
  BOOST_TEST(HasHint(configuration, FindingKind::kCallerLimits, "limits"));
}

// Guards against a change that is acknowledged and has no effect.
BOOST_AUTO_TEST_CASE(a_version_that_is_not_greater_is_an_error) {
  const Configuration in_force = MakeConfiguration();
  Configuration next = in_force;
  BOOST_REQUIRE(CheckConfiguration(next, in_force).size() == 1U);
  BOOST_TEST((CheckConfiguration(next, in_force).front().kind ==
              FindingKind::kVersionNotGreater));
  next.version += 1;
  BOOST_TEST(CheckConfiguration(next, in_force).empty());
}

// ------------------------------------------------------------------- changes

BOOST_AUTO_TEST_CASE(the_same_configuration_has_no_changes) {
  BOOST_TEST(
      CompareConfigurations(MakeConfiguration(), MakeConfiguration()).empty());
}

BOOST_AUTO_TEST_CASE(changed_values_are_told_with_the_old_ones) {
  const Configuration before = MakeConfiguration();
  Configuration after = before;
  after.routes[0].timeout_ms = 3000;
  BOOST_TEST(OnlyChange(before, after) ==
             "changed|route shop.example/chat/|timeout_ms|2000|3000");
  after = before;
  after.services[0].scaling->max_targets = 40;
  BOOST_TEST(OnlyChange(before, after) ==
             "changed|service llm|max_targets|37|40");
  after = before;
  after.services[0].engine->models[1].share = 0.40000001;
  BOOST_TEST(OnlyChange(before, after) ==
             "changed|model llm/small|share|0.4|0.40000001");
  after = before;
  after.limits.max_body_bytes = 1;
  BOOST_TEST(OnlyChange(before, after) ==
             "changed|limits|max_body_bytes|4194304|1");
  after = before;
  after.routes[0].services[0].weight = 2;
  BOOST_TEST(OnlyChange(before, after) ==
             "changed|route shop.example/chat/|services|llm 1|llm 2");
}

BOOST_AUTO_TEST_CASE(added_and_removed_entries_are_told) {
  const Configuration before = MakeConfiguration();
  Configuration after = before;
  after.routes[0].host = "other.example";
  const std::vector<ConfigurationChange> moved =
      CompareConfigurations(before, after);
  BOOST_REQUIRE(moved.size() == 2U);
  BOOST_TEST((moved[0].kind == ChangeKind::kAdded));
  BOOST_TEST((moved[1].kind == ChangeKind::kRemoved));
  after = before;
  after.services[0].engine->models.pop_back();
  BOOST_TEST(OnlyChange(before, after) == "removed|model llm/small|||");
  after = before;
  after.services[0].scaling.reset();
  const std::vector<ConfigurationChange> unscaled =
      CompareConfigurations(before, after);
  BOOST_REQUIRE(unscaled.size() == 3U);
  BOOST_TEST((unscaled[0].kind == ChangeKind::kRemoved));
  BOOST_TEST(unscaled[0].field == "max_targets");
  after = before;
  after.has_teams = false;
  BOOST_TEST(OnlyChange(before, after) == "changed|teams|required|true|false");
}

// Guards against keys on an operator's screen or in a log of a build.
BOOST_AUTO_TEST_CASE(keys_are_counted_and_never_told) {
  const Configuration before = MakeConfiguration();
  Configuration after = before;
  after.teams[0].keys = {"secret-key-2", "secret-key-3"};
  BOOST_TEST(OnlyChange(before, after) ==
             "changed|team team-a|keys|1|2 (2 added, 1 removed)");
  after.teams.push_back({"team-b", {"secret-key-2"}, 3});
  for (const Finding& finding : CheckConfiguration(after, before)) {
    BOOST_TEST(finding.subject.find("secret") == std::string::npos);
    BOOST_TEST(finding.message.find("secret") == std::string::npos);
  }
  for (const ConfigurationChange& change :
       CompareConfigurations(before, after)) {
    BOOST_TEST(change.before.find("secret") == std::string::npos);
    BOOST_TEST(change.after.find("secret") == std::string::npos);
  }
}
