#include "../../platform/run.h"
#include "gooseberryturn/direct/control_host.h"

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)

int Run(const direct::HostSettings& settings) {
  boost::asio::io_context context(1);
  observe::Metrics metrics;
  direct::ControlHost control(context, settings, platform::MakeDialect(),
                              metrics);
  const Result<void> started = control.Start();
  if (!started.has_value()) {
    return app::Fail(started.error());
  }
  app::OnStopSignal(context, [&control, &context] {
    control.Stop();
    context.stop();
  });
  const platform::SettingsWatch watch(
      context, [&control](const direct::HostSettings& changed) {
        control.Reload(changed);
      });
  platform::LogStarted(settings);
  context.run();
  observe::LogEvent(observe::Level::kInfo, "", "stopped");
  return app::kExitOk;
}

}  // namespace

int main(int argc, char** argv) {
  return platform::Main(argc, argv, "gooseberryturn-direct-control",
                        "control host of a fleet without agents", Run);
}
