#ifndef GOOSEBERRYTURN_LINK_MESSAGE_READER_H_
#define GOOSEBERRYTURN_LINK_MESSAGE_READER_H_

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "gooseberryturn/core/byte_budget.h"
#include "gooseberryturn/link/message_head.h"
#include "gooseberryturn/link/read_buffer.h"

namespace gooseberryturn::link {

/// \brief Parser of a message whose body is kept in memory.
template <bool kIsRequest>
using MessageParser =
    boost::beast::http::parser<kIsRequest, boost::beast::http::string_body>;

/// \brief Receives how a read ended.
using OnMessageRead = std::function<void(const boost::system::error_code&)>;

namespace detail {

/// The read of one message; each step moves it into the next.
template <bool kIsRequest>
struct MessageRead {
  void ReadHead() {
    boost::beast::http::async_read_header(
        this->socket, this->buffer, this->parser,
        [read = std::move(*this)](const boost::system::error_code& error,
                                  std::size_t /*size*/) mutable {
          const boost::system::error_code failure =
              error ? error : CheckHead(read.parser.get());
          if (failure) {
            read.on_read(failure);
          } else {
            read.ReadBody();
          }
        });
  }

  void ReadBody() {
    if (!this->share.Resize(this->parser.get().body().size())) {
      this->on_read(boost::asio::error::no_memory);
      return;
    }
    if (this->parser.is_done()) {
      this->on_read({});
      return;
    }
    boost::beast::http::async_read_some(
        this->socket, this->buffer, this->parser,
        [read = std::move(*this)](const boost::system::error_code& error,
                                  std::size_t /*size*/) mutable {
          if (error) {
            read.on_read(error);
          } else {
            read.ReadBody();
          }
        });
  }

  boost::asio::ip::tcp::socket& socket;
  ReadBuffer& buffer;
  MessageParser<kIsRequest>& parser;
  ByteShare& share;
  OnMessageRead on_read;
};

}  // namespace detail

/// \brief Reads a message with its body, which the parser's limit bounds.
///
/// \details The head is read by itself: when the first bytes of the body of a
/// response arrive with its head, Boost.Beast 1.74 drops the error for a body
/// that is declared to be longer than the limit, and reads it whole. A head
/// that CheckHead finds wrong ends the read.
/// \param share Holds the bytes of the body. Ends the read with
/// `boost::asio::error::no_memory` when its budget is used up.
/// \param on_read Called once. Keeps all the other arguments alive.
template <bool kIsRequest>
void ReadMessage(boost::asio::ip::tcp::socket& socket, ReadBuffer& buffer,
                 MessageParser<kIsRequest>& parser, ByteShare& share,
                 OnMessageRead on_read) {
  detail::MessageRead<kIsRequest>{socket, buffer, parser, share,
                                  std::move(on_read)}
      .ReadHead();
}

namespace detail {

/// The read of one answer and of the interim ones before it.
struct AnswerRead {
  void Read() {
    this->parser.emplace();
    this->parser->body_limit(this->max_body_bytes);
    ReadMessage<false>(
        this->socket, this->buffer, *this->parser, this->share,
        [read = *this](const boost::system::error_code& error) mutable {
          if (error || !IsInterim(read.parser->get())) {
            read.on_read(error);
            return;
          }
          read.interim_answers += 1;
          if (read.interim_answers > kMaxInterimAnswers) {
            read.on_read(boost::beast::http::error::bad_status);
          } else {
            read.Read();
          }
        });
  }

  boost::asio::ip::tcp::socket& socket;
  ReadBuffer& buffer;
  std::optional<MessageParser<false>>& parser;
  std::uint64_t max_body_bytes;
  ByteShare& share;
  OnMessageRead on_read;
  int interim_answers = 0;
};

}  // namespace detail

/// \brief Reads the answer to a request with its body, behind interim answers.
///
/// \details As ReadMessage, which reads each of them. More than
/// kMaxInterimAnswers end the read with `bad_status`.
/// \param parser Holds the answer; it is made anew for each message.
inline void ReadAnswer(boost::asio::ip::tcp::socket& socket, ReadBuffer& buffer,
                       std::optional<MessageParser<false>>& parser,
                       std::uint64_t max_body_bytes, ByteShare& share,
                       OnMessageRead on_read) {
  detail::AnswerRead{socket,         buffer, parser,
                     max_body_bytes, share,  std::move(on_read)}
      .Read();
}

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_MESSAGE_READER_H_
