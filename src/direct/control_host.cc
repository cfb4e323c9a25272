#include "gooseberryturn/direct/control_host.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <map>
#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/observe/log.h"
#include "gooseberryturn/protocol/codec.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

constexpr int kOk = 200;

/// Id of an initial voter. Derived from its address, so that all control hosts
/// compute the same one: 15 hexadecimal digits of the digest, 60 bits, with the
/// lowest bit set so that the id is never 0, which stands for no node.
consensus::NodeId InitialVoterId(const Endpoint& control) {
  const std::string digest = Digest(ToString(control));
  return std::stoull(digest.substr(0, 15), nullptr, 16) | 1U;
}

}  // namespace

ControlHost::ControlHost(boost::asio::io_context& context,
                         HostSettings settings, Dialect dialect,
                         observe::Metrics& metrics)
    : context(context),
      timer(context),
      settings(std::move(settings)),
      dialect(std::move(dialect)),
      metrics(metrics),
      channels(context),
      listener(context),
      server(context,
             [this](HttpRequest call, AsyncHttpServer::Reply reply) {
               this->OnCall(std::move(call), std::move(reply));
             }),
      capacity_merger([this](const std::string& target, std::int64_t start_ms) {
        const TargetRecord* record = this->registry.Find(target);
        return record != nullptr && record->view.start_time_ms == start_ms;
      }) {}

// -------------------------------------------------------------------- start

consensus::Membership ControlHost::InitialMembership() const {
  consensus::Membership membership;
  for (const Endpoint& control : this->settings.control_hosts) {
    membership.peers.push_back({InitialVoterId(control),
                                this->settings.LinkOf(control), control, true,
                                0});
  }
  return membership;
}

Result<std::unique_ptr<consensus::Driver>> ControlHost::OpenLog() {
  const bool is_initial_voter = this->settings.is_first_start &&
                                std::find(this->settings.control_hosts.begin(),
                                          this->settings.control_hosts.end(),
                                          *this->settings.control_endpoint) !=
                                    this->settings.control_hosts.end();
  const consensus::NodeId id_if_new =
      is_initial_voter ? InitialVoterId(*this->settings.control_endpoint)
                       : RandomId();
  consensus::Snapshot initial;
  if (is_initial_voter) {
    initial.membership = this->InitialMembership();
  }
  Result<consensus::Storage> storage = consensus::Storage::OpenAny(
      this->settings.data_folder, id_if_new, initial);
  if (!storage.has_value()) {
    return tl::make_unexpected(storage.error());
  }
  this->id = storage->identity().id;
  this->disk_id = storage->identity().disk_id;
  Result<consensus::PersistentState> stored = storage->Load();
  if (!stored.has_value()) {
    return tl::make_unexpected(stored.error());
  }
  LogEvent(Level::kInfo, "", "log_opened",
           {{"id", std::to_string(this->id)},
            {"is_new", storage->is_new() ? "true" : "false"},
            {"last_index",
             std::to_string(stored->snapshot.index + stored->entries.size())},
            {"term", std::to_string(stored->hard_state.term)}});
  consensus::Options options;
  options.id = this->id;
  options.disk_id = this->disk_id;
  options.seed = RandomId();
  options.election_timeout_min = kElectionTimeoutMin;
  options.election_timeout_max = kElectionTimeoutMax;
  consensus::Node node(options, std::move(*stored), Clock::now());
  consensus::StateMachine machine;
  machine.apply = [this](const consensus::Entry& entry) {
    this->state.Apply(entry);
  };
  machine.save = [this] { return this->state.Save(); };
  machine.load = [this](const std::string& bytes) {
    return this->state.Load(bytes);
  };
  machine.applied_index = [this] { return this->state.applied_index(); };
  return std::make_unique<consensus::Driver>(
      this->context, this->channels, std::move(*storage), std::move(node),
      std::move(machine), this->metrics);
}

Result<void> ControlHost::Start() {
  Result<std::unique_ptr<consensus::Driver>> opened = this->OpenLog();
  if (!opened.has_value()) {
    return tl::make_unexpected(opened.error());
  }
  this->driver = std::move(*opened);
  if (!this->driver->Restore()) {
    return tl::make_unexpected(
        Error{Reason::kTargetFailed, Step::kStorage, Outcome::kNotRun,
              this->settings.data_folder, "the snapshot cannot be read"});
  }
  this->driver->on_become_leader = [this] {
    this->is_elected = true;
    this->has_taken_over = false;
  };
  this->driver->on_applied = [this] { this->OnApplied(); };
  this->driver->on_peer_message = [this](consensus::NodeId peer) {
    this->quorum_planner.RecordMessage(peer, Clock::now());
  };
  this->configuration_history.Record(this->state.version(), this->state.text());
  this->CreateDuties();
  this->ServeStreams();
  this->driver->Start(this->listener);
  const Result<void> listening = this->listener.Start(this->settings.link());
  if (!listening.has_value()) {
    return listening;
  }
  this->Tick();
  return this->server.Start(*this->settings.control_endpoint);
}

