#define BOOST_TEST_MODULE stop
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <string>

#include "gooseberryturn/app/program.h"
#include "process.h"

/// The end of a process after a planned stop.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::fleet;  // NOLINT

namespace {

/// Waits for a child for a wide limit and kills it then.
/// \returns The exit code, or -1 if the child had to be killed.
int ExitCodeOf(pid_t child) {
  int status = 0;
  const bool has_exited = Eventually(
      [child, &status] { return waitpid(child, &status, WNOHANG) == child; },
      std::chrono::seconds(10));
  if (!has_exited) {
    kill(child, SIGKILL);
    waitpid(child, &status, 0);
    return -1;
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

/// Runs `end` in a child that has none of the threads of this process: a
/// library that waits for its threads at exit waits for ever there.
int ExitCodeWithoutThreads(void (*end)()) {
  std::cout.flush();
  const pid_t child = fork();
  if (child == 0) {
    end();
    _exit(127);
  }
  return ExitCodeOf(child);
}

}  // namespace

BOOST_AUTO_TEST_CASE(the_end_does_not_wait_for_threads_of_libraries) {
  BOOST_TEST(ExitCodeWithoutThreads([] { app::EndProcess(app::kExitOk); }) ==
             app::kExitOk);
  BOOST_TEST(ExitCodeWithoutThreads([] {
               app::EndProcess(app::kExitFailure);
             }) == app::kExitFailure);
}

BOOST_AUTO_TEST_CASE(the_end_writes_the_pending_log) {
  int ends[2] = {-1, -1};
  BOOST_REQUIRE(pipe(ends) == 0);
  std::cout.flush();
  const pid_t child = fork();
  if (child == 0) {
    dup2(ends[1], STDOUT_FILENO);
    observe::StartJsonLog("program", "host");
    observe::LogEvent(observe::Level::kInfo, "", "stopped");
    app::EndProcess(app::kExitOk);
  }
  close(ends[1]);
  BOOST_TEST(ExitCodeOf(child) == app::kExitOk);
  std::string log;
  char bytes[4096];
  const ssize_t size = read(ends[0], bytes, sizeof(bytes));
  log.append(bytes, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
  close(ends[0]);
  BOOST_TEST(log.find("\"event\":\"stopped\"}\n") != std::string::npos);
}
