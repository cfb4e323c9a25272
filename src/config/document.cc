#include "gooseberryturn/config/document.h"

#include <optional>
#include <set>

#include "read_enum.h"

namespace gooseberryturn::config {

namespace {

constexpr Range kGroupRange = {1, 4096};
constexpr Range kHostsPerGroupRange = {1, 64};
constexpr Range kPercentRange = {0, 100};
constexpr Range kTokenRange = {1, 1'000'000'000};
constexpr Range kInFlightRange = {1, 100'000};
constexpr Range kBodyRange = {1, 64 * 1024 * 1024};
constexpr Range kDeadlineRange = {1, 3'600'000};
constexpr Range kRateRange = {1, 1'000'000};
constexpr std::int64_t kDefaultRetryPercent = 10;
constexpr std::int64_t kDefaultBodyBytes = 1024 * 1024;

Limits ReadLimits(const JsonValue& object, const std::string& path,
                  ServiceKind kind, Faults& faults) {
  ObjectReader reader(object, path, faults);
  const bool is_model = kind == ServiceKind::kModel;
  const std::optional<std::int64_t> token_fallback =
      is_model ? std::nullopt : std::optional<std::int64_t>(1);
  Limits limits;
  limits.memory_tokens =
      reader.Integer("memory_tokens", kTokenRange, token_fallback);
  limits.max_output_tokens =
      reader.Integer("max_output_tokens", kTokenRange, token_fallback);
  limits.in_flight = reader.Integer("in_flight", kInFlightRange);
  limits.cold_in_flight = reader.Integer("cold_in_flight", kInFlightRange);
  limits.max_body_bytes =
      reader.Integer("max_body_bytes", kBodyRange, kDefaultBodyBytes);
  if (limits.cold_in_flight > limits.in_flight) {
    reader.AddFault("cold_in_flight", std::to_string(limits.cold_in_flight),
                    "at most in_flight");
  }
  if (is_model && limits.max_output_tokens > limits.memory_tokens) {
    reader.AddFault("max_output_tokens",
                    std::to_string(limits.max_output_tokens),
                    "at most memory_tokens");
  }
  reader.Finish();
  return limits;
}

Route ReadRoute(const JsonValue& object, const std::string& path,
                Faults& faults) {
  ObjectReader reader(object, path, faults);
  Route route;
  route.path = reader.String("path");
  route.idempotent = reader.Boolean("idempotent");
  route.deadline_ms = reader.Integer("deadline_ms", kDeadlineRange);
  if (!route.path.empty() && route.path.front() != '/') {
    reader.AddFault("path", "\"" + route.path + "\"",
                    "a path that starts with /");
  }
  reader.Finish();
  return route;
}

Service ReadService(const JsonValue& object, const std::string& path,
                    Faults& faults) {
  ObjectReader reader(object, path, faults);
  Service service;
  service.name = reader.String("name");
  service.kind = ReadEnum(reader, "kind", kServiceKindNames);
  service.groups = reader.Integer("groups", kGroupRange);
  service.hosts_per_group =
      reader.Integer("hosts_per_group", kHostsPerGroupRange, 1);
  service.retry_percent =
      reader.Integer("retry_percent", kPercentRange, kDefaultRetryPercent);
  const JsonValue* limits = reader.Object("limits");
  if (limits != nullptr) {
    service.limits =
        ReadLimits(*limits, reader.PathOf("limits"), service.kind, faults);
  }
  const std::vector<const JsonValue*> routes = reader.Array("routes");
  for (std::size_t index = 0; index < routes.size(); ++index) {
    const std::string route_path = ElementPath(reader.PathOf("routes"), index);
    service.routes.push_back(ReadRoute(*routes[index], route_path, faults));
  }
  reader.Finish();
  return service;
}

Team ReadTeam(const JsonValue& object, const std::string& path,
              Faults& faults) {
  ObjectReader reader(object, path, faults);
  Team team;
  team.name = reader.String("name");
  team.requests_per_second = reader.Integer("requests_per_second", kRateRange);
  team.in_flight = reader.Integer("in_flight", kInFlightRange);
  reader.Finish();
  return team;
}

DataCentre ReadDataCentre(const JsonValue& object, const std::string& path,
                          Faults& faults) {
  ObjectReader reader(object, path, faults);
  DataCentre data_centre;
  data_centre.name = reader.String("name");
  data_centre.region = reader.String("region");
  reader.Finish();
  return data_centre;
}

template <typename Item>
using ItemReader = Item (*)(const JsonValue&, const std::string&, Faults&);

template <typename Item>
std::vector<Item> ReadUniqueItems(ObjectReader& reader, const std::string& key,
                                  ItemReader<Item> read_item, Faults& faults) {
  std::vector<Item> items;
  std::set<std::string> names;
  const std::vector<const JsonValue*> elements = reader.Array(key);
  for (std::size_t index = 0; index < elements.size(); ++index) {
    const std::string item_path = ElementPath(reader.PathOf(key), index);
    items.push_back(read_item(*elements[index], item_path, faults));
    const std::string& name = items.back().name;
    if (!name.empty() && !names.insert(name).second) {
      faults.push_back({item_path + ".name", "\"" + name + "\" a second time",
                        "a name used once", 0});
    }
  }
  return items;
}

void CheckRoutes(const std::vector<Service>& services, Faults& faults) {
  std::set<std::string> paths;
  for (std::size_t service_index = 0; service_index < services.size();
       ++service_index) {
    const std::vector<Route>& routes = services[service_index].routes;
    for (std::size_t route_index = 0; route_index < routes.size();
         ++route_index) {
      if (!paths.insert(routes[route_index].path).second) {
        const std::string service_path = ElementPath("services", service_index);
        faults.push_back(
            {ElementPath(service_path + ".routes", route_index) + ".path",
             "\"" + routes[route_index].path + "\" a second time",
             "a path that belongs to one route", 0});
      }
    }
  }
}

}  // namespace

tl::expected<Document, Faults> ParseDocument(const std::string& text) {
  const tl::expected<JsonValue, Faults> root = ParseJson(text);
  if (!root.has_value()) {
    return tl::make_unexpected(root.error());
  }
  Faults faults;
  ObjectReader reader(*root, "", faults);
  Document document;
  document.environment = reader.String("environment");
  document.data_centres = ReadUniqueItems<DataCentre>(reader, "data_centres",
                                                      ReadDataCentre, faults);
  document.services =
      ReadUniqueItems<Service>(reader, "services", ReadService, faults);
  document.teams = ReadUniqueItems<Team>(reader, "teams", ReadTeam, faults);
  CheckRoutes(document.services, faults);
  reader.Finish();
  if (!faults.empty()) {
    return tl::make_unexpected(faults);
  }
  return document;
}

}  // namespace gooseberryturn::config