void ControlHost::Leave(std::function<void()> on_done) {
  LogEvent(Level::kInfo, "", "leaving");
  this->on_left = std::move(on_done);
  this->leave_deadline =
      Clock::now() + this->settings.grace_period - kLeaveMargin;
  this->server.Stop(Clock::now() + kLeaveTimeout, [this] {
    this->has_stopped_serving = true;
    this->FinishLeaveIfReady();
  });
}

void ControlHost::FinishLeaveIfReady() {
  // Calls that other hosts forwarded have no connection of `server`.
  if (!this->has_stopped_serving || !this->pending_calls.is_empty() ||
      !this->on_left) {
    return;
  }
  const TimePoint now = Clock::now();
  if (!this->quorum_leave.is_started()) {
    this->quorum_leave.Start(now, this->leave_deadline);
    // Among several that leave, leadership would go back and forth.
    this->driver->Abstain();
  }
  // No operator's call is pending, so none is answered with an unknown outcome.
  // Internal proposals may still fail.
  this->driver->Resign();
  const consensus::Node& node = this->driver->node();
  if (node.membership().VoterCount() > 1 && !this->quorum_leave.IsDone(now)) {
    // A leader that cannot resign yet waits for an acknowledgement of another
    // voter, to which it then resigns.
    if (node.role() != consensus::NodeRole::kLeader) {
      this->RequestToLeave(now);
    }
    return;
  }
  this->timer.cancel();
  this->listener.GoAway();
  this->driver->Stop();
  std::exchange(this->on_left, nullptr)();
}

Endpoint ControlHost::RemoteLeader() const {
  const consensus::Peer* leader = this->driver->Leader();
  return leader != nullptr && leader->id != this->id ? leader->link
                                                     : Endpoint();
}

std::vector<Endpoint> ControlHost::MemberLinks() const {
  std::vector<Endpoint> links;
  for (const consensus::Peer& peer : this->driver->node().membership().peers) {
    links.push_back(peer.link);
  }
  return links;
}

ForwardedAnswer ControlHost::NotLeaderAnswer() const {
  ForwardedAnswer answer;
  answer.leader = this->RemoteLeader();
  answer.control_hosts = this->MemberLinks();
  return answer;
}

void ControlHost::ServeStreams() {
  this->listener.Serve(kFollowPath,
                       [this](const std::shared_ptr<link::Stream>& stream) {
                         this->OnFollower(stream);
                       });
  this->listener.ServeMessage(
      kCallPath, [this](const std::shared_ptr<link::Stream>& stream,
                        std::string_view payload) {
        const std::optional<ForwardedCall> call =
            protocol::Decode<ForwardedCall>(payload);
        if (!call.has_value() || !this->IsLeading() ||
            this->has_stopped_serving) {
          link::Reply(*stream, this->NotLeaderAnswer());
          return;
        }
        if (call->step == ForwardedStep::kReadRevision) {
          ForwardedAnswer answer;
          answer.status = kOk;
          answer.revision =
              this->RevisionOf({call->method, call->path, call->body});
          link::Reply(*stream, answer);
          return;
        }
        this->HandleAsLeader(
            *call, [this, stream, call = *call](const HttpResponse& response) {
              ForwardedAnswer answer;
              answer.status = response.status;
              answer.body = response.body;
              answer.summary_term = this->SummaryTerm(call);
              link::Reply(*stream, answer);
            });
      });
  this->listener.ServeMessage(
      kHeartbeatsPath, [this](const std::shared_ptr<link::Stream>& stream,
                              std::string_view payload) {
        const std::optional<HeartbeatSummary> summary =
            protocol::Decode<HeartbeatSummary>(payload);
        link::Reply(*stream, summary.has_value() ? this->HandleSummary(*summary)
                                                 : HeartbeatAnswer());
      });
  this->listener.ServeMessage(
      kJoinPath, [this](const std::shared_ptr<link::Stream>& stream,
                        std::string_view payload) {
        const std::optional<JoinRequest> request =
            protocol::Decode<JoinRequest>(payload);
        if (request.has_value() && this->IsLeading()) {
          this->quorum_planner.HandleJoinRequest(*request, Clock::now());
        }
        link::Reply(*stream, JoinAnswer{true, this->MemberLinks()});
      });
  this->listener.ServeMessage(
      kLeavePath, [this](const std::shared_ptr<link::Stream>& stream,
                         std::string_view payload) {
        const std::optional<LeaveRequest> request =
            protocol::Decode<LeaveRequest>(payload);
        const TimePoint now = Clock::now();
        LeaveAnswer answer;
        if (request.has_value() && this->IsLeading()) {
          answer.state = this->quorum_planner.HandleLeaveRequest(
              request->id,
              MakeQuorumInput(this->driver->node(),
                              this->settings.tolerated_hosts, now),
              now);
          LogEvent(
              Level::kInfo, "", "quorum_leave_requested",
              {{"id", std::to_string(request->id)},
               {"state", std::string(kLeaveStateNames.Name(answer.state))}});
        }
        link::Reply(*stream, answer);
      });
}

