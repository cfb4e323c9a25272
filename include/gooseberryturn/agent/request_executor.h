#ifndef GOOSEBERRYTURN_AGENT_REQUEST_EXECUTOR_H_
#define GOOSEBERRYTURN_AGENT_REQUEST_EXECUTOR_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "gooseberryturn/admission/admission_controller.h"
#include "gooseberryturn/admission/attempt_table.h"
#include "gooseberryturn/core/stream_digest.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/metrics.h"
#include "gooseberryturn/protocol/message.h"
#include "gooseberryturn/target/exchange.h"
#include "gooseberryturn/target/monitor.h"

namespace gooseberryturn::agent {

/// \brief Runs the requests that entries hand over and streams the answers
/// back.
///
/// \details Each request passes the admission controller before it reaches the
/// target. A non-idempotent attempt is also recorded, so that it runs at most
/// once and entries can query its outcome.
class RequestExecutor {
 public:
  RequestExecutor(boost::asio::io_context& context, Endpoint target,
                  target::Monitor& monitor, observe::Metrics& metrics);

  /// \brief Returns what admission depends on; called for each decision.
  std::function<admission::AgentState()> agent_state;
  /// \brief Called when a request has finished.
  std::function<void()> on_request_finished;

  void Start(link::Listener& listener);
  /// \brief Applies the limits of the service.
  void Configure(const config::Service& service);
  /// \brief Resets the concurrency limit to its cold value, for a target that
  /// was restarted or returns to service.
  void StartCold();
  /// \brief Pauses or resumes all answers; they are paused while this host
  /// leads a group that is not whole. Does nothing when nothing changes.
  void PauseAnswers(bool paused);
  /// \brief Aborts all requests in progress if the service is a model; entries
  /// receive `reason` and `message`.
  void AbortModelRequests(Reason reason, const std::string& message);

  /// \brief Number of requests in progress at the target.
  [[nodiscard]] std::size_t running() const noexcept {
    return this->executions.size();
  }
  /// \brief True while an answer that the target has finished is not completely
  /// sent and its deadline has not passed.
  [[nodiscard]] bool HasUnsentAnswer(TimePoint now) const;
  [[nodiscard]] protocol::Load load() const noexcept {
    return this->admission_controller.load();
  }

 private:
  /// State of one request from the hand-over to the end of its answer.
  struct Execution {
    std::shared_ptr<link::Stream> stream;
    protocol::HandOver hand_over;
    bool has_hand_over = false;
    bool is_finished = false;
    TimePoint deadline;
    TimePoint admitted_at;
    std::string body;
    admission::Reservation reservation;
    std::shared_ptr<target::Exchange> exchange;
    std::uint64_t sent_bytes = 0;
    StreamDigest digest;
    protocol::KeptAnswer kept_answer;
    Duration time_to_first_byte = Duration::zero();
  };
  using ExecutionPtr = std::shared_ptr<Execution>;

  void OnStream(const std::shared_ptr<link::Stream>& stream);
  void OnFrame(const ExecutionPtr& execution, protocol::FrameType type,
               std::string_view payload);
  void OnBodyEnd(const ExecutionPtr& execution);
  void OnStreamClose(const ExecutionPtr& execution);
  /// Admits a completely received request and starts it at the target.
  void Dispatch(const ExecutionPtr& execution);
  void OnHead(const ExecutionPtr& execution, const target::ResponseHead& head);
  void OnBody(const ExecutionPtr& execution, std::string_view bytes);
  /// Stores the answer of a non-idempotent request for resends, unless it is
  /// too long to keep.
  static void AppendToKeptAnswer(const ExecutionPtr& execution,
                                 std::string_view bytes);
  /// True while the entry takes the answer more slowly than it arrives.
  [[nodiscard]] static bool IsBufferFull(const Execution& execution);
  void OnDone(const ExecutionPtr& execution, const Result<void>& result);
  void Refuse(const ExecutionPtr& execution, Error error);
  void SendEnd(const ExecutionPtr& execution, const Error& error);
  void OnAttemptQuery(const std::shared_ptr<link::Stream>& stream,
                      std::string_view payload);
  /// Records a non-idempotent attempt; fails when it must not run.
  [[nodiscard]] Result<void> BeginAttempt(const Execution& execution,
                                          TimePoint now);
  /// Fails when the request is suspect and another suspect one is running.
  [[nodiscard]] Result<void> CheckSuspectLimit(const Execution& execution);

  boost::asio::io_context& context;
  Endpoint target;
  target::Monitor& monitor;
  observe::Metrics& metrics;
  config::Service service;
  admission::AdmissionController admission_controller;
  admission::AttemptTable attempt_table;
  std::set<ExecutionPtr> executions;
  /// Finished at the target; their streams are still open.
  std::set<ExecutionPtr> unsent_answers;
  bool is_paused = false;
};

}  // namespace gooseberryturn::agent

#endif  // GOOSEBERRYTURN_AGENT_REQUEST_EXECUTOR_H_
