#ifndef GOOSEBERRYTURN_DIRECT_CALLER_CONNECTION_H_
#define GOOSEBERRYTURN_DIRECT_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/configuration.h"

namespace gooseberryturn::direct {

/// \brief A whole request of a caller.
using CallerMessage =
    boost::beast::http::request<boost::beast::http::string_body>;

/// \brief One connection of a caller: reads requests, writes answers.
///
/// \details One request at a time; what a caller sends ahead waits in the
/// kernel. Unsent bytes are bounded by kHighWaterBytes: `on_writable` tells
/// when there is room again.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(boost::asio::ip::tcp::socket socket, CallerLimits limits);

  /// \brief Called for each whole request, with the time its first bytes came.
  std::function<void(std::shared_ptr<CallerConnection>, CallerMessage,
                     TimePoint)>
      on_request;
  /// \brief Called when the caller is gone while a request is in progress.
  std::function<void()> on_disconnected;
  /// \brief Called when unsent bytes fell below the mark.
  std::function<void()> on_writable;
  /// \brief Called once when the connection is over.
  std::function<void()> on_closed;

  void Start();
  /// \brief Writes a whole answer. `head` holds the status line and all
  /// headers but those of length and connection, each line ended.
  void SendResponse(std::string head, const std::string& body);
  /// \brief Writes the head of a chunked answer.
  void BeginChunks(std::string head);
  void SendChunk(std::string_view bytes);
  /// \brief Ends a chunked answer as complete.
  void EndChunks();
  /// \brief Breaks an answer off so that it cannot look complete.
  void Abort();
  /// \brief Takes no further request; closes at once when at rest.
  void Leave();

  [[nodiscard]] std::size_t unsent_bytes() const noexcept {
    return this->unsent;
  }
  [[nodiscard]] bool is_busy() const noexcept { return this->in_request; }

  static constexpr std::size_t kHighWaterBytes = 64U * 1024U;
  static constexpr Duration kWriteLimit = std::chrono::seconds(10);

 private:
  void ReadHead();
  void OnReadError(const boost::system::error_code& error);
  void OnMessage();
  void Refuse(int status, const char* reason);
  void Watch();
  void Send(std::string bytes);
  void WriteNext();
  void OnWritten();
  void StartTimer(TimePoint deadline);
  void Close();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  CallerLimits limits;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      parser;
  std::deque<std::string> queue;
  std::size_t unsent = 0;
  bool is_writing = false;
  bool is_reading = false;
  bool in_request = false;
  bool is_answered = false;  ///< The answer's last byte is queued.
  bool keep_alive = true;
  bool is_leaving = false;
  bool is_closed = false;
  TimePoint received_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CALLER_CONNECTION_H_
