#include <cxxtools/query_params.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "api.h"
#include "gooseberryturn/app/program.h"
#include "gooseberryturn/config/document.h"
#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/id.h"
#include "status_page.h"
#include "text_diff.h"

namespace {

using namespace gooseberryturn;       // NOLINT(google-build-using-namespace)
using namespace gooseberryturn::ctl;  // NOLINT(google-build-using-namespace)
namespace po = boost::program_options;

constexpr char kProgram[] = "gooseberryturnctl";
constexpr int kExitRejected = 3;
constexpr int kExitNotInForce = 4;
constexpr int kExitUnreachable = 5;
constexpr std::chrono::milliseconds kWatchInterval(500);

constexpr char kUsage[] = R"(gooseberryturnctl: operates a gooseberryturn fleet

usage: gooseberryturnctl COMMAND [ARGUMENT...] [OPTION...]

  check FILE             check a document; nothing is applied
  diff FILE              what applying the file would change
  apply FILE             make the file the document in force
  promote --from LIST    apply the document of another environment unchanged
  status                 data centres, services, groups, hosts and why
  watch                  print the status whenever it changes
  document               print the document in force
  take-out DATA_CENTRE   give a data centre no new work
  return DATA_CENTRE     give a data centre new work again
  drain HOST             remove a host from its group; undrain HOST reverts it
  quarantine clear FINGERPRINT
                         allow a request again that crashed targets
  control add ID LINK HTTP | promote ID | remove ID
                         change the control hosts, one at a time

exit codes: 0 done; 1 failed; 2 usage error or invalid document; 3 rejected;
4 accepted but not yet in force everywhere; 5 no control host answers

)";

struct CtlOptions {
  std::vector<std::string> arguments;
  std::vector<Endpoint> control_hosts;
  std::vector<Endpoint> source_hosts;
  std::string change_id;           ///< Random unless --change is given.
  std::int64_t base_version = -1;  ///< -1: not given.
  bool json = false;
  bool force = false;
  bool allows_any_base = false;  ///< Replaces whatever version is in force.
};

int ReportUnreachable(const ApiAnswer& answer) {
  std::cerr << kProgram
            << ": no control host leads; check --control and that a majority "
               "of the control hosts runs\n"
            << answer.body << "\n";
  return kExitUnreachable;
}

int PrintChangeResult(const CtlOptions& options, const ApiAnswer& answer) {
  if (!IsFromLeader(answer)) {
    return ReportUnreachable(answer);
  }
  if (options.json) {
    std::cout << answer.body;
  }
  const std::string message = GetText(answer.tree, "message");
  switch (answer.status) {
    case 200:
      if (!options.json) {
        std::cout << "accepted";
        if (answer.tree.findMember("version") != nullptr) {
          std::cout << ", document version " << GetText(answer.tree, "version")
                    << ", in force everywhere after "
                    << GetText(answer.tree, "in_force_ms") << " ms";
        }
        std::cout << "\n";
      }
      return app::kExitOk;
    case 202:
      std::cerr << kProgram
                << ": accepted, but these hosts may not hold it yet; see "
                   "status:";
      for (const config::JsonValue* host : GetItems(answer.tree, "behind")) {
        std::string name;
        host->getValue(name);
        std::cerr << " " << name;
      }
      std::cerr << "\n";
      return kExitNotInForce;
    case 400:
      std::cerr << kProgram << ": correct the input: " << message << "\n";
      return app::kExitUsage;
    case 409:
      std::cerr << kProgram
                << ": rejected; look at status and try again: " << message
                << "\n";
      return kExitRejected;
    default:
      std::cerr << kProgram
                << ": failed, send it again with the same --change: " << message
                << "\n";
      return app::kExitFailure;
  }
}

/// Reads a document into `text` and prints its faults.
/// \returns The exit code; `text` is set only for kExitOk.
int ReadDocument(const std::string& file, std::string& text) {
  const tl::expected<std::string, config::Faults> contents =
      config::ReadFile(file);
  if (!contents.has_value()) {
    app::PrintFaults(contents.error(), file);
    return app::kExitUsage;
  }
  const tl::expected<config::Document, config::Faults> document =
      config::ParseDocument(*contents);
  if (!document.has_value()) {
    std::cerr << kProgram << ": correct these faults; nothing was applied\n";
    app::PrintFaults(document.error(), file);
    return app::kExitUsage;
  }
  text = *contents;
  return app::kExitOk;
}

