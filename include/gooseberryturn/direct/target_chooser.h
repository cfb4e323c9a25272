#ifndef GOOSEBERRYTURN_DIRECT_TARGET_CHOOSER_H_
#define GOOSEBERRYTURN_DIRECT_TARGET_CHOOSER_H_

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gooseberryturn/core/name_table.h"
#include "gooseberryturn/direct/capacity_learner.h"
#include "gooseberryturn/direct/delay_model.h"
#include "gooseberryturn/direct/fleet_view.h"
#include "gooseberryturn/direct/room_share.h"
#include "gooseberryturn/direct/target_tracker.h"
#include "gooseberryturn/direct/wait_queue.h"

namespace gooseberryturn::direct {

/// \brief Time that a request uses of a group whose slots are all in use: its
/// prefill and its share of the decode steps.
/// \returns Milliseconds.
[[nodiscard]] double EngineTimeMs(const EngineProfile& engine,
                                  const ModelProfile& model,
                                  double prompt_tokens, double output_tokens);

/// \brief Why no target was chosen.
enum class ChoiceFailure : std::uint8_t {
  kNone,           ///< A target was chosen.
  kNoTarget,       ///< No target serves the request.
  kFull,           ///< Targets serve it, but none can take it now.
  kPaused,         ///< All that could take it asked for a pause.
  kLeaving,        ///< All that serve it said in answers that they leave.
  kNotConfigured,  ///< The configuration has no such service or model.
};

inline constexpr NameTable<ChoiceFailure, 6> kChoiceFailureNames = {
    {"none", "no_target", "full", "paused", "leaving", "not_configured"}};

/// \brief Share of its objective that a request may wait at a group head for
/// the prefill of other prompts.
inline constexpr double kPrefillWaitShare = 0.85;
/// \brief The same for a resumed stream whose objective is out of reach.
inline constexpr double kResumedPrefillWaitShare = 0.25;
/// \brief The same for another late request: it goes only where hardly any
/// prompt waits, so that it delays none that can still be on time.
inline constexpr double kLatePrefillWaitShare = 0.1;

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
  /// Number of more urgent requests for which room is kept at each head.
  double reserved_requests = 0;
  /// Its priority, where room is kept for more urgent requests: it then shares
  /// room only with requests of the same priority.
  std::optional<int> room_priority;
  /// Requests of its pool that wait at this entry, with this one.
  std::size_t waiting = 1;

  [[nodiscard]] bool HasTried(const std::string& target) const {
    return std::find(this->tried_targets.begin(), this->tried_targets.end(),
                     target) != this->tried_targets.end();
  }
  /// \brief The pool of RoomShare that it belongs to.
  [[nodiscard]] std::string Pool() const {
    return RoomPool(QueueKey(this->service, this->model),
                    !this->time_to_objective_ms.has_value(),
                    this->room_priority);
  }
};

/// \brief The chosen target, or why there is none.
struct Choice {
  const TargetView* target = nullptr;  ///< Null if none was chosen.
  ChoiceFailure reason = ChoiceFailure::kNone;
  std::uint32_t load = 0;  ///< Its requests in flight before this one.
  /// Milliseconds until the first event according to the published figures and
  /// to what was learnt of the target.
  double expected_ms = 0;
  double published_ms = 0;  ///< The same by the published figures alone.
  TimePoint resumes_at;     ///< With kPaused: when the first pause ends.
};

/// \brief Time from dispatch to the first event at a group whose slots are all
/// in use and where no other prompt waits for prefill.
/// \returns Milliseconds.
[[nodiscard]] double FirstEventMs(const EngineProfile& engine,
                                  const ModelProfile& model,
                                  double prompt_tokens);

/// \brief Time between two events of a stream at a group with `load` requests,
/// of which prompts of `pending_prefill_tokens` wait for their prefill.
/// \returns Milliseconds.
[[nodiscard]] double EventGapMs(const EngineProfile& engine,
                                const ModelProfile& model, double load,
                                double pending_prefill_tokens);

/// \brief Chooses a target by the expected time to the first event.
///
/// \details Limits the load per target so that the work of a lost group does
/// not overload the remaining ones at once: a group head gets at most `slots`
/// requests and a short queue; the rest waits at the entry or is rejected. Room
/// at the heads is divided among the entries (RoomShare), and what they send is
/// spread over the heads (SpreadWeights). Of plain targets the least loaded one
/// is chosen.
class TargetChooser {
 public:
  /// \param entry Name of the entry that chooses.
  TargetChooser(std::string data_centre, std::string entry, std::uint64_t seed)
      : data_centre(std::move(data_centre)),
        entry(std::move(entry)),
        random(seed),
        room_share(seed + 1) {}

  /// \brief Chooses a target, and takes from the rate limit of a cold one.
  /// `view` must have a configuration: its routes() must not be null.
  /// `cold_factor` multiplies the service's rate limit for cold targets.
  [[nodiscard]] Choice Choose(const ChoiceRequest& request,
                              const FleetView& view, TargetTracker& tracker,
                              double cold_factor, TimePoint now);

