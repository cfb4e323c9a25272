#include "gooseberryturn/control/server.h"

#include <chrono>
#include <optional>
#include <utility>

#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::control {

using observe::Level;
using observe::LogEvent;

namespace {

Viewer ViewerOf(const protocol::Renew& renew) {
  return {renew.role, renew.host, renew.report.service, renew.data_centre};
}

}  // namespace

std::int64_t WallClockMs() {
  const std::chrono::system_clock::duration since_epoch =
      std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(since_epoch).count();
}

Server::Server(boost::asio::io_context& context,
               const config::ControlSettings& settings, Replica& replica,
               observe::Metrics& metrics)
    : timer(context),
      replica(replica),
      metrics(metrics),
      view_lease(Milliseconds(settings.view_lease_ms)),
      placement_policy(settings.placement),
      host_registry(Milliseconds(settings.view_lease_ms) +
                    Milliseconds(settings.max_clock_drift_ms)) {}

void Server::Start(link::Listener& listener) {
  const auto serve = [this, &listener](const char* path, auto method) {
    listener.ServeMessage(
        path, [this, method](const std::shared_ptr<link::Stream>& stream,
                             std::string_view payload) {
          (this->*method)(stream, payload);
        });
  };
  serve(protocol::kRenewPath, &Server::OnRenew);
  serve(protocol::kClaimPath, &Server::OnClaim);
  serve(protocol::kSettlePath, &Server::OnSettle);
  serve(protocol::kDeathPath, &Server::OnDeathReport);
  this->replica.on_become_leader = [this] {
    this->host_registry.StartLeading(Clock::now());
  };
  this->replica.on_applied = [this] { this->AnswerOutdated(); };
  this->Tick();
}

std::string Server::LeaderHint() const {
  const consensus::Peer* leader = this->replica.Leader();
  return leader == nullptr ? std::string() : ToString(leader->link);
}

// -------------------------------------------------------------------- views

void Server::OnRenew(const std::shared_ptr<link::Stream>& stream,
                     std::string_view payload) {
  const std::optional<protocol::Renew> renew =
      protocol::Decode<protocol::Renew>(payload);
  if (!renew.has_value()) {
    stream->Cancel();
    return;
  }
  const TimePoint now = Clock::now();
  HeldRenewal renewal = {stream, *renew, now + kMaxHold};
  if (!this->replica.HasLease(now)) {
    this->AnswerRenewal(renewal);
    return;
  }
  this->host_registry.RecordRenewal(
      *renew, this->replica.state().ReleaseIndex(renew->host), now);
  const bool is_current =
      renew->known_index != 0 &&
      renew->known_index >= this->replica.state().view_index();
  if (is_current) {
    this->held_renewals.push_back(std::move(renewal));
  } else {
    this->AnswerRenewal(renewal);
  }
}

void Server::AnswerRenewal(const HeldRenewal& renewal) {
  const TimePoint now = Clock::now();
  protocol::RenewReply reply;
  reply.granted = this->replica.HasLease(now);
  if (reply.granted) {
    // The holder counts its lease from when it sent the renewal, the leader
    // from now on: the lease expires at the holder first.
    this->host_registry.RecordGrant(renewal.renew.host, now);
    reply.lease_ms =
        std::chrono::duration_cast<Milliseconds>(this->view_lease).count();
    reply.entries = this->host_registry.LiveEntryCount(now);
    reply.drain =
        this->replica.state().drained_hosts().count(renewal.renew.host) > 0;
    reply.delta = this->replica.state().DeltaSince(renewal.renew.known_index,
                                                   ViewerOf(renewal.renew));
  } else {
    reply.leader_hint = this->LeaderHint();
  }
  const std::string bytes = protocol::Encode(reply);
  this->metrics.Add(observe::Metric::kRenewals);
  this->metrics.Add(observe::Metric::kRenewBytes,
                    static_cast<std::int64_t>(bytes.size()));
  renewal.stream->Send(
      protocol::EncodeFrame(protocol::FrameType::kMessage, bytes));
  renewal.stream->Finish();
}

void Server::AnswerOutdated() {
  const std::uint64_t view_index = this->replica.state().view_index();
  for (auto renewal = this->held_renewals.begin();
       renewal != this->held_renewals.end();) {
    if (renewal->renew.known_index < view_index) {
      this->AnswerRenewal(*renewal);
      renewal = this->held_renewals.erase(renewal);
    } else {
      ++renewal;
    }
  }
}

// ------------------------------------------------------------------- claims

void Server::OnClaim(const std::shared_ptr<link::Stream>& stream,
                     std::string_view payload) {
  const std::optional<protocol::Claim> claim =
      protocol::Decode<protocol::Claim>(payload);
  if (!claim.has_value()) {
    stream->Cancel();
    return;
  }
  this->replica.Propose(
      CommandKind::kClaim, ClaimKey{*claim, WallClockMs()},
      [stream](const Result<CommandResult>& result) {
        if (result.has_value()) {
          link::Reply(*stream, result->claim);
        } else if (result.error().outcome == Outcome::kNotRun) {
          link::Reply(*stream, protocol::ClaimReply{});
        } else {
          stream->Cancel();
        }
      });
}

