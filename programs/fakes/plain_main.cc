// Fake plain service whose requests are not idempotent. It appends the body of
// each request it runs to a journal, so that a test can count the runs even
// after the process crashed.
#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "gooseberryturn/app/program.h"
#include "gooseberryturn/core/id.h"
#include "gooseberryturn/observe/http_server.h"

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)

/// Command-line options.
struct PlainOptions {
  std::string listen;
  std::string journal;
  std::string crash_text;  ///< Crashes after running a body with this text.
  std::int64_t delay_ms = 0;
};

/// Answers health checks and runs all other requests.
class PlainService {
 public:
  explicit PlainService(PlainOptions options) : options(std::move(options)) {}

  observe::HttpAnswer Handle(const observe::HttpCall& call) {
    if (call.path == "/health") {
      return {200, "application/json",
              "{\"boot\":\"" + this->boot + "\",\"ready\":true}"};
    }
    std::int64_t run = 0;
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      this->runs += 1;
      run = this->runs;
      std::ofstream journal(this->options.journal, std::ios::app);
      journal << call.body << std::endl;
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(this->options.delay_ms));
    const bool must_crash =
        !this->options.crash_text.empty() &&
        call.body.find(this->options.crash_text) != std::string::npos;
    if (must_crash) {
      std::_Exit(3);
    }
    return {200, "application/json",
            "{\"accepted\":true,\"run\":" + std::to_string(run) +
                ",\"proof\":\"" + MakeProof(call.body) + "\"}\n"};
  }

 private:
  /// Returns as many padding bytes as the number after "proof=" in the body, so
  /// that a test can choose the size of the answer.
  static std::string MakeProof(const std::string& body) {
    const std::string key = "proof=";
    const std::size_t found = body.find(key);
    if (found == std::string::npos) {
      return std::string();
    }
    const char* digits = body.c_str() + found + key.size();
    return std::string(std::strtoull(digits, nullptr, 10), 'x');
  }

  PlainOptions options;
  std::string boot = RandomHexId();
  std::mutex mutex;
  std::int64_t runs = 0;
};

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  PlainOptions options;
  po::options_description description(
      "fake-plain: fake plain service for tests");
  description.add_options()("help", "print this text")(
      "listen", po::value<std::string>(&options.listen)->required(), "IP:PORT")(
      "journal",
      po::value<std::string>(&options.journal)->default_value("/dev/null"),
      "file to which the body of every run is appended")(
      "delay-ms", po::value<std::int64_t>(&options.delay_ms),
      "duration of one run")("die-on",
                             po::value<std::string>(&options.crash_text),
                             "crashes after running a body that contains this");
  const std::optional<int> exit_code =
      app::ParseOptions(argc, argv, "fake-plain", description);
  if (exit_code.has_value()) {
    return *exit_code;
  }
  const std::optional<Endpoint> endpoint = ParseEndpoint(options.listen);
  if (!endpoint.has_value()) {
    std::cerr << "fake-plain: --listen needs IP:PORT\n";
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  PlainService service(options);
  observe::HttpServer server([&service](const observe::HttpCall& call) {
    return service.Handle(call);
  });
  const Result<void> started = server.Start(*endpoint);
  if (!started.has_value()) {
    std::cerr << "fake-plain: " << ToString(started.error()) << "\n";
    return 1;
  }
  int received = 0;
  sigwait(&signals, &received);
  return 0;
}
