#include <array>
#include <charconv>
#include <map>
#include <set>
#include <utility>

#include "gooseberryturn/direct/configuration_check.h"

namespace gooseberryturn::direct {

namespace {

/// Values of one entry of a configuration, by field.
using Fields = std::map<std::string, std::string>;

/// Entries of a configuration, by subject.
using Entries = std::map<std::string, Fields>;

/// Of the shortest text of a number that no other one has.
constexpr std::size_t kMaxNumberBytes = 32;

std::string ToText(double number) {
  std::array<char, kMaxNumberBytes> text = {};
  const std::to_chars_result written =
      std::to_chars(text.data(), text.data() + text.size(), number);
  return {text.data(), written.ptr};
}

std::string ToText(bool value) { return value ? "true" : "false"; }

std::string ToText(const std::vector<WeightedService>& services) {
  std::string text;
  for (const WeightedService& weighted : services) {
    text += (text.empty() ? "" : ", ") + weighted.service + " " +
            ToText(weighted.weight);
  }
  return text;
}

Fields Describe(const Route& route) {
  return {{"name", route.name},
          {"kind", std::string(kRouteKindNames.Name(route.kind))},
          {"timeout_ms", std::to_string(route.timeout_ms)},
          {"objective_ms", std::to_string(route.objective_ms)},
          {"priority", std::to_string(route.priority)},
          {"services", ToText(route.services)},
          {"max_executions", std::to_string(route.max_executions)},
          {"public", ToText(route.is_public)},
          {"resumable", ToText(route.is_resumable)}};
}

void AddEngine(const EngineProfile& engine, Fields& fields) {
  fields["slots"] = std::to_string(engine.slots);
  fields["step_ms"] = ToText(engine.step_ms);
  fields["per_sequence_ms"] = ToText(engine.per_sequence_ms);
  fields["prefill_tokens_per_s"] = ToText(engine.prefill_tokens_per_s);
  fields["prefill_chunk_tokens"] = ToText(engine.prefill_chunk_tokens);
  fields["stride"] = std::to_string(engine.stride);
  fields["loads_per_s"] = ToText(engine.loads_per_s);
  fields["max_concurrent_loads"] = std::to_string(engine.max_concurrent_loads);
  fields["mean_output_tokens"] = ToText(engine.mean_output_tokens);
}

Fields Describe(const Service& service) {
  Fields fields = {
      {"max_connections", std::to_string(service.max_connections)},
      {"cold_requests_per_s", ToText(service.cold_requests_per_s)}};
  if (service.engine.has_value()) {
    AddEngine(*service.engine, fields);
  }
  if (service.scaling.has_value()) {
    fields["min_targets"] = std::to_string(service.scaling->min_targets);
    fields["max_targets"] = std::to_string(service.scaling->max_targets);
    fields["start_s"] = ToText(service.scaling->start_s);
  }
  return fields;
}

Fields Describe(const ModelProfile& model) {
  return {{"size", std::to_string(model.size)},
          {"share", ToText(model.share)},
          {"time_factor", ToText(model.time_factor)},
          {"load_s", ToText(model.load_s)},
          {"warm_s", ToText(model.warm_s)}};
}

Fields Describe(const Team& team) {
  return {{"priority",
           team.priority.has_value() ? std::to_string(*team.priority) : ""}};
}

Fields Describe(const CallerLimits& limits) {
  return {{"max_header_bytes", std::to_string(limits.max_header_bytes)},
          {"max_body_bytes", std::to_string(limits.max_body_bytes)},
          {"header_timeout_ms", std::to_string(limits.header_timeout_ms)},
          {"idle_timeout_ms", std::to_string(limits.idle_timeout_ms)}};
}

/// Of entries with the same subject, the first one is in force.
Entries Describe(const Configuration& configuration) {
  Entries entries;
  for (const Route& route : configuration.routes) {
    entries.insert(
        {"route " + route.host + route.path_prefix, Describe(route)});
  }
  for (const Service& service : configuration.services) {
    entries.insert({"service " + service.name, Describe(service)});
    if (!service.engine.has_value()) {
      continue;
    }
    for (const ModelProfile& model : service.engine->models) {
      entries.insert(
          {"model " + service.name + "/" + model.name, Describe(model)});
    }
  }
  for (const Team& team : configuration.teams) {
    entries.insert({"team " + team.name, Describe(team)});
  }
  entries["limits"] = Describe(configuration.limits);
  entries["teams"] = {{"required", ToText(configuration.has_teams)}};
  return entries;
}

/// Sets `before` and `after`, and `kind` by which of them there is.
ConfigurationChange MakeChange(const std::string& subject,
                               const std::string& field,
                               const std::string* before,
                               const std::string* after) {
  ConfigurationChange change;
  change.subject = subject;
  change.field = field;
  change.before = before == nullptr ? "" : *before;
  change.after = after == nullptr ? "" : *after;
  if (before == nullptr) {
    change.kind = ChangeKind::kAdded;
  } else if (after == nullptr) {
    change.kind = ChangeKind::kRemoved;
  }
  return change;
}

template <typename Value>
const Value* Find(const std::map<std::string, Value>& values,
                  const std::string& key) {
  const auto found = values.find(key);
  return found == values.end() ? nullptr : &found->second;
}

template <typename Value>
std::set<std::string> KeysOf(const std::map<std::string, Value>& left,
                             const std::map<std::string, Value>& right) {
  std::set<std::string> keys;
  for (const std::map<std::string, Value>* values : {&left, &right}) {
    for (const std::pair<const std::string, Value>& entry : *values) {
      keys.insert(entry.first);
    }
  }
  return keys;
}

void CompareFields(const std::string& subject, const Fields& before,
                   const Fields& after,
                   std::vector<ConfigurationChange>& changes) {
  for (const std::string& field : KeysOf(before, after)) {
    const std::string* old_value = Find(before, field);
    const std::string* new_value = Find(after, field);
    const bool is_same = old_value != nullptr && new_value != nullptr &&
                         *old_value == *new_value;
    if (!is_same) {
      changes.push_back(MakeChange(subject, field, old_value, new_value));
    }
  }
}

std::set<std::string> TeamKeys(const Configuration& configuration,
                               const std::string& team_name) {
  std::set<std::string> keys;
  for (const Team& team : configuration.teams) {
    if (team.name == team_name) {
      keys.insert(team.keys.begin(), team.keys.end());
    }
  }
  return keys;
}

/// Number of `keys` that are not in `others`.
std::size_t CountMissing(const std::set<std::string>& keys,
                         const std::set<std::string>& others) {
  std::size_t count = 0;
  for (const std::string& key : keys) {
    count += others.count(key) == 0 ? 1 : 0;
  }
  return count;
}

void CompareKeys(const Configuration& in_force, const Configuration& next,
                 std::vector<ConfigurationChange>& changes) {
  std::set<std::string> names;
  for (const Configuration* configuration : {&in_force, &next}) {
    for (const Team& team : configuration->teams) {
      names.insert(team.name);
    }
  }
  for (const std::string& name : names) {
    const std::set<std::string> before = TeamKeys(in_force, name);
    const std::set<std::string> after = TeamKeys(next, name);
    if (before == after) {
      continue;
    }
    ConfigurationChange change;
    change.subject = "team " + name;
    change.field = "keys";
    change.before = std::to_string(before.size());
    change.after = std::to_string(after.size()) + " (" +
                   std::to_string(CountMissing(after, before)) + " added, " +
                   std::to_string(CountMissing(before, after)) + " removed)";
    changes.push_back(change);
  }
}

}  // namespace

std::vector<ConfigurationChange> CompareConfigurations(
    const Configuration& in_force, const Configuration& next) {
  const Entries before = Describe(in_force);
  const Entries after = Describe(next);
  std::vector<ConfigurationChange> changes;
  for (const std::string& subject : KeysOf(before, after)) {
    const Fields* old_fields = Find(before, subject);
    const Fields* new_fields = Find(after, subject);
    if (old_fields != nullptr && new_fields != nullptr) {
      CompareFields(subject, *old_fields, *new_fields, changes);
      continue;
    }
    ConfigurationChange change;
    change.subject = subject;
    change.kind =
        old_fields == nullptr ? ChangeKind::kAdded : ChangeKind::kRemoved;
    changes.push_back(change);
  }
  CompareKeys(in_force, next, changes);
  return changes;
}

}  // namespace gooseberryturn::direct
