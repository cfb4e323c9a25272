#define BOOST_TEST_MODULE platform_duty
#include <rapidjson/document.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http_call.h"
#include "platform_fake_target.h"
#include "platform_fleet.h"

/// Usage reports of the real programs to a stand-in of the platform.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kNet = 149;
constexpr std::int64_t kWindowMs = 2000;
constexpr milliseconds kLeaseTime(1000);

[[nodiscard]] std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// A usage report as the platform received it.
struct ReceivedReport {
  std::int64_t window = 0;
  std::string body;
  std::map<std::string, std::uint64_t> counts;
  std::string holder;
  std::uint64_t fence = 0;
  int status = 0;
  std::chrono::steady_clock::time_point at;
};

/// Stand-in of the platform: takes usage reports and rejects a token below the
/// highest one.
class FakePlatform {
 public:
  explicit FakePlatform(Endpoint address)
      : address(std::move(address)),
        acceptor(this->context, {asio::ip::make_address(this->address.address),
                                 this->address.port}) {
    this->thread = std::thread([this] { this->Accept(); });
  }
  ~FakePlatform() {
    this->is_stopped = true;
    error_code ignored;
    // Connects once, so that the blocking accept returns.
    asio::ip::tcp::socket wake(this->context);
    wake.connect(
        {asio::ip::make_address(this->address.address), this->address.port},
        ignored);
    this->thread.join();
  }
  FakePlatform(const FakePlatform&) = delete;
  FakePlatform& operator=(const FakePlatform&) = delete;

  [[nodiscard]] std::vector<ReceivedReport> Reports() const {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->reports;
  }
  /// The last window that was acknowledged.
  [[nodiscard]] std::int64_t LastWindow() const {
    std::int64_t last = 0;
    for (const ReceivedReport& report : this->Reports()) {
      last = std::max(last, report.status == 200 ? report.window : 0);
    }
    return last;
  }

 private:
  void Accept() {
    while (!this->is_stopped) {
      error_code error;
      asio::ip::tcp::socket socket(this->context);
      this->acceptor.accept(socket, error);
      if (!error && !this->is_stopped) {
        this->Answer(std::move(socket));
      }
    }
  }
  void Answer(asio::ip::tcp::socket socket) {
    error_code error;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::read(socket, buffer, request, error);
    if (error) {
      return;
    }
    http::response<http::empty_body> response(
        static_cast<http::status>(this->Record(request)), 11);
    response.prepare_payload();
    http::write(socket, response, error);
  }
  [[nodiscard]] int Record(const http::request<http::string_body>& request) {
    ReceivedReport report;
    report.at = std::chrono::steady_clock::now();
    report.body = request.body();
    report.holder = std::string(request["X-Gooseberryturn-Lease-Holder"]);
    report.fence =
        std::stoull("0" + std::string(request["X-Gooseberryturn-Fence-Token"]));
    rapidjson::Document document;
    document.Parse(report.body.c_str());
    report.window = document["window_id"].GetInt64();
    for (const auto& count : document["counts"].GetObject()) {
      report.counts[count.name.GetString()] = count.value.GetUint64();
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    report.status = report.fence < this->highest_fence ? 409 : 200;
    this->highest_fence = std::max(this->highest_fence, report.fence);
    this->reports.push_back(report);
    return report.status;
  }

  Endpoint address;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  std::thread thread;
  std::atomic<bool> is_stopped{false};
  mutable std::mutex mutex;
  std::vector<ReceivedReport> reports;
  std::uint64_t highest_fence = 0;
};

[[nodiscard]] std::string SettingsLines() {
  return "cloud.address=127." + std::to_string(kNet) +
         ".0.50:8424\ncloud.duties=metering,autoscale\ncloud.duty_per_s=10\n"
         "bounds.report_window_s=2\nbounds.usage_late_s=10\n"
         "bounds.lease_ms=1000\n";
}

/// Number of the control host that leads, if one is known to.
[[nodiscard]] std::optional<int> FindLeader(const PlatformFleet& fleet) {
  for (int number = 1; number <= 3; ++number) {
    if (Get(fleet.ControlEndpoint(number), "/metrics")
            .Contains("is_leader 1\n")) {
      return number;
    }
  }
  return std::nullopt;
}

/// A request and the time in which its target began to run it.
struct SentRequest {
  std::int64_t began_ms = 0;
  std::int64_t ended_ms = 0;
};

}  // namespace

