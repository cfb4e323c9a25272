#ifndef GOOSEBERRYTURN_CORE_ID_H_
#define GOOSEBERRYTURN_CORE_ID_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberryturn {

/// \brief A random 64-bit number that is never zero.
///
/// \details Thread-safe. Used for the incarnation of a process and for
/// attempts.
[[nodiscard]] std::uint64_t RandomId();

/// \brief A random identifier as 16 hexadecimal digits.
[[nodiscard]] std::string RandomHexId();

/// \brief 128-bit XXH3 digest of `bytes` as 32 hexadecimal digits.
[[nodiscard]] std::string Digest(std::string_view bytes);

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_ID_H_
