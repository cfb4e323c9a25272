#ifndef GOOSEBERRYTURN_DIRECT_CALL_FORWARDER_H_
#define GOOSEBERRYTURN_DIRECT_CALL_FORWARDER_H_

#include <functional>
#include <optional>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/direct/view.h"
#include "gooseberryturn/link/channel.h"

namespace gooseberryturn::direct {

/// \brief Forwards a call of an operator or target to another control host.
/// \param link Endpoint on which that host listens for other hosts.
/// \param on_answer Receives the answer, or nothing if none arrived by
/// `deadline` or it cannot be decoded.
void ForwardCall(link::ChannelPool& channels, const Endpoint& link,
                 const HttpRequest& call, TimePoint deadline,
                 std::function<void(std::optional<ForwardedAnswer>)> on_answer);

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CALL_FORWARDER_H_
