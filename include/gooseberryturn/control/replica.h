#ifndef GOOSEBERRYTURN_CONTROL_REPLICA_H_
#define GOOSEBERRYTURN_CONTROL_REPLICA_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "gooseberryturn/consensus/driver.h"
#include "gooseberryturn/control/command.h"
#include "gooseberryturn/control/state.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/channel.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::control {

/// \brief One control host's copy of the replicated state.
class Replica {
 public:
  using OnApplied = std::function<void(Result<CommandResult>)>;

  Replica(boost::asio::io_context& context, link::ChannelPool& channels,
          consensus::Storage storage, consensus::Node node,
          observe::Metrics& metrics);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// \brief Called when this host begins to lead.
  std::function<void()> on_lead;
  /// \brief Called after commands were applied.
  std::function<void()> on_applied;

  /// \brief Restores the state machine; false when the snapshot is damaged.
  [[nodiscard]] bool Restore() { return this->driver.Restore(); }
  /// \brief Starts the threads and serves consensus streams of `listener`.
  void Start(link::Listener& listener);
  /// \brief Ends the storage thread.
  void Stop() { this->driver.Stop(); }
  /// \brief Proposes a command and reports its result once it is applied.
  ///
  /// \details Fails with kNotRun when this host does not lead and with
  /// kUnknown when leadership is lost before the result is known.
  template <typename Body>
  void Propose(CommandKind kind, const Body& body, OnApplied on_applied) {
    this->ProposeBytes(protocol::Encode(Command{kind, protocol::Encode(body)}),
                       std::move(on_applied));
  }
  /// \brief Proposes a change of the quorum.
  [[nodiscard]] Result<void> ChangeMembership(
      const consensus::Membership& next) {
    return this->driver.ChangeMembership(next);
  }

  [[nodiscard]] const State& state() const noexcept { return this->machine; }
  [[nodiscard]] const consensus::Node& node() const noexcept {
    return this->driver.node();
  }
  /// \brief True while this host may answer for the whole quorum.
  [[nodiscard]] bool HasLease(TimePoint now) const {
    return this->driver.HasLease(now);
  }
  /// \brief The peer that leads, or null when it is not known.
  [[nodiscard]] const consensus::Peer* Leader() const {
    return this->driver.Leader();
  }

  static constexpr Duration kTickInterval = consensus::Driver::kTickInterval;

 private:
  [[nodiscard]] consensus::StateMachine Hooks();
  void ProposeBytes(std::string bytes, OnApplied on_applied);
  void ApplyEntry(const consensus::Entry& entry);

  State machine;
  CommandResult last_result;  ///< Of the entry applied last.
  consensus::Driver driver;
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_REPLICA_H_
