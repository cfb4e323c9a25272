#include "gooseberryturn/direct/target_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <cerrno>
#include <charconv>
#include <utility>

#include "gooseberryturn/link/message_head.h"

namespace gooseberryturn::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Body limit that is never reached; Boost 1.74 treats boost::none as a limit
/// that is always exceeded.
constexpr std::uint64_t kNoLimit = std::uint64_t{1} << 40U;
/// Body of an answer to an earlier request that is read and dropped.
constexpr std::size_t kMaxSkippedBytes = 256U * 1024U;
constexpr std::string_view kTimeoutField = "timeout=";
constexpr std::size_t kDefaultIdleConnections = 64;
/// Fraction of a target's connection limit that may be idle; the rest is left
/// for new connections.
constexpr double kIdleFraction = 0.5;

/// Time for which a connection may be idle: the timeout in a Keep-Alive header
/// less a fifth, in which the next request can still reach the target.
Duration IdleTime(std::string_view keep_alive) {
  const std::size_t position = keep_alive.find(kTimeoutField);
  int seconds = 0;
  if (position != std::string_view::npos) {
    const char* start = keep_alive.data() + position + kTimeoutField.size();
    const char* end = keep_alive.data() + keep_alive.size();
    if (std::from_chars(start, end, seconds).ec == std::errc()) {
      return std::chrono::milliseconds(800) * seconds;
    }
  }
  return TargetConnection::kDefaultIdleTime;
}

}  // namespace

TargetConnection::TargetConnection(asio::io_context& context, Endpoint peer)
    : socket(context), timer(context), peer(std::move(peer)), body_buffer{} {}

void TargetConnection::Exchange(std::string bytes, std::string header,
                                std::string exchange_id,
                                ExchangeHooks next_hooks) {
  this->exchange_number += 1;
  this->request = std::move(bytes);
  this->id_header = std::move(header);
  this->id = std::move(exchange_id);
  this->hooks = std::move(next_hooks);
  this->reusable = false;
  this->is_written = false;
  this->is_reset = false;
  this->is_paused = false;
  this->is_read_due = false;
  this->has_skipped_answer = false;
  this->interim_answers = 0;
  this->skipped_bytes = 0;
  if (this->connected) {
    error_code ignored;
    this->socket.cancel(ignored);
    this->SendRequest();
  } else {
    this->Connect();
  }
}

void TargetConnection::Connect() {
  const std::shared_ptr<TargetConnection> self = this->shared_from_this();
  error_code bad_address;
  const tcp::endpoint target(
      asio::ip::make_address(this->peer.address, bad_address), this->peer.port);
  if (bad_address) {
    this->End(ExchangeEnd::kNotSent, bad_address.message());
    return;
  }
  this->timer.expires_after(kConnectTimeout);
  this->timer.async_wait(
      [self, number = this->exchange_number](const error_code& error) {
        if (!error && number == self->exchange_number && !self->connected) {
          self->End(ExchangeEnd::kNotSent, "connect timed out");
        }
      });
  this->socket.async_connect(
      target, [self, number = this->exchange_number](const error_code& error) {
        if (number != self->exchange_number || !self->hooks.on_end) {
          return;
        }
        self->timer.cancel();
        if (error) {
          self->End(ExchangeEnd::kNotSent, error.message());
          return;
        }
        self->connected = true;
        error_code ignored;
        self->socket.set_option(tcp::no_delay(true), ignored);
        self->SendRequest();
      });
}

void TargetConnection::SendRequest() {
  if (Clock::now() < this->hooks.send_by) {
    this->Write();
    this->ReadHead();
    return;
  }
  // Posted, because the hooks are not called before Exchange has returned.
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this(), number = this->exchange_number] {
               if (number == self->exchange_number) {
                 self->End(ExchangeEnd::kNotSent, "too late to send");
               }
             });
}

