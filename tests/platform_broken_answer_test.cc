#define BOOST_TEST_MODULE platform_broken_answer
#include <algorithm>
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
  void CheckTaken(const std::string& path, const std::string& id,
                  const std::string& body) {
    const Answer answer = this->Send(path, id);
    BOOST_TEST(answer.is_complete, id);
    BOOST_TEST(answer.status == kOk, id);
    BOOST_TEST(answer.body == body, id);
  }
  [[nodiscard]] long Runs(const std::string& id) {
    const std::vector<std::string> runs = this->target.Runs();
    return std::count(runs.begin(), runs.end(), id);
  }

  PlatformFleet fleet;
  FakeTarget target;

 private:
  Answer Send(const std::string& path, const std::string& id) {
    return this->fleet.SendRequest(path, id, kKey, false, 3000, this->upload);
  }

  std::string upload;
};

}  // namespace

BOOST_AUTO_TEST_CASE(no_caller_gets_an_answer_whose_status_is_none) {
  Scripted scripted(84, 4);
  for (const std::string status : {"000", "099", "999"}) {
    scripted.target.SetScript(
        [status](const std::string& lines) {
          return "HTTP/1.1 " + status + " Odd\r\n" + lines +
                 "Content-Length: 4\r\n\r\nbody";
        },
        false);
    scripted.CheckRefused("/safe/1", "safe-" + status);
    scripted.CheckRefused("/unsafe/1", "unsafe-" + status);
    BOOST_TEST(scripted.Runs("unsafe-" + status) == 1);
  }
}
