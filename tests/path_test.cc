#define BOOST_TEST_MODULE path
#include <boost/test/unit_test.hpp>

#include "fleet.h"
#include "gooseberryturn/core/id.h"

using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

/// Starts one fleet that all test cases of this file share.
struct PathFixture {
  PathFixture() : fleet(11) {
    fleet.StartControlHosts();
    fleet.StartTarget({1, "a", "rack-1", true, {"--token-ms", "10"}});
    fleet.StartTarget({2, "a", "rack-1", true, {"--token-ms", "10"}});
    fleet.StartTarget({3, "a", "rack-1", false, {}});
    fleet.StartEntry(1, "a", ",\"header_timeout_ms\":300");
    fleet.StartEntry(2);
    DocumentPlan plan;
    plan.hosts = 2;
    fleet.ApplyDocument(MakeDocument(plan), 0);
    fleet.WaitForServingGroups(2);
    fleet.WaitForEntry(1);
    fleet.WaitForEntry(2);
  }
  Fleet fleet;
};

Fleet& SharedFleet() {
  static PathFixture fixture;
  return fixture.fleet;
}

std::string ExpectedAnswer(const std::string& body, int tokens) {
  const std::string body_digest = Digest(body).substr(0, 8);
  std::string text;
  for (int token = 0; token < tokens; ++token) {
    text += "data: {\"token\":\"" + body_digest + "-" + std::to_string(token) +
            "\"}\n\n";
  }
  return text + "data: [DONE]\n\n";
}

}  // namespace

BOOST_AUTO_TEST_CASE(streams_an_answer_byte_for_byte) {
  const std::string body = "{\"prompt\":\"soup\",\"max_tokens\":20}";
  const std::unique_ptr<Call> call =
      SharedFleet().StartRequest(1, "/gen", body);
  const Answer partial = call->ReadSome();
  BOOST_TEST(partial.status == 200);
  // The caller reads the first tokens while the engine generates the rest.
  BOOST_TEST(!partial.body.empty());
  BOOST_TEST(partial.body.size() < ExpectedAnswer(body, 20).size());
  const Answer complete = call->ReadAll();
  BOOST_TEST(complete.is_complete);
  BOOST_TEST(complete.body == ExpectedAnswer(body, 20));
}

BOOST_AUTO_TEST_CASE(each_caller_gets_its_own_answer) {
  std::vector<std::unique_ptr<Call>> calls;
  std::vector<std::string> bodies;
  for (int number = 0; number < 20; ++number) {
    bodies.push_back("{\"n\":" + std::to_string(number) + ",\"max_tokens\":5}");
    calls.push_back(
        SharedFleet().StartRequest(1 + number % 2, "/gen", bodies.back()));
  }
  for (std::size_t number = 0; number < calls.size(); ++number) {
    const Answer answer = calls[number]->ReadAll();
    BOOST_TEST(answer.is_complete);
    BOOST_TEST(answer.body == ExpectedAnswer(bodies[number], 5));
  }
}

BOOST_AUTO_TEST_CASE(order_runs_once_for_a_repeated_key) {
  Fleet& fleet = SharedFleet();
  const Answer first = fleet.Post(1, "/order", "order-7", "key-7");
  const Answer second = fleet.Post(2, "/order", "order-7", "key-7");
  BOOST_TEST(first.status == 200);
  BOOST_TEST(second.status == 200);
  BOOST_TEST(first.body == second.body);
  BOOST_TEST(second.headers.count("Gooseberryturn-Replayed") == 1U);
  BOOST_TEST(fleet.CountRuns("order-7") == 1);
}

BOOST_AUTO_TEST_CASE(key_with_another_body_is_refused) {
  Fleet& fleet = SharedFleet();
  BOOST_TEST(fleet.Post(1, "/order", "order-8", "key-8").status == 200);
  const Answer other = fleet.Post(2, "/order", "order-9", "key-8");
  BOOST_TEST(other.status == 422);
  BOOST_TEST(other.Contains("key_mismatch"));
  BOOST_TEST(other.Contains("not_run"));
  BOOST_TEST(fleet.CountRuns("order-9") == 0);
}

BOOST_AUTO_TEST_CASE(refusals_name_reason_outcome_and_step) {
  Fleet& fleet = SharedFleet();
  const Answer team = fleet.Post(1, "/gen", "x", "", "nobody");
  BOOST_TEST(team.status == 403);
  BOOST_TEST(team.Contains("\"reason\":\"unknown_team\""));
  BOOST_TEST(team.Contains("\"outcome\":\"not_run\""));
  BOOST_TEST(team.Contains("\"step\":\"accept\""));
  BOOST_TEST(fleet.Post(1, "/nowhere", "x").status == 404);
  const Answer large = fleet.Post(1, "/gen", std::string(70'000, 'x'));
  BOOST_TEST(large.status == 413);
  const Answer metrics = Get(fleet.EntryHttp(1), "/metrics");
  BOOST_TEST(metrics.Contains("refusals_total{reason=\"unknown_team\"} 1"));
}

BOOST_AUTO_TEST_CASE(team_over_its_contract_is_refused) {
  Fleet& fleet = SharedFleet();
  int refused = 0;
  for (int number = 0; number < 5; ++number) {
    const Answer answer =
        fleet.Post(1, "/gen", "{\"max_tokens\":1}", "", "small");
    refused += answer.status == 429 ? 1 : 0;
  }
  BOOST_TEST(refused >= 3);
}

BOOST_AUTO_TEST_CASE(caller_that_sends_too_slowly_is_closed) {
  Fleet& fleet = SharedFleet();
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  const Endpoint endpoint = fleet.EntryEndpoint(1);
  socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
  asio::write(socket, asio::buffer(std::string("POST /gen HTTP/1.1\r\nX:")));
  std::string text(4096, '\0');
  error_code error;
  const std::size_t size = asio::read(socket, asio::buffer(text), error);
  BOOST_TEST((error == asio::error::eof));
  BOOST_TEST(text.substr(0, size).find("slow_caller") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(endless_bodies_and_headers_are_refused) {
  for (const std::string& request_head :
       {std::string("POST /gen HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        std::string("POST /gen HTTP/1.1\r\n")}) {
    const bool is_body = request_head.find("chunked") != std::string::npos;
    const std::string chunk =
        is_body ? "400\r\n" + std::string(1024, 'x') + "\r\n"
                : "X-Long: " + std::string(1000, 'x') + "\r\n";
    const Endpoint endpoint = SharedFleet().EntryEndpoint(2);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
    asio::write(socket, asio::buffer(request_head));
    error_code error;
    std::size_t sent = 0;
    constexpr std::size_t kTooManyBytes = 64U * 1024U * 1024U;
    while (!error && sent < kTooManyBytes) {
      sent += asio::write(socket, asio::buffer(chunk), error);
    }
    // The entry closes the connection after reading a bounded amount.
    BOOST_TEST(sent < kTooManyBytes);
  }
}

BOOST_AUTO_TEST_CASE(garbage_is_a_clear_error) {
  const Endpoint endpoint = SharedFleet().EntryEndpoint(1);
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
  asio::write(socket, asio::buffer(std::string("no http at all\r\n\r\n")));
  std::string text(4096, '\0');
  error_code error;
  const std::size_t size = asio::read(socket, asio::buffer(text), error);
  BOOST_TEST(text.substr(0, size).find("bad_request") != std::string::npos);
}
