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

/// Lines gather for this long, so that one write carries many.
constexpr std::chrono::milliseconds kGather(50);

void Put(JsonWriter& writer, std::string_view key, std::string_view value) {
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
      return;  // Nobody reads the log any more: there is nowhere to say so.
    }
    bytes.remove_prefix(static_cast<std::size_t>(size));
  }
}

}  // namespace

JsonLines::JsonLines(const std::string& program, const std::string& host)
    : program(program), host(host), writer([this] { this->Run(); }) {}

JsonLines::~JsonLines() {
  {
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->is_closed = true;
  }
  this->filled.notify_all();
  this->writer.join();
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
  Put(line, "level", level);
  Put(line, "program", this->program);
  Put(line, "host", this->host);
  Put(line, "event", event);
  if (!request_id.empty()) {
    Put(line, "request", request_id);
  }
  for (const Field& field : fields) {
    Put(line, field.key, field.value);
  }
  line.EndObject();
  const std::lock_guard<std::mutex> guard(this->mutex);
  if (this->waiting.size() + buffer.GetSize() >= kMaxWaitingBytes) {
    this->dropped += 1;
    return;
  }
  const bool was_empty = this->waiting.empty();
  this->waiting.append(buffer.GetString(), buffer.GetSize());
  this->waiting += '\n';
  if (was_empty) {
    this->filled.notify_one();
  }
}

void JsonLines::Run() {
  std::unique_lock<std::mutex> guard(this->mutex);
  while (!this->is_closed || !this->waiting.empty()) {
    this->filled.wait(
        guard, [this] { return this->is_closed || !this->waiting.empty(); });
    if (!this->is_closed) {
      this->filled.wait_for(guard, kGather, [this] { return this->is_closed; });
    }
    std::string batch = std::exchange(this->waiting, std::string());
    const std::uint64_t lost = std::exchange(this->dropped, 0);
    guard.unlock();
    if (lost > 0) {
      batch +=
          "{\"level\":\"WARN\",\"event\":\"log_lines_dropped\",\"host\":\"" +
          this->host + "\",\"count\":" + std::to_string(lost) + "}\n";
    }
    WriteAll(batch);
    guard.lock();
  }
}

}  // namespace gooseberryturn::observe
