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

namespace gooseberryturn::direct {

/// \brief Names of the headers spoken with callers and targets.
struct HeaderNames {
  std::string attempt;       ///< Id of one attempt of a caller.
  std::string deadline;      ///< Milliseconds left.
  std::string target;        ///< Id of the target that is meant.
  std::string team;          ///< Set for targets only.
  std::string proof;         ///< Mark of a target's own answer.
  std::string not_executed;  ///< The target vouches that it did not run.
  std::string model;         ///< Model that is asked for.
  std::string tokens;        ///< Prompt tokens and most output tokens.
  std::string priority;      ///< Rank at the engine, 0 first.
};

/// \brief Kind of an order to an engine.
enum class OrderKind : std::uint8_t { kJoin, kOpen, kClose, kLeave, kStage };

inline constexpr NameTable<OrderKind, 5> kOrderKindNames = {
    {"join", "open", "close", "leave", "stage"}};

/// \brief An order to one engine.
struct Order {
  OrderKind kind = OrderKind::kJoin;
  std::string target;  ///< Id of the engine that gets it.
  std::string group;
  std::uint64_t epoch = 0;
  std::string model;
  std::vector<std::string> members;
  std::uint64_t fence = 0;  ///< Term of the leader that gives it.
};

/// \brief How an engine took an order.
enum class OrderOutcome : std::uint8_t {
  kBegun,        ///< Accepted, it is being carried out.
  kDone,         ///< The state already holds.
  kConflict,     ///< It does not fit the engine's state.
  kStale,        ///< A higher fence or epoch is known there.
  kOtherTarget,  ///< Another target has the address.
  kNoAnswer,     ///< Nobody knows; it may be carried out later.
};

inline constexpr NameTable<OrderOutcome, 6> kOrderOutcomeNames = {
    {"begun", "done", "conflict", "stale", "other_target", "no_answer"}};

/// \brief A short HTTP request with its whole body.
struct HttpRequest {
  std::string method;
  std::string path;
  std::string body;
};

/// \brief What a call to the control interface asks for.
enum class ControlCallKind : std::uint8_t {
  kUnknown,
  kAnnounce,
  kWithdraw,
  kPutConfiguration,
  kGetConfiguration,
  kEvacuate,
  kReturn,
};

/// \brief A decoded call to the control interface.
struct ControlCall {
  ControlCallKind kind = ControlCallKind::kUnknown;
  std::string name;  ///< Id of a target or name of a data centre.
};

/// \brief The formats that a deployment speaks, decoded into typed messages.
///
/// \details The hooks decide nothing; each decodes or encodes one message.
struct Dialect {
  HeaderNames headers;
  std::string ready_path;
  std::function<Result<Configuration>(std::string_view)> read_configuration;
  std::function<Result<Announcement>(std::string_view id, std::string_view)>
      read_announcement;
  /// Also tells which target answered, when the body names it.
  std::function<Result<EngineReport>(std::string_view)> read_report;
  std::function<ControlCall(const HttpRequest&)> read_control_call;
  std::function<std::string(const Endpoint& next)> write_announcement_reply;
  std::function<std::string(const std::string& message)> write_error;
  std::function<HttpRequest(const Order&)> write_order;
  std::function<HttpRequest()> write_report_call;
};

/// \brief Settings of an entry or control host that reaches targets directly.
struct HostSettings {
  std::string host;
  std::string data_centre;
  std::string address;
  std::optional<Endpoint> caller_endpoint;     ///< Where callers connect.
  std::optional<Endpoint> readiness_endpoint;  ///< Where the balancer asks.
  std::optional<Endpoint>
      control_endpoint;                 ///< Where operators and targets call.
  std::uint16_t link_port = 0;          ///< Of control hosts, for other hosts.
  std::vector<Endpoint> control_hosts;  ///< Known at the start.
  bool is_first_start = false;
  std::string data_folder;          ///< Empty: this control host has no disk.
  std::size_t tolerated_hosts = 1;  ///< Control hosts that may be lost.
  Duration heartbeat = std::chrono::seconds(1);
  Duration stall = std::chrono::seconds(5);  ///< Until a stalled group breaks.
  Duration grace_period =
      std::chrono::seconds(8);  ///< From SIGTERM to SIGKILL.
  double retry_ratio = 0.2;
  double retry_burst = 20;  ///< Of one service, all entries together.
  double cold_factor = 1;

  /// \brief Where this control host listens for other hosts.
  [[nodiscard]] Endpoint link() const {
    return {this->address, this->link_port};
  }
  /// \brief Where the control host with the address `control_address` does.
  [[nodiscard]] Endpoint LinkOf(const Endpoint& control_address) const {
    return {control_address.address, this->link_port};
  }
  /// \brief Where the control hosts known at the start listen for others.
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
