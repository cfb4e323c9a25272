#ifndef GOOSEBERRYTURN_OBSERVE_LOG_H_
#define GOOSEBERRYTURN_OBSERVE_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::observe {

/// \brief Severity of a log line.
enum class Level : std::uint8_t { kDebug, kInfo, kWarn, kError };

inline constexpr NameTable<Level, 4> kLevelNames = {
    {"DEBUG", "INFO", "WARN", "ERROR"}};

/// \brief One key=value of a log line.
struct Field {
  std::string_view key;
  std::string value;
};

/// \brief Sets up logging of the process to standard error.
/// \param level A name from kLevelNames.
/// \returns False when the level is not known.
[[nodiscard]] bool StartLog(const std::string& program, const std::string& host,
                            const std::string& level);

/// \brief Sets up logging as JSON lines on standard output.
///
/// \details A thread writes them in batches; what does not fit into its
/// buffer while the output is blocked is dropped, counted and told later, so
/// that a full pipe never holds a decision up.
void StartJsonLog(const std::string& program, const std::string& host);

/// \brief Writes one line: time, level, program, host, request, event, fields.
///
/// \code
///   LogEvent(Level::kInfo, request_id, "refused", {{"reason", "leaving"}});
/// \endcode
void LogEvent(Level level, std::string_view request_id, std::string_view event,
              const std::vector<Field>& fields = {});

/// \brief The fields of an error: reason, outcome, step, peer and message.
[[nodiscard]] std::vector<Field> FieldsOf(const Error& error);

}  // namespace gooseberryturn::observe

#endif  // GOOSEBERRYTURN_OBSERVE_LOG_H_