void TargetConnection::Write() {
  const std::shared_ptr<TargetConnection> self = this->shared_from_this();
  asio::async_write(
      this->socket, asio::buffer(this->request),
      [self, number = this->exchange_number](const error_code& error,
                                             std::size_t sent) {
        if (number != self->exchange_number || !self->hooks.on_end) {
          return;
        }
        if (!error) {
          self->is_written = true;
          return;
        }
        // The socket reports a reset once: a write that has met it hides it
        // from the read, which ends as if the target had closed in order. A
        // reset after such an orderly end fails the write with broken_pipe.
        self->is_reset = error != asio::error::broken_pipe;
        // An answer may already be arriving and is then read to its end. If
        // nothing was sent or received, none will come.
        if (sent == 0 && !self->parser->got_some()) {
          self->End(ExchangeEnd::kCut, "write: " + error.message());
        }
      });
}

void TargetConnection::ReadHead() {
  this->parser.emplace();
  this->parser->header_limit(link::HeaderLimit(link::kMaxHeaderBytes));
  this->parser->body_limit(kNoLimit);
  const std::shared_ptr<TargetConnection> self = this->shared_from_this();
  http::async_read_header(
      this->socket, this->buffer, *this->parser,
      [self, number = this->exchange_number](error_code error,
                                             std::size_t /*size*/) {
        if (number != self->exchange_number || !self->hooks.on_end) {
          return;
        }
        if (!error) {
          error = link::CheckHead(self->parser->get());
        }
        if (!error) {
          self->OnHead();
          return;
        }
        self->End(link::IsMalformed(error) ? ExchangeEnd::kInvalid
                                           : ExchangeEnd::kCut,
                  "head: " + error.message());
      });
}

void TargetConnection::OnHead() {
  const ResponseHead& head = this->parser->get().base();
  if (link::IsInterim(head)) {
    this->interim_answers += 1;
    if (this->interim_answers > link::kMaxInterimAnswers) {
      this->End(ExchangeEnd::kInvalid, "too many interim answers");
    } else {
      this->ReadHead();
    }
    return;
  }
  const bool is_own_answer = head[this->id_header] == this->id;
  if (!is_own_answer &&
      (this->has_skipped_answer || this->parser->need_eof())) {
    this->End(ExchangeEnd::kInvalid, "answer to another request");
    return;
  }
  this->is_skipping_answer = !is_own_answer;
  if (is_own_answer) {
    this->hooks.on_head(head);
    if (!this->hooks.on_end) {
      return;
    }
  }
  if (this->parser->is_done()) {
    this->Finish();
  } else {
    this->ReadBody();
  }
}

void TargetConnection::ReadBody() {
  if (this->is_paused) {
    this->is_read_due = true;
    return;
  }
  this->parser->get().body().data = this->body_buffer.data();
  this->parser->get().body().size = this->body_buffer.size();
  const std::shared_ptr<TargetConnection> self = this->shared_from_this();
  http::async_read_some(
      this->socket, this->buffer, *this->parser,
      [self, number = this->exchange_number](error_code error,
                                             std::size_t /*size*/) {
        if (number != self->exchange_number || !self->hooks.on_end) {
          return;
        }
        if (error == http::error::need_buffer) {
          error = {};
        }
        self->DeliverBody();
        if (!self->hooks.on_end || number != self->exchange_number) {
          return;
        }
        if (error) {
          self->End(link::IsMalformed(error) ? ExchangeEnd::kInvalid
                                             : ExchangeEnd::kCut,
                    "body: " + error.message());
        } else if (self->parser->is_done()) {
          self->Finish();
        } else {
          self->ReadBody();
        }
      });
}

void TargetConnection::DeliverBody() {
  const std::size_t size =
      this->body_buffer.size() - this->parser->get().body().size;
  if (this->is_skipping_answer) {
    this->skipped_bytes += size;
    if (this->skipped_bytes > kMaxSkippedBytes) {
      this->End(ExchangeEnd::kInvalid, "answer to another request");
    }
  } else if (size > 0) {
    this->hooks.on_body(std::string_view(this->body_buffer.data(), size));
  }
}

