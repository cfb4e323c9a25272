#ifndef GOOSEBERRYTURN_PROTOCOL_CODEC_H_
#define GOOSEBERRYTURN_PROTOCOL_CODEC_H_

#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryturn::protocol {

/// \brief Nesting of the messages; the deepest has fewer than ten levels.
inline constexpr std::size_t kMaxMessageDepth = 64;

/// \brief Serializes a message with msgpack.
template <typename Message>
[[nodiscard]] std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return std::string(buffer.data(), buffer.size());
}

/// \brief Parses a message that was serialized with Encode.
/// \returns The message, or std::nullopt if `bytes` do not hold one.
///
/// \code
///   std::optional<HandOver> order = Decode<HandOver>(bytes);
/// \endcode
template <typename Message>
[[nodiscard]] std::optional<Message> Decode(std::string_view bytes) {
  try {
    // Each element takes a byte at least: one that states more of them than
    // there are bytes must not reserve memory for them.
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(most, most, most, most, most,
                                      kMaxMessageDepth);
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
    Message message;
    handle.get().convert(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace gooseberryturn::protocol

#endif  // GOOSEBERRYTURN_PROTOCOL_CODEC_H_
