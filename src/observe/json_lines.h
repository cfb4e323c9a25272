#ifndef GOOSEBERRYTURN_SRC_OBSERVE_JSON_LINES_H_
#define GOOSEBERRYTURN_SRC_OBSERVE_JSON_LINES_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::observe {

/// \brief Writes JSON lines to standard output in a thread of its own.
class JsonLines {
 public:
  JsonLines(const std::string& program, const std::string& host);
  /// \brief Writes what is left.
  ~JsonLines();
  JsonLines(const JsonLines&) = delete;
  JsonLines& operator=(const JsonLines&) = delete;

  void Write(std::string_view level, std::string_view request_id,
             std::string_view event, const std::vector<Field>& fields);

  /// \brief Lines that wait for a blocked output take at most this much.
  static constexpr std::size_t kMaxWaitingBytes = 1024U * 1024U;

 private:
  void Run();

  std::string program;
  std::string host;
  std::mutex mutex;
  std::condition_variable filled;
  std::string waiting;
  std::uint64_t dropped = 0;
  bool is_closed = false;
  std::thread writer;
};

}  // namespace gooseberryturn::observe

#endif  // GOOSEBERRYTURN_SRC_OBSERVE_JSON_LINES_H_
