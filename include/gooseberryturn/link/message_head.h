#ifndef GOOSEBERRYTURN_LINK_MESSAGE_HEAD_H_
#define GOOSEBERRYTURN_LINK_MESSAGE_HEAD_H_

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

#include "gooseberryturn/core/http_status.h"
#include "gooseberryturn/link/transfer_coding.h"

namespace gooseberryturn::link {

/// Interim answers to one request.
inline constexpr int kMaxInterimAnswers = 8;

/// \brief Checks the head of a request. Every reader of requests calls it
/// before it uses the request.
///
/// \returns An error of CheckTransferCoding.
[[nodiscard]] inline boost::system::error_code CheckHead(
    const boost::beast::http::header<true, boost::beast::http::fields>& head) {
  return CheckTransferCoding<true>(head);
}

/// \brief Checks the head of an answer. Every reader of answers calls it before
/// it uses the answer.
///
/// \details Boost.Beast takes any three digits for a status.
/// \returns `bad_status` for a status that HTTP does not have, or an error of
/// CheckTransferCoding.
[[nodiscard]] inline boost::system::error_code CheckHead(
    const boost::beast::http::header<false, boost::beast::http::fields>& head) {
  if (!IsHttpStatus(static_cast<int>(head.result_int()))) {
    return boost::beast::http::error::bad_status;
  }
  return CheckTransferCoding<false>(head);
}

/// \brief True if the answer to the request is still to come. Boost.Beast takes
/// an interim answer for a whole one. RFC 9110, section 15.2.
/// \param head A head that CheckHead has found right.
[[nodiscard]] inline bool IsInterim(
    const boost::beast::http::header<false, boost::beast::http::fields>& head) {
  return !IsFinalHttpStatus(static_cast<int>(head.result_int()));
}

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_MESSAGE_HEAD_H_
