#ifndef GOOSEBERRYTURN_REVIEW_FLEET_H_
#define GOOSEBERRYTURN_REVIEW_FLEET_H_

// Starts the project's programs with the commands of the deploy file, on
// loopback addresses, and keeps a record of what is seen.

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>

#include "http.h"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<Ms>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void Sleep(int ms) { std::this_thread::sleep_for(Ms(ms)); }

/// Lines with the time since the start, in record.txt of the case.
class Record {
 public:
  explicit Record(const std::string& path)
      : file(path), began_at(Steady::now()) {}
  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%9.3f s  ", this->Seconds());
    this->file << time << text << std::endl;
  }
  double Seconds() const {
    return std::chrono::duration<double>(Steady::now() - this->began_at)
        .count();
  }

 private:
  std::ofstream file;
  Steady::time_point began_at;
  std::mutex mutex;
};

/// A child process with a settings file of the platform.
class Process {
 public:
  Process(std::string command, std::string settings, std::string log)
      : command(std::move(command)),
        settings(std::move(settings)),
        log(std::move(log)) {
    this->Start();
  }
  ~Process() { this->End(SIGKILL); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start() {
    this->status = 0;
    this->has_exited = false;
    const std::string variable = "GOOSEBERRYTURN_BOOT=" + this->settings;
    this->pid = fork();
    if (this->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out =
          open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(out, 1);
      dup2(out, 2);
      char* arguments[] = {const_cast<char*>(this->command.c_str()), nullptr};
      char* variables[] = {const_cast<char*>(variable.c_str()),
                           const_cast<char*>("PATH=/usr/bin:/bin"), nullptr};
      execve(this->command.c_str(), arguments, variables);
      _exit(127);
    }
  }
  void Signal(int number) const { kill(this->pid, number); }
  /// True once the process has ended; `End` was not called.
  bool HasEnded() {
    if (!this->has_exited &&
        waitpid(this->pid, &this->status, WNOHANG) == this->pid) {
      this->has_exited = true;
    }
    return this->has_exited;
  }
  std::string HowEnded() const {
    return WIFSIGNALED(this->status)
               ? "signal " + std::to_string(WTERMSIG(this->status))
               : "exit code " + std::to_string(WEXITSTATUS(this->status));
  }
  void End(int signal_number) {
    if (!this->HasEnded()) {
      kill(this->pid, SIGCONT);
      kill(this->pid, signal_number);
      waitpid(this->pid, &this->status, 0);
      this->has_exited = true;
    }
  }
  /// Size of the log, and whether `text` stands in it after `from`.
  std::size_t LogSize() const {
    std::error_code error;
    const std::uintmax_t size = std::filesystem::file_size(this->log, error);
    return error ? 0 : static_cast<std::size_t>(size);
  }
  std::string Log() const {
    std::ifstream input(this->log);
    return {std::istreambuf_iterator<char>(input),
            std::istreambuf_iterator<char>()};
  }

 private:
  std::string command;
  std::string settings;
  std::string log;
  pid_t pid = -1;
  int status = 0;
  bool has_exited = false;
};

/// Machines of a small deployment: control hosts 0 to 2, each in its own zone,
/// and entries. All addresses are 127.A.B.*, drawn at random.
class Fleet {
 public:
  static constexpr int kControls = 3;
  static constexpr int kControlPort = 8229;
  static constexpr int kFrontPort = 8227;
  static constexpr int kReadyPort = 8220;

  explicit Fleet(int entries) {
    char name[] = "/tmp/gooseberryturn-review-XXXXXX";
    this->folder = mkdtemp(name);
    std::random_device random;
    this->net = "127." + std::to_string(2 + random() % 250) + "." +
                std::to_string(random() % 250) + ".";
    for (int host = 0; host < kControls; ++host) {
      this->Write(
          "c" + std::to_string(host), this->Ip(1 + host), host,
          "serves=control\nlisten.control=" + this->Control(host).Text() +
              "\ndata_dir=" + this->folder + "/data" + std::to_string(host) +
              "\ncounts_as_loss=true\nlimits.disk_mb=64\n");
      this->StartControl(host);
    }
    for (int entry = 0; entry < entries; ++entry) {
      const std::string host = "e" + std::to_string(entry);
      this->Write(host, this->Ip(11 + entry), entry % kControls,
                  "serves=front\nlisten.front=" + this->Front(entry).Text() +
                      "\nlisten.ready=" + this->Ip(11 + entry) + ":" +
                      std::to_string(kReadyPort) + "\n");
      this->entries.push_back(
          std::make_unique<Process>("target/gooseberryturn-direct-entry",
                                    this->folder + "/" + host + ".conf",
                                    this->folder + "/" + host + ".log"));
    }
  }
  ~Fleet() { this->Stop(); }