  /// \brief Takes what was learnt of the targets into account from now on. A
  /// target beyond what it takes well is chosen only when no other has room.
  void UseLearntCapacity(CapacityLearner& capacity_learner) {
    this->learner = &capacity_learner;
  }
  /// \brief Begins a round of RoomShare, when new figures of the load at the
  /// heads have arrived that `entries` entries see.
  void BeginRound(std::size_t entries, const RoomShare::WaitingByPool& waiting,
                  TimePoint now) {
    this->room_share.BeginRound(entries, waiting, now);
  }
  /// \brief Records the prompt of a request that has arrived.
  void RecordPrompt(const std::string& service, const std::string& model,
                    double prompt_tokens);
  /// \brief Records that a first event came `actual_ms` after dispatch, where
  /// Choose had expected `expected_ms`.
  void RecordFirstEvent(const std::string& service, const std::string& model,
                        double expected_ms, double actual_ms) {
    this->models[{service, model}].delays.Observe(expected_ms, actual_ms);
  }
  /// \brief Corrects `expected_ms`, a time to the first event from the
  /// published figures, by the delays of the model observed so far.
  [[nodiscard]] double PredictFirstEventMs(const std::string& service,
                                           const std::string& model,
                                           double expected_ms) const;

  /// \brief Requests sent to a group head beyond its slots. They fill slots
  /// that became free since the other entries last reported their load.
  static constexpr std::uint32_t kMaxBeyondSlots = 2;
  /// \brief Largest share of a head's slots, and of the prefill that may wait
  /// there, that is kept for more urgent requests.
  static constexpr double kMaxReservedShare = 0.75;
  /// \brief Most requests in flight at a plain target.
  static constexpr std::uint32_t kMaxPlainRequests =
      static_cast<std::uint32_t>(TargetEstimate::kUnknownRequestLimit);

  /// Weight of the newest prompt in the moving average of its model.
  static constexpr double kPromptWeight = 0.02;

 private:
  /// A target that can take the request.
  struct Candidate {
    const TargetView* target = nullptr;
    std::uint32_t load = 0;
    double expected_ms = 0;
    double published_ms = 0;  ///< `expected_ms` without a learnt factor.
    double typical_ms = 0;  ///< Prefill of the model's usual prompt, at a head.
    double room = 0;        ///< Requests that a head can take.
    double score = 0;       ///< The lowest wins.
  };

  /// What was learnt of one model.
  struct ModelHistory {
    DelayModel delays;
    double mean_prompt_tokens = 0;  ///< 0 before the first prompt.
  };

  /// The targets that the request may go to, by what they said of themselves
  /// and what it has tried. The reason of `choice` says why there are none.
  [[nodiscard]] static std::vector<const TargetView*> UsableTargets(
      const std::vector<const TargetView*>& targets,
      const ChoiceRequest& request, const TargetTracker& tracker, TimePoint now,
      Choice& choice);
  /// The targets that can take the request, best first.
  [[nodiscard]] std::vector<Candidate> PlainCandidates(
      const std::vector<const TargetView*>& targets,
      const TargetTracker& tracker, TimePoint now);
  [[nodiscard]] std::vector<Candidate> HeadCandidates(
      const std::vector<const TargetView*>& heads, const ChoiceRequest& request,
      const EngineProfile& engine, const ModelProfile& model,
      const TargetTracker& tracker, TimePoint now);
  /// The heads that have room for the request.
  [[nodiscard]] std::vector<Candidate> HeadsWithRoom(
      const std::vector<const TargetView*>& heads, const ChoiceRequest& request,
      const EngineProfile& engine, const ModelProfile& model,
      const TargetTracker& tracker, TimePoint now) const;
  /// The head with its room, if it has any for the request.
  /// \param estimate What was learnt of it.
  [[nodiscard]] std::optional<Candidate> MeasureHead(
      const TargetView& head, const ChoiceRequest& request,
      const EngineProfile& engine, const ModelProfile& model,
      const TargetTracker& tracker, const TargetEstimate& estimate) const;
  /// What was learnt of a target, nothing if this isn't in use.
  [[nodiscard]] TargetEstimate EstimateOf(const TargetView& target,
                                          TimePoint now) const;
  /// Expected delay at a plain target by what was learnt of it, in
  /// milliseconds.
  [[nodiscard]] static double LearntDelayMs(const Candidate& candidate,
                                            const TargetEstimate& estimate);
  /// Requests of the same pool that all entries want to send now.
  [[nodiscard]] double Contenders(const ChoiceRequest& request) const;
  /// Puts the heads into a random order by SpreadWeights.
  void Spread(std::vector<Candidate>& heads, double contenders);
  /// True if the target is warm, or takes one more cold request from this
  /// entry, at most `per_s` a second.
  [[nodiscard]] bool TakeColdRequest(const TargetView& target,
                                     TargetTracker& tracker, double per_s,
                                     TimePoint now) const;

  std::string data_centre;
  std::string entry;
  std::mt19937_64 random;
  RoomShare room_share;
  CapacityLearner* learner = nullptr;  ///< Null if nothing is learnt.
  /// By service and model.
  std::map<std::pair<std::string, std::string>, ModelHistory> models;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_TARGET_CHOOSER_H_
