#include "gooseberryturn/link/listener.h"

#include <utility>

namespace gooseberryturn::link {

namespace asio = boost::asio;
using boost::system::error_code;

Result<asio::ip::tcp::acceptor> Listen(asio::io_context& context,
                                       const Endpoint& endpoint) {
  const asio::ip::tcp::endpoint local_endpoint(
      asio::ip::make_address(endpoint.address), endpoint.port);
  asio::ip::tcp::acceptor acceptor(context);
  error_code error;
  acceptor.open(local_endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(local_endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::make_unexpected(Error{Reason::kBadRequest, Step::kConnect,
                                     Outcome::kNotRun, ToString(endpoint),
                                     "cannot listen: " + error.message()});
  }
  return acceptor;
}

void Listener::Serve(const std::string& path, OnStream on_stream) {
  this->handlers[path] = std::move(on_stream);
}

void Listener::ServeMessage(const std::string& path, OnMessage on_message) {
  this->Serve(path, [on_message = std::move(on_message)](
                        const std::shared_ptr<Stream>& stream) {
    const std::weak_ptr<Stream> weak = stream;
    stream->on_frame = [weak, on_message](protocol::FrameType /*type*/,
                                          std::string_view payload) {
      const std::shared_ptr<Stream> locked = weak.lock();
      if (locked != nullptr) {
        on_message(locked, payload);
      }
    };
  });
}

Result<void> Listener::Start(const Endpoint& endpoint) {
  Result<asio::ip::tcp::acceptor> opened = Listen(this->context, endpoint);
  if (!opened.has_value()) {
    return tl::make_unexpected(opened.error());
  }
  this->acceptor =
      std::make_unique<asio::ip::tcp::acceptor>(std::move(*opened));
  this->Accept();
  return {};
}

void Listener::Accept() {
  this->acceptor->async_accept([this](const error_code& error,
                                      asio::ip::tcp::socket socket) {
    if (!this->acceptor->is_open()) {
      return;
    }
    if (!error) {
      const std::shared_ptr<Connection> connection =
          std::make_shared<Connection>(std::move(socket), Side::kServer);
      const std::weak_ptr<Connection> weak = connection;
      connection->on_stream = [this](const std::shared_ptr<Stream>& stream) {
        this->Dispatch(stream);
      };
      connection->on_close = [this, weak] {
        this->connections.erase(weak.lock());
      };
      this->connections.insert(connection);
      connection->Start();
    }
    this->Accept();
  });
}

void Listener::Dispatch(const std::shared_ptr<Stream>& stream) {
  const auto handler = this->handlers.find(stream->path());
  if (handler == this->handlers.end()) {
    stream->Refuse();
    return;
  }
  handler->second(stream);
}

void Listener::GoAway() {
  error_code ignored;
  this->acceptor->close(ignored);
  const std::set<std::shared_ptr<Connection>> open = this->connections;
  for (const std::shared_ptr<Connection>& connection : open) {
    connection->GoAway();
  }
}

}  // namespace gooseberryturn::link