ApiAnswer FetchDocument(const std::vector<Endpoint>& control_hosts) {
  return CallLeader(control_hosts, "GET", "/v1/document", {}, std::string());
}

int ApplyText(const CtlOptions& options, const std::string& text) {
  std::string base_version = std::to_string(options.base_version);
  if (options.base_version < 0) {
    const ApiAnswer current = FetchDocument(options.control_hosts);
    if (!IsFromLeader(current)) {
      return ReportUnreachable(current);
    }
    base_version = GetText(current.tree, "version");
    if (base_version != "0" && !options.allows_any_base) {
      std::cerr << kProgram
                << ": give --base N, the version the file was made from; the "
                   "version in force is "
                << base_version << "\n";
      return app::kExitUsage;
    }
  }
  cxxtools::QueryParams query;
  query.add("base", base_version);
  query.add("change", options.change_id);
  return PrintChangeResult(options, CallLeader(options.control_hosts, "POST",
                                               "/v1/apply", query, text));
}

int Apply(const CtlOptions& options) {
  std::string text;
  const int exit_code = ReadDocument(options.arguments[1], text);
  return exit_code == app::kExitOk ? ApplyText(options, text) : exit_code;
}

int Promote(const CtlOptions& options) {
  if (options.source_hosts.empty()) {
    std::cerr << kProgram
              << ": give --from with the control hosts of the other "
                 "environment\n";
    return app::kExitUsage;
  }
  const ApiAnswer source = FetchDocument(options.source_hosts);
  if (!IsFromLeader(source)) {
    return ReportUnreachable(source);
  }
  std::cout << "promoting digest " << GetText(source.tree, "digest") << "\n";
  CtlOptions promote_options = options;
  promote_options.allows_any_base = true;
  return ApplyText(promote_options, GetText(source.tree, "text"));
}

int Diff(const CtlOptions& options) {
  std::string text;
  const int exit_code = ReadDocument(options.arguments[1], text);
  if (exit_code != app::kExitOk) {
    return exit_code;
  }
  const ApiAnswer current = FetchDocument(options.control_hosts);
  if (!IsFromLeader(current)) {
    return ReportUnreachable(current);
  }
  std::cout << ctl::DiffLines(GetText(current.tree, "text"), text);
  return app::kExitOk;
}

int ShowStatus(const CtlOptions& options) {
  const ApiAnswer answer =
      CallLeader(options.control_hosts, "GET", "/v1/status", {}, std::string());
  if (!IsFromLeader(answer)) {
    return ReportUnreachable(answer);
  }
  if (options.json) {
    std::cout << answer.body;
  } else {
    PrintStatus(answer.tree);
  }
  return app::kExitOk;
}

int ShowDocument(const CtlOptions& options) {
  const ApiAnswer answer = FetchDocument(options.control_hosts);
  if (!IsFromLeader(answer)) {
    return ReportUnreachable(answer);
  }
  std::cout << (options.json ? answer.body : GetText(answer.tree, "text"));
  return app::kExitOk;
}

