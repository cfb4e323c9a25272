#include "gooseberryturn/direct/caller_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <cstdio>
#include <utility>

#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kSendBufferBytes = 32 * 1024;
/// Lower bound of what is read at once, whatever the limit for heads is.
constexpr std::size_t kMinReadBufferBytes = 16U * 1024U;
constexpr std::size_t kDropChunkBytes = 4U * 1024U;
/// Share of the idle timeout that callers are told. Within the rest a request
/// on its way still reaches an open connection.
constexpr std::int64_t kUsableIdlePercent = 80;
constexpr std::int64_t kPercent = 100;
constexpr std::int64_t kMsPerSecond = 1000;
/// Requests hold memory for a second or two.
constexpr char kMemoryRetryAfter[] = "Retry-After: 1\r\n";
constexpr char kLastChunk[] = "0\r\n\r\n";

}  // namespace

CallerConnection::CallerConnection(tcp::socket socket, CallerLimits limits,
                                   const std::shared_ptr<ByteBudget>& budget)
    : socket(std::move(socket)),
      timer(this->socket.get_executor()),
      limits(limits),
      request_share(budget) {
  error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  // The kernel would otherwise buffer megabytes for a caller that reads slowly.
  this->socket.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes),
                          ignored);
}

void CallerConnection::Start() { this->ReadRequest(); }

// ------------------------------------------------------------------ reading

void CallerConnection::StartTimer(TimePoint deadline, CloseCause cause) {
  this->timer.Set(deadline, [this, cause] { this->Close(cause); });
}

void CallerConnection::ReadRequest() {
  this->in_request = false;
  this->is_answer_queued = false;
  this->request_share.Release();
  if (this->buffer.size() > 0) {
    this->ReadArrivedRequest();
    return;
  }
  this->is_idle = true;
  this->idle_since = Clock::now();
  this->idle_deadline =
      this->idle_since + Milliseconds(this->announced_idle_timeout_ms);
  this->ExtendIdleTime();
  const std::shared_ptr<CallerConnection> self = this->shared_from_this();
  this->socket.async_wait(tcp::socket::wait_read,
                          [self](const error_code& error) {
                            if (error) {
                              self->Close(CloseCause::kReadFailed);
                            } else if (!self->is_closed) {
                              self->ReadArrivedRequest();
                            }
                          });
}

void CallerConnection::SetLimits(const CallerLimits& next) {
  this->limits = next;
  if (this->is_idle) {
    this->ExtendIdleTime();
  }
}

void CallerConnection::ExtendIdleTime() {
  this->idle_deadline =
      std::max(this->idle_deadline,
               this->idle_since + Milliseconds(this->limits.idle_timeout_ms));
  this->timer.Set(this->idle_deadline, [this] { this->OnIdleTimeout(); });
}

bool CallerConnection::HasInput() const {
  error_code ignored;
  return this->socket.available(ignored) > 0;
}

void CallerConnection::OnIdleTimeout() {
  // A request that has arrived already is answered.
  if (!this->HasInput()) {
    this->Close(CloseCause::kIdleTimeout);
  }
}

void CallerConnection::ReadArrivedRequest() {
  this->received_at = Clock::now();
  this->is_idle = false;
  this->parser.emplace();
  this->parser->header_limit(link::HeaderLimit(this->limits.max_header_bytes));
  this->buffer.SetLimit(
      std::max(this->limits.max_header_bytes, kMinReadBufferBytes));
  this->parser->body_limit(this->limits.max_body_bytes);
  this->StartTimer(this->received_at +
                       Milliseconds(this->limits.header_timeout_ms) +
                       kWriteTimeout,
                   CloseCause::kReadTimeout);
  const std::shared_ptr<CallerConnection> self = this->shared_from_this();
  link::ReadMessage<true>(this->socket, this->buffer, *this->parser,
                          this->request_share, [self](const error_code& error) {
                            self->timer.Cancel();
                            if (error) {
                              self->OnReadError(error);
                            } else {
                              self->OnRequestRead();
                            }
                          });
}

void CallerConnection::OnReadError(const error_code& error) {
  if (error == asio::error::no_memory) {
    if (this->on_memory_full) {
      this->on_memory_full();
    }
    this->SendError(503, "Service Unavailable", kMemoryRetryAfter);
  } else if (error == http::error::body_limit) {
    this->SendError(413, "Payload Too Large");
  } else if (error == http::error::header_limit ||
             error == http::error::buffer_overflow) {
    this->SendError(431, "Request Header Fields Too Large");
  } else if (error == link::kUnknownTransferCoding) {
    this->SendError(501, "Not Implemented");
  } else if (link::IsMalformed(error)) {
    this->SendError(400, "Bad Request");
  } else {
    const bool has_caller_left = error == http::error::end_of_stream ||
                                 error == http::error::partial_message ||
                                 error == asio::error::connection_reset;
    this->Close(has_caller_left ? CloseCause::kCallerLeft
                                : CloseCause::kReadFailed);
  }
}