void TargetConnection::Finish() {
  // A write that is ready is performed, and its handler called, before a read,
  // so a reset that only the write has met is known by now.
  if (this->is_reset && this->parser->need_eof()) {
    this->End(ExchangeEnd::kCut, "body: the connection was reset");
    return;
  }
  if (this->is_skipping_answer) {
    this->has_skipped_answer = true;
    this->ReadHead();
    return;
  }
  const bool is_clean = this->buffer.size() == 0 && this->is_written;
  this->reusable = this->parser->keep_alive() && !this->parser->need_eof() &&
                   is_clean && !this->has_skipped_answer;
  this->idle_deadline =
      Clock::now() +
      IdleTime(std::string(this->parser->get()[http::field::keep_alive]));
  this->End(ExchangeEnd::kComplete, "");
}

void TargetConnection::End(ExchangeEnd end, const std::string& why) {
  if (!this->hooks.on_end) {
    return;
  }
  this->timer.cancel();
  this->exchange_number += 1;
  if (!this->reusable) {
    this->Close();
  }
  // End may be called from one of the hooks, so they are kept alive until it
  // has returned.
  const std::shared_ptr<ExchangeHooks> done =
      std::make_shared<ExchangeHooks>(std::exchange(this->hooks, {}));
  asio::post(this->socket.get_executor(), [done] {});
  done->on_end(end, why);
}

void TargetConnection::Cancel() {
  this->End(ExchangeEnd::kCancelled, "exchange cancelled");
}

void TargetConnection::SetPaused(bool paused) {
  this->is_paused = paused;
  if (!paused && std::exchange(this->is_read_due, false)) {
    this->ReadBody();
  }
}

void TargetConnection::WatchIdle() {
  this->parser.reset();
  this->request = std::string();
  const std::weak_ptr<TargetConnection> weak = this->weak_from_this();
  this->socket.async_wait(
      tcp::socket::wait_read,
      [weak, number = this->exchange_number](const error_code& error) {
        const std::shared_ptr<TargetConnection> self = weak.lock();
        if (self == nullptr || error || number != self->exchange_number) {
          return;
        }
        // The target closed the connection or sent bytes without a request.
        self->Close();
      });
}

bool TargetConnection::IsSilent() {
  if (!this->connected) {
    return false;
  }
  char byte = 0;
  const ssize_t size =
      recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && errno == EAGAIN;
}

void TargetConnection::Close() {
  this->connected = false;
  this->reusable = false;
  error_code ignored;
  this->socket.close(ignored);
}

std::shared_ptr<TargetConnection> TargetConnectionPool::Acquire(
    const std::string& target, const Endpoint& peer) {
  std::vector<std::shared_ptr<TargetConnection>>& idle =
      this->idle_connections[target];
  const TimePoint now = Clock::now();
  while (!idle.empty()) {
    const std::shared_ptr<TargetConnection> connection = idle.back();
    idle.pop_back();
    if (now < connection->idle_until() && connection->IsSilent()) {
      return connection;
    }
  }
  return std::make_shared<TargetConnection>(this->context, peer);
}

std::size_t IdleConnectionLimit(std::size_t max_connections,
                                double entries) noexcept {
  if (max_connections == 0) {
    return kDefaultIdleConnections;
  }
  const double share =
      kIdleFraction * static_cast<double>(max_connections) / entries;
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

void TargetConnectionPool::Release(
    const std::string& target,
    const std::shared_ptr<TargetConnection>& connection, std::size_t max_idle) {
  if (!connection->is_reusable()) {
    return;
  }
  std::vector<std::shared_ptr<TargetConnection>>& idle =
      this->idle_connections[target];
  if (idle.size() >= max_idle) {
    return;
  }
  idle.push_back(connection);
  connection->WatchIdle();
}

void TargetConnectionPool::Expire(TimePoint now) {
  for (auto entry = this->idle_connections.begin();
       entry != this->idle_connections.end();) {
    std::vector<std::shared_ptr<TargetConnection>>& idle = entry->second;
    idle.erase(std::remove_if(
                   idle.begin(), idle.end(),
                   [now](const std::shared_ptr<TargetConnection>& connection) {
                     return !connection->is_connected() ||
                            now >= connection->idle_until();
                   }),
               idle.end());
    entry =
        idle.empty() ? this->idle_connections.erase(entry) : std::next(entry);
  }
}

void TargetConnectionPool::CloseIdle(const std::string& target) {
  this->idle_connections.erase(target);
}

}  // namespace gooseberryturn::direct
