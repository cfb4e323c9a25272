#include "gooseberryturn/entry/caller_session.h"

#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <sstream>
#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/link/message_head.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Lower bound of what is read at once, whatever the limit for heads is.
constexpr std::size_t kMinReadBufferBytes = 16U * 1024U;

constexpr Duration kCancelInterval = std::chrono::milliseconds(20);
constexpr Duration kLingerTime = std::chrono::seconds(1);
constexpr std::size_t kDropBytes = 16U * 1024U;
constexpr std::size_t kMaxDroppedBytes = 1024U * 1024U;
constexpr int kSendBufferBytes = 16 * 1024;
constexpr char kEventStream[] = "text/event-stream";
constexpr char kTeamHeader[] = "Gooseberryturn-Team";
constexpr char kKeyHeader[] = "Idempotency-Key";

std::string FormatHead(int status, const std::string& content_type,
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
  // By default the kernel would buffer megabytes for a slow reader.
  this->stream.socket().set_option(
      asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
  this->metrics.Add(observe::Metric::kConnections);
}

CallerSession::~CallerSession() {
  if (this->in_request) {
    this->CheckAnsweredOrTold();
  }
  this->metrics.Add(observe::Metric::kConnections, -1);
}

void CallerSession::Start() { this->ReadHeader(); }

// ------------------------------------------------------------------ reading

void CallerSession::ReadHeader() {
  this->parser.emplace();
  this->parser->header_limit(link::HeaderLimit(this->limits.max_header_bytes));
  this->buffer.SetLimit(
      std::max(this->limits.max_header_bytes, kMinReadBufferBytes));
  this->parser->body_limit(this->limits.max_body_bytes);
  this->request_id = RandomHexId();
  this->StartReadTimer(this->limits.header_timeout);
  const std::shared_ptr<CallerSession> self = this->shared_from_this();
  http::async_read_header(this->stream, this->buffer, *this->parser,
                          [self](error_code error, std::size_t /*size*/) {
                            if (!error) {
                              error = link::CheckHead(self->parser->get());
                            }
                            if (error) {
                              self->OnReadError(error);
                            } else {
                              self->ReadBody();
                            }
                          });
}

void CallerSession::WaitForNextRequest() {
  if (this->buffer.size() > 0) {
    this->ReadHeader();
    return;
  }
  // Until the next request begins, the idle timeout applies.
  this->read_timer.Set(Clock::now() + this->limits.idle_timeout,
                       [this] { this->OnIdleTimeout(); });
  const std::shared_ptr<CallerSession> self = this->shared_from_this();
  this->stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                   [self](const error_code& error) {
                                     // Input may come after the end of the
                                     // idle time has cancelled the wait.
                                     if (error && !self->HasInput()) {
                                       self->read_timer.Cancel();
                                       self->CloseSocket();
                                     } else {
                                       self->ReadHeader();
                                     }
                                   });
}

void CallerSession::StartReadTimer(Duration timeout) {
  this->is_read_timed_out = false;
  this->read_timer.Set(Clock::now() + timeout,
                       [this] { this->OnReadTimeout(); });
}

void CallerSession::OnReadTimeout() {
  this->is_read_timed_out = true;
  error_code ignored;
  this->stream.socket().cancel(ignored);
  // Between two reads of one request there was nothing to cancel.
  this->read_timer.Set(Clock::now() + kCancelInterval,
                       [this] { this->OnReadTimeout(); });
}

bool CallerSession::HasInput() {
  error_code ignored;
  return this->stream.socket().available(ignored) > 0;
}

void CallerSession::OnIdleTimeout() {
  // A request that has arrived already is answered.
  if (!this->HasInput()) {
    error_code ignored;
    this->stream.socket().cancel(ignored);
  }
}

void CallerSession::ReadBody() {
  this->keep_alive = this->parser->get().keep_alive();
  const std::shared_ptr<CallerSession> self = this->shared_from_this();
  http::async_read(this->stream, this->buffer, *this->parser,
                   [self](error_code error, std::size_t /*size*/) {
                     if (error) {
                       self->OnReadError(error);
                     } else {
                       self->OnRequestRead();
                     }
                   });
}

