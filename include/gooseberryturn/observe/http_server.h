#ifndef GOOSEBERRYTURN_OBSERVE_HTTP_SERVER_H_
#define GOOSEBERRYTURN_OBSERVE_HTTP_SERVER_H_

#include <cxxtools/query_params.h>

#include <functional>
#include <memory>
#include <string>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/error.h"

namespace gooseberryturn::observe {

/// \brief A short HTTP request with its whole body.
struct HttpCall {
  std::string method;
  std::string path;
  cxxtools::QueryParams query;
  std::string body;

  /// \brief Value of a query parameter, empty when it is missing.
  [[nodiscard]] std::string Parameter(const std::string& name) const;
};

/// \brief A short HTTP answer with its whole body.
struct HttpAnswer {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// \brief Serves whole short answers over HTTP in threads of its own.
class HttpServer {
 public:
  using Handler = std::function<HttpAnswer(const HttpCall&)>;

  explicit HttpServer(Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// \brief Listens and starts to serve.
  [[nodiscard]] Result<void> Start(const Endpoint& endpoint);
  /// \brief Stops serving and waits for its threads.
  void Stop();

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace gooseberryturn::observe

#endif  // GOOSEBERRYTURN_OBSERVE_HTTP_SERVER_H_
