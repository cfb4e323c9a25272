#include "gooseberryturn/protocol/frame.h"

namespace gooseberryturn::protocol {

namespace {

constexpr unsigned kBitsPerByte = 8;

void AppendBigEndian(std::string& out, std::uint64_t value, std::size_t width) {
  for (std::size_t index = width; index > 0; --index) {
    const unsigned shift = static_cast<unsigned>(index - 1) * kBitsPerByte;
    out.push_back(static_cast<char>((value >> shift) & 0xFFU));
  }
}

std::uint64_t ReadBigEndian(std::string_view bytes, std::size_t width) {
  std::uint64_t value = 0;
  for (std::size_t index = 0; index < width; ++index) {
    value = (value << kBitsPerByte) | static_cast<unsigned char>(bytes[index]);
  }
  return value;
}

}  // namespace

std::string EncodeFrame(FrameType type, std::string_view payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  AppendBigEndian(frame, payload.size(), kFrameHeaderBytes - 1);
  frame.push_back(static_cast<char>(type));
  frame.append(payload);
  return frame;
}

std::string EncodeChunk(std::uint64_t offset, std::string_view bytes) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + kChunkOffsetBytes + bytes.size());
  AppendBigEndian(frame, kChunkOffsetBytes + bytes.size(),
                  kFrameHeaderBytes - 1);
  frame.push_back(static_cast<char>(FrameType::kChunk));
  AppendBigEndian(frame, offset, kChunkOffsetBytes);
  frame.append(bytes);
  return frame;
}

bool DecodeChunk(std::string_view payload, Chunk& chunk) {
  if (payload.size() < kChunkOffsetBytes) {
    return false;
  }
  chunk.offset = ReadBigEndian(payload, kChunkOffsetBytes);
  chunk.bytes = payload.substr(kChunkOffsetBytes);
  return true;
}

bool FrameReader::Feed(std::string_view bytes, const OnFrame& on_frame) {
  this->pending.append(bytes);
  std::size_t start = 0;
  while (this->pending.size() - start >= kFrameHeaderBytes) {
    const std::string_view rest = std::string_view(this->pending).substr(start);
    const std::uint64_t length = ReadBigEndian(rest, kFrameHeaderBytes - 1);
    const std::uint8_t type = static_cast<std::uint8_t>(rest[4]);
    if (length > kMaxFrameBytes ||
        type > static_cast<std::uint8_t>(FrameType::kEnd)) {
      return false;
    }
    if (rest.size() < kFrameHeaderBytes + length) {
      break;
    }
    on_frame(static_cast<FrameType>(type),
             rest.substr(kFrameHeaderBytes, length));
    start += kFrameHeaderBytes + length;
  }
  this->pending.erase(0, start);
  return true;
}

}  // namespace gooseberryturn::protocol
