#define BOOST_TEST_MODULE platform_memory
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform_fake_target.h"
#include "platform_fleet.h"

/// Memory of an entry while its peers send much and then stand still. Runs the
/// real programs.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT
using asio::ip::tcp;

namespace {

/// The least memory that a deployment gives an entry.
constexpr long kMemoryLimitKb = 160L * 1024;
/// Just below the longest body that an entry takes, of an answer or a request.
constexpr std::size_t kBodyBytes = 4'000'000;
/// Together more than the limit, also if each is held once only.
constexpr int kPeers = 60;

/// A plain target whose answers all stop a few bytes before their end.
class StandstillTarget {
 public:
  explicit StandstillTarget(const Endpoint& address)
      : acceptor(context,
                 {asio::ip::make_address(address.address), address.port}),
        answer(
            "HTTP/1.1 200 OK\r\nX-Gooseberryturn-Server-Seal: s\r\n"
            "Content-Length: " +
            std::to_string(kBodyBytes + 10) + "\r\n\r\n" +
            std::string(kBodyBytes, 'x')) {
    this->Accept();
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~StandstillTarget() {
    this->context.stop();
    this->thread.join();
  }
  StandstillTarget(const StandstillTarget&) = delete;
  StandstillTarget& operator=(const StandstillTarget&) = delete;

  std::atomic<int> requests = 0;

 private:
  struct Connection {
    explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    asio::streambuf input;
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](const error_code& error, tcp::socket accepted) {
          if (error) {
            return;
          }
          const std::shared_ptr<Connection> connection =
              std::make_shared<Connection>(std::move(accepted));
          this->connections.push_back(connection);
          asio::async_read_until(
              connection->socket, connection->input, "\r\n\r\n",
              [this, connection](const error_code&, std::size_t) {
                this->requests += 1;
                const std::string input(
                    asio::buffers_begin(connection->input.data()),
                    asio::buffers_end(connection->input.data()));
                const std::string key = "X-Gooseberryturn-Attempt-Id: ";
                const std::size_t at = input.find(key);
                const std::string id =
                    input.substr(at, input.find("\r\n", at) + 2 - at);
                const std::shared_ptr<std::string> bytes =
                    std::make_shared<std::string>(this->answer);
                bytes->insert(bytes->find("Content-Length"), id);
                asio::async_write(
                    connection->socket, asio::buffer(*bytes),
                    [connection, bytes](const error_code&, std::size_t) {});
              });
          this->Accept();
        });
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  std::string answer;
  std::vector<std::shared_ptr<Connection>> connections;
  std::thread thread;
};

/// Serves streams while `peers` hold as much of the entry's memory as it gives.
void ServeBeside(const PlatformFleet& fleet,
                 const std::function<void(int)>& peer) {
  std::vector<std::thread> peers;
  for (int number = 0; number < kPeers; ++number) {
    peers.emplace_back([&peer, number] { peer(number); });
  }
  int served = 0;
  for (int number = 0; number < 20; ++number) {
    served += fleet.IsStreamServed("beside-" + std::to_string(number)) ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  for (std::thread& thread : peers) {
    thread.join();
  }
  BOOST_TEST(served == 20);
  const long peak_kb = fleet.entries.front()->PeakMemoryKb();
  BOOST_TEST(peak_kb > 0);
  BOOST_TEST(peak_kb < kMemoryLimitKb);
}

/// A fleet with a group of engines.
struct Serving {
  explicit Serving(int net) : fleet(net) {
    this->fleet.PutConfiguration(1, 4000);
    for (int number = 1; number <= 2; ++number) {
      this->engines.push_back(std::make_unique<FakeTarget>(
          "e-" + std::to_string(number),
          this->fleet.EndpointAt(20 + number, 9000),
          this->fleet.ControlEndpoint(1), "engines"));
    }
    BOOST_REQUIRE(
        Eventually([this] { return this->fleet.IsStreamServed("first"); }));
  }

  PlatformFleet fleet;
  std::vector<std::unique_ptr<FakeTarget>> engines;
};

}  // namespace

// A faulty target whose answers don't end filled the memory of the entry that
// had called it, and the requests of other callers there ended with it.
BOOST_AUTO_TEST_CASE(answers_that_stop_before_their_end_take_bounded_memory) {
  Serving serving(77);
  const PlatformFleet& fleet = serving.fleet;
  StandstillTarget target(fleet.EndpointAt(30, 9000));
  const std::string announcement =
      R"({"service":"plain","address":")" +
      ToString(fleet.EndpointAt(30, 9000)) +
      R"(","zone":"za","version":"v1","slots":64,"state":"ready",)"
      R"("cold_left_ms":0,"born":1,"seq":1})";
  BOOST_REQUIRE(Call(fleet.ControlEndpoint(1), "PUT", "/api/instances/p-1", {},
                     announcement)
                    .ReadAll()
                    .status == 200);
  BOOST_REQUIRE(Eventually([&fleet, &target] {
    (void)fleet.SendRequest("/safe/1", "probe", kKey, false, 300);
    return target.requests > 0;
  }));
  std::atomic<int> complete = 0;
  ServeBeside(fleet, [&fleet, &complete](int number) {
    const Answer answer = fleet.SendRequest(
        "/safe/1", "p-" + std::to_string(number), kKey, false, 4000);
    complete += answer.status == 200 ? 1 : 0;
  });
  BOOST_TEST(complete == 0);
  BOOST_TEST(target.requests > 10);
}

// The same with callers whose bodies don't end.
BOOST_AUTO_TEST_CASE(bodies_that_stop_before_their_end_take_bounded_memory) {
  Serving serving(78);
  const PlatformFleet& fleet = serving.fleet;
  const std::string request =
      "POST /safe/1 HTTP/1.1\r\nHost: shop.example\r\n"
      "X-Gooseberryturn-Attempt-Id: b\r\nAuthorization: Bearer key-1\r\n"
      "Content-Length: " +
      std::to_string(kBodyBytes + 10) + "\r\n\r\n" +
      std::string(kBodyBytes, 'x');
  ServeBeside(fleet, [&fleet, &request](int /*number*/) {
    asio::io_context context;
    tcp::socket socket(context);
    const Endpoint entry = fleet.CallerEndpoint();
    socket.connect({asio::ip::make_address(entry.address), entry.port});
    error_code ignored;
    asio::write(socket, asio::buffer(request), ignored);
    std::this_thread::sleep_for(std::chrono::seconds(2));
  });
}
