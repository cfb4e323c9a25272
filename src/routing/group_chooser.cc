#include "gooseberryturn/routing/group_chooser.h"

#include <algorithm>
#include <utility>

namespace gooseberryturn::routing {

using protocol::Group;
using protocol::View;

namespace {

constexpr int kDistances = 3;
/// Just below full: chosen only after every group that has room.
constexpr double kProbeUsage = 0.999;

}  // namespace

GroupChooser::GroupChooser(std::string data_centre, Policy policy,
                           std::uint64_t seed)
    : data_centre(std::move(data_centre)), policy(policy), random(seed) {}

int GroupChooser::DistanceTo(const View& view, const std::string& place) const {
  if (place == this->data_centre) {
    return 0;
  }
  const auto own = view.data_centres.find(this->data_centre);
  const auto other = view.data_centres.find(place);
  const bool is_same_region = own != view.data_centres.end() &&
                              other != view.data_centres.end() &&
                              own->second.region == other->second.region;
  return is_same_region ? 1 : 2;
}

double GroupChooser::UsageOf(const Group& group, const config::Service& service,
                             TimePoint now) const {
  const auto found = this->tracks.find(group.name);
  if (found == this->tracks.end() || found->second.fence != group.fence) {
    return 0;
  }
  const Track& track = found->second;
  std::int64_t load = track.outstanding;
  std::int64_t limit = service.limits.cold_in_flight;
  if (track.has_report) {
    load = track.reported.in_flight + track.outstanding -
           track.outstanding_at_report;
    limit = track.reported.limit;
  }
  const double usage = static_cast<double>(std::max<std::int64_t>(0, load)) /
                       static_cast<double>(std::max<std::int64_t>(1, limit));
  const bool may_probe = track.has_report && now >= track.probe_at;
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
    const auto place = view.data_centres.find(group.data_centre);
    const bool is_out = place == view.data_centres.end() || place->second.out;
    if (group.service != service || is_out || excluded.count(group.name) > 0) {
      continue;
    }
    const auto track = this->tracks.find(group.name);
    const bool is_paused = track != this->tracks.end() &&
                           track->second.fence == group.fence &&
                           now < track->second.paused_until;
    if (is_paused) {
      continue;
    }
    candidates.push_back({&group, this->DistanceTo(view, group.data_centre),
                          this->UsageOf(group, known->second, now)});
  }
  return candidates;
}

const Group* GroupChooser::BetterOfTwo(
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
    return this->BetterOfTwo(all);
  }
  for (int distance = 0; distance < kDistances; ++distance) {
    std::vector<Candidate> near;
    for (const Candidate& candidate : all) {
      if (candidate.distance == distance && candidate.usage < 1.0) {
        near.push_back(candidate);
      }
    }
    if (!near.empty()) {
      return this->BetterOfTwo(near);
    }
  }
  return nullptr;
}

void GroupChooser::RecordSent(const Group& group, TimePoint now) {
  Track& track = this->tracks[group.name];
  if (track.fence != group.fence) {
    const std::int64_t outstanding = track.outstanding;
    track = Track{};
    track.fence = group.fence;
    track.outstanding = outstanding;
  }
  track.outstanding += 1;
  track.probe_at = now + kFullReportLifetime;
}

void GroupChooser::RecordDone(const std::string& group) {
  Track& track = this->tracks[group];
  track.outstanding = std::max<std::int64_t>(0, track.outstanding - 1);
}

void GroupChooser::RecordLoad(const std::string& group,
                              const protocol::Load& load, TimePoint now) {
  Track& track = this->tracks[group];
  track.reported = load;
  track.has_report = true;
  track.probe_at = now + kFullReportLifetime;
  track.outstanding_at_report = track.outstanding;
}

void GroupChooser::RecordBusy(const std::string& group, TimePoint now) {
  this->tracks[group].paused_until = now + kBusyPause;
}

void GroupChooser::RecordFailure(const std::string& group, TimePoint now) {
  this->tracks[group].paused_until = now + kFailurePause;
}

void GroupChooser::Prune(const View& view) {
  for (auto track = this->tracks.begin(); track != this->tracks.end();) {
    const bool is_gone =
        view.groups.count(track->first) == 0 && track->second.outstanding == 0;
    track = is_gone ? this->tracks.erase(track) : std::next(track);
  }
}

}  // namespace gooseberryturn::routing
