#ifndef GOOSEBERRYTURN_LINK_HEADER_LIMIT_H_
#define GOOSEBERRYTURN_LINK_HEADER_LIMIT_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace gooseberryturn::link {

/// Boost.Beast keeps the length of a field in 16 bits and throws an exception
/// for a longer one, which would end the process.
inline constexpr std::size_t kMaxHeaderBytes = 65'533;

/// \brief Limit for the header of a message, of a parser of Boost.Beast.
[[nodiscard]] constexpr std::uint32_t HeaderLimit(
    std::size_t configured) noexcept {
  return static_cast<std::uint32_t>(std::min(configured, kMaxHeaderBytes));
}

}  // namespace gooseberryturn::link

#endif  // GOOSEBERRYTURN_LINK_HEADER_LIMIT_H_
