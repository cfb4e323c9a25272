#ifndef GOOSEBERRYTURN_TESTS_PROCESS_H_
#define GOOSEBERRYTURN_TESTS_PROCESS_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace gooseberryturn::fleet {

inline constexpr std::chrono::seconds kTestTimeout(60);

/// Polls `condition` until it holds or `limit` has passed. The default limit
/// allows for a busy machine.
/// \returns Whether the condition held.
inline bool Eventually(const std::function<bool()>& condition,
                       std::chrono::milliseconds limit = kTestTimeout) {
  const std::chrono::steady_clock::time_point end =
      std::chrono::steady_clock::now() + limit;
  while (std::chrono::steady_clock::now() < end) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return false;
}

/// A child process that the destructor kills.
class Process {
 public:
  Process(std::vector<std::string> arguments, const std::string& log_file)
      : arguments(std::move(arguments)), log_file(log_file) {
    this->Start();
  }
  ~Process() { this->Kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Makes the disk full for the running process, or gives it room again: its
  /// files can't grow beyond 0 bytes. The program must have been started with
  /// SIGXFSZ ignored. The log file takes no lines meanwhile.
  void SetDiskFull(bool is_full) const {
    rlimit limit = {};
    prlimit(this->pid, RLIMIT_FSIZE, nullptr, &limit);
    limit.rlim_cur = is_full ? 0 : limit.rlim_max;
    prlimit(this->pid, RLIMIT_FSIZE, &limit, nullptr);
  }
  /// Starts the program; may be called again after it has exited.
  void Start() {
    std::vector<char*> argv;
    for (std::string& argument : this->arguments) {
      argv.push_back(argument.data());
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
  /// Does nothing once the process has exited.
  void Signal(int number) const {
    if (this->pid > 0) {
      kill(this->pid, number);
    }
  }
  void Kill() {
    if (this->pid > 0) {
      kill(this->pid, SIGKILL);
      this->WaitExit();
    }
  }
  /// Waits until the process has exited.
  /// \returns Its exit code, or 128 + signal.
  int WaitExit() {
    int status = 0;
    waitpid(this->pid, &status, 0);
    this->pid = -1;
    return ExitCode(status);
  }
  /// Returns at once.
  /// \returns Its exit code, or 128 + signal, when the process has just exited.
  std::optional<int> PollExit() {
    int status = 0;
    if (this->pid <= 0 || waitpid(this->pid, &status, WNOHANG) != this->pid) {
      return std::nullopt;
    }
    this->pid = -1;
    return ExitCode(status);
  }
  /// Waits until the process has exited, for no longer than `limit`.
  /// \returns Its exit code, 128 + signal, or -1 if it still runs.
  int WaitExitFor(std::chrono::milliseconds limit) {
    siginfo_t info = {};
    const bool has_exited = Eventually(
        [this, &info] {
          return waitid(P_PID, static_cast<id_t>(this->pid), &info,
                        WEXITED | WNOHANG | WNOWAIT) == 0 &&
                 info.si_pid == this->pid;
        },
        limit);
    return has_exited ? this->WaitExit() : -1;
  }
  /// True when the process is no longer running.
  bool HasExited() {
    (void)this->PollExit();
    return this->pid < 0;
  }
  /// The most memory that the process has used since its start, in KiB.
  [[nodiscard]] long PeakMemoryKb() const {
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    const std::string key = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
      if (line.compare(0, key.size(), key) == 0) {
        return std::stol(line.substr(key.size()));
      }
    }
    return -1;
  }
  [[nodiscard]] std::string Log() const {
    std::ifstream input(this->log_file);
    std::ostringstream text;
    text << input.rdbuf();
    return text.str();
  }

 private:
  [[nodiscard]] static int ExitCode(int status) {
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }

  std::vector<std::string> arguments;
  std::string log_file;
  pid_t pid = -1;
};

}  // namespace gooseberryturn::fleet

#endif  // GOOSEBERRYTURN_TESTS_PROCESS_H_
