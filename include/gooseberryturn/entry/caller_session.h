#ifndef GOOSEBERRYTURN_ENTRY_CALLER_SESSION_H_
#define GOOSEBERRYTURN_ENTRY_CALLER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/deadline_timer.h"
#include "gooseberryturn/link/read_buffer.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::entry {

/// \brief A request as received from the caller.
struct CallerRequest {
  std::string id;  ///< Assigned by the session, unique for each request.
  std::string method;
  std::string path;
  std::string team;
  std::string key;  ///< Idempotency-Key header, empty when absent.
  std::string content_type;
  std::string body;
};

/// \brief Size limits and timeouts of a caller's connection.
struct CallerLimits {
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
  Duration header_timeout = Duration::zero();
  /// How long a connection may be idle between two requests.
  Duration idle_timeout = std::chrono::seconds(75);
  Duration write_timeout = Duration::zero();
};

/// \brief One caller's HTTP/1.1 connection; serves one request at a time.
///
/// \details At most one write is in progress; data sent meanwhile is buffered,
/// and `on_written` tells the sender when to send more. A connection whose
/// caller sends or reads too slowly is closed.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  using OnRequest =
      std::function<void(std::shared_ptr<CallerSession>, const CallerRequest&)>;

  CallerSession(boost::asio::ip::tcp::socket socket, CallerLimits limits,
                observe::Metrics& metrics);
  ~CallerSession();
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  /// \brief Called for each completely received request.
  OnRequest on_request;
  /// \brief Called after `size` bytes of a streamed answer were written.
  std::function<void(std::size_t size)> on_written;
  /// \brief Called when the caller disconnects during a request, or when a
  /// write fails or times out.
  std::function<void()> on_disconnect;
  /// \brief Called when a request has ended: its answer was written to the last
  /// byte, or its connection has ended.
  std::function<void()> on_request_ended;
  /// \brief Returns true when no further request may start on this connection.
  std::function<bool()> is_closing;

  void Start();
  /// \brief Sends a complete answer with a Content-Length.
  void SendAnswer(int status, const std::string& content_type,
                  const std::string& body, const std::string& extra_headers);
  /// \brief Counts `error` as a refusal and sends it as JSON, see RefusalJson.
  void Refuse(const Error& error);
  /// \brief Starts a streamed answer with chunked transfer encoding.
  void StartStream(int status, const std::string& content_type);
  /// \brief Sends one chunk of a streamed answer.
  void SendChunk(std::string_view bytes);
  /// \brief Ends a complete streamed answer with the final chunk.
  void FinishStream();
  /// \brief Aborts a streamed answer so that the caller can tell that it is
  /// incomplete: event streams get an error event, and the final chunk is never
  /// sent.
  void AbortStream(const Error& error);

  [[nodiscard]] bool has_started_stream() const noexcept {
    return this->is_stream_started;
  }
  /// \brief Bytes not yet written to the socket.
  [[nodiscard]] std::size_t unsent_bytes() const noexcept {
    return this->pending.size() + this->writing.size();
  }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void ReadHeader();
  void WaitForNextRequest();
  void StartReadTimer(Duration timeout);
  /// Cancels the read of a request until the read has ended.
  void OnReadTimeout();
  /// True if bytes are in the receive buffer of the kernel.
  [[nodiscard]] bool HasInput();
  void OnIdleTimeout();
  void ReadBody();
  void OnRequestRead();
  void OnReadError(const boost::system::error_code& error);
  void WatchForDisconnect();
  /// Decides with the head of an answer whether the connection is kept after
  /// it: the caller goes by what the head says.
  void DecideKeepAlive();
  void EndInRequest();
  /// Counts and logs a request that ends neither answered nor with its flow
  /// told: it may run on, and its caller gets nothing.
  void CheckAnsweredOrTold();
  void Queue(std::string_view bytes);
  /// Writes `pending` unless a write is in progress. With nothing to write,
  /// ends the request or closes the connection if that was to follow.
  void Write();
  void OnWritten();
  void EndRequest();
  void OnDisconnect();
  void CloseSocket();
  /// Closes the connection once the caller has read the answer: while it still
  /// sends, its bytes are read and dropped, in a limited time and number.
  /// Closing with unread bytes resets the connection, which can destroy the
  /// answer.
  void CloseAfterAnswer();
  void DropInput();

  boost::beast::tcp_stream stream;
  link::DeadlineTimer read_timer;
  CallerLimits limits;
  observe::Metrics& metrics;
  link::ReadBuffer buffer;
  std::optional<Parser> parser;
  std::string request_id;
  std::string stream_content_type;
  std::string pending;
  std::string writing;
  std::string dropped_input;
  std::size_t dropped_bytes = 0;
  std::size_t pending_body_bytes = 0;  ///< Answer bytes in `pending`.
  std::size_t writing_body_bytes = 0;  ///< Answer bytes in `writing`.
  bool is_read_timed_out = false;
  bool keep_alive = false;
  bool in_request = false;
  bool is_flow_told = false;
  bool is_stream_started = false;
  bool request_ends_after_write = false;
  bool closes_after_write = false;
  bool is_closed = false;
};

/// \brief The JSON body of a refusal.
[[nodiscard]] std::string RefusalJson(const Error& error,
                                      const std::string& request_id);

}  // namespace gooseberryturn::entry

#endif  // GOOSEBERRYTURN_ENTRY_CALLER_SESSION_H_
