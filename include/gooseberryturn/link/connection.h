#ifndef GOOSEBERRYTURN_LINK_CONNECTION_H_
#define GOOSEBERRYTURN_LINK_CONNECTION_H_

#include <nghttp2/nghttp2.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/stream.h"

namespace gooseberryturn::link {

/// \brief Whether this end of a connection is the client or the server.
enum class Side : std::uint8_t { kClient, kServer };

/// \brief One HTTP/2 connection over TCP between two processes.
///
/// \details All calls and callbacks run on the thread of the socket's executor.
/// While streams are open, the client sends a ping every kPingInterval, and
/// either side closes the connection if it receives nothing for
/// kSilenceTimeout. This detects a network that drops packets without closing
/// the TCP connection.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(boost::asio::ip::tcp::socket socket, Side side);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// \brief Called for each stream that the peer opens (server side only).
  std::function<void(std::shared_ptr<Stream>)> on_stream;
  /// \brief Called once when the connection is closed.
  std::function<void()> on_close;

  /// \brief Starts reading; call it once, after setting the callbacks.
  void Start();
  /// \brief Opens a stream to the peer (client side only).
  /// \returns A stream that is already closed if it could not be opened; its
  /// on_close is then never called.
  [[nodiscard]] std::shared_ptr<Stream> Open(const std::string& path);
  /// \brief Sends GOAWAY: the peer must open no further streams.
  void GoAway();
  /// \brief Closes the socket; open streams end with CloseReason::kLost.
  void Close();

  [[nodiscard]] bool is_open() const noexcept { return this->opened; }
  /// \brief Whether the peer has sent GOAWAY.
  [[nodiscard]] bool is_going_away() const noexcept { return this->going_away; }
  [[nodiscard]] std::size_t stream_count() const noexcept {
    return this->streams.size();
  }
  /// \brief Address and port of the peer.
  [[nodiscard]] const std::string& peer() const noexcept {
    return this->peer_name;
  }

  /// \brief Initial flow-control window of each stream.
  static constexpr std::int32_t kStreamWindowBytes = 32 * 1024;
  static constexpr Duration kPingInterval = std::chrono::seconds(1);
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(4);

 private:
  friend class Stream;
  friend struct ConnectionCallbacks;

  void Read();
  /// \brief Starts to write unless a write is in progress or nghttp2 is
  /// running.
  void Flush();
  void Write();
  void ScheduleKeepAlive();
  /// \brief Lets nghttp2 take the unsent bytes or the end of a stream.
  void Resume(Stream& stream);
  void ConsumeWindow(Stream& stream, std::size_t bytes);
  void Reset(Stream& stream, std::uint32_t code);
  void CloseStream(std::int32_t id, CloseReason reason);
  [[nodiscard]] std::shared_ptr<Stream> FindStream(std::int32_t id) const;

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  Side side;
  nghttp2_session* session = nullptr;
  bool opened = true;
  bool going_away = false;
  bool is_writing = false;
  /// \brief True while nghttp2 runs; Flush then does nothing.
  bool is_in_callback = false;
  TimePoint silence_deadline;
  std::string peer_name;
  std::map<std::int32_t, std::shared_ptr<Stream>> streams;
  std::array<char, 32 * 1024> input;
  std::string output;
};

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_CONNECTION_H_