// Guards against lost and double counts, two contents of one window, and two
// holders with one token when the leader is killed in the middle of a window.
BOOST_AUTO_TEST_CASE(usage_is_reported_while_the_leader_is_killed) {
  PlatformFleet fleet(kNet, 1, SettingsLines());
  FakePlatform platform(fleet.EndpointAt(50, 8424));
  fleet.PutConfiguration(1);
  FakeTarget target("i-1", fleet.EndpointAt(20, 9000),
                    {fleet.ControlEndpoint(1), fleet.ControlEndpoint(2),
                     fleet.ControlEndpoint(3)},
                    "plain");
  std::vector<SentRequest> sent;
  std::int64_t number = 0;
  const auto send = [&fleet, &sent, &number] {
    const std::int64_t began_ms = UnixMs();
    const int status =
        fleet.SendRequest("/safe/1", "a" + std::to_string(++number)).status;
    if (status == 200) {
      sent.push_back({began_ms, UnixMs()});
    }
    return status == 200;
  };
  BOOST_REQUIRE(Eventually(send));
  const std::int64_t start_ms = UnixMs();
  const std::int64_t kill_at_ms =
      (start_ms / kWindowMs + 4) * kWindowMs + kWindowMs / 2;
  const std::int64_t end_ms = kill_at_ms + 5 * kWindowMs;
  std::optional<int> killed;
  while (UnixMs() < end_ms) {
    if (!killed.has_value() && UnixMs() >= kill_at_ms) {
      killed = FindLeader(fleet);
      BOOST_REQUIRE(killed.has_value());
      fleet.controls[static_cast<std::size_t>(*killed - 1)]->Kill();
    }
    (void)send();
    std::this_thread::sleep_for(milliseconds(5));
  }
  const std::int64_t last_window = UnixMs() / kWindowMs;
  BOOST_REQUIRE(
      Eventually([&] { return platform.LastWindow() >= last_window; }));

  std::map<std::int64_t, std::set<std::string>> bodies;
  std::map<std::uint64_t, std::set<std::string>> holders;
  std::map<std::int64_t, std::uint64_t> counts;
  std::vector<ReceivedReport> accepted;
  for (const ReceivedReport& report : platform.Reports()) {
    bodies[report.window].insert(report.body);
    holders[report.fence].insert(report.holder);
    if (report.status == 200) {
      accepted.push_back(report);
      const auto found = report.counts.find("team-1");
      counts[report.window] = found == report.counts.end() ? 0 : found->second;
    }
  }
  for (const auto& window : bodies) {
    BOOST_TEST(window.second.size() == 1U, "window " << window.first);
  }
  for (const auto& fence : holders) {
    BOOST_TEST(fence.second.size() == 1U, "token " << fence.first);
  }
  for (std::size_t index = 1; index < accepted.size(); ++index) {
    const ReceivedReport& before = accepted[index - 1];
    const ReceivedReport& report = accepted[index];
    BOOST_TEST(report.fence >= before.fence);
    if (report.holder != before.holder) {
      BOOST_TEST((report.at - before.at >= kLeaseTime));
    }
  }
  const std::string killed_host = "host-" + std::to_string(*killed);
  BOOST_TEST(accepted.front().holder == killed_host);
  BOOST_TEST(accepted.back().holder != killed_host);
  std::uint64_t total = 0;
  for (std::int64_t window = counts.begin()->first; window <= last_window;
       ++window) {
    BOOST_REQUIRE(counts.count(window) == 1U);
    std::uint64_t inside = 0;
    std::uint64_t overlapping = 0;
    for (const SentRequest& request : sent) {
      const bool begins_inside = request.began_ms / kWindowMs == window;
      const bool ends_inside = request.ended_ms / kWindowMs == window;
      inside += begins_inside && ends_inside ? 1 : 0;
      overlapping += begins_inside || ends_inside ? 1 : 0;
    }
    BOOST_TEST_MESSAGE("window " << window << ": " << counts[window] << " of "
                                 << inside << " to " << overlapping);
    BOOST_TEST(static_cast<double>(counts[window]) >=
               0.95 * static_cast<double>(inside));
    BOOST_TEST(static_cast<double>(counts[window]) <=
               1.05 * static_cast<double>(overlapping));
    total += counts[window];
  }
  const std::size_t runs = target.Runs().size();
  BOOST_TEST_MESSAGE("reported " << total << ", run " << runs);
  BOOST_TEST(static_cast<double>(total) >= 0.95 * static_cast<double>(runs));
  BOOST_TEST(total <= runs);
}

