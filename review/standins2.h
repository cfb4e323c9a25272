#ifndef GOOSEBERRYTURN_REVIEW_STANDINS2_H_
#define GOOSEBERRYTURN_REVIEW_STANDINS2_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// Stand-ins for the platform, the operator and clients, shared by the scripts
/// of the second review. Only sockets, files and processes of the C library.
namespace review {

using SteadyClock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline void SleepMs(std::int64_t ms) { std::this_thread::sleep_for(Ms(ms)); }

/// Exit codes of a script.
enum class Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// Lines with the time since the start, in a file and on standard output.
class Record {
 public:
  explicit Record(const std::string& path)
      : file(std::fopen(path.c_str(), "w")), started(SteadyClock::now()) {}
  ~Record() {
    if (this->file != nullptr) {
      std::fclose(this->file);
    }
  }
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> guard(this->mutex);
    const double seconds =
        std::chrono::duration<double>(SteadyClock::now() - this->started)
            .count();
    for (std::FILE* out : {this->file, stdout}) {
      if (out != nullptr) {
        std::fprintf(out, "%8.3f %s\n", seconds, text);
        std::fflush(out);
      }
    }
  }

 private:
  std::FILE* file;
  SteadyClock::time_point started;
  std::mutex mutex;
};

/// A program of the project, killed by the destructor.
class Process {
 public:
  Process(std::vector<std::string> arguments, std::string settings_file,
          std::string log_file)
      : arguments(std::move(arguments)),
        settings_file(std::move(settings_file)),
        log_file(std::move(log_file)) {
    this->Start();
  }
  ~Process() { this->Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start() {
    this->pid = fork();
    if (this->pid != 0) {
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setenv("GOOSEBERRYTURN_BOOT", this->settings_file.c_str(), 1);
    std::FILE* log = std::fopen(this->log_file.c_str(), "a");
    if (log != nullptr) {
      dup2(fileno(log), 1);
      dup2(fileno(log), 2);
    }
    std::vector<char*> argv;
    for (std::string& argument : this->arguments) {
      argv.push_back(argument.data());
    }
    argv.push_back(nullptr);
    execv(argv[0], argv.data());
    _exit(127);
  }
  void Signal(int number) const {
    if (this->pid > 0) {
      kill(this->pid, number);
    }
  }
  void Kill() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      waitpid(this->pid, nullptr, 0);
      this->pid = -1;
    }
  }
  /// SIGTERM, and SIGKILL after `grace`, as the platform stops a process.
  void Stop(Ms grace) {
    this->Signal(SIGTERM);
    const SteadyClock::time_point end = SteadyClock::now() + grace;
    while (SteadyClock::now() < end && !this->HasExited()) {
      SleepMs(10);
    }
    this->Kill();
  }
  bool HasExited() {
    if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
      this->pid = -1;
    }
    return this->pid < 0;
  }

 private:
  std::vector<std::string> arguments;
  std::string settings_file;
  std::string log_file;
  pid_t pid = -1;
};

struct Address {
  std::string ip;
  int port = 0;
};

inline std::string ToString(const Address& address) {
  return address.ip + ":" + std::to_string(address.port);
}

inline sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in result = {};
  result.sin_family = AF_INET;
  result.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
  return result;
}

/// \returns A listening socket, or -1.
inline int Listen(const Address& address) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in bound = ToSocketAddress(address);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&bound),
           sizeof(bound)) != 0 ||
      listen(listener, 128) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

