#ifndef GOOSEBERRYTURN_DIRECT_TARGET_CHOOSER_H_
#define GOOSEBERRYTURN_DIRECT_TARGET_CHOOSER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/direct/delay_model.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/target_tracker.h"

namespace gooseberryturn::direct {

/// \brief Time that a request uses of a group whose slots are all in use: its
/// prefill and its share of the decode steps.
/// \returns Milliseconds.
[[nodiscard]] double EngineTimeMs(const EngineProfile& engine,
                                  const ModelProfile& model,
                                  double prompt_tokens, double output_tokens);

/// \brief Why no target was chosen.
enum class ChoiceFailure : std::uint8_t {
  kNone,      ///< A target was chosen.
  kNoTarget,  ///< No target serves the request.
  kFull,      ///< Targets serve it, but none can take it now.
};

inline constexpr NameTable<ChoiceFailure, 3> kChoiceFailureNames = {
    {"none", "no_target", "full"}};

/// \brief What a request asks of its target.
struct ChoiceRequest {
  std::string service;
  std::string model;  ///< Empty for plain services.
  std::vector<std::string> tried_targets;
  double prompt_tokens = 0;
  /// Longest wait for the prefill of prompts ahead of its own, milliseconds.
  double max_prefill_wait_ms = 0;
  /// Time left for the first event to meet its objective, milliseconds; empty
  /// when it cannot be met any more.
  std::optional<double> time_to_objective_ms;
  bool is_resumed = false;  ///< Resumes a stream broken off elsewhere.
};

/// \brief The chosen target, or why there is none.
struct Choice {
  const TargetView* target = nullptr;  ///< Null if none was chosen.
  ChoiceFailure reason = ChoiceFailure::kNone;
  std::uint32_t load = 0;  ///< Its requests in flight before this one.
  /// Milliseconds until the first event according to the published figures.
  double expected_ms = 0;
};

/// \brief Time from dispatch to the first event at a group whose slots are all
/// in use and where no other prompt waits for prefill.
/// \returns Milliseconds.
[[nodiscard]] double FirstEventMs(const EngineProfile& engine,
                                  const ModelProfile& model,
                                  double prompt_tokens);

/// \brief Chooses the target with the earliest expected first event.
///
/// \details Limits the load per target so that the work of a lost group does
/// not overload the remaining ones at once: a group head gets at most `slots`
/// requests and a short queue; the rest waits at the entry or is rejected.
class TargetChooser {
 public:
  /// \param entry Name of the entry that chooses.
  TargetChooser(std::string data_centre, std::string entry, std::uint64_t seed)
      : data_centre(std::move(data_centre)),
        entry(std::move(entry)),
        random(seed) {}

  /// \brief Chooses a target, and takes from the rate limit of a cold one.
  /// `view` must have a configuration: its routes() must not be null.
  /// `cold_factor` multiplies the service's rate limit for cold targets.
  [[nodiscard]] Choice Choose(const ChoiceRequest& request,
                              const FleetView& view, TargetTracker& tracker,
                              double cold_factor, TimePoint now);

  /// \brief Records that a first event came `actual_ms` after dispatch, where
  /// Choose had expected `expected_ms`.
  void RecordFirstEvent(const std::string& service, const std::string& model,
                        double expected_ms, double actual_ms) {
    this->delays[{service, model}].Observe(expected_ms, actual_ms);
  }
  /// \brief Corrects `expected_ms`, a time to the first event from the
  /// published figures, by the delays of the model observed so far.
  [[nodiscard]] double PredictFirstEventMs(const std::string& service,
                                           const std::string& model,
                                           double expected_ms) const;

  /// \brief Requests sent to a group head beyond its slots. They fill slots
  /// that became free since the other entries last reported their load.
  static constexpr std::uint32_t kMaxBeyondSlots = 2;
  /// \brief Most requests in flight at a plain target.
  static constexpr std::uint32_t kMaxPlainRequests = 16;

 private:
  /// True if the target is warm, or takes one more cold request from this
  /// entry, at most `per_s` a second.
  [[nodiscard]] bool TakeColdRequest(const TargetView& target,
                                     TargetTracker& tracker, double per_s,
                                     TimePoint now) const;

  std::string data_centre;
  std::string entry;
  std::mt19937_64 random;
  /// By service and model.
  std::map<std::pair<std::string, std::string>, DelayModel> delays;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_TARGET_CHOOSER_H_
