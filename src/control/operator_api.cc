#include "gooseberryturn/control/operator_api.h"

#include <cxxtools/jsonserializer.h>
#include <cxxtools/serializationinfo.h>

#include <boost/asio/post.hpp>
#include <charconv>
#include <future>
#include <memory>
#include <sstream>
#include <utility>

#include "gooseberryturn/config/document.h"
#include "gooseberryturn/core/id.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::control {

using cxxtools::SerializationInfo;
using observe::HttpAnswer;
using observe::HttpCall;

namespace {

constexpr int kStatusAccepted = 202;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusMisdirected = 421;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusTimeout = 504;

std::string ToJson(const SerializationInfo& tree) {
  std::ostringstream out;
  cxxtools::JsonSerializer serializer(out);
  serializer.beautify(false);
  serializer.serialize(tree);
  serializer.finish();
  return out.str();
}

HttpAnswer JsonAnswer(int status, const SerializationInfo& tree) {
  return {status, "application/json", ToJson(tree) + "\n"};
}

HttpAnswer FailureAnswer(int status, const std::string& message) {
  SerializationInfo tree;
  tree.addValue("accepted", false);
  tree.addValue("message", message);
  return JsonAnswer(status, tree);
}

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

bool IsSet(const HttpCall& call, const std::string& name) {
  return call.Parameter(name) == "1";
}

SerializationInfo& AddArray(SerializationInfo& tree, const std::string& name) {
  SerializationInfo& array = tree.addMember(name);
  array.setCategory(SerializationInfo::Array);
  return array;
}

// ------------------------------------------------------------------- status

void AddControlHosts(const Replica& replica, SerializationInfo& tree) {
  const consensus::Node& node = replica.node();
  SerializationInfo& hosts = AddArray(tree, "control");
  for (const consensus::Peer& peer : node.membership().peers) {
    SerializationInfo& host = hosts.addMember(std::string());
    host.addValue("id", peer.id);
    host.addValue("link", ToString(peer.link));
    host.addValue("http", ToString(peer.http));
    host.addValue("voter", peer.is_voter);
    host.addValue("leader", peer.id == node.leader());
    host.addValue("lost_disk",
                  node.peers_with_replaced_disk().count(peer.id) > 0);
    host.addValue("entries_behind",
                  node.log().LastIndex() - node.MatchIndex(peer.id));
  }
}

void AddDataCentres(const State& state, SerializationInfo& tree) {
  SerializationInfo& data_centres = AddArray(tree, "data_centres");
  for (const auto& slot : state.data_centres().slots) {
    SerializationInfo& data_centre = data_centres.addMember(std::string());
    data_centre.addValue("name", slot.first);
    data_centre.addValue("region", slot.second.item.region);
    data_centre.addValue("out", slot.second.item.out);
  }
}

/// Lists the members that keep a group from serving, each with the reason.
///
/// "not heard of" means that the host never renewed at this leader or that its
/// lease has expired. "leases not yet complete" means that no member is at
/// fault, but the group's leader has not reported that the group serves.
std::string WhyNotServing(const protocol::Group& group,
                          const Registry& registry, TimePoint now) {
  std::string why;
  for (const protocol::Member& member : group.members) {
    const auto holder = registry.view_holders().find(member.host);
    std::string reason;
    if (holder == registry.view_holders().end() ||
        !registry.IsAlive(holder->second, now)) {
      reason = "not heard of";
    } else if (holder->second.last_renewal.incarnation != member.incarnation) {
      reason = "restarted";
    } else if (holder->second.last_renewal.report.leaving) {
      reason = "leaving";
    } else if (!holder->second.last_renewal.report.target_ready) {
      reason = "target not ready";
    }
    if (!reason.empty()) {
      why += (why.empty() ? "" : ", ") + member.host + " " + reason;
    }
  }
  return why.empty() ? "leases not yet complete" : why;
}

void AddGroups(const State& state, const Registry& registry, TimePoint now,
               SerializationInfo& tree) {
  SerializationInfo& groups = AddArray(tree, "groups");
  for (const auto& slot : state.groups().slots) {
    const protocol::Group& group = slot.second.item;
    const auto leader =
        registry.view_holders().find(group.members.front().host);
    const bool is_serving = leader != registry.view_holders().end() &&
                            registry.IsAlive(leader->second, now) &&
                            leader->second.last_renewal.report.group_serving;
    SerializationInfo& item = groups.addMember(std::string());
    item.addValue("name", group.name);
    item.addValue("service", group.service);
    item.addValue("data_centre", group.data_centre);
    item.addValue("fabric_domain", group.fabric_domain);
    item.addValue("fence", group.fence);
    item.addValue("serving", is_serving);
    item.addValue("why", is_serving ? std::string()
                                    : WhyNotServing(group, registry, now));
    if (leader != registry.view_holders().end()) {
      const protocol::Load& load = leader->second.last_renewal.report.load;
      item.addValue("in_flight", load.in_flight);
      item.addValue("limit", load.limit);
    }
    SerializationInfo& members = AddArray(item, "members");
    for (const protocol::Member& member : group.members) {
      members.addValue(std::string(), member.host);
    }
  }
}

void AddServices(const State& state, SerializationInfo& tree) {
  SerializationInfo& services = AddArray(tree, "services");
  for (const auto& slot : state.services().slots) {
    std::int64_t formed = 0;
    for (const auto& group : state.groups().slots) {
      formed += group.second.item.service == slot.first ? 1 : 0;
    }
    SerializationInfo& item = services.addMember(std::string());
    item.addValue("name", slot.first);
    item.addValue(
        "kind",
        std::string(config::kServiceKindNames.Name(slot.second.item.kind)));
    item.addValue("groups_wanted", slot.second.item.groups);
    item.addValue("groups_formed", formed);
  }
}

void AddHosts(const State& state, const Registry& registry, TimePoint now,
              SerializationInfo& tree) {
  SerializationInfo& hosts = AddArray(tree, "hosts");
  for (const auto& holder : registry.view_holders()) {
    const protocol::Renew& last = holder.second.last_renewal;
    SerializationInfo& host = hosts.addMember(std::string());
    host.addValue("name", holder.first);
    host.addValue("role", std::string(protocol::kRoleNames.Name(last.role)));
    host.addValue("data_centre", last.data_centre);
    host.addValue("alive", registry.IsAlive(holder.second, now));
    host.addValue("view_index", last.known_index);
    host.addValue("drained", state.drained_hosts().count(holder.first) > 0);
    if (last.role == protocol::Role::kAgent) {
      host.addValue("service", last.report.service);
      host.addValue("target_ready", last.report.target_ready);
      host.addValue("leaving", last.report.leaving);
    }
  }
}

}  // namespace

