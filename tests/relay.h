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

/// A TCP relay that can be cut silently: bytes stay where they are.
class Relay {
 public:
  Relay(const Endpoint& from, const Endpoint& to)
      : target(asio::ip::make_address(to.address), to.port),
        acceptor(context, {asio::ip::make_address(from.address), from.port}) {
    this->Accept();
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~Relay() {
    this->context.stop();
    this->thread.join();
  }
  void SetPaused(bool cut) { this->is_cut = cut; }

 private:
  struct Pipe {
    Pipe(asio::io_context& context, asio::ip::tcp::socket socket)
        : left(std::move(socket)), right(context), timer(context) {}
    asio::ip::tcp::socket left;
    asio::ip::tcp::socket right;
    asio::steady_timer timer;
    char up[16384];
    char down[16384];
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](const error_code& error, asio::ip::tcp::socket socket) {
          if (!error) {
            const auto pipe =
                std::make_shared<Pipe>(this->context, std::move(socket));
            error_code failed;
            pipe->right.connect(this->target, failed);
            if (!failed) {
              this->Copy(pipe, pipe->left, pipe->right, pipe->up);
              this->Copy(pipe, pipe->right, pipe->left, pipe->down);
            }
          }
          this->Accept();
        });
  }

  void Copy(const std::shared_ptr<Pipe>& pipe, asio::ip::tcp::socket& from,
            asio::ip::tcp::socket& to, char* buffer) {
    from.async_read_some(asio::buffer(buffer, 16384),
                         [this, pipe, &from, &to, buffer](
                             const error_code& error, std::size_t size) {
                           if (error) {
                             error_code ignored;
                             pipe->left.close(ignored);
                             pipe->right.close(ignored);
                             return;
                           }
                           this->Pass(pipe, from, to, buffer, size);
                         });
  }

  void Pass(const std::shared_ptr<Pipe>& pipe, asio::ip::tcp::socket& from,
            asio::ip::tcp::socket& to, char* buffer, std::size_t size) {
    if (this->is_cut) {
      const auto wait = std::make_shared<asio::steady_timer>(
          this->context, std::chrono::milliseconds(20));
      wait->async_wait(
          [this, wait, pipe, &from, &to, buffer, size](const error_code&) {
            this->Pass(pipe, from, to, buffer, size);
          });
      return;
    }
    asio::async_write(
        to, asio::buffer(buffer, size),
        [this, pipe, &from, &to, buffer](const error_code& error, std::size_t) {
          if (!error) {
            this->Copy(pipe, from, to, buffer);
          }
        });
  }

  asio::io_context context;
  asio::ip::tcp::endpoint target;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> is_cut = false;
  std::thread thread;
};

}  // namespace gooseberryturn::fleet

#endif  // GOOSEBERRYTURN_TESTS_RELAY_H_
