#ifndef GOOSEBERRYTURN_CORE_COMPRESSION_H_
#define GOOSEBERRYTURN_CORE_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "gooseberryturn/core/error.h"

namespace gooseberryturn {

/// \brief Compresses `bytes` into one Zstandard frame.
/// \param base Bytes that the receiver holds. What `bytes` shares with them
/// costs next to nothing, so that the frame is a delta.
[[nodiscard]] std::string Compress(std::string_view bytes,
                                   std::string_view base = {});

/// \brief True if `bytes` start like a Zstandard frame. Neither JSON nor an
/// encoded message does.
[[nodiscard]] bool IsCompressed(std::string_view bytes) noexcept;

/// \brief Reverses Compress with the same `base`.
/// \returns kBadRequest if `frame` is damaged or cut, or if its content would
/// exceed `max_bytes`. A wrong `base` may yield other bytes without an error.
///
/// \code
///   Result<std::string> text = Decompress(Compress("menu"), 1024);
/// \endcode
[[nodiscard]] Result<std::string> Decompress(std::string_view frame,
                                             std::size_t max_bytes,
                                             std::string_view base = {});

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_COMPRESSION_H_
