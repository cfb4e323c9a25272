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

/// \brief One control host's copy of the replicated state and the consensus
/// driver that maintains it.
///
/// \details Once started, all methods but Stop must be called on the link
/// thread, and callbacks run on it; see consensus::Driver.
class Replica {
 public:
  /// \brief Receives the result of a command once it is applied, or an error.
  using OnApplied = std::function<void(Result<CommandResult>)>;

  Replica(boost::asio::io_context& context, link::ChannelPool& channels,
          consensus::Storage storage, consensus::Node node,
          observe::Metrics& metrics);
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// \brief Called when this host becomes leader of a new term.
  std::function<void()> on_become_leader;
  /// \brief Called after commands were applied.
  std::function<void()> on_applied;

  /// \brief Loads the snapshot into the state; false when it cannot be decoded.
  [[nodiscard]] bool Restore() { return this->driver.Restore(); }
  /// \brief Starts the storage thread and the tick timer, and serves consensus
  /// streams on `listener`.
  void Start(link::Listener& listener);
  /// \brief Stops the storage thread and waits for it.
  void Stop() { this->driver.Stop(); }
  /// \brief Proposes a command and calls `on_applied` once it is applied.
  ///
  /// \details Fails as consensus::Driver::Propose does: with Outcome::kNotRun
  /// when this host is not the leader, and with Outcome::kUnknown when
  /// leadership is lost before the result is known.
  template <typename Body>
  void Propose(CommandKind kind, const Body& body, OnApplied on_applied) {
    this->ProposeBytes(protocol::Encode(Command{kind, protocol::Encode(body)}),
                       std::move(on_applied));
  }
  /// \brief Proposes a membership change; see consensus::Node.
  [[nodiscard]] Result<void> ChangeMembership(
      const consensus::Membership& next) {
    return this->driver.ChangeMembership(next);
  }

  [[nodiscard]] const State& state() const noexcept {
    return this->state_machine;
  }
  [[nodiscard]] const consensus::Node& node() const noexcept {
    return this->driver.node();
  }
  /// \brief True while this host may serve reads alone; see consensus::Node.
  [[nodiscard]] bool HasLease(TimePoint now) const {
    return this->driver.HasLease(now);
  }
  /// \brief The current leader, or nullptr when it is unknown.
  [[nodiscard]] const consensus::Peer* Leader() const {
    return this->driver.Leader();
  }

  static constexpr Duration kTickInterval = consensus::Driver::kTickInterval;

 private:
  [[nodiscard]] consensus::StateMachine StateMachineCallbacks();
  void ProposeBytes(std::string bytes, OnApplied on_applied);
  void ApplyEntry(const consensus::Entry& entry);

  State state_machine;
  CommandResult last_result;  ///< Result of the last applied entry.
  consensus::Driver driver;
};

}  // namespace gooseberryturn::control

#endif  // GOOSEBERRYTURN_CONTROL_REPLICA_H_
