#ifndef GOOSEBERRYTURN_APP_READINESS_H_
#define GOOSEBERRYTURN_APP_READINESS_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "gooseberryturn/observe/http_server.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::app {

/// \brief Serves /metrics, /ready and /live of an entry or agent.
///
/// \details `is_ready` is polled in the thread of the context; the HTTP threads
/// read the result of the last poll. /ready answers 200 when ready, otherwise
/// 503.
class ReadinessServer {
 public:
  ReadinessServer(boost::asio::io_context& context, observe::Metrics& metrics,
                  std::function<bool()> is_ready);

  /// \brief Polls `is_ready` once and listens on `endpoint`.
  [[nodiscard]] Result<void> Start(const Endpoint& endpoint);
  /// \brief Stops the HTTP server; polling goes on while the context runs.
  void Stop();

 private:
  void UpdateReadiness();
  [[nodiscard]] observe::HttpAnswer Handle(const observe::HttpCall& call);

  boost::asio::steady_timer timer;
  observe::Metrics& metrics;
  std::function<bool()> is_ready;
  std::atomic<bool> cached_ready = false;
  observe::HttpServer server;
};

/// \brief Logs an error that prevents the program from starting.
/// \returns The exit code.
[[nodiscard]] int ReportStartFailure(const Error& error);

/// \brief Stops the context after a short delay, in which messages queued on
/// the links are sent.
void StopAfterDelay(boost::asio::io_context& context);

}  // namespace gooseberryturn::app

#endif  // GOOSEBERRYTURN_APP_READINESS_H_
