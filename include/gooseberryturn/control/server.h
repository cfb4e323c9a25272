#ifndef GOOSEBERRYTURN_CONTROL_SERVER_H_
#define GOOSEBERRYTURN_CONTROL_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/control/registry.h"
#include "gooseberryturn/control/replica.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::control {

/// \brief Serves entries and agents at the leader: renews views, records claims
/// and plans groups.
///
/// \details Once started, its methods must be called on the link thread, the
/// thread that runs `context`; callbacks run on it.
class Server {
 public:
  Server(boost::asio::io_context& context,
         const config::ControlSettings& settings, Replica& replica,
         observe::Metrics& metrics);

  /// \brief Serves messages of entries and agents on `listener` and starts the
  /// tick timer.
  void Start(link::Listener& listener);

  /// \brief Calls `on_done` once the change at log index `index` is in force:
  /// every host has a view of at least that index, or its lease has expired.
  ///
  /// \details Called at `deadline` at the latest, with the hosts that are still
  /// behind then. At the deadline the list may be empty although the change is
  /// not in force yet: a lease granted by an earlier leader may still be valid
  /// at a host that has not renewed at this one.
  void WhenInForce(
      std::uint64_t index, TimePoint deadline,
      std::function<void(const std::vector<std::string>&)> on_done);

  [[nodiscard]] const Registry& registry() const noexcept {
    return this->host_registry;
  }

  /// \brief How long a renewal waits for a change of the view.
  static constexpr Duration kMaxHold = std::chrono::milliseconds(500);
  /// \brief Groups are planned at most this often.
  static constexpr Duration kMinPlanInterval = std::chrono::milliseconds(100);
  /// \brief Groups are planned at least this often, even when no change is
  /// known.
  static constexpr Duration kMaxPlanInterval = std::chrono::seconds(5);

 private:
  /// A renewal that is answered once the view changes or at `answer_at`.
  struct HeldRenewal {
    std::shared_ptr<link::Stream> stream;
    protocol::Renew renew;
    TimePoint answer_at;
  };

  /// A change whose sender waits until it is in force.
  struct PendingChange {
    std::uint64_t index = 0;
    TimePoint deadline;
    std::function<void(const std::vector<std::string>&)> on_done;
  };

  void OnRenew(const std::shared_ptr<link::Stream>& stream,
               std::string_view payload);
  void OnClaim(const std::shared_ptr<link::Stream>& stream,
               std::string_view payload);
  void OnSettle(const std::shared_ptr<link::Stream>& stream,
                std::string_view payload);
  /// Replies with a SettleReply: `accepted` and `is_leader` are both true once
  /// the report is applied, and both false after any error.
  void OnDeathReport(const std::shared_ptr<link::Stream>& stream,
                     std::string_view payload);
  void AnswerRenewal(const HeldRenewal& renewal);
  /// Answers the held renewals of hosts whose view is out of date.
  void AnswerOutdated();
  void Tick();
  void PlanGroups(TimePoint now);
  void ProposeGroupChange(const placement::GroupChange& change);
  /// Completes the pending changes that are in force or past their deadline.
  void CheckInForce(TimePoint now);
  /// Link address of the leader, empty when it is unknown.
  [[nodiscard]] std::string LeaderHint() const;

  boost::asio::steady_timer timer;
  Replica& replica;
  observe::Metrics& metrics;
  Duration view_lease;
  placement::Policy placement_policy;
  Registry host_registry;
  std::list<HeldRenewal> held_renewals;
  std::list<PendingChange> pending_changes;
  std::size_t pending_group_changes = 0;  ///< Proposed, not yet applied.
  TimePoint next_plan_at;
  TimePoint forced_plan_at;              ///< Plan then even if nothing changed.
  std::uint64_t planned_view_index = 0;  ///< View index at the last plan.
};

/// \brief Wall-clock time in milliseconds since the Unix epoch.
[[nodiscard]] std::int64_t WallClockMs();

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_SERVER_H_
