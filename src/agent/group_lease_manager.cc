#include "gooseberryturn/agent/group_lease_manager.h"

#include <optional>
#include <utility>

#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::agent {

using observe::Level;
using observe::LogEvent;

GroupLeaseManager::GroupLeaseManager(boost::asio::io_context& context,
                                     link::ChannelPool& channels,
                                     target::Monitor& monitor, std::string host,
                                     std::uint64_t incarnation)
    : timer(context),
      channels(channels),
      monitor(monitor),
      host(std::move(host)),
      incarnation(incarnation),
      lease_grantor(kMaxClockDrift,
                    Clock::now() + kLeaseDuration + kMaxClockDrift) {}

void GroupLeaseManager::Start(link::Listener& listener) {
  listener.ServeMessage(protocol::kMemberLeasePath,
                        [this](const std::shared_ptr<link::Stream>& stream,
                               std::string_view payload) {
                          this->OnLeaseRequest(stream, payload);
                        });
  this->Tick();
}

bool GroupLeaseManager::IsSelf(const protocol::Member& member) const {
  return member.host == this->host && member.incarnation == this->incarnation;
}

bool GroupLeaseManager::is_leader() const noexcept {
  return !this->assignment.members.empty() &&
         this->IsSelf(this->assignment.members.front());
}

bool GroupLeaseManager::IsTargetPrepared() const {
  return this->monitor.is_ready() &&
         this->monitor.prepared_fence() == this->assignment.fence;
}

void GroupLeaseManager::Assign(const protocol::Group* group) {
  const std::uint64_t fence = group == nullptr ? 0 : group->fence;
  if (fence == this->assignment.fence) {
    return;
  }
  this->assignment = group == nullptr ? protocol::Group{} : *group;
  this->leaving_members.clear();
  this->member_leases.Reset(this->assignment, this->host);
  LogEvent(Level::kInfo, "", "group_changed",
           {{"group", this->assignment.name},
            {"fence", std::to_string(fence)},
            {"leader", this->is_leader() ? "yes" : "no"}});
  this->Tick();
}

bool GroupLeaseManager::IsWhole(TimePoint now) const {
  return this->is_leader() && this->IsTargetPrepared() &&
         this->lease_grantor.IsFreeFor(this->assignment.fence, now) &&
         this->member_leases.IsWhole(now);
}

bool GroupLeaseManager::IsAnyLeaving() const {
  return this->host_state().leaving || !this->leaving_members.empty();
}

bool GroupLeaseManager::IsReleased(TimePoint now) const {
  return this->assignment.fence == 0 ||
         this->released_fence == this->assignment.fence ||
         now >= this->granted_until;
}

// ------------------------------------------------------------------- leader

void GroupLeaseManager::Tick() {
  const TimePoint now = Clock::now();
  const bool is_free =
      this->assignment.fence != 0 &&
      this->lease_grantor.IsFreeFor(this->assignment.fence, now);
  if (is_free) {
    this->monitor.Prepare(this->assignment.fence);
  }
  if (this->is_leader() && this->host_state().has_view) {
    this->RequestLeases(now);
  }
  const bool is_whole = this->IsWhole(now);
  if (is_whole != this->was_whole) {
    this->was_whole = is_whole;
    LogEvent(Level::kInfo, "", is_whole ? "group_whole" : "group_not_whole",
             {{"group", this->assignment.name}});
    if (this->on_change) {
      this->on_change();
    }
  }
  this->timer.expires_after(kRenewInterval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void GroupLeaseManager::RequestLeases(TimePoint now) {
  for (const protocol::Member& member : this->assignment.members) {
    if (!this->IsSelf(member)) {
      this->RequestLease(member, now, kLeaseDuration);
    }
  }
}

void GroupLeaseManager::RequestLease(const protocol::Member& member,
                                     TimePoint now, Duration lease) {
  protocol::MemberLease request;
  request.group = this->assignment.name;
  request.fence = this->assignment.fence;
  request.incarnation = member.incarnation;
  request.lease_ms = std::chrono::duration_cast<Milliseconds>(lease).count();
  const std::string name = member.host;
  const std::uint64_t fence = this->assignment.fence;
  this->channels.Get(member.link)
      ->Call(
          protocol::kMemberLeasePath, protocol::Encode(request),
          now + kLeaseDuration,
          [this, name, fence, now, lease](const Result<std::string>& result) {
            const std::optional<protocol::MemberLeaseReply> reply =
                result.has_value()
                    ? protocol::Decode<protocol::MemberLeaseReply>(*result)
                    : std::nullopt;
            if (!reply.has_value() || fence != this->assignment.fence) {
              return;
            }
            if (reply->granted) {
              this->member_leases.RecordGrant(name, fence, now, lease);
            } else {
              this->member_leases.RecordRefusal(name);
            }
            if (reply->leaving) {
              this->leaving_members.insert(name);
            } else {
              this->leaving_members.erase(name);
            }
          });
}

void GroupLeaseManager::ReleaseMembers() {
  const TimePoint now = Clock::now();
  for (const protocol::Member& member : this->assignment.members) {
    if (this->leaving_members.count(member.host) > 0) {
      this->RequestLease(member, now, Duration::zero());
    }
  }
}

// ------------------------------------------------------------------- member

void GroupLeaseManager::OnLeaseRequest(
    const std::shared_ptr<link::Stream>& stream, std::string_view payload) {
  const std::optional<protocol::MemberLease> request =
      protocol::Decode<protocol::MemberLease>(payload);
  if (!request.has_value()) {
    stream->Cancel();
    return;
  }
  link::Reply(*stream, this->HandleLeaseRequest(*request, Clock::now()));
}

protocol::MemberLeaseReply GroupLeaseManager::HandleLeaseRequest(
    const protocol::MemberLease& request, TimePoint now) {
  const HostState state = this->host_state();
  protocol::MemberLeaseReply reply;
  reply.leaving = state.leaving;
  const bool is_current = request.incarnation == this->incarnation &&
                          request.group == this->assignment.name &&
                          request.fence == this->assignment.fence;
  if (!is_current) {
    return reply;
  }
  if (request.lease_ms == 0) {
    this->released_fence = request.fence;
    return reply;
  }
  const Duration duration = Milliseconds(request.lease_ms);
  const bool can_grant = state.has_view && this->IsTargetPrepared() &&
                         this->released_fence != request.fence;
  reply.granted =
      can_grant && this->lease_grantor.Grant(request.fence, duration, now);
  if (reply.granted) {
    this->granted_until = now + duration + kMaxClockDrift;
  }
  return reply;
}

}  // namespace gooseberryturn::agent
