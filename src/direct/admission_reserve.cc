#include "gooseberryturn/direct/admission_reserve.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberryturn::direct {

namespace {

constexpr double kMsPerSecond = 1000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void AdmissionReserve::DecayingSum::Add(double amount, Duration time_constant,
                                        TimePoint now) {
  this->sum = this->Rate(time_constant, now) * Seconds(time_constant) + amount;
  this->updated_at = now;
}

double AdmissionReserve::DecayingSum::Rate(Duration time_constant,
                                           TimePoint now) const {
  const double age_s = Seconds(std::max(Duration(0), now - this->updated_at));
  const double constant_s = Seconds(time_constant);
  return this->sum * std::exp(-age_s / constant_s) / constant_s;
}

void AdmissionReserve::RecordArrival(int priority, double engine_ms,
                                     TimePoint now) {
  // The comparison is false for a value that is not a number.
  const bool is_usable = engine_ms > 0;
  if (!is_usable) {
    return;
  }
  Arrivals& arrivals = this->arrivals_by_priority[priority];
  arrivals.rising_requests.Add(1, kRiseTime, now);
  arrivals.falling_requests.Add(1, kFallTime, now);
  arrivals.rising_ms.Add(engine_ms, kRiseTime, now);
  arrivals.falling_ms.Add(engine_ms, kFallTime, now);
}

void AdmissionReserve::RecordRefusal(double engine_ms, TimePoint now) {
  this->refused_ms.Add(std::max(0.0, engine_ms), kRiseTime, now);
}

double AdmissionReserve::UrgentRequests(int priority, TimePoint now) const {
  double per_s = 0;
  for (const std::pair<const int, Arrivals>& known :
       this->arrivals_by_priority) {
    if (known.first >= priority) {
      break;
    }
    per_s += std::max(known.second.rising_requests.Rate(kRiseTime, now),
                      known.second.falling_requests.Rate(kFallTime, now));
  }
  return per_s * static_cast<double>(this->capacity.entries);
}

double AdmissionReserve::SpareRate(int priority, TimePoint now) const {
  double urgent_ms_per_s = 0;
  for (const std::pair<const int, Arrivals>& known :
       this->arrivals_by_priority) {
    if (known.first >= priority) {
      break;
    }
    urgent_ms_per_s += std::max(known.second.rising_ms.Rate(kRiseTime, now),
                                known.second.falling_ms.Rate(kFallTime, now));
  }
  const double own_share = static_cast<double>(this->capacity.heads) /
                           static_cast<double>(this->capacity.entries);
  return std::max(0.0, own_share - urgent_ms_per_s / kMsPerSecond);
}

double AdmissionReserve::ReservedRequests(int priority, TimePoint now) const {
  if (this->capacity.heads == 0) {
    return 0;
  }
  const double arrivals = this->UrgentRequests(priority, now) *
                          Seconds(kFigureDelay) /
                          static_cast<double>(this->capacity.heads);
  if (arrivals < kMinReservedArrivals) {
    return 0;
  }
  return arrivals + 2 * std::sqrt(arrivals);
}

bool AdmissionReserve::IsClosed(int priority, double urgent_ms,
                                Duration max_wait, TimePoint now) {
  const auto known = this->arrivals_by_priority.find(priority);
  if (known == this->arrivals_by_priority.end() || this->capacity.heads == 0) {
    return false;
  }
  Arrivals& own = known->second;
  const double done_ms =
      this->SpareRate(priority, now) * Seconds(max_wait) * kMsPerSecond;
  const double share = own.is_closed ? kReopenShare : 1;
  own.is_closed = urgent_ms > 0 && urgent_ms > share * done_ms;
  if (own.is_closed) {
    this->RecordClosed(priority, own, now);
  }
  return own.is_closed;
}

void AdmissionReserve::RecordClosed(int priority, Arrivals& own,
                                    TimePoint now) {
  own.refused += 1;
  if (now < own.next_notice_at || !this->on_closed) {
    return;
  }
  own.next_notice_at = now + kNoticeInterval;
  this->on_closed(priority, std::exchange(own.refused, 0));
}

Duration AdmissionReserve::ReturnTime(int priority, double waiting_ms,
                                      TimePoint now) const {
  const double work_ms =
      waiting_ms + this->refused_ms.Rate(kRiseTime, now) * Seconds(kRiseTime);
  const double spare = this->SpareRate(priority, now);
  const double max_ms = Seconds(kMaxReturnTime) * kMsPerSecond;
  if (work_ms >= spare * max_ms) {
    return kMaxReturnTime;
  }
  return FromSeconds(work_ms / spare / kMsPerSecond);
}

}  // namespace gooseberryturn::direct
