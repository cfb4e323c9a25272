#ifndef GOOSEBERRYTURN_LINK_CHANNEL_H_
#define GOOSEBERRYTURN_LINK_CHANNEL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/connection.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::link {

/// \brief Client side of the link to one peer; connects on demand.
///
/// \details Used only on the thread of its io_context; callbacks run there too,
/// and may run before Open or Call returns.
class Channel : public std::enable_shared_from_this<Channel> {
 public:
  using OnOpen = std::function<void(Result<std::shared_ptr<Stream>>)>;
  using OnReply = std::function<void(Result<std::string>)>;

  Channel(boost::asio::io_context& context, Endpoint peer);

  /// \brief Opens a stream; connects first if there is no usable connection.
  ///
  /// \details Errors have Outcome::kNotRun, because nothing was sent.
  void Open(const std::string& path, OnOpen on_open);
  /// \brief Sends one message and passes the one-message reply to `on_reply`.
  ///
  /// \details `deadline` includes the time to connect. Errors have
  /// Outcome::kNotRun if nothing was sent or the peer refused the stream, and
  /// Outcome::kUnknown otherwise: after a lost connection, for example, or if
  /// no reply came before `deadline`.
  void Call(const std::string& path, std::string message, TimePoint deadline,
            OnReply on_reply);
  /// \brief Closes the connection, if any; does not stop a connect that is in
  /// progress.
  void Close();

  [[nodiscard]] const Endpoint& peer() const noexcept { return this->endpoint; }

  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);

 private:
  /// \brief Open call that waits for the connection.
  struct PendingOpen {
    std::string path;
    OnOpen on_open;
  };

  void Connect();
  void OnConnected(boost::asio::ip::tcp::socket socket);
  void FailPendingOpens(const std::string& message);

  boost::asio::io_context& context;
  Endpoint endpoint;
  std::shared_ptr<Connection> connection;
  bool is_connecting = false;
  std::vector<PendingOpen> pending_opens;
};

/// \brief The channels of a process, one for each peer.
class ChannelPool {
 public:
  explicit ChannelPool(boost::asio::io_context& context) : context(context) {}

  /// \brief Channel to `peer`, created on first use.
  [[nodiscard]] std::shared_ptr<Channel> Get(const Endpoint& peer);
  /// \brief Closes all channels.
  void Close();

 private:
  boost::asio::io_context& context;
  std::map<std::string, std::shared_ptr<Channel>> channels;
};

/// \brief Sends one message as the reply and ends this side of the stream.
template <typename Message>
void Reply(Stream& stream, const Message& message) {
  stream.Send(protocol::EncodeFrame(protocol::FrameType::kMessage,
                                    protocol::Encode(message)));
  stream.Finish();
}

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_CHANNEL_H_
