#ifndef GOOSEBERRYTURN_APP_PROGRAM_H_
#define GOOSEBERRYTURN_APP_PROGRAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/program_options/options_description.hpp>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::app {

/// \brief Exit codes of all programs.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

/// \brief Command line that every server program has.
struct CommandLine {
  std::string settings_file;
  bool check_only = false;
  bool bootstrap = false;
  bool is_done = false;  ///< Help or version was printed.
  int exit_code = kExitOk;
};

/// \brief Parses --help, --version, --settings, --check and --bootstrap.
[[nodiscard]] CommandLine ParseCommandLine(int argc, char** argv,
                                           const std::string& program,
                                           const std::string& purpose,
                                           bool has_bootstrap);

/// \brief Parses the options of a small program.
/// \returns The exit code when the program is to end now: help or a fault.
[[nodiscard]] std::optional<int> ParseOptions(
    int argc, char** argv, const std::string& program,
    const boost::program_options::options_description& known);

/// \brief Prints faults, one a line, to standard error.
void PrintFaults(const config::Faults& faults, const std::string& file);

/// \brief Calls `on_stop` in the context's thread at SIGTERM or SIGINT.
void OnStopSignal(boost::asio::io_context& context,
                  std::function<void()> on_stop);

/// \brief The common start of a server program.
///
/// \details Parses the command line and the settings, sets up the log and
/// calls `run`.
template <typename Settings>
[[nodiscard]] int RunProgram(
    const CommandLine& line, const std::string& program,
    tl::expected<Settings, config::Faults> (*parse)(const std::string&),
    const std::function<int(const Settings&)>& run) {
  if (line.is_done) {
    return line.exit_code;
  }
  const tl::expected<std::string, config::Faults> text =
      config::ReadFile(line.settings_file);
  if (!text.has_value()) {
    PrintFaults(text.error(), line.settings_file);
    return kExitUsage;
  }
  const tl::expected<Settings, config::Faults> settings = parse(*text);
  if (!settings.has_value()) {
    PrintFaults(settings.error(), line.settings_file);
    return kExitUsage;
  }
  const bool has_log = observe::StartLog(program, settings->common.host,
                                         settings->common.log_level);
  if (!has_log) {
    PrintFaults({{"log_level", settings->common.log_level,
                  "DEBUG, INFO, WARN or ERROR", 0}},
                line.settings_file);
    return kExitUsage;
  }
  if (line.check_only) {
    std::cout << line.settings_file << ": no faults\n";
    return kExitOk;
  }
  return run(*settings);
}

}  // namespace gooseberryturn::app

#endif  // GOOSEBERRYTURN_APP_PROGRAM_H_
