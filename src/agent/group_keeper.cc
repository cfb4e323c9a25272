#include "gooseberryturn/agent/group_keeper.h"

#include <optional>
#include <utility>

#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::agent {

using observe::Level;
using observe::LogEvent;

GroupKeeper::GroupKeeper(boost::asio::io_context& context,
                         link::ChannelPool& channels, target::Monitor& monitor,
                         std::string host, std::uint64_t incarnation)
    : timer(context),
      channels(channels),
      monitor(monitor),
      host(std::move(host)),
      incarnation(incarnation),
      promise(kMaxDrift, Clock::now() + kLease + kMaxDrift) {}

void GroupKeeper::Start(link::Listener& listener) {
  listener.ServeMessage(
      protocol::kMemberLeasePath,
      [this](const std::shared_ptr<link::Stream>& stream,
             std::string_view payload) { this->OnAsked(stream, payload); });
  this->Tick();
}

bool GroupKeeper::IsOwnMember(const protocol::Member& member) const {
  return member.host == this->host && member.incarnation == this->incarnation;
}

bool GroupKeeper::is_leader() const noexcept {
  return !this->assigned.members.empty() &&
         this->IsOwnMember(this->assigned.members.front());
}

bool GroupKeeper::IsTargetPrepared() const {
  return this->monitor.is_ready() &&
         this->monitor.prepared_fence() == this->assigned.fence;
}

void GroupKeeper::Assign(const protocol::Group* group) {
  const std::uint64_t fence = group == nullptr ? 0 : group->fence;
  if (fence == this->assigned.fence) {
    return;
  }
  this->assigned = group == nullptr ? protocol::Group{} : *group;
  this->leaving_members.clear();
  this->held.Reset(this->assigned, this->host);
  LogEvent(Level::kInfo, "", "group_changed",
           {{"group", this->assigned.name},
            {"fence", std::to_string(fence)},
            {"leader", this->is_leader() ? "yes" : "no"}});
  this->Tick();
}

bool GroupKeeper::IsWhole(TimePoint now) const {
  return this->is_leader() && this->IsTargetPrepared() &&
         this->promise.IsFreeFor(this->assigned.fence, now) &&
         this->held.IsWhole(now);
}

bool GroupKeeper::IsAnyLeaving() const {
  return this->host_state().leaving || !this->leaving_members.empty();
}

bool GroupKeeper::IsReleased(TimePoint now) const {
  return this->assigned.fence == 0 ||
         this->released_fence == this->assigned.fence ||
         now >= this->asked_until;
}

// ------------------------------------------------------------------- leader

void GroupKeeper::Tick() {
  const TimePoint now = Clock::now();
  const bool is_free = this->assigned.fence != 0 &&
                       this->promise.IsFreeFor(this->assigned.fence, now);
  if (is_free) {
    this->monitor.Prepare(this->assigned.fence);
  }
  if (this->is_leader() && this->host_state().has_view) {
    this->AskMembers(now);
  }
  const bool is_whole = this->IsWhole(now);
  if (is_whole != this->was_whole) {
    this->was_whole = is_whole;
    LogEvent(Level::kInfo, "", is_whole ? "group_whole" : "group_not_whole",
             {{"group", this->assigned.name}});
    if (this->on_change) {
      this->on_change();
    }
  }
  this->timer.expires_after(kAskInterval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void GroupKeeper::AskMembers(TimePoint now) {
  for (const protocol::Member& member : this->assigned.members) {
    if (!this->IsOwnMember(member)) {
      this->Ask(member, now, kLease);
    }
  }
}

void GroupKeeper::Ask(const protocol::Member& member, TimePoint now,
                      Duration lease) {
  protocol::MemberLease question;
  question.group = this->assigned.name;
  question.fence = this->assigned.fence;
  question.incarnation = member.incarnation;
  question.lease_ms = std::chrono::duration_cast<Milliseconds>(lease).count();
  const std::string name = member.host;
  const std::uint64_t fence = this->assigned.fence;
  this->channels.Get(member.link)
      ->Call(
          protocol::kMemberLeasePath, protocol::Encode(question), now + kLease,
          [this, name, fence, now, lease](const Result<std::string>& result) {
            const std::optional<protocol::MemberLeaseReply> reply =
                result.has_value()
                    ? protocol::Decode<protocol::MemberLeaseReply>(*result)
                    : std::nullopt;
            if (!reply.has_value() || fence != this->assigned.fence) {
              return;
            }
            if (reply->granted) {
              this->held.RecordGrant(name, fence, now, lease);
            } else {
              this->held.RecordRefusal(name);
            }
            if (reply->leaving) {
              this->leaving_members.insert(name);
            } else {
              this->leaving_members.erase(name);
            }
          });
}

void GroupKeeper::ReleaseMembers() {
  const TimePoint now = Clock::now();
  for (const protocol::Member& member : this->assigned.members) {
    if (this->leaving_members.count(member.host) > 0) {
      this->Ask(member, now, Duration::zero());
    }
  }
}

// ------------------------------------------------------------------- member

void GroupKeeper::OnAsked(const std::shared_ptr<link::Stream>& stream,
                          std::string_view payload) {
  const std::optional<protocol::MemberLease> asked =
      protocol::Decode<protocol::MemberLease>(payload);
  if (!asked.has_value()) {
    stream->Cancel();
    return;
  }
  link::Reply(*stream, this->Decide(*asked, Clock::now()));
}

protocol::MemberLeaseReply GroupKeeper::Decide(
    const protocol::MemberLease& asked, TimePoint now) {
  const HostState state = this->host_state();
  protocol::MemberLeaseReply reply;
  reply.leaving = state.leaving;
  const bool is_current = asked.incarnation == this->incarnation &&
                          asked.group == this->assigned.name &&
                          asked.fence == this->assigned.fence;
  if (!is_current) {
    return reply;
  }
  if (asked.lease_ms == 0) {
    this->released_fence = asked.fence;
    return reply;
  }
  const Duration length = Milliseconds(asked.lease_ms);
  const bool is_fit = state.has_view && this->IsTargetPrepared() &&
                      this->released_fence != asked.fence;
  reply.granted = is_fit && this->promise.Grant(asked.fence, length, now);
  if (reply.granted) {
    this->asked_until = now + length + kMaxDrift;
  }
  return reply;
}

}  // namespace gooseberryturn::agent
