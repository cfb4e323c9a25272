#include "api_call.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <utility>

namespace gooseberryturn::ctl {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds kConnectTimeout(1);
constexpr std::chrono::seconds kAnswerTimeout(10);
constexpr std::uint64_t kMaxAnswerBytes = 256U * 1024U * 1024U;

}  // namespace

ApiCall::ApiCall(const Endpoint& host, Request request)
    : socket(context),
      timer(context.get_executor()),
      host(host),
      request(std::move(request)) {
  this->request.set(http::field::host, ToString(this->host));
  this->request.keep_alive(false);
  this->request.prepare_payload();
}

error_code ApiCall::Run() {
  error_code bad_address;
  const tcp::endpoint remote(
      asio::ip::make_address(this->host.address, bad_address), this->host.port);
  if (bad_address) {
    return bad_address;
  }
  this->SetDeadline(Clock::now() + kConnectTimeout);
  this->socket.async_connect(remote, [this](const error_code& error) {
    error ? this->End(error) : this->Write();
  });
  this->context.run();
  return *this->result;
}

void ApiCall::Write() {
  this->SetDeadline(Clock::now() + kAnswerTimeout);
  http::async_write(this->socket, this->request,
                    [this](const error_code& error, std::size_t /*size*/) {
                      error ? this->End(error) : this->Read();
                    });
}

void ApiCall::Read() {
  link::ReadAnswer(this->socket, this->buffer, this->parser, kMaxAnswerBytes,
                   this->share,
                   [this](const error_code& error) { this->End(error); });
}

void ApiCall::SetDeadline(TimePoint deadline) {
  this->timer.Set(deadline, [this] { this->End(asio::error::timed_out); });
}

void ApiCall::End(const error_code& error) {
  if (this->result.has_value()) {
    return;
  }
  this->result = error;
  error_code ignored;
  this->socket.close(ignored);
  this->timer.Cancel();
}

}  // namespace gooseberryturn::ctl
