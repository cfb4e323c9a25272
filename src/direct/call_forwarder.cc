#include "gooseberryturn/direct/call_forwarder.h"

#include <string>
#include <utility>

#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

namespace {

/// An order that ends the quarantine of a content.
bool IsQuarantineOrder(const HttpRequest& call) {
  return call.method == "DELETE" &&
         call.path.compare(0, kQuarantinePrefix.size(), kQuarantinePrefix) == 0;
}

}  // namespace

ForwardedCall ToForwarded(const HttpRequest& call) {
  ForwardedCall forwarded;
  forwarded.method = call.method;
  forwarded.path = call.path;
  forwarded.body = call.body;
  return forwarded;
}

bool IsOrder(const Dialect& dialect, const HttpRequest& call) {
  if (IsQuarantineOrder(call)) {
    return true;
  }
  switch (dialect.read_control_call(call).kind) {
    case ControlCallKind::kWithdraw:
    case ControlCallKind::kEvacuate:
    case ControlCallKind::kReturn:
      return true;
    case ControlCallKind::kUnknown:
    case ControlCallKind::kAnnounce:
    case ControlCallKind::kPutConfiguration:
    case ControlCallKind::kGetConfiguration:
      return false;
  }
  return false;
}

void ForwardOrder(const HttpRequest& call, const AsyncHttpServer::Reply& reply,
                  TimePoint deadline, const ForwardHook& forward,
                  OnForwarded on_answer, std::function<void()> on_late) {
  ForwardedCall question = ToForwarded(call);
  question.step = ForwardedStep::kReadRevision;
  forward(question,
          [order = ToForwarded(call), reply, deadline, forward,
           on_answer = std::move(on_answer), on_late = std::move(on_late)](
              const std::optional<ForwardedAnswer>& answer) mutable {
            if (!answer.has_value() || answer->status == 0) {
              on_answer(answer);
              return;
            }
            if (Clock::now() >= deadline || !reply.IsAwaited()) {
              on_late();
              return;
            }
            order.is_conditional = true;
            order.revision = answer->revision;
            forward(order, on_answer);
          });
}

void ForwardCall(link::ChannelPool& channels, const Endpoint& link,
                 const ForwardedCall& call, TimePoint deadline,
                 OnForwarded on_answer) {
  channels.Get(link)->Call(
      kCallPath, protocol::Encode(call), deadline,
      [link, on_answer = std::move(on_answer)](Result<std::string> answered) {
        std::optional<ForwardedAnswer> answer;
        if (answered.has_value()) {
          answer = protocol::Decode<ForwardedAnswer>(*answered);
        }
        if (!answer.has_value()) {
          observe::LogEvent(
              observe::Level::kWarn, "", "call_not_forwarded",
              {{"to", ToString(link)},
               {"why", answered.has_value() ? "the answer cannot be decoded"
                                            : answered.error().message}});
        }
        on_answer(std::move(answer));
      });
}

}  // namespace gooseberryturn::direct
