#ifndef GOOSEBERRYTURN_OBSERVE_HTTP_SERVER_H_
#define GOOSEBERRYTURN_OBSERVE_HTTP_SERVER_H_

#include <cxxtools/query_params.h>

#include <functional>
#include <memory>
#include <string>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/error.h"

namespace gooseberryturn::observe {

/// \brief An HTTP request with its whole body.
struct HttpCall {
  std::string method;
  std::string path;
  cxxtools::QueryParams query;
  std::string body;

  /// \brief Value of a query parameter, or an empty string if it is missing.
  [[nodiscard]] std::string Parameter(const std::string& name) const;
};

/// \brief An HTTP response with its whole body.
struct HttpAnswer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// \brief HTTP server for small requests, such as metrics and the operators'
/// API.
///
/// \details Runs in its own threads; the handler may be called on several at
/// once.
class HttpServer {
 public:
  using Handler = std::function<HttpAnswer(const HttpCall&)>;

  explicit HttpServer(Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// \brief Listens on `endpoint` and starts to serve; the error of a failure
  /// has Reason::kBadRequest.
  [[nodiscard]] Result<void> Start(const Endpoint& endpoint);
  /// \brief Ends the event loop and waits until its thread has ended.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace gooseberryturn::observe

#endif  // GOOSEBERRYTURN_OBSERVE_HTTP_SERVER_H_