std::string StatusJson(const Replica& replica, const Registry& registry,
                       TimePoint now) {
  const State& state = replica.state();
  SerializationInfo tree;
  tree.addValue("version", state.document_version());
  tree.addValue("digest", Digest(state.document_text()));
  tree.addValue("view_index", state.view_index());
  tree.addValue("term", replica.node().term());
  tree.addValue("claims", static_cast<std::uint64_t>(state.claims().size()));
  AddControlHosts(replica, tree);
  AddDataCentres(state, tree);
  AddServices(state, tree);
  AddGroups(state, registry, now, tree);
  AddHosts(state, registry, now, tree);
  SerializationInfo& quarantined = AddArray(tree, "quarantined");
  for (const auto& slot : state.suspects().slots) {
    if (slot.second.item.deaths >= protocol::kQuarantineDeaths) {
      quarantined.addValue(std::string(), slot.first);
    }
  }
  return ToJson(tree);
}

// ---------------------------------------------------------------- operators

OperatorApi::OperatorApi(boost::asio::io_context& context, Replica& replica,
                         Server& server, observe::Metrics& metrics)
    : context(context), replica(replica), server(server), metrics(metrics) {}

HttpAnswer OperatorApi::Handle(const HttpCall& call) {
  if (call.path == "/metrics") {
    return {200, "text/plain; version=0.0.4", this->metrics.Render()};
  }
  if (call.path == "/live") {
    return {200, "text/plain", "live\n"};
  }
  const std::shared_ptr<std::promise<HttpAnswer>> promise =
      std::make_shared<std::promise<HttpAnswer>>();
  std::future<HttpAnswer> future = promise->get_future();
  boost::asio::post(this->context, [this, call, promise] {
    this->Dispatch(call, [promise](HttpAnswer answer) {
      promise->set_value(std::move(answer));
    });
  });
  // Reads and /v1/control have no change id but get the same text.
  if (future.wait_for(kAnswerTimeout) != std::future_status::ready) {
    return FailureAnswer(
        kStatusTimeout,
        "no result in time; send the change again with the same id");
  }
  return future.get();
}

