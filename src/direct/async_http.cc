#include "gooseberryturn/direct/async_http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "gooseberryturn/link/deadline_timer.h"
#include "gooseberryturn/link/listener.h"

namespace gooseberryturn::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// A connection to an AsyncHttpServer.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
 public:
  ServerSession(tcp::socket socket,
                std::shared_ptr<AsyncHttpServer::Handler> handler,
                const HttpServerLimits& limits)
      : socket(std::move(socket)),
        timer(this->socket.get_executor()),
        handler(std::move(handler)),
        limits(limits) {}

  void Read() {
    this->parser.emplace();
    this->parser->body_limit(this->limits.max_body_bytes);
    const std::shared_ptr<ServerSession> self = this->shared_from_this();
    this->timer.Set(Clock::now() + this->limits.idle_timeout,
                    [this] { this->Close(); });
    http::async_read(this->socket, this->buffer, *this->parser,
                     [self](error_code error, std::size_t /*size*/) {
                       self->timer.Cancel();
                       self->OnRead(error);
                     });
  }

 private:
  void OnRead(const error_code& error) {
    if (error == http::error::body_limit) {
      this->Respond({413, "application/json", "{}"}, false);
      return;
    }
    if (error) {
      this->Close();
      return;
    }
    const http::request<http::string_body>& message = this->parser->get();
    HttpRequest call;
    call.method = std::string(message.method_string());
    call.path = std::string(message.target());
    call.body = message.body();
    const bool keep_alive = message.keep_alive();
    const std::shared_ptr<ServerSession> self = this->shared_from_this();
    (*this->handler)(std::move(call), [self, keep_alive](HttpResponse reply) {
      self->Respond(std::move(reply), keep_alive);
    });
  }

  void Respond(HttpResponse reply, bool keep_alive) {
    if (!this->socket.is_open()) {
      return;
    }
    this->response = {};
    this->response.result(static_cast<unsigned>(reply.status));
    this->response.version(11);
    this->response.set(http::field::content_type, reply.content_type);
    this->response.keep_alive(keep_alive);
    this->response.body() = std::move(reply.body);
    this->response.prepare_payload();
    const std::shared_ptr<ServerSession> self = this->shared_from_this();
    http::async_write(this->socket, this->response,
                      [self, keep_alive](error_code error, std::size_t) {
                        if (error || !keep_alive) {
                          self->Close();
                        } else {
                          self->Read();
                        }
                      });
  }

  void Close() {
    error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
  }

  tcp::socket socket;
  link::DeadlineTimer timer;
  std::shared_ptr<AsyncHttpServer::Handler> handler;
  HttpServerLimits limits;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  http::response<http::string_body> response;
};

Error MakeError(const Endpoint& peer, Outcome outcome,
                const std::string& message) {
  return {Reason::kTargetFailed, Step::kConnect, outcome, ToString(peer),
          message};
}

/// The request of one SendHttpRequest call.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(asio::io_context& context, Endpoint peer,
                std::function<void(Result<HttpResponse>)> on_response)
      : peer(std::move(peer)),
        socket(context),
        timer(context),
        on_response(std::move(on_response)) {}

  void Start(const HttpRequest& call, const std::vector<HttpHeader>& headers,
             TimePoint deadline) {
    this->request.method_string(call.method);
    this->request.target(call.path);
    this->request.version(11);
    this->request.set(http::field::host, ToString(this->peer));
    for (const HttpHeader& header : headers) {
      this->request.set(header.name, header.value);
    }
    if (!call.body.empty()) {
      this->request.set(http::field::content_type, "application/json");
      this->request.body() = call.body;
    }
    this->request.keep_alive(false);
    this->request.prepare_payload();
    const std::shared_ptr<ClientSession> self = this->shared_from_this();
    this->timer.expires_after(deadline - Clock::now());
    this->timer.async_wait([self](error_code error) {
      if (!error) {
        self->Finish(tl::make_unexpected(
            MakeError(self->peer, Outcome::kUnknown, "no response in time")));
      }
    });
    error_code bad_address;
    const tcp::endpoint target(
        asio::ip::make_address(this->peer.address, bad_address),
        this->peer.port);
    if (bad_address) {
      this->Fail(Outcome::kNotRun, bad_address);
      return;
    }
    this->socket.async_connect(target, [self](error_code error) {
      if (error) {
        self->Fail(Outcome::kNotRun, error);
      } else {
        self->Write();
      }
    });
  }

 private:
  void Write() {
    const std::shared_ptr<ClientSession> self = this->shared_from_this();
    http::async_write(this->socket, this->request,
                      [self](error_code error, std::size_t /*size*/) {
                        if (error) {
                          self->Fail(Outcome::kUnknown, error);
                        } else {
                          self->Read();
                        }
                      });
  }

  void Read() {
    const std::shared_ptr<ClientSession> self = this->shared_from_this();
    http::async_read(this->socket, this->buffer, this->response,
                     [self](error_code error, std::size_t /*size*/) {
                       if (error) {
                         self->Fail(Outcome::kUnknown, error);
                       } else {
                         self->Finish(HttpResponse{
                             static_cast<int>(self->response.result_int()), "",
                             std::move(self->response.body())});
                       }
                     });
  }

  void Fail(Outcome outcome, const error_code& error) {
    this->Finish(
        tl::make_unexpected(MakeError(this->peer, outcome, error.message())));
  }

  void Finish(Result<HttpResponse> result) {
    if (!this->on_response) {
      return;
    }
    const std::function<void(Result<HttpResponse>)> done =
        std::exchange(this->on_response, nullptr);
    this->timer.cancel();
    error_code ignored;
    this->socket.close(ignored);
    done(std::move(result));
  }

  Endpoint peer;
  tcp::socket socket;
  asio::steady_timer timer;
  std::function<void(Result<HttpResponse>)> on_response;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  http::response<http::string_body> response;
};

}  // namespace

AsyncHttpServer::AsyncHttpServer(asio::io_context& context, Handler handler,
                                 const HttpServerLimits& limits)
    : context(context),
      handler(std::make_shared<Handler>(std::move(handler))),
      limits(limits) {}

Result<void> AsyncHttpServer::Start(const Endpoint& endpoint) {
  Result<tcp::acceptor> opened = link::Listen(this->context, endpoint);
  if (!opened.has_value()) {
    return tl::make_unexpected(opened.error());
  }
  this->acceptor = std::make_unique<tcp::acceptor>(std::move(*opened));
  this->Accept();
  return {};
}

void AsyncHttpServer::Stop() {
  if (this->acceptor != nullptr) {
    error_code ignored;
    this->acceptor->close(ignored);
  }
}

void AsyncHttpServer::Accept() {
  this->acceptor->async_accept([this](error_code error, tcp::socket socket) {
    if (!this->acceptor->is_open()) {
      return;
    }
    if (!error) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<ServerSession>(std::move(socket), this->handler,
                                      this->limits)
          ->Read();
    }
    this->Accept();
  });
}

void SendHttpRequest(asio::io_context& context, const Endpoint& peer,
                     const HttpRequest& call,
                     const std::vector<HttpHeader>& headers, TimePoint deadline,
                     std::function<void(Result<HttpResponse>)> on_response) {
  std::make_shared<ClientSession>(context, peer, std::move(on_response))
      ->Start(call, headers, deadline);
}

}  // namespace gooseberryturn::direct
