#ifndef GOOSEBERRYTURN_DIRECT_HTTP_SERVER_SESSION_H_
#define GOOSEBERRYTURN_DIRECT_HTTP_SERVER_SESSION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/link/deadline_timer.h"
#include "gooseberryturn/link/message_reader.h"
#include "gooseberryturn/link/read_buffer.h"

namespace gooseberryturn::direct {

/// \brief A connection to an AsyncHttpServer.
///
/// \details Reads calls and writes their answers, one after another. The last
/// answer of a connection is followed by a close of the sending side only. What
/// the caller still sends is then read and dropped for a while: a socket that
/// is closed with unread bytes resets the connection, which can destroy an
/// answer on its way.
class HttpServerSession
    : public std::enable_shared_from_this<HttpServerSession> {
 public:
  HttpServerSession(boost::asio::ip::tcp::socket socket,
                    std::shared_ptr<AsyncHttpServer::Handler> handler,
                    const HttpServerLimits& limits);

  /// \brief Called once the connection was closed.
  std::function<void(const std::shared_ptr<HttpServerSession>&)> on_closed;

  void Start() { this->Read(); }
  /// \brief Ends the connection after the answer to its current call. Without
  /// one, it ends when no call arrives within HttpServerLimits::leave_timeout.
  void Leave();
  /// \brief False once the caller of the call that is being answered is known
  /// to have closed its connection.
  [[nodiscard]] bool IsAwaited();

 private:
  enum class State : std::uint8_t {
    kReading,    ///< Waits for a call, or reads one.
    kAnswering,  ///< The handler has the call.
    kWriting,
    kLingering,  ///< Reads and drops what follows the last answer.
    kClosed
  };

  void Read();
  /// Closes the connection unless a part of a call was read.
  void CloseIfUnused();
  void OnRead(const boost::system::error_code& error);
  void Respond(HttpResponse reply, bool keep_alive);
  void OnWritten(const boost::system::error_code& error, bool keep_alive);
  void Linger();
  void Drop();
  void Close();

  boost::asio::ip::tcp::socket socket;
  link::DeadlineTimer timer;
  std::shared_ptr<AsyncHttpServer::Handler> handler;
  HttpServerLimits limits;
  State state = State::kReading;
  bool is_leaving = false;
  link::ReadBuffer buffer;
  ByteShare share;  ///< Of the call that is read or answered.
  std::optional<link::MessageParser<true>> parser;
  boost::beast::http::response<boost::beast::http::string_body> response;
  std::vector<char> dropped;  ///< Space for bytes that are dropped.
  std::size_t dropped_bytes = 0;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_HTTP_SERVER_SESSION_H_
