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

/// \brief What the leader does for entries and agents: renews views, records
/// claims, forms groups.
class Server {
 public:
  Server(boost::asio::io_context& context,
         const config::ControlSettings& settings, Replica& replica,
         observe::Metrics& metrics);

  /// \brief Serves streams of `listener` and starts to plan.
  void Start(link::Listener& listener);

  /// \brief Calls `on_done` once every live host holds index `index` or its
  /// lease ran out, with the hosts that were still behind at `deadline`.
  void WhenInForce(
      std::uint64_t index, TimePoint deadline,
      std::function<void(const std::vector<std::string>&)> on_done);

  [[nodiscard]] const Registry& registry() const noexcept {
    return this->hosts;
  }

  static constexpr Duration kHold = std::chrono::milliseconds(500);
  static constexpr Duration kPlanInterval = std::chrono::milliseconds(100);
  /// \brief Groups are planned so often even when nothing seems to change.
  static constexpr Duration kPlanAnyway = std::chrono::seconds(5);

 private:
  /// A renewal that waits for a change.
  struct Held {
    std::shared_ptr<link::Stream> stream;
    protocol::Renew renew;
    TimePoint answer_at;
  };

  /// A change whose author waits until it is in force.
  struct InForce {
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
  void OnDeath(const std::shared_ptr<link::Stream>& stream,
               std::string_view payload);
  void Answer(const Held& held);
  void AnswerChanged();
  void Tick();
  void PlanGroups(TimePoint now);
  void ProposeMove(const placement::GroupChange& move);
  void CheckInForce(TimePoint now);
  [[nodiscard]] std::string LeaderHint() const;

  boost::asio::steady_timer timer;
  Replica& replica;
  observe::Metrics& metrics;
  Duration view_lease;
  placement::Policy placement_policy;
  Registry hosts;
  std::list<Held> held;
  std::list<InForce> in_force;
  std::size_t open_moves = 0;
  TimePoint plan_at;
  TimePoint plan_anyway_at;
  std::uint64_t planned_index = 0;
};

/// \brief Milliseconds of the wall clock since 1970.
[[nodiscard]] std::int64_t WallClockMs();

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_SERVER_H_
