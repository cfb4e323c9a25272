#ifndef GOOSEBERRYTURN_DIRECT_REQUEST_FLOW_H_
#define GOOSEBERRYTURN_DIRECT_REQUEST_FLOW_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gooseberryturn/core/reason.h"
#include "gooseberryturn/direct/caller_connection.h"
#include "gooseberryturn/direct/configuration.h"
#include "gooseberryturn/direct/event_splitter.h"
#include "gooseberryturn/direct/target_connection.h"
#include "gooseberryturn/direct/target_tracker.h"

namespace gooseberryturn::direct {

class EntryHost;

/// \brief One request from its arrival to its last byte.
///
/// \details Invariants: what is not idempotent is sent again only after its
/// target vouched that it did not run, or nothing was sent; a refusal that
/// says "not run" is given only while no attempt may have run; of a stream
/// only whole events are passed on, each once.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  RequestFlow(EntryHost& host, std::uint64_t number,
              std::shared_ptr<CallerConnection> caller, CallerMessage message,
              TimePoint begun_at);

  void Start();
  /// \brief Tries to find a target. \returns False when there is still none.
  [[nodiscard]] bool TryDispatch();
  /// \brief Nobody could take it in time.
  void GiveUp();
  /// \brief Looks at deadlines and at silent or broken targets.
  void Tick(TimePoint now);
  /// \brief Breaks off, when this entry must stop.
  void Abort();

  /// Longest time a request waits for room.
  static constexpr Duration kPatience = std::chrono::milliseconds(1200);
  /// Time after which a stream from a stalled target goes on elsewhere.
  static constexpr Duration kResumeAfter = std::chrono::milliseconds(1100);
  static constexpr std::size_t kMaxTries = 5;
  static constexpr std::size_t kMaxBufferedBytes = 4U * 1024U * 1024U;

 private:
  [[nodiscard]] bool Admit();
  /// Digest of path, team and body: the same for a request sent again.
  [[nodiscard]] std::string Fingerprint() const;
  void Dispatch();
  void Run(const std::string& target);
  [[nodiscard]] std::string RequestBytes(const std::string& target) const;
  /// The target has read the prompt, or never will.
  void NoteRead();
  void OnHead(const AnswerHead& head);
  void OnBody(std::string_view bytes);
  void OnEvent(const StreamEvent& event);
  void OnEnd(ExchangeEnd end, const std::string& why);
  void OnStreamEnd(ExchangeEnd end, const std::string& why);
  void OnWholeAnswer();
  void OnFailedTry(const std::string& why, bool may_have_run);
  void PassOnAnswer();
  void Refuse(int status, Reason reason);
  void Finish(const std::string& outcome);
  /// Ends the try in progress without looking at its end.
  void Abandon(Evidence evidence);
  void Detach();
  [[nodiscard]] bool MayTryAgain(bool may_have_run);
  [[nodiscard]] std::string HeadLines() const;
  [[nodiscard]] std::string Lane() const;
  /// Published figures of the service's engines; null for a plain service.
  [[nodiscard]] const EngineProfile* Engine() const;
  [[nodiscard]] const ModelProfile* Model() const;
  /// Counts the work that this request asks for.
  void NoteDemand();
  /// How long it may wait here and still have its first event on time.
  [[nodiscard]] Duration OnTimeMargin() const;

  EntryHost& host;
  std::uint64_t number;
  std::shared_ptr<CallerConnection> caller;
  CallerMessage message;
  std::string id;
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  const Team* team = nullptr;
  std::string service;
  std::string model;
  double prompt_tokens = 0;
  std::uint32_t unread_tokens = 0;  ///< Of the try in progress.
  TimePoint begun_at;
  TimePoint deadline;
  TimePoint objective_at;
  TimePoint give_up_at;

  std::vector<std::string> tried;
  std::string target;
  std::shared_ptr<TargetConnection> connection;
  std::uint32_t last_choice_load = 0;  ///< At the target, when it was chosen.
  double last_choice_ms = 0;           ///< Expected until its first event.
  TimePoint tried_at;
  TimePoint first_tried_at;  ///< End of its wait for a first target.
  TimePoint first_event_at;
  TimePoint last_event_at;
  Duration longest_pause = Duration(0);  ///< Between two events.
  TimePoint progress_at;
  std::uint64_t try_number = 0;
  int runs = 0;  ///< Tries that may have run.
  bool is_waiting = false;
  bool is_sent_late = false;  ///< Its last try could not be on time.
  bool is_done = false;
  bool is_sent_head = false;  ///< The caller got the head of a stream.
  bool is_streaming = false;  ///< The answer in progress is a stream.
  AnswerHead head;
  std::string body;
  EventSplitter splitter;
  std::optional<std::uint64_t> last_event;
  std::uint64_t events = 0;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_REQUEST_FLOW_H_
