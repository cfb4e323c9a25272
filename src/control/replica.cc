#include "gooseberryturn/control/replica.h"

namespace gooseberryturn::control {

Replica::Replica(boost::asio::io_context& context, link::ChannelPool& channels,
                 consensus::Storage storage, consensus::Node node,
                 observe::Metrics& metrics)
    : driver(context, channels, std::move(storage), std::move(node),
             this->Hooks(), metrics) {}

consensus::StateMachine Replica::Hooks() {
  consensus::StateMachine hooks;
  hooks.apply = [this](const consensus::Entry& entry) {
    this->ApplyEntry(entry);
  };
  hooks.save = [this] { return this->machine.Save(); };
  hooks.load = [this](const std::string& bytes) {
    return this->machine.Load(bytes);
  };
  hooks.applied_index = [this] { return this->machine.applied_index(); };
  return hooks;
}

void Replica::Start(link::Listener& listener) {
  this->driver.on_become_leader = [this] {
    if (this->on_lead) {
      this->on_lead();
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
    this->last_result = this->machine.Apply(entry.index, entry.data);
  } else {
    this->machine.Skip(entry.index);
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
