#ifndef GOOSEBERRYTURN_DIRECT_TARGET_CONNECTION_H_
#define GOOSEBERRYTURN_DIRECT_TARGET_CONNECTION_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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

namespace gooseberryturn::direct {

/// \brief How an exchange with a target ended.
enum class ExchangeEnd : std::uint8_t {
  kComplete,   ///< The whole answer came.
  kNotSent,    ///< No byte of the request left: it has not run.
  kCut,        ///< The connection broke; the request may have run.
  kInvalid,    ///< Bytes that are no answer to this request.
  kCancelled,  ///< Given up on this side.
};

inline constexpr NameTable<ExchangeEnd, 5> kExchangeEndNames = {
    {"complete", "not_sent", "cut", "invalid", "cancelled"}};

/// \brief Head of a target's answer.
using ResponseHead =
    boost::beast::http::header<false, boost::beast::http::fields>;

/// \brief What happens during an exchange.
struct ExchangeHooks {
  std::function<void(const ResponseHead&)> on_head;
  std::function<void(std::string_view)> on_body;
  /// Called once, last.
  std::function<void(ExchangeEnd, const std::string& why)> on_end;
};

/// \brief One HTTP/1.1 connection to a target; one request at a time.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  TargetConnection(boost::asio::io_context& context, Endpoint peer);

  /// \brief Connects when that is needed, sends `request` and reads the
  /// answer whose `id_header` is `id`; one late answer to somebody else is
  /// skipped.
  void Exchange(std::string request, std::string id_header, std::string id,
                ExchangeHooks hooks);
  /// \brief Ends the exchange with kCancelled and closes the connection.
  void Cancel();
  /// \brief Stops or resumes reading, for a caller that reads slowly.
  void SetPaused(bool paused);
  /// \brief Watches a connection at rest: one that closes is not used again.
  void Rest();

  /// \brief True when the next request may use this connection.
  [[nodiscard]] bool is_reusable() const noexcept { return this->reusable; }
  [[nodiscard]] bool is_connected() const noexcept { return this->connected; }
  /// \brief When a connection at rest should no longer be used.
  [[nodiscard]] TimePoint rest_until() const noexcept {
    return this->rest_deadline;
  }

  static constexpr Duration kConnectLimit = std::chrono::milliseconds(450);
  static constexpr Duration kDefaultRest = std::chrono::seconds(4);

 private:
  void Connect();
  void Write();
  void ReadHead();
  void OnHead();
  void ReadBody();
  void Deliver();
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
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::buffer_body>>
      parser;
  std::array<char, 8192> piece;
  std::uint64_t exchange_number = 0;
  bool connected = false;
  bool reusable = false;
  bool is_written = false;
  bool is_write_begun = false;
  bool is_paused = false;
  bool is_read_due = false;
  bool is_skipping = false;
  bool has_skipped = false;
  TimePoint rest_deadline;
};

/// \brief Connections that one of `entries` may keep at rest at a target that
/// bears `most_connections` of all callers together (0: no limit is known).
[[nodiscard]] std::size_t IdleConnectionLimit(std::size_t most_connections,
                                              double entries) noexcept;

/// \brief Connections of one entry to all targets, kept while they rest.
class TargetConnectionPool {
 public:
  explicit TargetConnectionPool(boost::asio::io_context& context)
      : context(context) {}

  /// \brief A connection at rest, or a new one.
  [[nodiscard]] std::shared_ptr<TargetConnection> Acquire(
      const std::string& target, const Endpoint& peer);
  /// \brief Gives a connection back after an exchange; it is closed when
  /// `most_resting` others rest at the target.
  void Release(const std::string& target,
               const std::shared_ptr<TargetConnection>& connection,
               std::size_t most_resting);
  /// \brief Forgets connections that rested too long.
  void Expire(TimePoint now);
  /// \brief Closes what rests at `target`.
  void CloseIdle(const std::string& target);

 private:
  boost::asio::io_context& context;
  std::map<std::string, std::vector<std::shared_ptr<TargetConnection>>> idle;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_TARGET_CONNECTION_H_
