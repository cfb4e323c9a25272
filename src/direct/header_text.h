#ifndef GOOSEBERRYTURN_SRC_DIRECT_HEADER_TEXT_H_
#define GOOSEBERRYTURN_SRC_DIRECT_HEADER_TEXT_H_

#include <array>
#include <boost/beast/core/string.hpp>
#include <string_view>

namespace gooseberryturn::direct {

/// \brief Converts a string view of Boost.Beast to the standard type.
[[nodiscard]] inline std::string_view ToView(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

/// \brief Compares two header names, ignoring case.
[[nodiscard]] inline bool IsSameHeaderName(std::string_view a,
                                           std::string_view b) {
  return boost::beast::iequals(boost::beast::string_view(a.data(), a.size()),
                               boost::beast::string_view(b.data(), b.size()));
}

/// \brief True for headers that are not forwarded to the next host:
/// hop-by-hop headers and Content-Length, which is recomputed.
[[nodiscard]] inline bool IsHopByHopHeader(std::string_view name) {
  constexpr std::array<std::string_view, 9> names = {"connection",
                                                     "keep-alive",
                                                     "proxy-connection",
                                                     "transfer-encoding",
                                                     "te",
                                                     "trailer",
                                                     "upgrade",
                                                     "content-length",
                                                     "proxy-authorization"};
  for (const std::string_view hop_name : names) {
    if (IsSameHeaderName(name, hop_name)) {
      return true;
    }
  }
  return false;
}

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_SRC_DIRECT_HEADER_TEXT_H_
