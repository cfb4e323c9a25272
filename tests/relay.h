#ifndef GOOSEBERRYTURN_TESTS_RELAY_H_
#define GOOSEBERRYTURN_TESTS_RELAY_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <thread>

#include "gooseberryturn/core/endpoint.h"
#include "http_call.h"

namespace gooseberryturn::fleet {

/// A TCP relay that can silently stop forwarding, like a network partition.
/// While it is paused, connections stay open and received bytes are held.
class Relay {
 public:
  Relay(const Endpoint& listen_address, const Endpoint& server_address)
      : server(asio::ip::make_address(server_address.address),
               server_address.port),
        acceptor(context, {asio::ip::make_address(listen_address.address),
                           listen_address.port}) {
    this->Accept();
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~Relay() {
    this->context.stop();
    this->thread.join();
  }
  void SetPaused(bool paused) { this->is_paused = paused; }

 private:
  /// A client connection and the matching connection to the server.
  struct ConnectionPair {
    ConnectionPair(asio::io_context& context, asio::ip::tcp::socket socket)
        : client_socket(std::move(socket)),
          server_socket(context),
          timer(context) {}
    asio::ip::tcp::socket client_socket;
    asio::ip::tcp::socket server_socket;
    asio::steady_timer timer;
    char client_buffer[16384];
    char server_buffer[16384];
  };

  void Accept() {
    this->acceptor.async_accept([this](const error_code& error,
                                       asio::ip::tcp::socket socket) {
      if (!error) {
        const auto pair =
            std::make_shared<ConnectionPair>(this->context, std::move(socket));
        error_code connect_error;
        pair->server_socket.connect(this->server, connect_error);
        if (!connect_error) {
          this->ReadNext(pair, pair->client_socket, pair->server_socket,
                         pair->client_buffer);
          this->ReadNext(pair, pair->server_socket, pair->client_socket,
                         pair->server_buffer);
        }
      }
      this->Accept();
    });
  }

  /// Reads from `source` and passes the bytes on to `destination`, repeatedly.
  void ReadNext(const std::shared_ptr<ConnectionPair>& pair,
                asio::ip::tcp::socket& source,
                asio::ip::tcp::socket& destination, char* buffer) {
    source.async_read_some(asio::buffer(buffer, 16384),
                           [this, pair, &source, &destination, buffer](
                               const error_code& error, std::size_t size) {
                             if (error) {
                               error_code ignored;
                               pair->client_socket.close(ignored);
                               pair->server_socket.close(ignored);
                               return;
                             }
                             this->WriteOrHold(pair, source, destination,
                                               buffer, size);
                           });
  }

  /// Writes to `destination`; while paused, tries again every 20 ms.
  void WriteOrHold(const std::shared_ptr<ConnectionPair>& pair,
                   asio::ip::tcp::socket& source,
                   asio::ip::tcp::socket& destination, char* buffer,
                   std::size_t size) {
    if (this->is_paused) {
      const auto retry_timer = std::make_shared<asio::steady_timer>(
          this->context, std::chrono::milliseconds(20));
      retry_timer->async_wait([this, retry_timer, pair, &source, &destination,
                               buffer, size](const error_code&) {
        this->WriteOrHold(pair, source, destination, buffer, size);
      });
      return;
    }
    asio::async_write(destination, asio::buffer(buffer, size),
                      [this, pair, &source, &destination, buffer](
                          const error_code& error, std::size_t) {
                        if (!error) {
                          this->ReadNext(pair, source, destination, buffer);
                        }
                      });
  }

  asio::io_context context;
  asio::ip::tcp::endpoint server;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> is_paused = false;
  std::thread thread;
};

}  // namespace gooseberryturn::fleet

#endif  // GOOSEBERRYTURN_TESTS_RELAY_H_