// -------------------------------------------------------------- not leading

void ControlHost::RequestToLeave(TimePoint now) {
  if (!this->quorum_leave.TakeRequest(now)) {
    return;
  }
  const Endpoint leader = this->RemoteLeader();
  const std::vector<Endpoint> hosts =
      leader.port != 0 ? std::vector<Endpoint>{leader} : this->HostsToJoin();
  for (const Endpoint& host : hosts) {
    this->channels.Get(host)->Call(
        kLeavePath, protocol::Encode(LeaveRequest{this->id}),
        now + kCallTimeout, [this](const Result<std::string>& answered) {
          const std::optional<LeaveAnswer> answer =
              answered.has_value() ? protocol::Decode<LeaveAnswer>(*answered)
                                   : std::nullopt;
          if (answer.has_value()) {
            this->quorum_leave.HandleAnswer(answer->state, Clock::now());
          }
        });
  }
}

void ControlHost::RequestToJoin(TimePoint now) {
  const bool is_due = now >= this->next_join_request_at && !this->on_left;
  if (!is_due || !NeedsToJoin(this->driver->node())) {
    return;
  }
  this->next_join_request_at = now + kJoinRequestInterval;
  const JoinRequest request = {this->id, this->disk_id, this->settings.link(),
                               *this->settings.control_endpoint};
  for (const Endpoint& host : this->HostsToJoin()) {
    this->channels.Get(host)->Call(
        kJoinPath, protocol::Encode(request), now + kCallTimeout,
        [this](const Result<std::string>& answered) {
          const std::optional<JoinAnswer> answer =
              answered.has_value() ? protocol::Decode<JoinAnswer>(*answered)
                                   : std::nullopt;
          if (answer.has_value() && !answer->control_hosts.empty()) {
            this->members_by_answers = answer->control_hosts;
          }
        });
  }
}

std::vector<Endpoint> ControlHost::HostsToJoin() const {
  std::vector<Endpoint> hosts;
  for (const std::vector<Endpoint>& links :
       {this->settings.ControlLinks(), this->MemberLinks(),
        this->members_by_answers}) {
    for (const Endpoint& link : links) {
      const bool is_listed =
          std::find(hosts.begin(), hosts.end(), link) != hosts.end();
      if (!is_listed && link != this->settings.link()) {
        hosts.push_back(link);
      }
    }
  }
  return hosts;
}

void ControlHost::Tick() {
  const TimePoint now = Clock::now();
  this->ExpireCalls(now);
  const bool is_leader =
      this->driver->node().role() == consensus::NodeRole::kLeader;
  if (!is_leader && this->is_elected) {
    this->is_elected = false;
    this->has_taken_over = false;
    LogEvent(Level::kWarn, "", "leadership_lost");
    if (this->duties != nullptr) {
      this->duties->StopLeading();
    }
  }
  this->StartLeadingIfReady();
  if (this->IsLeading()) {
    if (now >= this->next_expiry_at) {
      this->next_expiry_at = now + std::chrono::milliseconds(200);
      for (const std::string& changed : this->registry.Expire(now)) {
        this->PublishTarget(changed);
      }
      for (const std::string& removed : this->registry.TakeRemoved()) {
        this->PublishTarget(removed);
      }
      this->AssignColdEntries();
    }
    this->UpdateQuorum(now);
    if (this->plan_pacer.IsDue(now)) {
      this->PlanGroups(Clock::now());
    }
    (void)this->UpdateSuspects(now);
    this->ProposeFleetDelta(now);
    this->ProposeSuspects(now);
    if (this->duties != nullptr) {
      this->duties->Tick(now);
    }
  } else if (!is_leader) {
    this->RequestToJoin(now);
    this->SendSummary(now);
  }
  this->SendUpdates(now);
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
      this->FinishLeaveIfReady();
    }
  });
}

}  // namespace gooseberryturn::direct
