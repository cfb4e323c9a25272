// Decisions at the size to design for, without sockets or clocks: groups under
// host failures against the baseline, decision times, view and delta sizes.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/control/state.h"
#include "gooseberryturn/placement/planner.h"
#include "gooseberryturn/protocol/codec.h"
#include "gooseberryturn/routing/group_chooser.h"

namespace {

using namespace gooseberryturn;             // NOLINT
using namespace gooseberryturn::placement;  // NOLINT

/// Seconds until a lost host is noticed, and until a group that got a new
/// member has loaded its model again.
constexpr double kDetectSeconds = 2.7;
constexpr double kFormSeconds = 5;
constexpr double kLoadSeconds = 60;
/// Hosts that the rate-limited weight store serves at a time.
constexpr std::size_t kStoreLoads = 32;

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

/// A fleet fed with events; counts what the operators care about.
class Site {
 public:
  Site(std::int64_t groups, std::int64_t size, int places, int domains,
       int hosts, Policy policy)
      : policy(policy), size(size) {
    config::Service service;
    service.name = "llm";
    service.groups = groups;
    service.hosts_per_group = size;
    this->inventory.services["llm"] = service;
    for (int place = 0; place < places; ++place) {
      for (int domain = 0; domain < domains; ++domain) {
        for (int number = 0; number < hosts; ++number) {
          Host host;
          host.data_centre = "dc-" + std::to_string(place);
          host.fabric_domain = "rack-" + std::to_string(domain);
          host.name = host.data_centre + "/" + host.fabric_domain + "/" +
                      std::to_string(number);
          host.service = "llm";
          host.incarnation = 1;
          host.is_usable = true;
          host.is_free = true;
          this->inventory.hosts[host.name] = host;
          this->names.push_back(host.name);
        }
      }
    }
    this->store.assign(kStoreLoads, 0);
    this->Settle(0);
    this->moves = 0;
    this->serves_at.clear();
    this->store.assign(kStoreLoads, 0);
  }

  /// Hosts become usable or not at `now`; the planner sees it later.
  void Set(const std::vector<std::string>& hosts, bool is_usable, double now) {
    this->Advance(now);
    for (const std::string& name : hosts) {
      Host& host = this->inventory.hosts[name];
      host.is_usable = is_usable;
      host.incarnation += is_usable ? 1 : 0;
    }
    this->Advance(now + kDetectSeconds);
    this->Settle(now + kDetectSeconds);
  }

  void Advance(double now) {
    if (now <= this->clock) {
      return;
    }
    const double length = now - this->clock;
    std::int64_t down = this->inventory.services["llm"].groups;
    std::int64_t serving_hosts = 0;
    for (const auto& entry : this->inventory.groups) {
      const bool is_serving = this->IsWhole(entry.second) &&
                              this->serves_at[entry.first] <= this->clock;
      down -= is_serving ? 1 : 0;
      serving_hosts += is_serving ? this->size : 0;
    }
    std::int64_t usable = 0;
    for (const auto& entry : this->inventory.hosts) {
      usable += entry.second.is_usable ? 1 : 0;
    }
    this->down_seconds += length * static_cast<double>(down);
    this->stranded_seconds +=
        length * static_cast<double>(usable - serving_hosts);
    this->clock = now;
  }

  std::vector<std::string> names;
  Inventory inventory;
  double down_seconds = 0;
  double stranded_seconds = 0;
  std::int64_t moves = 0;
  double plan_seconds = 0;
  std::int64_t plans = 0;

 private:
  [[nodiscard]] bool IsWhole(const protocol::Group& group) const {
    return std::all_of(
        group.members.begin(), group.members.end(),
        [this](const protocol::Member& member) {
          const Host& host = this->inventory.hosts.at(member.host);
          return host.is_usable && host.incarnation == member.incarnation;
        });
  }

  void Settle(double now) {
    for (int round = 0; round < 20; ++round) {
      const std::chrono::steady_clock::time_point start =
          std::chrono::steady_clock::now();
      const std::vector<GroupChange> plan = Plan(this->inventory, this->policy);
      this->plan_seconds += SecondsSince(start);
      this->plans += 1;
      for (const GroupChange& move : plan) {
        this->Carry(move, now);
      }
      if (plan.empty()) {
        return;
      }
    }
  }

