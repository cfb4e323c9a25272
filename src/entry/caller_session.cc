#include "gooseberryturn/entry/caller_session.h"

#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdio>
#include <sstream>
#include <utility>

#include "gooseberryturn/core/id.h"

namespace gooseberryturn::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr int kKernelBufferBytes = 16 * 1024;
constexpr char kEventStream[] = "text/event-stream";
constexpr char kTeamHeader[] = "Gooseberryturn-Team";
constexpr char kKeyHeader[] = "Idempotency-Key";

std::string HeadLines(int status, const std::string& content_type,
                      const std::string& request_id, bool keep_alive) {
  const http::status code = http::int_to_status(static_cast<unsigned>(status));
  std::string head = "HTTP/1.1 " + std::to_string(status) + " " +
                     std::string(http::obsolete_reason(code)) + "\r\n";
  if (!content_type.empty()) {
    head += "Content-Type: " + content_type + "\r\n";
  }
  head += "Gooseberryturn-Request-Id: " + request_id + "\r\n";
  head += keep_alive ? "Connection: keep-alive\r\n" : "Connection: close\r\n";
  return head;
}

}  // namespace

std::string RefusalJson(const Error& error, const std::string& request_id) {
  cxxtools::SerializationInfo tree;
  tree.addValue("reason", std::string(kReasonNames.Name(error.reason)));
  tree.addValue("outcome", std::string(kOutcomeNames.Name(error.outcome)));
  tree.addValue("step", std::string(kStepNames.Name(error.step)));
  tree.addValue("peer", error.peer);
  tree.addValue("message", error.message);
  tree.addValue("request_id", request_id);
  std::ostringstream out;
  cxxtools::JsonSerializer serializer(out);
  serializer.serialize(tree);
  serializer.finish();
  return out.str();
}

CallerSession::CallerSession(asio::ip::tcp::socket socket, CallerLimits limits,
                             observe::Metrics& metrics)
    : stream(std::move(socket)),
      read_timer(this->stream.get_executor()),
      limits(limits),
      metrics(metrics) {
  error_code ignored;
  this->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  // The kernel would otherwise buffer megabytes for a caller that reads slowly.
  this->stream.socket().set_option(
      asio::socket_base::send_buffer_size(kKernelBufferBytes), ignored);
  this->metrics.Add(observe::Metric::kConnections);
}

CallerSession::~CallerSession() {
  this->metrics.Add(observe::Metric::kConnections, -1);
}

void CallerSession::Start() { this->ReadHeader(); }

// ------------------------------------------------------------------ reading

void CallerSession::ReadHeader() {
  this->parser.emplace();
  this->parser->header_limit(
      static_cast<std::uint32_t>(this->limits.max_header_bytes));
  this->parser->body_limit(this->limits.max_body_bytes);
  this->request_id = RandomName();
  this->StartReadTimer(this->limits.header_timeout);
  const std::shared_ptr<CallerSession> self = this->shared_from_this();
  http::async_read_header(this->stream, this->buffer, *this->parser,
                          [self](error_code error, std::size_t /*size*/) {
                            if (error) {
                              self->OnReadError(error);
                            } else {
                              self->ReadBody();
                            }
                          });
}

void CallerSession::WaitForNext() {
  if (this->buffer.size() > 0) {
    this->ReadHeader();
    return;
  }
  // A connection at rest may stay longer than a request may take to arrive.
  this->StartReadTimer(kIdleLimit);
  const std::shared_ptr<CallerSession> self = this->shared_from_this();
  this->stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                   [self](const error_code& error) {
                                     if (error) {
                                       self->read_timer.cancel();
                                       self->CloseSocket();
                                     } else {
                                       self->ReadHeader();
                                     }
                                   });
}

void CallerSession::StartReadTimer(Duration limit) {
  this->is_read_late = false;
  this->read_timer.expires_after(limit);
  const std::weak_ptr<CallerSession> weak = this->weak_from_this();
  this->read_timer.async_wait([weak](const error_code& error) {
    const std::shared_ptr<CallerSession> self = weak.lock();
    if (!error && self != nullptr) {
      self->is_read_late = true;
      error_code ignored;
      self->stream.socket().cancel(ignored);
    }
  });
}

void CallerSession::ReadBody() {
  this->keep_alive = this->parser->get().keep_alive();
  const std::shared_ptr<CallerSession> self = this->shared_from_this();
  http::async_read(this->stream, this->buffer, *this->parser,
                   [self](error_code error, std::size_t /*size*/) {
                     if (error) {
                       self->OnReadError(error);
                     } else {
                       self->OnParsed();
                     }
                   });
}

void CallerSession::OnReadError(const error_code& error) {
  const bool is_too_large = error == http::error::body_limit ||
                            error == http::error::header_limit ||
                            error == http::error::buffer_overflow;
  const bool has_begun = this->parser->got_some() || this->buffer.size() > 0;
  const bool is_bad =
      error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message;
  this->read_timer.cancel();
  this->keep_alive = false;
  if (is_too_large) {
    this->Refuse({Reason::kTooLarge, Step::kAccept, Outcome::kNotRun, "caller",
                  "the header or body is too long"});
  } else if (this->is_read_late && has_begun) {
    this->Refuse({Reason::kSlowCaller, Step::kAccept, Outcome::kNotRun,
                  "caller", "the request did not arrive in time"});
  } else if (is_bad) {
    this->Refuse({Reason::kBadRequest, Step::kAccept, Outcome::kNotRun,
                  "caller", "not HTTP: " + error.message()});
  } else {
    this->CloseSocket();
  }
}

