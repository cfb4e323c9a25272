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

/// Identity of a first voter, the same on all control hosts.
consensus::NodeId FirstId(const Endpoint& control) {
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
             [this](ShortCall call, ShortHttpServer::Reply reply) {
               this->OnCall(std::move(call), std::move(reply));
             }),
      incarnation(RandomId()) {}

// -------------------------------------------------------------------- start

consensus::Membership ControlHost::FirstMembership() const {
  consensus::Membership membership;
  for (const Endpoint& control : this->settings.control_hosts) {
    membership.peers.push_back(
        {FirstId(control), this->settings.LinkOf(control), control, true, 0});
  }
  return membership;
}

Result<std::unique_ptr<consensus::Driver>> ControlHost::OpenLog() {
  const bool is_first_voter =
      this->settings.is_first_start &&
      std::find(this->settings.control_hosts.begin(),
                this->settings.control_hosts.end(),
                *this->settings.control) != this->settings.control_hosts.end();
  const consensus::NodeId fresh_id =
      is_first_voter ? FirstId(*this->settings.control) : RandomId();
  Result<consensus::Storage> storage =
      consensus::Storage::OpenAny(this->settings.data_folder, fresh_id);
  if (!storage.has_value()) {
    return tl::make_unexpected(storage.error());
  }
  this->id = storage->identity().id;
  this->disk = storage->identity().disk;
  Result<consensus::Stored> stored = storage->Load();
  if (!stored.has_value()) {
    return tl::make_unexpected(stored.error());
  }
  if (storage->is_new() && is_first_voter) {
    stored->snapshot.membership = this->FirstMembership();
    const Result<void> saved = storage->SaveSnapshot(stored->snapshot, {});
    if (!saved.has_value()) {
      return tl::make_unexpected(saved.error());
    }
  }
  LogEvent(Level::kInfo, "", "log_opened",
           {{"id", std::to_string(this->id)},
            {"is_new", storage->is_new() ? "true" : "false"},
            {"last_index",
             std::to_string(stored->snapshot.index + stored->entries.size())},
            {"term", std::to_string(stored->hard_state.term)}});
  consensus::Options options;
  options.id = this->id;
  options.disk = this->disk;
  options.seed = RandomId();
  options.election_min = kElectionMin;
  options.election_max = kElectionMax;
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
  this->driver->on_lead = [this] {
    this->is_elected = true;
    this->is_leading = false;
  };
  this->driver->on_applied = [this] {
    this->RefreshConfiguration();
    this->TakeOverWhenCurrent();
  };
  this->driver->on_heard = [this](consensus::NodeId peer) {
    this->quorum.Heard(peer, Clock::now());
  };
  this->RefreshConfiguration();
  this->ServeLinks();
  this->driver->Start(this->listener);
  const Result<void> listening = this->listener.Start(this->settings.link());
  if (!listening.has_value()) {
    return listening;
  }
  this->Tick();
  return this->server.Start(*this->settings.control);
}

void ControlHost::Leave(const std::function<void()>& on_left) {
  this->timer.cancel();
  this->server.Stop();
  this->listener.GoAway();
  this->driver->Stop();
  on_left();
}

ForwardedAnswer ControlHost::NotLeading() const {
  ForwardedAnswer answer;
  const consensus::Peer* leader = this->driver->Leader();
  if (leader != nullptr && leader->id != this->id) {
    answer.leader = leader->link;
  }
  for (const consensus::Peer& peer : this->driver->node().membership().peers) {
    answer.control_hosts.push_back(peer.link);
  }
  return answer;
}

void ControlHost::ServeLinks() {
  this->listener.Serve(kFollowPath,
                       [this](const std::shared_ptr<link::Stream>& stream) {
                         this->OnFollow(stream);
                       });
  this->listener.ServeMessage(
      kCallPath, [this](const std::shared_ptr<link::Stream>& stream,
                        std::string_view payload) {
        const std::optional<ForwardedCall> call =
            protocol::Decode<ForwardedCall>(payload);
        if (!call.has_value() || !this->IsLeading()) {
          link::Reply(*stream, this->NotLeading());
          return;
        }
        this->HandleAsLeader(
            {call->method, call->path, call->body},
            [stream](const ShortAnswer& answer) {
              link::Reply(*stream,
                          ForwardedAnswer{answer.status, answer.body, {}, {}});
            });
      });
  this->listener.ServeMessage(
      kJoinPath, [this](const std::shared_ptr<link::Stream>& stream,
                        std::string_view payload) {
        const std::optional<JoinRequest> request =
            protocol::Decode<JoinRequest>(payload);
        if (request.has_value() && this->IsLeading()) {
          this->quorum.Joining(*request, Clock::now());
        }
        link::Reply(*stream, JoinAnswer{});
      });
}

