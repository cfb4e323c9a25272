#ifndef GOOSEBERRYTURN_TARGET_EXCHANGE_H_
#define GOOSEBERRYTURN_TARGET_EXCHANGE_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/read_buffer.h"

namespace gooseberryturn::target {

/// \brief A request to be sent to a target.
struct Request {
  std::string method = "POST";
  std::string path;
  std::string content_type;
  std::string request_id;
  std::string idempotency_key;  ///< Empty for idempotent routes.
  std::uint64_t fence = 0;
  std::string body;
};

/// \brief Head of a target's answer.
struct ResponseHead {
  int status = 0;
  std::string content_type;
  /// Boot name of the run that answers, from the header X-Boot; empty if the
  /// target does not send it.
  std::string boot_name;
};

/// \brief Sends one HTTP/1.1 request to a target and streams the answer back.
///
/// \details Must be used only from the thread of the context and owned by a
/// std::shared_ptr. All callbacks must be set before Start. `on_done` is called
/// exactly once and last; the outcome of its error is kNotRun when sending had
/// not started and kUnknown otherwise.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(boost::asio::io_context& context, Endpoint target, Request request,
           TimePoint deadline);

  /// \brief Asked when the connection to the target is made and the request is
  /// about to be sent; its error ends the exchange. Optional.
  std::function<Result<void>()> may_send;
  /// \brief Called once, before the body.
  std::function<void(const ResponseHead&)> on_head;
  /// \brief Called with each part of the body; the view is valid only during
  /// the call.
  std::function<void(std::string_view)> on_body;
  std::function<void(Result<void>)> on_done;

  void Start();
  /// \brief Stops reading, so that TCP flow control slows the target down.
  void Pause() noexcept { this->is_paused = true; }
  void Resume();
  /// \brief Ends the exchange with `error`. Its outcome is replaced by kNotRun
  /// or kUnknown as described above.
  void Cancel(Error error);

  static constexpr std::size_t kBodyBufferBytes = 8U * 1024U;

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void FinishAtDeadline();
  /// Sends the request, unless its deadline has passed or `may_send` objects.
  void Write();
  void ReadHead();
  /// Waits for the next head if this one is interim.
  void OnHead();
  void ReadBody();
  void Finish(Result<void> result);
  /// Ends the exchange when `error` is set.
  /// \returns True when the exchange has ended, now or earlier.
  [[nodiscard]] bool FinishOnError(const boost::system::error_code& error);
  [[nodiscard]] Error MakeError(Reason reason,
                                const std::string& message) const;

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  Endpoint target;
  Request request;
  TimePoint deadline;
  boost::beast::http::request<boost::beast::http::string_body> http_request;
  link::ReadBuffer read_buffer;
  std::optional<Parser> parser;
  int interim_answers = 0;
  std::array<char, kBodyBufferBytes> body_buffer;
  bool has_started_sending = false;
  bool is_paused = false;
  bool is_reading = false;
  bool has_head = false;
  bool is_done = false;
};

/// \brief Sends a request whose answer is short and collects its body.
/// \param on_reply Receives the body when the status is 200, otherwise an
/// error. Parts of the body that would exceed 64 KiB in total are left out.
void SendShortRequest(boost::asio::io_context& context, const Endpoint& target,
                      Request request, TimePoint deadline,
                      std::function<void(Result<std::string>)> on_reply);

}  // namespace gooseberryturn::target

#endif  // GOOSEBERRYTURN_TARGET_EXCHANGE_H_
