#include "gooseberryturn/direct/target_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <utility>

namespace gooseberryturn::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint32_t kMaxHeadBytes = 64U * 1024U;
/// Boost 1.74 takes no limit at all for an exceeded one.
constexpr std::uint64_t kNoLimit = std::uint64_t{1} << 40U;
constexpr std::string_view kTimeoutField = "timeout=";
constexpr std::size_t kRestingWithoutLimit = 64;
/// Share of a target's connections that rest; new ones need room beside them.
constexpr double kRestingShare = 0.5;

/// Time a connection may rest, from a Keep-Alive header; a fifth is left for
/// the way of the next request.
Duration RestTime(std::string_view keep_alive) {
  const std::size_t place = keep_alive.find(kTimeoutField);
  int seconds = 0;
  if (place != std::string_view::npos) {
    const char* start = keep_alive.data() + place + kTimeoutField.size();
    const char* end = keep_alive.data() + keep_alive.size();
    if (std::from_chars(start, end, seconds).ec == std::errc()) {
      return std::chrono::milliseconds(800) * seconds;
    }
  }
  return TargetConnection::kDefaultRest;
}

}  // namespace

TargetConnection::TargetConnection(asio::io_context& context, Endpoint peer)
    : socket(context), timer(context), peer(std::move(peer)), piece{} {}

void TargetConnection::Exchange(std::string bytes, std::string header,
                                std::string wanted, ExchangeHooks next_hooks) {
  this->exchange_number += 1;
  this->request = std::move(bytes);
  this->id_header = std::move(header);
  this->id = std::move(wanted);
  this->hooks = std::move(next_hooks);
  this->reusable = false;
  this->is_written = false;
  this->is_write_begun = false;
  this->is_paused = false;
  this->is_read_due = false;
  this->has_skipped = false;
  if (this->connected) {
    error_code ignored;
    this->socket.cancel(ignored);
    this->Write();
    this->ReadHead();
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
  this->timer.expires_after(kConnectLimit);
  this->timer.async_wait(
      [self, number = this->exchange_number](const error_code& error) {
        if (!error && number == self->exchange_number && !self->connected) {
          self->End(ExchangeEnd::kNotSent, "no connection in time");
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
        self->Write();
        self->ReadHead();
      });
}

void TargetConnection::Write() {
  this->is_write_begun = true;
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
        // The answer may have come already and is then read to its end; a
        // connection that refused every byte has run nothing.
        if (sent == 0 && !self->parser->got_some()) {
          self->End(ExchangeEnd::kCut, "write: " + error.message());
        }
      });
}

void TargetConnection::ReadHead() {
  this->parser.emplace();
  this->parser->header_limit(kMaxHeadBytes);
  this->parser->body_limit(kNoLimit);
  const std::shared_ptr<TargetConnection> self = this->shared_from_this();
  http::async_read_header(
      this->socket, this->buffer, *this->parser,
      [self, number = this->exchange_number](const error_code& error,
                                             std::size_t /*size*/) {
        if (number != self->exchange_number || !self->hooks.on_end) {
          return;
        }
        if (!error) {
          self->OnHead();
          return;
        }
        const bool is_bytes =
            error.category() ==
                http::make_error_code(http::error::bad_method).category() &&
            error != http::error::end_of_stream &&
            error != http::error::partial_message;
        self->End(is_bytes ? ExchangeEnd::kInvalid : ExchangeEnd::kCut,
                  "head: " + error.message());
      });
}

void TargetConnection::OnHead() {
  const ResponseHead& head = this->parser->get().base();
  if (head.result_int() >= 100 && head.result_int() < 200) {
    this->ReadHead();
    return;
  }
  const bool is_mine = head[this->id_header] == this->id;
  if (!is_mine && (this->has_skipped || this->parser->need_eof())) {
    this->End(ExchangeEnd::kInvalid, "an answer to another request");
    return;
  }
  this->is_skipping = !is_mine;
  if (is_mine) {
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
  this->parser->get().body().data = this->piece.data();
  this->parser->get().body().size = this->piece.size();
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
        self->Deliver();
        if (!self->hooks.on_end || number != self->exchange_number) {
          return;
        }
        if (error) {
          const bool is_bytes = error == http::error::bad_chunk ||
                                error == http::error::bad_chunk_extension;
          self->End(is_bytes ? ExchangeEnd::kInvalid : ExchangeEnd::kCut,
                    "body: " + error.message());
        } else if (self->parser->is_done()) {
          self->Finish();
        } else {
          self->ReadBody();
        }
      });
}

