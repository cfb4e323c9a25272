#include "gooseberryturn/app/program.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <memory>
#include <string>
#include <utility>

#include "gooseberryturn/fwd.h"

namespace gooseberryturn::app {

namespace options = boost::program_options;

namespace {

/// Calls `on_stop` on the first signal. The set is kept for those that follow:
/// without it, the next one would end the process at once.
void AwaitStopSignal(const std::shared_ptr<boost::asio::signal_set>& signals,
                     std::function<void()> on_stop) {
  signals->async_wait([signals, on_stop = std::move(on_stop)](
                          const boost::system::error_code& error, int number) {
    if (error) {
      return;
    }
    AwaitStopSignal(signals, nullptr);
    if (on_stop) {
      on_stop();
    } else {
      observe::LogEvent(observe::Level::kInfo, "", "stop_signal_repeated",
                        {{"signal", std::to_string(number)}});
    }
  });
}

}  // namespace

CommandLine ParseCommandLine(int argc, char** argv, const std::string& program,
                             const std::string& purpose, bool has_bootstrap) {
  CommandLine command_line;
  options::options_description description(program + ": " + purpose +
                                           "\nOptions");
  description.add_options()("help", "print this text")("version",
                                                       "print the version")(
      "settings", options::value<std::string>(&command_line.settings_file),
      "settings file, JSON with comments")(
      "check", options::bool_switch(&command_line.check_only),
      "check the settings and exit");
  if (has_bootstrap) {
    description.add_options()(
        "bootstrap", options::bool_switch(&command_line.bootstrap),
        "first start of a new quorum with an empty data folder");
  }
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
    if (values.count("help") > 0) {
      std::cout << description << "\n";
      command_line.is_done = true;
    } else if (values.count("version") > 0) {
      std::cout << program << " " << GOOSEBERRYTURN_VERSION << "\n";
      command_line.is_done = true;
    } else if (command_line.settings_file.empty()) {
      std::cerr << program << ": --settings FILE is required; see --help\n";
      command_line.is_done = true;
      command_line.exit_code = kExitUsage;
    }
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << "; see --help\n";
    command_line.is_done = true;
    command_line.exit_code = kExitUsage;
  }
  return command_line;
}

std::optional<int> ParseOptions(
    int argc, char** argv, const std::string& program,
    const options::options_description& description) {
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    if (values.count("help") > 0) {
      std::cout << description;
      return kExitOk;
    }
    options::notify(values);
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  return std::nullopt;
}

void PrintFaults(const config::Faults& faults, const std::string& file) {
  for (const config::Fault& fault : faults) {
    std::cerr << config::ToString(fault, file) << "\n";
  }
}

void OnStopSignal(boost::asio::io_context& context,
                  std::function<void()> on_stop) {
  std::signal(SIGPIPE, SIG_IGN);
  AwaitStopSignal(
      std::make_shared<boost::asio::signal_set>(context, SIGTERM, SIGINT),
      std::move(on_stop));
}

void EndProcess(int exit_code) {
  observe::StopLog(Clock::now() + kLogFlushTime);
  std::cout.flush();
  // At exit, log4cplus waits without a limit until the threads of its pool,
  // which every program starts that is linked against it, have ended one after
  // the other.
  std::quick_exit(exit_code);
}

}  // namespace gooseberryturn::app
