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
/// \details Readiness is asked in the link thread and read by the HTTP
/// threads.
class ReadinessServer {
 public:
  ReadinessServer(boost::asio::io_context& context, observe::Metrics& metrics,
                  std::function<bool()> is_ready);

  [[nodiscard]] Result<void> Start(const Endpoint& endpoint);
  void Stop();

 private:
  void Tick();
  [[nodiscard]] observe::HttpAnswer Handle(const observe::HttpCall& call);

  boost::asio::steady_timer timer;
  observe::Metrics& metrics;
  std::function<bool()> is_ready;
  std::atomic<bool> ready = false;
  observe::HttpServer server;
};

/// \brief Logs an error that prevents the start; returns the exit code.
[[nodiscard]] int ReportStartFailure(const Error& error);

/// \brief Stops the context after what is queued for the links was sent.
void StopAfterDelay(boost::asio::io_context& context);

}  // namespace gooseberryturn::app

#endif  // GOOSEBERRYTURN_APP_READINESS_H_
