#include "gooseberryturn/direct/target_notices.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <utility>

namespace gooseberryturn::direct {

namespace {

constexpr std::string_view kBlanks = " \t";

/// True for digits with at most one decimal point among them.
bool IsDecimal(std::string_view text) {
  std::size_t digits = 0;
  std::size_t points = 0;
  for (const char character : text) {
    const bool is_digit =
        std::isdigit(static_cast<unsigned char>(character)) != 0;
    digits += is_digit ? 1 : 0;
    points += character == '.' ? 1 : 0;
    if (!is_digit && character != '.') {
      return false;
    }
  }
  return digits > 0 && points <= 1;
}

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

}  // namespace

RequestedPause ReadPause(std::string_view retry_after) {
  const std::string_view text = Trim(retry_after);
  if (text.empty()) {
    return {};
  }
  if (!IsDecimal(text)) {
    return {PauseState::kIgnored, Duration(0)};
  }
  double seconds = 0;
  const std::from_chars_result read =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  const double most = std::chrono::duration<double>(kMaxPause).count();
  if (read.ec == std::errc::result_out_of_range || seconds > most) {
    return {PauseState::kBounded, kMaxPause};
  }
  return {PauseState::kValid, FromSeconds(seconds)};
}

const TargetNotices::Notice* TargetNotices::Find(
    const TargetIncarnation& incarnation) const {
  const auto found = this->notices.find(incarnation.target);
  const bool is_this_incarnation =
      found != this->notices.end() &&
      incarnation.start_time_ms <= found->second.start_time_ms;
  return is_this_incarnation ? &found->second : nullptr;
}

TargetNotices::Notice& TargetNotices::FindOrAdd(
    const TargetIncarnation& incarnation) {
  Notice& notice = this->notices[incarnation.target];
  if (notice.number == 0 || notice.start_time_ms < incarnation.start_time_ms) {
    notice = Notice();
    notice.start_time_ms = incarnation.start_time_ms;
    notice.number = ++this->next_number;
  }
  if (this->notices.size() > kMaxTargets) {
    this->notices.erase(
        std::min_element(this->notices.begin(), this->notices.end(),
                         [](const std::pair<const std::string, Notice>& a,
                            const std::pair<const std::string, Notice>& b) {
                           return a.second.number < b.second.number;
                         }));
  }
  return this->notices[incarnation.target];
}

bool TargetNotices::RecordLeaving(const TargetIncarnation& incarnation) {
  return !std::exchange(this->FindOrAdd(incarnation).is_leaving, true);
}

TimePoint TargetNotices::RecordPause(const TargetIncarnation& incarnation,
                                     TimePoint until) {
  Notice& notice = this->FindOrAdd(incarnation);
  notice.paused_until = std::max(notice.paused_until, until);
  notice.request_limit = 1;
  return notice.paused_until;
}

void TargetNotices::RecordGoodAnswer(const TargetIncarnation& incarnation,
                                     TimePoint now) {
  const Notice* known = this->Find(incarnation);
  const bool is_returning = known != nullptr &&
                            known->request_limit.has_value() &&
                            now >= known->paused_until;
  if (!is_returning) {
    return;
  }
  std::optional<std::uint32_t>& limit =
      this->notices[incarnation.target].request_limit;
  *limit += 1;
  if (*limit >= kFullLimit) {
    limit.reset();
  }
}

bool TargetNotices::IsLeaving(const TargetIncarnation& incarnation) const {
  const Notice* notice = this->Find(incarnation);
  return notice != nullptr && notice->is_leaving;
}

std::optional<TimePoint> TargetNotices::PausedUntil(
    const TargetIncarnation& incarnation, TimePoint now) const {
  const Notice* notice = this->Find(incarnation);
  const bool is_paused = notice != nullptr && now < notice->paused_until;
  return is_paused ? std::optional<TimePoint>(notice->paused_until)
                   : std::nullopt;
}

std::optional<std::uint32_t> TargetNotices::RequestLimit(
    const TargetIncarnation& incarnation) const {
  const Notice* notice = this->Find(incarnation);
  return notice == nullptr ? std::nullopt : notice->request_limit;
}

}  // namespace gooseberryturn::direct