  /// Ends all processes and removes their files.
  void Stop() {
    this->controls.clear();
    this->entries.clear();
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(this->folder, ignored);
    } else {
      std::fprintf(stderr, "kept %s\n", this->folder.c_str());
    }
  }

  std::string Ip(int number) const { return net + std::to_string(number); }
  Address Control(int host) const { return {Ip(1 + host), kControlPort}; }
  Address Front(int entry) const { return {Ip(11 + entry), kFrontPort}; }
  Address Ready(int entry) const { return {Ip(11 + entry), kReadyPort}; }
  std::vector<Address> Controls() const {
    return {Control(0), Control(1), Control(2)};
  }
  static std::string Zone(int zone) {
    return std::string("vn-south-") + static_cast<char>('a' + zone);
  }

  void StartControl(int host) {
    const std::string name = "c" + std::to_string(host);
    this->controls.resize(kControls);
    this->controls[static_cast<std::size_t>(host)] =
        std::make_unique<Process>("target/gooseberryturn-direct-control",
                                  this->folder + "/" + name + ".conf",
                                  this->folder + "/" + name + ".log");
  }
  /// The control host whose metrics say that it leads, or -1.
  int Leader() const {
    for (int host = 0; host < kControls; ++host) {
      const Message metrics =
          Call(Control(host), "GET", "/metrics", {}, "", Ms(500));
      if (metrics.body.find("is_leader 1") != std::string::npos) {
        return host;
      }
    }
    return -1;
  }
  /// Sends an order of the operator to one host after the other, as the pages
  /// say: on to the next after a failure, a 5xx or a second without an answer.
  /// Its connections to the hosts are kept, and closed after a failure.
  /// \returns Its final status, 0 if none came in `limit_ms`.
  int Order(Record& record, const std::string& method, const std::string& path,
            const std::string& body, int first, int limit_ms = 4000) {
    const Steady::time_point end = Steady::now() + Ms(limit_ms);
    for (int attempt = 0; Steady::now() < end; ++attempt) {
      const int host = (first + attempt) % kControls;
      const int status = this->CallKept(host, method, path, body);
      record.Line("operator: " + method + " " + path + " to control " +
                  std::to_string(host) + ": " +
                  (status == 0 ? "no answer" : std::to_string(status)));
      if (status >= 200 && status < 500 && status != 408 && status != 429) {
        return status;
      }
      Sleep(100 * (attempt + 1));
    }
    return 0;
  }
  bool IsEntryReady(int entry) const {
    return Call(Ready(entry), "GET", "/api/readyz", {}, "", Ms(500)).Status() ==
           200;
  }

  std::vector<std::unique_ptr<Process>> controls;
  std::vector<std::unique_ptr<Process>> entries;
  std::string folder;

 private:
  /// \returns 0 without an answer within a second.
  int CallKept(int host, const std::string& method, const std::string& path,
               const std::string& body) {
    int& fd = this->operator_connections[host];
    if (fd < 0) {
      fd = Connect(Control(host), Ms(1000));
    }
    Message answer;
    const bool is_answered =
        fd >= 0 &&
        SendAll(fd, WriteRequest(method, path,
                                 {{"Host", Control(host).Text()},
                                  {"Content-Type", "application/json"}},
                                 body)) &&
        Reader(fd).Read(answer);
    if (!is_answered && fd >= 0) {
      close(fd);
      fd = -1;
    }
    return is_answered ? answer.Status() : 0;
  }

  /// Settings as DEPLOY.md shows them, with the bounds of tdb-ops.
  void Write(const std::string& host, const std::string& ip, int zone,
             const std::string& lines) const {
    std::string seeds;
    for (const Address& control : Controls()) {
      seeds += (seeds.empty() ? "" : ",") + control.Text();
    }
    std::ofstream(this->folder + "/" + host + ".conf")
        << "node_name=" << host
        << "\nrole=my-front\nmachine_class=front\nip=" << ip
        << "\nzone=" << Zone(zone) << "\nregion=vn-south\n"
        << "zones.vn-south-a=vn-south\nzones.vn-south-b=vn-south\n"
        << "zones.vn-south-c=vn-south\nport_range=7340,7355\nseeds=" << seeds
        << "\nbootstrap=true\nlimits.memory_mb=260\ndiscovery=registry\n"
        << "entry=vip\nheartbeat_ms=1200\ntolerate.machines=1\n"
        << "tolerate.zones=1\ntolerate.regions=0\nbounds.seed_lag_s=3\n"
        << "bounds.reuse_after_s=2\nbounds.stable_window_ms=3000\n"
        << "bounds.ack_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n"
        << "bounds.grace_s=8\nbounds.loss_slack_ms=200\n"
        << "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n"
        << "bounds.max_skew_ms=5000\nbounds.retry_budget_ratio=0.2\n"
        << "bounds.budget_window_s=10\nbounds.retry_budget_burst=164\n"
        << "bounds.cold_factor=1.5\nbounds.cold_burst=5\n"
        << "bounds.evacuate_ms=5000\nbounds.recovery_s=12\n"
        << "bounds.pass_ms=120\nbounds.stall_ms=5000\n"
        << "bounds.require_fence=true\nbounds.ceiling_window_s=5\n"
        << "bounds.ceiling_factor=1.1\nconfig_mode=highest\n"
        << lines;
  }

