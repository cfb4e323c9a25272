// Stand-in for a plain service whose calls may not be repeated. It appends the
// body of every run to a journal, so that a test can count runs even after the
// stand-in died.
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

struct PlainOptions {
  std::string listen;
  std::string journal;
  std::string die_on;
  std::int64_t delay_ms = 0;
};

class PlainService {
 public:
  explicit PlainService(PlainOptions options) : options(std::move(options)) {}

  observe::HttpAnswer Handle(const observe::HttpCall& call) {
    if (call.path == "/health") {
      return {200, "application/json",
              "{\"boot\":\"" + this->boot + "\",\"ready\":true}"};
    }
    std::int64_t number = 0;
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      this->runs += 1;
      number = this->runs;
      std::ofstream journal(this->options.journal, std::ios::app);
      journal << call.body << std::endl;
    }
    std::this_thread::sleep_for(
        std::chrono::milliseconds(this->options.delay_ms));
    const bool dies = !this->options.die_on.empty() &&
                      call.body.find(this->options.die_on) != std::string::npos;
    if (dies) {
      std::_Exit(3);
    }
    return {200, "application/json",
            "{\"accepted\":true,\"run\":" + std::to_string(number) +
                ",\"proof\":\"" + ProofFor(call.body) + "\"}\n"};
  }

 private:
  /// Padding as long as the number after "proof=" in the body.
  static std::string ProofFor(const std::string& body) {
    const std::string mark = "proof=";
    const std::size_t found = body.find(mark);
    if (found == std::string::npos) {
      return std::string();
    }
    const char* digits = body.c_str() + found + mark.size();
    return std::string(std::strtoull(digits, nullptr, 10), 'x');
  }

  PlainOptions options;
  std::string boot = RandomHexId();
  std::mutex mutex;
  std::int64_t runs = 0;
};

}  // namespace

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  PlainOptions settings;
  options::options_description known(
      "fake-plain: stand-in for a plain service");
  known.add_options()("help", "print this text")(
      "listen", options::value<std::string>(&settings.listen)->required(),
      "IP:PORT")("journal",
                 options::value<std::string>(&settings.journal)
                     ->default_value("/dev/null"),
                 "file that gets the body of every run")(
      "delay-ms", options::value<std::int64_t>(&settings.delay_ms),
      "time of one run")("die-on",
                         options::value<std::string>(&settings.die_on),
                         "dies after running a body that contains this");
  const std::optional<int> exit_code =
      app::ParseOptions(argc, argv, "fake-plain", known);
  if (exit_code.has_value()) {
    return *exit_code;
  }
  const std::optional<Endpoint> endpoint = ParseEndpoint(settings.listen);
  if (!endpoint.has_value()) {
    std::cerr << "fake-plain: --listen needs IP:PORT\n";
    return 2;
  }
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  PlainService service(settings);
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
