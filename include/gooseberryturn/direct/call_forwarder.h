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

/// \brief Passes a call of an operator or target on to another control host.
/// \param link Where that host listens for other hosts.
/// \param on_answer Gets its answer, or nothing when none came by `deadline`
/// or it cannot be read.
void ForwardCall(link::ChannelPool& channels, const Endpoint& link,
                 const HttpRequest& call, TimePoint deadline,
                 std::function<void(std::optional<ForwardedAnswer>)> on_answer);

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CALL_FORWARDER_H_
