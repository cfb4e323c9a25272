#ifndef GOOSEBERRYTURN_PROTOCOL_FRAME_H_
#define GOOSEBERRYTURN_PROTOCOL_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace gooseberryturn::protocol {

/// \brief Type of a frame on a stream.
enum class FrameType : std::uint8_t {
  kMessage,  ///< One msgpack message.
  kBody,     ///< Part of a request body.
  kChunk,  ///< An 8-byte offset, then the part of an answer that starts there.
  kEnd,    ///< One msgpack message that ends an answer.
};

/// \brief Maximum payload of one frame, in bytes.
inline constexpr std::size_t kMaxFrameBytes = 65U * 1024U * 1024U;
/// \brief Size of a frame header: payload length (4 bytes, big endian), then
/// type (1 byte).
inline constexpr std::size_t kFrameHeaderBytes = 5;

/// \brief Size of the offset (big endian) at the start of a chunk's payload.
inline constexpr std::size_t kChunkOffsetBytes = 8;

/// \brief Encodes one frame; does not check `payload` against kMaxFrameBytes.
[[nodiscard]] std::string EncodeFrame(FrameType type, std::string_view payload);

/// \brief Encodes a kChunk frame; `offset` is the position of its first byte in
/// the answer.
[[nodiscard]] std::string EncodeChunk(std::uint64_t offset,
                                      std::string_view bytes);

/// \brief Part of an answer; `bytes` points into the decoded payload.
struct Chunk {
  std::uint64_t offset = 0;
  std::string_view bytes;
};

/// \brief Decodes the payload of a kChunk frame.
/// \returns False if the payload is too short to hold the offset.
[[nodiscard]] bool DecodeChunk(std::string_view payload, Chunk& chunk);

/// \brief Splits a byte stream into frames.
class FrameReader {
 public:
  using OnFrame = std::function<void(FrameType, std::string_view)>;

  /// \brief Adds received bytes and calls `on_frame` for each complete frame.
  ///
  /// \details The payload is valid only during the call of `on_frame`, which
  /// must not call Feed.
  /// \returns False if a frame header is invalid (type or length); the stream
  /// cannot be read any further.
  [[nodiscard]] bool Feed(std::string_view bytes, const OnFrame& on_frame);

 private:
  std::string pending;
};

}  // namespace gooseberryturn::protocol

#endif  // GOOSEBERRYTURN_PROTOCOL_FRAME_H_