void Server::OnSettle(const std::shared_ptr<link::Stream>& stream,
                      std::string_view payload) {
  const std::optional<protocol::Settle> settle =
      protocol::Decode<protocol::Settle>(payload);
  if (!settle.has_value()) {
    stream->Cancel();
    return;
  }
  this->replica.Propose(
      CommandKind::kSettle, SettleKey{*settle, WallClockMs()},
      [stream](const Result<CommandResult>& result) {
        if (result.has_value()) {
          link::Reply(*stream, result->settle);
        } else if (result.error().outcome == Outcome::kNotRun) {
          link::Reply(*stream, protocol::SettleReply{});
        } else {
          stream->Cancel();
        }
      });
}

void Server::OnDeathReport(const std::shared_ptr<link::Stream>& stream,
                           std::string_view payload) {
  const std::optional<ReportDeath> report =
      protocol::Decode<ReportDeath>(payload);
  if (!report.has_value()) {
    stream->Cancel();
    return;
  }
  this->replica.Propose(CommandKind::kReportDeath, *report,
                        [stream](const Result<CommandResult>& result) {
                          protocol::SettleReply reply;
                          reply.accepted = result.has_value();
                          reply.is_leader = result.has_value();
                          link::Reply(*stream, reply);
                        });
}

// ----------------------------------------------------------------- planning

void Server::Tick() {
  const TimePoint now = Clock::now();
  for (auto renewal = this->held_renewals.begin();
       renewal != this->held_renewals.end();) {
    const bool is_due = now >= renewal->answer_at;
    if (is_due && !renewal->stream->is_closed()) {
      this->AnswerRenewal(*renewal);
    }
    renewal = is_due ? this->held_renewals.erase(renewal) : std::next(renewal);
  }
  this->CheckInForce(now);
  if (now >= this->next_plan_at) {
    this->next_plan_at = now + kMinPlanInterval;
    this->PlanGroups(now);
  }
  this->timer.expires_after(Replica::kTickInterval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void Server::PlanGroups(TimePoint now) {
  this->metrics.Set(
      observe::Metric::kGroups,
      static_cast<std::int64_t>(this->replica.state().groups().slots.size()));
  this->metrics.Set(
      observe::Metric::kClaims,
      static_cast<std::int64_t>(this->replica.state().claims().size()));
  const bool may_plan = this->replica.HasLease(now) &&
                        this->host_registry.OldLeasesExpired(now) &&
                        this->pending_group_changes == 0;
  const std::uint64_t view_index = this->replica.state().view_index();
  const bool is_due = may_plan && (this->host_registry.TakeChange(now) ||
                                   view_index != this->planned_view_index ||
                                   now >= this->forced_plan_at);
  if (!is_due) {
    return;
  }
  this->planned_view_index = view_index;
  this->forced_plan_at = now + kMaxPlanInterval;
  this->host_registry.RemoveStale(now);
  const placement::Inventory inventory =
      this->host_registry.BuildInventory(this->replica.state(), now);
  for (const placement::GroupChange& change :
       placement::Plan(inventory, this->placement_policy)) {
    this->ProposeGroupChange(change);
  }
}

void Server::ProposeGroupChange(const placement::GroupChange& change) {
  this->pending_group_changes += 1;
  const std::string group = change.group.name;
  const std::size_t members = change.group.members.size();
  const Replica::OnApplied on_applied =
      [this, group, members](const Result<CommandResult>& result) {
        this->pending_group_changes -= 1;
        const bool is_done = result.has_value() && result->change.accepted;
        LogEvent(is_done ? Level::kInfo : Level::kWarn, "",
                 members == 0 ? "group_removed" : "group_assigned",
                 {{"group", group},
                  {"members", std::to_string(members)},
                  {"accepted", is_done ? "yes" : "no"}});
      };
  if (members == 0) {
    this->replica.Propose(CommandKind::kRemoveGroup,
                          RemoveGroup{group, change.replaces}, on_applied);
  } else {
    this->replica.Propose(CommandKind::kAssignGroup,
                          AssignGroup{change.group, change.replaces},
                          on_applied);
  }
}

// ----------------------------------------------------------------- in force

void Server::WhenInForce(
    std::uint64_t index, TimePoint deadline,
    std::function<void(const std::vector<std::string>&)> on_done) {
  this->pending_changes.push_back({index, deadline, std::move(on_done)});
  this->CheckInForce(Clock::now());
}

void Server::CheckInForce(TimePoint now) {
  for (auto change = this->pending_changes.begin();
       change != this->pending_changes.end();) {
    const std::vector<std::string> behind =
        this->host_registry.HostsBehind(change->index, now);
    const bool is_done =
        behind.empty() && this->host_registry.OldLeasesExpired(now);
    if (!is_done && now < change->deadline) {
      ++change;
      continue;
    }
    change->on_done(behind);
    change = this->pending_changes.erase(change);
  }
}

}  // namespace gooseberryturn::control
