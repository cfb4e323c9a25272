#define BOOST_TEST_MODULE broken_answer
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "answer_readers.h"
#include "gooseberryturn/target/monitor.h"

/// Every reader of HTTP answers, with answers that are broken and with unusual
/// ones that are not. Guards against issue 54: broken answers reached clients.
using namespace gooseberryturn;  // NOLINT
namespace asio = boost::asio;

namespace {

struct AnswerPlan {
  std::string name;
  std::string text;
  Ending ending = Ending::kLeaveOpen;
};

/// The line of the entry's attempt, so that the answer counts as its own.
constexpr char kAttemptLine[] = "Attempt-Id: a1\r\n";
constexpr char kInterimHead[] =
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
constexpr char kBody[] = "body";
constexpr char kChunkedBody[] = "4\r\nbody\r\n0\r\n\r\n";

/// One head with each way to tell where the body ends.
std::vector<AnswerPlan> EachFraming(const std::string& status_line) {
  const std::string head = status_line + "\r\n" + kAttemptLine;
  return {
      {status_line + ", length", head + "Content-Length: 4\r\n\r\n" + kBody},
      {status_line + ", chunks",
       head + "Transfer-Encoding: chunked\r\n\r\n" + kChunkedBody},
      {status_line + ", end of the connection", head + "\r\n" + kBody,
       Ending::kClose}};
}

void CheckRefusedByTargetConnection(const AnswerPlan& plan) {
  const TargetReading reading = ReadTargetAnswer(plan.text, plan.ending);
  BOOST_TEST((reading.end == direct::ExchangeEnd::kInvalid));
  BOOST_TEST(reading.heads == 0);
  BOOST_TEST(reading.body == "");
  BOOST_TEST(!reading.is_reusable);
}

void CheckRefusedByOrder(const AnswerPlan& plan) {
  const std::optional<Result<direct::HttpResponse>> response =
      ReadOrderAnswer(plan.text, plan.ending);
  BOOST_REQUIRE(response.has_value());
  BOOST_TEST((!response->has_value() &&
              response->error().outcome == Outcome::kUnknown));
}

void CheckRefusedByAgent(const AnswerPlan& plan) {
  const AgentReading reading = ReadAgentAnswer(plan.text, plan.ending);
  BOOST_REQUIRE(reading.result.has_value());
  BOOST_TEST((!reading.result->has_value() &&
              reading.result->error().outcome == Outcome::kUnknown));
  BOOST_TEST(reading.heads == 0);
  BOOST_TEST(reading.body == "");
}

/// No reader takes the answer, and none says that the request did not run.
void CheckRefused(const AnswerPlan& plan) {
  BOOST_TEST_CONTEXT(plan.name) {
    CheckRefusedByTargetConnection(plan);
    CheckRefusedByOrder(plan);
    CheckRefusedByAgent(plan);
  }
}

void CheckTaken(const AnswerPlan& plan, int status) {
  BOOST_TEST_CONTEXT(plan.name) {
    const TargetReading target = ReadTargetAnswer(plan.text, plan.ending);
    BOOST_TEST((target.end == direct::ExchangeEnd::kComplete));
    BOOST_TEST(target.heads == 1);
    BOOST_TEST(target.body == kBody);
    const std::optional<Result<direct::HttpResponse>> order =
        ReadOrderAnswer(plan.text, plan.ending);
    BOOST_REQUIRE((order.has_value() && order->has_value()));
    BOOST_TEST((*order)->status == status);
    BOOST_TEST((*order)->body == kBody);
    const AgentReading agent = ReadAgentAnswer(plan.text, plan.ending);
    BOOST_REQUIRE((agent.result.has_value() && agent.result->has_value()));
    BOOST_TEST(agent.status == status);
    BOOST_TEST(agent.body == kBody);
  }
}

/// True if the monitor of an agent takes the target for ready.
bool IsHealthy(const std::string& answer) {
  asio::io_context context;
  const FixedTarget target(context, answer, Ending::kClose);
  target::Monitor monitor(context, target.endpoint(), false);
  monitor.Start();
  // The next check follows the end of the first one.
  RunUntil(context, [&monitor, &target] {
    return monitor.is_ready() || target.connections > 1;
  });
  return monitor.is_ready();
}

/// Exit code of gooseberryturnctl when it has tried for 15 s.
constexpr int kNoControlHostAnswers = 5;

/// Runs gooseberryturnctl once for each plan, all at the same time, against a
/// control host that answers so.
/// \returns The exit codes.
std::vector<int> RunCtl(const std::vector<AnswerPlan>& plans) {
  asio::io_context context;
  std::vector<std::unique_ptr<FixedTarget>> hosts;
  std::vector<std::FILE*> runs;
  for (const AnswerPlan& plan : plans) {
    hosts.push_back(
        std::make_unique<FixedTarget>(context, plan.text, plan.ending));
    const std::string command =
        std::string(BINARY_ROOT) + "/gooseberryturnctl document --control " +
        ToString(hosts.back()->endpoint()) + " 2>/dev/null";
    runs.push_back(popen(command.c_str(), "r"));
  }
  std::thread serving([&context] { context.run(); });
  std::vector<int> codes;
  for (std::FILE* run : runs) {
    codes.push_back(WEXITSTATUS(pclose(run)));
  }
  context.stop();
  serving.join();
  return codes;
}

/// What a program writes to its standard output.
std::string OutputOf(const std::string& command) {
  std::FILE* pipe = popen(command.c_str(), "r");
  BOOST_REQUIRE(pipe != nullptr);
  std::string output;
  std::array<char, 4096> part{};
  while (std::fgets(part.data(), part.size(), pipe) != nullptr) {
    output += part.data();
  }
  pclose(pipe);
  return output;
}

/// Lines of a head in which the name of a field is none.
std::vector<std::string> LinesWithoutName() {
  std::vector<std::string> lines = {"Bad Name: 1\r\n",
                                    "Bad\tName: 1\r\n",
                                    "Name : 1\r\n",
                                    "Name\t: 1\r\n",
                                    ": 1\r\n",
                                    "Name\r\n",
                                    "Content-Length : 2\r\n",
                                    "Transfer-Encoding : chunked\r\n"};
  for (const char byte : {'\x00', '\x01', '\x0b', '\x1f', '\x7f'}) {
    lines.push_back("Bad" + std::string(1, byte) + "Name: 1\r\n");
    lines.push_back(std::string(1, byte) + "Name: 1\r\n");
  }
  return lines;
}

}  // namespace

