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
#include "gooseberryturn/observe/metrics.h"
#include "gooseberryturn/protocol/message.h"
#include "gooseberryturn/routing/group_chooser.h"
#include "gooseberryturn/routing/retry_decision.h"
#include "gooseberryturn/stream/answer_verifier.h"

namespace gooseberryturn::entry {

/// \brief What all requests of an entry share.
struct FlowContext {
  boost::asio::io_context& io;
  link::ChannelPool& channels;
  control::ViewClient& views;
  routing::GroupChooser& chooser;
  std::map<std::string, routing::RetryBudget>& budgets;
  observe::Metrics& metrics;
};

/// \brief One request from its acceptance to its end.
///
/// \details Chooses a group, claims the key of a call that may not be
/// repeated, hands over, relays the answer, and tries again where that is
/// certain to be right.
class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  RequestFlow(FlowContext context, std::shared_ptr<CallerSession> caller,
              CallerRequest request, config::Service service,
              config::Route route);

  /// \brief Called once when the request is over.
  std::function<void()> on_over;

  void Start();

  /// \brief Longest answer of a call that may not be repeated.
  static constexpr std::size_t kMaxKeptBytes = 1024U * 1024U;
  static constexpr Duration kClaimLimit = std::chrono::milliseconds(1500);
  static constexpr Duration kQueryLimit = std::chrono::milliseconds(1000);
  static constexpr Duration kQueryPause = std::chrono::milliseconds(50);
  static constexpr Duration kControlPause = std::chrono::milliseconds(100);
  static constexpr Duration kBusyPause = std::chrono::milliseconds(10);
  /// \brief Longest wait for a target with room.
  static constexpr Duration kRoomLimit = std::chrono::milliseconds(500);
  static constexpr Duration kSettleLimit = std::chrono::seconds(3);
  static constexpr Duration kUnreachableLimit = std::chrono::seconds(2);

 private:
  // Choice and claim.
  void Attempt();
  void WaitForRoom();
  void Claim();
  void ClaimAgain(const Error& error);
  void OnClaimed(const Result<std::string>& result);
  void OnKeyTaken(const protocol::ClaimReply& reply);
  // Hand-over and relay.
  void Open();
  void SendOrder(const std::shared_ptr<link::Stream>& stream);
  void OnFrame(protocol::FrameType type, std::string_view payload);
  void OnHead(std::string_view payload);
  void OnChunk(std::string_view payload);
  void OnEnd(std::string_view payload);
  void OnStreamClose(link::CloseReason reason);
  void RelayPiece(std::string_view bytes);
  // End of an attempt.
  void AttemptFailed(Error error);
  void AttemptDone();
  void RetryOrRefuse(const Error& error);
  void ReportDeath(std::uint64_t death);
  void CloseAttempt();
  // What became of an attempt that may not be repeated.
  void AskAgent(const protocol::ClaimReply& holder, const Error& error);
  void AskAgain(const protocol::ClaimReply& holder, const Error& error,
                const Error& cause);
  void OnAttemptReply(const protocol::ClaimReply& holder, const Error& error,
                      const protocol::AttemptReply& reply);
  void Settle(const protocol::Settle& settle, TimePoint give_up_at,
              std::function<void()> next);
  [[nodiscard]] protocol::Settle MakeSettle(
      std::uint64_t settled, Outcome outcome,
      const protocol::KeptAnswer& answer) const;
  void GiveKept(const protocol::KeptAnswer& answer, bool is_replay);
  // End of the request.
  void Refuse(Error error);
  void CallerGone();
  void Over();

  void After(Duration pause, std::function<void()> next);
  [[nodiscard]] std::string PeerName() const;
  [[nodiscard]] Error MakeError(Reason reason, Step step, Outcome outcome,
                                const std::string& message) const;
  void OnDeadline();
  [[nodiscard]] Error WithPeer(Error error) const;
  [[nodiscard]] protocol::ClaimReply OwnHolder() const;

  FlowContext context;
  std::shared_ptr<CallerSession> caller;
  CallerRequest request;
  config::Service service;
  config::Route route;
  boost::asio::steady_timer timer;
  boost::asio::steady_timer deadline_timer;
  std::string fingerprint;
  routing::RetryState record;
  std::set<std::string> excluded;
  protocol::Group group;
  std::uint64_t attempt = 0;
  std::uint64_t replaced_attempt = 0;
  bool is_outstanding = false;
  bool was_handed_over = false;
  bool may_have_run = false;  ///< An attempt ended with unknown outcome.
  std::shared_ptr<link::Stream> stream;
  protocol::AnswerHead head;
  stream::AnswerVerifier check;
  protocol::KeptAnswer kept;
  TimePoint started_at;
  TimePoint room_until;
  TimePoint claim_until;
  TimePoint unreachable_until;
  bool is_over = false;
  bool is_caller_gone = false;
};

}  // namespace gooseberryturn::entry

#endif  // GOOSEBERRYTURN_ENTRY_REQUEST_FLOW_H_
