#define BOOST_TEST_MODULE platform
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <random>
#include <string>

#include "../platform/settings.h"
#include "../platform/wire.h"

using namespace gooseberryturn;  // NOLINT

namespace {

const std::string kConfiguration =
    R"({"version":7,"routes":[{"name":"r1","host":"a.example",)"
    R"("path_prefix":"/p/","kind":"streaming","timeout_ms":8000,"slo_ms":400,)"
    R"("priority":1,"split":[{"service":"s1","weight":90},)"
    R"({"service":"s2","weight":10}],"attempts":2,"public":false,)"
    R"("resumable":true,"gap_slo_ms":300}],"services":[{"name":"s1",)"
    R"("max_conns":306,"cold_per_s":26.0,"engine":{"slots":34,"stride":5,)"
    R"("models":[{"name":"m","size":4,"share":0.5,"load_s":16.0,)"
    R"("warm_s":1.6}],"usual":{"prompt":919,"answer":135}}},{"name":"s2"}],)"
    R"("limits":{"max_header_bytes":1000},"tenants":[{"name":"t",)"
    R"("api_keys":["k1","k2"],"priority":1}]})";

const std::string kSettings =
    "node_name=front-1\nzone=za\nip=10.1.0.40\nlisten.front=10.1.0.40:80\n"
    "listen.ready=10.1.0.40:81\nport_range=7340,7355\n"
    "seeds=10.1.0.40:82,10.2.0.29:82\nbootstrap=true\nfuture.key=1\n"
    "bounds.grace_s=8\n";

const std::string kHeartbeat =
    R"({"service":"s1","address":"10.0.0.9:80","zone":"za","slots":34,)"
    R"("state":"ready","cold_left_ms":250,"seq":4,"born":17,"domain":"d",)"
    R"("staged":["m"],"models":[{"name":"m"}],"group":{"name":"g1",)"
    R"("epoch":12,"rank":1,"state":"ready"}})";

}  // namespace

BOOST_AUTO_TEST_CASE(odd_lists_of_prompt_parts_are_read_as_far_as_they_go) {
  const direct::Dialect dialect = platform::MakeDialect();
  const auto count = [&dialect](const std::string& text) {
    return dialect.read_prompt_parts(text).size();
  };
  BOOST_TEST(dialect.read_prompt_parts("5c1e07a2:800, 91bd:-4,e4402b7d") ==
                 (std::vector<std::string>{"5c1e07a2", "91bd", "e4402b7d"}),
             boost::test_tools::per_element());
  BOOST_TEST(count("") == 0U);
  BOOST_TEST(count(",,:5,, :") == 0U);
  BOOST_TEST(count("a:1,") == 1U);
  BOOST_TEST(count(std::string(5000, 'a') + ":1,b:2") == 1U);
  std::string many;
  for (int number = 0; number < 5000; ++number) {
    many += "a" + std::to_string(number) + ":1,";
  }
  BOOST_TEST(count(many) == 5000U);
}

BOOST_AUTO_TEST_CASE(a_configuration_is_read_into_typed_fields) {
  const direct::Dialect dialect = platform::MakeDialect();
  const Result<direct::Configuration> read =
      dialect.read_configuration(kConfiguration);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->version == 7U);
  BOOST_TEST((read->routes[0].kind == direct::RouteKind::kStreaming));
  BOOST_TEST(read->routes[0].services.size() == 2U);
  BOOST_TEST(read->routes[0].IsIdempotent());
  BOOST_TEST(read->services[0].engine->models[0].size == 4U);
  BOOST_TEST(read->limits.max_header_bytes == 1000U);
  BOOST_TEST(read->teams[0].keys.size() == 2U);
  BOOST_TEST(Validate(*read).has_value());
}

BOOST_AUTO_TEST_CASE(every_truncated_configuration_is_rejected) {
  const direct::Dialect dialect = platform::MakeDialect();
  for (std::size_t size = 0; size < kConfiguration.size(); ++size) {
    BOOST_TEST(!dialect.read_configuration(kConfiguration.substr(0, size))
                    .has_value());
  }
}

BOOST_AUTO_TEST_CASE(requests_of_an_unknown_kind_are_never_retried) {
  std::string text = kConfiguration;
  text.replace(text.find("streaming"), 9, "something");
  const Result<direct::Configuration> read =
      platform::MakeDialect().read_configuration(text);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read->routes[0].IsIdempotent());
}

BOOST_AUTO_TEST_CASE(a_heartbeat_is_read_and_truncated_ones_are_rejected) {
  const direct::Dialect dialect = platform::MakeDialect();
  const Result<direct::Announcement> read =
      dialect.read_announcement("i-1", kHeartbeat);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->cold_left_ms == 250);
  BOOST_TEST(read->engine->membership->rank == 1U);
  BOOST_TEST(read->engine->loaded_model == "m");
  for (std::size_t size = 0; size < kHeartbeat.size(); ++size) {
    BOOST_TEST(!dialect.read_announcement("i-1", kHeartbeat.substr(0, size))
                    .has_value());
  }
  std::string unknown = kHeartbeat;
  unknown.replace(unknown.find("\"ready\""), 7, "\"lying\"");
  BOOST_TEST(!dialect.read_announcement("i-1", unknown).has_value());
}

