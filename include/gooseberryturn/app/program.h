#ifndef GOOSEBERRYTURN_APP_PROGRAM_H_
#define GOOSEBERRYTURN_APP_PROGRAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/program_options/options_description.hpp>
#include <chrono>
#include <functional>
#include <iostream>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::app {

/// \brief Exit codes that all programs share. kExitUsage also covers invalid
/// settings and documents.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailure = 1;
inline constexpr int kExitUsage = 2;

/// \brief Parsed command line of a server program.
struct CommandLine {
  std::string settings_file;
  bool check_only = false;  ///< Check the settings and exit.
  bool bootstrap = false;   ///< First start of a new quorum.
  bool is_done = false;     ///< The program is to exit with exit_code.
  int exit_code = kExitOk;
};

/// \brief Parses --help, --version, --settings and --check, and --bootstrap if
/// `has_bootstrap` is true.
///
/// \details Prints help, version and errors itself; is_done is then set.
[[nodiscard]] CommandLine ParseCommandLine(int argc, char** argv,
                                           const std::string& program,
                                           const std::string& purpose,
                                           bool has_bootstrap);

/// \brief Parses the options of a program that is not a server.
/// \returns The exit code when the program is to exit now, because help was
/// printed or an option is invalid.
[[nodiscard]] std::optional<int> ParseOptions(
    int argc, char** argv, const std::string& program,
    const boost::program_options::options_description& description);

/// \brief Prints faults to standard error, one per line.
void PrintFaults(const config::Faults& faults, const std::string& file);

/// \brief Calls `on_stop` in the context's thread on the first SIGTERM or
/// SIGINT; later ones are only logged. Also makes the process ignore SIGPIPE.
///
/// \details Once `context` is destroyed, a signal ends the process. A program
/// that may still get one then calls EndProcess before.
void OnStopSignal(boost::asio::io_context& context,
                  std::function<void()> on_stop);

/// \brief Ends the process as the last step of a planned stop.
///
/// \details Writes what is left of the log, for no longer than kLogFlushTime,
/// and ends without the destructors of static objects: those of the libraries
/// wait for their own threads without a limit. Everything that must be closed
/// in order is closed before.
[[noreturn]] void EndProcess(int exit_code);

/// \brief Time for which EndProcess waits for an output that is blocked. A host
/// leaves more than this at the end of its grace period.
inline constexpr Duration kLogFlushTime = std::chrono::milliseconds(300);

/// \brief Entry point shared by the server programs.
///
/// \details Reads and checks the settings, starts the log and calls `run`. With
/// --check, `run` is not called.
/// \returns The exit code.
template <typename Settings>
[[nodiscard]] int RunProgram(
    const CommandLine& command_line, const std::string& program,
    tl::expected<Settings, config::Faults> (*parse)(const std::string&),
    const std::function<int(const Settings&)>& run) {
  if (command_line.is_done) {
    return command_line.exit_code;
  }
  const tl::expected<std::string, config::Faults> text =
      config::ReadFile(command_line.settings_file);
  if (!text.has_value()) {
    PrintFaults(text.error(), command_line.settings_file);
    return kExitUsage;
  }
  const tl::expected<Settings, config::Faults> settings = parse(*text);
  if (!settings.has_value()) {
    PrintFaults(settings.error(), command_line.settings_file);
    return kExitUsage;
  }
  const bool is_log_level_valid = observe::StartLog(
      program, settings->common.host, settings->common.log_level);
  if (!is_log_level_valid) {
    PrintFaults({{"log_level", settings->common.log_level,
                  "DEBUG, INFO, WARN or ERROR", 0}},
                command_line.settings_file);
    return kExitUsage;
  }
  if (command_line.check_only) {
    std::cout << command_line.settings_file << ": no faults\n";
    return kExitOk;
  }
  return run(*settings);
}

}  // namespace gooseberryturn::app

#endif  // GOOSEBERRYTURN_APP_PROGRAM_H_
