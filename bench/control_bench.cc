// Simulates many entries and agents at one control host: each renews its view
// over its own link. Measures the renewal bytes per host and second and, for
// each view index, the time between the first and the last host that reaches
// it. Runs with different numbers of hosts show how both grow.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "gooseberryturn/app/program.h"
#include "gooseberryturn/control/view_client.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/observe/log.h"

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)

/// The links and the view client of one simulated entry or agent.
struct SimulatedHost {
  SimulatedHost(boost::asio::io_context& context, const Endpoint& control,
                protocol::Renew self, observe::Metrics& metrics)
      : channels(context),
        views(context, this->channels, {control}, std::move(self),
              Duration::zero(), metrics) {}
  link::ChannelPool channels;
  control::ViewClient views;
};

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string control;
  std::int64_t agents = 100;
  std::int64_t entries = 10;
  double seconds = 5;
  po::options_description options("control-bench");
  options.add_options()("help", "print this text")(
      "control", po::value<std::string>(&control)->required(),
      "link address of the control host that leads")(
      "agents", po::value<std::int64_t>(&agents)->default_value(100), "")(
      "entries", po::value<std::int64_t>(&entries)->default_value(10), "")(
      "seconds", po::value<double>(&seconds)->default_value(5), "");
  const std::optional<int> exit_code =
      app::ParseOptions(argc, argv, "control-bench", options);
  if (exit_code.has_value()) {
    return *exit_code;
  }
  const std::optional<Endpoint> leader = ParseEndpoint(control);
  if (!leader.has_value()) {
    std::cerr << "control-bench: --control needs IP:PORT\n";
    return 2;
  }
  (void)observe::StartLog("control-bench", "bench", "ERROR");
  boost::asio::io_context context;
  observe::Metrics metrics;
  std::vector<std::unique_ptr<SimulatedHost>> simulated_hosts;
  for (std::int64_t number = 0; number < agents + entries; ++number) {
    protocol::Renew self;
    const bool is_agent = number < agents;
    self.role = is_agent ? protocol::Role::kAgent : protocol::Role::kEntry;
    self.host =
        (is_agent ? "bench-host-" : "bench-entry-") + std::to_string(number);
    self.data_centre = "vn-south-a";
    self.incarnation = static_cast<std::uint64_t>(number) + 1;
    simulated_hosts.push_back(
        std::make_unique<SimulatedHost>(context, *leader, self, metrics));
    if (is_agent) {
      simulated_hosts.back()->views.make_report = [number] {
        protocol::HostReport report;
        report.service = "menu-llm";
        report.fabric_domain = "rack-" + std::to_string(number / 16);
        report.link = {"127.1.3.1", 7000};
        report.target_ready = true;
        return report;
      };
    }
    simulated_hosts.back()->views.Start();
  }
  // When the first and the last host reached a view index.
  struct Arrivals {
    TimePoint first;
    TimePoint last;
    std::int64_t count = 0;
  };
  std::map<std::uint64_t, Arrivals> arrivals;
  for (const std::unique_ptr<SimulatedHost>& host : simulated_hosts) {
    control::ViewClient* views = &host->views;
    views->on_change = [views, &arrivals] {
      Arrivals& times = arrivals[views->view().index];
      const TimePoint now = Clock::now();
      if (times.count == 0) {
        times.first = now;
      }
      times.last = now;
      times.count += 1;
    };
  }
  // What happens in the first 3 s is not measured.
  context.run_for(std::chrono::seconds(3));
  const std::int64_t renewals_before = metrics.Get(observe::Metric::kRenewals);
  const std::int64_t bytes_before = metrics.Get(observe::Metric::kRenewBytes);
  arrivals.clear();
  context.run_for(
      std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)));
  const double host_count = static_cast<double>(simulated_hosts.size());
  std::vector<double> spreads;
  for (const auto& index_and_times : arrivals) {
    if (index_and_times.second.count ==
        static_cast<std::int64_t>(simulated_hosts.size())) {
      spreads.push_back(
          std::chrono::duration<double, std::milli>(
              index_and_times.second.last - index_and_times.second.first)
              .count());
    }
  }
  std::sort(spreads.begin(), spreads.end());
  const double worst = spreads.empty() ? 0 : spreads.back();
  const double median = spreads.empty() ? 0 : spreads[spreads.size() / 2];
  std::printf(
      "{\"hosts\":%.0f,\"renewals_per_host_s\":%.2f,\"bytes_per_host_s\":%.1f,"
      "\"changes_seen_by_all\":%zu,\"spread_median_ms\":%.2f,"
      "\"spread_worst_ms\":%.2f}\n",
      host_count,
      static_cast<double>(metrics.Get(observe::Metric::kRenewals) -
                          renewals_before) /
          host_count / seconds,
      static_cast<double>(metrics.Get(observe::Metric::kRenewBytes) -
                          bytes_before) /
          host_count / seconds,
      spreads.size(), median, worst);
  return 0;
}
