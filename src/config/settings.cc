#include "gooseberryturn/config/settings.h"

#include <functional>
#include <limits>
#include <optional>
#include <set>

#include "gooseberryturn/config/document.h"
#include "read_enum.h"

namespace gooseberryturn::config {

namespace {

constexpr Range kConnectionRange = {1, 100'000};
constexpr Range kHeaderRange = {512, 1024 * 1024};
constexpr Range kTimeoutRange = {10, 3'600'000};
constexpr Range kServeWithoutControlRange = {0, 3600};
constexpr Range kIdRange = {1, std::numeric_limits<std::int64_t>::max()};
constexpr Range kLeaseRange = {200, 30'000};
constexpr Range kDriftRange = {0, 10'000};
constexpr std::int64_t kDefaultConnections = 10'000;
constexpr std::int64_t kDefaultHeaderBytes = 16 * 1024;
constexpr std::int64_t kDefaultHeaderTimeoutMs = 10'000;
constexpr std::int64_t kDefaultWriteTimeoutMs = 30'000;
constexpr std::int64_t kDefaultViewLeaseMs = 2'500;
constexpr std::int64_t kDefaultDriftMs = 200;

Endpoint ReadEndpoint(ObjectReader& reader, const std::string& key) {
  const std::string text = reader.String(key);
  const std::optional<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint.has_value() && !text.empty()) {
    reader.AddFault(key, "\"" + text + "\"", "an IP number and port");
  }
  return endpoint.value_or(Endpoint{});
}

std::vector<Endpoint> ReadEndpoints(ObjectReader& reader,
                                    const std::string& key, Faults& faults) {
  std::vector<Endpoint> endpoints;
  const std::vector<const JsonValue*> elements = reader.Array(key);
  for (std::size_t index = 0; index < elements.size(); ++index) {
    std::string text;
    elements[index]->getValue(text);
    const std::optional<Endpoint> endpoint = ParseEndpoint(text);
    if (!endpoint.has_value()) {
      faults.push_back({ElementPath(reader.PathOf(key), index),
                        "\"" + text + "\"", "an IP number and port", 0});
    }
    endpoints.push_back(endpoint.value_or(Endpoint{}));
  }
  return endpoints;
}

CommonSettings ReadCommon(ObjectReader& reader) {
  CommonSettings common;
  common.host = reader.String("host");
  common.data_centre = reader.String("data_centre");
  common.log_level = reader.String("log_level", "INFO");
  common.http = ReadEndpoint(reader, "http");
  return common;
}

ControlPeer ReadPeer(const JsonValue& object, const std::string& path,
                     Faults& faults) {
  ObjectReader reader(object, path, faults);
  ControlPeer peer;
  peer.id = static_cast<std::uint64_t>(reader.Integer("id", kIdRange));
  peer.link = ReadEndpoint(reader, "link");
  peer.http = ReadEndpoint(reader, "http");
  reader.Finish();
  return peer;
}

template <typename Settings>
using Fill = std::function<void(ObjectReader&, Settings&, Faults&)>;

template <typename Settings>
tl::expected<Settings, Faults> Parse(const std::string& text,
                                     const Fill<Settings>& fill) {
  const tl::expected<JsonValue, Faults> root = ParseJson(text);
  if (!root.has_value()) {
    return tl::make_unexpected(root.error());
  }
  Faults faults;
  ObjectReader reader(*root, "", faults);
  Settings settings;
  settings.common = ReadCommon(reader);
  fill(reader, settings, faults);
  reader.Finish();
  if (!faults.empty()) {
    return tl::make_unexpected(faults);
  }
  return settings;
}

void FillEntry(ObjectReader& reader, EntrySettings& settings, Faults& faults) {
  settings.callers = ReadEndpoint(reader, "callers");
  settings.control = ReadEndpoints(reader, "control", faults);
  settings.max_connections =
      reader.Integer("max_connections", kConnectionRange, kDefaultConnections);
  settings.max_header_bytes =
      reader.Integer("max_header_bytes", kHeaderRange, kDefaultHeaderBytes);
  settings.header_timeout_ms = reader.Integer(
      "header_timeout_ms", kTimeoutRange, kDefaultHeaderTimeoutMs);
  settings.write_timeout_ms =
      reader.Integer("write_timeout_ms", kTimeoutRange, kDefaultWriteTimeoutMs);
  settings.serve_without_control_s =
      reader.Integer("serve_without_control_s", kServeWithoutControlRange, 0);
  settings.routing =
      ReadEnum(reader, "routing", routing::kPolicyNames, "two_choice");
}

void FillAgent(ObjectReader& reader, AgentSettings& settings, Faults& faults) {
  settings.link = ReadEndpoint(reader, "link");
  settings.target = ReadEndpoint(reader, "target");
  settings.is_model =
      ReadEnum(reader, "target_kind", kServiceKindNames) == ServiceKind::kModel;
  settings.service = reader.String("service");
  settings.fabric_domain = reader.String("fabric_domain");
  settings.control = ReadEndpoints(reader, "control", faults);
  settings.serve_without_control_s =
      reader.Integer("serve_without_control_s", kServeWithoutControlRange, 0);
}

void FillControl(ObjectReader& reader, ControlSettings& settings,
                 Faults& faults) {
  settings.id = static_cast<std::uint64_t>(reader.Integer("id", kIdRange));
  settings.data_folder = reader.String("data_folder");
  settings.view_lease_ms =
      reader.Integer("view_lease_ms", kLeaseRange, kDefaultViewLeaseMs);
  settings.max_clock_drift_ms =
      reader.Integer("max_clock_drift_ms", kDriftRange, kDefaultDriftMs);
  settings.placement =
      ReadEnum(reader, "placement", placement::kPolicyNames, "best_fit");
  std::set<std::uint64_t> ids;
  const std::vector<const JsonValue*> peers = reader.Array("peers");
  for (std::size_t index = 0; index < peers.size(); ++index) {
    const std::string peer_path = ElementPath("peers", index);
    settings.peers.push_back(ReadPeer(*peers[index], peer_path, faults));
    const std::uint64_t id = settings.peers.back().id;
    if (!ids.insert(id).second) {
      faults.push_back({peer_path + ".id",
                        std::to_string(id) + " a second time",
                        "an id used once", 0});
    }
  }
  if (ids.count(settings.id) == 0) {
    reader.AddFault("id", std::to_string(settings.id), "the id of one peer");
  }
}

}  // namespace

tl::expected<EntrySettings, Faults> ParseEntrySettings(
    const std::string& text) {
  return Parse<EntrySettings>(text, FillEntry);
}

tl::expected<AgentSettings, Faults> ParseAgentSettings(
    const std::string& text) {
  return Parse<AgentSettings>(text, FillAgent);
}

tl::expected<ControlSettings, Faults> ParseControlSettings(
    const std::string& text) {
  return Parse<ControlSettings>(text, FillControl);
}

}  // namespace gooseberryturn::config