  std::string net;
  int operator_connections[kControls] = {-1, -1, -1};
};

/// Ends the processes of the fleet and this one, with its threads.
[[noreturn]] inline void Finish(Fleet& fleet, Record& record, int result) {
  record.Line("result " + std::to_string(result));
  fleet.Stop();
  std::_Exit(result);
}

inline bool Eventually(const std::function<bool()>& condition, int limit_ms) {
  const Steady::time_point end = Steady::now() + Ms(limit_ms);
  while (Steady::now() < end) {
    if (condition()) {
      return true;
    }
    Sleep(20);
  }
  return false;
}

/// A request that a server began to run.
struct Run {
  std::string attempt;
  double at_s = 0;
};

/// A server of a service without an engine. It announces itself as the pages
/// say and answers each request whole.
class PlainServer {
 public:
  PlainServer(Record& record, std::string id, Address address,
              std::vector<Address> controls, std::string service,
              std::string zone)
      : record(record),
        id(std::move(id)),
        address(std::move(address)),
        controls(std::move(controls)),
        service(std::move(service)),
        zone(std::move(zone)),
        born(UnixMs()),
        server(this->address,
               [this](int fd, Reader& reader) { this->Serve(fd, reader); }) {
    std::thread([this] { this->Beat(); }).detach();
  }

  std::vector<Run> Runs() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->runs;
  }
  std::atomic<bool> is_announced = false;
  std::atomic<int> work_ms = 0;  ///< Time that a request takes.
  /// Returns the bytes that this server, being faulty, sends instead of the
  /// answer to an attempt; empty for a sound answer. Set before requests come.
  std::function<std::string(const std::string& attempt)> spoil;
  const std::string& zone_name() const { return this->zone; }

 private:
  void Beat() {
    std::uint64_t sequence = 0;
    std::size_t next = std::hash<std::string>()(this->id);
    for (;;) {
      sequence += 1;
      const std::string body =
          R"({"service":")" + this->service + R"(","address":")" +
          this->address.Text() + R"(","zone":")" + this->zone +
          R"(","version":"v1","slots":34,"state":"ready","cold_left_ms":0,)"
          R"("born":)" +
          std::to_string(this->born) + R"(,"seq":)" + std::to_string(sequence) +
          "}";
      const int status =
          Call(this->controls[next % this->controls.size()], "PUT",
               "/api/instances/" + this->id,
               {{"Content-Type", "application/json"}}, body, Ms(1000))
              .Status();
      if (status >= 200 && status < 300) {
        this->is_announced = true;
        Sleep(1200);
      } else {
        next += 1;
        Sleep(50);
      }
    }
  }
  void Serve(int fd, Reader& reader) {
    Message request;
    while (reader.Read(request)) {
      const std::string attempt = request.Get("X-Gooseberryturn-Attempt-Id");
      std::string head = "HTTP/1.1 200 OK\r\n";
      if (request.Path() == "/healthz") {
        head += "X-Gooseberryturn-Instance-Id: " + this->id + "\r\n";
      } else if (request.Get("X-Gooseberryturn-Target-Instance") != this->id) {
        head =
            "HTTP/1.1 421 Misdirected Request\r\n"
            "X-Gooseberryturn-Not-Executed: 1\r\n";
      } else {
        this->record.Line("server " + this->id + " in " + this->zone +
                          " runs " + attempt);
        {
          const std::lock_guard<std::mutex> guard(this->mutex);
          this->runs.push_back({attempt, this->record.Seconds()});
        }
        Sleep(this->work_ms);
        const std::string spoilt = this->spoil ? this->spoil(attempt) : "";
        if (!spoilt.empty()) {
          this->record.Line("server " + this->id + " spoils its answer to " +
                            attempt);
          SendAll(fd, spoilt);
          return;
        }
      }
      head += "X-Gooseberryturn-Attempt-Id: " + attempt +
              "\r\nX-Gooseberryturn-Server-Seal: " + this->id +
              "\r\nContent-Length: 2\r\n\r\nok";
      if (!SendAll(fd, head)) {
        return;
      }
    }
  }

  Record& record;
  std::string id;
  Address address;
  std::vector<Address> controls;
  std::string service;
  std::string zone;
  std::int64_t born;
  std::mutex mutex;
  std::vector<Run> runs;
  Server server;
};

}  // namespace review

#endif  // GOOSEBERRYTURN_REVIEW_FLEET_H_
