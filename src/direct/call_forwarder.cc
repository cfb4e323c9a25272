#include "gooseberryturn/direct/call_forwarder.h"

#include <string>
#include <utility>

#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

void ForwardCall(
    link::ChannelPool& channels, const Endpoint& link, const HttpRequest& call,
    TimePoint deadline,
    std::function<void(std::optional<ForwardedAnswer>)> on_answer) {
  const ForwardedCall forwarded = {call.method, call.path, call.body};
  channels.Get(link)->Call(
      kCallPath, protocol::Encode(forwarded), deadline,
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
