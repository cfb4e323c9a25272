#ifndef GOOSEBERRYTURN_SRC_OBSERVE_JSON_LINES_H_
#define GOOSEBERRYTURN_SRC_OBSERVE_JSON_LINES_H_

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::observe {

/// \brief Writes JSON lines to standard output on a background thread.
///
/// \details The thread shares ownership, so that one that is blocked in a write
/// can be left behind when the process ends.
class JsonLines : public std::enable_shared_from_this<JsonLines> {
 public:
  JsonLines(const std::string& program, const std::string& host);
  JsonLines(const JsonLines&) = delete;
  JsonLines& operator=(const JsonLines&) = delete;

  /// \brief Starts the thread.
  void Start();
  /// \brief Writes the pending lines and stops the thread, but waits for it no
  /// longer than until `deadline`. Lines queued later are dropped.
  /// \returns Whether all lines were written.
  bool Stop(TimePoint deadline);

  /// \brief Queues one line; drops it if too many bytes are pending.
  void Write(std::string_view level, std::string_view request_id,
             std::string_view event, const std::vector<Field>& fields);

  /// \brief Limit of the queued lines in bytes, without the batch that is being
  /// written.
  static constexpr std::size_t kMaxPendingBytes = 1024U * 1024U;

 private:
  void WriteBatches();

  std::string program;
  std::string host;
  std::mutex mutex;
  std::condition_variable pending_added;
  std::string pending;
  std::uint64_t dropped_lines = 0;
  bool is_closed = false;
  bool is_finished = false;  ///< The thread has written its last line.
  std::condition_variable finished;
  std::thread writer_thread;
};

}  // namespace gooseberryturn::observe

#endif  // GOOSEBERRYTURN_SRC_OBSERVE_JSON_LINES_H_
