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

/// \brief Opens a TCP socket that listens on `endpoint`.
/// \throws boost::system::system_error if `endpoint.address` is not a literal
/// IP address.
[[nodiscard]] Result<boost::asio::ip::tcp::acceptor> Listen(
    boost::asio::io_context& context, const Endpoint& endpoint);

/// \brief Server side of the links of a process.
///
/// \details Each stream is passed to the handler of its path; a stream with an
/// unknown path is refused. The listener must outlive its connections, which
/// call back into it.
class Listener {
 public:
  using OnStream = std::function<void(std::shared_ptr<Stream>)>;
  using OnMessage =
      std::function<void(std::shared_ptr<Stream>, std::string_view)>;

  explicit Listener(boost::asio::io_context& context) : context(context) {}

  /// \brief Registers the handler for streams with this path.
  void Serve(const std::string& path, OnStream on_stream);
  /// \brief Registers a handler for streams with this path whose request is one
  /// message; the handler gets the message in serialized form.
  void ServeMessage(const std::string& path, OnMessage on_message);
  /// \brief Starts to accept connections on `endpoint`.
  [[nodiscard]] Result<void> Start(const Endpoint& endpoint);
  /// \brief Stops accepting connections and sends GOAWAY on the open ones; call
  /// it only after Start has succeeded.
  void GoAway();

 private:
  void Accept();
  void Dispatch(const std::shared_ptr<Stream>& stream);

  boost::asio::io_context& context;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
  std::map<std::string, OnStream> handlers;
  std::set<std::shared_ptr<Connection>> connections;
};

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_LISTENER_H_
