#include <boost/asio/io_context.hpp>
#include <memory>

#include "gooseberryturn/app/program.h"
#include "gooseberryturn/app/readiness.h"
#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/entry/entry.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/observe/metrics.h"

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)

constexpr char kProgram[] = "gooseberryturn-entry";

int Run(const config::EntrySettings& settings) {
  boost::asio::io_context context;
  observe::Metrics metrics;
  entry::Entry entry(context, settings, metrics);
  const Result<void> started = entry.Start();
  if (!started.has_value()) {
    return app::Fail(started.error());
  }
  app::ReadinessServer readiness(context, metrics,
                                 [&entry] { return entry.IsReady(); });
  const Result<void> serving = readiness.Start(settings.common.http);
  if (!serving.has_value()) {
    return app::Fail(serving.error());
  }
  app::OnStopSignal(context, [&entry, &context] {
    entry.Leave([&context] { app::StopSoon(context); });
  });
  observe::LogEvent(observe::Level::kInfo, "", "started",
                    {{"callers", ToString(settings.callers)}});
  context.run();
  readiness.Stop();
  observe::LogEvent(observe::Level::kInfo, "", "stopped");
  return app::kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  const app::CommandLine line =
      app::ParseCommandLine(argc, argv, kProgram, "entry for callers", false);
  return app::RunProgram<config::EntrySettings>(
      line, kProgram, config::ParseEntrySettings, Run);
}
