#ifndef GOOSEBERRYTURN_TESTS_FLEET_H_
#define GOOSEBERRYTURN_TESTS_FLEET_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "gooseberryturn/core/endpoint.h"

/// Starts the real programs on loopback addresses for the failure tests.
namespace gooseberryturn::fleet {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

inline constexpr std::chrono::seconds kWide(60);

/// Waits until `is_true`, for as long as a busy machine may need.
inline bool Eventually(const std::function<bool()>& is_true,
                       std::chrono::milliseconds limit = kWide) {
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (is_true()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

/// A child process; killed when the object goes.
class Process {
 public:
  Process(std::vector<std::string> words, const std::string& log_file)
      : words(std::move(words)), log_file(log_file) {
    this->Start();
  }
  ~Process() { this->Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start() {
    std::vector<char*> argv;
    for (std::string& word : this->words) {
      argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log =
          open(this->log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      execv(argv[0], argv.data());
      _exit(127);
    }
  }
  void Signal(int number) const { kill(this->pid, number); }
  void Kill() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      this->WaitExit();
    }
  }
  /// Exit code, or 128 + signal.
  int WaitExit() {
    int status = 0;
    waitpid(this->pid, &status, 0);
    this->pid = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  /// True when it ended by itself.
  bool HasExited() {
    int status = 0;
    if (this->pid > 0 && waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->pid = -1;
    }
    return this->pid < 0;
  }
  [[nodiscard]] std::string Log() const {
    std::ifstream input(this->log_file);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
  }

 private:
  std::vector<std::string> words;
  std::string log_file;
  pid_t pid = -1;
};

/// An HTTP answer as a caller saw it.
struct Answer {
  int status = 0;
  std::string body;
  bool is_complete = false;  ///< Ended as HTTP says a whole answer ends.
  std::map<std::string, std::string> headers;

  [[nodiscard]] bool Says(const std::string& text) const {
    return this->body.find(text) != std::string::npos;
  }
};

/// One call over a connection of its own.
class Call {
 public:
  Call(const Endpoint& host, const std::string& method, const std::string& path,
       const std::map<std::string, std::string>& headers,
       const std::string& body, int receive_buffer = 0)
      : stream(context) {
    error_code error;
    this->stream.socket().open(asio::ip::tcp::v4(), error);
    if (receive_buffer > 0) {
      this->stream.socket().set_option(
          asio::socket_base::receive_buffer_size(receive_buffer), error);
    }
    this->stream.expires_after(kWide);
    this->stream.socket().connect(
        {asio::ip::make_address(host.address), host.port}, error);
    if (error) {
      return;
    }
    http::request<http::string_body> request(http::string_to_verb(method), path,
                                             11);
    request.set(http::field::host, host.address);
    for (const auto& header : headers) {
      request.set(header.first, header.second);
    }
    request.body() = body;
    request.prepare_payload();
    http::write(this->stream, request, error);
    this->is_sent = !error;
    this->parser.body_limit(1ULL << 32U);
  }

  /// Reads the head and the first piece of the body.
  Answer ReadSome() {
    error_code error;
    if (this->is_sent && !this->has_head) {
      http::read_header(this->stream, this->buffer, this->parser, error);
      this->has_head = !error;
    }
    while (this->has_head && !error && this->parser.get().body().empty() &&
           !this->parser.is_done()) {
      http::read_some(this->stream, this->buffer, this->parser, error);
    }
    return this->Take(error);
  }
  Answer ReadAll() {
    error_code error;
    if (this->is_sent) {
      http::read(this->stream, this->buffer, this->parser, error);
    }
    return this->Take(error);
  }
  void Close() { this->stream.socket().close(); }
  asio::ip::tcp::socket& socket() { return this->stream.socket(); }

 private:
  Answer Take(const error_code& error) {
    Answer answer;
    if (!this->parser.is_header_done()) {
      return answer;
    }
    answer.status = static_cast<int>(this->parser.get().result_int());
    answer.body = this->parser.get().body();
    answer.is_complete = !error && this->parser.is_done();
    for (const auto& field : this->parser.get()) {
      answer.headers[std::string(field.name_string())] =
          std::string(field.value());
    }
    return answer;
  }

  asio::io_context context;
  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  bool is_sent = false;
  bool has_head = false;
};

inline Answer Get(const Endpoint& host, const std::string& path) {
  return Call(host, "GET", path, {}, "").ReadAll();
}

/// A TCP relay that can be cut silently: bytes stay where they are.
class Relay {
 public:
  Relay(const Endpoint& from, const Endpoint& to)
      : target(asio::ip::make_address(to.address), to.port),
        acceptor(context, {asio::ip::make_address(from.address), from.port}) {
    this->Accept();
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~Relay() {
    this->context.stop();
    this->thread.join();
  }
  void Cut(bool cut) { this->is_cut = cut; }

 private:
  struct Pipe {
    Pipe(asio::io_context& context, asio::ip::tcp::socket socket)
        : left(std::move(socket)), right(context), timer(context) {}
    asio::ip::tcp::socket left;
    asio::ip::tcp::socket right;
    asio::steady_timer timer;
    char up[16384];
    char down[16384];
  };

  void Accept() {
    this->acceptor.async_accept(
        [this](const error_code& error, asio::ip::tcp::socket socket) {
          if (!error) {
            const auto pipe =
                std::make_shared<Pipe>(this->context, std::move(socket));
            error_code failed;
            pipe->right.connect(this->target, failed);
            if (!failed) {
              this->Copy(pipe, pipe->left, pipe->right, pipe->up);
              this->Copy(pipe, pipe->right, pipe->left, pipe->down);
            }
          }
          this->Accept();
        });
  }

  void Copy(const std::shared_ptr<Pipe>& pipe, asio::ip::tcp::socket& from,
            asio::ip::tcp::socket& to, char* buffer) {
    from.async_read_some(asio::buffer(buffer, 16384),
                         [this, pipe, &from, &to, buffer](
                             const error_code& error, std::size_t size) {
                           if (error) {
                             error_code ignored;
                             pipe->left.close(ignored);
                             pipe->right.close(ignored);
                             return;
                           }
                           this->Pass(pipe, from, to, buffer, size);
                         });
  }

  void Pass(const std::shared_ptr<Pipe>& pipe, asio::ip::tcp::socket& from,
            asio::ip::tcp::socket& to, char* buffer, std::size_t size) {
    if (this->is_cut) {
      const auto wait = std::make_shared<asio::steady_timer>(
          this->context, std::chrono::milliseconds(20));
      wait->async_wait(
          [this, wait, pipe, &from, &to, buffer, size](const error_code&) {
            this->Pass(pipe, from, to, buffer, size);
          });
      return;
    }
    asio::async_write(
        to, asio::buffer(buffer, size),
        [this, pipe, &from, &to, buffer](const error_code& error, std::size_t) {
          if (!error) {
            this->Copy(pipe, from, to, buffer);
          }
        });
  }

  asio::io_context context;
  asio::ip::tcp::endpoint target;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> is_cut = false;
  std::thread thread;
};

/// What a target of a test is.
struct TargetPlan {
  int number = 0;
  std::string data_centre = "a";
  std::string domain = "rack-1";
  bool is_model = true;
  std::vector<std::string> options;
};

/// A fleet on addresses 127.NET.*.
class Fleet {
 public:
  explicit Fleet(int net) : net(net) {
    char name[] = "/tmp/gooseberryturn-XXXXXX";
    this->folder = mkdtemp(name);
  }
  ~Fleet() {
    this->processes.clear();
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }

  Endpoint At(int kind, int number, int port) const {
    return {"127." + std::to_string(this->net) + "." + std::to_string(kind) +
                "." + std::to_string(number),
            static_cast<std::uint16_t>(port)};
  }
  Endpoint ControlLink(int id) const { return this->At(0, id, 7000); }
  Endpoint ControlHttp(int id) const { return this->At(0, id, 7001); }
  Endpoint Callers(int number) const { return this->At(1, number, 8080); }
  Endpoint EntryHttp(int number) const { return this->At(1, number, 7001); }
  Endpoint AgentHttp(int number) const { return this->At(2, number, 7001); }
  Endpoint Target(int number) const { return this->At(2, number, 9000); }
  Endpoint RelayAt(int id) const { return this->At(9, id, 7000); }

  Process& At(const std::string& name) { return *this->processes.at(name); }
  [[nodiscard]] std::string Path(const std::string& name) const {
    return this->folder + "/" + name;
  }

  void StartControl(int id, bool is_bootstrap = true) {
    std::string peers;
    for (int peer = 1; peer <= 3; ++peer) {
      const int shown = peer == 3 && id > 3 ? id : peer;
      peers += (peer == 1 ? "" : ",") + std::string("{\"id\":") +
               std::to_string(shown) + ",\"link\":\"" +
               ToString(this->ControlLink(shown)) + "\",\"http\":\"" +
               ToString(this->ControlHttp(shown)) + "\"}";
    }
    const std::string name = "control-" + std::to_string(id);
    this->Write(
        name, "\"host\":\"" + name + "\",\"data_centre\":\"a\",\"http\":\"" +
                  ToString(this->ControlHttp(id)) +
                  "\",\"id\":" + std::to_string(id) + ",\"data_folder\":\"" +
                  this->Path(name + "-data") + "\",\"peers\":[" + peers + "]");
    this->Spawn(name, "gooseberryturn-control",
                is_bootstrap ? std::vector<std::string>{"--bootstrap"}
                             : std::vector<std::string>{});
  }
  void StartEntry(int number, const std::string& data_centre = "a",
                  const std::string& more = "") {
    const std::string name = "entry-" + std::to_string(number);
    this->Write(name,
                "\"host\":\"" + name + "\",\"data_centre\":\"" + data_centre +
                    "\",\"http\":\"" + ToString(this->EntryHttp(number)) +
                    "\",\"callers\":\"" + ToString(this->Callers(number)) +
                    "\",\"control\":" + this->Links(false) + more);
    this->Spawn(name, "gooseberryturn-entry", {});
  }
  void StartTarget(const TargetPlan& plan, bool uses_relay = false) {
    const std::string number = std::to_string(plan.number);
    std::vector<std::string> options = plan.options;
    options.push_back("--listen");
    options.push_back(ToString(this->Target(plan.number)));
    if (!plan.is_model) {
      options.push_back("--journal");
      options.push_back(this->Path("journal"));
    }
    this->SpawnPlain("target-" + number,
                     plan.is_model ? "fake-engine" : "fake-plain", options);
    const std::string name = "host-" + number;
    this->Write(
        name,
        "\"host\":\"" + name + "\",\"data_centre\":\"" + plan.data_centre +
            "\",\"http\":\"" + ToString(this->AgentHttp(plan.number)) +
            "\",\"link\":\"" + ToString(this->At(2, plan.number, 7000)) +
            "\",\"target\":\"" + ToString(this->Target(plan.number)) +
            "\",\"target_kind\":\"" + (plan.is_model ? "model" : "plain") +
            "\",\"service\":\"" + (plan.is_model ? "llm" : "orders") +
            "\",\"fabric_domain\":\"" + plan.domain +
            "\",\"control\":" + this->Links(uses_relay));
    this->Spawn(name, "gooseberryturn-agent", {});
  }
  /// Three control hosts and the document of the test.
  void StartControls() {
    for (int id = 1; id <= 3; ++id) {
      this->StartControl(id);
    }
  }

  /// Calls the operators' API at whichever control host leads.
  Answer Operate(const std::string& method, const std::string& path,
                 const std::string& body = "", int last_id = 3) {
    Answer answer;
    const bool is_done = Eventually([&] {
      for (int id = 1; id <= last_id; ++id) {
        answer = Call(this->ControlHttp(id), method, path, {}, body).ReadAll();
        if (answer.status != 0 && answer.status != 421 &&
            answer.status != 503) {
          return true;
        }
      }
      return false;
    });
    BOOST_REQUIRE_MESSAGE(is_done, "no control host leads");
    return answer;
  }
  void Apply(const std::string& document, int base) {
    const Answer answer =
        this->Operate("POST",
                      "/v1/apply?base=" + std::to_string(base) +
                          "&change=test-" + std::to_string(base),
                      document);
    BOOST_REQUIRE_MESSAGE(answer.status == 200 || answer.status == 202,
                          answer.body);
  }
  std::string Status() { return this->Operate("GET", "/v1/status").body; }
  int Serving() { return this->Count(this->Status(), "\"serving\":true"); }
  void WaitServing(int groups) {
    BOOST_REQUIRE_MESSAGE(Eventually([&] { return this->Serving() >= groups; }),
                          "groups do not serve: " << this->Status());
  }
  void WaitEntry(int number) {
    BOOST_REQUIRE(Eventually(
        [&] { return Get(this->EntryHttp(number), "/ready").status == 200; }));
  }
  Answer Post(int entry, const std::string& path, const std::string& body,
              const std::string& key = "", const std::string& team = "t1") {
    return this->Begin(entry, path, body, key, team)->ReadAll();
  }
  std::unique_ptr<Call> Begin(int entry, const std::string& path,
                              const std::string& body,
                              const std::string& key = "",
                              const std::string& team = "t1",
                              int receive_buffer = 0) {
    std::map<std::string, std::string> headers = {
        {"Gooseberryturn-Team", team}};
    if (!key.empty()) {
      headers["Idempotency-Key"] = key;
    }
    return std::make_unique<Call>(this->Callers(entry), "POST", path, headers,
                                  body, receive_buffer);
  }
  /// Runs of the plain stand-ins whose body contains `text`.
  int Runs(const std::string& text) const {
    std::ifstream journal(this->Path("journal"));
    std::string line;
    int count = 0;
    while (std::getline(journal, line)) {
      count += line.find(text) != std::string::npos ? 1 : 0;
    }
    return count;
  }
  /// A number that a stand-in engine counted.
  long Counted(int number, const std::string& name) const {
    const std::string body = Get(this->Target(number), "/counts").body;
    const std::size_t found = body.find("\"" + name + "\":");
    return found == std::string::npos
               ? -1
               : std::strtol(body.c_str() + found + name.size() + 3, nullptr,
                             10);
  }
  /// Number of the control host that leads.
  int Leader() {
    int leader = 0;
    BOOST_REQUIRE(Eventually([&] {
      for (int id = 1; id <= 4; ++id) {
        if (this->processes.count("control-" + std::to_string(id)) > 0 &&
            Get(this->ControlHttp(id), "/ready").status == 200) {
          leader = id;
          return true;
        }
      }
      return false;
    }));
    return leader;
  }
  static int Count(const std::string& text, const std::string& part) {
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1)) {
      ++count;
    }
    return count;
  }

  std::map<std::string, std::unique_ptr<Process>> processes;

 private:
  std::string Links(bool uses_relay) const {
    std::string links;
    for (int id = 1; id <= 3; ++id) {
      links +=
          (id == 1 ? "\"" : ",\"") +
          ToString(uses_relay ? this->RelayAt(id) : this->ControlLink(id)) +
          "\"";
    }
    return "[" + links + "]";
  }
  void Write(const std::string& name, const std::string& members) const {
    std::ofstream(this->Path(name + ".json")) << "{" << members << "}";
  }
  void Spawn(const std::string& name, const std::string& program,
             std::vector<std::string> options) {
    options.push_back("--settings");
    options.push_back(this->Path(name + ".json"));
    this->SpawnPlain(name, program, options);
  }
  void SpawnPlain(const std::string& name, const std::string& program,
                  const std::vector<std::string>& options) {
    std::vector<std::string> words = {std::string(BINARY_ROOT) + "/" + program};
    words.insert(words.end(), options.begin(), options.end());
    this->processes[name] =
        std::make_unique<Process>(words, this->Path(name + ".log"));
  }

  int net;
  std::string folder;
};

/// What the document of a test declares.
struct DocumentPlan {
  int groups = 1;
  int hosts = 1;
  int order_groups = 1;
  int in_flight = 32;
  int cold_in_flight = 32;
  int memory_tokens = 1'000'000;
  int deadline_ms = 60'000;
  std::string note;
};

inline std::string MakeDocument(const DocumentPlan& plan) {
  const auto text = [](int number) { return std::to_string(number); };
  return "{\"environment\":\"test" + plan.note +
         "\",\"data_centres\":["
         "{\"name\":\"a\",\"region\":\"r\"},{\"name\":\"b\",\"region\":\"r\"}],"
         "\"services\":[{\"name\":\"llm\",\"kind\":\"model\",\"groups\":" +
         text(plan.groups) + ",\"hosts_per_group\":" + text(plan.hosts) +
         ",\"limits\":{\"memory_tokens\":" + text(plan.memory_tokens) +
         ",\"max_output_tokens\":100,\"in_flight\":" + text(plan.in_flight) +
         ",\"cold_in_flight\":" + text(plan.cold_in_flight) +
         ",\"max_body_bytes\":65536},\"routes\":[{\"path\":\"/gen\","
         "\"idempotent\":true,\"deadline_ms\":" +
         text(plan.deadline_ms) +
         "}]},{\"name\":\"orders\",\"kind\":\"plain\",\"groups\":" +
         text(plan.order_groups) +
         ",\"limits\":{\"in_flight\":8,\"cold_in_flight\":8},\"routes\":["
         "{\"path\":\"/order\",\"idempotent\":false,\"deadline_ms\":" +
         text(plan.deadline_ms) +
         "}]}],\"teams\":[{\"name\":\"t1\",\"requests_per_second\":100000,"
         "\"in_flight\":100000},{\"name\":\"small\",\"requests_per_second\":1,"
         "\"in_flight\":1}]}";
}

}  // namespace gooseberryturn::fleet

#endif  // GOOSEBERRYTURN_TESTS_FLEET_H_