BOOST_AUTO_TEST_CASE(randomly_changed_bytes_never_crash_a_parser) {
  // 60,000 randomly changed inputs for the three parsers of external data.
  const direct::Dialect dialect = platform::MakeDialect();
  std::mt19937_64 random(20'261'204);
  for (int round = 0; round < 20'000; ++round) {
    std::string configuration = kConfiguration;
    std::string heartbeat = kHeartbeat;
    std::string settings = kSettings;
    for (std::string* text : {&configuration, &heartbeat, &settings}) {
      const int changes = 1 + static_cast<int>(random() % 4);
      for (int change = 0; change < changes; ++change) {
        (*text)[random() % text->size()] = static_cast<char>(random());
      }
    }
    (void)dialect.read_configuration(configuration);
    (void)dialect.read_announcement("i", heartbeat);
    (void)platform::ReadSettings(settings);
  }
}

BOOST_AUTO_TEST_CASE(deep_nesting_uses_no_stack_and_little_time) {
  const direct::Dialect dialect = platform::MakeDialect();
  const std::chrono::steady_clock::time_point begin =
      std::chrono::steady_clock::now();
  const std::string lists(2'000'000, '[');
  BOOST_TEST(!dialect.read_configuration(lists).has_value());
  BOOST_TEST(!dialect.read_announcement("i", "{\"a\":" + lists).has_value());
  BOOST_TEST(!dialect.read_report(lists).has_value());
  BOOST_TEST(
      (std::chrono::steady_clock::now() - begin < std::chrono::seconds(10)));
}

BOOST_AUTO_TEST_CASE(settings_are_checked_and_unknown_keys_ignored) {
  const Result<direct::HostSettings> read = platform::ReadSettings(kSettings);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->host == "front-1");
  BOOST_TEST(read->control_hosts.size() == 2U);
  BOOST_TEST(!read->control_endpoint.has_value());
  BOOST_TEST(read->is_first_start);
  std::string wrong = kSettings;
  wrong.replace(wrong.find("10.1.0.40:81"), 12, "nowhere");
  const Result<direct::HostSettings> bad = platform::ReadSettings(wrong);
  BOOST_REQUIRE(!bad.has_value());
  BOOST_TEST(bad.error().message.find("line 5: listen.ready") !=
             std::string::npos);
  const Result<direct::HostSettings> missing = platform::ReadSettings("a=b\n");
  BOOST_TEST(missing.error().message.find("node_name") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(orders_name_group_epoch_fence_and_members) {
  direct::Order order;
  order.kind = direct::OrderKind::kJoin;
  order.group = "g7";
  order.epoch = 12;
  order.model = "m";
  order.members = {"i-1", "i-2"};
  order.fence = 3;
  const direct::HttpRequest call = platform::MakeDialect().write_order(order);
  BOOST_TEST(call.body == R"({"op":"join","group":"g7","epoch":12,"model":"m",)"
                          R"("members":["i-1","i-2"],"fence":3})");
}

// A bound that is no number, or limits that contradict each other, would leave
// the fleet without usage reports or with an endless number of orders.
BOOST_AUTO_TEST_CASE(duties_and_scaling_limits_are_read_and_checked) {
  BOOST_TEST(!platform::ReadSettings(kSettings)->platform.has_value());
  const std::string duties =
      "cloud.address=10.9.0.1:8424\ncloud.duties=metering,other\n"
      "cloud.duty_per_s=50.0\nbounds.lease_ms=2500\nbounds.report_window_s=4\n"
      "contracts=base,health\n";
  const Result<direct::HostSettings> read =
      platform::ReadSettings(kSettings + duties);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->learns_capacity);
  BOOST_REQUIRE(read->platform.has_value());
  BOOST_TEST(read->platform->reports_usage);
  BOOST_TEST(!read->platform->scales);
  BOOST_TEST(read->platform->calls_per_s == 50);
  BOOST_TEST((read->platform->lease_time == Milliseconds(2500)));
  BOOST_TEST((read->platform->usage_window == std::chrono::seconds(4)));
  for (const std::string wrong : {"0", "-1", "nan", "x"}) {
    BOOST_TEST(!platform::ReadSettings(kSettings + duties +
                                       "bounds.report_window_s=" + wrong + "\n")
                    .has_value(),
               wrong);
  }
  std::string text = kConfiguration;
  text.insert(text.find(R"({"name":"s2")") + 12,
              R"(,"scaling":{"min":2,"max":1,"boot_s":8})");
  const Result<direct::Configuration> inverted =
      platform::MakeDialect().read_configuration(text);
  BOOST_REQUIRE(inverted.has_value());
  BOOST_TEST(inverted->services[1].scaling->start_s == 8);
  BOOST_TEST(!Validate(*inverted).has_value());
}

BOOST_AUTO_TEST_CASE(calls_to_the_platform_name_windows_and_targets) {
  const direct::Dialect dialect = platform::MakeDialect();
  const direct::HttpRequest usage =
      dialect.write_usage_report({7, {{"team-a", 4}, {"team-b", 1}}});
  BOOST_TEST(usage.path == "/usage");
  BOOST_TEST(usage.body ==
             R"({"window_id":7,"counts":{"team-a":4,"team-b":1}})");
  const direct::HttpRequest scale = dialect.write_scale_order({"s1", "za", 6});
  BOOST_TEST(scale.path == "/scale");
  BOOST_TEST(scale.body == R"({"service":"s1","zone":"za","desired":6})");
}
