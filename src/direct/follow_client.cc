#include "gooseberryturn/direct/follow_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "gooseberryturn/core/compression.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

FollowClient::FollowClient(boost::asio::io_context& context,
                           link::ChannelPool& channels,
                           std::vector<Endpoint> control_hosts)
    : channels(channels), timer(context), hosts(std::move(control_hosts)) {}

void FollowClient::Start() {
  if (this->is_running || this->hosts.empty()) {
    return;
  }
  this->is_running = true;
  this->Tick();
}

void FollowClient::Stop() {
  this->is_running = false;
  this->is_active = false;
  this->timer.cancel();
  this->attempt_number += 1;
  this->is_following = false;
  const std::shared_ptr<link::Stream> old = std::exchange(this->stream, {});
  if (old != nullptr) {
    old->Cancel();
  }
}

void FollowClient::AddControlHosts(const std::vector<Endpoint>& next) {
  for (const Endpoint& host : next) {
    if (std::find(this->hosts.begin(), this->hosts.end(), host) ==
        this->hosts.end()) {
      this->hosts.push_back(host);
    }
  }
}

bool FollowClient::Send(const EntryReport& report) {
  if (this->stream == nullptr || !this->is_following) {
    return false;
  }
  this->stream->Send(protocol::EncodeFrame(protocol::FrameType::kMessage,
                                           protocol::Encode(report)));
  return true;
}

void FollowClient::Open() {
  this->attempt_number += 1;
  this->is_active = true;
  if (!this->has_leader_hint) {
    this->current = this->hosts[this->next_host % this->hosts.size()];
    this->next_host += 1;
  }
  this->has_leader_hint = false;
  const TimePoint now = Clock::now();
  this->silence_deadline = now + kOpenTimeout;
  this->channels.Get(this->current)
      ->Open(kFollowPath, [this, attempt = this->attempt_number](
                              Result<std::shared_ptr<link::Stream>> opened) {
        if (opened.has_value()) {
          this->OnOpened(attempt, *opened);
        } else if (attempt == this->attempt_number) {
          this->Disconnect(opened.error().message, false);
        }
      });
}

void FollowClient::OnOpened(std::uint64_t attempt,
                            std::shared_ptr<link::Stream> opened) {
  if (attempt != this->attempt_number || !this->is_running) {
    opened->Cancel();
    return;
  }
  this->stream = std::move(opened);
  this->stream->on_frame = [this, attempt](protocol::FrameType /*type*/,
                                           std::string_view payload) {
    if (attempt == this->attempt_number) {
      this->HandleUpdate(payload);
    }
  };
  this->stream->on_close = [this, attempt](link::CloseReason reason) {
    if (attempt == this->attempt_number) {
      this->Disconnect(std::string(link::kCloseReasonNames.Name(reason)),
                       false);
    }
  };
  this->stream->Send(protocol::EncodeFrame(
      protocol::FrameType::kMessage, protocol::Encode(this->make_hello())));
}

void FollowClient::HandleUpdate(std::string_view payload) {
  Result<std::string> expanded;
  if (IsCompressed(payload)) {
    expanded = Decompress(payload, protocol::kMaxFrameBytes);
  }
  const std::optional<FleetUpdate> update =
      expanded.has_value() ? protocol::Decode<FleetUpdate>(
                                 expanded->empty() ? payload : *expanded)
                           : std::nullopt;
  if (!update.has_value()) {
    this->Disconnect("an update cannot be decoded", false);
    return;
  }
  if (!update->is_leader) {
    this->has_leader_hint = update->leader.port != 0;
    if (this->has_leader_hint) {
      this->current = update->leader;
    }
    this->Disconnect("not the leader", false);
    return;
  }
  const TimePoint now = Clock::now();
  this->is_following = true;
  this->last_heard = now;
  this->silence_deadline = now + kSilenceTimeout;
  this->AddControlHosts(update->control_hosts);
  if (!this->on_update(*update)) {
    this->Disconnect("an update cannot be applied", false);
  }
}

void FollowClient::Disconnect(const std::string& why, bool is_silent) {
  const bool was_following = std::exchange(this->is_following, false);
  this->is_active = false;
  this->attempt_number += 1;
  const Endpoint lost = this->current;
  const std::shared_ptr<link::Stream> old = std::exchange(this->stream, {});
  this->retry_at = Clock::now() + (is_silent ? Duration(0) : kRetryDelay);
  if (old != nullptr) {
    old->on_close = nullptr;
    old->on_frame = nullptr;
    old->Cancel();
  }
  if (is_silent) {
    // The connection may be dead without an error; a new one may work.
    this->channels.Get(lost)->Close();
  }
  if (was_following && this->on_lost) {
    this->on_lost(ToString(lost) + ": " + why);
  }
}

void FollowClient::Tick() {
  if (!this->is_running) {
    return;
  }
  const TimePoint now = Clock::now();
  if (!this->is_active && now >= this->retry_at) {
    this->Open();
  } else if (this->is_active && now >= this->silence_deadline) {
    this->Disconnect("silent", true);
  }
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

}  // namespace gooseberryturn::direct