BOOST_AUTO_TEST_CASE(an_answer_whose_status_is_none_is_invalid) {
  for (const char* status : {"000", "007", "099", "600", "999"}) {
    for (const AnswerPlan& plan :
         EachFraming("HTTP/1.1 " + std::string(status) + " Odd")) {
      CheckRefused(plan);
    }
  }
  for (const AnswerPlan& plan : EachFraming("HTTP/1.0 000 Odd")) {
    CheckRefused(plan);
  }
}

BOOST_AUTO_TEST_CASE(an_unusual_status_or_reason_is_taken) {
  for (const char* line : {"HTTP/1.1 299 Odd but sound", "HTTP/1.1 418 ",
                           "HTTP/1.1 599 \xc3\xa9", "HTTP/1.0 404 (none)"}) {
    const int status = std::stoi(std::string(line).substr(9));
    for (const AnswerPlan& plan : EachFraming(line)) {
      const bool is_old = plan.text.compare(0, 8, "HTTP/1.0") == 0;
      const bool is_chunked = plan.text.find("chunked") != std::string::npos;
      // HTTP/1.0 has no chunks.
      if (!(is_old && is_chunked)) {
        CheckTaken(plan, status);
      }
    }
  }
}

// It says that the answer is still to come.
BOOST_AUTO_TEST_CASE(an_interim_answer_is_not_the_answer) {
  const std::string interim(kInterimHead);
  for (const std::string& before : {interim, interim + interim}) {
    for (AnswerPlan plan : EachFraming("HTTP/1.1 404 Not Found")) {
      plan.text.insert(0, before);
      CheckTaken(plan, 404);
    }
    for (AnswerPlan plan : EachFraming("HTTP/1.1 000 Odd")) {
      plan.text.insert(0, before);
      CheckRefused(plan);
    }
  }
  const AnswerPlan cut = {"nothing else", interim, Ending::kClose};
  BOOST_TEST((ReadTargetAnswer(cut.text, cut.ending).end ==
              direct::ExchangeEnd::kCut));
  CheckRefusedByOrder(cut);
  CheckRefusedByAgent(cut);
}

BOOST_AUTO_TEST_CASE(interim_answers_without_end_are_refused) {
  std::string many;
  for (int count = 0; count < 100; ++count) {
    many += kInterimHead;
  }
  for (AnswerPlan plan : EachFraming("HTTP/1.1 200 OK")) {
    plan.text.insert(0, many);
    CheckRefused(plan);
  }
}