void CallerConnection::SendError(int status, const char* reason,
                                 const std::string& headers) {
  this->keep_alive = false;
  this->in_request = true;
  observe::LogEvent(observe::Level::kInfo, "", "request_not_read",
                    {{"status", std::to_string(status)}});
  this->SendAnswer(
      "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + headers,
      "");
}

void CallerConnection::OnRequestRead() {
  if (this->is_closed) {
    // Handed over, it could run without anyone to answer.
    if (this->on_request_after_close) {
      this->on_request_after_close();
    }
    return;
  }
  this->in_request = true;
  CallerMessage message = this->parser->release();
  this->keep_alive = message.keep_alive() && !this->is_leaving;
  this->WatchForDisconnect();
  this->on_request(this->shared_from_this(), std::move(message),
                   this->received_at);
}

void CallerConnection::WatchForDisconnect() {
  const std::weak_ptr<CallerConnection> weak = this->weak_from_this();
  this->socket.async_wait(
      tcp::socket::wait_read, [weak](const error_code& error) {
        const std::shared_ptr<CallerConnection> self = weak.lock();
        if (self == nullptr || error || !self->in_request || self->is_closed) {
          return;
        }
        char byte = 0;
        const ssize_t size = recv(self->socket.native_handle(), &byte, 1,
                                  MSG_PEEK | MSG_DONTWAIT);
        const bool is_nothing_there =
            size < 0 && (errno == EAGAIN || errno == EINTR);
        if (is_nothing_there) {
          self->WatchForDisconnect();
          return;
        }
        if (size == 0) {
          self->OnInputEnd();
        } else if (size < 0) {
          self->Close(CloseCause::kCallerLeft);
        }
        // Otherwise the next request has arrived; it is read after this one.
      });
}

void CallerConnection::OnInputEnd() {
  this->EndKeepAlive();
  this->WatchForReset();
  if (this->is_answer_queued) {
    // The caller may still read its answer, and no flow works for it.
    return;
  }
  // The hook may clear itself as it runs.
  const std::function<bool()> on_end = this->on_input_end;
  if (!on_end || !on_end()) {
    this->Close(CloseCause::kCallerLeft);
  }
}

bool CallerConnection::HasSocketError() {
  int error = 0;
  socklen_t size = sizeof(error);
  const int result = getsockopt(this->socket.native_handle(), SOL_SOCKET,
                                SO_ERROR, &error, &size);
  return result != 0 || error != 0;
}

void CallerConnection::WatchForReset() {
  const std::weak_ptr<CallerConnection> weak = this->weak_from_this();
  this->socket.async_wait(
      tcp::socket::wait_error, [weak](const error_code& error) {
        const std::shared_ptr<CallerConnection> self = weak.lock();
        if (self == nullptr || error || !self->in_request || self->is_closed) {
          return;
        }
        // Without an error the wait would end at once again and again; the
        // next write notices a caller that has left.
        if (self->HasSocketError()) {
          self->Close(CloseCause::kCallerLeft);
        }
      });
}

// ------------------------------------------------------------------ writing

std::string CallerConnection::EndOfHead() {
  this->is_last_answer = !this->keep_alive || this->is_leaving;
  if (this->is_last_answer) {
    return "Connection: close\r\n\r\n";
  }
  this->announced_idle_timeout_ms = this->limits.idle_timeout_ms;
  const std::int64_t usable_ms =
      this->limits.idle_timeout_ms * kUsableIdlePercent / kPercent;
  const std::int64_t usable_s = usable_ms / kMsPerSecond;
  if (usable_s == 0) {
    return "\r\n";
  }
  return "Keep-Alive: timeout=" + std::to_string(usable_s) + "\r\n\r\n";
}

void CallerConnection::SendAnswer(std::string head, const std::string& body) {
  head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  head += this->EndOfHead();
  head += body;
  this->is_answer_queued = true;
  this->Send(std::move(head));
}

void CallerConnection::BeginChunks(std::string head) {
  head += "Transfer-Encoding: chunked\r\n";
  head += this->EndOfHead();
  this->Send(std::move(head));
}

void CallerConnection::SendChunk(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  std::string chunk = size.data();
  chunk.append(bytes);
  chunk += "\r\n";
  this->Send(std::move(chunk));
}

void CallerConnection::EndChunks() {
  this->is_answer_queued = true;
  this->Send(kLastChunk);
}

void CallerConnection::Send(std::string bytes) {
  if (this->is_closed) {
    return;
  }
  this->unsent += bytes.size();
  if (this->is_writing || this->write_queue.empty()) {
    this->write_queue.push_back(std::move(bytes));
  } else {
    this->write_queue.back() += bytes;
  }
  if (!this->is_writing) {
    this->WriteNext();
  }
}

