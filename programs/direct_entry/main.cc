#include "../../platform/run.h"
#include "gooseberryturn/direct/entry_host.h"

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)

int Run(const direct::HostSettings& settings) {
  boost::asio::io_context context(1);
  observe::Metrics metrics;
  direct::EntryHost entry(context, settings, platform::MakeDialect(), metrics);
  const Result<void> started = entry.Start();
  if (!started.has_value()) {
    return app::Fail(started.error());
  }
  app::OnStopSignal(context, [&entry, &context] {
    entry.Leave([&context] { app::StopSoon(context); });
  });
  const platform::SettingsWatch watch(
      context,
      [&entry](const direct::HostSettings& changed) { entry.Reload(changed); });
  platform::LogStarted(settings);
  context.run();
  observe::LogEvent(observe::Level::kInfo, "", "stopped");
  return app::kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  return platform::Main(argc, argv, "gooseberryturn-direct-entry",
                        "entry that reaches targets without agents", Run);
}
