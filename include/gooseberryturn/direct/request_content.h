#ifndef GOOSEBERRYTURN_DIRECT_REQUEST_CONTENT_H_
#define GOOSEBERRYTURN_DIRECT_REQUEST_CONTENT_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberryturn::direct {

/// Content that requests have in common and that may crash the targets which
/// run it is named by a content id: a part of a prompt, or a whole request.
inline constexpr std::string_view kPartPrefix = "part:";
inline constexpr std::string_view kRequestPrefix = "request:";

/// \brief Content id of a part of a prompt.
[[nodiscard]] inline std::string PartContentId(std::string_view part) {
  return std::string(kPartPrefix).append(part);
}

/// \brief Content id of a whole request: the same path, team and body.
[[nodiscard]] inline std::string RequestContentId(
    std::string_view fingerprint) {
  return std::string(kRequestPrefix).append(fingerprint);
}

/// \brief Longest list of names in a log line.
inline constexpr std::size_t kMaxJoinedBytes = 128;

/// \brief Joins the names of items by commas for the log.
/// \param name_of Returns the name of an item.
template <typename Item, typename NameOf>
[[nodiscard]] std::string JoinNamesOf(const std::vector<Item>& items,
                                      NameOf name_of) {
  std::string text;
  for (const Item& item : items) {
    text += (text.empty() ? "" : ",") + name_of(item);
  }
  return text;
}

/// \brief Joins names by commas for the log; a longer text is cut off.
[[nodiscard]] inline std::string JoinNames(
    const std::vector<std::string>& names) {
  std::string text =
      JoinNamesOf(names, [](const std::string& name) { return name; });
  text.resize(std::min(text.size(), kMaxJoinedBytes));
  return text;
}

/// \brief True for the content id of a part of a prompt.
[[nodiscard]] inline bool IsPartContentId(std::string_view content) {
  return content.substr(0, kPartPrefix.size()) == kPartPrefix;
}

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_REQUEST_CONTENT_H_
