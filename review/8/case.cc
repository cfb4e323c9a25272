#include "../core_case2.h"

/// A machine that is to join the core freezes for four seconds; long after, one
/// machine is replaced by it and another one is lost. See claim.txt.
using namespace review;  // NOLINT

namespace {

/// The longest freeze of a machine of the core in the site file.
constexpr int kFreezeMs = 4000;
/// Far beyond bounds.catch_up_s and bounds.stable_window_ms.
constexpr int kCalmMs = 10000;

Verdict Run(Record& record) {
  Machines machines(record);
  if (!StartCore(machines, record) || !StartSuccessor(machines, record)) {
    return Verdict::kCouldNotRun;
  }
  if (IsTroubled()) {
    machines.Named("control-4").Signal(SIGSTOP);
    record.Line("platform: machine 4 freezes");
  }
  SleepMs(kFreezeMs);
  if (IsTroubled()) {
    machines.Named("control-4").Signal(SIGCONT);
    record.Line("platform: machine 4 wakes");
  }
  SleepMs(kCalmMs);
  if (!IsReadBack(machines, {4}, record, true)) {
    record.Line("machine 4 doesn't serve");
    return Verdict::kCouldNotRun;
  }
  StopForGood(machines, record, 3);
  SleepMs(kCalmMs);
  LoseForGood(machines, record, 2, 5, {1, 2, 4}, 1000);
  return JudgeRead(machines, record, {1, 4, 5});
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  return static_cast<int>(Run(record));
}