void CallerSession::OnParsed() {
  this->read_timer.cancel();
  this->in_request = true;
  const http::request<http::string_body>& message = this->parser->get();
  CallerRequest request;
  request.id = this->request_id;
  request.method = std::string(message.method_string());
  request.path = std::string(message.target());
  request.team = std::string(message[kTeamHeader]);
  request.key = std::string(message[kKeyHeader]);
  request.content_type = std::string(message[http::field::content_type]);
  request.body = std::move(this->parser->get().body());
  this->WatchCaller();
  this->on_request(this->shared_from_this(), request);
}

void CallerSession::WatchCaller() {
  const std::weak_ptr<CallerSession> weak = this->weak_from_this();
  this->stream.socket().async_wait(
      asio::ip::tcp::socket::wait_read, [weak](const error_code& error) {
        const std::shared_ptr<CallerSession> self = weak.lock();
        if (self == nullptr || error || !self->in_request || self->closed) {
          return;
        }
        char byte = 0;
        const ssize_t size = recv(self->stream.socket().native_handle(), &byte,
                                  1, MSG_PEEK | MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno != EAGAIN)) {
          self->Gone();
        }
        // Otherwise the next request is already here; it waits its turn.
      });
}

// ------------------------------------------------------------------ writing

void CallerSession::Queue(std::string_view bytes) {
  this->pending.append(bytes);
  this->Write();
}

void CallerSession::Write() {
  if (!this->writing.empty() || this->closed) {
    return;
  }
  if (this->pending.empty()) {
    if (this->closes_after_write) {
      this->CloseSocket();
    } else if (this->ends_after_write) {
      this->EndRequest();
    }
    return;
  }
  this->writing.swap(this->pending);
  this->writing_piece_bytes = this->piece_bytes;
  this->piece_bytes = 0;
  this->stream.expires_after(this->limits.write_timeout);
  const std::shared_ptr<CallerSession> self = this->shared_from_this();
  asio::async_write(this->stream, asio::buffer(this->writing),
                    [self](error_code error, std::size_t /*size*/) {
                      if (error) {
                        self->metrics.CountRefusal(Reason::kSlowCaller);
                        self->Gone();
                        return;
                      }
                      self->OnWritten();
                    });
}

void CallerSession::OnWritten() {
  this->stream.expires_never();
  const std::size_t pieces = this->writing_piece_bytes;
  this->writing.clear();
  this->writing_piece_bytes = 0;
  if (pieces > 0 && this->on_written) {
    this->on_written(pieces);
  }
  this->Write();
}

void CallerSession::Answer(int status, const std::string& content_type,
                           const std::string& body,
                           const std::string& extra_headers) {
  std::string text =
      HeadLines(status, content_type, this->request_id, this->keep_alive);
  text += extra_headers;
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  this->ends_after_write = true;
  this->Queue(text);
}

void CallerSession::Refuse(const Error& error) {
  this->metrics.CountRefusal(error.reason);
  const int retry_after = RetryAfterSeconds(error.reason);
  std::string extra;
  if (retry_after > 0) {
    extra = "Retry-After: " + std::to_string(retry_after) + "\r\n";
  }
  this->Answer(StatusOf(error.reason), "application/json",
               RefusalJson(error, this->request_id) + "\n", extra);
}

void CallerSession::StartStream(int status, const std::string& content_type) {
  this->is_stream_started = true;
  this->stream_type = content_type;
  this->Queue(
      HeadLines(status, content_type, this->request_id, this->keep_alive) +
      "Transfer-Encoding: chunked\r\n\r\n");
}

void CallerSession::SendPiece(std::string_view bytes) {
  char size_line[24];
  std::snprintf(size_line, sizeof(size_line), "%zx\r\n", bytes.size());
  this->pending.append(size_line);
  this->pending.append(bytes);
  this->pending.append("\r\n");
  this->piece_bytes += bytes.size();
  this->Write();
}

void CallerSession::FinishStream() {
  this->ends_after_write = true;
  this->Queue("0\r\n\r\n");
}

void CallerSession::BreakStream(const Error& error) {
  this->metrics.CountRefusal(error.reason);
  this->closes_after_write = true;
  if (this->stream_type.rfind(kEventStream, 0) == 0) {
    this->SendPiece(
        "event: error\ndata: " + RefusalJson(error, this->request_id) + "\n\n");
  } else {
    this->Write();
  }
}

// ------------------------------------------------------------------- ending

void CallerSession::EndRequest() {
  this->in_request = false;
  this->ends_after_write = false;
  this->is_stream_started = false;
  this->on_written = nullptr;
  this->on_gone = nullptr;
  const bool goes_on =
      this->keep_alive && !(this->is_closing && this->is_closing());
  error_code ignored;
  this->stream.socket().cancel(ignored);
  if (goes_on) {
    this->WaitForNext();
  } else {
    this->CloseSocket();
  }
}

void CallerSession::Gone() {
  const std::function<void()> hook = std::move(this->on_gone);
  this->on_gone = nullptr;
  this->CloseSocket();
  if (hook) {
    hook();
  }
}

void CallerSession::CloseSocket() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->on_written = nullptr;
  this->on_gone = nullptr;
  error_code ignored;
  this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  this->stream.socket().close(ignored);
}

}  // namespace gooseberryturn::entry