void CallerConnection::WriteNext() {
  this->is_writing = true;
  // Everything queued during the last write is sent in one write.
  while (this->write_queue.size() > 1) {
    this->write_queue.front() += this->write_queue[1];
    this->write_queue.erase(this->write_queue.begin() + 1);
  }
  this->StartTimer(Clock::now() + kWriteTimeout, CloseCause::kWriteTimeout);
  const std::shared_ptr<CallerConnection> self = this->shared_from_this();
  asio::async_write(this->socket, asio::buffer(this->write_queue.front()),
                    [self](const error_code& error, std::size_t size) {
                      if (error || self->is_closed) {
                        self->Close(CloseCause::kWriteFailed);
                        return;
                      }
                      self->unsent -= size;
                      self->write_queue.pop_front();
                      self->OnWritten();
                    });
}

void CallerConnection::HoldUntilSent(ByteShare share) {
  this->answer_share = std::move(share);
}

void CallerConnection::OnWritten() {
  this->is_writing = false;
  if (!this->write_queue.empty()) {
    this->WriteNext();
    return;
  }
  this->answer_share = ByteShare();
  this->timer.Cancel();
  if (!this->is_answer_queued) {
    if (this->on_writable) {
      this->on_writable();
    }
    return;
  }
  this->on_disconnected = nullptr;
  this->on_input_end = nullptr;
  this->on_writable = nullptr;
  if (this->is_last_answer) {
    this->CloseAfterAnswer(this->is_aborted ? CloseCause::kAborted
                                            : CloseCause::kAnswered);
    return;
  }
  error_code ignored;
  this->socket.cancel(ignored);
  this->ReadRequest();
}

void CallerConnection::Abort() {
  // A write in progress still finishes. Without its last chunk or its full
  // length the answer is recognised as incomplete.
  this->is_last_answer = true;
  this->is_aborted = true;
  this->is_answer_queued = true;
  this->on_disconnected = nullptr;
  if (!this->is_writing) {
    this->CloseAfterAnswer(CloseCause::kAborted);
  }
}

void CallerConnection::EndKeepAlive() { this->is_leaving = true; }

void CallerConnection::CloseIfIdle(TimePoint now) {
  if (this->is_idle && now >= this->idle_since + kLeaveIdleTime &&
      !this->HasInput()) {
    this->Close(CloseCause::kLeaving);
  }
}

void CallerConnection::CloseAfterAnswer(CloseCause cause) {
  this->StartTimer(Clock::now() + kDropTime, cause);
  error_code ignored;
  this->socket.cancel(ignored);
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  this->buffer.consume(this->buffer.size());
  this->DropInput(cause);
}

void CallerConnection::DropInput(CloseCause cause) {
  const std::shared_ptr<CallerConnection> self = this->shared_from_this();
  this->socket.async_read_some(
      this->buffer.prepare(kDropChunkBytes),
      [self, cause](const error_code& error, std::size_t size) {
        self->dropped_bytes += size;
        if (error || self->is_closed ||
            self->dropped_bytes > kMaxDroppedBytes) {
          self->Close(cause);
        } else {
          self->DropInput(cause);
        }
      });
}

void CallerConnection::LogClose(CloseCause cause) const {
  const bool is_read_partly = !this->in_request && this->parser.has_value() &&
                              this->parser->got_some() &&
                              !this->parser->is_done();
  const bool is_unanswered = this->in_request && !this->is_answer_queued;
  if (!is_read_partly && !is_unanswered && this->unsent == 0) {
    return;
  }
  observe::LogEvent(
      observe::Level::kInfo, "", "caller_closed",
      {{"cause", std::string(kCloseCauseNames.Name(cause))},
       {"read_partly", is_read_partly ? "true" : "false"},
       {"unanswered", is_unanswered ? "true" : "false"},
       {"unsent", std::to_string(this->unsent)},
       {"idle_ms", std::to_string(WholeMs(this->IdleTime()))},
       {"ms", std::to_string(WholeMs(Clock::now() - this->received_at))}});
}

void CallerConnection::ReportClose(CloseCause cause) {
  const std::function<void(CloseCause)> disconnected =
      std::exchange(this->on_disconnected, nullptr);
  const bool is_unanswered = this->in_request && !this->is_answer_queued;
  const bool has_flow = disconnected != nullptr;
  if (is_unanswered && has_flow) {
    disconnected(cause);
  } else if (is_unanswered != has_flow && this->on_close_not_reported) {
    this->on_close_not_reported(cause);
  }
}

void CallerConnection::Close(CloseCause cause) {
  if (this->is_closed) {
    return;
  }
  // The callbacks may drop the last other reference.
  const std::shared_ptr<CallerConnection> self = this->shared_from_this();
  this->LogClose(cause);
  this->is_closed = true;
  this->timer.Cancel();
  error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
  this->ReportClose(cause);
  this->on_writable = nullptr;
  const std::function<void(CloseCause)> closed =
      std::exchange(this->on_closed, nullptr);
  if (closed) {
    closed(cause);
  }
}

}  // namespace gooseberryturn::direct
