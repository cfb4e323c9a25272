#ifndef GOOSEBERRYTURN_OBSERVE_LOG_H_
#define GOOSEBERRYTURN_OBSERVE_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/core/time.h"

namespace gooseberryturn::observe {

/// \brief Severity of a log event.
enum class Level : std::uint8_t { kDebug, kInfo, kWarn, kError };

inline constexpr NameTable<Level, 4> kLevelNames = {
    {"DEBUG", "INFO", "WARN", "ERROR"}};

/// \brief A key and its value in a log event.
struct Field {
  std::string_view key;
  std::string value;
};

/// \brief Sets up logging of the process to standard error.
/// \param level Lowest severity to write, a name from kLevelNames.
/// \returns False if `level` is not such a name.
[[nodiscard]] bool StartLog(const std::string& program, const std::string& host,
                            const std::string& level);

/// \brief Sets up logging as JSON lines on standard output.
///
/// \details Not thread-safe: call it before other threads log. Replaces the
/// output of StartLog; debug events are left out. A
/// background thread writes the lines in batches. While the output is blocked,
/// lines that do not fit into its buffer are dropped and counted, and a later
/// warning reports their number, so that a full pipe never blocks the threads
/// that log.
void StartJsonLog(const std::string& program, const std::string& host);

/// \brief Writes the lines that are still pending and stops logging, as the
/// last step before the process ends.
///
/// \details Waits for a blocked output of JSON lines no longer than until
/// `deadline`. JSON lines that are logged later are dropped, and without this
/// call those that are pending at the end of the process may be lost.
/// \returns Whether all lines were written.
bool StopLog(TimePoint deadline);

/// \brief Writes one log line: time, level, program, host, request id, event
/// and fields.
///
/// \code
///   LogEvent(Level::kInfo, request_id, "refused", {{"reason", "leaving"}});
/// \endcode
void LogEvent(Level level, std::string_view request_id, std::string_view event,
              const std::vector<Field>& fields = {});

/// \brief Log fields of an error: reason, outcome, step, peer and message.
[[nodiscard]] std::vector<Field> FieldsOf(const Error& error);

}  // namespace gooseberryturn::observe

#endif  // GOOSEBERRYTURN_OBSERVE_LOG_H_
