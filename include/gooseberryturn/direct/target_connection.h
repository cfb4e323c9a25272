#ifndef GOOSEBERRYTURN_DIRECT_TARGET_CONNECTION_H_
#define GOOSEBERRYTURN_DIRECT_TARGET_CONNECTION_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/read_buffer.h"

namespace gooseberryturn::direct {

/// \brief How an exchange (one request and its answer) with a target ended.
enum class ExchangeEnd : std::uint8_t {
  kComplete,   ///< The whole answer arrived.
  kNotSent,    ///< No byte was sent; not executed.
  kCut,        ///< The connection broke; may have been executed.
  kInvalid,    ///< Malformed, or an answer to another request.
  kCancelled,  ///< Cancelled by this side.
};

inline constexpr NameTable<ExchangeEnd, 5> kExchangeEndNames = {
    {"complete", "not_sent", "cut", "invalid", "cancelled"}};

/// \brief Status line and headers of a target's answer.
using ResponseHead =
    boost::beast::http::header<false, boost::beast::http::fields>;

/// \brief Callbacks of one exchange, and its time limit.
struct ExchangeHooks {
  std::function<void(const ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
  /// Called exactly once, after all others.
  std::function<void(ExchangeEnd, const std::string& why)> on_end;
  /// From then on the request is no longer sent.
  TimePoint send_by = TimePoint::max();
};

/// \brief An HTTP/1.1 connection to a target; carries one request at a time.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  TargetConnection(boost::asio::io_context& context, Endpoint peer);

  /// \brief Connects if necessary, sends `request` and reads the answer whose
  /// header `id_header` is `id`. One late answer with another id is skipped.
  void Exchange(std::string request, std::string id_header, std::string id,
                ExchangeHooks hooks);
  /// \brief Ends the exchange with kCancelled and closes the connection.
  void Cancel();
  /// \brief Ends the exchange as invalid: what came is no answer that can be
  /// used.
  void Reject(const std::string& why) { this->End(ExchangeEnd::kInvalid, why); }
  /// \brief Pauses or resumes reading, for callers that read slowly.
  void SetPaused(bool paused);
  /// \brief Watches an idle connection and closes it when the target does.
  void WatchIdle();

  /// \brief True for an idle connection that the target has neither closed nor
  /// sent anything on, as the kernel knows it now: the event loop may not have
  /// come to tell WatchIdle yet.
  [[nodiscard]] bool IsSilent();

  /// \brief True if another request may be sent on this connection.
  [[nodiscard]] bool is_reusable() const noexcept { return this->reusable; }
  [[nodiscard]] bool is_connected() const noexcept { return this->connected; }
  /// \brief True if the request of the latest exchange was sent whole.
  [[nodiscard]] bool is_request_sent() const noexcept {
    return this->is_written;
  }
  /// \brief When an idle connection should no longer be used.
  [[nodiscard]] TimePoint idle_until() const noexcept {
    return this->idle_deadline;
  }

  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(450);
  static constexpr Duration kDefaultIdleTime = std::chrono::seconds(4);

 private:
  void Connect();
  /// Sends the request and reads its answer, unless it is too late for that.
  void SendRequest();
  void Write();
  void ReadHead();
  void OnHead();
  void ReadBody();
  void DeliverBody();
  void Finish();
  void End(ExchangeEnd end, const std::string& why);
  void Close();

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  Endpoint peer;
  std::string request;
  std::string id_header;
  std::string id;
  ExchangeHooks hooks;
  link::ReadBuffer buffer;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::buffer_body>>
      parser;
  std::array<char, 8192> body_buffer;
  std::uint64_t exchange_number = 0;
  bool connected = false;
  bool reusable = false;
  bool is_written = false;
  bool is_reset = false;  ///< As the write of the request has found.
  bool is_paused = false;
  bool is_read_due = false;  ///< A read was skipped while paused.
  bool is_skipping_answer = false;
  bool has_skipped_answer = false;
  int interim_answers = 0;        ///< Of this exchange.
  std::size_t skipped_bytes = 0;  ///< Of this exchange.
  TimePoint idle_deadline;
};

/// \brief Idle connections that one of `entries` may keep to a target which
/// accepts `max_connections` in total (0: the limit is unknown).
[[nodiscard]] std::size_t IdleConnectionLimit(std::size_t max_connections,
                                              double entries) noexcept;

/// \brief Idle connections of one entry to all targets.
class TargetConnectionPool {
 public:
  explicit TargetConnectionPool(boost::asio::io_context& context)
      : context(context) {}

  /// \brief Returns an idle connection, or a new one that is not connected.
  [[nodiscard]] std::shared_ptr<TargetConnection> Acquire(
      const std::string& target, const Endpoint& peer);
  /// \brief Returns a connection after an exchange. It is dropped if it is not
  /// reusable or the target already has `max_idle` idle ones.
  void Release(const std::string& target,
               const std::shared_ptr<TargetConnection>& connection,
               std::size_t max_idle);
  /// \brief Drops connections that are closed or were idle for too long.
  void Expire(TimePoint now);
  /// \brief Closes all idle connections to `target`.
  void CloseIdle(const std::string& target);

 private:
  boost::asio::io_context& context;
  std::map<std::string, std::vector<std::shared_ptr<TargetConnection>>>
      idle_connections;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_TARGET_CONNECTION_H_
