#ifndef GOOSEBERRYTURN_DIRECT_QUORUM_LEAVE_H_
#define GOOSEBERRYTURN_DIRECT_QUORUM_LEAVE_H_

#include <optional>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/view.h"

namespace gooseberryturn::direct {

/// \brief Decides when a control host that is being stopped asks the leader to
/// remove it from the quorum, and when it may exit.
///
/// \details It exits once its removal is committed or the leader keeps it as a
/// member. It exits anyway after kTimeout, or when no leader has answered for
/// kLeaderlessTimeout.
class QuorumLeave {
 public:
  /// \param latest When the host has to exit in any case.
  void Start(TimePoint now, TimePoint latest);
  [[nodiscard]] bool is_started() const noexcept { return this->is_leaving; }
  /// \brief Records the answer to a request.
  void HandleAnswer(LeaveState state, TimePoint now);
  /// \brief True if the host may exit.
  [[nodiscard]] bool IsDone(TimePoint now) const;
  /// \brief True if a request is due now; the next one is due after
  /// kRequestInterval.
  [[nodiscard]] bool TakeRequest(TimePoint now);

  static constexpr Duration kRequestInterval = std::chrono::milliseconds(100);
  static constexpr Duration kTimeout = std::chrono::seconds(3);
  /// Time for an election.
  static constexpr Duration kLeaderlessTimeout =
      std::chrono::milliseconds(1500);

 private:
  bool is_leaving = false;
  bool is_settled = false;  ///< Removed, or kept as a member.
  TimePoint deadline;
  TimePoint leaderless_deadline;
  TimePoint next_request_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_QUORUM_LEAVE_H_
