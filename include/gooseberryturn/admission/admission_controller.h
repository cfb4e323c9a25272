#ifndef GOOSEBERRYTURN_ADMISSION_ADMISSION_CONTROLLER_H_
#define GOOSEBERRYTURN_ADMISSION_ADMISSION_CONTROLLER_H_

#include <cstdint>
#include <string>

#include "gooseberryturn/admission/concurrency_limit.h"
#include "gooseberryturn/config/document.h"
#include "gooseberryturn/core/error.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/protocol/message.h"

namespace gooseberryturn::admission {

/// \brief What the agent knows at the instant of a hand-over.
struct AgentState {
  std::uint64_t incarnation = 0;  ///< Of this agent.
  std::string group;              ///< Group it leads, empty for none.
  std::uint64_t fence = 0;
  bool has_view = false;  ///< Its view lease holds.
  bool data_centre_out = false;
  bool group_whole = false;
  bool target_ready = false;
  bool leaving = false;  ///< This host or a member of the group.
};

/// \brief Room that an admitted request holds.
struct Reservation {
  std::int64_t tokens = 0;
};

/// \brief Decides whether a request may be handed to the target now.
///
/// \details The only gate to the target: what it has reserved decides, not
/// what the target reports, since reports lag. Every refusal is not_run.
class AdmissionController {
 public:
  AdmissionController() : warm(1, 1) {}

  /// \brief Takes the limits of the service.
  void Configure(const config::Service& service);
  /// \brief The target is a new one, or comes back after a pause: cold.
  void StartCold() noexcept;
  /// \brief Checks `order` and reserves room for it.
  [[nodiscard]] Result<Reservation> Admit(const protocol::HandOver& order,
                                          const AgentState& standing);
  /// \brief Gives room back.
  void Release(const Reservation& reservation) noexcept;
  /// \brief A request ran to its end at the target.
  void RecordCompletion(Duration first_token) {
    this->warm.RecordCompletion(first_token);
  }

  [[nodiscard]] protocol::Load load() const noexcept {
    return {this->in_flight, this->warm.limit()};
  }
  [[nodiscard]] std::int64_t reserved_tokens() const noexcept {
    return this->tokens;
  }
  /// \brief Tokens reserved for a body: prompt and the longest output.
  [[nodiscard]] std::int64_t TokensFor(std::uint64_t body_bytes) const noexcept;

  /// \brief Bytes of a body that count as one prompt token.
  static constexpr std::int64_t kBytesPerToken = 3;

 private:
  config::Service service;
  ConcurrencyLimit warm;
  std::int64_t in_flight = 0;
  std::int64_t tokens = 0;
};

/// \brief Checks what does not depend on room: identity, leases, place.
[[nodiscard]] Result<void> CheckAgentState(const protocol::HandOver& order,
                                           const AgentState& standing);

}  // namespace gooseberryturn::admission

#endif  // GOOSEBERRYTURN_ADMISSION_ADMISSION_CONTROLLER_H_
