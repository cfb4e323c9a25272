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
/// \details Only the leader answers; other hosts say 421 and name it. A change
/// is answered once it is in force everywhere, or with 202 and the hosts that
/// are still behind.
class OperatorApi {
 public:
  OperatorApi(boost::asio::io_context& context, Replica& replica,
              Server& server, observe::Metrics& metrics);

  /// \brief Answers one call; runs in a thread of the HTTP server and waits
  /// for the link thread.
  [[nodiscard]] observe::HttpAnswer Handle(const observe::HttpCall& call);

  static constexpr Duration kInForceLimit = std::chrono::seconds(4);
  static constexpr Duration kAnswerLimit = std::chrono::seconds(8);

 private:
  using Done = std::function<void(observe::HttpAnswer)>;

  void Dispatch(const observe::HttpCall& call, const Done& done);
  void Change(const observe::HttpCall& call, const Done& done);
  void ChangeQuorum(const observe::HttpCall& call, const Done& done);
  template <typename Body>
  void Propose(CommandKind kind, const Body& body, const Done& done);
  void Applied(const Result<CommandResult>& result, const Done& done);
  [[nodiscard]] observe::HttpAnswer NotLeader() const;
  [[nodiscard]] observe::HttpAnswer Document() const;

  boost::asio::io_context& context;
  Replica& replica;
  Server& server;
  observe::Metrics& metrics;
};

/// \brief Everything an operator wants to see, as JSON.
[[nodiscard]] std::string StatusJson(const Replica& replica,
                                     const Registry& registry, TimePoint now);

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_OPERATOR_API_H_
