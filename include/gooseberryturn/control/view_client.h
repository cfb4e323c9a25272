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
/// \details Sends a renewal to the leader, which answers as soon as the view
/// changes or after Server::kMaxHold; then the next renewal follows. The index
/// of the view never decreases.
class ViewClient {
 public:
  /// \param control Addresses of the control hosts; must not be empty.
  /// \param self Role, host, data centre and incarnation.
  /// \param grace How long the view may be used after its lease expired.
  ViewClient(boost::asio::io_context& context, link::ChannelPool& channels,
             std::vector<Endpoint> control, protocol::Renew self,
             Duration grace, observe::Metrics& metrics);

  /// \brief Makes the host's report for each renewal (agents only).
  std::function<protocol::HostReport()> make_report;
  /// \brief Called after the view or the drain request changed.
  std::function<void()> on_change;

  /// \brief Starts to send renewals.
  void Start();
  /// \brief Sends a renewal at once, to report a change of this host.
  void RenewNow();
  /// \brief Sends one message, such as a claim, to the presumed leader.
  ///
  /// \details A caller that gets an error or a reply from a host that is not
  /// the leader calls TryNextControlHost.
  void CallLeader(const std::string& path, std::string message,
                  TimePoint deadline, link::Channel::OnReply on_reply);
  /// \brief Presumes that the next control host is the leader.
  void TryNextControlHost();

  [[nodiscard]] const protocol::View& view() const noexcept {
    return this->current;
  }
  [[nodiscard]] bool HasLease(TimePoint now) const noexcept {
    return this->view_lease.IsValid(now);
  }
  /// \brief True when an operator asked to drain this host.
  [[nodiscard]] bool is_drain_requested() const noexcept {
    return this->drain_requested;
  }
  /// \brief Number of live entry processes, at least 1.
  [[nodiscard]] std::int64_t live_entries() const noexcept {
    return this->entry_count;
  }

  static constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
  static constexpr Duration kRetryPause = std::chrono::milliseconds(100);

 private:
  void Renew();
  void OnReply(std::uint64_t call, TimePoint sent_at,
               const Result<std::string>& result);
  /// True when the view or the drain request changed.
  [[nodiscard]] bool ApplyReply(const protocol::RenewReply& reply,
                                TimePoint sent_at);
  void RenewAfter(Duration pause);
  void FollowHint(const std::string& hint);

  boost::asio::steady_timer timer;
  link::ChannelPool& channels;
  std::vector<Endpoint> control;
  std::size_t leader_index = 0;  ///< Presumed leader, in `control`.
  protocol::Renew self;
  protocol::View current;
  lease::ViewLease view_lease;
  std::int64_t entry_count = 1;
  bool drain_requested = false;
  std::uint64_t last_call = 0;  ///< Number of the newest renewal.
  observe::Metrics& metrics;
  std::mt19937_64 random;
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_VIEW_CLIENT_H_
