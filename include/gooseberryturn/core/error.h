#ifndef GOOSEBERRYTURN_CORE_ERROR_H_
#define GOOSEBERRYTURN_CORE_ERROR_H_

#include <string>
#include <tl/expected.hpp>

#include "gooseberryturn/core/outcome.h"
#include "gooseberryturn/core/reason.h"
#include "gooseberryturn/core/step.h"

namespace gooseberryturn {

/// \brief A failure with the step and the peer at which it occurred.
struct Error {
  Reason reason = Reason::kNone;
  Step step = Step::kAccept;
  Outcome outcome = Outcome::kNotRun;
  std::string peer;
  std::string message;
};

/// \brief A value, or the error that occurred instead.
template <typename Value>
using Result = tl::expected<Value, Error>;

/// \brief One readable line: reason, outcome, step, peer and message.
[[nodiscard]] std::string ToString(const Error& error);

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_ERROR_H_
