#ifndef GOOSEBERRYTURN_CONTROL_VIEW_CLIENT_H_
#define GOOSEBERRYTURN_CONTROL_VIEW_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/lease/view_lease.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/observe/metrics.h"
#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::control {

/// \brief Keeps the view of an entry or agent current and its lease alive.
///
/// \details Sends a renewal, which control answers as soon as something
/// changed or after a while, and follows the leader. A view never steps to a
/// lower index.
class ViewClient {
 public:
  /// \param self Role, host, data centre and incarnation.
  ViewClient(boost::asio::io_context& context, link::ChannelPool& channels,
             std::vector<Endpoint> control, protocol::Renew self,
             Duration grace, observe::Metrics& metrics);

  /// \brief Fills in the host's report before each renewal (agents only).
  std::function<protocol::HostReport()> make_report;
  /// \brief Called after the view changed.
  std::function<void()> on_change;

  /// \brief Starts to renew.
  void Start();
  /// \brief Renews now, to report a change at once.
  void RenewNow();
  /// \brief Sends one message to the leader.
  ///
  /// \details Used for claims; a reply of the wrong host is for the caller to
  /// notice, who then calls TryNextControlHost.
  void CallLeader(const std::string& path, std::string message,
                  TimePoint deadline, link::Channel::OnReply on_reply);
  /// \brief The host that was taken for the leader is not.
  void TryNextControlHost();

  [[nodiscard]] const protocol::View& view() const noexcept {
    return this->current;
  }
  [[nodiscard]] bool HasLease(TimePoint now) const noexcept {
    return this->view_lease.IsValid(now);
  }
  /// \brief True when operators want this host drained.
  [[nodiscard]] bool is_drain_requested() const noexcept {
    return this->drain_requested;
  }
  [[nodiscard]] std::int64_t live_entries() const noexcept {
    return this->entry_count;
  }

  static constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
  static constexpr Duration kRetryPause = std::chrono::milliseconds(100);

 private:
  void Renew();
  void OnReply(std::uint64_t call, TimePoint sent_at,
               const Result<std::string>& result);
  [[nodiscard]] bool Take(const protocol::RenewReply& reply, TimePoint sent_at);
  void RenewAfter(Duration pause);
  void FollowHint(const std::string& hint);

  boost::asio::steady_timer timer;
  link::ChannelPool& channels;
  std::vector<Endpoint> control;
  std::size_t leader = 0;  ///< Place in `control` that is asked next.
  protocol::Renew self;
  protocol::View current;
  lease::ViewLease view_lease;
  std::int64_t entry_count = 1;
  bool drain_requested = false;
  std::uint64_t call_number = 0;
  observe::Metrics& metrics;
  std::mt19937_64 random;
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_VIEW_CLIENT_H_
