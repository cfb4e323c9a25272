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

/// \brief Follows the leader of the control hosts: updates come in, reports
/// go out, on one long stream.
///
/// \details A leader that is silent for kSilenceLimit is left for the next
/// control host.
class FollowClient {
 public:
  FollowClient(boost::asio::io_context& context, link::ChannelPool& channels,
               std::vector<Endpoint> control_hosts);

  /// \brief Makes the first message of each new stream.
  std::function<FollowerHello()> make_hello;
  std::function<void(const FleetUpdate&)> on_update;
  /// \brief Called when the leader was lost.
  std::function<void(const std::string& why)> on_lost;

  void Start();
  /// \brief Leaves the leader and follows nobody until Start.
  void Stop();
  /// \brief Sends a report; false when no leader is followed.
  bool Send(const EntryReport& report);
  /// \brief True while updates come from a leader.
  [[nodiscard]] bool is_connected() const noexcept { return this->has_update; }
  [[nodiscard]] TimePoint heard_at() const noexcept { return this->last_heard; }
  /// \brief Replaces the known control hosts, keeping the one in use.
  void SetControlHosts(const std::vector<Endpoint>& hosts);

  static constexpr Duration kSilenceLimit = std::chrono::milliseconds(900);
  static constexpr Duration kOpenLimit = std::chrono::milliseconds(400);
  static constexpr Duration kTick = std::chrono::milliseconds(50);
  static constexpr Duration kRetryPause = std::chrono::milliseconds(100);

 private:
  void Open();
  void Opened(std::uint64_t attempt, std::shared_ptr<link::Stream> opened);
  void Take(std::string_view payload);
  void Tick();
  void Lose(const std::string& why, bool is_silent);

  link::ChannelPool& channels;
  boost::asio::steady_timer timer;
  std::vector<Endpoint> hosts;
  Endpoint current;
  std::shared_ptr<link::Stream> stream;
  std::size_t next_host = 0;
  std::uint64_t attempt_number = 0;
  bool is_running = false;
  bool is_trying = false;  ///< A stream is being opened or followed.
  bool has_update = false;
  bool has_hint = false;
  TimePoint last_heard;
  TimePoint silence_at;
  TimePoint retry_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_FOLLOW_CLIENT_H_
