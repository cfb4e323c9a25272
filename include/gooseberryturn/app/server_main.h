#ifndef GOOSEBERRYTURN_APP_SERVER_MAIN_H_
#define GOOSEBERRYTURN_APP_SERVER_MAIN_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "gooseberryturn/app/program.h"
#include "gooseberryturn/app/readiness.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::app {

/// \brief Runs an entry or an agent until it has shut down after SIGTERM or
/// SIGINT.
///
/// \details `Service` must provide Start, IsReady and Leave, which shuts down
/// and then calls its argument.
/// \returns The exit code.
template <typename Service, typename Settings>
[[nodiscard]] int RunServer(const Settings& settings) {
  boost::asio::io_context context;
  observe::Metrics metrics;
  Service service(context, settings, metrics);
  const Result<void> started = service.Start();
  if (!started.has_value()) {
    return ReportStartFailure(started.error());
  }
  ReadinessServer readiness(context, metrics,
                            [&service] { return service.IsReady(); });
  const Result<void> serving = readiness.Start(settings.common.http);
  if (!serving.has_value()) {
    return ReportStartFailure(serving.error());
  }
  OnStopSignal(context, [&service, &context] {
    service.Leave([&context] { StopAfterDelay(context); });
  });
  observe::LogEvent(observe::Level::kInfo, "", "started",
                    {{"http", ToString(settings.common.http)}});
  context.run();
  readiness.Stop();
  observe::LogEvent(observe::Level::kInfo, "", "stopped");
  return kExitOk;
}

}  // namespace gooseberryturn::app

#endif  // GOOSEBERRYTURN_APP_SERVER_MAIN_H_
