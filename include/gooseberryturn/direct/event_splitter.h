#ifndef GOOSEBERRYTURN_DIRECT_EVENT_SPLITTER_H_
#define GOOSEBERRYTURN_DIRECT_EVENT_SPLITTER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryturn::direct {

/// \brief One whole server-sent event.
struct StreamEvent {
  std::string_view bytes;  ///< As received, with its closing blank line.
  std::optional<std::uint64_t> id;
};

/// \brief Splits a stream of server-sent events into whole events.
///
/// \code
///   splitter.Feed("id: 1\ndata: a\n\nid: 2", [](const StreamEvent& event) {
///     Send(event.bytes);  // Called once, with id 1.
///   });
/// \endcode
class EventSplitter {
 public:
  using EventCallback = std::function<void(const StreamEvent&)>;

  /// \brief Adds received bytes and calls `on_event` for each event that they
  /// complete.
  /// \returns False when the incomplete event is longer than kMaxEventBytes.
  [[nodiscard]] bool Feed(std::string_view bytes,
                          const EventCallback& on_event);
  /// \brief Discards the incomplete event.
  void Reset() noexcept { this->pending.clear(); }
  /// \brief Bytes of the incomplete event.
  [[nodiscard]] const std::string& incomplete_event() const noexcept {
    return this->pending;
  }

  static constexpr std::size_t kMaxEventBytes = 256U * 1024U;

 private:
  std::string pending;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_EVENT_SPLITTER_H_
