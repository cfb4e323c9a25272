#ifndef GOOSEBERRYTURN_LINK_TRANSFER_CODING_H_
#define GOOSEBERRYTURN_LINK_TRANSFER_CODING_H_

#include <algorithm>
#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <iterator>

namespace gooseberryturn::link {

/// Error of a read for a message with codings beside chunked, which are not
/// understood. No read of a socket ends with it.
inline constexpr boost::asio::error::basic_errors kUnknownTransferCoding =
    boost::asio::error::operation_not_supported;

namespace detail {

/// HTTP/1.1; earlier versions have no transfer codings.
inline constexpr unsigned kFirstCodedVersion = 11;
inline constexpr char kChunkedCoding[] = "chunked";
inline constexpr char kListBlanks[] = " \t";

}  // namespace detail

/// \brief Checks the transfer coding of a message, which has no other than
/// chunked. Readers of HTTP call it through CheckHead.
///
/// \details Boost.Beast takes a request whose last coding is not chunked to
/// have no body, and drops codings before chunked. RFC 9112, sections 6.1 and
/// 6.3.
/// \returns `bad_transfer_encoding` when the end of the body is not known,
/// kUnknownTransferCoding when it is known but not what the body holds.
template <bool kIsRequest>
[[nodiscard]] boost::system::error_code CheckTransferCoding(
    const boost::beast::http::header<kIsRequest, boost::beast::http::fields>&
        head) {
  namespace http = boost::beast::http;
  const auto fields = head.equal_range(http::field::transfer_encoding);
  if (fields.first == fields.second) {
    return {};
  }
  if (kIsRequest && head.version() < detail::kFirstCodedVersion) {
    return http::error::bad_transfer_encoding;
  }
  const boost::beast::string_view codings = std::prev(fields.second)->value();
  const std::size_t comma = codings.rfind(',');
  const bool is_single = comma == boost::beast::string_view::npos &&
                         std::next(fields.first) == fields.second;
  boost::beast::string_view last =
      codings.substr(comma == boost::beast::string_view::npos ? 0 : comma + 1);
  last.remove_prefix(
      std::min(last.find_first_not_of(detail::kListBlanks), last.size()));
  last = last.substr(0, last.find_last_not_of(detail::kListBlanks) + 1);
  if (!boost::beast::iequals(last, detail::kChunkedCoding)) {
    return http::error::bad_transfer_encoding;
  }
  return is_single ? boost::system::error_code()
                   : boost::system::error_code(kUnknownTransferCoding);
}

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_TRANSFER_CODING_H_