HttpAnswer OperatorApi::NotLeader() const {
  SerializationInfo tree;
  tree.addValue("accepted", false);
  const consensus::Peer* leader = this->replica.Leader();
  const bool is_known =
      leader != nullptr && leader->id != this->replica.node().options().id;
  tree.addValue("leader", is_known ? ToString(leader->http) : std::string());
  tree.addValue("message", "this control host does not lead");
  return JsonAnswer(is_known ? kStatusMisdirected : kStatusUnavailable, tree);
}

HttpAnswer OperatorApi::Document() const {
  const State& state = this->replica.state();
  SerializationInfo tree;
  tree.addValue("version", state.document_version());
  tree.addValue("digest", Digest(state.document_text()));
  tree.addValue("text", state.document_text());
  return JsonAnswer(200, tree);
}

void OperatorApi::Dispatch(const HttpCall& call, const Done& done) {
  const TimePoint now = Clock::now();
  if (!this->replica.HasLease(now)) {
    done(this->NotLeader());
  } else if (call.method == "POST") {
    this->HandleChange(call, done);
  } else if (call.path == "/ready") {
    done({200, "text/plain", "ready\n"});
  } else if (call.path == "/v1/status") {
    done({200, "application/json",
          StatusJson(this->replica, this->server.registry(), now) + "\n"});
  } else if (call.path == "/v1/document") {
    done(this->Document());
  } else {
    done(FailureAnswer(kStatusNotFound, "no such path: " + call.path));
  }
}

void OperatorApi::HandleChange(const HttpCall& call, const Done& done) {
  const std::string change_id = call.Parameter("change");
  if (call.path == "/v1/apply") {
    const tl::expected<config::Document, config::Faults> document =
        config::ParseDocument(call.body);
    if (!document.has_value()) {
      std::string message = "the document has faults";
      for (const config::Fault& fault : document.error()) {
        message += "; " + config::ToString(fault, "document");
      }
      done(FailureAnswer(kStatusBadRequest, message));
      return;
    }
    this->Propose(CommandKind::kApplyDocument,
                  ApplyDocument{change_id, ParseNumber(call.Parameter("base")),
                                call.body},
                  done);
  } else if (call.path == "/v1/data-centre") {
    this->Propose(CommandKind::kSetDataCentre,
                  SetDataCentre{change_id, call.Parameter("name"),
                                IsSet(call, "out"), IsSet(call, "force")},
                  done);
  } else if (call.path == "/v1/drain") {
    this->Propose(
        CommandKind::kSetDrain,
        SetDrain{change_id, call.Parameter("host"), IsSet(call, "drain")},
        done);
  } else if (call.path == "/v1/quarantine/clear") {
    this->Propose(CommandKind::kClearQuarantine,
                  ClearQuarantine{change_id, call.Parameter("fingerprint")},
                  done);
  } else if (call.path == "/v1/control") {
    this->ChangeQuorum(call, done);
  } else {
    done(FailureAnswer(kStatusNotFound, "no such path: " + call.path));
  }
}

