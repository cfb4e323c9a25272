#include "gooseberryturn/direct/model_demand.h"

#include <algorithm>
#include <cmath>

namespace gooseberryturn::direct {

namespace {

/// Coverage from which on more hosts serve no more work well. Below, bursts of
/// arrivals and lost hosts cost a part of it.
constexpr double kFullCoverage = 2;

/// Lower bound of the increase of ServedShare, so that hosts that nothing else
/// needs are used.
constexpr double kMinIncrease = 0.01;

double Milli(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void DemandMeter::RecordRequest(const std::string& service,
                                const std::string& model, double engine_ms) {
  this->totals[{service, model}] += engine_ms;
}

void DemandMeter::RecordAnswer(const std::string& route, double tokens) {
  const auto known = this->mean_answers.find(route);
  if (known == this->mean_answers.end()) {
    this->mean_answers[route] = tokens;
  } else {
    known->second += kAnswerWeight * (tokens - known->second);
  }
}

double DemandMeter::MeanAnswerTokens(const std::string& route,
                                     double fallback) const {
  const auto known = this->mean_answers.find(route);
  return known == this->mean_answers.end() ? fallback : known->second;
}

std::vector<ModelWork> DemandMeter::Totals() const {
  std::vector<ModelWork> work;
  for (const auto& entry : this->totals) {
    work.push_back({entry.first.first, entry.first.second, entry.second});
  }
  return work;
}

void DemandAggregator::AddReport(const Report& report, TimePoint now) {
  Entry& entry = this->entries[report.host];
  const bool is_new = entry.incarnation != report.incarnation ||
                      now >= entry.last_heard_at + kReportLifetime;
  if (is_new) {
    entry = Entry();
    entry.incarnation = report.incarnation;
    entry.window_start = now;
  }
  entry.last_heard_at = now;
  if (!is_new && now < entry.window_start + kWindow) {
    return;
  }
  const double window_ms = Milli(now - entry.window_start);
  entry.window_start = now;
  for (const ModelWork& work : report.work) {
    Rate& rate = entry.rates[{work.service, work.model}];
    const double before = std::exchange(rate.total_ms, work.engine_ms);
    if (is_new) {
      continue;
    }
    const double sample = std::max(0.0, work.engine_ms - before) / window_ms;
    const double weight =
        rate.windows > 0 ? 1 - std::exp(-window_ms / Milli(kSmoothingTime)) : 1;
    rate.busy_groups += weight * (sample - rate.busy_groups);
    rate.windows += 1;
  }
}

std::vector<ModelDemand> DemandAggregator::Demand(TimePoint now) const {
  std::map<std::pair<std::string, std::string>, double> sums;
  bool has_rates = false;
  for (const auto& entry : this->entries) {
    if (now >= entry.second.last_heard_at + kReportLifetime) {
      continue;
    }
    for (const auto& rate : entry.second.rates) {
      sums[rate.first] += rate.second.busy_groups;
      has_rates |= rate.second.windows >= kMinWindows;
    }
  }
  if (!has_rates) {
    return {};
  }
  std::vector<ModelDemand> demand;
  demand.reserve(sums.size());
  for (const auto& sum : sums) {
    demand.push_back({sum.first.first, sum.first.second, sum.second});
  }
  return demand;
}

double ServedShare(double coverage) noexcept {
  const double effective = std::clamp(coverage, 0.0, kFullCoverage);
  return effective - effective * effective / (2 * kFullCoverage);
}

double MarginalServedShare(double coverage, double busy_hosts) noexcept {
  return std::max(kMinIncrease, 1 - coverage / kFullCoverage) / busy_hosts;
}

}  // namespace gooseberryturn::direct
