#ifndef GOOSEBERRYTURN_LINK_LISTENER_H_
#define GOOSEBERRYTURN_LINK_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/link/connection.h"

namespace gooseberryturn::link {

/// \brief Opens a TCP socket that listens at `endpoint`.
[[nodiscard]] Result<boost::asio::ip::tcp::acceptor> Listen(
    boost::asio::io_context& context, const Endpoint& endpoint);

/// \brief Server side of the links of a process.
///
/// \details Streams are passed to the hook of their path; a stream with an
/// unknown path is refused.
class Listener {
 public:
  using OnStream = std::function<void(std::shared_ptr<Stream>)>;
  using OnMessage =
      std::function<void(std::shared_ptr<Stream>, std::string_view)>;

  explicit Listener(boost::asio::io_context& context) : context(context) {}

  /// \brief Serves streams of `path` with `on_stream`.
  void Serve(const std::string& path, OnStream on_stream);
  /// \brief Serves streams of `path` whose requests are one message.
  void ServeMessage(const std::string& path, OnMessage on_message);
  /// \brief Starts to accept connections.
  [[nodiscard]] Result<void> Start(const Endpoint& endpoint);
  /// \brief Stops accepting and announces on each connection that no new
  /// streams are taken.
  void GoAway();

 private:
  void Accept();
  void Dispatch(const std::shared_ptr<Stream>& stream);

  boost::asio::io_context& context;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::map<std::string, OnStream> hooks;
  std::set<std::shared_ptr<Connection>> connections;
};

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_LISTENER_H_
