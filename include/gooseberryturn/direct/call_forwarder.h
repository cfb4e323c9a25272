#ifndef GOOSEBERRYTURN_DIRECT_CALL_FORWARDER_H_
#define GOOSEBERRYTURN_DIRECT_CALL_FORWARDER_H_

#include <functional>
#include <optional>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/async_http.h"
#include "gooseberryturn/direct/dialect.h"
#include "gooseberryturn/direct/view.h"
#include "gooseberryturn/link/channel.h"

namespace gooseberryturn::direct {

/// \brief Receives the answer to a forwarded call, or nothing if none arrived
/// in time or it cannot be decoded.
using OnForwarded = std::function<void(std::optional<ForwardedAnswer>)>;
/// \brief Forwards a call to the leader.
using ForwardHook = std::function<void(const ForwardedCall&, OnForwarded)>;

/// \brief The message that asks the leader to execute `call`.
[[nodiscard]] ForwardedCall ToForwarded(const HttpRequest& call);

/// \brief Forwards a call of an operator or target to another control host.
/// \param link Endpoint on which that host listens for other hosts.
void ForwardCall(link::ChannelPool& channels, const Endpoint& link,
                 const ForwardedCall& call, TimePoint deadline,
                 OnForwarded on_answer);

/// \brief True for an order that would undo a later one if it took effect after
/// it: it has no version that tells which is the later one.
[[nodiscard]] bool IsOrder(const Dialect& dialect, const HttpRequest& call);

/// \brief Forwards an order, unless its caller has given up.
///
/// \details A call may stand still anywhere on its way while its caller sends
/// the order again through another host and then a later one. So the revision
/// of what the order changes is read after the call has come, then it is
/// checked that the caller still waits, and the order names that revision:
/// whenever it arrives, it changes nothing that a later order has changed.
/// \param reply Tells whether the caller waits; not called.
/// \param on_late Called instead of `on_answer` when the caller has given up or
/// `deadline` has passed.
void ForwardOrder(const HttpRequest& call, const AsyncHttpServer::Reply& reply,
                  TimePoint deadline, const ForwardHook& forward,
                  OnForwarded on_answer, std::function<void()> on_late);

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_CALL_FORWARDER_H_
