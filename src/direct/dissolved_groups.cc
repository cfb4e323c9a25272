#include "gooseberryturn/direct/dissolved_groups.h"

#include <optional>

namespace gooseberryturn::direct {

AnnouncementMark LastAnnouncement(const Registry& registry,
                                  const std::string& target) {
  const TargetRecord* record = registry.Find(target);
  return record == nullptr
             ? AnnouncementMark()
             : AnnouncementMark{record->view.start_time_ms, record->sequence};
}

bool HasAnnouncedSince(const TargetRecord& record,
                       const AnnouncementMark& mark) {
  return record.view.start_time_ms != mark.start_time_ms ||
         record.sequence > mark.sequence;
}

void DissolvedGroups::Record(std::uint64_t epoch, const std::string& head,
                             bool may_be_open, const Registry& registry) {
  this->groups[epoch] = {head, LastAnnouncement(registry, head), may_be_open};
}

bool DissolvedGroups::IsRevived(const TargetRecord& record,
                                const Registry& registry) const {
  const std::optional<Membership>& membership = record.view.engine.membership;
  if (!membership.has_value()) {
    return false;
  }
  const auto dissolved = this->groups.find(membership->epoch);
  if (dissolved == this->groups.end() || !dissolved->second.may_be_open) {
    return false;
  }
  const TargetRecord* head = registry.Find(dissolved->second.head);
  if (head == nullptr || !head->view.engine.membership.has_value() ||
      !HasAnnouncedSince(*head, dissolved->second.dissolved_as)) {
    return false;
  }
  const Membership& of_head = *head->view.engine.membership;
  return of_head.epoch == membership->epoch && of_head.rank == 0 &&
         (of_head.state == MemberState::kReady ||
          of_head.state == MemberState::kOpen ||
          of_head.state == MemberState::kClosing);
}

bool DissolvedGroups::IsDissolved(const TargetRecord& record,
                                  const Registry& registry) const {
  const std::optional<Membership>& membership = record.view.engine.membership;
  return membership.has_value() && this->groups.count(membership->epoch) > 0 &&
         !this->IsRevived(record, registry);
}

}  // namespace gooseberryturn::direct
