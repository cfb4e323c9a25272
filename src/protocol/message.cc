#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::protocol {

WireError ToWire(const Error& error) {
  return {error.reason, error.step, error.outcome, error.peer, error.message};
}

Error FromWire(const WireError& error) {
  return {error.reason, error.step, error.outcome, error.peer, error.message};
}

}  // namespace gooseberryturn::protocol
