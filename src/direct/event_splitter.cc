#include "gooseberryturn/direct/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace gooseberryturn::direct {

namespace {

constexpr std::string_view kIdField = "id:";

/// Size of the first event with its blank line; 0 when it is incomplete.
std::size_t FindEventEnd(std::string_view bytes) {
  const std::size_t lf = bytes.find("\n\n");
  const std::size_t crlf = bytes.find("\r\n\r\n");
  const std::size_t lf_end = lf == std::string_view::npos ? lf : lf + 2;
  const std::size_t crlf_end = crlf == std::string_view::npos ? crlf : crlf + 4;
  const std::size_t end = std::min(lf_end, crlf_end);
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
    const std::from_chars_result parsed =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (parsed.ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

bool EventSplitter::Feed(std::string_view bytes,
                         const EventCallback& on_event) {
  this->pending.append(bytes);
  std::size_t consumed = 0;
  for (;;) {
    const std::string_view remaining =
        std::string_view(this->pending).substr(consumed);
    const std::size_t end = FindEventEnd(remaining);
    if (end == 0) {
      break;
    }
    const std::string_view event = remaining.substr(0, end);
    on_event({event, FindId(event)});
    consumed += end;
  }
  this->pending.erase(0, consumed);
  return this->pending.size() <= kMaxEventBytes;
}

}  // namespace gooseberryturn::direct
