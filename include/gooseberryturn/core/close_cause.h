#ifndef GOOSEBERRYTURN_CORE_CLOSE_CAUSE_H_
#define GOOSEBERRYTURN_CORE_CLOSE_CAUSE_H_

#include <cstddef>
#include <cstdint>

#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn {

/// \brief Why a caller's connection was closed.
enum class CloseCause : std::uint8_t {
  kCallerLeft,    ///< The caller closed or reset the connection.
  kIdleTimeout,   ///< No request arrived within the idle timeout.
  kReadTimeout,   ///< A request did not arrive in time.
  kWriteTimeout,  ///< The caller did not read its answer in time.
  kReadFailed,    ///< Any other error while a request was read.
  kWriteFailed,   ///< An answer could not be written.
  kAnswered,      ///< The last answer of the connection was sent.
  kLeaving,       ///< The process shuts down.
  kAborted,       ///< An answer was broken off.
};

inline constexpr std::size_t kCloseCauseCount = 9;

inline constexpr NameTable<CloseCause, kCloseCauseCount> kCloseCauseNames = {
    {"caller_left", "idle_timeout", "read_timeout", "write_timeout",
     "read_failed", "write_failed", "answered", "leaving", "aborted"}};

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_CLOSE_CAUSE_H_
