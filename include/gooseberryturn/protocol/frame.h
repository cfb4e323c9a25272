#ifndef GOOSEBERRYTURN_PROTOCOL_FRAME_H_
#define GOOSEBERRYTURN_PROTOCOL_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace gooseberryturn::protocol {

/// \brief Kind of a frame within a stream.
enum class FrameType : std::uint8_t {
  kMessage,  ///< One msgpack message.
  kBody,     ///< Bytes of a request body.
  kChunk,    ///< An offset of 8 bytes, then bytes of an answer.
  kEnd,      ///< One msgpack message that closes an answer.
};

/// \brief Longest payload of one frame in bytes.
inline constexpr std::size_t kMaxFrameBytes = 65U * 1024U * 1024U;
/// \brief Bytes before the payload: length (4, big endian) and type (1).
inline constexpr std::size_t kFrameHeaderBytes = 5;

/// \brief Bytes of the offset at the start of a chunk's payload.
inline constexpr std::size_t kChunkOffsetBytes = 8;

/// \brief Encodes one frame.
[[nodiscard]] std::string EncodeFrame(FrameType type, std::string_view payload);

/// \brief Encodes a chunk of an answer that starts at `offset`.
[[nodiscard]] std::string EncodeChunk(std::uint64_t offset,
                                      std::string_view bytes);

/// \brief A chunk of an answer, pointing into the decoded frame.
struct Chunk {
  std::uint64_t offset = 0;
  std::string_view bytes;
};

/// \brief Splits the payload of a kChunk frame; false when it is too short.
[[nodiscard]] bool DecodeChunk(std::string_view payload, Chunk& chunk);

/// \brief Cuts a byte stream into frames.
class FrameReader {
 public:
  using OnFrame = std::function<void(FrameType, std::string_view)>;

  /// \brief Takes bytes and calls `on_frame` for each whole frame.
  /// \returns False when the bytes break the format; the stream is then lost.
  [[nodiscard]] bool Feed(std::string_view bytes, const OnFrame& on_frame);

 private:
  std::string pending;
};

}  // namespace gooseberryturn::protocol

#endif  // GOOSEBERRYTURN_PROTOCOL_FRAME_H_
