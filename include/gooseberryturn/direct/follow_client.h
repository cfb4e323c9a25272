#ifndef GOOSEBERRYTURN_DIRECT_FOLLOW_CLIENT_H_
#define GOOSEBERRYTURN_DIRECT_FOLLOW_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/view.h"
#include "gooseberryturn/link/channel.h"

namespace gooseberryturn::direct {

/// \brief Follows the leader of the control hosts: receives updates and sends
/// reports on one long-lived stream.
///
/// \details When the leader is silent for kSilenceTimeout, the next control
/// host is tried.
class FollowClient {
 public:
  FollowClient(boost::asio::io_context& context, link::ChannelPool& channels,
               std::vector<Endpoint> control_hosts);

  /// \brief Creates the first message of each new stream.
  std::function<FollowerHello()> make_hello;
  /// \brief Returns false for an update that cannot be applied; a new stream
  /// is then opened.
  std::function<bool(const FleetUpdate&)> on_update;
  /// \brief Called when the stream to a leader is lost.
  std::function<void(const std::string& why)> on_lost;

  void Start();
  /// \brief Closes the stream; Start opens a new one.
  void Stop();
  /// \brief Sends a report; false if not connected to a leader.
  bool Send(const EntryReport& report);
  /// \brief True while updates arrive from a leader.
  [[nodiscard]] bool is_connected() const noexcept {
    return this->is_following;
  }
  /// \brief When the last update arrived.
  [[nodiscard]] TimePoint last_heard_at() const noexcept {
    return this->last_heard;
  }
  /// \brief Adds control hosts that are not known yet.
  void AddControlHosts(const std::vector<Endpoint>& hosts);

  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(900);
  static constexpr Duration kOpenTimeout = std::chrono::milliseconds(400);
  static constexpr Duration kTickInterval = std::chrono::milliseconds(50);
  static constexpr Duration kRetryDelay = std::chrono::milliseconds(100);

 private:
  void Open();
  void OnOpened(std::uint64_t attempt, std::shared_ptr<link::Stream> opened);
  void HandleUpdate(std::string_view payload);
  void Tick();
  /// Drops the stream and schedules the next attempt. If it was silent, its
  /// connection is closed as well and the attempt follows at once.
  void Disconnect(const std::string& why, bool is_silent);

  link::ChannelPool& channels;
  boost::asio::steady_timer timer;
  std::vector<Endpoint> hosts;
  Endpoint current;
  std::shared_ptr<link::Stream> stream;
  std::size_t next_host = 0;
  std::uint64_t attempt_number = 0;
  bool is_running = false;
  bool is_active = false;        ///< A stream is being opened or followed.
  bool is_following = false;     ///< An update came on this stream.
  bool has_leader_hint = false;  ///< `current` was named as the leader.
  TimePoint last_heard;
  TimePoint silence_deadline;
  TimePoint retry_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_FOLLOW_CLIENT_H_
