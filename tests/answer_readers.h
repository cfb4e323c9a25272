#ifndef GOOSEBERRYTURN_TESTS_ANSWER_READERS_H_
#define GOOSEBERRYTURN_TESTS_ANSWER_READERS_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/direct/target_connection.h"
#include "gooseberryturn/target/exchange.h"

/// The readers of HTTP answers, each with a target that sends fixed bytes.
namespace gooseberryturn {

inline constexpr std::chrono::seconds kReadLimit(5);

inline void RunUntil(boost::asio::io_context& context,
                     const std::function<bool()>& is_over) {
  const TimePoint end = Clock::now() + kReadLimit;
  while (!is_over() && Clock::now() < end) {
    context.restart();
    context.run_one_for(std::chrono::milliseconds(20));
  }
}

/// What a target does with its connection once it has sent its answer.
enum class Ending : std::uint8_t { kLeaveOpen, kClose, kReset };

/// A target that answers requests with fixed bytes, each on a connection of its
/// own.
class FixedTarget {
 public:
  FixedTarget(boost::asio::io_context& context, std::string answer,
              Ending ending)
      : acceptor(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        socket(context),
        answer(std::move(answer)),
        ending(ending) {
    this->Accept();
  }
  [[nodiscard]] Endpoint endpoint() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }

  int connections = 0;  ///< Accepted until now.

 private:
  void Accept() {
    this->acceptor.async_accept(this->socket,
                                [this](const boost::system::error_code& error) {
                                  if (!error) {
                                    this->connections += 1;
                                    this->AwaitRequest();
                                  }
                                });
  }
  void AwaitRequest() {
    this->socket.async_read_some(
        boost::asio::buffer(this->request),
        [this](const boost::system::error_code& /*error*/, std::size_t) {
          boost::system::error_code ignored;
          boost::asio::write(this->socket, boost::asio::buffer(this->answer),
                             ignored);
          if (this->ending != Ending::kLeaveOpen) {
            this->socket.set_option(boost::asio::socket_base::linger(
                                        this->ending == Ending::kReset, 0),
                                    ignored);
            this->socket.close(ignored);
            this->Accept();
          }
        });
  }

  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::socket socket;
  std::string answer;
  Ending ending;
  std::array<char, 4096> request = {};
};

/// What an entry without agents made of the answer of a target.
struct TargetReading {
  std::optional<direct::ExchangeEnd> end;
  int heads = 0;
  std::string body;
  bool is_reusable = false;
};

/// Reads the answer to the attempt `a1`, which the header `Attempt-Id` names.
inline TargetReading ReadTargetAnswer(const std::string& answer,
                                      Ending ending = Ending::kLeaveOpen) {
  boost::asio::io_context context;
  FixedTarget target(context, answer, ending);
  const std::shared_ptr<direct::TargetConnection> connection =
      std::make_shared<direct::TargetConnection>(context, target.endpoint());
  TargetReading reading;
  direct::ExchangeHooks hooks;
  hooks.on_head = [&reading](const direct::ResponseHead&) {
    reading.heads += 1;
  };
  hooks.on_body = [&reading](std::string_view bytes) { reading.body += bytes; };
  hooks.on_end = [&reading](direct::ExchangeEnd how, const std::string&) {
    reading.end = how;
  };
  connection->Exchange("GET / HTTP/1.1\r\n\r\n", "Attempt-Id", "a1",
                       std::move(hooks));
  RunUntil(context, [&reading] { return reading.end.has_value(); });
  reading.is_reusable = connection->is_reusable();
  const TargetReading before_cancel = reading;
  connection->Cancel();
  return before_cancel;
}

/// What the caller of an order or a call between hosts got, if it ended.
inline std::optional<Result<direct::HttpResponse>> ReadOrderAnswer(
    const std::string& answer, Ending ending = Ending::kLeaveOpen) {
  boost::asio::io_context context;
  FixedTarget target(context, answer, ending);
  std::optional<Result<direct::HttpResponse>> response;
  direct::SendHttpRequest(context, target.endpoint(), {"GET", "/report", ""},
                          {}, Clock::now() + 2 * kReadLimit,
                          [&response](Result<direct::HttpResponse> received) {
                            response = std::move(received);
                          });
  RunUntil(context, [&response] { return response.has_value(); });
  return response;
}

/// What an agent made of the answer of its target.
struct AgentReading {
  std::optional<Result<void>> result;
  int heads = 0;
  int status = 0;  ///< Of the last head.
  std::string body;
};

inline AgentReading ReadAgentAnswer(const std::string& answer,
                                    Ending ending = Ending::kLeaveOpen) {
  boost::asio::io_context context;
  FixedTarget target(context, answer, ending);
  AgentReading reading;
  const std::shared_ptr<target::Exchange> exchange =
      std::make_shared<target::Exchange>(context, target.endpoint(),
                                         target::Request{},
                                         Clock::now() + 2 * kReadLimit);
  exchange->on_head = [&reading](const target::ResponseHead& head) {
    reading.heads += 1;
    reading.status = head.status;
  };
  exchange->on_body = [&reading](std::string_view bytes) {
    reading.body += bytes;
  };
  exchange->on_done = [&reading](Result<void> done) {
    reading.result = std::move(done);
  };
  exchange->Start();
  RunUntil(context, [&reading] { return reading.result.has_value(); });
  return reading;
}

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_TESTS_ANSWER_READERS_H_