void CallerSession::OnReadError(const error_code& error) {
  const bool is_too_large = error == http::error::body_limit ||
                            error == http::error::header_limit ||
                            error == http::error::buffer_overflow;
  const bool has_received_data =
      this->parser->got_some() || this->buffer.size() > 0;
  const bool is_malformed = link::IsMalformed(error);
  this->read_timer.Cancel();
  this->keep_alive = false;
  if (is_too_large) {
    this->Refuse({Reason::kTooLarge, Step::kAccept, Outcome::kNotRun, "caller",
                  "the header or body is too long"});
  } else if (this->is_read_timed_out && has_received_data) {
    this->Refuse({Reason::kSlowCaller, Step::kAccept, Outcome::kNotRun,
                  "caller", "the request did not arrive in time"});
  } else if (is_malformed) {
    this->Refuse({Reason::kBadRequest, Step::kAccept, Outcome::kNotRun,
                  "caller", "malformed HTTP: " + error.message()});
  } else {
    this->CloseSocket();
  }
}

void CallerSession::OnRequestRead() {
  this->read_timer.Cancel();
  if (this->is_closed) {
    // Handed over, it could run without anyone to answer.
    this->metrics.Add(observe::Metric::kRequestsAfterClose);
    observe::LogEvent(observe::Level::kError, this->request_id,
                      "request_after_close", {});
    return;
  }
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
  this->WatchForDisconnect();
  this->on_request(this->shared_from_this(), request);
}

void CallerSession::WatchForDisconnect() {
  const std::weak_ptr<CallerSession> weak = this->weak_from_this();
  this->stream.socket().async_wait(
      asio::ip::tcp::socket::wait_read, [weak](const error_code& error) {
        const std::shared_ptr<CallerSession> self = weak.lock();
        if (self == nullptr || error || !self->in_request || self->is_closed) {
          return;
        }
        char byte = 0;
        const ssize_t size = recv(self->stream.socket().native_handle(), &byte,
                                  1, MSG_PEEK | MSG_DONTWAIT);
        const bool is_nothing_there =
            size < 0 && (errno == EAGAIN || errno == EINTR);
        if (size == 0 && self->request_ends_after_write) {
          // The caller may still read its answer, and no flow works for it.
          return;
        }
        if (is_nothing_there) {
          self->WatchForDisconnect();
        } else if (size <= 0) {
          self->OnDisconnect();
        }
        // Otherwise a pipelined request has arrived; it is read after this one.
      });
}

// ------------------------------------------------------------------ writing

void CallerSession::Queue(std::string_view bytes) {
  this->pending.append(bytes);
  this->Write();
}

void CallerSession::Write() {
  if (!this->writing.empty() || this->is_closed) {
    return;
  }
  if (this->pending.empty()) {
    if (this->closes_after_write) {
      this->CloseAfterAnswer();
    } else if (this->request_ends_after_write) {
      this->EndRequest();
    }
    return;
  }
  this->writing.swap(this->pending);
  this->writing_body_bytes = this->pending_body_bytes;
  this->pending_body_bytes = 0;
  this->stream.expires_after(this->limits.write_timeout);
  const std::shared_ptr<CallerSession> self = this->shared_from_this();
  asio::async_write(this->stream, asio::buffer(this->writing),
                    [self](error_code error, std::size_t /*size*/) {
                      if (error) {
                        self->metrics.CountRefusal(Reason::kSlowCaller);
                        self->OnDisconnect();
                        return;
                      }
                      self->OnWritten();
                    });
}

void CallerSession::OnWritten() {
  this->stream.expires_never();
  const std::size_t body_bytes = this->writing_body_bytes;
  this->writing.clear();
  this->writing_body_bytes = 0;
  if (body_bytes > 0 && this->on_written) {
    this->on_written(body_bytes);
  }
  this->Write();
}

void CallerSession::DecideKeepAlive() {
  this->keep_alive =
      this->keep_alive && !(this->is_closing && this->is_closing());
}

void CallerSession::SendAnswer(int status, const std::string& content_type,
                               const std::string& body,
                               const std::string& extra_headers) {
  this->DecideKeepAlive();
  std::string text =
      FormatHead(status, content_type, this->request_id, this->keep_alive);
  text += extra_headers;
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  this->request_ends_after_write = true;
  this->Queue(text);
}

