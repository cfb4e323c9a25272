#ifndef GOOSEBERRYTURN_TESTS_HTTP_CALL_H_
#define GOOSEBERRYTURN_TESTS_HTTP_CALL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <string>

#include "gooseberryturn/core/endpoint.h"
#include "process.h"

namespace gooseberryturn::fleet {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// An HTTP answer as the caller received it.
struct Answer {
  int status = 0;  ///< 0 when no complete head was received.
  std::string body;
  bool is_complete = false;  ///< The body ended as HTTP framing requires.
  std::map<std::string, std::string> headers;

  [[nodiscard]] bool Contains(const std::string& text) const {
    return this->body.find(text) != std::string::npos;
  }
};

/// One HTTP request over its own connection. A `receive_buffer` of 0 bytes
/// keeps the default of the system.
class Call {
 public:
  Call(const Endpoint& host, const std::string& method, const std::string& path,
       const std::map<std::string, std::string>& headers,
       const std::string& body, int receive_buffer = 0)
      : stream(context) {
    error_code error;
    this->stream.socket().open(asio::ip::tcp::v4(), error);
    if (receive_buffer > 0) {
      this->stream.socket().set_option(
          asio::socket_base::receive_buffer_size(receive_buffer), error);
    }
    this->stream.expires_after(kTestTimeout);
    this->stream.socket().connect(
        {asio::ip::make_address(host.address), host.port}, error);
    if (error) {
      return;
    }
    http::request<http::string_body> request(http::string_to_verb(method), path,
                                             11);
    request.set(http::field::host, host.address);
    for (const auto& header : headers) {
      request.set(header.first, header.second);
    }
    request.body() = body;
    request.prepare_payload();
    http::write(this->stream, request, error);
    this->is_sent = !error;
    this->parser.body_limit(1ULL << 32U);
  }

  /// Reads the head and the first bytes of the body.
  Answer ReadSome() {
    error_code error;
    if (this->is_sent && !this->has_head) {
      http::read_header(this->stream, this->buffer, this->parser, error);
      this->has_head = !error;
    }
    while (this->has_head && !error && this->parser.get().body().empty() &&
           !this->parser.is_done()) {
      http::read_some(this->stream, this->buffer, this->parser, error);
    }
    return this->MakeAnswer(error);
  }
  Answer ReadAll() {
    error_code error;
    if (this->is_sent) {
      http::read(this->stream, this->buffer, this->parser, error);
    }
    return this->MakeAnswer(error);
  }
  void Close() { this->stream.socket().close(); }
  asio::ip::tcp::socket& socket() { return this->stream.socket(); }

 private:
  Answer MakeAnswer(const error_code& error) {
    Answer answer;
    if (!this->parser.is_header_done()) {
      return answer;
    }
    answer.status = static_cast<int>(this->parser.get().result_int());
    answer.body = this->parser.get().body();
    answer.is_complete = !error && this->parser.is_done();
    for (const auto& field : this->parser.get()) {
      answer.headers[std::string(field.name_string())] =
          std::string(field.value());
    }
    return answer;
  }

  asio::io_context context;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  bool is_sent = false;
  bool has_head = false;
};

inline Answer Get(const Endpoint& host, const std::string& path) {
  return Call(host, "GET", path, {}, "").ReadAll();
}

}  // namespace gooseberryturn::fleet

#endif  // GOOSEBERRYTURN_TESTS_HTTP_CALL_H_