  void Carry(const GroupChange& move, double now) {
    const auto old = this->inventory.groups.find(move.group.name);
    std::set<std::string> kept;
    if (old != this->inventory.groups.end()) {
      for (const protocol::Member& member : old->second.members) {
        this->inventory.hosts[member.host].is_free = true;
        kept.insert(member.host);
      }
      this->inventory.groups.erase(old);
    }
    if (move.group.members.empty()) {
      return;
    }
    protocol::Group group = move.group;
    group.fence = ++this->fence;
    double ready_at = now;
    for (const protocol::Member& member : group.members) {
      this->inventory.hosts[member.host].is_free = false;
      if (kept.count(member.host) == 0) {
        this->moves += 1;
        ready_at = std::max(ready_at, this->Load(now));
      }
    }
    // Even without a load the engines must form their group anew.
    this->serves_at[group.name] = std::max(ready_at, now + kFormSeconds);
    this->inventory.groups[group.name] = group;
  }

  /// Instant at which the store has served one more host.
  double Load(double now) {
    const auto soonest =
        std::min_element(this->store.begin(), this->store.end());
    *soonest = std::max(*soonest, now) + kLoadSeconds;
    return *soonest;
  }

  Policy policy;
  std::int64_t size;
  std::vector<double> store;
  double clock = 0;
  std::uint64_t fence = 0;
  std::map<std::string, double> serves_at;
};

struct Scale {
  const char* name;
  std::int64_t groups;
  std::int64_t size;
  int places;
  int domains;
  int hosts;
  double failures_per_day;
};

constexpr double kDay = 86'400;
constexpr double kRepairSeconds = 4 * 3600;

/// One day: single hosts fail and come back after a repair, one rack goes dark
/// for two hours, and a second host of a just repaired group fails.
void RunDay(const Scale& scale, Policy policy, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  Site site(scale.groups, scale.size, scale.places, scale.domains, scale.hosts,
            policy);
  struct Event {
    double at;
    std::vector<std::string> hosts;
    bool is_usable;
  };
  std::vector<Event> events;
  std::exponential_distribution<double> gap(scale.failures_per_day / kDay);
  for (double at = gap(random); at < kDay; at += gap(random)) {
    const std::string host = site.names[random() % site.names.size()];
    events.push_back({at, {host}, false});
    events.push_back({at + kRepairSeconds, {host}, true});
    // Sometimes the neighbour follows right after the repair.
    if (random() % 10 == 0) {
      const std::string second = site.names[random() % site.names.size()];
      events.push_back({at + 90, {second}, false});
      events.push_back({at + 90 + kRepairSeconds, {second}, true});
    }
  }
  std::vector<std::string> rack;
  const std::string prefix = "dc-0/rack-0/";
  for (const std::string& name : site.names) {
    if (name.compare(0, prefix.size(), prefix) == 0) {
      rack.push_back(name);
    }
  }
  events.push_back({kDay / 2, rack, false});
  events.push_back({kDay / 2 + 7200, rack, true});
  std::sort(events.begin(), events.end(),
            [](const Event& a, const Event& b) { return a.at < b.at; });
  for (const Event& event : events) {
    site.Set(event.hosts, event.is_usable, event.at);
  }
  site.Advance(kDay);
  std::printf(
      "{\"bench\":\"groups\",\"scale\":\"%s\",\"policy\":\"%s\",\"seed\":%llu,"
      "\"hosts\":%zu,\"events\":%zu,\"group_seconds_down\":%.0f,"
      "\"accelerator_seconds_stranded\":%.0f,\"moves\":%lld,"
      "\"plan_ms\":%.3f}\n",
      scale.name, std::string(kPolicyNames.Name(policy)).c_str(),
      static_cast<unsigned long long>(seed), site.names.size(), events.size(),
      site.down_seconds, site.stranded_seconds,
      static_cast<long long>(site.moves),
      1000 * site.plan_seconds / static_cast<double>(site.plans));
}

/// Size of the views at the size to design for.
void RunViews() {
  control::State state;
  std::string text = "{\"environment\":\"e\",\"data_centres\":[";
  for (int place = 0; place < 9; ++place) {
    text += std::string(place == 0 ? "" : ",") + "{\"name\":\"dc-" +
            std::to_string(place) + "\",\"region\":\"r-" +
            std::to_string(place % 4) + "\"}";
  }
  text += "],\"services\":[";
  for (int service = 0; service < 20; ++service) {
    text += std::string(service == 0 ? "" : ",") + "{\"name\":\"s-" +
            std::to_string(service) +
            "\",\"kind\":\"model\",\"groups\":35,\"hosts_per_group\":16,"
            "\"limits\":{\"memory_tokens\":1000,\"max_output_tokens\":10,"
            "\"in_flight\":10,\"cold_in_flight\":1},\"routes\":[{\"path\":\"/" +
            std::to_string(service) +
            "\",\"idempotent\":true,\"deadline_ms\":1000}]}";
  }
  text += "],\"teams\":[";
  for (int team = 0; team < 200; ++team) {
    text += std::string(team == 0 ? "" : ",") + "{\"name\":\"team-" +
            std::to_string(team) +
            "\",\"requests_per_second\":100,\"in_flight\":100}";
  }
  text += "]}";
  std::uint64_t index = 0;
  const auto apply = [&](control::CommandKind kind, const std::string& body) {
    return state.Apply(++index, protocol::Encode(control::Command{kind, body}));
  };
  (void)apply(control::CommandKind::kApplyDocument,
              protocol::Encode(control::ApplyDocument{"c0", 0, text}));
  for (int number = 0; number < 690; ++number) {
    protocol::Group group;
    group.name =
        "s-" + std::to_string(number % 20) + "-" + std::to_string(number / 20);
    group.service = "s-" + std::to_string(number % 20);
    group.data_centre = "dc-" + std::to_string(number % 9);
    group.fabric_domain = "rack-" + std::to_string(number / 9);
    for (int member = 0; member < 16; ++member) {
      group.members.push_back({"host-" + std::to_string(number * 16 + member),
                               0x1234567890ABCDEFULL,
                               {"10.123.123.123", 7000}});
    }
    (void)apply(control::CommandKind::kAssignGroup,
                protocol::Encode(control::AssignGroup{group, 0}));
  }
  const control::Viewer entry = {protocol::Role::kEntry, "e", "", "dc-0"};
  const control::Viewer agent = {protocol::Role::kAgent, "host-5", "s-0",
                                 "dc-0"};
  const std::uint64_t before = index;
  std::string changed = text;
  changed.replace(changed.find("\"requests_per_second\":100"), 25,
                  "\"requests_per_second\":101");
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  (void)apply(control::CommandKind::kApplyDocument,
              protocol::Encode(control::ApplyDocument{"c1", 1, changed}));
  const double apply_seconds = SecondsSince(start);
  const std::chrono::steady_clock::time_point delta_start =
      std::chrono::steady_clock::now();
  const std::size_t delta =
      protocol::Encode(state.DeltaSince(before, entry)).size();
  const double delta_seconds = SecondsSince(delta_start);
  std::printf(
      "{\"bench\":\"views\",\"groups\":690,\"entry_view_bytes\":%zu,"
      "\"agent_view_bytes\":%zu,\"team_change_delta_bytes\":%zu,"
      "\"agent_delta_bytes\":%zu,\"state_bytes\":%zu,\"apply_ms\":%.3f,"
      "\"delta_us\":%.1f}\n",
      protocol::Encode(state.DeltaSince(0, entry)).size(),
      protocol::Encode(state.DeltaSince(0, agent)).size(), delta,
      protocol::Encode(state.DeltaSince(before, agent)).size(),
      state.Save().size(), 1000 * apply_seconds, 1e6 * delta_seconds);

  protocol::View view;
  (void)protocol::ApplyDelta(state.DeltaSince(0, entry), view);
  routing::GroupChooser chooser("dc-0", routing::Policy::kTwoChoice, 1);
  constexpr int kChoices = 20'000;
  const std::chrono::steady_clock::time_point choose_start =
      std::chrono::steady_clock::now();
  for (int number = 0; number < kChoices; ++number) {
    const protocol::Group* group =
        chooser.Choose(view, "s-3", {}, TimePoint(std::chrono::hours(1)));
    chooser.RecordSent(*group, TimePoint(std::chrono::hours(1)));
    chooser.RecordDone(group->name);
  }
  std::printf("{\"bench\":\"choose\",\"groups\":690,\"choose_us\":%.2f}\n",
              1e6 * SecondsSince(choose_start) / kChoices);
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  const std::vector<Scale> scales = {
      {"today", 9, 3, 3, 1, 10, 6},
      {"tenth", 72, 16, 3, 4, 102, 12},
      {"design", 648, 16, 9, 12, 102, 120},
  };
  for (const Scale& scale : scales) {
    RunDay(scale, Policy::kFirstFit, seed);
    RunDay(scale, Policy::kBestFit, seed);
  }
  RunViews();
  return 0;
}
