#ifndef GOOSEBERRYTURN_DIRECT_CALLER_CONNECTION_H_
#define GOOSEBERRYTURN_DIRECT_CALLER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberryturn/core/byte_budget.h"
#include "gooseberryturn/core/close_cause.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/configuration.h"
#include "gooseberryturn/link/deadline_timer.h"
#include "gooseberryturn/link/message_reader.h"
#include "gooseberryturn/link/read_buffer.h"

namespace gooseberryturn::direct {

/// \brief A caller's request with its whole body.
using CallerMessage =
    boost::beast::http::request<boost::beast::http::string_body>;

/// \brief A caller's connection: reads requests and writes answers.
///
/// \details Handles one request at a time; pipelined requests wait in the
/// receive buffer of the kernel. Senders should pause above kHighWaterBytes of
/// unsent bytes until `on_writable` is called.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  /// \param budget Bounds what this and other connections hold for requests
  /// and answers; none, if null.
  CallerConnection(boost::asio::ip::tcp::socket socket, CallerLimits limits,
                   const std::shared_ptr<ByteBudget>& budget = nullptr);

  /// \brief Called for each complete request, with the arrival time of its
  /// first bytes.
  std::function<void(std::shared_ptr<CallerConnection>, CallerMessage,
                     TimePoint)>
      on_request;
  /// \brief Called when the connection is closed while a request is in
  /// progress, by the caller or by this side. Whoever answers the request
  /// clears it then.
  std::function<void(CloseCause)> on_disconnected;
  /// \brief Called when the caller has ended its sending side while a request
  /// is in progress: it has closed the connection, or only waits for its
  /// answer, which then ends the connection. The connection is closed unless
  /// this returns true. A caller that has left is noticed later by the reset
  /// that the first bytes written to it cause. Not called once the answer is
  /// queued to its last byte, which is written in any case.
  std::function<bool()> on_input_end;
  /// \brief Called when all queued bytes were sent and the answer is not
  /// complete yet.
  std::function<void()> on_writable;
  /// \brief Called once, when the connection is closed.
  std::function<void(CloseCause)> on_closed;
  /// \brief Called when a request was read whose connection is closed already.
  std::function<void()> on_request_after_close;
  /// \brief Called when the connection is closed while a request is in progress
  /// and `on_disconnected` was not called: nobody learns of the close.
  std::function<void(CloseCause)> on_close_not_reported;
  /// \brief Called when a request was refused because the budget is used up.
  std::function<void()> on_memory_full;

  void Start();
  /// \brief Replaces the limits from the next request on.
  ///
  /// \details The caller of an idle connection may go by the earlier or by the
  /// new idle timeout; the longer one holds until its next request.
  void SetLimits(const CallerLimits& next);
  /// \brief Sends a complete answer. `head` holds the status line and all
  /// headers except Content-Length and Connection, each line with its CRLF.
  void SendAnswer(std::string head, const std::string& body);
  /// \brief Keeps the share of what is queued until it was sent.
  void HoldUntilSent(ByteShare share);
  /// \brief Sends the head of a chunked answer.
  void BeginChunks(std::string head);
  void SendChunk(std::string_view bytes);
  /// \brief Sends the last chunk.
  void EndChunks();
  /// \brief Breaks off an answer so that the caller can tell it is incomplete.
  void Abort();
  /// \brief Makes the next answer that begins the last one of the connection,
  /// and says so in its head.
  void EndKeepAlive();
  /// \brief Closes the connection if it has been idle for kLeaveIdleTime. A
  /// request that has arrived is still read and answered.
  void CloseIfIdle(TimePoint now);

  [[nodiscard]] std::size_t unsent_bytes() const noexcept {
    return this->unsent;
  }
  [[nodiscard]] bool is_busy() const noexcept { return this->in_request; }
  /// \brief Time for which the connection was idle before its latest request.
  [[nodiscard]] Duration IdleTime() const noexcept {
    return this->received_at - this->idle_since;
  }

  static constexpr std::size_t kHighWaterBytes = 64U * 1024U;
  /// Bounds on what is read and dropped after the last answer.
  static constexpr Duration kDropTime = std::chrono::seconds(1);
  static constexpr std::size_t kMaxDroppedBytes = 1024U * 1024U;
  /// Within this time a caller that has just connected sends its request.
  static constexpr Duration kLeaveIdleTime = std::chrono::seconds(1);
  static constexpr Duration kWriteTimeout = std::chrono::seconds(10);

 private:
  void ReadRequest();
  /// Reads the request whose first bytes have arrived.
  void ReadArrivedRequest();
  /// True if bytes of the next request are in the receive buffer of the kernel.
  [[nodiscard]] bool HasInput() const;
  void ExtendIdleTime();
  void OnIdleTimeout();
  void OnReadError(const boost::system::error_code& error);
  void OnRequestRead();
  void SendError(int status, const char* reason,
                 const std::string& headers = "");
  /// Detects that the caller disconnects while its request is in progress.
  void WatchForDisconnect();
  /// Ends or goes on with a request whose caller sends nothing more.
  void OnInputEnd();
  /// Detects that a caller has left that had ended its sending side before.
  void WatchForReset();
  [[nodiscard]] bool HasSocketError();
  /// End of the head of an answer: says whether the connection is closed after
  /// it, or how long it may be idle.
  [[nodiscard]] std::string EndOfHead();
  void Send(std::string bytes);
  void WriteNext();
  void OnWritten();
  /// Closes the connection for `cause` when `deadline` has passed.
  void StartTimer(TimePoint deadline, CloseCause cause);
  void Close(CloseCause cause);
  /// Ends the sending side and drops what the caller still sends before the
  /// connection is closed: closing it with unread bytes would reset it, and the
  /// caller could lose the end of its answer.
  void CloseAfterAnswer(CloseCause cause);
  void DropInput(CloseCause cause);
  /// Tells the flow of a request in progress that the connection is closed.
  void ReportClose(CloseCause cause);
  /// Logs a closing that leaves a request or an answer incomplete.
  void LogClose(CloseCause cause) const;

  boost::asio::ip::tcp::socket socket;
  link::DeadlineTimer timer;
  CallerLimits limits;
  link::ReadBuffer buffer;
  std::optional<link::MessageParser<true>> parser;
  ByteShare request_share;
  ByteShare answer_share;
  /// Idle timeout in force when the latest answer began.
  std::int64_t announced_idle_timeout_ms = 0;
  TimePoint idle_since;
  TimePoint idle_deadline;
  std::deque<std::string> write_queue;
  std::size_t unsent = 0;
  std::size_t dropped_bytes = 0;  ///< Read after the last answer.
  bool is_writing = false;
  bool is_idle = false;  ///< No byte of the next request was seen.
  bool in_request = false;
  bool is_answer_queued = false;  ///< To its last byte.
  bool keep_alive = true;
  bool is_leaving = false;
  bool is_last_answer = false;  ///< Its head says that the connection ends.
  bool is_aborted = false;
  bool is_closed = false;
  TimePoint received_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CALLER_CONNECTION_H_
