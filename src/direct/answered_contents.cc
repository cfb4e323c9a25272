#include "gooseberryturn/direct/answered_contents.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gooseberryturn/direct/request_content.h"

namespace gooseberryturn::direct {

namespace {

constexpr Duration kExpiryInterval = std::chrono::seconds(1);

}  // namespace

std::vector<std::string> ContentsOf(const CutRequest& request) {
  std::vector<std::string> contents = {RequestContentId(request.fingerprint)};
  for (const std::string& part : request.parts) {
    contents.push_back(PartContentId(part));
  }
  return contents;
}

void AnsweredContents::Record(CutRequest request, bool has_end,
                              TimePoint began_at, TimePoint now) {
  if (this->pending_answers.size() < kMaxPending) {
    this->pending_answers.push_back({std::move(request), has_end, now,
                                     std::max(now, began_at + kOutliveTime)});
  }
}

void AnsweredContents::Count(const PendingAnswer& pending) {
  for (const std::string& content : ContentsOf(pending.request)) {
    const auto known = this->answers.find(content);
    if (known != this->answers.end()) {
      Answer& answer = known->second;
      answer.answered_at = std::max(answer.answered_at, pending.answered_at);
      answer.is_reported = false;
    } else if (this->answers.size() < kMaxContents) {
      this->answers[content].answered_at = pending.answered_at;
    }
  }
}

std::vector<CutRequest> AnsweredContents::Settle(TimePoint now,
                                                 const FindLife& find_life) {
  std::vector<CutRequest> cut;
  std::deque<PendingAnswer> later;
  for (PendingAnswer& pending : this->pending_answers) {
    if (now < pending.settles_at) {
      later.push_back(std::move(pending));
      continue;
    }
    const TargetLife life =
        find_life({pending.request.target, pending.request.start_time_ms});
    if (life == TargetLife::kAlive) {
      this->Count(pending);
    } else if (life == TargetLife::kUnknown &&
               now < pending.settles_at + kMaxWait) {
      later.push_back(std::move(pending));
    } else if (life == TargetLife::kEnded && !pending.has_end) {
      cut.push_back(std::move(pending.request));
      cut.back().age_ms =
          static_cast<std::uint32_t>(WholeMs(now - pending.answered_at));
    }
  }
  this->pending_answers = std::move(later);
  this->Expire(now);
  return cut;
}

void AnsweredContents::Expire(TimePoint now) {
  if (now < this->next_expiry_at) {
    return;
  }
  this->next_expiry_at = now + kExpiryInterval;
  for (auto answer = this->answers.begin(); answer != this->answers.end();) {
    const bool has_expired = now >= answer->second.answered_at + kSoundTime;
    answer = has_expired ? this->answers.erase(answer) : std::next(answer);
  }
}

bool AnsweredContents::IsSound(const std::string& content,
                               TimePoint now) const {
  const auto known = this->answers.find(content);
  return known != this->answers.end() &&
         now < known->second.answered_at + kSoundTime;
}

std::vector<AnsweredContent> AnsweredContents::TakeReport(
    TimePoint now, const std::function<bool(const std::string&)>& is_urgent) {
  std::vector<AnsweredContent> due;
  for (std::pair<const std::string, Answer>& entry : this->answers) {
    Answer& answer = entry.second;
    const bool is_interval_over = answer.reported_at == TimePoint() ||
                                  now >= answer.reported_at + kReportInterval;
    const bool is_due = (is_interval_over && IsPartContentId(entry.first)) ||
                        is_urgent(entry.first);
    if (answer.is_reported || !is_due || due.size() >= kMaxReported) {
      continue;
    }
    answer.is_reported = true;
    answer.reported_at = now;
    due.push_back({entry.first, static_cast<std::uint32_t>(
                                    WholeMs(now - answer.answered_at))});
  }
  return due;
}

void AnsweredContents::ReportAgain() {
  for (std::pair<const std::string, Answer>& entry : this->answers) {
    entry.second.is_reported = false;
    entry.second.reported_at = TimePoint();
  }
}

}  // namespace gooseberryturn::direct
