#include "gooseberryturn/direct/follow_client.h"

#include <algorithm>
#include <optional>
#include <utility>

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
  this->is_trying = false;
  this->timer.cancel();
  this->attempt_number += 1;
  this->has_update = false;
  const std::shared_ptr<link::Stream> old = std::exchange(this->stream, {});
  if (old != nullptr) {
    old->Cancel();
  }
}

void FollowClient::SetControlHosts(const std::vector<Endpoint>& next) {
  for (const Endpoint& host : next) {
    if (std::find(this->hosts.begin(), this->hosts.end(), host) ==
        this->hosts.end()) {
      this->hosts.push_back(host);
    }
  }
}

bool FollowClient::Send(const EntryReport& report) {
  if (this->stream == nullptr || !this->has_update) {
    return false;
  }
  this->stream->Send(protocol::EncodeFrame(protocol::FrameType::kMessage,
                                           protocol::Encode(report)));
  return true;
}

void FollowClient::Open() {
  this->attempt_number += 1;
  this->is_trying = true;
  if (!this->has_hint) {
    this->current = this->hosts[this->next_host % this->hosts.size()];
    this->next_host += 1;
  }
  this->has_hint = false;
  const TimePoint now = Clock::now();
  this->silence_at = now + kOpenLimit;
  this->channels.Get(this->current)
      ->Open(kFollowPath, [this, attempt = this->attempt_number](
                              Result<std::shared_ptr<link::Stream>> opened) {
        if (opened.has_value()) {
          this->Opened(attempt, *opened);
        } else if (attempt == this->attempt_number) {
          this->Lose(opened.error().message, false);
        }
      });
}

void FollowClient::Opened(std::uint64_t attempt,
                          std::shared_ptr<link::Stream> opened) {
  if (attempt != this->attempt_number || !this->is_running) {
    opened->Cancel();
    return;
  }
  this->stream = std::move(opened);
  this->stream->on_frame = [this, attempt](protocol::FrameType /*type*/,
                                           std::string_view payload) {
    if (attempt == this->attempt_number) {
      this->Take(payload);
    }
  };
  this->stream->on_close = [this, attempt](link::CloseReason reason) {
    if (attempt == this->attempt_number) {
      this->Lose(std::string(link::kCloseReasonNames.Name(reason)), false);
    }
  };
  this->stream->Send(protocol::EncodeFrame(
      protocol::FrameType::kMessage, protocol::Encode(this->make_hello())));
}

void FollowClient::Take(std::string_view payload) {
  const std::optional<FleetUpdate> update =
      protocol::Decode<FleetUpdate>(payload);
  if (!update.has_value()) {
    this->Lose("an update that cannot be read", false);
    return;
  }
  if (!update->is_leader) {
    this->has_hint = update->leader.port != 0;
    if (this->has_hint) {
      this->current = update->leader;
    }
    this->Lose("not the leader", false);
    return;
  }
  const TimePoint now = Clock::now();
  this->has_update = true;
  this->last_heard = now;
  this->silence_at = now + kSilenceLimit;
  this->SetControlHosts(update->control_hosts);
  this->on_update(*update);
}

void FollowClient::Lose(const std::string& why, bool is_silent) {
  const bool was_followed = std::exchange(this->has_update, false);
  this->is_trying = false;
  this->attempt_number += 1;
  const Endpoint lost = this->current;
  const std::shared_ptr<link::Stream> old = std::exchange(this->stream, {});
  this->retry_at = Clock::now() + (is_silent ? Duration(0) : kRetryPause);
  if (old != nullptr) {
    old->on_close = nullptr;
    old->on_frame = nullptr;
    old->Cancel();
  }
  if (is_silent) {
    // The connection may be silent for good; a new one may work.
    this->channels.Get(lost)->Close();
  }
  if (was_followed && this->on_lost) {
    this->on_lost(ToString(lost) + ": " + why);
  }
}

void FollowClient::Tick() {
  if (!this->is_running) {
    return;
  }
  const TimePoint now = Clock::now();
  if (!this->is_trying && now >= this->retry_at) {
    this->Open();
  } else if (this->is_trying && now >= this->silence_at) {
    this->Lose("silent", true);
  }
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

}  // namespace gooseberryturn::direct
