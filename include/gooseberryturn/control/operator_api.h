#ifndef GOOSEBERRYTURN_CONTROL_OPERATOR_API_H_
#define GOOSEBERRYTURN_CONTROL_OPERATOR_API_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "gooseberryturn/control/replica.h"
#include "gooseberryturn/control/server.h"
#include "gooseberryturn/observe/http_server.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::control {

/// \brief The operators' HTTP API of a control host.
///
/// \details Every host answers /metrics and /live; all other paths are answered
/// by the leader while it has its lease. Other hosts reply 421 with the
/// leader's address, or 503 when it is unknown; a leader without its lease
/// replies 503.
///
/// A change is answered with 200 once it is in force on all hosts, or with 202
/// and the hosts that are still behind after kInForceTimeout; when none is
/// known to be behind then, also with 200 (see Server::WhenInForce). A change
/// of the control hosts (/v1/control) is answered with 200 as soon as it is
/// proposed.
///
/// Errors: 400 for an invalid document or parameter and for the promotion of a
/// control host whose log is behind, 404 for an unknown path, 409 for a
/// rejected change, 503 when a change cannot be committed or its result is
/// unknown, 504 when no answer is known after kAnswerTimeout.
class OperatorApi {
 public:
  OperatorApi(boost::asio::io_context& context, Replica& replica,
              Server& server, observe::Metrics& metrics);

  /// \brief Answers one call. Runs on a thread of the HTTP server and blocks
  /// until the link thread has the answer or kAnswerTimeout has passed.
  [[nodiscard]] observe::HttpAnswer Handle(const observe::HttpCall& call);

  static constexpr Duration kInForceTimeout = std::chrono::seconds(4);
  static constexpr Duration kAnswerTimeout = std::chrono::seconds(8);

 private:
  /// Receives the answer of a call.
  using Done = std::function<void(observe::HttpAnswer)>;

  void Dispatch(const observe::HttpCall& call, const Done& done);
  void HandleChange(const observe::HttpCall& call, const Done& done);
  void ChangeQuorum(const observe::HttpCall& call, const Done& done);
  template <typename Body>
  void Propose(CommandKind kind, const Body& body, const Done& done);
  /// Answers a failed or rejected change at once, and an accepted one when it
  /// is in force or kInForceTimeout has passed.
  void AnswerChange(const Result<CommandResult>& result, const Done& done);
  [[nodiscard]] observe::HttpAnswer NotLeader() const;
  [[nodiscard]] observe::HttpAnswer Document() const;

  boost::asio::io_context& context;
  Replica& replica;
  Server& server;
  observe::Metrics& metrics;
};

/// \brief State of the whole system for operators, as JSON.
[[nodiscard]] std::string StatusJson(const Replica& replica,
                                     const Registry& registry, TimePoint now);

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_OPERATOR_API_H_