int Watch(const CtlOptions& options) {
  std::string last_output;
  while (true) {
    const ApiAnswer answer = CallLeader(options.control_hosts, "GET",
                                        "/v1/status", {}, std::string());
    std::ostringstream output;
    std::streambuf* const console_buffer = std::cout.rdbuf(output.rdbuf());
    PrintStatus(answer.tree);
    std::cout.rdbuf(console_buffer);
    if (output.str() != last_output) {
      last_output = output.str();
      std::cout << (options.json ? answer.body : last_output + "\n")
                << std::flush;
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

int PostChange(const CtlOptions& options, const std::string& path,
               cxxtools::QueryParams query) {
  query.add("change", options.change_id);
  return PrintChangeResult(options, CallLeader(options.control_hosts, "POST",
                                               path, query, std::string()));
}

int SetDataCentre(const CtlOptions& options, bool is_out) {
  cxxtools::QueryParams query;
  query.add("name", options.arguments[1]);
  query.add("out", is_out ? "1" : "0");
  query.add("force", options.force ? "1" : "0");
  return PostChange(options, "/v1/data-centre", query);
}

int SetDrained(const CtlOptions& options, bool is_drained) {
  cxxtools::QueryParams query;
  query.add("host", options.arguments[1]);
  query.add("drain", is_drained ? "1" : "0");
  return PostChange(options, "/v1/drain", query);
}

int ChangeControlHosts(const CtlOptions& options) {
  cxxtools::QueryParams query;
  query.add("action", options.arguments[1]);
  query.add("id", options.arguments[2]);
  if (options.arguments.size() == 5) {
    query.add("link", options.arguments[3]);
    query.add("http", options.arguments[4]);
  }
  return PostChange(options, "/v1/control", query);
}

int ClearQuarantine(const CtlOptions& options) {
  cxxtools::QueryParams query;
  query.add("fingerprint", options.arguments[2]);
  return PostChange(options, "/v1/quarantine/clear", query);
}

int Check(const CtlOptions& options) {
  std::string text;
  const int exit_code = ReadDocument(options.arguments[1], text);
  if (exit_code == app::kExitOk) {
    std::cout << options.arguments[1] << ": no faults, digest " << Digest(text)
              << "\n";
  }
  return exit_code;
}

int ReportUsageError(const std::string& message) {
  std::cerr << kProgram << ": " << message << "; see --help\n";
  return app::kExitUsage;
}

int RunCommand(const CtlOptions& options) {
  const std::string command =
      options.arguments.empty() ? "" : options.arguments[0];
  const std::size_t argument_count = options.arguments.size();
  if (command == "check" && argument_count == 2) {
    return Check(options);
  }
  if (options.control_hosts.empty()) {
    return ReportUsageError(
        "give --control IP:PORT[,IP:PORT...] of the control hosts");
  }
  if (command == "apply" && argument_count == 2) {
    return Apply(options);
  }
  if (command == "diff" && argument_count == 2) {
    return Diff(options);
  }
  if (command == "promote" && argument_count == 1) {
    return Promote(options);
  }
  if (command == "status" && argument_count == 1) {
    return ShowStatus(options);
  }
  if (command == "document" && argument_count == 1) {
    return ShowDocument(options);
  }
  if (command == "watch" && argument_count == 1) {
    return Watch(options);
  }
  if ((command == "take-out" || command == "return") && argument_count == 2) {
    return SetDataCentre(options, command == "take-out");
  }
  if ((command == "drain" || command == "undrain") && argument_count == 2) {
    return SetDrained(options, command == "drain");
  }
  if (command == "control" && (argument_count == 3 || argument_count == 5)) {
    return ChangeControlHosts(options);
  }
  if (command == "quarantine" && argument_count == 3 &&
      options.arguments[1] == "clear") {
    return ClearQuarantine(options);
  }
  return ReportUsageError("unknown command or wrong number of arguments");
}

bool ParseEndpoints(const std::string& addresses,
                    std::vector<Endpoint>& endpoints) {
  std::istringstream input(addresses);
  std::string item;
  while (std::getline(input, item, ',')) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(item);
    if (!endpoint.has_value()) {
      std::cerr << kProgram << ": \"" << item << "\" is not IP:PORT\n";
      return false;
    }
    endpoints.push_back(*endpoint);
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  CtlOptions options;
  std::string control_hosts;
  std::string source_hosts;
  po::options_description visible("Options");
  visible.add_options()("help", "print this text")("version",
                                                   "print the version")(
      "control", po::value<std::string>(&control_hosts),
      "HTTP addresses of the control hosts, IP:PORT[,IP:PORT...]")(
      "from", po::value<std::string>(&source_hosts),
      "control hosts of the environment to promote from")(
      "change", po::value<std::string>(&options.change_id),
      "id of the change; give the same one to send it again")(
      "base", po::value<std::int64_t>(&options.base_version),
      "version the document was made from; needed unless it is the first")(
      "json", po::bool_switch(&options.json), "print JSON")(
      "force", po::bool_switch(&options.force),
      "also take out the last data centre");
  po::options_description all;
  all.add(visible).add_options()(
      "word", po::value<std::vector<std::string>>(&options.arguments), "");
  po::positional_options_description positional;
  positional.add("word", -1);
  try {
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv)
                  .options(all)
                  .positional(positional)
                  .run(),
              values);
    po::notify(values);
    if (values.count("help") > 0) {
      std::cout << kUsage << visible;
      return app::kExitOk;
    }
    if (values.count("version") > 0) {
      std::cout << kProgram << " " << GOOSEBERRYTURN_VERSION << "\n";
      return app::kExitOk;
    }
  } catch (const std::exception& error) {
    return ReportUsageError(error.what());
  }
  if (!ParseEndpoints(control_hosts, options.control_hosts) ||
      !ParseEndpoints(source_hosts, options.source_hosts)) {
    return app::kExitUsage;
  }
  if (options.change_id.empty()) {
    options.change_id = RandomHexId();
  }
  return RunCommand(options);
}