// ------------------------------------------------------------------- leader

void ControlHost::RefreshConfiguration() {
  if (this->parsed_version == this->state.version()) {
    return;
  }
  const Result<Configuration> read =
      this->dialect.read_configuration(this->state.text());
  if (read.has_value()) {
    this->configuration = *read;
  } else {
    LogEvent(Level::kError, "", "configuration_not_readable",
             {{"why", read.error().message}});
  }
  this->parsed_version = this->state.version();
  LogEvent(Level::kInfo, "", "configuration_in_force",
           {{"version", std::to_string(this->parsed_version)}});
}

void ControlHost::TakeOverWhenCurrent() {
  const consensus::Node& node = this->driver->node();
  const bool is_current = this->driver->HasLease(Clock::now()) &&
                          this->state.applied_index() >= node.commit_index();
  if (this->is_leading || !this->is_elected || !is_current) {
    return;
  }
  const TimePoint now = Clock::now();
  this->is_leading = true;
  this->settled_at = now + kSettle;
  this->followers.clear();
  this->registry = Registry();
  this->demand = DemandSum();
  this->targets = {};
  this->groups = {};
  this->revision += 1;
  for (const std::pair<const std::string, TargetView>& entry :
       this->state.targets()) {
    this->registry.Adopt(entry.second, now);
    this->targets.Put(entry.second, this->revision);
  }
  std::vector<GroupView> known;
  for (const std::pair<const std::string, GroupView>& entry :
       this->state.groups()) {
    known.push_back(entry.second);
    this->groups.Put(entry.second, this->revision);
  }
  this->noted_revision = this->revision;
  this->has_traffic |= !known.empty();
  this->planner.StartLeading(node.term(), known, now);
  this->quorum.StartLeading(node.membership(), now);
  LogEvent(Level::kInfo, "", "leading",
           {{"term", std::to_string(node.term())},
            {"config_version", std::to_string(this->state.version())},
            {"targets_known", std::to_string(this->state.targets().size())},
            {"groups_known", std::to_string(known.size())}});
}

void ControlHost::NoteChanges(TimePoint now) {
  if (this->noted_revision == this->revision || now < this->note_at) {
    return;
  }
  this->note_at = now + kNoteEvery;
  FleetCommand command;
  command.kind = FleetCommandKind::kNote;
  FleetNote& note = command.note;
  this->targets.Since(this->noted_revision, note.targets, note.removed_targets);
  this->groups.Since(this->noted_revision, note.groups, note.removed_groups);
  this->noted_revision = this->revision;
  // A note that fails means that another host leads, which makes its own.
  if (!note.IsEmpty()) {
    this->driver->Propose(protocol::Encode(command),
                          [](const Result<consensus::Index>& /*applied*/) {});
  }
}

void ControlHost::PutTarget(const std::string& target) {
  this->revision += 1;
  const TargetRecord* record = this->registry.Find(target);
  if (record == nullptr) {
    this->targets.Remove(target, this->revision);
  } else {
    this->targets.Put(record->view, this->revision);
  }
}

void ControlHost::PlanSoon() {
  if (this->is_plan_due) {
    return;
  }
  this->is_plan_due = true;
  boost::asio::post(this->context, [this] {
    this->is_plan_due = false;
    if (this->IsLeading()) {
      const TimePoint now = Clock::now();
      const std::uint64_t before = this->revision;
      this->KeepGroups(now);
      if (this->revision != before) {
        this->PushAll(now);
      }
    }
  });
}