// The line would be passed on, or would change where the body ends.
BOOST_AUTO_TEST_CASE(a_field_whose_name_is_none_makes_an_answer_invalid) {
  for (const std::string& line : LinesWithoutName()) {
    for (AnswerPlan plan : EachFraming("HTTP/1.1 200 OK")) {
      plan.name += ", " + line;
      AnswerPlan first = plan;
      first.text.insert(first.text.find("\r\n") + 2, line);
      CheckRefused(first);
      plan.text.insert(plan.text.find("\r\n\r\n") + 2, line);
      CheckRefused(plan);
    }
  }
  for (AnswerPlan plan : EachFraming("HTTP/1.1 200 OK")) {
    plan.name += ", first line after a blank";
    plan.text.insert(plan.text.find("\r\n") + 2, " Name: 1\r\n");
    CheckRefused(plan);
  }
}

BOOST_AUTO_TEST_CASE(a_trailer_whose_name_is_none_makes_an_answer_invalid) {
  for (const std::string& line : LinesWithoutName()) {
    const std::string text =
        "HTTP/1.1 200 OK\r\n" + std::string(kAttemptLine) +
        "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n";
    BOOST_TEST_CONTEXT(line) {
      const TargetReading target = ReadTargetAnswer(text);
      BOOST_TEST((target.end == direct::ExchangeEnd::kInvalid));
      BOOST_TEST(!target.is_reusable);
      CheckRefusedByOrder({line, text});
      const AgentReading agent = ReadAgentAnswer(text);
      BOOST_TEST((agent.result.has_value() && !agent.result->has_value()));
    }
  }
}

// Its body says that the target is ready.
BOOST_AUTO_TEST_CASE(a_broken_answer_does_not_show_a_healthy_target) {
  const std::string body = R"({"boot":"b1","ready":true})";
  const std::string rest =
      " Odd\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
      body;
  BOOST_TEST(IsHealthy("HTTP/1.1 200" + rest));
  BOOST_TEST(!IsHealthy("HTTP/1.1 000" + rest));
  BOOST_TEST(!IsHealthy("HTTP/1.1 999" + rest));
  BOOST_TEST(!IsHealthy("HTTP/1.1 200 Odd\r\nBad Name: 1\r\n" +
                        rest.substr(rest.find("Content"))));
}

BOOST_AUTO_TEST_CASE(the_load_generator_counts_a_broken_answer_as_broken) {
  asio::io_context context;
  const FixedTarget target(context, EachFraming("HTTP/1.1 000 Odd")[0].text,
                           Ending::kClose);
  std::thread serving([&context] { context.run(); });
  const std::string output = OutputOf(
      std::string(BINARY_ROOT) + "/gooseberryturn-load --json" +
      " --rate 20 --seconds 1 --targets " + ToString(target.endpoint()));
  context.stop();
  serving.join();
  BOOST_TEST(output.find("\"refused\":0,") != std::string::npos, output);
  BOOST_TEST(output.find("\"broken\":0,") == std::string::npos, output);
}

BOOST_AUTO_TEST_CASE(gooseberryturnctl_takes_no_broken_answer) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = "Content-Length: 2\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n";
  const std::vector<AnswerPlan> broken = {
      {"007", "HTTP/1.1 007 Odd\r\n" + length + "\r\n{}", Ending::kClose},
      {"999", "HTTP/1.1 999 Odd\r\n" + length + "\r\n{}", Ending::kClose},
      {"blank in a name", ok + "Bad Name: 1\r\n" + length + "\r\n{}",
       Ending::kClose},
      {"blank behind a name", ok + "Content-Length : 2\r\n\r\n{}",
       Ending::kClose},
      {"part of a length", ok + "Content-Length: 9\r\n\r\n{}", Ending::kClose},
      {"no last chunk", ok + chunked, Ending::kClose},
      {"a reset", ok + "\r\n{}", Ending::kReset}};
  const std::vector<AnswerPlan> sound = {
      {"length", ok + length + "\r\n{}", Ending::kClose},
      {"chunks", ok + chunked + "0\r\n\r\n", Ending::kClose},
      {"end", ok + "\r\n{}", Ending::kClose},
      {"interim", kInterimHead + ok + length + "\r\n{}", Ending::kClose}};
  const std::vector<int> broken_codes = RunCtl(broken);
  for (std::size_t number = 0; number < broken.size(); ++number) {
    BOOST_TEST(broken_codes[number] == kNoControlHostAnswers,
               broken[number].name);
  }
  const std::vector<int> sound_codes = RunCtl(sound);
  for (std::size_t number = 0; number < sound.size(); ++number) {
    BOOST_TEST(sound_codes[number] == 0, sound[number].name);
  }
}
