#include "gooseberryturn/direct/crash_tracker.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "gooseberryturn/direct/request_content.h"

namespace gooseberryturn::direct {

namespace {

/// Reports that are older count as so old.
constexpr std::uint32_t kMaxReportAgeMs = 60'000;

/// Time of an event that was `age_ms` ago.
TimePoint TimeOf(std::uint32_t age_ms, TimePoint now) {
  return now - Milliseconds(std::min(age_ms, kMaxReportAgeMs));
}

}  // namespace

// ------------------------------------------------------------------- evidence

void CrashTracker::Restore(const std::vector<SuspectRecord>& records,
                           std::uint64_t term, TimePoint now) {
  *this = CrashTracker();
  this->trial_count = term * kTrialsPerTerm;
  this->settled_at = now + kSettleTime;
  for (const SuspectRecord& record : records) {
    this->quarantined_count += record.is_quarantined ? 1 : 0;
    Suspect& suspect = this->suspects[record.content];
    suspect.is_quarantined = record.is_quarantined;
    suspect.was_answered = record.was_answered;
    suspect.last_seen_at = now;
    for (const CrashRecord& crash : record.crashes) {
      const TargetIncarnation incarnation = {crash.target, crash.start_time_ms};
      // When it crashed is not recorded: every answer that entries still know
      // of clears it.
      suspect.cuts[incarnation] = {now - kSoundTime, true, crash.is_recent,
                                   true};
    }
  }
  this->UpdateHeld();
  this->events.clear();
  this->change_count += 1;
}

bool CrashTracker::IsExplained(const TargetIncarnation& incarnation) const {
  return this->quarantined_count > 0 &&
         std::any_of(this->suspects.begin(), this->suspects.end(),
                     [&incarnation](const SuspectMap::value_type& entry) {
                       return entry.second.is_quarantined &&
                              entry.second.cuts.count(incarnation) > 0;
                     });
}

bool CrashTracker::DropWeakest() {
  const auto rank = [](const SuspectMap::value_type& entry) {
    const bool may_be_next =
        CrashesOf(entry.second).size() + 1 >= kCrashesToQuarantine;
    return std::make_tuple(entry.second.is_quarantined, may_be_next,
                           IsPartContentId(entry.first),
                           entry.second.last_seen_at);
  };
  const auto weakest = std::min_element(
      this->suspects.begin(), this->suspects.end(),
      [&rank](const SuspectMap::value_type& a,
              const SuspectMap::value_type& b) { return rank(a) < rank(b); });
  if (weakest == this->suspects.end() || weakest->second.is_quarantined) {
    return false;
  }
  this->Erase(weakest);
  return true;
}

void CrashTracker::AddCut(const std::string& content,
                          const TargetIncarnation& incarnation,
                          const Cut& cut) {
  const auto answer = this->answers.find(content);
  const bool has_answer = answer != this->answers.end();
  if (has_answer && answer->second > cut.at) {
    return;
  }
  const auto known = this->suspects.find(content);
  const bool is_quarantined =
      known != this->suspects.end() && known->second.is_quarantined;
  if (!is_quarantined && this->IsExplained(incarnation)) {
    return;
  }
  const bool has_room =
      known == this->suspects.end()
          ? this->suspects.size() < kMaxSuspects || this->DropWeakest()
          : known->second.cuts.size() < kMaxCuts ||
                known->second.cuts.count(incarnation) > 0;
  if (!has_room) {
    return;
  }
  Suspect& suspect = this->suspects[content];
  if (suspect.cuts.empty()) {
    suspect.was_answered = has_answer && cut.at < answer->second + kSoundTime;
  }
  suspect.last_seen_at = std::max(suspect.last_seen_at, cut.at);
  const auto added = suspect.cuts.emplace(incarnation, cut);
  Cut& kept = added.first->second;
  if (added.second && cut.is_observed) {
    // The result of a trial that was in progress.
    suspect.trial.ends_at = TimePoint();
  }
  kept.is_observed |= cut.is_observed;
  kept.is_recent |= cut.is_recent;
  this->change_count += kept.is_crash && added.second ? 1 : 0;
  if (is_quarantined && kept.is_crash) {
    this->Explain(content);
  }
}

void CrashTracker::RecordCut(const CutRequest& cut, TimePoint now) {
  const TargetIncarnation incarnation = {cut.target, cut.start_time_ms};
  const auto end = this->ends.find(incarnation);
  const bool has_ended = end != this->ends.end();
  if (has_ended && end->second.end == TargetEnd::kLeft) {
    return;
  }
  const Cut kept = {TimeOf(cut.age_ms, now), cut.is_observed, cut.is_recent,
                    has_ended};
  for (const std::string& part : cut.parts) {
    this->AddCut(PartContentId(part), incarnation, kept);
  }
  this->AddCut(RequestContentId(cut.fingerprint), incarnation, kept);
  const auto request = this->suspects.find(RequestContentId(cut.fingerprint));
  if (request != this->suspects.end()) {
    for (const std::string& part : cut.parts) {
      request->second.parts.insert(PartContentId(part));
    }
  }
  for (const std::string& content : cut.answered) {
    const auto suspect = this->suspects.find(content);
    if (suspect != this->suspects.end()) {
      suspect->second.was_answered = true;
    }
  }
}

void CrashTracker::RecordAnswer(const std::string& content,
                                TimePoint answered_at) {
  const auto known = this->answers.find(content);
  if (known != this->answers.end()) {
    known->second = std::max(known->second, answered_at);
  } else if (this->answers.size() < kMaxAnswers) {
    this->answers[content] = answered_at;
  }
  const auto found = this->suspects.find(content);
  if (found == this->suspects.end()) {
    return;
  }
  Suspect& suspect = found->second;
  for (auto cut = suspect.cuts.begin(); cut != suspect.cuts.end();) {
    const bool is_before = cut->second.at < answered_at;
    this->change_count += is_before && cut->second.is_crash ? 1 : 0;
    cut = is_before ? suspect.cuts.erase(cut) : std::next(cut);
  }
  suspect.was_answered = true;
  if (suspect.cuts.empty()) {
    this->Erase(found);
  }
}

void CrashTracker::RecordEnd(const TargetIncarnation& incarnation,
                             TargetEnd end, TimePoint now) {
  this->ends.emplace(incarnation, KnownEnd{end, now});
  for (auto entry = this->suspects.begin(); entry != this->suspects.end();) {
    CutsByTarget& cuts = entry->second.cuts;
    const auto cut = cuts.find(incarnation);
    if (cut == cuts.end() || cut->second.is_crash) {
      ++entry;
      continue;
    }
    if (end == TargetEnd::kCrashed) {
      cut->second.is_crash = true;
      this->change_count += 1;
    } else {
      cuts.erase(cut);
    }
    entry = cuts.empty() ? this->Erase(entry) : std::next(entry);
  }
}

void CrashTracker::RecordRefusal(const std::string& content, TimePoint now) {
  const auto found = this->suspects.find(content);
  if (found != this->suspects.end()) {
    found->second.last_seen_at = now;
  }
}

void CrashTracker::RequestTrial(const std::string& content,
                                const std::string& entry, TimePoint now) {
  const auto found = this->suspects.find(content);
  if (found == this->suspects.end() || !found->second.is_held) {
    return;
  }
  Suspect& suspect = found->second;
  const bool has_open_cut = std::any_of(
      suspect.cuts.begin(), suspect.cuts.end(),
      [](const CutsByTarget::value_type& cut) { return !cut.second.is_crash; });
  const bool may_be_enough =
      has_open_cut && suspect.cuts.size() >= kCrashesToQuarantine;
  if (may_be_enough || now < suspect.trial.ends_at) {
    return;
  }
  this->trial_count += 1;
  suspect.trial = {entry, this->trial_count, now + kTrialTime};
  this->change_count += 1;
}

bool CrashTracker::Clear(const std::string& content) {
  const auto found = this->suspects.find(content);
  if (found == this->suspects.end()) {
    return false;
  }
  this->Erase(found);
  return true;
}

// ------------------------------------------------------------------ decisions

std::vector<TargetIncarnation> CrashTracker::CrashesOf(const Suspect& suspect) {
  std::vector<TargetIncarnation> crashes;
  for (const CutsByTarget::value_type& cut : suspect.cuts) {
    if (cut.second.is_crash) {
      crashes.push_back(cut.first);
    }
  }
  return crashes;
}

void CrashTracker::AddEvent(SuspicionChange change, const std::string& content,
                            const Suspect& suspect) {
  this->events.push_back({change, content, CrashesOf(suspect)});
}

CrashTracker::SuspectMap::iterator CrashTracker::Erase(
    SuspectMap::iterator entry) {
  const Suspect& suspect = entry->second;
  if (suspect.is_held || suspect.is_quarantined) {
    this->AddEvent(SuspicionChange::kCleared, entry->first, suspect);
  }
  this->quarantined_count -= suspect.is_quarantined ? 1 : 0;
  this->change_count += 1;
  return this->suspects.erase(entry);
}

void CrashTracker::Explain(const std::string& content) {
  const std::vector<TargetIncarnation> crashes =
      CrashesOf(this->suspects.at(content));
  for (auto entry = this->suspects.begin(); entry != this->suspects.end();) {
    Suspect& other = entry->second;
    if (other.is_quarantined) {
      ++entry;
      continue;
    }
    for (const TargetIncarnation& crash : crashes) {
      other.cuts.erase(crash);
    }
    entry = other.cuts.empty() ? this->Erase(entry) : std::next(entry);
  }
}

bool CrashTracker::MayBeQuarantined(const std::string& content,
                                    const Suspect& suspect) const {
  std::size_t crashes = 0;
  std::size_t recent_crashes = 0;
  for (const CutsByTarget::value_type& cut : suspect.cuts) {
    crashes += cut.second.is_crash ? 1 : 0;
    recent_crashes += cut.second.is_crash && cut.second.is_recent ? 1 : 0;
  }
  if (crashes >= kCrashesToQuarantineAny) {
    return true;
  }
  if (!IsPartContentId(content)) {
    return !suspect.was_answered && crashes >= kCrashesToQuarantine &&
           this->CountUnexplained(suspect) >= kCrashesToQuarantine;
  }
  return !suspect.was_answered && recent_crashes >= kCrashesToQuarantine &&
         !this->IsAmbiguous(content, suspect);
}

std::size_t CrashTracker::CountUnexplained(const Suspect& request) const {
  const auto is_rival = [&request](const SuspectMap::value_type& entry) {
    return entry.second.is_held && request.parts.count(entry.first) == 0;
  };
  std::size_t unexplained = 0;
  for (const TargetIncarnation& crash : CrashesOf(request)) {
    const bool has_rival = std::any_of(
        this->suspects.begin(), this->suspects.end(),
        [&is_rival, &crash](const SuspectMap::value_type& entry) {
          return is_rival(entry) && entry.second.cuts.count(crash) > 0;
        });
    unexplained += has_rival ? 0 : 1;
  }
  return unexplained;
}

bool CrashTracker::IsAmbiguous(const std::string& content,
                               const Suspect& suspect) const {
  const std::vector<TargetIncarnation> crashes = CrashesOf(suspect);
  return std::any_of(
      this->suspects.begin(), this->suspects.end(),
      [&content, &crashes](const SuspectMap::value_type& entry) {
        const Suspect& other = entry.second;
        const bool is_rival = entry.first != content &&
                              IsPartContentId(entry.first) &&
                              !other.is_quarantined && !other.was_answered;
        return is_rival &&
               std::all_of(crashes.begin(), crashes.end(),
                           [&other](const TargetIncarnation& crash) {
                             const auto cut = other.cuts.find(crash);
                             return cut != other.cuts.end() &&
                                    cut->second.is_crash;
                           });
      });
}

void CrashTracker::Decide(TimePoint now) {
  // A whole request is the narrowest explanation: requests come before parts.
  for (const bool is_part : {false, true}) {
    std::vector<std::string> found;
    for (const SuspectMap::value_type& entry : this->suspects) {
      const bool may_lack_answers =
          now < this->settled_at && (!is_part || entry.second.was_answered);
      if (!entry.second.is_quarantined && !may_lack_answers &&
          IsPartContentId(entry.first) == is_part &&
          this->MayBeQuarantined(entry.first, entry.second)) {
        found.push_back(entry.first);
      }
    }
    for (const std::string& content : found) {
      Suspect& suspect = this->suspects.at(content);
      suspect.is_quarantined = true;
      suspect.last_seen_at = now;
      this->quarantined_count += 1;
      this->AddEvent(SuspicionChange::kQuarantined, content, suspect);
      this->change_count += 1;
    }
    for (const std::string& content : found) {
      this->Explain(content);
    }
  }
}

bool CrashTracker::MustBeHeld(const std::string& content,
                              const Suspect& suspect) {
  if (suspect.is_quarantined || suspect.was_answered ||
      !IsPartContentId(content)) {
    return false;
  }
  return std::any_of(suspect.cuts.begin(), suspect.cuts.end(),
                     [](const CutsByTarget::value_type& cut) {
                       return cut.second.is_recent &&
                              (cut.second.is_observed || cut.second.is_crash);
                     });
}

void CrashTracker::UpdateHeld() {
  for (SuspectMap::value_type& entry : this->suspects) {
    Suspect& suspect = entry.second;
    const bool must_be_held = MustBeHeld(entry.first, suspect);
    if (must_be_held == suspect.is_held) {
      continue;
    }
    suspect.is_held = must_be_held;
    this->change_count += 1;
    if (must_be_held) {
      this->AddEvent(SuspicionChange::kHeld, entry.first, suspect);
    } else if (!suspect.is_quarantined) {
      this->AddEvent(SuspicionChange::kCleared, entry.first, suspect);
    }
  }
}

// --------------------------------------------------------------------- expiry

void CrashTracker::ExpireCuts(Suspect& suspect, TimePoint now) {
  for (auto cut = suspect.cuts.begin(); cut != suspect.cuts.end();) {
    const bool has_expired =
        !cut->second.is_crash && now >= cut->second.at + kMatchWindow;
    cut = has_expired ? suspect.cuts.erase(cut) : std::next(cut);
  }
  if (suspect.is_quarantined && now >= suspect.last_seen_at + kQuarantineTime) {
    // One crash of a trial is enough to quarantine it again.
    suspect.is_quarantined = false;
    suspect.was_answered = false;
    suspect.last_seen_at = now;
    while (suspect.cuts.size() >= kCrashesToQuarantine) {
      suspect.cuts.erase(suspect.cuts.begin());
    }
  }
}

void CrashTracker::Expire(TimePoint now) {
  if (now < this->next_expiry_at) {
    return;
  }
  this->next_expiry_at = now + kExpiryInterval;
  for (auto entry = this->suspects.begin(); entry != this->suspects.end();) {
    Suspect& suspect = entry->second;
    const bool was_quarantined = suspect.is_quarantined;
    this->ExpireCuts(suspect, now);
    if (was_quarantined && !suspect.is_quarantined) {
      this->AddEvent(SuspicionChange::kEnded, entry->first, suspect);
      this->quarantined_count -= 1;
      this->change_count += 1;
    }
    const Duration lifetime =
        IsPartContentId(entry->first) ? kSuspectLifetime : kRequestLifetime;
    const bool has_expired =
        !suspect.is_quarantined &&
        (suspect.cuts.empty() || now >= suspect.last_seen_at + lifetime);
    entry = has_expired ? this->Erase(entry) : std::next(entry);
  }
  for (auto answer = this->answers.begin(); answer != this->answers.end();) {
    const bool has_expired = now >= answer->second + kSoundTime;
    answer = has_expired ? this->answers.erase(answer) : std::next(answer);
  }
  for (auto end = this->ends.begin(); end != this->ends.end();) {
    const bool has_expired = now >= end->second.at + kMatchWindow;
    end = has_expired ? this->ends.erase(end) : std::next(end);
  }
}

void CrashTracker::Update(TimePoint now) {
  this->Expire(now);
  this->Decide(now);
  this->UpdateHeld();
}

// --------------------------------------------------------------------- output

std::vector<std::string> CrashTracker::Quarantined() const {
  std::vector<std::string> contents;
  for (const SuspectMap::value_type& entry : this->suspects) {
    if (entry.second.is_quarantined && contents.size() < kMaxPublished) {
      contents.push_back(entry.first);
    }
  }
  return contents;
}

std::vector<std::string> CrashTracker::Watched() const {
  std::vector<std::string> contents;
  for (const SuspectMap::value_type& entry : this->suspects) {
    const bool is_watched =
        !entry.second.is_quarantined && !IsPartContentId(entry.first) &&
        CrashesOf(entry.second).size() + 1 >= kCrashesToQuarantine;
    if (is_watched && contents.size() < kMaxPublished) {
      contents.push_back(entry.first);
    }
  }
  return contents;
}

std::vector<HeldContent> CrashTracker::Held() const {
  std::vector<HeldContent> held;
  for (const SuspectMap::value_type& entry : this->suspects) {
    if (entry.second.is_held && held.size() < kMaxPublished) {
      const Trial& trial = entry.second.trial;
      held.push_back({entry.first, trial.entry, trial.number});
    }
  }
  return held;
}

std::vector<SuspectRecord> CrashTracker::Records() const {
  std::vector<SuspectRecord> records;
  // Quarantined content first, as the number is limited.
  for (const bool is_quarantined : {true, false}) {
    for (const SuspectMap::value_type& entry : this->suspects) {
      const Suspect& suspect = entry.second;
      if (suspect.is_quarantined != is_quarantined ||
          records.size() >= kMaxPublished) {
        continue;
      }
      SuspectRecord record = {
          entry.first, is_quarantined, suspect.was_answered, {}};
      for (const CutsByTarget::value_type& cut : suspect.cuts) {
        if (cut.second.is_crash) {
          record.crashes.push_back({cut.first.target, cut.first.start_time_ms,
                                    cut.second.is_recent});
        }
      }
      if (is_quarantined || !record.crashes.empty()) {
        records.push_back(std::move(record));
      }
    }
  }
  return records;
}

std::vector<SuspicionEvent> CrashTracker::TakeEvents() {
  return std::exchange(this->events, {});
}

}  // namespace gooseberryturn::direct
