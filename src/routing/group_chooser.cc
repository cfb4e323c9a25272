#include "gooseberryturn/routing/group_chooser.h"

#include <algorithm>
#include <utility>

namespace gooseberryturn::routing {

using protocol::Group;
using protocol::View;

namespace {

constexpr int kDistanceCount = 3;
/// Usage of a group at its limit that may be probed: just below 1, so that
/// groups with a lower usage go first.
constexpr double kProbeUsage = 0.999;

}  // namespace

GroupChooser::GroupChooser(std::string data_centre, Policy policy,
                           std::uint64_t seed)
    : data_centre(std::move(data_centre)), policy(policy), random(seed) {}

int GroupChooser::DistanceTo(const View& view, const std::string& name) const {
  if (name == this->data_centre) {
    return 0;
  }
  const auto own = view.data_centres.find(this->data_centre);
  const auto other = view.data_centres.find(name);
  const bool is_same_region = own != view.data_centres.end() &&
                              other != view.data_centres.end() &&
                              own->second.region == other->second.region;
  return is_same_region ? 1 : 2;
}

double GroupChooser::UsageOf(const Group& group, const config::Service& service,
                             TimePoint now) const {
  const auto found = this->states.find(group.name);
  if (found == this->states.end() || found->second.fence != group.fence) {
    return 0;
  }
  const GroupState& state = found->second;
  std::int64_t load = state.outstanding;
  std::int64_t limit = service.limits.cold_in_flight;
  if (state.has_report) {
    load = state.reported.in_flight + state.outstanding -
           state.outstanding_at_report;
    limit = state.reported.limit;
  }
  const double usage = static_cast<double>(std::max<std::int64_t>(0, load)) /
                       static_cast<double>(std::max<std::int64_t>(1, limit));
  const bool may_probe = state.has_report && now >= state.probe_at;
  return may_probe ? std::min(usage, kProbeUsage) : usage;
}

std::vector<GroupChooser::Candidate> GroupChooser::Candidates(
    const View& view, const std::string& service,
    const std::set<std::string>& excluded, TimePoint now) const {
  std::vector<Candidate> candidates;
  const auto known = view.services.find(service);
  if (known == view.services.end()) {
    return candidates;
  }
  for (const std::pair<const std::string, Group>& entry : view.groups) {
    const Group& group = entry.second;
    const auto location = view.data_centres.find(group.data_centre);
    const bool is_out =
        location == view.data_centres.end() || location->second.out;
    if (group.service != service || is_out || excluded.count(group.name) > 0) {
      continue;
    }
    const auto state = this->states.find(group.name);
    const bool is_paused = state != this->states.end() &&
                           state->second.fence == group.fence &&
                           now < state->second.paused_until;
    if (is_paused) {
      continue;
    }
    candidates.push_back({&group, this->DistanceTo(view, group.data_centre),
                          this->UsageOf(group, known->second, now)});
  }
  return candidates;
}

const Group* GroupChooser::PickCandidate(
    const std::vector<Candidate>& candidates) {
  std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
  const Candidate& first = candidates[pick(this->random)];
  if (this->policy == Policy::kRandom) {
    return first.group;
  }
  const Candidate& second = candidates[pick(this->random)];
  return first.usage <= second.usage ? first.group : second.group;
}

const Group* GroupChooser::Choose(const View& view, const std::string& service,
                                  const std::set<std::string>& excluded,
                                  TimePoint now) {
  const std::vector<Candidate> all =
      this->Candidates(view, service, excluded, now);
  if (all.empty()) {
    return nullptr;
  }
  if (this->policy == Policy::kRandom) {
    return this->PickCandidate(all);
  }
  for (int distance = 0; distance < kDistanceCount; ++distance) {
    std::vector<Candidate> nearest;
    for (const Candidate& candidate : all) {
      if (candidate.distance == distance && candidate.usage < 1.0) {
        nearest.push_back(candidate);
      }
    }
    if (!nearest.empty()) {
      return this->PickCandidate(nearest);
    }
  }
  return nullptr;
}

void GroupChooser::RecordSent(const Group& group, TimePoint now) {
  GroupState& state = this->states[group.name];
  if (state.fence != group.fence) {
    const std::int64_t outstanding = state.outstanding;
    state = GroupState{};
    state.fence = group.fence;
    state.outstanding = outstanding;
  }
  state.outstanding += 1;
  state.probe_at = now + kFullReportLifetime;
}

void GroupChooser::RecordDone(const std::string& group) {
  GroupState& state = this->states[group];
  state.outstanding = std::max<std::int64_t>(0, state.outstanding - 1);
}

void GroupChooser::RecordLoad(const std::string& group,
                              const protocol::Load& load, TimePoint now) {
  GroupState& state = this->states[group];
  state.reported = load;
  state.has_report = true;
  state.probe_at = now + kFullReportLifetime;
  state.outstanding_at_report = state.outstanding;
}

void GroupChooser::RecordBusy(const std::string& group, TimePoint now) {
  this->states[group].paused_until = now + kBusyPause;
}

void GroupChooser::RecordFailure(const std::string& group, TimePoint now) {
  this->states[group].paused_until = now + kFailurePause;
}

void GroupChooser::Prune(const View& view) {
  for (auto state = this->states.begin(); state != this->states.end();) {
    const bool is_unused =
        view.groups.count(state->first) == 0 && state->second.outstanding == 0;
    state = is_unused ? this->states.erase(state) : std::next(state);
  }
}

}  // namespace gooseberryturn::routing
