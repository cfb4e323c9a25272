#ifndef GOOSEBERRYTURN_CORE_ENDPOINT_H_
#define GOOSEBERRYTURN_CORE_ENDPOINT_H_

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryturn {

/// \brief An IP address and a port; names are never resolved.
struct Endpoint {
  std::string address;
  std::uint16_t port = 0;

  [[nodiscard]] bool operator==(const Endpoint& other) const noexcept {
    return this->address == other.address && this->port == other.port;
  }
  [[nodiscard]] bool operator!=(const Endpoint& other) const noexcept {
    return !(*this == other);
  }
  MSGPACK_DEFINE(address, port)
};

/// \brief Parses "127.0.0.1:80" or "[::1]:80".
/// \returns Nothing unless the text is a literal IP address and a port other
/// than 0.
[[nodiscard]] std::optional<Endpoint> ParseEndpoint(std::string_view text);

/// \brief Formats an endpoint as ParseEndpoint reads it.
[[nodiscard]] std::string ToString(const Endpoint& endpoint);

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_ENDPOINT_H_
