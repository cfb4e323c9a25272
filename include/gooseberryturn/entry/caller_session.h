#ifndef GOOSEBERRYTURN_ENTRY_CALLER_SESSION_H_
#define GOOSEBERRYTURN_ENTRY_CALLER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::entry {

/// \brief A request as the caller sent it.
struct CallerRequest {
  std::string id;
  std::string method;
  std::string path;
  std::string team;
  std::string key;  ///< Idempotency-Key, empty when not given.
  std::string content_type;
  std::string body;
};

/// \brief What the session allows a caller.
struct CallerLimits {
  std::size_t max_header_bytes = 0;
  std::size_t max_body_bytes = 0;
  Duration header_timeout = Duration::zero();
  Duration write_timeout = Duration::zero();
};

/// \brief One caller's HTTP/1.1 connection; one request at a time.
///
/// \details At most one piece of an answer is in writing; the relay asks for
/// more through `on_written`. A caller that sends or reads too slowly is
/// closed.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  using OnRequest =
      std::function<void(std::shared_ptr<CallerSession>, const CallerRequest&)>;

  CallerSession(boost::asio::ip::tcp::socket socket, CallerLimits limits,
                observe::Metrics& metrics);
  ~CallerSession();
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;

  /// \brief Called for each whole request.
  OnRequest on_request;
  /// \brief Called after a piece of `size` bytes was written.
  std::function<void(std::size_t size)> on_written;
  /// \brief Called when the caller went away during a request.
  std::function<void()> on_gone;
  /// \brief True when no further request may start on this connection.
  std::function<bool()> is_closing;

  void Start();
  /// \brief Sends a whole answer.
  void Answer(int status, const std::string& content_type,
              const std::string& body, const std::string& extra_headers);
  /// \brief Sends a refusal with its reason, outcome, step and peer as JSON.
  void Refuse(const Error& error);
  /// \brief Starts a streamed answer.
  void StartStream(int status, const std::string& content_type);
  /// \brief Sends a piece of a streamed answer.
  void SendPiece(std::string_view bytes);
  /// \brief Ends a streamed answer that is whole.
  void FinishStream();
  /// \brief Breaks a streamed answer off, visibly: an error event for
  /// event streams, and no final chunk.
  void BreakStream(const Error& error);

  /// \brief How long a connection may rest between two requests.
  static constexpr Duration kIdleLimit = std::chrono::seconds(75);

  [[nodiscard]] bool has_started() const noexcept {
    return this->is_stream_started;
  }
  /// \brief Bytes that wait for the caller.
  [[nodiscard]] std::size_t unsent_bytes() const noexcept {
    return this->pending.size() + this->writing.size();
  }

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void ReadHeader();
  void WaitForNext();
  void StartReadTimer(Duration limit);
  void ReadBody();
  void OnParsed();
  void OnReadError(const boost::system::error_code& error);
  void WatchCaller();
  void Queue(std::string_view bytes);
  void Write();
  void OnWritten();
  void EndRequest();
  void Gone();
  void CloseSocket();

  boost::beast::tcp_stream stream;
  boost::asio::steady_timer read_timer;
  CallerLimits limits;
  observe::Metrics& metrics;
  boost::beast::flat_buffer buffer;
  std::optional<Parser> parser;
  std::string request_id;
  std::string stream_type;
  std::string pending;
  std::string writing;
  std::size_t piece_bytes = 0;          ///< Relay bytes in `pending`.
  std::size_t writing_piece_bytes = 0;  ///< Relay bytes in `writing`.
  bool is_read_late = false;
  bool keep_alive = false;
  bool in_request = false;
  bool is_stream_started = false;
  bool ends_after_write = false;
  bool closes_after_write = false;
  bool closed = false;
};

/// \brief The JSON body of a refusal.
[[nodiscard]] std::string RefusalJson(const Error& error,
                                      const std::string& request_id);

}  // namespace gooseberryturn::entry

#endif  // GOOSEBERRYTURN_ENTRY_CALLER_SESSION_H_
