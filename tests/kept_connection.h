#ifndef GOOSEBERRYTURN_TESTS_KEPT_CONNECTION_H_
#define GOOSEBERRYTURN_TESTS_KEPT_CONNECTION_H_

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "gooseberryturn/core/endpoint.h"
#include "http_call.h"

namespace gooseberryturn::fleet {

/// How an exchange on a kept connection ended.
enum class Ending {
  kComplete,    ///< The answer arrived whole.
  kCut,         ///< The answer began and did not arrive whole.
  kUnanswered,  ///< The connection ended without a byte of an answer.
  kSilent       ///< Nothing happened until the time limit.
};

/// What waits at a connection without a request.
enum class IdleState {
  kOpen,
  kClosed,       ///< The peer has closed it.
  kUnaskedBytes  ///< Bytes that no request asked for.
};

/// A caller's connection that is kept for many requests.
class KeptConnection {
 public:
  using Request = http::request<http::string_body>;
  using Moment = std::chrono::steady_clock::time_point;

  explicit KeptConnection(std::chrono::milliseconds limit)
      : stream(context), limit(limit) {}

  /// \returns Whether the connection was established.
  [[nodiscard]] bool Connect(const Endpoint& peer) {
    this->request_began_at = std::chrono::steady_clock::now();
    const error_code error = this->Run([this, &peer](const auto& on_end) {
      this->stream.async_connect(
          asio::ip::tcp::endpoint(asio::ip::make_address(peer.address),
                                  peer.port),
          on_end);
    });
    this->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    return !error;
  }

  [[nodiscard]] IdleState State() {
    char byte = 0;
    const ssize_t size = recv(this->stream.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
    if (size > 0 || this->buffer.size() > 0) {
      return IdleState::kUnaskedBytes;
    }
    return size < 0 && errno == EAGAIN ? IdleState::kOpen : IdleState::kClosed;
  }

  /// Sends a whole request and reads its answer. With `ends_input`, the sending
  /// side is ended in between.
  [[nodiscard]] Ending Exchange(const Request& request, Answer& answer,
                                bool ends_input = false) {
    this->request_began_at = std::chrono::steady_clock::now();
    http::response_parser<http::string_body> parser;
    parser.body_limit(1ULL << 32U);
    (void)this->Run([this, &request](const auto& on_end) {
      http::async_write(
          this->stream, request,
          [on_end](const error_code& error, std::size_t) { on_end(error); });
    });
    this->request_sent_at = std::chrono::steady_clock::now();
    if (ends_input) {
      this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                     this->ignored);
    }
    // The answer may have arrived even where writing has failed.
    const error_code error = this->Run([this, &parser](const auto& on_end) {
      http::async_read(
          this->stream, this->buffer, parser,
          [on_end](const error_code& error, std::size_t) { on_end(error); });
    });
    answer.is_complete = !error && parser.is_done();
    if (parser.is_header_done()) {
      answer.status = static_cast<int>(parser.get().result_int());
      answer.body = parser.get().body();
      for (const auto& field : parser.get()) {
        answer.headers[std::string(field.name_string())] =
            std::string(field.value());
      }
    }
    this->is_kept = answer.is_complete && parser.keep_alive();
    if (answer.is_complete) {
      return Ending::kComplete;
    }
    if (error == boost::beast::error::timeout) {
      return Ending::kSilent;
    }
    return parser.got_some() ? Ending::kCut : Ending::kUnanswered;
  }

  /// False once the connection has ended or is about to.
  bool is_kept = true;
  /// When the last request began to be sent or the connection to be opened: the
  /// peer has been idle for less than the time since then.
  Moment request_began_at;
  Moment request_sent_at;

 private:
  template <typename Operation>
  error_code Run(const Operation& operation) {
    error_code result = boost::beast::error::timeout;
    this->context.restart();
    this->stream.expires_after(this->limit);
    operation([&result](const error_code& error) { result = error; });
    this->context.run();
    this->stream.expires_never();
    return result;
  }

  asio::io_context context;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  std::chrono::milliseconds limit;
  error_code ignored;
};

}  // namespace gooseberryturn::fleet

#endif  // GOOSEBERRYTURN_TESTS_KEPT_CONNECTION_H_
