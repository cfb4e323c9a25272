#include <boost/program_options.hpp>
#include <exception>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include "../../platform/wire.h"
#include "gooseberryturn/app/program.h"
#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/direct/configuration_check.h"

namespace {

using namespace gooseberryturn;          // NOLINT(google-build-using-namespace)
using namespace gooseberryturn::direct;  // NOLINT(google-build-using-namespace)
namespace po = boost::program_options;

constexpr char kProgram[] = "gooseberryturn-check-config";

constexpr char kUsage[] =
    R"(gooseberryturn-check-config: checks a configuration before it is sent

usage: gooseberryturn-check-config FILE [--in-force FILE]

Prints errors, hints, and what differs from the version in force. Keys of teams
are never printed.

exit codes: 0 no errors; 1 errors; 2 usage error or unreadable file

)";

struct CheckOptions {
  std::string file;
  std::string in_force_file;  ///< Empty without a version to compare with.
  bool is_help = false;
  bool is_version = false;
};

int ReportUsageError(const std::string& message) {
  std::cerr << kProgram << ": " << message << "; see --help\n";
  return app::kExitUsage;
}

/// Reads a file, or prints why it can't be read.
std::optional<std::string> ReadText(const std::string& file) {
  const tl::expected<std::string, config::Faults> text = config::ReadFile(file);
  if (!text.has_value()) {
    app::PrintFaults(text.error(), file);
    return std::nullopt;
  }
  return *text;
}

void PrintFinding(const Finding& finding) {
  std::cout << kFindingSeverityNames.Name(finding.severity) << " "
            << kFindingKindNames.Name(finding.kind) << " " << finding.subject
            << ": " << finding.message << "\n";
}

void PrintChange(const ConfigurationChange& change) {
  std::cout << kChangeKindNames.Name(change.kind) << " " << change.subject;
  if (!change.field.empty()) {
    std::cout << " " << change.field << ":";
    if (change.kind != ChangeKind::kAdded) {
      std::cout << " from \"" << change.before << "\"";
    }
    if (change.kind != ChangeKind::kRemoved) {
      std::cout << " to \"" << change.after << "\"";
    }
  }
  std::cout << "\n";
}

/// \returns The exit code.
int PrintFindings(const std::vector<Finding>& findings) {
  int exit_code = app::kExitOk;
  for (const Finding& finding : findings) {
    PrintFinding(finding);
    if (finding.severity == FindingSeverity::kError) {
      exit_code = app::kExitFailure;
    }
  }
  return exit_code;
}

int Check(const CheckOptions& options) {
  const Dialect dialect = platform::MakeDialect();
  const std::optional<std::string> text = ReadText(options.file);
  if (!text.has_value()) {
    return app::kExitUsage;
  }
  const Result<Configuration> configuration = dialect.read_configuration(*text);
  if (!configuration.has_value()) {
    return PrintFindings({{FindingSeverity::kError, FindingKind::kInvalid,
                           "configuration", configuration.error().message}});
  }
  if (options.in_force_file.empty()) {
    return PrintFindings(CheckConfiguration(*configuration));
  }
  const std::optional<std::string> in_force_text =
      ReadText(options.in_force_file);
  if (!in_force_text.has_value()) {
    return app::kExitUsage;
  }
  const Result<Configuration> in_force =
      dialect.read_configuration(*in_force_text);
  if (!in_force.has_value()) {
    return ReportUsageError(options.in_force_file + ": " +
                            in_force.error().message);
  }
  const int exit_code =
      PrintFindings(CheckConfiguration(*configuration, *in_force));
  for (const ConfigurationChange& change :
       CompareConfigurations(*in_force, *configuration)) {
    PrintChange(change);
  }
  return exit_code;
}

CheckOptions ReadOptions(int argc, char** argv,
                         const po::options_description& visible) {
  CheckOptions options;
  po::options_description all;
  all.add(visible).add_options()("file", po::value<std::string>(), "");
  po::positional_options_description positional;
  positional.add("file", 1);
  po::variables_map values;
  po::store(po::command_line_parser(argc, argv)
                .options(all)
                .positional(positional)
                .run(),
            values);
  po::notify(values);
  options.is_help = values.count("help") > 0;
  options.is_version = values.count("version") > 0;
  if (values.count("file") > 0) {
    options.file = values["file"].as<std::string>();
  }
  if (values.count("in-force") > 0) {
    options.in_force_file = values["in-force"].as<std::string>();
  }
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  po::options_description visible("Options");
  visible.add_options()("help,h", "print this text")(
      "version", "print the version")("in-force", po::value<std::string>(),
                                      "the configuration in force");
  CheckOptions options;
  try {
    options = ReadOptions(argc, argv, visible);
  } catch (const std::exception& error) {
    return ReportUsageError(error.what());
  }
  if (options.is_help) {
    std::cout << kUsage << visible;
    return app::kExitOk;
  }
  if (options.is_version) {
    std::cout << kProgram << " " << GOOSEBERRYTURN_VERSION << "\n";
    return app::kExitOk;
  }
  if (options.file.empty()) {
    return ReportUsageError("give the file of a configuration");
  }
  return Check(options);
}
