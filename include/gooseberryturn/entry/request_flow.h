#ifndef GOOSEBERRYTURN_ENTRY_REQUEST_FLOW_H_
#define GOOSEBERRYTURN_ENTRY_REQUEST_FLOW_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "gooseberryturn/control/view_client.h"
#include "gooseberryturn/entry/caller_session.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/link/deadline_timer.h"
#include "gooseberryturn/observe/metrics.h"
#include "gooseberryturn/protocol/message.h"
#include "gooseberryturn/routing/group_chooser.h"
#include "gooseberryturn/routing/retry_decision.h"
#include "gooseberryturn/stream/answer_verifier.h"

namespace gooseberryturn::entry {

/// \brief Objects that all requests of one entry share.
struct FlowContext {
  boost::asio::io_context& io;
  link::ChannelPool& channels;
  control::ViewClient& view_client;
  routing::GroupChooser& chooser;
  std::map<std::string, routing::RetryBudget>& retry_budgets;
  observe::Metrics& metrics;
};

/// \brief Handles one admitted request until its answer or refusal is sent.
///
/// \details Chooses a group, hands the request over to the agent that leads it
/// and relays the answer. For a route that is not idempotent, it first claims
/// the idempotency key at the control leader, so that the request runs at most
/// once. A failed attempt is retried only if the route is idempotent or the
/// attempt certainly did not run.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  RequestFlow(FlowContext context, std::shared_ptr<CallerSession> caller,
              CallerRequest request, config::Service service,
              config::Route route);

  /// \brief Called once when the request has finished.
  std::function<void()> on_finished;

  void Start();

  /// \brief Longest answer that is kept for resends of a non-idempotent
  /// request.
  static constexpr std::size_t kMaxKeptAnswerBytes = 1024U * 1024U;
  /// \brief How long a claim is retried while control is unavailable.
  static constexpr Duration kClaimTimeout = std::chrono::milliseconds(1500);
  /// \brief Timeout of one query for the state of an attempt.
  static constexpr Duration kQueryTimeout = std::chrono::milliseconds(1000);
  /// \brief Interval between queries while the attempt is running.
  static constexpr Duration kQueryInterval = std::chrono::milliseconds(50);
  /// \brief Delay before a failed call to control or an agent is retried.
  static constexpr Duration kCallRetryDelay = std::chrono::milliseconds(100);
  /// \brief Interval between searches for a group with capacity.
  static constexpr Duration kCapacityCheckInterval =
      std::chrono::milliseconds(10);
  /// \brief How long after its start a request may wait for a valid view lease
  /// and a group with capacity.
  static constexpr Duration kCapacityTimeout = std::chrono::milliseconds(500);
  /// \brief How long recording an outcome at control is retried.
  static constexpr Duration kSettleTimeout = std::chrono::seconds(3);
  /// \brief How long the agent of an attempt may be unreachable before the
  /// outcome is reported as unknown.
  static constexpr Duration kUnreachableTimeout = std::chrono::seconds(2);

 private:
  // Group selection and claim.
  void StartAttempt();
  /// Starts an attempt after a delay, or refuses the request once
  /// `capacity_deadline` has passed.
  void WaitForCapacity();
  void SendClaim();
  void RetryClaim(const Error& error);
  void OnClaimReply(const Result<std::string>& result);
  void OnClaimRejected(const protocol::ClaimReply& reply);
  // Hand-over to the agent and relay of the answer.
  void OpenStream();
  void SendHandOver(const std::shared_ptr<link::Stream>& opened);
  void OnFrame(protocol::FrameType type, std::string_view payload);
  void OnHead(std::string_view payload);
  void OnChunk(std::string_view payload);
  void OnEnd(std::string_view payload);
  void OnStreamClose(link::CloseReason reason);
  void RelayBytes(std::string_view bytes);
  // End of an attempt.
  void OnAttemptFailed(Error error);
  void OnAttemptFinished();
  void RetryOrRefuse(const Error& error);
  /// Reports to control that the target failed while it ran this request;
  /// `death` is the boot ID of that target. After a suspect request completed,
  /// zero clears the suspicion; otherwise zero does nothing.
  void ReportDeath(std::uint64_t death);
  /// Releases the group and cancels the stream of the current attempt, if any.
  void CloseAttempt();
  // Outcome of an attempt of a non-idempotent request.

  /// Asks the agent in `holder` for the state of the attempt that holds the
  /// idempotency key; `error` is why that state is needed.
  void QueryAttempt(const protocol::ClaimReply& holder, const Error& error);
  /// Queries again after a delay, or refuses the request once `query_deadline`
  /// has passed; `cause` is why the last query failed.
  void RetryQuery(const protocol::ClaimReply& holder, const Error& error,
                  const Error& cause);
  void OnAttemptReply(const protocol::ClaimReply& holder, const Error& error,
                      const protocol::AttemptReply& reply);
  /// Sends the outcome of an attempt to the control leader, retrying until a
  /// leader has handled it or `give_up_at` has passed; then calls `next`.
  void RecordOutcome(const protocol::Settle& settle, TimePoint give_up_at,
                     std::function<void()> next);
  [[nodiscard]] protocol::Settle MakeSettle(
      std::uint64_t attempt_id, Outcome outcome,
      const protocol::KeptAnswer& answer) const;
  /// Stores that nobody knows the outcome of the attempt in `holder`, and
  /// refuses the request; `error` is why its state was needed.
  void SettleUnknown(const protocol::ClaimReply& holder, const Error& error);
  /// Sends a stored answer to the caller, or a refusal when it was too long to
  /// keep or is no answer. `is_replay` marks the answer as replayed.
  void SendKeptAnswer(const protocol::KeptAnswer& answer, bool is_replay);
  // End of the request.
  void Refuse(Error error);
  void OnCallerDisconnect();
  /// Ends a non-idempotent request whose caller has left and of which no
  /// attempt ran; a claim that was granted is settled as not run.
  void EndWithoutCaller();
  void FinishRequest();

  /// Calls `next` after `delay`, unless the request has finished by then.
  void RunAfter(Duration delay, std::function<void()> next);
  [[nodiscard]] std::string PeerName() const;
  [[nodiscard]] Error MakeError(Reason reason, Step step, Outcome outcome,
                                const std::string& message) const;
  void OnDeadline();
  [[nodiscard]] Error WithPeer(Error error) const;
  /// Describes the current attempt as the holder of the idempotency key.
  [[nodiscard]] protocol::ClaimReply MakeOwnHolder() const;

  FlowContext context;
  std::shared_ptr<CallerSession> caller;
  CallerRequest request;
  config::Service service;
  config::Route route;
  boost::asio::steady_timer timer;
  link::DeadlineTimer deadline_timer;
  std::string fingerprint;  ///< Digest of team, path and body.
  routing::RetryState retry_state;
  std::set<std::string> excluded_groups;
  protocol::Group group;
  std::uint64_t attempt_id = 0;
  std::uint64_t replaced_attempt_id = 0;  ///< The next claim replaces it.
  bool is_outstanding = false;  ///< The chooser counts the current attempt.
  bool was_handed_over = false;
  bool may_have_run = false;  ///< An attempt ended with unknown outcome.
  std::shared_ptr<link::Stream> stream;
  protocol::AnswerHead answer_head;
  stream::AnswerVerifier answer_verifier;
  protocol::KeptAnswer kept_answer;
  TimePoint started_at;
  TimePoint capacity_deadline;
  TimePoint claim_deadline;
  TimePoint query_deadline;
  bool is_finished = false;
  bool is_caller_disconnected = false;
};

}  // namespace gooseberryturn::entry

#endif  // GOOSEBERRYTURN_ENTRY_REQUEST_FLOW_H_
