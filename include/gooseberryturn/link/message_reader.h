#ifndef GOOSEBERRYTURN_LINK_MESSAGE_READER_H_
#define GOOSEBERRYTURN_LINK_MESSAGE_READER_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <utility>

#include "gooseberryturn/link/read_buffer.h"

namespace gooseberryturn::link {

/// \brief Parser of a message whose body is kept in memory.
template <bool kIsRequest>
using MessageParser =
    boost::beast::http::parser<kIsRequest, boost::beast::http::string_body>;

/// \brief Receives how a read ended.
using OnMessageRead = std::function<void(const boost::system::error_code&)>;

namespace detail {

template <bool kIsRequest>
void ReadBody(boost::asio::ip::tcp::socket& socket, ReadBuffer& buffer,
              MessageParser<kIsRequest>& parser, OnMessageRead on_read) {
  if (parser.is_done()) {
    on_read({});
    return;
  }
  boost::beast::http::async_read_some(
      socket, buffer, parser,
      [&socket, &buffer, &parser, on_read = std::move(on_read)](
          const boost::system::error_code& error, std::size_t /*size*/) {
        if (error) {
          on_read(error);
        } else {
          ReadBody<kIsRequest>(socket, buffer, parser, on_read);
        }
      });
}

}  // namespace detail

/// \brief Reads a message with its body, which the parser's limit bounds.
///
/// \details The head is read by itself: when the first bytes of the body of a
/// response arrive with its head, Boost.Beast 1.74 drops the error for a body
/// that is declared to be longer than the limit, and reads it whole.
/// \param on_read Called once. Keeps the socket, the buffer and the parser
/// alive.
template <bool kIsRequest>
void ReadMessage(boost::asio::ip::tcp::socket& socket, ReadBuffer& buffer,
                 MessageParser<kIsRequest>& parser, OnMessageRead on_read) {
  boost::beast::http::async_read_header(
      socket, buffer, parser,
      [&socket, &buffer, &parser, on_read = std::move(on_read)](
          const boost::system::error_code& error, std::size_t /*size*/) {
        if (error) {
          on_read(error);
        } else {
          detail::ReadBody<kIsRequest>(socket, buffer, parser, on_read);
        }
      });
}

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_MESSAGE_READER_H_
