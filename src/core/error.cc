#include "gooseberryturn/core/error.h"

namespace gooseberryturn {

std::string ToString(const Error& error) {
  std::string text(kReasonNames.Name(error.reason));
  text += " (";
  text += kOutcomeNames.Name(error.outcome);
  text += ") at step ";
  text += kStepNames.Name(error.step);
  if (!error.peer.empty()) {
    text += ", peer " + error.peer;
  }
  if (!error.message.empty()) {
    text += ": " + error.message;
  }
  return text;
}

}  // namespace gooseberryturn
