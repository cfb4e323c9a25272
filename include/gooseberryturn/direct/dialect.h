#ifndef GOOSEBERRYTURN_DIRECT_DIALECT_H_
#define GOOSEBERRYTURN_DIRECT_DIALECT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/announcement.h"
#include "gooseberryturn/direct/configuration.h"
#include "gooseberryturn/duty/calls.h"

namespace gooseberryturn::direct {

/// \brief Names of the HTTP headers exchanged with callers and targets.
struct HeaderNames {
  std::string attempt;        ///< Id of the caller's attempt; targets echo it.
  std::string deadline;       ///< Milliseconds until the deadline.
  std::string target;         ///< Id of the addressed target.
  std::string team;           ///< Team of the caller; sent to targets only.
  std::string target_marker;  ///< Present on a target's own answers.
  /// Set by a target that did not execute the request.
  std::string not_executed;
  std::string leaving;       ///< Set to kLeavingValue by a target that leaves.
  std::string model;         ///< Requested model.
  std::string tokens;        ///< Prompt tokens and maximum output tokens.
  std::string prompt_parts;  ///< Parts of the prompt, in order.
  std::string priority;      ///< Priority at the engine; 0 goes first.
  std::string length_hint;   ///< Caller's estimate of the output tokens.
  std::string lease_holder;  ///< Host that calls the platform for the fleet.
  std::string fence;         ///< Fencing number of such a call.
};

/// \brief Value of the header `leaving` of a target that leaves.
inline constexpr char kLeavingValue[] = "1";

/// \brief Kind of an order to an engine.
enum class OrderKind : std::uint8_t { kJoin, kOpen, kClose, kLeave, kStage };

inline constexpr NameTable<OrderKind, 5> kOrderKindNames = {
    {"join", "open", "close", "leave", "stage"}};

/// \brief An order to one engine.
struct Order {
  OrderKind kind = OrderKind::kJoin;
  std::string target;  ///< Id of the engine that receives it.
  std::string group;
  std::uint64_t epoch = 0;
  std::string model;
  std::vector<std::string> members;
  /// Fencing number: an engine refuses an order whose fence is lower than one
  /// that it has seen. See GroupPlanner::FenceOf.
  std::uint64_t fence = 0;
};

/// \brief An engine's answer to an order.
enum class OrderOutcome : std::uint8_t {
  kBegun,        ///< Accepted; the engine is carrying it out.
  kDone,         ///< The engine is in the requested state.
  kConflict,     ///< Does not fit the engine's state.
  kStale,        ///< The engine knows a higher fence or epoch.
  kOtherTarget,  ///< Another target is at this address.
  kNoAnswer,     ///< Unknown; it may still be carried out.
};

inline constexpr NameTable<OrderOutcome, 6> kOrderOutcomeNames = {
    {"begun", "done", "conflict", "stale", "other_target", "no_answer"}};

/// \brief An HTTP request with its whole body.
struct HttpRequest {
  std::string method;
  std::string path;
  std::string body;
};

/// \brief Operation requested by a call to the control API.
enum class ControlCallKind : std::uint8_t {
  kUnknown,
  kAnnounce,
  kWithdraw,
  kPutConfiguration,
  kGetConfiguration,
  kEvacuate,
  kReturn,
};

/// \brief A decoded call to the control API.
struct ControlCall {
  ControlCallKind kind = ControlCallKind::kUnknown;
  std::string name;  ///< Id of a target or name of a data centre.
};

/// \brief The message formats of a deployment: header names, and functions that
/// decode or encode one message each and do nothing else.
struct Dialect {
  HeaderNames headers;
  std::string ready_path;  ///< Path of the readiness check.
  std::function<Result<Configuration>(std::string_view)> read_configuration;
  std::function<Result<Announcement>(std::string_view id, std::string_view)>
      read_announcement;
  /// Decodes the answer to `write_report_call`.
  std::function<Result<EngineReport>(std::string_view)> read_report;
  std::function<ControlCall(const HttpRequest&)> read_control_call;
  /// Decodes the header `prompt_parts`: ids of the parts, in order.
  std::function<std::vector<std::string>(std::string_view)> read_prompt_parts;
  /// `next` is the address for the target's further announcements.
  std::function<std::string(const Endpoint& next)> write_announcement_reply;
  std::function<std::string(const std::string& message)> write_error;
  std::function<HttpRequest(const Order&)> write_order;
  std::function<HttpRequest()> write_report_call;
  std::function<HttpRequest(const duty::UsageReport&)> write_usage_report;
  std::function<HttpRequest(const duty::ScaleOrder&)> write_scale_order;
};

/// \brief Settings of an entry or control host that reaches targets directly.
struct HostSettings {
  std::string host;
  std::string data_centre;
  std::string address;
  std::optional<Endpoint> caller_endpoint;  ///< Listens for callers.
  /// Listens for the load balancer's checks.
  std::optional<Endpoint> readiness_endpoint;
  /// Listens for operators and targets.
  std::optional<Endpoint> control_endpoint;
  std::uint16_t link_port = 0;          ///< Of control hosts; for other hosts.
  std::vector<Endpoint> control_hosts;  ///< Configured control endpoints.
  bool is_first_start = false;          ///< May create the initial quorum.
  std::string data_folder;  ///< Empty for a control host without a disk.
  std::size_t tolerated_hosts = 1;  ///< Control hosts that may be lost.
  Duration heartbeat = std::chrono::seconds(1);
  /// Time after the loss of a member after which the group's head breaks by
  /// itself.
  Duration member_loss_timeout = std::chrono::seconds(5);
  /// Time between SIGTERM and SIGKILL.
  Duration grace_period = std::chrono::seconds(8);
  double retry_ratio = 0.2;  ///< Retries per first attempt.
  double retry_burst = 20;   ///< Of one service, all entries together.
  double cold_factor = 1;    ///< On the request limit of a cold target.
  /// Health checks and published figures of targets may be wrong: what they
  /// take well is learnt from their answers.
  bool learns_capacity = false;
  std::optional<duty::PlatformSettings> platform;  ///< Empty without duties.

  /// \brief Endpoint on which this control host listens for other hosts.
  [[nodiscard]] Endpoint link() const {
    return {this->address, this->link_port};
  }
  /// \brief The same for the control host whose control endpoint is
  /// `control_address`.
  [[nodiscard]] Endpoint LinkOf(const Endpoint& control_address) const {
    return {control_address.address, this->link_port};
  }
  /// \brief The same for all configured control hosts.
  [[nodiscard]] std::vector<Endpoint> ControlLinks() const {
    std::vector<Endpoint> links;
    for (const Endpoint& known : this->control_hosts) {
      links.push_back(this->LinkOf(known));
    }
    return links;
  }
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_DIALECT_H_
