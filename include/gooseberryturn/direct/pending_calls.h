#ifndef GOOSEBERRYTURN_DIRECT_PENDING_CALLS_H_
#define GOOSEBERRYTURN_DIRECT_PENDING_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/async_http.h"

namespace gooseberryturn::direct {

/// \brief The calls that a host has accepted and not answered yet.
///
/// \details Each call is answered once: by its handler or, when its deadline
/// passes first, by Expire. An answer that comes later is dropped.
class PendingCalls {
 public:
  /// \brief Adds a call.
  /// \returns The reply to hand to the call's handler; it must not be called
  /// after this object was destroyed.
  [[nodiscard]] AsyncHttpServer::Reply Add(AsyncHttpServer::Reply reply,
                                           TimePoint deadline);
  /// \brief Answers every call whose deadline has passed with `response`.
  /// \returns Their number.
  std::size_t Expire(TimePoint now, const HttpResponse& response);
  [[nodiscard]] bool is_empty() const noexcept { return this->calls.empty(); }

 private:
  struct Call {
    AsyncHttpServer::Reply reply;
    TimePoint deadline;
  };

  /// Answers a call unless it was answered before.
  void Answer(std::uint64_t call, HttpResponse response);

  std::map<std::uint64_t, Call> calls;
  std::uint64_t next_call = 1;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_PENDING_CALLS_H_
