#include "gooseberryturn/observe/metrics.h"

#include <unistd.h>

#include <cstdio>
#include <fstream>

namespace gooseberryturn::observe {

namespace accumulators = boost::accumulators;

namespace {

constexpr char kPrefix[] = "gooseberryturn_";
constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

std::string FormatSample(const std::string& name, const std::string& labels,
                         const std::string& value) {
  return kPrefix + name + labels + " " + value + "\n";
}

std::string FormatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.6g", value);
  return text;
}

/// Resident memory of this process in bytes, or 0 if it cannot be read.
std::int64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::int64_t total_pages = 0;
  std::int64_t resident_pages = 0;
  statm >> total_pages >> resident_pages;
  return resident_pages * sysconf(_SC_PAGESIZE);
}

/// Appends one counter for each value of an enumeration from `first` on.
template <typename Enum, std::size_t Size>
void RenderByLabel(const std::string& name, const std::string& label,
                   const NameTable<Enum, Size>& names,
                   const std::array<std::atomic<std::int64_t>, Size>& counts,
                   std::size_t first, std::string& output) {
  output += "# TYPE " + std::string(kPrefix) + name + " counter\n";
  for (std::size_t index = first; index < Size; ++index) {
    const std::string value(names.names[index]);
    output += FormatSample(name, "{" + label + "=\"" + value + "\"}",
                           std::to_string(counts[index].load()));
  }
}

}  // namespace

Metrics::Metrics()
    : values(),
      refusals(),
      retries(),
      closes(),
      timings{
          Quantiles(accumulators::extended_p_square_probabilities = kQuantiles),
          Quantiles(accumulators::extended_p_square_probabilities = kQuantiles),
          Quantiles(accumulators::extended_p_square_probabilities = kQuantiles),
          Quantiles(accumulators::extended_p_square_probabilities =
                        kQuantiles)} {}

void Metrics::Add(Metric metric, std::int64_t amount) noexcept {
  this->values[static_cast<std::size_t>(metric)] += amount;
}

void Metrics::Set(Metric metric, std::int64_t value) noexcept {
  this->values[static_cast<std::size_t>(metric)] = value;
}

std::int64_t Metrics::Get(Metric metric) const noexcept {
  return this->values[static_cast<std::size_t>(metric)];
}

void Metrics::CountRefusal(Reason reason) noexcept {
  this->refusals[static_cast<std::size_t>(reason)] += 1;
}

void Metrics::CountClose(CloseCause cause) noexcept {
  this->closes[static_cast<std::size_t>(cause)] += 1;
}

void Metrics::CountRetry(Reason reason) noexcept {
  this->retries[static_cast<std::size_t>(reason)] += 1;
}

void Metrics::Observe(Timing timing, Duration duration) {
  const std::lock_guard<std::mutex> guard(this->timing_mutex);
  this->timings[static_cast<std::size_t>(timing)](
      std::chrono::duration<double>(duration).count());
}

std::string Metrics::Render() const {
  std::string output;
  for (std::size_t index = 0; index < kMetricCount; ++index) {
    const std::string name(kMetricNames.names[index]);
    const bool is_counter =
        name.size() > 6 && name.compare(name.size() - 6, 6, "_total") == 0;
    output += "# TYPE " + std::string(kPrefix) + name +
              (is_counter ? " counter\n" : " gauge\n");
    output +=
        FormatSample(name, "", std::to_string(this->values[index].load()));
  }
  output += "# TYPE " + std::string(kPrefix) + "resident_bytes gauge\n";
  output += FormatSample("resident_bytes", "", std::to_string(ResidentBytes()));
  // Reason::kNone is no reason of a refusal or retry.
  RenderByLabel("refusals_total", "reason", kReasonNames, this->refusals, 1,
                output);
  RenderByLabel("retries_total", "reason", kReasonNames, this->retries, 1,
                output);
  RenderByLabel("closes_total", "cause", kCloseCauseNames, this->closes, 0,
                output);
  const std::lock_guard<std::mutex> guard(this->timing_mutex);
  for (std::size_t index = 0; index < kTimingCount; ++index) {
    const std::string name(kTimingNames.names[index]);
    const Quantiles& timing = this->timings[index];
    output += "# TYPE " + std::string(kPrefix) + name + " summary\n";
    for (const double quantile : kQuantiles) {
      const bool is_empty = accumulators::count(timing) == 0;
      const double value =
          is_empty ? 0
                   : accumulators::quantile(
                         timing, accumulators::quantile_probability = quantile);
      output +=
          FormatSample(name, "{quantile=\"" + FormatNumber(quantile) + "\"}",
                       FormatNumber(value));
    }
    output += FormatSample(name + "_sum", "",
                           FormatNumber(accumulators::sum(timing)));
    output += FormatSample(name + "_count", "",
                           std::to_string(accumulators::count(timing)));
  }
  return output;
}

}  // namespace gooseberryturn::observe
