#ifndef GOOSEBERRYTURN_DIRECT_EVENT_SPLITTER_H_
#define GOOSEBERRYTURN_DIRECT_EVENT_SPLITTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryturn::direct {

/// \brief One whole event of a stream.
struct StreamEvent {
  std::string_view bytes;  ///< As it came, with its closing blank line.
  std::optional<std::uint64_t> id;
};

/// \brief Cuts an event stream into whole events.
///
/// \code
///   splitter.Feed("id: 1\ndata: a\n\nid: 2", [](const StreamEvent& event) {
///     Send(event.bytes);  // once, with id 1
///   });
/// \endcode
class EventSplitter {
 public:
  using OnEvent = std::function<void(const StreamEvent&)>;

  /// \brief Takes bytes and calls `on_event` for each event they complete.
  /// \returns False when an event is longer than kMaxEventBytes.
  [[nodiscard]] bool Feed(std::string_view bytes, const OnEvent& on_event);
  /// \brief Forgets the event that is not complete.
  void Reset() noexcept { this->pending.clear(); }
  /// \brief Bytes of the event that is not complete.
  [[nodiscard]] const std::string& rest() const noexcept {
    return this->pending;
  }

  static constexpr std::size_t kMaxEventBytes = 256U * 1024U;

 private:
  std::string pending;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_EVENT_SPLITTER_H_