void ControlHost::RefreshGroups() {
  if (this->seen_plan_revision == this->planner.revision()) {
    return;
  }
  this->seen_plan_revision = this->planner.revision();
  this->revision += 1;
  std::map<std::string, GroupView> next;
  for (const GroupView& view : this->planner.Groups()) {
    next[view.name] = view;
  }
  std::vector<std::string> gone;
  for (const auto& slot : this->groups.slots) {
    if (next.count(slot.first) == 0) {
      gone.push_back(slot.first);
    }
  }
  for (const std::string& name : gone) {
    this->groups.Remove(name, this->revision);
  }
  for (const std::pair<const std::string, GroupView>& entry : next) {
    const GroupView* old = this->groups.Find(entry.first);
    if (old == nullptr || old->phase != entry.second.phase) {
      this->groups.Put(entry.second, this->revision);
    }
  }
}

void ControlHost::KeepQuorum(TimePoint now) {
  const consensus::Node& node = this->driver->node();
  const QuorumInput input = {
      node.membership(), this->id, node.commit_index(),
      [&node](consensus::NodeId peer) { return node.MatchIndex(peer); },
      this->settings.tolerated_hosts};
  const std::optional<consensus::Membership> next =
      this->quorum.Next(input, now);
  if (!next.has_value()) {
    return;
  }
  const Result<void> changed = this->driver->ChangeMembership(*next);
  if (changed.has_value()) {
    LogEvent(Level::kInfo, "", "quorum_changed",
             {{"hosts", std::to_string(next->peers.size())},
              {"voters", std::to_string(next->VoterCount())}});
  }
}

void ControlHost::KeepGroups(TimePoint now) {
  if (!this->configuration.has_value()) {
    return;
  }
  PlanInput input = {this->registry,          *this->configuration,
                     this->state.evacuated(), {},
                     this->has_traffic,       this->settings.heartbeat,
                     this->settings.stall,    this->demand.Demand(now)};
  for (const OpenWork& work : this->SumOpenWork()) {
    input.open_work[work.target] = work.requests;
  }
  const PlannedWork work = this->planner.Plan(input, now);
  for (const std::string& lost : work.lost_members) {
    this->crashes.Died(lost, now);
  }
  for (const Order& order : work.orders) {
    this->GiveOrder(order);
  }
  for (const std::string& target : work.probes) {
    this->Probe(target);
  }
  this->RefreshGroups();
}

// -------------------------------------------------------------- not leading

void ControlHost::AskToJoin(TimePoint now) {
  const bool is_member =
      this->driver->node().membership().Find(this->id) != nullptr;
  if (is_member || now < this->join_at) {
    return;
  }
  this->join_at = now + kJoinEvery;
  std::vector<Endpoint> hosts = this->settings.ControlLinks();
  for (const consensus::Peer& peer : this->driver->node().membership().peers) {
    hosts.push_back(peer.link);
  }
  const Endpoint link = this->settings.link();
  const JoinRequest request = {this->id, this->disk, link,
                               *this->settings.control};
  // No answer is needed: the membership itself tells when it was taken in.
  for (const Endpoint& host : hosts) {
    if (host != link) {
      this->channels.Get(host)->Call(
          kJoinPath, protocol::Encode(request), now + kCallLimit,
          [](const Result<std::string>& /*answered*/) {});
    }
  }
}

void ControlHost::Tick() {
  const TimePoint now = Clock::now();
  const bool is_leader =
      this->driver->node().role() == consensus::NodeRole::kLeader;
  if (!is_leader && this->is_elected) {
    this->is_elected = false;
    this->is_leading = false;
    LogEvent(Level::kWarn, "", "leadership_lost");
  }
  this->TakeOverWhenCurrent();
  if (this->IsLeading()) {
    if (now >= this->expire_at) {
      this->expire_at = now + std::chrono::milliseconds(200);
      for (const std::string& changed : this->registry.Expire(now)) {
        this->PutTarget(changed);
      }
      for (const std::string& removed : this->registry.TakeRemoved()) {
        this->PutTarget(removed);
      }
    }
    this->KeepQuorum(now);
    this->KeepGroups(now);
    this->NoteChanges(now);
  } else if (!is_leader) {
    this->AskToJoin(now);
  }
  this->PushAll(now);
  this->timer.expires_after(kTick);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

}  // namespace gooseberryturn::direct