void CallerSession::Refuse(const Error& error) {
  this->metrics.CountRefusal(error.reason);
  const int retry_after = RetryAfterSeconds(error.reason);
  std::string extra_headers;
  if (retry_after > 0) {
    extra_headers = "Retry-After: " + std::to_string(retry_after) + "\r\n";
  }
  this->SendAnswer(HttpStatusOf(error.reason), "application/json",
                   RefusalJson(error, this->request_id) + "\n", extra_headers);
}

void CallerSession::StartStream(int status, const std::string& content_type) {
  this->is_stream_started = true;
  this->DecideKeepAlive();
  this->stream_content_type = content_type;
  this->Queue(
      FormatHead(status, content_type, this->request_id, this->keep_alive) +
      "Transfer-Encoding: chunked\r\n\r\n");
}

void CallerSession::SendChunk(std::string_view bytes) {
  char size_line[24];
  std::snprintf(size_line, sizeof(size_line), "%zx\r\n", bytes.size());
  this->pending.append(size_line);
  this->pending.append(bytes);
  this->pending.append("\r\n");
  this->pending_body_bytes += bytes.size();
  this->Write();
}

void CallerSession::FinishStream() {
  this->request_ends_after_write = true;
  this->Queue("0\r\n\r\n");
}

void CallerSession::AbortStream(const Error& error) {
  this->metrics.CountRefusal(error.reason);
  this->closes_after_write = true;
  if (this->stream_content_type.rfind(kEventStream, 0) == 0) {
    this->SendChunk(
        "event: error\ndata: " + RefusalJson(error, this->request_id) + "\n\n");
  } else {
    this->Write();
  }
}

// ------------------------------------------------------------------- ending

void CallerSession::EndInRequest() {
  if (!std::exchange(this->in_request, false)) {
    return;
  }
  this->CheckAnsweredOrTold();
  if (this->on_request_ended) {
    this->on_request_ended();
  }
}

void CallerSession::CheckAnsweredOrTold() {
  const bool is_answered =
      this->request_ends_after_write || this->closes_after_write;
  if (!is_answered && !this->is_flow_told) {
    this->metrics.Add(observe::Metric::kClosesNotReported);
    observe::LogEvent(observe::Level::kError, this->request_id,
                      "close_not_reported", {});
  }
}

void CallerSession::EndRequest() {
  this->EndInRequest();
  this->request_ends_after_write = false;
  this->is_stream_started = false;
  this->on_written = nullptr;
  this->on_disconnect = nullptr;
  error_code ignored;
  this->stream.socket().cancel(ignored);
  if (this->keep_alive) {
    this->WaitForNextRequest();
  } else {
    this->CloseAfterAnswer();
  }
}

void CallerSession::OnDisconnect() {
  const std::function<void()> callback = std::move(this->on_disconnect);
  this->on_disconnect = nullptr;
  this->is_flow_told = callback != nullptr;
  this->CloseSocket();
  if (callback) {
    callback();
  }
}

void CallerSession::CloseSocket() {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  this->on_written = nullptr;
  this->on_disconnect = nullptr;
  error_code ignored;
  this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  this->stream.socket().close(ignored);
  this->EndInRequest();
}

void CallerSession::CloseAfterAnswer() {
  if (this->is_closed) {
    return;
  }
  this->is_closed = true;
  this->on_written = nullptr;
  this->on_disconnect = nullptr;
  error_code ignored;
  this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  this->read_timer.Set(Clock::now() + kLingerTime, [this] {
    error_code ignored;
    this->stream.socket().close(ignored);
  });
  this->dropped_input.resize(kDropBytes);
  this->DropInput();
  this->EndInRequest();
}

void CallerSession::DropInput() {
  const std::shared_ptr<CallerSession> self = this->shared_from_this();
  this->stream.socket().async_read_some(
      asio::buffer(this->dropped_input),
      [self](const error_code& error, std::size_t size) {
        self->dropped_bytes += size;
        if (!error && self->dropped_bytes <= kMaxDroppedBytes) {
          self->DropInput();
          return;
        }
        self->read_timer.Cancel();
        error_code ignored;
        self->stream.socket().close(ignored);
      });
}

}  // namespace gooseberryturn::entry
