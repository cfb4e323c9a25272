#ifndef GOOSEBERRYTURN_LINK_STREAM_H_
#define GOOSEBERRYTURN_LINK_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/protocol/frame.h"

namespace gooseberryturn::link {

class Connection;
struct ConnectionCallbacks;

/// \brief How a stream ended.
enum class CloseReason : std::uint8_t {
  kFinished,   ///< Both sides ended it normally.
  kRefused,    ///< The peer refused it and did not process the request.
  kCancelled,  ///< One side cancelled it.
  kLost,       ///< The connection was lost, or a protocol error occurred.
};

inline constexpr NameTable<CloseReason, 4> kCloseReasonNames = {
    {"finished", "refused", "cancelled", "lost"}};

/// \brief One HTTP/2 stream that carries frames in both directions.
///
/// \details Used only on the thread of its connection. Callbacks may be
/// replaced at any time; on_close is called exactly once, after all others,
/// unless the stream could not be opened (see Connection::Open).
/// Send, Finish, Cancel, Refuse and Consume do nothing on a closed stream.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  Stream(std::weak_ptr<Connection> connection, std::string path);

  /// \brief Called for each complete frame received; the payload is valid only
  /// during the call.
  std::function<void(protocol::FrameType, std::string_view)> on_frame;
  /// \brief Called when the peer has ended its side of the stream.
  std::function<void()> on_peer_end;
  /// \brief Called once when the stream is closed.
  std::function<void(CloseReason)> on_close;
  /// \brief Called when the unsent bytes fall below kLowWaterBytes.
  std::function<void()> on_writable;

  /// \brief Queues one encoded frame.
  void Send(std::string frame);
  /// \brief Ends this side of the stream after all queued bytes.
  void Finish();
  /// \brief Resets the stream (CANCEL) and drops queued bytes.
  void Cancel();
  /// \brief Resets the stream (REFUSED_STREAM), which tells the peer that the
  /// request was not processed.
  void Refuse();

  /// \brief Stops automatic window updates: from now on, received bytes reduce
  /// the peer's send window until Consume is called for them.
  void EnableManualFlowControl() noexcept {
    this->is_flow_control_manual = true;
  }
  /// \brief Returns `bytes` of flow-control window to the peer.
  void Consume(std::size_t bytes);

  [[nodiscard]] const std::string& path() const noexcept {
    return this->request_path;
  }
  /// \brief Bytes queued and not yet passed to the HTTP/2 session.
  [[nodiscard]] std::size_t unsent_bytes() const noexcept {
    return this->unsent.size() - this->unsent_start;
  }
  [[nodiscard]] bool is_closed() const noexcept { return this->closed; }
  /// \brief Address of the peer.
  [[nodiscard]] std::string peer() const;

  /// \brief Low-water mark of unsent bytes, see on_writable.
  static constexpr std::size_t kLowWaterBytes = 8U * 1024U;
  /// \brief High-water mark: senders pause at it until on_writable is called.
  static constexpr std::size_t kHighWaterBytes = 16U * 1024U;

 private:
  friend class Connection;
  friend struct ConnectionCallbacks;

  std::weak_ptr<Connection> connection;
  std::string request_path;
  std::int32_t id = -1;
  std::string unsent;
  std::size_t unsent_start = 0;
  bool is_finishing = false;
  bool is_deferred = false;  ///< nghttp2 waits for Connection::Resume.
  bool is_flow_control_manual = false;
  bool closed = false;
  bool refused = false;
  protocol::FrameReader reader;
};

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_STREAM_H_
