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
namespace options = boost::program_options;

constexpr char kProgram[] = "gooseberryturnctl";
constexpr int kExitRejected = 3;
constexpr int kExitNotInForce = 4;
constexpr int kExitUnreachable = 5;
constexpr std::chrono::milliseconds kWatchPause(500);

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
  return DATA_CENTRE     give it work again
  drain HOST             free a host of its group; undrain HOST allows it again
  quarantine clear FINGERPRINT
                         allow a request again that targets died of
  control add ID LINK HTTP | promote ID | remove ID
                         change the control hosts, one at a time

exit codes: 0 done; 1 failed; 2 wrong use or a faulty document; 3 rejected;
4 accepted but not yet in force everywhere; 5 no control host answers

)";

struct CtlOptions {
  std::vector<std::string> words;
  std::vector<Endpoint> control;
  std::vector<Endpoint> from;
  std::string change;
  std::int64_t base = -1;
  bool json = false;
  bool force = false;
  bool replaces_any = false;  ///< Whatever version is in force now.
};

int Unreachable(const ApiAnswer& answer) {
  std::cerr << kProgram
            << ": no control host leads; check --control and that a majority "
               "of the control hosts runs\n"
            << answer.body << "\n";
  return kExitUnreachable;
}

int PrintChange(const CtlOptions& given, const ApiAnswer& answer) {
  if (!IsFromLeader(answer)) {
    return Unreachable(answer);
  }
  if (given.json) {
    std::cout << answer.body;
  }
  const std::string message = Text(answer.tree, "message");
  switch (answer.status) {
    case 200:
      if (!given.json) {
        std::cout << "accepted";
        if (answer.tree.findMember("version") != nullptr) {
          std::cout << ", document version " << Text(answer.tree, "version")
                    << ", in force everywhere after "
                    << Text(answer.tree, "in_force_ms") << " ms";
        }
        std::cout << "\n";
      }
      return app::kExitOk;
    case 202:
      std::cerr << kProgram
                << ": accepted, but these hosts may not hold it yet; see "
                   "status:";
      for (const config::JsonValue* host : Items(answer.tree, "behind")) {
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

// ------------------------------------------------------------------ commands

int ReadDocument(const std::string& file, std::string& text) {
  const tl::expected<std::string, config::Faults> bytes =
      config::ReadFile(file);
  if (!bytes.has_value()) {
    app::PrintFaults(bytes.error(), file);
    return app::kExitUsage;
  }
  const tl::expected<config::Document, config::Faults> document =
      config::ParseDocument(*bytes);
  if (!document.has_value()) {
    std::cerr << kProgram << ": correct these faults; nothing was applied\n";
    app::PrintFaults(document.error(), file);
    return app::kExitUsage;
  }
  text = *bytes;
  return app::kExitOk;
}

ApiAnswer FetchDocument(const std::vector<Endpoint>& control) {
  return Call(control, "GET", "/v1/document", {}, std::string());
}

int ApplyText(const CtlOptions& given, const std::string& text) {
  std::string base = std::to_string(given.base);
  if (given.base < 0) {
    const ApiAnswer current = FetchDocument(given.control);
    if (!IsFromLeader(current)) {
      return Unreachable(current);
    }
    base = Text(current.tree, "version");
    if (base != "0" && !given.replaces_any) {
      std::cerr << kProgram
                << ": give --base N, the version the file was made from; the "
                   "version in force is "
                << base << "\n";
      return app::kExitUsage;
    }
  }
  cxxtools::QueryParams query;
  query.add("base", base);
  query.add("change", given.change);
  return PrintChange(given,
                     Call(given.control, "POST", "/v1/apply", query, text));
}

int Apply(const CtlOptions& given) {
  std::string text;
  const int read = ReadDocument(given.words[1], text);
  return read == app::kExitOk ? ApplyText(given, text) : read;
}

int Promote(const CtlOptions& given) {
  if (given.from.empty()) {
    std::cerr << kProgram
              << ": give --from with the control hosts of the other "
                 "environment\n";
    return app::kExitUsage;
  }
  const ApiAnswer source = FetchDocument(given.from);
  if (!IsFromLeader(source)) {
    return Unreachable(source);
  }
  std::cout << "promoting digest " << Text(source.tree, "digest") << "\n";
  CtlOptions replacing = given;
  replacing.replaces_any = true;
  return ApplyText(replacing, Text(source.tree, "text"));
}

int Diff(const CtlOptions& given) {
  std::string text;
  const int read = ReadDocument(given.words[1], text);
  if (read != app::kExitOk) {
    return read;
  }
  const ApiAnswer current = FetchDocument(given.control);
  if (!IsFromLeader(current)) {
    return Unreachable(current);
  }
  std::cout << ctl::DiffLines(Text(current.tree, "text"), text);
  return app::kExitOk;
}

int Show(const CtlOptions& given) {
  const ApiAnswer answer =
      Call(given.control, "GET", "/v1/status", {}, std::string());
  if (!IsFromLeader(answer)) {
    return Unreachable(answer);
  }
  if (given.json) {
    std::cout << answer.body;
  } else {
    PrintStatus(answer.tree);
  }
  return app::kExitOk;
}

int ShowDocument(const CtlOptions& given) {
  const ApiAnswer answer = FetchDocument(given.control);
  if (!IsFromLeader(answer)) {
    return Unreachable(answer);
  }
  std::cout << (given.json ? answer.body : Text(answer.tree, "text"));
  return app::kExitOk;
}

int Watch(const CtlOptions& given) {
  std::string last;
  while (true) {
    const ApiAnswer answer =
        Call(given.control, "GET", "/v1/status", {}, std::string());
    std::ostringstream page;
    std::streambuf* const console = std::cout.rdbuf(page.rdbuf());
    PrintStatus(answer.tree);
    std::cout.rdbuf(console);
    if (page.str() != last) {
      last = page.str();
      std::cout << (given.json ? answer.body : last + "\n") << std::flush;
    }
    std::this_thread::sleep_for(kWatchPause);
  }
}

int Post(const CtlOptions& given, const std::string& path,
         cxxtools::QueryParams query) {
  query.add("change", given.change);
  return PrintChange(given,
                     Call(given.control, "POST", path, query, std::string()));
}

int SetDataCentre(const CtlOptions& given, bool out) {
  cxxtools::QueryParams query;
  query.add("name", given.words[1]);
  query.add("out", out ? "1" : "0");
  query.add("force", given.force ? "1" : "0");
  return Post(given, "/v1/data-centre", query);
}

int SetDrain(const CtlOptions& given, bool drain) {
  cxxtools::QueryParams query;
  query.add("host", given.words[1]);
  query.add("drain", drain ? "1" : "0");
  return Post(given, "/v1/drain", query);
}

int ChangeControl(const CtlOptions& given) {
  cxxtools::QueryParams query;
  query.add("action", given.words[1]);
  query.add("id", given.words[2]);
  if (given.words.size() == 5) {
    query.add("link", given.words[3]);
    query.add("http", given.words[4]);
  }
  return Post(given, "/v1/control", query);
}

int ClearQuarantine(const CtlOptions& given) {
  cxxtools::QueryParams query;
  query.add("fingerprint", given.words[2]);
  return Post(given, "/v1/quarantine/clear", query);
}

int Check(const CtlOptions& given) {
  std::string text;
  const int read = ReadDocument(given.words[1], text);
  if (read == app::kExitOk) {
    std::cout << given.words[1] << ": no faults, digest " << Digest(text)
              << "\n";
  }
  return read;
}

int Usage(const std::string& message) {
  std::cerr << kProgram << ": " << message << "; see --help\n";
  return app::kExitUsage;
}

int Run(const CtlOptions& given) {
  const std::string command = given.words.empty() ? "" : given.words[0];
  const std::size_t count = given.words.size();
  if (command == "check" && count == 2) {
    return Check(given);
  }
  if (given.control.empty()) {
    return Usage("give --control IP:PORT[,IP:PORT...] of the control hosts");
  }
  if (command == "apply" && count == 2) {
    return Apply(given);
  }
  if (command == "diff" && count == 2) {
    return Diff(given);
  }
  if (command == "promote" && count == 1) {
    return Promote(given);
  }
  if (command == "status" && count == 1) {
    return Show(given);
  }
  if (command == "document" && count == 1) {
    return ShowDocument(given);
  }
  if (command == "watch" && count == 1) {
    return Watch(given);
  }
  if ((command == "take-out" || command == "return") && count == 2) {
    return SetDataCentre(given, command == "take-out");
  }
  if ((command == "drain" || command == "undrain") && count == 2) {
    return SetDrain(given, command == "drain");
  }
  if (command == "control" && (count == 3 || count == 5)) {
    return ChangeControl(given);
  }
  if (command == "quarantine" && count == 3 && given.words[1] == "clear") {
    return ClearQuarantine(given);
  }
  return Usage("no such command or a wrong number of arguments");
}

bool ParseEndpoints(const std::string& list, std::vector<Endpoint>& endpoints) {
  std::istringstream input(list);
  std::string item;
  while (std::getline(input, item, ',')) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(item);
    if (!endpoint.has_value()) {
      std::cerr << kProgram << ": \"" << item << "\" is no IP:PORT\n";
      return false;
    }
    endpoints.push_back(*endpoint);
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  CtlOptions given;
  std::string control;
  std::string from;
  options::options_description visible("Options");
  visible.add_options()("help", "print this text")("version",
                                                   "print the version")(
      "control", options::value<std::string>(&control),
      "HTTP addresses of the control hosts, IP:PORT[,IP:PORT...]")(
      "from", options::value<std::string>(&from),
      "control hosts of the environment to promote from")(
      "change", options::value<std::string>(&given.change),
      "id of the change; give the same one to send it again")(
      "base", options::value<std::int64_t>(&given.base),
      "version the document was made from; needed unless it is the first")(
      "json", options::bool_switch(&given.json), "print JSON")(
      "force", options::bool_switch(&given.force),
      "also take out the last data centre");
  options::options_description all;
  all.add(visible).add_options()(
      "word", options::value<std::vector<std::string>>(&given.words), "");
  options::positional_options_description positions;
  positions.add("word", -1);
  try {
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv)
                       .options(all)
                       .positional(positions)
                       .run(),
                   values);
    options::notify(values);
    if (values.count("help") > 0) {
      std::cout << kUsage << visible;
      return app::kExitOk;
    }
    if (values.count("version") > 0) {
      std::cout << kProgram << " " << GOOSEBERRYTURN_VERSION << "\n";
      return app::kExitOk;
    }
  } catch (const std::exception& error) {
    return Usage(error.what());
  }
  if (!ParseEndpoints(control, given.control) ||
      !ParseEndpoints(from, given.from)) {
    return app::kExitUsage;
  }
  if (given.change.empty()) {
    given.change = RandomHexId();
  }
  return Run(given);
}