// Guards against counts of what did not run, and of retries: a refused request
// does not count, one without an answer and a resumed stream count once.
BOOST_AUTO_TEST_CASE(each_request_that_a_target_ran_counts_once) {
  PlatformFleet fleet(kNet, 1, SettingsLines());
  FakePlatform platform(fleet.EndpointAt(50, 8424));
  fleet.PutConfiguration(1);
  FakeTarget plain("p-1", fleet.EndpointAt(20, 9000), fleet.ControlEndpoint(1),
                   "plain");
  FakeTarget one("e-1", fleet.EndpointAt(31, 9000), fleet.ControlEndpoint(1),
                 "engines");
  FakeTarget two("e-2", fleet.EndpointAt(32, 9000), fleet.ControlEndpoint(2),
                 "engines");
  int number = 0;
  const auto next_id = [&number] { return "a" + std::to_string(++number); };
  BOOST_REQUIRE(Eventually([&] {
    return fleet.IsStreamServed(next_id()) &&
           fleet.SendRequest("/safe/1", next_id()).status == 200;
  }));
  for (int request = 0; request < 10; ++request) {
    (void)fleet.SendRequest("/unsafe/1", next_id());
    (void)fleet.IsStreamServed(next_id());
  }
  plain.behaviour = Behaviour::kShed;
  BOOST_TEST(fleet.SendRequest("/unsafe/1", next_id()).status == 503);
  plain.behaviour = Behaviour::kCloseUnanswered;
  BOOST_TEST(fleet.SendRequest("/unsafe/1", next_id()).status == 502);
  plain.behaviour = Behaviour::kServe;
  for (FakeTarget* engine : {&one, &two}) {
    engine->behaviour = Behaviour::kCutStream;
  }
  (void)fleet.IsStreamServed(next_id());
  const std::int64_t last_window = UnixMs() / kWindowMs;
  BOOST_REQUIRE(
      Eventually([&] { return platform.LastWindow() >= last_window; }));
  std::set<std::string> ids;
  for (FakeTarget* target : {&plain, &one, &two}) {
    for (const std::string& id : target->Runs()) {
      ids.insert(id);
    }
  }
  std::uint64_t total = 0;
  for (const ReceivedReport& report : platform.Reports()) {
    for (const auto& count : report.counts) {
      BOOST_TEST(count.first == "team-1");
      total += report.status == 200 ? count.second : 0;
    }
  }
  BOOST_TEST(total == ids.size());
}

// Guards against effects on deployments whose settings name no platform.
BOOST_AUTO_TEST_CASE(nothing_is_reported_without_a_platform) {
  PlatformFleet fleet(kNet);
  FakePlatform platform(fleet.EndpointAt(50, 8424));
  fleet.PutConfiguration(1);
  FakeTarget target("i-1", fleet.EndpointAt(20, 9000), fleet.ControlEndpoint(1),
                    "plain");
  BOOST_REQUIRE(Eventually(
      [&fleet] { return fleet.SendRequest("/safe/1", "a").status == 200; }));
  std::this_thread::sleep_for(milliseconds(3 * kWindowMs));
  BOOST_TEST(platform.Reports().empty());
  for (const std::unique_ptr<Process>& control : fleet.controls) {
    BOOST_TEST(control->Log().find("duties_taken") == std::string::npos);
  }
}
