#include "json_lines.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <utility>

namespace gooseberryturn::observe {

namespace {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

/// Time for which lines are collected, so that one write covers many of them.
constexpr std::chrono::milliseconds kBatchInterval(50);

void WriteMember(JsonWriter& writer, std::string_view key,
                 std::string_view value) {
  writer.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void WriteAll(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t size = write(STDOUT_FILENO, bytes.data(), bytes.size());
    if (size < 0 && errno == EINTR) {
      continue;
    }
    if (size <= 0) {
      return;  // The log cannot be written, so this cannot be logged either.
    }
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
}

}  // namespace

JsonLines::JsonLines(const std::string& program, const std::string& host)
    : program(program), host(host) {}

void JsonLines::Start() {
  this->writer_thread =
      std::thread([self = this->shared_from_this()] { self->WriteBatches(); });
}

bool JsonLines::Stop(TimePoint deadline) {
  std::unique_lock<std::mutex> guard(this->mutex);
  this->is_closed = true;
  this->pending_added.notify_all();
  const bool is_written = this->finished.wait_for(
      guard, deadline - Clock::now(), [this] { return this->is_finished; });
  guard.unlock();
  if (!this->writer_thread.joinable()) {
    return is_written;
  }
  if (is_written) {
    this->writer_thread.join();
  } else {
    // Nobody reads the output. The thread ends with the process.
    this->writer_thread.detach();
  }
  return is_written;
}

void JsonLines::Write(std::string_view level, std::string_view request_id,
                      std::string_view event,
                      const std::vector<Field>& fields) {
  const std::chrono::microseconds time =
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::system_clock::now().time_since_epoch());
  rapidjson::StringBuffer buffer;
  JsonWriter line(buffer);
  line.StartObject();
  line.Key("time_us");
  line.Int64(time.count());
  WriteMember(line, "level", level);
  WriteMember(line, "program", this->program);
  WriteMember(line, "host", this->host);
  WriteMember(line, "event", event);
  if (!request_id.empty()) {
    WriteMember(line, "request", request_id);
  }
  for (const Field& field : fields) {
    WriteMember(line, field.key, field.value);
  }
  line.EndObject();
  const std::lock_guard<std::mutex> guard(this->mutex);
  if (this->is_closed ||
      this->pending.size() + buffer.GetSize() >= kMaxPendingBytes) {
    this->dropped_lines += 1;
    return;
  }
  const bool was_empty = this->pending.empty();
  this->pending.append(buffer.GetString(), buffer.GetSize());
  this->pending += '\n';
  if (was_empty) {
    this->pending_added.notify_one();
  }
}

void JsonLines::WriteBatches() {
  std::unique_lock<std::mutex> guard(this->mutex);
  while (!this->is_closed || !this->pending.empty()) {
    this->pending_added.wait(
        guard, [this] { return this->is_closed || !this->pending.empty(); });
    if (!this->is_closed) {
      this->pending_added.wait_for(guard, kBatchInterval,
                                   [this] { return this->is_closed; });
    }
    std::string batch = std::exchange(this->pending, std::string());
    const std::uint64_t dropped_count = std::exchange(this->dropped_lines, 0);
    guard.unlock();
    if (dropped_count > 0) {
      batch +=
          "{\"level\":\"WARN\",\"event\":\"log_lines_dropped\",\"host\":\"" +
          this->host + "\",\"count\":" + std::to_string(dropped_count) + "}\n";
    }
    WriteAll(batch);
    guard.lock();
  }
  this->is_finished = true;
  this->finished.notify_all();
}

}  // namespace gooseberryturn::observe
