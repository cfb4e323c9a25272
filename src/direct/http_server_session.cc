#include "gooseberryturn/direct/http_server_session.h"

#include <poll.h>
#include <sys/socket.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <string>
#include <utility>

#include "gooseberryturn/core/http_status.h"

namespace gooseberryturn::direct {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kBadRequest = 400;
constexpr int kTooLarge = 413;
constexpr int kFieldsTooLarge = 431;
constexpr int kServerError = 500;
constexpr int kNotImplemented = 501;
constexpr int kUnavailable = 503;
constexpr std::size_t kDropBytes = 16U * 1024U;
constexpr std::size_t kReadBufferBytes = 16U * 1024U;

}  // namespace

HttpServerSession::HttpServerSession(
    tcp::socket socket, std::shared_ptr<AsyncHttpServer::Handler> handler,
    const HttpServerLimits& limits)
    : socket(std::move(socket)),
      timer(this->socket.get_executor()),
      handler(std::move(handler)),
      limits(limits),
      buffer(kReadBufferBytes),
      share(limits.budget) {}

void HttpServerSession::Read() {
  this->state = State::kReading;
  this->share.Release();
  this->parser.emplace();
  this->parser->body_limit(this->limits.max_body_bytes);
  this->timer.Set(Clock::now() + this->limits.idle_timeout,
                  [this] { this->CloseIfUnused(); });
  const std::shared_ptr<HttpServerSession> self = this->shared_from_this();
  link::ReadMessage<true>(
      this->socket, this->buffer, *this->parser, this->share,
      [self](const error_code& error) { self->OnRead(error); });
}

void HttpServerSession::Leave() {
  this->is_leaving = true;
  if (this->state == State::kReading) {
    this->timer.Set(Clock::now() + this->limits.leave_timeout,
                    [this] { this->CloseIfUnused(); });
  }
}

void HttpServerSession::CloseIfUnused() {
  error_code ignored;
  const bool has_input = this->parser->got_some() || this->buffer.size() > 0 ||
                         this->socket.available(ignored) > 0;
  if (has_input) {
    this->timer.Set(Clock::now() + this->limits.idle_timeout,
                    [this] { this->Close(); });
  } else {
    this->Close();
  }
}

void HttpServerSession::OnRead(const error_code& error) {
  if (this->state != State::kReading) {
    return;
  }
  this->timer.Cancel();
  this->state = State::kAnswering;
  if (error == http::error::body_limit) {
    this->Respond({kTooLarge, "application/json", "{}"}, false);
    return;
  }
  if (error == boost::asio::error::no_memory) {
    this->Respond({kUnavailable, "application/json", "{}"}, false);
    return;
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    this->Respond({kFieldsTooLarge, "application/json", "{}"}, false);
    return;
  }
  if (error == http::error::bad_transfer_encoding ||
      error == http::error::bad_content_length) {
    this->Respond({kBadRequest, "application/json", "{}"}, false);
    return;
  }
  if (error == link::kUnknownTransferCoding) {
    this->Respond({kNotImplemented, "application/json", "{}"}, false);
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
  const std::shared_ptr<HttpServerSession> self = this->shared_from_this();
  const AsyncHttpServer::Reply reply(
      [self, keep_alive](HttpResponse answer) {
        self->Respond(std::move(answer), keep_alive);
      },
      [self] { return self->IsAwaited(); });
  (*this->handler)(std::move(call), reply);
}

bool HttpServerSession::IsAwaited() {
  if (this->state != State::kAnswering) {
    return false;
  }
  pollfd descriptor = {this->socket.native_handle(), POLLIN | POLLRDHUP, 0};
  const int ready = poll(&descriptor, 1, 0);
  if (ready > 0 &&
      (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
    return false;
  }
  char byte = 0;
  const ssize_t size =
      recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size > 0 || (size < 0 && errno == EAGAIN);
}

void HttpServerSession::Respond(HttpResponse reply, bool keep_alive) {
  if (this->state != State::kAnswering) {
    return;
  }
  this->state = State::kWriting;
  keep_alive = keep_alive && !this->is_leaving;
  // It may be another host's; the library throws for one that is no status.
  if (!IsFinalHttpStatus(reply.status)) {
    reply.status = kServerError;
  }
  this->response = {};
  this->response.result(static_cast<unsigned>(reply.status));
  this->response.version(11);
  this->response.set(http::field::content_type, reply.content_type);
  this->response.keep_alive(keep_alive);
  this->response.body() = std::move(reply.body);
  this->response.prepare_payload();
  this->timer.Set(Clock::now() + this->limits.write_timeout,
                  [this] { this->Close(); });
  const std::shared_ptr<HttpServerSession> self = this->shared_from_this();
  http::async_write(this->socket, this->response,
                    [self, keep_alive](error_code error, std::size_t) {
                      self->OnWritten(error, keep_alive);
                    });
}

void HttpServerSession::OnWritten(const error_code& error, bool keep_alive) {
  if (this->state != State::kWriting) {
    return;
  }
  this->timer.Cancel();
  if (error) {
    this->Close();
  } else if (keep_alive) {
    this->Read();
    if (this->is_leaving) {
      this->Leave();
    }
  } else {
    this->Linger();
  }
}

void HttpServerSession::Linger() {
  this->state = State::kLingering;
  error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  this->timer.Set(Clock::now() + this->limits.linger_timeout,
                  [this] { this->Close(); });
  this->dropped.resize(kDropBytes);
  this->Drop();
}

void HttpServerSession::Drop() {
  const std::shared_ptr<HttpServerSession> self = this->shared_from_this();
  this->socket.async_read_some(
      boost::asio::buffer(this->dropped),
      [self](error_code error, std::size_t size) {
        if (self->state != State::kLingering) {
          return;
        }
        self->dropped_bytes += size;
        if (error || self->dropped_bytes > self->limits.max_linger_bytes) {
          self->Close();
        } else {
          self->Drop();
        }
      });
}

void HttpServerSession::Close() {
  if (this->state == State::kClosed) {
    return;
  }
  this->state = State::kClosed;
  const std::shared_ptr<HttpServerSession> self = this->shared_from_this();
  this->timer.Cancel();
  error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
  if (this->on_closed) {
    this->on_closed(self);
  }
}

}  // namespace gooseberryturn::direct
