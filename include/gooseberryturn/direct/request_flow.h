#ifndef GOOSEBERRYTURN_DIRECT_REQUEST_FLOW_H_
#define GOOSEBERRYTURN_DIRECT_REQUEST_FLOW_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryturn/core/byte_budget.h"
#include "gooseberryturn/core/reason.h"
#include "gooseberryturn/direct/caller_connection.h"
#include "gooseberryturn/direct/configuration.h"
#include "gooseberryturn/direct/event_splitter.h"
#include "gooseberryturn/direct/target_chooser.h"
#include "gooseberryturn/direct/target_connection.h"
#include "gooseberryturn/direct/target_tracker.h"

namespace gooseberryturn::direct {

class EntryHost;

/// \brief Handles one request from its arrival to the last byte of its
/// answer.
///
/// \details Invariants:
/// - A request that is not idempotent is sent again only if nothing was sent
///   or its target stated that it was not executed.
/// - This entry refuses a request with status 503 only while no attempt may
///   have been executed; once one may have been, it uses 502 or 504. A 503 from
///   a target may be passed on as its answer.
/// - Of a stream only whole events are forwarded, each exactly once.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  RequestFlow(EntryHost& entry, std::uint64_t flow_id,
              std::shared_ptr<CallerConnection> caller, CallerMessage message,
              TimePoint received_at);

  /// \brief Checks the request, then dispatches, queues or refuses it.
  void Start();
  /// \brief Chooses a target and sends the request to it.
  /// \returns False when the request has to wait.
  [[nodiscard]] bool TryDispatch();
  /// \brief True while an attempt is in progress. A request that is queued or
  /// dispatched then moves away from a target that is silent or too slow.
  [[nodiscard]] bool IsMoving() const noexcept {
    return this->connection != nullptr;
  }
  /// \brief Called when the time in the wait queue is over. A request whose
  /// attempt is still in progress stays with its target; others are ended.
  void OnQueueExpired();
  /// \brief Enforces the deadline, and queues a request for another target when
  /// its own is stalled or broken. The attempt in progress goes on until
  /// another target takes the request: silence alone does not end an answer.
  void Tick(TimePoint now);
  /// \brief Acts on content that is newly held, cleared or quarantined: ends
  /// the request, or goes on with one that was held.
  void RecheckContents(TimePoint now);
  /// \brief Ends the request because the entry shuts down.
  void Abort();

  /// Longest time in the wait queue, restarted after each failed attempt.
  static constexpr Duration kMaxQueueTime = std::chrono::milliseconds(1200);
  /// Silence of a stalled target after which its stream is resumed on another.
  static constexpr Duration kStreamStallTimeout =
      std::chrono::milliseconds(1100);
  static constexpr std::size_t kMaxAttempts = 5;
  /// Longest time that a request is held for content under suspicion. Callers
  /// give a stream up that has not begun after two seconds.
  static constexpr Duration kMaxHoldTime = std::chrono::milliseconds(1500);
  /// Time in which the leader learns of a broken attempt and tells all entries
  /// what is suspected for it.
  static constexpr Duration kSuspicionDelay = std::chrono::milliseconds(200);
  /// A target that crashes on some content does so within this time from when
  /// it begins to write.
  static constexpr Duration kRecentTime = std::chrono::seconds(1);
  /// Parts of one prompt that are kept; a longer list is cut off.
  static constexpr std::size_t kMaxSharedParts = 32;
  /// Time from the end of the caller's input, or from the last bytes written to
  /// it, in which the answer of a request that may be repeated has to go on.
  static constexpr Duration kInputEndTime = std::chrono::milliseconds(300);
  /// Longest body of an answer that is not streamed.
  static constexpr std::size_t kMaxBufferedBytes = 4U * 1024U * 1024U;

 private:
  [[nodiscard]] bool Admit();
  /// Reads the caller's estimate of the output tokens; an invalid one is
  /// ignored and counted.
  void ReadHint();
  /// Reads `shared_parts`, at most kMaxSharedParts.
  void ReadSharedParts();
  /// Quarantined content of this request, or an empty string.
  [[nodiscard]] std::string QuarantinedContent() const;
  /// Ends the request if its content is quarantined. One that its target has
  /// begun to write stays with that target instead.
  /// \returns Whether it must not be sent.
  [[nodiscard]] bool EndIfQuarantined();
  /// True once the target of the attempt in progress has begun to write.
  [[nodiscard]] bool IsBeingWritten() const noexcept {
    return this->IsMoving() && this->attempt_began_at != TimePoint();
  }
  /// True if the request must not be sent now: content of it is suspected of
  /// crashing targets, or may be in a moment. Takes a trial if one is granted.
  [[nodiscard]] bool MustHold(TimePoint now);
  /// Lets the request wait, outside the wait queue, for what becomes of its
  /// content.
  void Hold(TimePoint now);
  /// Goes on with a held request, or ends it when it was held for too long.
  void TickHeld(TimePoint now);
  /// True if all shared parts were answered whole lately.
  [[nodiscard]] bool IsKnownSound(TimePoint now) const;
  /// The attempt in progress or ended last, as reports name it.
  [[nodiscard]] CutRequest DescribeAttempt() const;
  /// Reports that the attempt in progress was cut: `is_observed` if its target
  /// broke off or fell silent. Once for each attempt, and once more when it is
  /// observed later.
  void ReportCut(bool is_observed);
  /// Records that the target answered the shared parts whole.
  void RecordAnswered(TimePoint now);
  /// Digest of path, team and body; a request sent again has the same one.
  [[nodiscard]] std::string Fingerprint() const;
  /// Ends a request that found no target in time or may not be retried.
  void GiveUp();
  void Dispatch();
  /// True when no target serves the request and none is about to: waiting in
  /// the queue would not help its caller.
  [[nodiscard]] bool IsUnservable(ChoiceFailure reason) const;
  void StartAttempt(const std::string& target_id);
  [[nodiscard]] std::string SerializeRequest(
      const std::string& target_id) const;
  /// The request as the wait queue orders it.
  [[nodiscard]] QueuedRequest DescribeQueued() const;
  /// True where routes of the service differ in priority: waiting requests
  /// are then ordered by team too, and their costs by the callers' length
  /// hints.
  [[nodiscard]] bool IsOrderedByPriority() const;
  /// True if its caller was refused and came back before its Retry-After.
  [[nodiscard]] bool IsEarlyRetry() const;
  /// True if it would wait in vain: more urgent requests wait, and their
  /// arrivals leave too little for it.
  [[nodiscard]] bool IsClosedOut(TimePoint now);
  /// Seconds over which callers that are refused for want of capacity should
  /// come back.
  [[nodiscard]] double ReturnTimeSeconds(TimePoint now);
  /// Counts a refusal for want of capacity, and whether there was room.
  void RecordOverload(TimePoint now);
  /// Takes the prompt off the pending prefill work of the target: its prefill
  /// is done, or will not be done.
  void EndPrefill();
  /// Stops or goes on reading from the target, which is not expected to send
  /// anything meanwhile.
  void SetPaused(bool paused);
  /// True if the target of the attempt in progress may send and does not.
  [[nodiscard]] bool IsTargetStalled(TimePoint now) const;
  /// Records that bytes arrived from the target.
  void OnProgress(TimePoint now);
  /// Records what the target says of itself in the head of an answer.
  void RecordNotices(const ResponseHead& head, TimePoint now);
  void RecordPause(const ResponseHead& head, TimePoint now);
  /// Passes the beginning of an attempt to the usage meter.
  void MeterBegin(TimePoint now);
  void MeterFirstEvent(TimePoint now);
  /// The same for the end of an attempt; `used` may be null.
  void MeterEnd(ExchangeEnd end, const TargetConnection* used);
  /// Ends or keeps waiting a request all of whose targets pause until
  /// `resumes_at`.
  /// \returns False if it waits.
  [[nodiscard]] bool EndIfPaused(TimePoint resumes_at);
  void OnHead(const ResponseHead& head);
  void OnBody(std::string_view bytes);
  void OnEvent(const StreamEvent& event);
  /// Lets the entry learn from the time of an event how fast its target is.
  void ObserveEvent(TimePoint now);
  /// The same from the end of an answer; `is_whole` unless it was broken off.
  void ObserveAnswerEnd(ExchangeEnd end, bool is_whole, TimePoint now);
  /// The same from the time that the target has had without ending its answer.
  void ObserveAbandoned(TimePoint now);
  /// Holds `bytes` of the answer, or gives the attempt up if the entry holds
  /// too much already.
  /// \returns Whether they are held.
  bool HoldBytes(std::size_t bytes);
  void OnEnd(ExchangeEnd end, const std::string& cause);
  void OnStreamEnd(ExchangeEnd end, const std::string& cause);
  void OnCompleteAnswer();
  void OnAttemptFailed(const std::string& cause, bool may_have_executed);
  void ForwardAnswer();
  void Refuse(int status, Reason reason);
  /// Refuses what the configuration doesn't allow; with 503 while a newer one
  /// is known to be in force elsewhere.
  void RefuseByConfiguration(int status, Reason reason);
  /// Refuses a request that was not sent yet if the entry may leave before its
  /// deadline, so that it is not cut while it runs.
  /// \returns Whether it was refused.
  [[nodiscard]] bool RefuseIfTooLate();
  /// Seconds for the Retry-After of a refusal.
  [[nodiscard]] double RetryAfterSeconds(Reason reason);
  /// Cancels pending work, logs the outcome and leaves the entry.
  void Finish(const std::string& outcome);
  /// Cancels the attempt in progress; its end is not reported to OnEnd.
  void CancelAttempt(HealthSignal signal);
  /// Leaves the wait queue and cancels the attempt in progress.
  void CancelPendingWork();
  /// True if the attempt in progress is not expected to end in time, or its
  /// target is silent.
  [[nodiscard]] bool IsAttemptLost(TimePoint now) const;
  /// Cancels the attempt in progress, for another target that has room. False
  /// if no retry may be taken; the attempt then goes on.
  [[nodiscard]] bool TryLeaveTarget(TimePoint now);
  void LeaveQueue();
  /// Called when the caller has ended its sending side: it has left, or waits
  /// for its answer, which cannot be told apart before something is written.
  /// Goes on with what its target ends soon, or what may run only once and was
  /// handed over: the answer is the only way to learn its outcome. All else is
  /// refused, so that no target works for a caller that has left.
  /// \returns True, as the request goes on or is refused.
  [[nodiscard]] bool OnInputEnd();
  /// True if a request whose caller has ended its sending side has to end.
  [[nodiscard]] bool IsInputEndOver(TimePoint now) const;
  /// Restarts the time in which the answer has to go on.
  void ExtendInputEnd(TimePoint now) {
    this->input_end_deadline = now + kInputEndTime;
  }
  /// Refuses or breaks off a request whose caller has ended its sending side.
  void EndAfterInput();
  [[nodiscard]] bool MayRetry(bool may_have_executed) const;
  /// True if TryTakeRetry would take one.
  [[nodiscard]] bool HasRetry(bool may_have_executed) const;
  /// Takes a retry from the service's budget if another attempt is allowed.
  [[nodiscard]] bool TryTakeRetry(bool may_have_executed);
  [[nodiscard]] std::string SerializeAnswerHead() const;
  [[nodiscard]] std::string QueueKey() const;
  /// Priority of the team, or of the route; 0 is the most urgent.
  [[nodiscard]] int Priority() const;
  /// Value of the priority header for the target, or empty to send none.
  [[nodiscard]] std::optional<int> EnginePriority() const;
  /// Profile of the service's engine, or null for a plain service.
  [[nodiscard]] const EngineProfile* FindEngine() const;
  [[nodiscard]] const ModelProfile* FindModel() const;
  /// Estimates the engine time that this request needs, and adds it to the
  /// measured demand.
  void RecordDemand();
  /// Longest wait before dispatch with which the first event is still expected
  /// within the route's objective.
  [[nodiscard]] Duration MaxOnTimeWait() const;

  EntryHost& entry;
  std::uint64_t flow_id;
  std::shared_ptr<CallerConnection> caller;
  CallerMessage message;
  /// From the caller's header; the attempts of this entry have no id.
  std::string caller_attempt_id;
  std::shared_ptr<const RouteTable> route_table;
  const Route* route = nullptr;
  const Team* team = nullptr;
  std::string service;
  std::string model;
  double prompt_tokens = 0;
  std::optional<double> length_hint;  ///< Output tokens expected by the caller.
  double engine_ms = 0;         ///< Engine time that it is expected to need.
  bool is_early_retry = false;  ///< Came back before its Retry-After.
  /// Ids of the parts of the prompt that other requests may have too: all but
  /// the last.
  std::vector<std::string> shared_parts;
  /// Prompt tokens of the current attempt that wait for their prefill.
  std::uint32_t pending_prefill_tokens = 0;
  TimePoint received_at;
  TimePoint deadline;
  TimePoint dispatch_by;     ///< Dispatched later, it misses its objective.
  TimePoint queue_deadline;  ///< Leaves the wait queue without a target then.
  /// When the answer has to go on, once the caller's input has ended.
  TimePoint input_end_deadline;

  std::vector<std::string> tried_targets;
  std::string target;  ///< Id of the target of the latest attempt.
  TargetIncarnation
      target_incarnation;  ///< Of `target` when the attempt began.
  TimePoint retry_at;      ///< When a refusal tells the caller to come again.
  std::shared_ptr<TargetConnection> connection;
  std::uint32_t load_at_choice = 0;  ///< In flight at the chosen target.
  double expected_first_event_ms = 0;
  double published_first_event_ms = 0;  ///< By the published figures alone.
  /// The expected time, corrected by the delays that were learnt.
  double predicted_first_event_ms = 0;
  TimePoint attempt_started_at;
  TimePoint first_attempt_at;
  TimePoint first_event_at;
  TimePoint last_event_at;
  TimePoint attempt_event_at;  ///< Last event of the current attempt.
  /// The target was not read from since the last event.
  bool is_gap_paused = false;
  Duration longest_event_gap = Duration(0);
  TimePoint last_progress_at;  ///< Last bytes from the target.
  /// First bytes of the body in the current attempt; TimePoint() before.
  TimePoint attempt_began_at;
  bool is_cut_reported = false;           ///< Of the current attempt.
  bool is_observed_cut_reported = false;  ///< Of the current attempt.
  bool is_held = false;
  bool is_trial = false;  ///< Sent although its content is suspected.
  TimePoint held_until;   ///< While it is held.
  TimePoint not_before;   ///< Is not sent again until then.
  /// Grows with each attempt and each cancellation, so that the end of an
  /// earlier attempt is recognised.
  std::uint64_t attempt_number = 0;
  int possible_executions = 0;  ///< Ended attempts that may have been executed.
  bool is_queued = false;
  bool is_sent_late = false;  ///< Last dispatched after `dispatch_by`.
  bool is_done = false;
  bool has_input_ended = false;  ///< The caller sends nothing more.
  bool is_paused = false;        ///< The target is not read from.
  bool is_head_sent = false;     ///< The caller got the head of a stream.
  bool is_streaming = false;     ///< The current answer is an event stream.
  ResponseHead answer_head;
  std::string answer_body;
  ByteShare answer_share;  ///< Of `answer_body` or of an event not yet whole.
  EventSplitter splitter;
  std::optional<std::uint64_t> last_event_id;
  std::uint64_t event_count = 0;  ///< Events forwarded to the caller.
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_REQUEST_FLOW_H_
