#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "gooseberryturn/agent/agent.h"
#include "gooseberryturn/app/program.h"
#include "gooseberryturn/app/readiness.h"
#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/observe/metrics.h"

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)

constexpr char kProgram[] = "gooseberryturn-agent";

int Run(const config::AgentSettings& settings) {
  boost::asio::io_context context;
  observe::Metrics metrics;
  agent::Agent agent(context, settings, metrics);
  const Result<void> started = agent.Start();
  if (!started.has_value()) {
    return app::Fail(started.error());
  }
  app::ReadinessServer readiness(context, metrics,
                                 [&agent] { return agent.IsReady(); });
  const Result<void> serving = readiness.Start(settings.common.http);
  if (!serving.has_value()) {
    return app::Fail(serving.error());
  }
  app::OnStopSignal(context, [&agent, &context] {
    agent.Leave([&context] { app::StopSoon(context); });
  });
  observe::LogEvent(observe::Level::kInfo, "", "started",
                    {{"link", ToString(settings.link)}});
  context.run();
  readiness.Stop();
  observe::LogEvent(observe::Level::kInfo, "", "stopped");
  return app::kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  const app::CommandLine line = app::ParseCommandLine(
      argc, argv, kProgram, "agent beside one target", false);
  return app::RunProgram<config::AgentSettings>(
      line, kProgram, config::ParseAgentSettings, Run);
}
