#ifndef GOOSEBERRYTURN_TESTS_ENDLESS_BYTES_H_
#define GOOSEBERRYTURN_TESTS_ENDLESS_BYTES_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace gooseberryturn {

/// A message of which one part doesn't end, or ends far too late.
struct EndlessMessage {
  std::string name;
  std::string begin;    ///< What follows the first lines of the head.
  std::string endless;  ///< Sent again and again after it.
};

inline constexpr std::size_t kEndlessPieceBytes = 16U * 1024U;
/// Longer than the parser can hold in one field.
inline constexpr std::size_t kLongFieldBytes = 70'000;

inline std::string Repeat(const std::string& text) {
  std::string repeated;
  while (repeated.size() < kEndlessPieceBytes) {
    repeated += text;
  }
  return repeated;
}

/// One message for each part of a message, but for a body.
inline std::vector<EndlessMessage> EndlessMessages() {
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  const std::string last_chunk = chunked + "5\r\nhello\r\n0\r\n";
  const std::string filler(kEndlessPieceBytes, 'x');
  const std::string field = "X: " + std::string(kLongFieldBytes, 'y') + "\r\n";
  return {{"field of the head", "X: ", filler},
          {"fields of the head", "", Repeat("X: y\r\n")},
          {"size of a chunk", chunked, Repeat("0")},
          {"extension of a chunk", chunked + "5;a=", filler},
          {"field after the last chunk", last_chunk + "X: ", filler},
          {"fields after the last chunk", last_chunk, Repeat("X: y\r\n")},
          {"long field of the head", field, "\r\n"},
          {"long field after the last chunk", last_chunk + field, "\r\n"}};
}

/// Sends a message until its peer closes or kMaxBytes were sent.
class EndlessSender {
 public:
  EndlessSender(boost::asio::ip::tcp::socket& socket, std::string begin,
                std::string endless)
      : socket(socket), next(std::move(begin)), endless(std::move(endless)) {}

  void Start() {
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->next),
        [this](const boost::system::error_code& error, std::size_t size) {
          this->sent_bytes += size;
          if (!error && this->sent_bytes < kMaxBytes) {
            this->next = this->endless;
            this->Start();
          }
        });
  }

  static constexpr std::size_t kMaxBytes = 32U * 1024U * 1024U;
  std::size_t sent_bytes = 0;

 private:
  boost::asio::ip::tcp::socket& socket;
  std::string next;
  std::string endless;
};

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_TESTS_ENDLESS_BYTES_H_
