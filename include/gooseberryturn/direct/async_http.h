#ifndef GOOSEBERRYTURN_DIRECT_ASYNC_HTTP_H_
#define GOOSEBERRYTURN_DIRECT_ASYNC_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "gooseberryturn/core/byte_budget.h"
#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/link/deadline_timer.h"

namespace gooseberryturn::direct {

/// \brief A header of an HTTP request.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// \brief An HTTP response with its whole body.
struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  /// Of a response that was received; not sent.
  std::vector<HttpHeader> headers = {};

  /// \brief The value of a header of a response that was received, or an empty
  /// string. Ignores the case of its name.
  [[nodiscard]] std::string Header(const std::string& name) const;
};

/// \brief Takes the answer to a call, once.
class HttpReply {
 public:
  HttpReply() = default;
  /// \param is_awaited Tells whether the caller still waits; always, if empty.
  HttpReply(std::function<void(HttpResponse)> send,
            std::function<bool()> is_awaited)
      : send(std::move(send)), is_awaited(std::move(is_awaited)) {}
  /// \brief Takes a function, for a caller that waits in any case.
  template <typename Send, typename = std::enable_if_t<
                               std::is_invocable_v<Send&, HttpResponse> &&
                               !std::is_same_v<std::decay_t<Send>, HttpReply>>>
  HttpReply(Send send)  // NOLINT: stands for the function
      : send(std::move(send)) {}

  void operator()(HttpResponse response) const {
    this->send(std::move(response));
  }
  /// \brief False once the caller is known to have closed its connection.
  [[nodiscard]] bool IsAwaited() const {
    return !this->is_awaited || this->is_awaited();
  }

 private:
  std::function<void(HttpResponse)> send;
  std::function<bool()> is_awaited;
};

class HttpServerSession;

/// \brief Limits of an AsyncHttpServer.
struct HttpServerLimits {
  std::size_t max_body_bytes = 8U * 1024U * 1024U;
  /// Bounds the bodies of all calls that are read or answered; none, if null.
  std::shared_ptr<ByteBudget> budget = nullptr;
  /// Longest time until the next request was read.
  Duration idle_timeout = std::chrono::seconds(30);
  /// Longest time until an answer was written.
  Duration write_timeout = std::chrono::seconds(30);
  /// After its last answer a connection is read, and what comes is dropped,
  /// until the caller closes it or one of these is reached.
  Duration linger_timeout = std::chrono::seconds(1);
  std::size_t max_linger_bytes = 16U * 1024U * 1024U;
  /// A stopping server waits this long for calls that are on their way.
  Duration leave_timeout = std::chrono::milliseconds(200);
};

/// \brief HTTP/1.1 server that runs on the thread of its io_context.
///
/// \details Unlike with observe::HttpServer, the handler may reply later and
/// blocks no thread until then.
class AsyncHttpServer {
 public:
  using Reply = HttpReply;
  using Handler = std::function<void(HttpRequest, Reply)>;

  /// Without a budget in `limits`, all calls together are limited to
  /// kMaxHeldBytes.
  AsyncHttpServer(boost::asio::io_context& context, Handler handler,
                  const HttpServerLimits& limits = {});

  static constexpr std::size_t kMaxHeldBytes = 32U * 1024U * 1024U;

  /// \brief Starts to listen on `endpoint`.
  [[nodiscard]] Result<void> Start(const Endpoint& endpoint);
  /// \brief Stops accepting connections and ends the open ones: those with a
  /// call after its answer, the others when no call arrives soon.
  /// \param on_stopped Called once, when no connection is open or at
  /// `deadline`.
  void Stop(TimePoint deadline, std::function<void()> on_stopped);

 private:
  using Session = std::shared_ptr<HttpServerSession>;

  void Accept();
  /// Accepts the connections that wait in the queue of the kernel: closing the
  /// acceptor would reset them.
  void AcceptBacklog();
  void AddSession(boost::asio::ip::tcp::socket socket);
  void OnSessionClosed(const Session& session);
  void FinishStop();

  boost::asio::io_context& context;
  std::shared_ptr<Handler> handler;
  HttpServerLimits limits;
  std::set<Session> sessions;
  link::DeadlineTimer stop_timer;
  bool is_stopping = false;
  std::function<void()> on_stopped;  ///< Empty once it was called.
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
};

/// \brief Sends one HTTP request over a new connection.
/// \param on_response Receives the response, or an error when `deadline` passes
/// or the connection fails.
/// \param may_send Asked once connected, right before the request is written;
/// if it says no, the request is not sent. With this function a request that is
/// given up is also discarded by the kernel, which would otherwise go on to
/// transmit what is in its send buffer.
void SendHttpRequest(boost::asio::io_context& context, const Endpoint& peer,
                     const HttpRequest& call,
                     const std::vector<HttpHeader>& headers, TimePoint deadline,
                     std::function<void(Result<HttpResponse>)> on_response,
                     std::function<bool()> may_send = nullptr);

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_ASYNC_HTTP_H_
