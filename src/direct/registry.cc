#include "gooseberryturn/direct/registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "gooseberryturn/direct/cold_entries.h"

namespace gooseberryturn::direct {

namespace {

bool IsSameView(const TargetView& a, const TargetView& b) {
  const bool has_same_membership =
      a.engine.membership.has_value() == b.engine.membership.has_value() &&
      (!a.engine.membership.has_value() ||
       (a.engine.membership->group == b.engine.membership->group &&
        a.engine.membership->epoch == b.engine.membership->epoch &&
        a.engine.membership->rank == b.engine.membership->rank &&
        a.engine.membership->state == b.engine.membership->state));
  return has_same_membership && a.address == b.address &&
         a.service == b.service && a.data_centre == b.data_centre &&
         a.start_time_ms == b.start_time_ms && a.is_leaving == b.is_leaving &&
         a.is_cold == b.is_cold && a.engine.domain == b.engine.domain &&
         a.engine.staged == b.engine.staged &&
         a.engine.loaded_model == b.engine.loaded_model;
}

bool IsInSameGroup(const TargetView& a, const TargetView& b) {
  const std::optional<Membership>& one = a.engine.membership;
  const std::optional<Membership>& other = b.engine.membership;
  return one.has_value() && other.has_value() && one->group == other->group &&
         one->epoch == other->epoch;
}

bool IsInGroup(const TargetView& view) {
  const std::optional<Membership>& membership = view.engine.membership;
  return membership.has_value() && membership->state != MemberState::kNone;
}

}  // namespace

std::set<std::string> Registry::IdsAt(const Endpoint& address) const {
  const auto found = this->ids_by_address.find(ToString(address));
  return found == this->ids_by_address.end() ? std::set<std::string>()
                                             : found->second;
}

void Registry::SetAddress(TargetRecord& record, const Endpoint& address) {
  this->ClearAddress(record);
  record.view.address = address;
  this->ids_by_address[ToString(address)].insert(record.view.name);
}

void Registry::ClearAddress(const TargetRecord& record) {
  const auto found = this->ids_by_address.find(ToString(record.view.address));
  if (found == this->ids_by_address.end()) {
    return;
  }
  found->second.erase(record.view.name);
  if (found->second.empty()) {
    this->ids_by_address.erase(found);
  }
}

std::vector<std::string> Registry::SupersedingIds(
    const Announcement& announcement) const {
  std::vector<std::string> superseding;
  for (const std::string& id : this->IdsAt(announcement.address)) {
    const bool is_later =
        this->records.at(id).view.start_time_ms > announcement.start_time_ms;
    if (id != announcement.id && is_later) {
      superseding.push_back(id);
    }
  }
  return superseding;
}

bool Registry::ReplacesRun(const Announcement& announcement) const {
  const auto known = this->records.find(announcement.id);
  const bool replaces_own =
      known != this->records.end() &&
      known->second.view.start_time_ms < announcement.start_time_ms;
  const std::set<std::string> ids = this->IdsAt(announcement.address);
  return replaces_own || std::any_of(ids.begin(), ids.end(),
                                     [&announcement](const std::string& id) {
                                       return id != announcement.id;
                                     });
}

bool Registry::ContradictsRecord(const Announcement& announcement) const {
  const auto known = this->records.find(announcement.id);
  if (known == this->records.end()) {
    return !this->SupersedingIds(announcement).empty();
  }
  const TargetRecord& record = known->second;
  const bool is_earlier_run =
      announcement.start_time_ms < record.view.start_time_ms;
  const bool is_same_run =
      announcement.start_time_ms == record.view.start_time_ms;
  const bool is_late = is_same_run && announcement.sequence <= record.sequence;
  // A run stays at its address. Without a start, runs can't be told apart.
  const bool is_elsewhere = is_same_run && announcement.start_time_ms > 0 &&
                            announcement.address != record.view.address;
  return is_earlier_run || is_late || is_elsewhere;
}

TimePoint Registry::NewerHeardAt(const Announcement& announcement) const {
  const auto known = this->records.find(announcement.id);
  if (known != this->records.end()) {
    return known->second.last_heard_at;
  }
  TimePoint heard_at;
  for (const std::string& id : this->SupersedingIds(announcement)) {
    heard_at = std::max(heard_at, this->records.at(id).last_heard_at);
  }
  return heard_at;
}

std::vector<TargetIncarnation> Registry::ContestedRuns(
    const Announcement& announcement) const {
  std::vector<TargetIncarnation> runs;
  for (const std::string& id : this->IdsAt(announcement.address)) {
    const TargetView& view = this->records.at(id).view;
    if (id != announcement.id && IsInGroup(view) &&
        view.start_time_ms <= announcement.start_time_ms) {
      runs.push_back(view.Incarnation());
    }
  }
  const auto known = this->records.find(announcement.id);
  if (known != this->records.end()) {
    const TargetView& view = known->second.view;
    if (IsInGroup(view) && view.start_time_ms < announcement.start_time_ms) {
      runs.push_back(view.Incarnation());
    }
  }
  return runs;
}

TimePoint Registry::ContestedHeardAt(
    const std::vector<TargetIncarnation>& runs) const {
  TimePoint heard_at;
  for (const TargetIncarnation& run : runs) {
    heard_at = std::max(heard_at, this->records.at(run.target).last_heard_at);
  }
  return heard_at;
}

void Registry::ConfirmEnd(const TargetIncarnation& run, TimePoint now) {
  this->confirmed_ends[run.target] = {run.start_time_ms, now + kEndRetention};
  const auto known = this->records.find(run.target);
  if (known != this->records.end() &&
      known->second.view.start_time_ms == run.start_time_ms) {
    this->Remove(known);
  }
}

bool Registry::HasEnded(const TargetIncarnation& run) const {
  const auto end = this->confirmed_ends.find(run.target);
  return end != this->confirmed_ends.end() &&
         end->second.start_time_ms >= run.start_time_ms;
}

bool Registry::TakesOver(const Announcement& announcement, TimePoint heard_at,
                         TimePoint now) {
  Contender& contender = this->contenders[announcement.id];
  const bool is_continued =
      contender.announcements > 0 &&
      contender.start_time_ms == announcement.start_time_ms &&
      contender.since >= heard_at;
  if (!is_continued) {
    contender = {announcement.start_time_ms, announcement.sequence, 1, now};
    return false;
  }
  if (announcement.sequence <= contender.sequence) {
    return false;
  }
  contender.sequence = announcement.sequence;
  contender.announcements += 1;
  return contender.announcements >= kTakeoverAnnouncements &&
         now >= contender.since + kTakeoverTime;
}

void Registry::RemoveOlderAt(const Endpoint& address, const std::string& id,
                             std::int64_t start_time_ms) {
  for (const std::string& other : this->IdsAt(address)) {
    const auto entry = this->records.find(other);
    if (other != id && entry->second.view.start_time_ms <= start_time_ms) {
      this->Remove(entry);
    }
  }
}

std::map<std::string, TargetRecord>::iterator Registry::Remove(
    std::map<std::string, TargetRecord>::iterator entry) {
  const TargetView& view = entry->second.view;
  this->ClearAddress(entry->second);
  this->ended.push_back({view.Incarnation(), view.is_leaving});
  this->removed.push_back(entry->first);
  return this->records.erase(entry);
}

AnnouncementResult Registry::HandleAnnouncement(
    const Announcement& announcement, TimePoint now, std::int64_t unix_ms) {
  const bool is_credible =
      announcement.start_time_ms - kMaxClockDifferenceMs <= unix_ms;
  if (!is_credible && this->ReplacesRun(announcement)) {
    return AnnouncementResult::kStale;
  }
  const auto tombstone = this->tombstones.find(announcement.id);
  const bool has_withdrawn =
      tombstone != this->tombstones.end() &&
      announcement.start_time_ms <= tombstone->second.start_time_ms;
  const auto known = this->records.find(announcement.id);
  if (known == this->records.end() && has_withdrawn) {
    return AnnouncementResult::kStale;
  }
  const bool is_takeover = this->ContradictsRecord(announcement);
  if (is_takeover) {
    if (!this->TakesOver(announcement, this->NewerHeardAt(announcement), now)) {
      return AnnouncementResult::kStale;
    }
    for (const std::string& id : this->SupersedingIds(announcement)) {
      this->Remove(this->records.find(id));
    }
  }
  const std::vector<TargetIncarnation> contested =
      is_takeover ? std::vector<TargetIncarnation>()
                  : this->ContestedRuns(announcement);
  if (!contested.empty() &&
      !this->TakesOver(announcement, this->ContestedHeardAt(contested), now)) {
    return AnnouncementResult::kContested;
  }
  this->contenders.erase(announcement.id);
  this->RemoveOlderAt(announcement.address, announcement.id,
                      announcement.start_time_ms);
  const bool is_new_run =
      known == this->records.end() ||
      known->second.view.start_time_ms != announcement.start_time_ms;
  if (known != this->records.end() && is_new_run) {
    const TargetView& view = known->second.view;
    this->ended.push_back({view.Incarnation(), view.is_leaving});
    if (!is_takeover && contested.empty()) {
      this->confirmed_ends[announcement.id] = {view.start_time_ms,
                                               now + kEndRetention};
    }
  }
  TargetRecord& record = this->records[announcement.id];
  const TargetView before = record.view;
  record.view.name = announcement.id;
  this->SetAddress(record, announcement.address);
  record.view.service = announcement.service;
  record.view.data_centre = announcement.data_centre;
  record.view.start_time_ms = announcement.start_time_ms;
  record.view.is_leaving = announcement.is_leaving || has_withdrawn ||
                           (before.is_leaving && !is_new_run && !is_takeover);
  record.view.is_cold = announcement.cold_left_ms > 0;
  if (!record.view.is_cold) {
    record.view.cold_entries.clear();
  }
  record.view.engine = announcement.engine.value_or(EngineReport{});
  if (!record.view.engine.loaded_model.empty()) {
    record.view.last_model = record.view.engine.loaded_model;
  } else if (is_new_run) {
    record.view.last_model.clear();
  }
  if (is_new_run || !IsInSameGroup(before, record.view)) {
    record.in_group_since = now;
  }
  record.sequence = announcement.sequence;
  record.content = ContentDigest(announcement);
  record.last_heard_at = now;
  record.is_unconfirmed = false;
  record.cold_until = now + Milliseconds(announcement.cold_left_ms);
  if (is_new_run) {
    return AnnouncementResult::kNew;
  }
  return IsSameView(before, record.view) ? AnnouncementResult::kSame
                                         : AnnouncementResult::kChanged;
}

bool Registry::Refresh(const HeardTarget& heard, TimePoint now) {
  const auto known = this->records.find(heard.id);
  if (known == this->records.end()) {
    return false;
  }
  TargetRecord& record = known->second;
  const bool is_known = !record.is_unconfirmed && !heard.content.empty() &&
                        record.view.start_time_ms == heard.start_time_ms &&
                        record.content == heard.content;
  if (is_known && heard.sequence > record.sequence) {
    record.sequence = heard.sequence;
    record.last_heard_at = now;
  }
  return is_known;
}

RunState Registry::StateOf(const TargetIncarnation& run, bool is_other_target,
                           const std::optional<EngineReport>& report,
                           TimePoint now) const {
  const TargetRecord* record = this->Find(run.target);
  if (record == nullptr) {
    return RunState::kUnknown;
  }
  if (is_other_target) {
    return RunState::kEnded;  // A member of a group would have reported.
  }
  if (!report.has_value()) {
    return RunState::kUnknown;
  }
  const std::optional<Membership>& before = record->view.engine.membership;
  const std::optional<Membership>& reported = report->membership;
  const bool is_in_its_group = before.has_value() && reported.has_value() &&
                               before->group == reported->group &&
                               before->epoch == reported->epoch &&
                               reported->state != MemberState::kNone;
  if (is_in_its_group) {
    return RunState::kRunning;
  }
  // The report may be from before it joined.
  const bool is_report_current = now >= record->in_group_since + kMaxReportAge;
  return is_report_current ? RunState::kEnded : RunState::kUnknown;
}

void Registry::MarkLeaving(const std::string& id, TimePoint now) {
  const auto known = this->records.find(id);
  if (known == this->records.end()) {
    return;
  }
  known->second.view.is_leaving = true;
  this->tombstones[id] = {known->second.view.start_time_ms,
                          now + kSilentRetention};
}

void Registry::AddRecorded(const TargetView& view, TimePoint now) {
  if (this->records.count(view.name) > 0) {
    return;
  }
  TargetRecord record;
  record.view = view;
  record.last_heard_at = now;
  record.in_group_since = now;
  // The end of its cold period is unknown until it announces itself.
  record.cold_until = now + kSilentRetention;
  record.is_unconfirmed = true;
  this->SetAddress(this->records[view.name] = record, view.address);
}

std::vector<std::string> Registry::Expire(TimePoint now) {
  std::vector<std::string> changed;
  for (auto entry = this->records.begin(); entry != this->records.end();) {
    TargetRecord& record = entry->second;
    if (record.view.is_cold && now >= record.cold_until) {
      record.view.is_cold = false;
      record.view.cold_entries.clear();
      changed.push_back(entry->first);
    }
    const Duration limit =
        record.view.is_leaving ? kLeavingRetention : kSilentRetention;
    entry = now >= record.last_heard_at + limit ? this->Remove(entry)
                                                : std::next(entry);
  }
  for (auto tombstone = this->tombstones.begin();
       tombstone != this->tombstones.end();) {
    const bool has_expired = now >= tombstone->second.forget_at;
    tombstone =
        has_expired ? this->tombstones.erase(tombstone) : std::next(tombstone);
  }
  for (auto end = this->confirmed_ends.begin();
       end != this->confirmed_ends.end();) {
    const bool has_expired = now >= end->second.forget_at;
    end = has_expired ? this->confirmed_ends.erase(end) : std::next(end);
  }
  for (auto contender = this->contenders.begin();
       contender != this->contenders.end();) {
    const bool has_expired = now >= contender->second.since + kSilentRetention;
    contender =
        has_expired ? this->contenders.erase(contender) : std::next(contender);
  }
  return changed;
}

bool Registry::AssignColdEntries(const std::string& id,
                                 const std::vector<std::string>& entries) {
  const auto known = this->records.find(id);
  return known != this->records.end() && known->second.view.is_cold &&
         direct::AssignColdEntries(id, entries,
                                   known->second.view.cold_entries);
}

std::vector<std::string> Registry::AssignColdEntries(
    const std::vector<std::string>& entries) {
  std::vector<std::string> changed;
  for (std::pair<const std::string, TargetRecord>& entry : this->records) {
    TargetView& view = entry.second.view;
    if (view.is_cold &&
        direct::AssignColdEntries(view.name, entries, view.cold_entries)) {
      changed.push_back(view.name);
    }
  }
  return changed;
}

const TargetRecord* Registry::Find(const std::string& id) const {
  const auto found = this->records.find(id);
  return found == this->records.end() ? nullptr : &found->second;
}

std::vector<std::string> Registry::TakeRemoved() {
  return std::exchange(this->removed, {});
}

std::vector<EndedIncarnation> Registry::TakeEnded() {
  return std::exchange(this->ended, {});
}

}  // namespace gooseberryturn::direct
