#include "../core_case2.h"

/// All three machines of the core are replaced as planned, one after the other.
/// See claim.txt.
using namespace review;  // NOLINT

namespace {

/// `roll_term`: the next one is stopped gap_s (1) later.
constexpr int kGapMs = 1000;
constexpr int kCalmMs = 10000;

Verdict Run(Record& record) {
  Machines machines(record);
  if (!StartCore(machines, record)) {
    return Verdict::kCouldNotRun;
  }
  for (const int successor : {4, 5, 6}) {
    machines.StartControl(successor, {1, 2, 3}, false);
    record.Line("platform: machine %d starts as a successor, empty disk",
                successor);
  }
  SleepMs(kCatchUpMs);
  for (const int successor : {4, 5, 6}) {
    if (!IsReadBack(machines, {successor}, record, true)) {
      record.Line("a successor didn't serve after its time to catch up");
      return Verdict::kCouldNotRun;
    }
  }
  for (const int number : {1, 2, 3}) {
    StopForGood(machines, record, number);
    SleepMs(IsTroubled() ? kGapMs : kCalmMs);
  }
  return JudgeRead(machines, record, {4, 5, 6});
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  return static_cast<int>(Run(record));
}
