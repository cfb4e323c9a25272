#ifndef GOOSEBERRYTURN_AGENT_RUN_SERVICE_H_
#define GOOSEBERRYTURN_AGENT_RUN_SERVICE_H_

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

/// \brief Runs the requests that entries hand over, through the gate.
class RunService {
 public:
  RunService(boost::asio::io_context& context, Endpoint target,
             target::Monitor& monitor, observe::Metrics& metrics);

  /// \brief Asked at each decision.
  std::function<admission::AgentState()> standing;
  /// \brief Called when a request ended.
  std::function<void()> on_idle_change;

  void Start(link::Listener& listener);
  void Configure(const config::Service& service);
  /// \brief The target is a new one, or comes back after a pause: cold.
  void StartCold();
  /// \brief Holds back answers while the group is not whole.
  void HoldAnswers(bool is_held);
  /// \brief Ends every model request in progress; its callers are told.
  void CutModelRuns(Reason reason, const std::string& message);

  [[nodiscard]] std::size_t running() const noexcept {
    return this->runs.size();
  }
  [[nodiscard]] protocol::Load load() const noexcept {
    return this->gate.load();
  }

 private:
  /// One request from hand-over to its end.
  struct Run {
    std::shared_ptr<link::Stream> stream;
    protocol::HandOver order;
    bool has_order = false;
    bool is_over = false;
    TimePoint deadline;
    TimePoint admitted_at;
    std::string body;
    admission::Reservation reservation;
    std::shared_ptr<target::Exchange> exchange;
    std::uint64_t length = 0;
    StreamDigest digest;
    protocol::KeptAnswer kept;
    Duration first_token = Duration::zero();
  };
  using RunPtr = std::shared_ptr<Run>;

  void OnStream(const std::shared_ptr<link::Stream>& stream);
  void OnFrame(const RunPtr& run, protocol::FrameType type,
               std::string_view payload);
  void OnBodyEnd(const RunPtr& run);
  void OnEntryGone(const RunPtr& run);
  void HandOver(const RunPtr& run);
  void OnHead(const RunPtr& run, int status, const std::string& type);
  void OnBody(const RunPtr& run, std::string_view bytes);
  /// Keeps the answer of a call that may not be repeated, for resends.
  static void Keep(const RunPtr& run, std::string_view bytes);
  void OnDone(const RunPtr& run, const Result<void>& result);
  void Refuse(const RunPtr& run, Error error);
  void SendEnd(const RunPtr& run, const Error& error);
  void OnQuery(const std::shared_ptr<link::Stream>& stream,
               std::string_view payload);
  [[nodiscard]] Result<void> BeginAttempt(const Run& run, TimePoint now);
  [[nodiscard]] Result<void> TakeSuspect(const Run& run);

  boost::asio::io_context& context;
  Endpoint target;
  target::Monitor& monitor;
  observe::Metrics& metrics;
  config::Service service;
  admission::AdmissionController gate;
  admission::AttemptTable attempts;
  std::set<RunPtr> runs;
  bool is_held = false;
};

}  // namespace gooseberryturn::agent

#endif  // GOOSEBERRYTURN_AGENT_RUN_SERVICE_H_
