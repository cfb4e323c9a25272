#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <utility>

#include "gooseberryturn/app/program.h"
#include "gooseberryturn/app/readiness.h"
#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/consensus/storage.h"
#include "gooseberryturn/control/operator_api.h"
#include "gooseberryturn/control/replica.h"
#include "gooseberryturn/control/server.h"
#include "gooseberryturn/core/id.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/http_server.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/observe/metrics.h"

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)

constexpr char kProgram[] = "gooseberryturn-control";

consensus::Membership InitialMembership(
    const config::ControlSettings& settings) {
  consensus::Membership membership;
  for (const config::ControlPeer& peer : settings.peers) {
    membership.peers.push_back({peer.id, peer.link, peer.http, true, 0});
  }
  return membership;
}

/// Returns the peer with the id of this host; ParseControlSettings has checked
/// that there is one.
const config::ControlPeer& OwnPeer(const config::ControlSettings& settings) {
  std::size_t index = 0;
  while (settings.peers[index].id != settings.id) {
    ++index;
  }
  return settings.peers[index];
}

int Run(const config::ControlSettings& settings, bool is_bootstrap) {
  consensus::Snapshot initial;
  if (is_bootstrap) {
    initial.membership = InitialMembership(settings);
  }
  Result<consensus::Storage> storage =
      consensus::Storage::Open(settings.data_folder, settings.id, initial);
  if (!storage.has_value()) {
    return app::ReportStartFailure(storage.error());
  }
  Result<consensus::PersistentState> state = storage->Load();
  if (!state.has_value()) {
    return app::ReportStartFailure(state.error());
  }
  if (storage->is_new() && !is_bootstrap) {
    observe::LogEvent(observe::Level::kWarn, "", "empty_data_folder",
                      {{"hint", "waiting to be added as a new control host"}});
  }
  consensus::Options options;
  options.id = settings.id;
  options.disk_id = storage->identity().disk_id;
  options.seed = RandomId();
  consensus::Node node(options, std::move(*state), Clock::now());

  boost::asio::io_context context;
  link::ChannelPool channels(context);
  link::Listener listener(context);
  observe::Metrics metrics;
  control::Replica replica(context, channels, std::move(*storage),
                           std::move(node), metrics);
  if (!replica.Restore()) {
    return app::ReportStartFailure({Reason::kTargetFailed, Step::kStorage,
                                    Outcome::kNotRun, settings.data_folder,
                                    "the snapshot cannot be read"});
  }
  control::Server server(context, settings, replica, metrics);
  control::OperatorApi operator_api(context, replica, server, metrics);
  replica.Start(listener);
  server.Start(listener);
  const Result<void> listening = listener.Start(OwnPeer(settings).link);
  if (!listening.has_value()) {
    return app::ReportStartFailure(listening.error());
  }
  observe::HttpServer http_server(
      [&operator_api](const observe::HttpCall& call) {
        return operator_api.Handle(call);
      });
  const Result<void> serving = http_server.Start(settings.common.http);
  if (!serving.has_value()) {
    return app::ReportStartFailure(serving.error());
  }
  app::OnStopSignal(context, [&context] { app::StopAfterDelay(context); });
  observe::LogEvent(observe::Level::kInfo, "", "started",
                    {{"link", ToString(OwnPeer(settings).link)},
                     {"http", ToString(settings.common.http)}});
  context.run();
  http_server.Stop();
  replica.Stop();
  observe::LogEvent(observe::Level::kInfo, "", "stopped");
  return app::kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv, kProgram, "control host of a gooseberryturn fleet", true);
  app::EndProcess(app::RunProgram<config::ControlSettings>(
      command_line, kProgram, config::ParseControlSettings,
      [&command_line](const config::ControlSettings& settings) {
        return Run(settings, command_line.bootstrap);
      }));
}
