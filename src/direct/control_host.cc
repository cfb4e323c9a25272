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
      server(context, [this](HttpRequest call, AsyncHttpServer::Reply reply) {
        this->OnCall(std::move(call), std::move(reply));
      }) {}

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
  const bool is_first_voter = this->settings.is_first_start &&
                              std::find(this->settings.control_hosts.begin(),
                                        this->settings.control_hosts.end(),
                                        *this->settings.control_endpoint) !=
                                  this->settings.control_hosts.end();
  const consensus::NodeId fresh_id =
      is_first_voter ? FirstId(*this->settings.control_endpoint) : RandomId();
  Result<consensus::Storage> storage =
      consensus::Storage::OpenAny(this->settings.data_folder, fresh_id);
  if (!storage.has_value()) {
    return tl::make_unexpected(storage.error());
  }
  this->id = storage->identity().id;
  this->disk = storage->identity().disk_id;
  Result<consensus::PersistentState> stored = storage->Load();
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
  options.disk_id = this->disk;
  options.seed = RandomId();
  options.election_timeout_min = kElectionMin;
  options.election_timeout_max = kElectionMax;
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
    this->is_leading = false;
  };
  this->driver->on_applied = [this] {
    this->RefreshConfiguration();
    this->TakeOverWhenCurrent();
  };
  this->driver->on_peer_message = [this](consensus::NodeId peer) {
    this->quorum.RecordMessage(peer, Clock::now());
  };
  this->RefreshConfiguration();
  this->ServeLinks();
  this->driver->Start(this->listener);
  const Result<void> listening = this->listener.Start(this->settings.link());
  if (!listening.has_value()) {
    return listening;
  }
  this->Tick();
  return this->server.Start(*this->settings.control_endpoint);
}

void ControlHost::Leave(const std::function<void()>& on_left) {
  this->timer.cancel();
  this->server.Stop();
  this->listener.GoAway();
  this->driver->Stop();
  on_left();
}

Endpoint ControlHost::OtherLeader() const {
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

ForwardedAnswer ControlHost::NotLeading() const {
  ForwardedAnswer answer;
  answer.leader = this->OtherLeader();
  answer.control_hosts = this->MemberLinks();
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
            [stream](const HttpResponse& answer) {
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
          this->quorum.HandleJoinRequest(*request, Clock::now());
        }
        link::Reply(*stream, JoinAnswer{});
      });
}

// -------------------------------------------------------------- not leading

void ControlHost::AskToJoin(TimePoint now) {
  // Its own membership may be old: a host that was silent for long is taken
  // out, and nobody tells it so.
  const bool is_member =
      this->driver->node().membership().Find(this->id) != nullptr &&
      this->driver->Leader() != nullptr;
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
                               *this->settings.control_endpoint};
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
