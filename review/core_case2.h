#ifndef GOOSEBERRYTURN_REVIEW_CORE_CASE2_H_
#define GOOSEBERRYTURN_REVIEW_CORE_CASE2_H_

#include <string>
#include <vector>

#include "standins2.h"

/// What the cases share in which machines of the core are replaced: an
/// acknowledged configuration, a planned replacement, and reads at the end.
namespace review {

/// bounds.grace_s.
constexpr Ms kGrace(8000);
/// bounds.catch_up_s, and half of it more.
constexpr int kCatchUpMs = 6000;
/// The sum of bounds.recovery_s and bounds.catch_up_s, doubled.
constexpr Ms kReadTime(32000);
/// What the operator waits for an answer.
constexpr int kCallMs = 1000;
constexpr char kConfiguration[] =
    R"({"version":7,"routes":[{"name":"r1","host":"desk.example",)"
    R"("path_prefix":"/status/","kind":"safe","timeout_ms":800,"slo_ms":300,)"
    R"("priority":2,"service":"reorder","attempts":2,"public":true}],)"
    R"("services":[{"name":"reorder","health_path":"/healthz",)"
    R"("max_conns":130,"protocol":"h1","tls":false}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// The operator reads the configuration back at any of `numbers`.
inline bool IsReadBack(const Machines& machines,
                       const std::vector<int>& numbers, Record& record,
                       bool is_logged) {
  for (const int number : numbers) {
    const Answer answer =
        Call(machines.Control(number), "GET", "/api/config", "", kCallMs);
    if (is_logged) {
      record.Line("operator: GET /api/config at machine %d: %d, %zu bytes",
                  number, answer.status, answer.body.size());
    }
    if (answer.status == 200 && answer.is_complete &&
        answer.body == kConfiguration) {
      return true;
    }
  }
  return false;
}

/// Starts machines 1, 2 and 3 and has version 7 acknowledged.
/// \returns False if that couldn't be done.
inline bool StartCore(Machines& machines, Record& record) {
  for (const int number : {1, 2, 3}) {
    machines.StartControl(number, {1, 2, 3}, true);
  }
  record.Line("platform: machines 1, 2 and 3 with a disk, tolerate.machines=1");
  const bool is_acknowledged = Eventually(
      [&machines] {
        return Call(machines.Control(1), "PUT", "/api/config", kConfiguration,
                    kCallMs)
                   .status == 200;
      },
      Ms(15000));
  if (!is_acknowledged || !IsReadBack(machines, {1}, record, true)) {
    record.Line("the first configuration was not acknowledged");
    return false;
  }
  record.Line("operator: PUT /api/config version 7 acknowledged with 200");
  return true;
}

/// Machine 4, which is to take the place of another one, starts and has more
/// than its time to catch up.
/// \returns False if that couldn't be done.
inline bool StartSuccessor(Machines& machines, Record& record) {
  machines.StartControl(4, {1, 2, 3}, false);
  record.Line("platform: machine 4 starts as a successor, empty disk");
  SleepMs(kCatchUpMs);
  if (!IsReadBack(machines, {4}, record, true)) {
    record.Line("machine 4 didn't serve after its time to catch up");
    return false;
  }
  return true;
}

/// Machine `number` leaves as planned, with its disk.
inline void StopForGood(Machines& machines, Record& record, int number) {
  machines.Named("control-" + std::to_string(number)).Stop(kGrace);
  machines.RemoveDisk(number);
  record.Line("platform: machine %d got SIGTERM, has exited, is gone for good",
              number);
}

/// Machine `lost` is gone for good; its successor starts `pause_ms` later.
inline void LoseForGood(Machines& machines, Record& record, int lost,
                        int successor, const std::vector<int>& seeds,
                        int pause_ms) {
  machines.Named("control-" + std::to_string(lost)).Kill();
  machines.RemoveDisk(lost);
  record.Line("platform: machine %d is lost for good, without SIGTERM", lost);
  SleepMs(pause_ms);
  machines.StartControl(successor, seeds, false);
  record.Line("platform: machine %d starts, the successor of %d, empty disk",
              successor, lost);
}

/// Reads version 7 back at any of the machines that are left.
inline Verdict JudgeRead(const Machines& machines, Record& record,
                         const std::vector<int>& left) {
  const bool is_read = Eventually(
      [&] { return IsReadBack(machines, left, record, false); }, kReadTime);
  (void)IsReadBack(machines, left, record, true);
  if (!is_read) {
    record.Line(
        "BROKEN: version 7 was acknowledged; for %d s no read of it was "
        "answered, with %zu machines of the core up",
        static_cast<int>(kReadTime.count() / 1000), left.size());
    return Verdict::kBroken;
  }
  record.Line("held: version 7 was read back");
  return Verdict::kHeld;
}

}  // namespace review

#endif  // GOOSEBERRYTURN_REVIEW_CORE_CASE2_H_
