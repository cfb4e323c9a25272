#ifndef GOOSEBERRYTURN_DUTY_DUTY_LEASE_H_
#define GOOSEBERRYTURN_DUTY_DUTY_LEASE_H_

#include <cstdint>
#include <optional>

#include "gooseberryturn/core/time.h"

namespace gooseberryturn::duty {

/// \brief The leader's right to call the platform, and its fencing token.
///
/// \details The token is the index of the log entry that names this host as
/// the holder: no two hosts ever have the same one, and later ones are higher;
/// see Gray and Cheriton, "Leases" (1989), for the wait. A leader that finds
/// the token of another host, or of an earlier run of its own, waits for
/// `lease_time` before its first call. Who holds the duty in the order A, B, A
/// therefore waits again before the second A. A call that an earlier holder has
/// sent before it lost the log's lease has left that host by then.
///
/// A run that holds the last token in the log has not been followed by another
/// holder; it keeps the wait that it has begun or completed.
class DutyLease {
 public:
  explicit DutyLease(Duration lease_time) : lease_time(lease_time) {}

  /// \brief Called when this host begins to lead. Its first token is then due.
  void StartLeading();
  /// \brief True if a token is to be proposed to the log now. At most one
  /// proposal is open at a time.
  [[nodiscard]] bool IsTokenDue(TimePoint now) const;
  /// \param last_fence The token that the log names, 0 for none.
  void RecordProposed(std::uint64_t last_fence);
  void RecordProposalFailed() { this->is_proposing = false; }
  /// \brief Records that the log names this host under `fence`.
  void RecordAcquired(std::uint64_t fence, TimePoint now);
  /// \brief Records that the platform has seen a higher token. The current one
  /// is no longer used; the next is due `lease_time` after it was acquired.
  void RecordConflict(std::uint64_t fence, TimePoint now);
  /// \brief Asks for a token higher than `fence`.
  void Renew(std::uint64_t fence);
  /// \brief The token under which a call may be sent now, if any.
  /// \param has_lease The host leads and holds the lease of the log.
  /// \param log_fence The token that the log names.
  [[nodiscard]] std::optional<std::uint64_t> Fence(bool has_lease,
                                                   std::uint64_t log_fence,
                                                   TimePoint now) const;

 private:
  Duration lease_time;
  std::uint64_t fence = 0;          ///< 0 while there is none that may be used.
  std::uint64_t last_acquired = 0;  ///< The latest token of this run.
  std::uint64_t previous_fence = 0;  ///< In the log when last proposed.
  TimePoint wait_until;              ///< No calls before.
  TimePoint acquired_at;             ///< Of the latest token.
  TimePoint next_proposal_at;
  bool is_due = false;
  bool is_proposing = false;
};

}  // namespace gooseberryturn::duty

#endif  // GOOSEBERRYTURN_DUTY_DUTY_LEASE_H_
