#ifndef GOOSEBERRYTURN_DIRECT_TARGET_CHOOSER_H_
#define GOOSEBERRYTURN_DIRECT_TARGET_CHOOSER_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/direct/delay_model.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/target_tracker.h"

namespace gooseberryturn::direct {

/// \brief Time of a group, at its full width, that a request takes up.
/// \returns Milliseconds.
[[nodiscard]] double EngineMs(const EngineProfile& engine,
                              const ModelProfile& model, double prompt_tokens,
                              double answer_tokens);

/// \brief Why no target was chosen.
enum class NoChoice : std::uint8_t {
  kNone,      ///< One was chosen.
  kNoTarget,  ///< None serves this.
  kFull,      ///< All that serve it are full.
};

inline constexpr NameTable<NoChoice, 3> kNoChoiceNames = {
    {"none", "no_target", "full"}};

/// \brief A request that looks for a target.
struct ChoiceRequest {
  std::string service;
  std::string model;  ///< Empty for plain services.
  std::vector<std::string> tried;
  double prompt_tokens = 0;
  /// Longest wait for prompts in front of its own, milliseconds.
  double most_queue_ms = 0;
  /// Time left until its first event is late, milliseconds; none when it is
  /// late already.
  std::optional<double> on_time_within_ms;
  bool is_resumed = false;  ///< Its caller waits for the rest of an answer.
};

/// \brief A choice, or why there is none.
struct Choice {
  const TargetView* target = nullptr;
  NoChoice reason = NoChoice::kNone;
  std::uint32_t load = 0;  ///< Open requests there when it was chosen.
  double expected_ms = 0;  ///< Until its first event.
};

/// \brief Milliseconds from the hand-over to the first event at a full group
/// with nothing unread in front.
[[nodiscard]] double FirstEventMs(const EngineProfile& engine,
                                  const ModelProfile& model,
                                  double prompt_tokens);

/// \brief Chooses the target with the earliest expected first event.
///
/// \details Answers the load pattern in which a lost group's work falls on
/// the others at once: a head takes at most `slots` requests and a short
/// queue, the rest waits at the entry or is rejected.
class TargetChooser {
 public:
  TargetChooser(std::string data_centre, std::uint64_t seed)
      : data_centre(std::move(data_centre)), random(seed) {}

  [[nodiscard]] Choice Choose(const ChoiceRequest& request,
                              const FleetView& view, TargetTracker& book,
                              double cold_factor, TimePoint now);

  /// \brief A first event came `actual_ms` after the hand-over of a request
  /// for which Choose had reckoned `expected_ms`.
  void Learn(double expected_ms, double actual_ms) noexcept {
    this->delays.Observe(expected_ms, actual_ms);
  }
  /// \brief Milliseconds until a first event that is reckoned to take
  /// `expected_ms` by the published figures.
  [[nodiscard]] double FirstEventAfter(double expected_ms) const noexcept {
    return this->delays.Predict(expected_ms);
  }

  /// \brief Requests given to a head beyond its slots: they fill the slots
  /// that came free since the other entries last told of theirs.
  static constexpr std::uint32_t kBeyondSlots = 2;
  /// \brief Requests in progress at a plain target for each of its slots.
  static constexpr std::uint32_t kPlainLimit = 16;

 private:
  std::string data_centre;
  std::mt19937_64 random;
  DelayModel delays;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_TARGET_CHOOSER_H_
