#ifndef GOOSEBERRYTURN_DUTY_CALLS_H_
#define GOOSEBERRYTURN_DUTY_CALLS_H_

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/core/time.h"

/// Calls to the platform that one host at a time makes for the whole fleet.
namespace gooseberryturn::duty {

/// \brief What a host does for the whole fleet.
enum class Duty : std::uint8_t {
  kUsage,  ///< Reports the requests of each team.
  kScale,  ///< Orders the number of targets.
};

inline constexpr NameTable<Duty, 2> kDutyNames = {{"usage", "scale"}};

/// \brief The platform's interface for duties, and its limits.
struct PlatformSettings {
  Endpoint address;
  bool reports_usage = false;
  bool scales = false;
  double calls_per_s = 1;  ///< Of all hosts together.
  /// Time that a new holder waits before its first call, so that the duty does
  /// not go from A to B and back to A within it; see DutyLease.
  Duration lease_time = std::chrono::seconds(3);
  /// Usage is reported for windows of this length, numbered from Unix time 0.
  Duration usage_window = std::chrono::seconds(5);
  /// Time from the end of a window until its report is due.
  Duration usage_report_timeout = std::chrono::seconds(10);
};

/// \brief Who makes a call, and the fencing number under which.
struct Holder {
  std::string host;
  std::uint64_t fence = 0;

  MSGPACK_DEFINE(host, fence)
};

/// \brief Requests that targets began to run in one window, by team.
struct UsageReport {
  std::int64_t window = 0;  ///< Number of the window since Unix time 0.
  std::map<std::string, std::uint64_t> counts;
};

/// \brief The number of targets that a service is to have in a data centre.
struct ScaleOrder {
  std::string service;
  std::string data_centre;
  std::size_t targets = 0;
  /// Targets there are, as far as known. Not sent: an order for this number is
  /// left out unless another one was given before.
  std::size_t present = 0;
};

}  // namespace gooseberryturn::duty

#endif  // GOOSEBERRYTURN_DUTY_CALLS_H_
