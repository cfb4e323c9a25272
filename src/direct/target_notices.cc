#include "gooseberryturn/direct/target_notices.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <utility>

namespace gooseberryturn::direct {

namespace {

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
  constexpr std::string_view kBlanks = " \t";
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

const TargetNotices::Notice* TargetNotices::Find(const TargetLife& life) const {
  const auto found = this->notices.find(life.target);
  const bool is_this_life = found != this->notices.end() &&
                            life.start_time_ms <= found->second.start_time_ms;
  return is_this_life ? &found->second : nullptr;
}

TargetNotices::Notice& TargetNotices::Make(const TargetLife& life) {
  Notice& notice = this->notices[life.target];
  if (notice.number == 0 || notice.start_time_ms < life.start_time_ms) {
    notice = Notice();
    notice.start_time_ms = life.start_time_ms;
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
  return this->notices[life.target];
}

bool TargetNotices::RecordLeaving(const TargetLife& life) {
  return !std::exchange(this->Make(life).is_leaving, true);
}

TimePoint TargetNotices::RecordPause(const TargetLife& life, TimePoint until) {
  Notice& notice = this->Make(life);
  notice.paused_until = std::max(notice.paused_until, until);
  notice.limit = 1;
  return notice.paused_until;
}

void TargetNotices::RecordGoodAnswer(const TargetLife& life, TimePoint now) {
  const Notice* known = this->Find(life);
  const bool is_returning = known != nullptr && known->limit.has_value() &&
                            now >= known->paused_until;
  if (!is_returning) {
    return;
  }
  std::optional<std::uint32_t>& limit = this->notices[life.target].limit;
  *limit += 1;
  if (*limit >= kFullLimit) {
    limit.reset();
  }
}

bool TargetNotices::IsLeaving(const TargetLife& life) const {
  const Notice* notice = this->Find(life);
  return notice != nullptr && notice->is_leaving;
}

std::optional<TimePoint> TargetNotices::PausedUntil(const TargetLife& life,
                                                    TimePoint now) const {
  const Notice* notice = this->Find(life);
  const bool is_paused = notice != nullptr && now < notice->paused_until;
  return is_paused ? std::optional<TimePoint>(notice->paused_until)
                   : std::nullopt;
}

std::optional<std::uint32_t> TargetNotices::RequestLimit(
    const TargetLife& life) const {
  const Notice* notice = this->Find(life);
  return notice == nullptr ? std::nullopt : notice->limit;
}

}  // namespace gooseberryturn::direct
