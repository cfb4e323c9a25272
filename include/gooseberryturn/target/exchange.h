#ifndef GOOSEBERRYTURN_TARGET_EXCHANGE_H_
#define GOOSEBERRYTURN_TARGET_EXCHANGE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"

namespace gooseberryturn::target {

/// \brief A request as the target is given it.
struct Request {
  std::string method = "POST";
  std::string path;
  std::string content_type;
  std::string request_id;
  std::string
      idempotency_key;  ///< Idempotency key, empty for idempotent routes.
  std::uint64_t fence = 0;
  std::string body;
};

/// \brief One HTTP/1.1 request to a target, its answer streamed back.
///
/// \details Belongs to the thread of the context. on_done is called exactly
/// once. Its error says kNotRun when nothing was sent and kUnknown otherwise.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(boost::asio::io_context& context, Endpoint target, Request request,
           TimePoint deadline);

  std::function<void(int status, const std::string& content_type)> on_head;
  std::function<void(std::string_view)> on_body;
  std::function<void(Result<void>)> on_done;

  void Start();
  /// \brief Stops reading; the target is held back by its own connection.
  void Pause() noexcept { this->paused = true; }
  void Resume();
  /// \brief Ends the exchange with `error`; its outcome is filled in.
  void Cancel(Error error);

  static constexpr std::size_t kBufferBytes = 8U * 1024U;

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void Write();
  void ReadHead();
  void ReadBody();
  void Finish(Result<void> result);
  /// Ends the exchange when `error` is set; true when it is over.
  [[nodiscard]] bool HasEnded(const boost::system::error_code& error);
  [[nodiscard]] Error Failure(Reason reason, const std::string& message) const;

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  Endpoint target;
  Request request;
  TimePoint deadline;
  boost::beast::http::request<boost::beast::http::string_body> message;
  boost::beast::flat_buffer buffer;
  Parser parser;
  std::array<char, kBufferBytes> body;
  bool was_sent = false;
  bool paused = false;
  bool is_reading = false;
  bool has_head = false;
  bool is_done = false;
};

/// \brief Sends a short request and collects the whole answer.
/// \param on_reply Gets the body of an answer with status 200, else an error.
void ShortRequest(boost::asio::io_context& context, const Endpoint& target,
                  Request request, TimePoint deadline,
                  std::function<void(Result<std::string>)> on_reply);

}  // namespace gooseberryturn::target

#endif  // GOOSEBERRYTURN_TARGET_EXCHANGE_H_