void TargetConnection::Deliver() {
  const std::size_t size = this->piece.size() - this->parser->get().body().size;
  if (size > 0 && !this->is_skipping) {
    this->hooks.on_body(std::string_view(this->piece.data(), size));
  }
}

void TargetConnection::Finish() {
  if (this->is_skipping) {
    this->has_skipped = true;
    this->ReadHead();
    return;
  }
  const bool is_clean = this->buffer.size() == 0 && this->is_written;
  this->reusable = this->parser->keep_alive() && !this->parser->need_eof() &&
                   is_clean && !this->has_skipped;
  this->rest_deadline =
      Clock::now() +
      RestTime(std::string(this->parser->get()[http::field::keep_alive]));
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
  // One of the hooks may be running: they live until it has returned.
  const std::shared_ptr<ExchangeHooks> done =
      std::make_shared<ExchangeHooks>(std::exchange(this->hooks, {}));
  asio::post(this->socket.get_executor(), [done] {});
  done->on_end(end, why);
}

void TargetConnection::Cancel() {
  this->End(ExchangeEnd::kCancelled, "given up");
}

void TargetConnection::SetPaused(bool paused) {
  this->is_paused = paused;
  if (!paused && std::exchange(this->is_read_due, false)) {
    this->ReadBody();
  }
}

void TargetConnection::Rest() {
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
        // Either the target closed it, or bytes came that nobody asked for.
        self->Close();
      });
}

void TargetConnection::Close() {
  this->connected = false;
  this->reusable = false;
  error_code ignored;
  this->socket.close(ignored);
}

std::shared_ptr<TargetConnection> TargetConnectionPool::Acquire(
    const std::string& target, const Endpoint& peer) {
  std::vector<std::shared_ptr<TargetConnection>>& resting = this->idle[target];
  const TimePoint now = Clock::now();
  while (!resting.empty()) {
    const std::shared_ptr<TargetConnection> connection = resting.back();
    resting.pop_back();
    if (connection->is_connected() && now < connection->rest_until()) {
      return connection;
    }
  }
  return std::make_shared<TargetConnection>(this->context, peer);
}

std::size_t IdleConnectionLimit(std::size_t most_connections,
                                double entries) noexcept {
  if (most_connections == 0) {
    return kRestingWithoutLimit;
  }
  const double share =
      kRestingShare * static_cast<double>(most_connections) / entries;
  return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

void TargetConnectionPool::Release(
    const std::string& target,
    const std::shared_ptr<TargetConnection>& connection,
    std::size_t most_resting) {
  if (!connection->is_reusable()) {
    return;
  }
  std::vector<std::shared_ptr<TargetConnection>>& resting = this->idle[target];
  if (resting.size() >= most_resting) {
    return;
  }
  resting.push_back(connection);
  connection->Rest();
}

void TargetConnectionPool::Expire(TimePoint now) {
  for (auto entry = this->idle.begin(); entry != this->idle.end();) {
    std::vector<std::shared_ptr<TargetConnection>>& resting = entry->second;
    resting.erase(
        std::remove_if(
            resting.begin(), resting.end(),
            [now](const std::shared_ptr<TargetConnection>& connection) {
              return !connection->is_connected() ||
                     now >= connection->rest_until();
            }),
        resting.end());
    entry = resting.empty() ? this->idle.erase(entry) : std::next(entry);
  }
}

void TargetConnectionPool::CloseIdle(const std::string& target) {
  this->idle.erase(target);
}

}  // namespace gooseberryturn::direct