template <typename Body>
void OperatorApi::Propose(CommandKind kind, const Body& body,
                          const Done& done) {
  this->replica.Propose(
      kind, body, [this, kind, done](const Result<CommandResult>& result) {
        const bool is_accepted = result.has_value() && result->change.accepted;
        observe::LogEvent(
            observe::Level::kInfo, "", "operator_change",
            {{"command", std::string(kCommandKindNames.Name(kind))},
             {"accepted", is_accepted ? "yes" : "no"}});
        this->AnswerChange(result, done);
      });
}

void OperatorApi::AnswerChange(const Result<CommandResult>& result,
                               const Done& done) {
  if (!result.has_value()) {
    done(FailureAnswer(kStatusUnavailable, ToString(result.error())));
    return;
  }
  const ChangeResult change = result->change;
  if (!change.accepted) {
    SerializationInfo tree;
    tree.addValue("accepted", false);
    tree.addValue("version", change.version);
    tree.addValue("message", change.message);
    done(JsonAnswer(kStatusConflict, tree));
    return;
  }
  const TimePoint accepted_at = Clock::now();
  this->server.WhenInForce(
      change.index, accepted_at + kInForceTimeout,
      [change, done, accepted_at](const std::vector<std::string>& behind) {
        const Duration taken = Clock::now() - accepted_at;
        SerializationInfo tree;
        tree.addValue("accepted", true);
        tree.addValue("version", change.version);
        tree.addValue("index", change.index);
        tree.addValue("in_force", behind.empty());
        tree.addValue("in_force_ms",
                      std::chrono::duration_cast<Milliseconds>(taken).count());
        SerializationInfo& hosts = AddArray(tree, "behind");
        for (const std::string& host : behind) {
          hosts.addValue(std::string(), host);
        }
        done(JsonAnswer(behind.empty() ? 200 : kStatusAccepted, tree));
      });
}

void OperatorApi::ChangeQuorum(const HttpCall& call, const Done& done) {
  const std::string action = call.Parameter("action");
  const consensus::NodeId id = ParseNumber(call.Parameter("id"));
  const consensus::Node& node = this->replica.node();
  consensus::Membership next = node.membership();
  consensus::Peer* peer = next.Find(id);
  std::string fault;
  if (action == "add") {
    const std::optional<Endpoint> link = ParseEndpoint(call.Parameter("link"));
    const std::optional<Endpoint> http = ParseEndpoint(call.Parameter("http"));
    if (id == 0 || peer != nullptr || !link.has_value() || !http.has_value()) {
      fault = "add needs a new id, link=IP:PORT and http=IP:PORT";
    } else {
      next.peers.push_back({id, *link, *http, false, 0});
    }
  } else if (peer == nullptr) {
    fault = "no control host with id " + call.Parameter("id");
  } else if (action == "promote") {
    const consensus::Index behind =
        node.log().LastIndex() - node.MatchIndex(id);
    peer->is_voter = true;
    if (!node.IsInContact(id, Clock::now())) {
      fault = "the host does not answer; try again when it runs";
    } else if (behind != 0 || node.MatchIndex(id) < node.commit_index()) {
      fault = "the host is " + std::to_string(behind) +
              " entries behind; try again when it caught up";
    }
  } else if (action == "remove") {
    for (auto it = next.peers.begin(); it != next.peers.end(); ++it) {
      if (it->id == id) {
        next.peers.erase(it);
        break;
      }
    }
  } else {
    fault = "action is add, promote or remove";
  }
  if (!fault.empty()) {
    done(FailureAnswer(kStatusBadRequest, fault));
    return;
  }
  const Result<void> changed = this->replica.ChangeMembership(next);
  if (!changed.has_value()) {
    done(FailureAnswer(kStatusConflict, ToString(changed.error())));
    return;
  }
  SerializationInfo tree;
  tree.addValue("accepted", true);
  done(JsonAnswer(200, tree));
}

}  // namespace gooseberryturn::control
