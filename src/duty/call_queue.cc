#include "gooseberryturn/duty/call_queue.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace gooseberryturn::duty {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirection = 300;
constexpr int kFirstClientError = 400;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
/// Doublings of the backoff until it is kMaxBackoff.
constexpr int kMaxDoublings = 5;
constexpr double kMinJitter = 0.5;
/// Of `calls_per_s`: calls that arrive a little early must not exceed it.
constexpr double kUsedRate = 0.9;

}  // namespace

CallOutcome OutcomeOfStatus(int status) {
  if (status >= kFirstSuccess && status < kFirstRedirection) {
    return CallOutcome::kAcknowledged;
  }
  if (status == kConflict) {
    return CallOutcome::kConflict;
  }
  if (status == kTooManyRequests) {
    return CallOutcome::kRateLimited;
  }
  const bool is_client_error =
      status >= kFirstClientError && status < kFirstServerError;
  return is_client_error ? CallOutcome::kRejected : CallOutcome::kUnknown;
}

CallQueue::CallQueue(double calls_per_s, std::uint64_t seed)
    : call_interval(calls_per_s > 0 ? FromSeconds(1 / (kUsedRate * calls_per_s))
                                    : Duration(0)),
      random(seed) {}

void CallQueue::StartLeading() {
  this->subjects.clear();
  this->last_acknowledged = 0;
}

void CallQueue::SetScaleTargets(const std::vector<ScaleOrder>& orders) {
  std::set<SubjectKey> kept = {SubjectKey()};
  for (const ScaleOrder& order : orders) {
    kept.insert({order.service, order.data_centre});
  }
  for (auto entry = this->subjects.begin(); entry != this->subjects.end();) {
    Subject& subject = entry->second;
    subject.wanted.reset();
    const bool is_settled = subject.call_in_progress == 0 &&
                            !subject.unanswered.has_value() &&
                            !subject.is_uncertain;
    entry = is_settled && kept.count(entry->first) == 0
                ? this->subjects.erase(entry)
                : std::next(entry);
  }
  for (const ScaleOrder& order : orders) {
    const SubjectKey key = {order.service, order.data_centre};
    const bool is_known = this->subjects.count(key) > 0;
    if (!is_known && this->subjects.size() >= kMaxSubjects) {
      continue;
    }
    this->subjects[key].wanted = order;
  }
}

bool CallQueue::NeedsOrder(const Subject& subject) {
  if (!subject.wanted.has_value()) {
    return false;
  }
  const std::size_t known =
      subject.acknowledged.value_or(subject.wanted->present);
  return subject.is_uncertain || subject.wanted->targets != known;
}

bool CallQueue::IsSafeUnder(const Subject& subject, std::uint64_t fence) {
  return !subject.unanswered.has_value() || subject.unanswered->fence < fence ||
         subject.unanswered->targets == subject.wanted->targets;
}

bool CallQueue::IsDue(const SubjectKey& key, const Subject& subject,
                      const WindowCounts& reports, std::uint64_t fence) const {
  if (key == SubjectKey()) {
    return reports.upper_bound(this->last_acknowledged) != reports.end();
  }
  return NeedsOrder(subject) && IsSafeUnder(subject, fence);
}

std::map<CallQueue::SubjectKey, CallQueue::Subject>::iterator
CallQueue::FindNext(const WindowCounts& reports, std::uint64_t fence,
                    TimePoint now) {
  auto usage = this->subjects.end();
  auto order = this->subjects.end();
  for (auto entry = this->subjects.begin(); entry != this->subjects.end();
       ++entry) {
    const Subject& subject = entry->second;
    const bool is_ready = subject.call_in_progress == 0 &&
                          now >= subject.not_before &&
                          this->IsDue(entry->first, subject, reports, fence);
    if (!is_ready) {
      continue;
    }
    if (entry->first == SubjectKey()) {
      usage = entry;
    } else if (order == this->subjects.end() ||
               subject.last_sent_at < order->second.last_sent_at) {
      order = entry;
    }
  }
  const bool is_usage_next =
      usage != this->subjects.end() &&
      (order == this->subjects.end() || this->last_duty == Duty::kScale);
  return is_usage_next ? usage : order;
}

std::optional<PlatformCall> CallQueue::TakeNext(const WindowCounts& reports,
                                                std::uint64_t fence,
                                                TimePoint now) {
  if (this->call_interval == Duration(0) || now < this->next_call_at) {
    return std::nullopt;
  }
  if (!reports.empty()) {
    this->subjects.try_emplace(SubjectKey());
  }
  const auto next = this->FindNext(reports, fence, now);
  if (next == this->subjects.end()) {
    return std::nullopt;
  }
  Subject& subject = next->second;
  PlatformCall call;
  call.number = ++this->last_number;
  call.fence = fence;
  if (next->first == SubjectKey()) {
    const auto report = reports.upper_bound(this->last_acknowledged);
    call.usage = {report->first, report->second};
  } else {
    call.duty = Duty::kScale;
    call.order = *subject.wanted;
  }
  subject.call_in_progress = call.number;
  subject.last_sent_at = now;
  this->last_duty = call.duty;
  this->next_call_at = now + this->call_interval;
  return call;
}

std::uint64_t CallQueue::FenceToExceed(std::uint64_t fence) const {
  std::uint64_t highest = 0;
  for (const std::pair<const SubjectKey, Subject>& entry : this->subjects) {
    const Subject& subject = entry.second;
    if (NeedsOrder(subject) && subject.call_in_progress == 0 &&
        !IsSafeUnder(subject, fence)) {
      highest = std::max(highest, subject.unanswered->fence);
    }
  }
  return highest;
}

void CallQueue::RecordOutcome(const PlatformCall& call, CallOutcome outcome,
                              TimePoint now) {
  const SubjectKey key = {call.order.service, call.order.data_centre};
  const auto found = this->subjects.find(key);
  if (found == this->subjects.end() ||
      found->second.call_in_progress != call.number) {
    return;
  }
  Subject& subject = found->second;
  subject.call_in_progress = 0;
  switch (outcome) {
    case CallOutcome::kAcknowledged:
      this->RecordAcknowledged(subject, call);
      return;
    case CallOutcome::kConflict:
      // Another holder has made a call for this subject.
      subject.is_uncertain = true;
      break;
    case CallOutcome::kUnknown:
      subject.is_uncertain = true;
      subject.unanswered = {call.order.targets, call.fence};
      break;
    case CallOutcome::kRateLimited:
      this->next_call_at =
          std::max(this->next_call_at, now + this->call_interval);
      break;
    case CallOutcome::kRejected:
    case CallOutcome::kNotSent:
      break;
  }
  this->BackOff(subject, now);
}

void CallQueue::RecordAcknowledged(Subject& subject, const PlatformCall& call) {
  subject.failures = 0;
  subject.is_uncertain = false;
  if (call.duty == Duty::kUsage) {
    this->last_acknowledged = call.usage.window;
    return;
  }
  subject.acknowledged = call.order.targets;
  if (subject.unanswered.has_value() &&
      call.fence > subject.unanswered->fence) {
    subject.unanswered.reset();
  }
}

void CallQueue::BackOff(Subject& subject, TimePoint now) {
  const int doublings = std::min(subject.failures, kMaxDoublings);
  const Duration longest =
      std::min(kMaxBackoff, kMinBackoff * (1 << doublings));
  std::uniform_real_distribution<double> jitter(kMinJitter, 1);
  subject.failures += 1;
  subject.not_before = now + std::chrono::duration_cast<Duration>(
                                 jitter(this->random) * longest);
}

}  // namespace gooseberryturn::duty
