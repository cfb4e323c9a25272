#include "gooseberryturn/observe/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <iostream>
#include <memory>
#include <optional>

#include "json_lines.h"

namespace gooseberryturn::observe {

namespace {

log4cplus::LogLevel ToLogLevel(Level level) {
  switch (level) {
    case Level::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case Level::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case Level::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case Level::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

/// Quotes a value if it is empty or contains a space, quote, `=`, backslash,
/// tab or line break. Within quotes, control characters become spaces.
std::string Quote(const std::string& value) {
  if (!value.empty() &&
      value.find_first_of(" \"=\\\n\r\t") == std::string::npos) {
    return value;
  }
  std::string quoted = "\"";
  for (const char character : value) {
    if (character == '"' || character == '\\') {
      quoted += '\\';
    }
    const bool is_control = static_cast<unsigned char>(character) < ' ';
    quoted += is_control ? ' ' : character;
  }
  return quoted + "\"";
}

/// Writes to stderr. A stream that has failed once, as on a full disk, takes
/// nothing more until its state is cleared.
class StderrAppender : public log4cplus::ConsoleAppender {
 public:
  StderrAppender() : ConsoleAppender(true, true) {}
  ~StderrAppender() override { this->destructorImpl(); }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::cerr.clear();
    this->ConsoleAppender::append(event);
  }
};

/// Writer of JSON lines; null until StartJsonLog is called.
std::shared_ptr<JsonLines>& JsonOutput() {
  static std::shared_ptr<JsonLines> output;
  return output;
}

}  // namespace

void StartJsonLog(const std::string& program, const std::string& host) {
  JsonOutput() = std::make_shared<JsonLines>(program, host);
  JsonOutput()->Start();
}

bool StopLog(TimePoint deadline) {
  // Lines of text are written at once.
  return JsonOutput() == nullptr || JsonOutput()->Stop(deadline);
}

bool StartLog(const std::string& program, const std::string& host,
              const std::string& level) {
  const std::optional<Level> parsed = kLevelNames.Find(level);
  if (!parsed.has_value()) {
    return false;
  }
  static const log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(new StderrAppender());
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "%D{%Y-%m-%dT%H:%M:%S.%q} %-5p program=" + program + " host=" + host +
      " %m%n"));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  root.setLogLevel(ToLogLevel(*parsed));
  return true;
}

void LogEvent(Level level, std::string_view request_id, std::string_view event,
              const std::vector<Field>& fields) {
  if (JsonOutput() != nullptr) {
    if (level != Level::kDebug) {
      JsonOutput()->Write(kLevelNames.Name(level), request_id, event, fields);
    }
    return;
  }
  log4cplus::Logger logger = log4cplus::Logger::getRoot();
  const log4cplus::LogLevel log_level = ToLogLevel(level);
  if (!logger.isEnabledFor(log_level)) {
    return;
  }
  std::string line;
  if (!request_id.empty()) {
    line += "request=" + std::string(request_id) + " ";
  }
  line += "event=" + std::string(event);
  for (const Field& field : fields) {
    line += " " + std::string(field.key) + "=" + Quote(field.value);
  }
  logger.log(log_level, line);
}

std::vector<Field> FieldsOf(const Error& error) {
  return {{"reason", std::string(kReasonNames.Name(error.reason))},
          {"outcome", std::string(kOutcomeNames.Name(error.outcome))},
          {"step", std::string(kStepNames.Name(error.step))},
          {"peer", error.peer},
          {"message", error.message}};
}

}  // namespace gooseberryturn::observe