/// \returns A connected socket with a time limit for reads and writes, or -1.
inline int Connect(const Address& address, int timeout_ms) {
  const int connected = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit = {};
  limit.tv_sec = timeout_ms / 1000;
  limit.tv_usec = (timeout_ms % 1000) * 1000;
  setsockopt(connected, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(connected, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const int on = 1;
  setsockopt(connected, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in peer = ToSocketAddress(address);
  if (connect(connected, reinterpret_cast<const sockaddr*>(&peer),
              sizeof(peer)) != 0) {
    close(connected);
    return -1;
  }
  return connected;
}

inline bool SendAll(int to, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

/// An answer read to its end; status 0 when none came.
struct Answer {
  int status = 0;
  bool is_complete = false;
  std::string head;
  std::string body;
};

/// Reads one answer that has a length, is chunked, or ends with its connection.
inline Answer ReadAnswer(int from) {
  Answer answer;
  std::string bytes;
  char buffer[16384];
  std::size_t head_end = std::string::npos;
  for (;;) {
    if (head_end == std::string::npos) {
      head_end = bytes.find("\r\n\r\n");
      if (head_end != std::string::npos) {
        answer.head = bytes.substr(0, head_end);
        answer.status = std::atoi(answer.head.c_str() + 9);
      }
    }
    if (head_end != std::string::npos) {
      const std::string rest = bytes.substr(head_end + 4);
      const std::size_t length = answer.head.find("Content-Length: ");
      if (length != std::string::npos) {
        const std::size_t size = static_cast<std::size_t>(
            std::atoll(answer.head.c_str() + length + 16));
        if (rest.size() >= size) {
          answer.body = rest.substr(0, size);
          answer.is_complete = true;
          return answer;
        }
      } else if (answer.head.find("chunked") != std::string::npos) {
        const bool is_last = rest.size() >= 5 &&
                             rest.compare(rest.size() - 5, 5, "0\r\n\r\n") == 0;
        answer.body = rest;
        if (is_last) {
          answer.is_complete = true;
          return answer;
        }
      }
    }
    const ssize_t size = recv(from, buffer, sizeof(buffer), 0);
    if (size <= 0) {
      return answer;
    }
    bytes.append(buffer, static_cast<std::size_t>(size));
  }
}

/// One call over a connection of its own.
inline Answer Call(const Address& address, const std::string& method,
                   const std::string& path, const std::string& body,
                   int timeout_ms,
                   const std::map<std::string, std::string>& headers = {}) {
  Answer answer;
  const int connected = Connect(address, timeout_ms);
  if (connected < 0) {
    return answer;
  }
  std::string request = method + " " + path + " HTTP/1.1\r\n";
  if (headers.count("Host") == 0) {
    request += "Host: " + ToString(address) + "\r\n";
  }
  for (const auto& header : headers) {
    request += header.first + ": " + header.second + "\r\n";
  }
  if (!body.empty()) {
    request += "Content-Type: application/json\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n";
  }
  request += "\r\n" + body;
  if (SendAll(connected, request)) {
    answer = ReadAnswer(connected);
  }
  close(connected);
  return answer;
}

/// The machines of a small deployment, each on a loopback address of its own.
/// Machine `n` has the address 127.A.B.n.
class Machines {
 public:
  explicit Machines(Record& record) : record(record) {
    char name[] = "/tmp/review-XXXXXX";
    this->folder = mkdtemp(name);
    const int number = static_cast<int>(getpid());
    this->net = "127." + std::to_string(64 + number % 128) + "." +
                std::to_string(1 + (number / 128) % 250) + ".";
  }
  ~Machines() {
    this->processes.clear();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
      std::filesystem::remove_all(this->folder, ignored);
    } else {
      this->record.Line("logs in %s", this->folder.c_str());
    }
  }
  Machines(const Machines&) = delete;
  Machines& operator=(const Machines&) = delete;

  [[nodiscard]] Address At(int machine, int port) const {
    return {this->net + std::to_string(machine), port};
  }
  [[nodiscard]] Address Control(int machine) const {
    return this->At(machine, kControlPort);
  }
  [[nodiscard]] Address Front(int machine) const {
    return this->At(machine, kFrontPort);
  }
  [[nodiscard]] Address Ready(int machine) const {
    return this->At(machine, kReadyPort);
  }

  /// Starts the role `control` of a machine with a disk.
  void StartControl(int machine, const std::vector<int>& seeds,
                    bool is_bootstrap) {
    const std::string name = "control-" + std::to_string(machine);
    const std::string disk = this->folder + "/disk-" + std::to_string(machine);
    std::filesystem::create_directories(disk);
    this->Start(
        name, machine, "target/gooseberryturn-direct-control",
        "serves=control\nlisten.control=" + ToString(this->Control(machine)) +
            "\ndata_dir=" + disk + "\nlimits.disk_mb=64\n",
        seeds, is_bootstrap);
  }
  /// Starts the role `entry` of a machine.
  void StartEntry(int machine, const std::vector<int>& seeds) {
    this->Start("entry-" + std::to_string(machine), machine,
                "target/gooseberryturn-direct-entry",
                "serves=front\nlisten.front=" + ToString(this->Front(machine)) +
                    "\nlisten.ready=" + ToString(this->Ready(machine)) + "\n",
                seeds, true);
  }
  Process& Named(const std::string& name) { return *this->processes.at(name); }
  /// The machine and its disk are gone for good.
  void RemoveDisk(int machine) const {
    std::error_code ignored;
    std::filesystem::remove_all(
        this->folder + "/disk-" + std::to_string(machine), ignored);
  }

  static constexpr int kControlPort = 8229;
  static constexpr int kFrontPort = 8227;
  static constexpr int kReadyPort = 8220;

 private:
  void Start(const std::string& name, int machine, const std::string& program,
             const std::string& lines, const std::vector<int>& seeds,
             bool is_bootstrap) {
    std::string seed_list;
    for (const int seed : seeds) {
      seed_list +=
          (seed_list.empty() ? "" : ",") + ToString(this->Control(seed));
    }
    const std::string zone(1, static_cast<char>('a' + (machine - 1) % 3));
    const std::string file = this->folder + "/" + name + ".conf";
    std::ofstream(file)
        << "node_name=front-" << machine << "\nrole=" << name
        << "\nmachine_class=front\nip=" << this->At(machine, 0).ip
        << "\nzone=vn-south-" << zone << "\nregion=vn-south\n"
        << "zones.vn-south-a=vn-south\nzones.vn-south-b=vn-south\n"
        << "zones.vn-south-c=vn-south\nport_range=7340,7355\n"
        << "seeds=" << seed_list
        << "\nbootstrap=" << (is_bootstrap ? "true" : "false")
        << "\ncounts_as_loss=true\nlimits.cpu_share=0.45\nlimits.cores=1\n"
        << "limits.memory_mb=260\nlimits.max_fds=4100\n"
        << "discovery=registry\nentry=vip\nheartbeat_ms=1200\n"
        << "contracts=base,drain,config,cost,retry,recover,engine,stream,"
        << "tenants,places,pressure,gangs\n"
        << "tolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\n"
        << "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\n"
        << "bounds.stable_window_ms=3000\nbounds.ack_ms=4000\n"
        << "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
        << "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
        << "bounds.rollback_slack_ms=250\nbounds.max_skew_ms=5000\n"
        << "bounds.strict_revoke=false\nbounds.revoke_ms=5000\n"
        << "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
        << "bounds.retry_budget_burst=164\nbounds.cold_factor=1.5\n"
        << "bounds.cold_burst=5\nbounds.evacuate_ms=5000\n"
        << "bounds.recovery_s=12\nbounds.pass_ms=120\nbounds.stall_ms=5000\n"
        << "bounds.require_fence=true\nbounds.ceiling_window_s=5\n"
        << "bounds.ceiling_factor=1.1\nconfig_mode=highest\n"
        << lines;
    this->processes[name] =
        std::make_unique<Process>(std::vector<std::string>{program}, file,
                                  this->folder + "/" + name + ".log");
  }

  Record& record;
  std::string folder;
  std::string net;
  std::map<std::string, std::unique_ptr<Process>> processes;
};

inline bool IsTroubled() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// Polls `condition` until it holds or `limit` has passed.
inline bool Eventually(const std::function<bool()>& condition, Ms limit) {
  const SteadyClock::time_point end = SteadyClock::now() + limit;
  while (SteadyClock::now() < end) {
    if (condition()) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

}  // namespace review

#endif  // GOOSEBERRYTURN_REVIEW_STANDINS2_H_
