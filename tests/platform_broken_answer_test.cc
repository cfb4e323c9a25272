#define BOOST_TEST_MODULE platform_broken_answer
#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "platform_fake_target.h"
#include "platform_fleet.h"

/// What callers get from the real programs when a target sends a broken answer.
/// Guards against issue 54.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

constexpr int kOk = 200;
constexpr int kBadGateway = 502;
/// More than the kernel takes for a target that reads nothing.
constexpr std::size_t kUploadBytes = 4U * 1024U * 1024U;
/// A line with which a target says that the request did not run, or none. What
/// a broken answer says is not true.
constexpr std::array<const char*, 2> kClaims = {
    "", "X-Gooseberryturn-Not-Executed: 1\r\n"};

/// An entry with one target, which is given a script once it has served.
class Scripted {
 public:
  Scripted(int net, std::size_t upload_bytes)
      : fleet(net),
        target("i-1", fleet.EndpointAt(20, 9000), fleet.ControlEndpoint(1),
               "plain"),
        upload(upload_bytes, 'u') {
    this->fleet.PutConfiguration(1);
    BOOST_REQUIRE(Eventually([this] {
      return this->fleet.SendRequest("/safe/1", "warm-up").status == kOk;
    }));
  }

  /// Sends a request, and checks that its caller gets a complete refusal that
  /// leaves open whether the request ran.
  void CheckRefused(const std::string& path, const std::string& id) {
    const Answer answer = this->Send(path, id);
    BOOST_TEST(answer.is_complete, id);
    BOOST_TEST(answer.status == kBadGateway, id);
    BOOST_TEST(answer.headers.count("X-Gooseberryturn-Server-Seal") == 0U, id);
    BOOST_TEST(answer.headers.count("X-Gooseberryturn-Not-Executed") == 0U, id);
  }
  /// The same for each kind of request; an unsafe one runs once.
  void CheckEachRefused(const std::string& id) {
    this->CheckRefused("/safe/1", "safe-" + id);
    this->CheckRefused("/unsafe/1", "unsafe-" + id);
    BOOST_TEST(this->Runs("unsafe-" + id) == 1, id);
  }
  void CheckTaken(const std::string& path, const std::string& id,
                  const std::string& body) {
    const Answer answer = this->Send(path, id);
    BOOST_TEST(answer.is_complete, id);
    BOOST_TEST(answer.status == kOk, id);
    BOOST_TEST(answer.body == body, id);
  }

  PlatformFleet fleet;
  FakeTarget target;

 private:
  [[nodiscard]] long Runs(const std::string& id) {
    const std::vector<std::string> runs = this->target.Runs();
    return std::count(runs.begin(), runs.end(), id);
  }
  Answer Send(const std::string& path, const std::string& id) {
    return this->fleet.SendRequest(path, id, kKey, false, 3000, this->upload);
  }

  std::string upload;
};

}  // namespace

BOOST_AUTO_TEST_CASE(no_caller_gets_an_answer_whose_status_is_none) {
  Scripted scripted(84, 4);
  for (const std::string status : {"000", "099", "999"}) {
    for (const std::string claim : kClaims) {
      scripted.target.SetScript(
          [status, claim](const std::string& lines) {
            return "HTTP/1.1 " + status + " Odd\r\n" + lines + claim +
                   "Content-Length: 4\r\n\r\nbody";
          },
          ScriptEnd::kClose);
      scripted.CheckEachRefused(status + claim.substr(0, claim.find(':')));
    }
  }
}

// The target reads nothing of the upload behind its head.
BOOST_AUTO_TEST_CASE(no_caller_gets_a_part_that_a_reset_cut_as_an_answer) {
  Scripted scripted(85, kUploadBytes);
  for (const ScriptEnd end : {ScriptEnd::kReset, ScriptEnd::kClose}) {
    for (const std::string claim : kClaims) {
      scripted.target.SetScript(
          [claim](const std::string& lines) {
            return "HTTP/1.1 200 OK\r\n" + lines + claim + "\r\npart";
          },
          end);
      scripted.CheckEachRefused((end == ScriptEnd::kReset ? "reset" : "close") +
                                claim.substr(0, claim.find(':')));
    }
  }
}

BOOST_AUTO_TEST_CASE(an_early_whole_answer_to_an_upload_reaches_its_caller) {
  Scripted scripted(86, kUploadBytes);
  for (const std::string path : {"/safe/1", "/unsafe/1"}) {
    scripted.target.SetScript(
        [](const std::string& lines) {
          return "HTTP/1.1 200 OK\r\n" + lines +
                 "Content-Length: 5\r\n\r\nwhole";
        },
        ScriptEnd::kReset);
    scripted.CheckTaken(path, path + "length", "whole");
    scripted.target.SetScript(
        [](const std::string& lines) {
          return "HTTP/1.1 200 OK\r\n" + lines + "\r\nwhole";
        },
        ScriptEnd::kEndThenClose);
    scripted.CheckTaken(path, path + "end", "whole");
  }
}

BOOST_AUTO_TEST_CASE(no_caller_gets_an_answer_with_a_field_without_a_name) {
  Scripted scripted(87, 4);
  int number = 0;
  for (const std::string line : {"Bad Name: 1", "Bad\x01Name: 1",
                                 "Bad\x7fName: 1", "Content-Length : 2"}) {
    scripted.target.SetScript(
        [line](const std::string& lines) {
          return "HTTP/1.1 200 OK\r\n" + lines + line +
                 "\r\nContent-Length: 4\r\n\r\nbody";
        },
        ScriptEnd::kClose);
    number += 1;
    scripted.CheckEachRefused(std::to_string(number));
  }
}
