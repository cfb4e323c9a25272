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

/// \brief State of the agent when a request is handed over to it.
struct AgentState {
  std::uint64_t incarnation = 0;  ///< Of this agent.
  std::string group;              ///< Group it leads, empty for none.
  std::uint64_t fence = 0;
  bool has_view = false;  ///< Its view lease is valid.
  bool data_centre_out = false;
  bool group_whole = false;  ///< Every member's lease is valid and the target
                             ///< is prepared for the group.
  bool target_ready = false;
  bool leaving = false;  ///< This host or a member of the group is leaving.
};

/// \brief Capacity that an admitted request holds until it is released.
struct Reservation {
  std::int64_t tokens = 0;
};

/// \brief Decides whether a request may be handed to the target now.
///
/// \details Every request to the target passes through here. The decision
/// rests on what is reserved, not on what the target reports, since reports
/// lag. Every refusal has the outcome not_run.
class AdmissionController {
 public:
  AdmissionController() : concurrency(1, 1) {}

  /// \brief Applies the limits of `service`.
  void Configure(const config::Service& service);
  /// \brief Returns to the cold limit, for a target that was restarted or
  /// returns to service.
  void StartCold() noexcept;
  /// \brief Checks `request` and reserves capacity for it.
  [[nodiscard]] Result<Reservation> Admit(const protocol::HandOver& request,
                                          const AgentState& state);
  /// \brief Releases the capacity of an admitted request.
  void Release(const Reservation& reservation) noexcept;
  /// \brief Records that the target completed a request, `first_token` after
  /// it was sent.
  void RecordCompletion(Duration first_token) {
    this->concurrency.RecordCompletion(first_token);
  }

  /// \brief Requests in progress and the current concurrency limit.
  [[nodiscard]] protocol::Load load() const noexcept {
    return {this->in_flight, this->concurrency.limit()};
  }
  [[nodiscard]] std::int64_t reserved_tokens() const noexcept {
    return this->tokens;
  }
  /// \brief Tokens reserved for a body: prompt and the longest output; zero for
  /// a plain service.
  [[nodiscard]] std::int64_t TokensFor(std::uint64_t body_bytes) const noexcept;

  /// \brief Bytes of a body that count as one prompt token.
  static constexpr std::int64_t kBytesPerToken = 3;

 private:
  config::Service service;
  ConcurrencyLimit concurrency;
  std::int64_t in_flight = 0;
  std::int64_t tokens = 0;
};

/// \brief Checks all that does not depend on capacity: incarnation, leases,
/// group assignment, readiness and deadline.
[[nodiscard]] Result<void> CheckAgentState(const protocol::HandOver& request,
                                           const AgentState& state);

}  // namespace gooseberryturn::admission

#endif  // GOOSEBERRYTURN_ADMISSION_ADMISSION_CONTROLLER_H_
