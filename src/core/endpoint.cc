#include "gooseberryturn/core/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <boost/system/error_code.hpp>
#include <charconv>

namespace gooseberryturn {

std::optional<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view address_text = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (address_text.size() > 2 && address_text.front() == '[' &&
      address_text.back() == ']') {
    address_text = address_text.substr(1, address_text.size() - 2);
  }
  boost::system::error_code parse_error;
  boost::asio::ip::make_address(std::string(address_text), parse_error);
  if (parse_error) {
    return std::nullopt;
  }
  Endpoint endpoint;
  endpoint.address = std::string(address_text);
  const char* end = port_text.data() + port_text.size();
  const std::from_chars_result parsed =
      std::from_chars(port_text.data(), end, endpoint.port);
  if (parsed.ec != std::errc() || parsed.ptr != end || endpoint.port == 0) {
    return std::nullopt;
  }
  return endpoint;
}

std::string ToString(const Endpoint& endpoint) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  const std::string address_text =
      is_v6 ? "[" + endpoint.address + "]" : endpoint.address;
  return address_text + ":" + std::to_string(endpoint.port);
}

}  // namespace gooseberryturn
