#include "gooseberryturn/duty/demand_forecast.h"

#include <algorithm>
#include <cmath>

namespace gooseberryturn::duty {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

bool DemandForecast::Add(double busy_hosts, TimePoint now) {
  const bool is_valid = busy_hosts >= 0 && busy_hosts <= kMaxBusyHosts;
  if (!is_valid || (!this->samples.empty() && now <= this->samples.back().at)) {
    return false;
  }
  this->samples.push_back({now, busy_hosts});
  while (this->samples.front().at + kHistory < now) {
    this->samples.pop_front();
  }
  return true;
}

double DemandForecast::Level() const {
  double sum = 0;
  double count = 0;
  for (const Sample& sample : this->samples) {
    if (sample.at + kLevelWindow > this->samples.back().at) {
      sum += sample.busy_hosts;
      count += 1;
    }
  }
  return count > 0 ? sum / count : 0;
}

double DemandForecast::Slope() const {
  if (this->samples.size() < kMinSamples) {
    return 0;
  }
  const double count = static_cast<double>(this->samples.size());
  const TimePoint origin = this->samples.front().at;
  double mean_time = 0;
  double mean_demand = 0;
  for (const Sample& sample : this->samples) {
    mean_time += Seconds(sample.at - origin) / count;
    mean_demand += sample.busy_hosts / count;
  }
  double time_variation = 0;
  double covariation = 0;
  double demand_variation = 0;
  for (const Sample& sample : this->samples) {
    const double time = Seconds(sample.at - origin) - mean_time;
    const double demand = sample.busy_hosts - mean_demand;
    time_variation += time * time;
    covariation += time * demand;
    demand_variation += demand * demand;
  }
  const double slope = covariation / time_variation;
  const double residual = std::max(0.0, demand_variation - slope * covariation);
  const double standard_error =
      std::sqrt(residual / (count - 2) / time_variation);
  return std::max(0.0, slope - kSlopeConfidence * standard_error);
}

double DemandForecast::Predict(Duration horizon) const {
  const double level = this->Level();
  const double growth = this->Slope() * Seconds(horizon);
  const double predicted =
      level + std::max(0.0, growth - kIgnoredGrowth * level);
  return std::min(kMaxGrowth * level, predicted);
}

}  // namespace gooseberryturn::duty
