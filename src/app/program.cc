#include "gooseberryturn/app/program.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <memory>
#include <utility>

#include "gooseberryturn/fwd.h"

namespace gooseberryturn::app {

namespace options = boost::program_options;

CommandLine ParseCommandLine(int argc, char** argv, const std::string& program,
                             const std::string& purpose, bool has_bootstrap) {
  CommandLine line;
  options::options_description known(program + ": " + purpose + "\nOptions");
  known.add_options()("help", "print this text")("version",
                                                 "print the version")(
      "settings", options::value<std::string>(&line.settings_file),
      "settings file, JSON with comments")(
      "check", options::bool_switch(&line.check_only),
      "check the settings and exit");
  if (has_bootstrap) {
    known.add_options()(
        "bootstrap", options::bool_switch(&line.bootstrap),
        "first start of a new quorum with an empty data folder");
  }
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    options::notify(values);
    if (values.count("help") > 0) {
      std::cout << known << "\n";
      line.is_done = true;
    } else if (values.count("version") > 0) {
      std::cout << program << " " << GOOSEBERRYTURN_VERSION << "\n";
      line.is_done = true;
    } else if (line.settings_file.empty()) {
      std::cerr << program << ": give --settings FILE; see --help\n";
      line.is_done = true;
      line.exit_code = kExitUsage;
    }
  } catch (const std::exception& error) {
    std::cerr << program << ": " << error.what() << "; see --help\n";
    line.is_done = true;
    line.exit_code = kExitUsage;
  }
  return line;
}

std::optional<int> ParseOptions(int argc, char** argv,
                                const std::string& program,
                                const options::options_description& known) {
  try {
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, known), values);
    if (values.count("help") > 0) {
      std::cout << known;
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
  const std::shared_ptr<boost::asio::signal_set> signals =
      std::make_shared<boost::asio::signal_set>(context, SIGTERM, SIGINT);
  signals->async_wait(
      [signals, on_stop = std::move(on_stop)](
          const boost::system::error_code& error, int /*number*/) {
        if (!error) {
          on_stop();
        }
      });
}

}  // namespace gooseberryturn::app
