#include "../core_case2.h"

/// A machine of the core is replaced as planned, then its successor is lost.
/// See claim.txt.
using namespace review;  // NOLINT

namespace {

Verdict Run(Record& record) {
  Machines machines(record);
  if (!StartCore(machines, record) || !StartSuccessor(machines, record)) {
    return Verdict::kCouldNotRun;
  }
  StopForGood(machines, record, 3);
  SleepMs(1500);
  if (!IsTroubled()) {
    return JudgeRead(machines, record, {1, 2, 4});
  }
  LoseForGood(machines, record, 4, 5, {1, 2, 4}, 2000);
  // What is read before the dead host becomes a voter shows nothing.
  SleepMs(5000);
  return JudgeRead(machines, record, {1, 2, 5});
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  return static_cast<int>(Run(record));
}
