#ifndef GOOSEBERRYTURN_PROTOCOL_CODEC_H_
#define GOOSEBERRYTURN_PROTOCOL_CODEC_H_

#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberryturn::protocol {

/// \brief Encodes a message with msgpack.
template <typename Message>
[[nodiscard]] std::string Encode(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return std::string(buffer.data(), buffer.size());
}

/// \brief Decodes a message.
/// \returns Nothing when the bytes are not such a message.
///
/// \code
///   std::optional<HandOver> order = Decode<HandOver>(bytes);
/// \endcode
template <typename Message>
[[nodiscard]] std::optional<Message> Decode(std::string_view bytes) {
  try {
    const msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size());
    Message message;
    handle.get().convert(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace gooseberryturn::protocol

#endif  // GOOSEBERRYTURN_PROTOCOL_CODEC_H_
