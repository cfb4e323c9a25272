#include "gooseberryturn/core/compression.h"

#include <zstd.h>

#include <memory>
#include <utility>

namespace gooseberryturn {

namespace {

constexpr int kLevel = 3;
/// Longest distance of a match, as a power of two: 16 MiB. It must cover the
/// base and the content before a repeated part.
constexpr int kWindowLog = 24;
constexpr std::string_view kMagic = "\x28\xB5\x2F\xFD";

Error DamagedError(const std::string& why) {
  return {Reason::kBadRequest, Step::kDocument, Outcome::kNotRun, std::string(),
          why};
}

}  // namespace

std::string Compress(std::string_view bytes, std::string_view base) {
  const std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)> context(
      ZSTD_createCCtx(), &ZSTD_freeCCtx);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  if (!base.empty()) {
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, kWindowLog);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string frame(ZSTD_compressBound(bytes.size()), '\0');
  // Fails only for a buffer below the bound or without memory.
  const std::size_t size = ZSTD_compress2(
      context.get(), frame.data(), frame.size(), bytes.data(), bytes.size());
  frame.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return frame;
}

bool IsCompressed(std::string_view bytes) noexcept {
  return bytes.substr(0, kMagic.size()) == kMagic;
}

Result<std::string> Decompress(std::string_view frame, std::size_t max_bytes,
                               std::string_view base) {
  const unsigned long long content_size =  // NOLINT(google-runtime-int)
      ZSTD_getFrameContentSize(frame.data(), frame.size());
  if (content_size == ZSTD_CONTENTSIZE_ERROR ||
      content_size == ZSTD_CONTENTSIZE_UNKNOWN) {
    return tl::make_unexpected(DamagedError("not a compressed frame"));
  }
  if (content_size > max_bytes) {
    return tl::make_unexpected(DamagedError(
        "the content exceeds " + std::to_string(max_bytes) + " bytes"));
  }
  const std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)> context(
      ZSTD_createDCtx(), &ZSTD_freeDCtx);
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kWindowLog);
  if (!base.empty()) {
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string bytes(static_cast<std::size_t>(content_size), '\0');
  const std::size_t size = ZSTD_decompressDCtx(
      context.get(), bytes.data(), bytes.size(), frame.data(), frame.size());
  if (ZSTD_isError(size) != 0U || size != bytes.size()) {
    return tl::make_unexpected(DamagedError("a damaged compressed frame"));
  }
  return bytes;
}

}  // namespace gooseberryturn
