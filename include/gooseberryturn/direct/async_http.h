#ifndef GOOSEBERRYTURN_DIRECT_ASYNC_HTTP_H_
#define GOOSEBERRYTURN_DIRECT_ASYNC_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/dialect.h"

namespace gooseberryturn::direct {

/// \brief A header of a short call or answer.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// \brief A short HTTP answer with its whole body.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// \brief Serves short calls over HTTP/1.1 in the thread of the context.
///
/// \details Unlike observe::HttpServer the handler may answer later, and no
/// thread waits for it.
class AsyncHttpServer {
 public:
  using Reply = std::function<void(HttpResponse)>;
  using Handler = std::function<void(HttpRequest, Reply)>;

  AsyncHttpServer(boost::asio::io_context& context, Handler handler);

  /// \brief Listens and starts to serve.
  [[nodiscard]] Result<void> Start(const Endpoint& endpoint);
  /// \brief Takes no new connections.
  void Stop();

  static constexpr std::size_t kMaxBodyBytes = 8U * 1024U * 1024U;
  static constexpr Duration kIdleLimit = std::chrono::seconds(30);

 private:
  void Accept();

  boost::asio::io_context& context;
  std::shared_ptr<Handler> handler;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
};

/// \brief Makes one short call over a connection of its own.
/// \param on_answer Gets the answer, or an error once `deadline` has passed
/// or the connection broke.
void SendHttpRequest(boost::asio::io_context& context, const Endpoint& peer,
                     const HttpRequest& call,
                     const std::vector<HttpHeader>& headers, TimePoint deadline,
                     std::function<void(Result<HttpResponse>)> on_answer);

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_ASYNC_HTTP_H_
