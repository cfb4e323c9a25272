#ifndef GOOSEBERRYTURN_LINK_READ_BUFFER_H_
#define GOOSEBERRYTURN_LINK_READ_BUFFER_H_

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

#include "gooseberryturn/link/header_limit.h"
#include "gooseberryturn/link/transfer_coding.h"

namespace gooseberryturn::link {

/// \brief What a connection has read of HTTP messages and its parser has not
/// taken yet. Every reader of HTTP uses it.
///
/// \details The parser takes a head, the line before a chunk with its
/// extension, and the fields after the last chunk only as a whole, and has no
/// limit for the latter two. Until then they stay here, so the size of the
/// buffer bounds them: a longer one ends the read with `buffer_overflow`, and
/// no field gets longer than the parser can hold.
class ReadBuffer : public boost::beast::flat_buffer {
 public:
  /// \param max_bytes At most kMaxHeaderBytes.
  explicit ReadBuffer(std::size_t max_bytes = kMaxHeaderBytes)
      : boost::beast::flat_buffer(HeaderLimit(max_bytes)) {}

  /// \brief Changes the limit; bytes that are there already stay.
  void SetLimit(std::size_t max_bytes) {
    this->max_size(std::max<std::size_t>(HeaderLimit(max_bytes), this->size()));
  }
};

/// \brief True for an error of a read that found bytes which are no HTTP
/// message, or one that is over a limit or in an unknown coding; false when the
/// connection failed.
[[nodiscard]] inline bool IsMalformed(
    const boost::system::error_code& error) noexcept {
  namespace http = boost::beast::http;
  return error == kUnknownTransferCoding ||
         (error.category() ==
              http::make_error_code(http::error::bad_method).category() &&
          error != http::error::end_of_stream &&
          error != http::error::partial_message);
}

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_READ_BUFFER_H_
