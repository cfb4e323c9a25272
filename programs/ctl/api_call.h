#ifndef GOOSEBERRYTURN_PROGRAMS_CTL_API_CALL_H_
#define GOOSEBERRYTURN_PROGRAMS_CTL_API_CALL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <optional>

#include "gooseberryturn/core/byte_budget.h"
#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/deadline_timer.h"
#include "gooseberryturn/link/message_reader.h"
#include "gooseberryturn/link/read_buffer.h"

namespace gooseberryturn::ctl {

/// \brief One request to a control host, over a connection of its own.
class ApiCall {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  ApiCall(const Endpoint& host, Request request);

  /// \brief Sends the request and waits for the answer. To be called once.
  /// \returns Why there is no whole and valid answer, or success.
  [[nodiscard]] boost::system::error_code Run();
  /// \brief The answer after a Run that succeeded.
  [[nodiscard]] const Response& response() const { return this->parser->get(); }

 private:
  void Write();
  void Read();
  /// Replaces the deadline at which the call ends.
  void SetDeadline(TimePoint deadline);
  void End(const boost::system::error_code& error);

  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket;
  link::DeadlineTimer timer;
  Endpoint host;
  Request request;
  link::ReadBuffer buffer;
  std::optional<link::MessageParser<false>> parser;
  ByteShare share;                                  ///< Without a budget.
  std::optional<boost::system::error_code> result;  ///< Of a call that ended.
};

}  // namespace gooseberryturn::ctl

#endif  // GOOSEBERRYTURN_PROGRAMS_CTL_API_CALL_H_
