#include "gooseberryturn/direct/pending_calls.h"

#include <utility>
#include <vector>

namespace gooseberryturn::direct {

AsyncHttpServer::Reply PendingCalls::Add(AsyncHttpServer::Reply reply,
                                         TimePoint deadline) {
  const std::uint64_t call = this->next_call++;
  const auto is_awaited = [reply] { return reply.IsAwaited(); };
  this->calls[call] = {std::move(reply), deadline};
  return {[this, call](HttpResponse response) {
            this->Answer(call, std::move(response));
          },
          is_awaited};
}

std::size_t PendingCalls::Expire(TimePoint now, const HttpResponse& response) {
  std::vector<std::uint64_t> expired;
  for (const std::pair<const std::uint64_t, Call>& entry : this->calls) {
    if (now >= entry.second.deadline) {
      expired.push_back(entry.first);
    }
  }
  for (const std::uint64_t call : expired) {
    this->Answer(call, response);
  }
  return expired.size();
}

void PendingCalls::Answer(std::uint64_t call, HttpResponse response) {
  const auto found = this->calls.find(call);
  if (found == this->calls.end()) {
    return;
  }
  const AsyncHttpServer::Reply reply = std::move(found->second.reply);
  this->calls.erase(found);
  reply(std::move(response));
}

}  // namespace gooseberryturn::direct
