#include "gooseberryturn/control/replica.h"

namespace gooseberryturn::control {

Replica::Replica(boost::asio::io_context& context, link::ChannelPool& channels,
                 consensus::Storage storage, consensus::Node node,
                 observe::Metrics& metrics)
    : driver(context, channels, std::move(storage), std::move(node),
             this->StateMachineCallbacks(), metrics) {}

consensus::StateMachine Replica::StateMachineCallbacks() {
  consensus::StateMachine callbacks;
  callbacks.apply = [this](const consensus::Entry& entry) {
    this->ApplyEntry(entry);
  };
  callbacks.save = [this] { return this->state_machine.Save(); };
  callbacks.load = [this](const std::string& bytes) {
    return this->state_machine.Load(bytes);
  };
  callbacks.applied_index = [this] {
    return this->state_machine.applied_index();
  };
  return callbacks;
}

void Replica::Start(link::Listener& listener) {
  this->driver.on_become_leader = [this] {
    if (this->on_become_leader) {
      this->on_become_leader();
    }
  };
  this->driver.on_applied = [this] {
    if (this->on_applied) {
      this->on_applied();
    }
  };
  this->driver.Start(listener);
}

void Replica::ApplyEntry(const consensus::Entry& entry) {
  this->last_result = {};
  if (entry.kind == consensus::EntryKind::kCommand) {
    this->last_result = this->state_machine.Apply(entry.index, entry.data);
  } else {
    this->state_machine.Skip(entry.index);
  }
}

void Replica::ProposeBytes(std::string bytes, OnApplied on_applied) {
  this->driver.Propose(std::move(bytes),
                       [this, on_applied = std::move(on_applied)](
                           Result<consensus::Index> applied) {
                         if (applied.has_value()) {
                           on_applied(this->last_result);
                         } else {
                           on_applied(tl::make_unexpected(applied.error()));
                         }
                       });
}

}  // namespace gooseberryturn::control
