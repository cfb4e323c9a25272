#include "gooseberryturn/direct/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace gooseberryturn::direct {

namespace {

constexpr std::string_view kIdField = "id:";

/// End of the event that starts at 0, after its blank line; 0 when it is not
/// complete.
std::size_t FindEnd(std::string_view bytes) {
  const std::size_t plain = bytes.find("\n\n");
  const std::size_t carriage = bytes.find("\r\n\r\n");
  const std::size_t plain_end =
      plain == std::string_view::npos ? plain : plain + 2;
  const std::size_t carriage_end =
      carriage == std::string_view::npos ? carriage : carriage + 4;
  const std::size_t end = std::min(plain_end, carriage_end);
  return end == std::string_view::npos ? 0 : end;
}

std::optional<std::uint64_t> FindId(std::string_view event) {
  std::size_t start = 0;
  while (start < event.size()) {
    const std::size_t end = std::min(event.find('\n', start), event.size());
    std::string_view line = event.substr(start, end - start);
    start = end + 1;
    if (line.substr(0, kIdField.size()) != kIdField) {
      continue;
    }
    line.remove_prefix(kIdField.size());
    while (!line.empty() && line.front() == ' ') {
      line.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const std::from_chars_result read =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (read.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

bool EventSplitter::Feed(std::string_view bytes, const OnEvent& on_event) {
  this->pending.append(bytes);
  std::size_t done = 0;
  for (;;) {
    const std::string_view open = std::string_view(this->pending).substr(done);
    const std::size_t end = FindEnd(open);
    if (end == 0) {
      break;
    }
    const std::string_view event = open.substr(0, end);
    on_event({event, FindId(event)});
    done += end;
  }
  this->pending.erase(0, done);
  return this->pending.size() <= kMaxEventBytes;
}

}  // namespace gooseberryturn::direct
