#include "gooseberryturn/control/view_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::control {

ViewClient::ViewClient(boost::asio::io_context& context,
                       link::ChannelPool& channels,
                       std::vector<Endpoint> control, protocol::Renew self,
                       Duration grace, observe::Metrics& metrics)
    : timer(context),
      channels(channels),
      control(std::move(control)),
      self(std::move(self)),
      view_lease(grace),
      metrics(metrics),
      random(RandomId()) {
  std::uniform_int_distribution<std::size_t> pick(0, this->control.size() - 1);
  this->leader_index = pick(this->random);
}

void ViewClient::Start() { this->Renew(); }

void ViewClient::RenewNow() { this->Renew(); }

void ViewClient::RenewAfter(Duration pause) {
  // Random jitter keeps the hosts of a fleet from renewing all at once.
  std::uniform_int_distribution<Duration::rep> jitter(0, pause.count() / 2 + 1);
  this->timer.expires_after(pause + Duration(jitter(this->random)));
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Renew();
    }
  });
}

void ViewClient::Renew() {
  this->timer.cancel();
  this->self.known_index = this->current.index;
  if (this->make_report) {
    this->self.report = this->make_report();
  }
  this->last_call += 1;
  const std::uint64_t call = this->last_call;
  const TimePoint sent_at = Clock::now();
  std::string message = protocol::Encode(this->self);
  this->metrics.Add(observe::Metric::kRenewals);
  this->metrics.Add(observe::Metric::kRenewBytes,
                    static_cast<std::int64_t>(message.size()));
  this->CallLeader(protocol::kRenewPath, std::move(message),
                   sent_at + kCallTimeout,
                   [this, call, sent_at](const Result<std::string>& result) {
                     this->OnReply(call, sent_at, result);
                   });
}

void ViewClient::CallLeader(const std::string& path, std::string message,
                            TimePoint deadline,
                            link::Channel::OnReply on_reply) {
  this->channels.Get(this->control[this->leader_index])
      ->Call(path, std::move(message), deadline, std::move(on_reply));
}

void ViewClient::TryNextControlHost() {
  this->leader_index = (this->leader_index + 1) % this->control.size();
}

void ViewClient::FollowHint(const std::string& hint) {
  for (std::size_t index = 0; index < this->control.size(); ++index) {
    if (ToString(this->control[index]) == hint) {
      this->leader_index = index;
      return;
    }
  }
  this->TryNextControlHost();
}

void ViewClient::OnReply(std::uint64_t call, TimePoint sent_at,
                         const Result<std::string>& result) {
  const std::optional<protocol::RenewReply> reply =
      result.has_value() ? protocol::Decode<protocol::RenewReply>(*result)
                         : std::nullopt;
  const bool is_newest = call == this->last_call;
  if (reply.has_value() && reply->granted) {
    this->metrics.Add(observe::Metric::kRenewBytes,
                      static_cast<std::int64_t>(result->size()));
    const bool is_changed = this->ApplyReply(*reply, sent_at);
    if (is_changed && this->on_change) {
      this->on_change();
    }
    if (is_newest) {
      this->Renew();
    }
    return;
  }
  if (!is_newest) {
    return;
  }
  if (reply.has_value()) {
    this->FollowHint(reply->leader_hint);
  } else {
    this->TryNextControlHost();
  }
  this->RenewAfter(kRetryPause);
}

bool ViewClient::ApplyReply(const protocol::RenewReply& reply,
                            TimePoint sent_at) {
  const std::uint64_t previous_index = this->current.index;
  const bool is_current = reply.delta.to >= previous_index;
  if (!is_current || !protocol::ApplyDelta(reply.delta, this->current)) {
    return false;
  }
  const bool was_drain_requested = this->drain_requested;
  this->drain_requested = reply.drain;
  this->entry_count = std::max<std::int64_t>(1, reply.entries);
  this->view_lease.RecordRenewal(sent_at, Milliseconds(reply.lease_ms));
  this->metrics.Set(observe::Metric::kViewIndex,
                    static_cast<std::int64_t>(this->current.index));
  return this->current.index != previous_index ||
         this->drain_requested != was_drain_requested;
}

}  // namespace gooseberryturn::control
