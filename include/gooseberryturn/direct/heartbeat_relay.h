#ifndef GOOSEBERRYTURN_DIRECT_HEARTBEAT_RELAY_H_
#define GOOSEBERRYTURN_DIRECT_HEARTBEAT_RELAY_H_

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/announcement.h"
#include "gooseberryturn/direct/dialect.h"

namespace gooseberryturn::direct {

/// \brief Path of the summaries between control hosts.
inline constexpr char kHeartbeatsPath[] = "/heartbeats";

/// \brief A target that announced what the leader already knows.
struct HeardTarget {
  std::string id;
  std::int64_t start_time_ms = 0;
  std::uint64_t sequence = 0;
  std::string content;  ///< See ContentDigest.

  MSGPACK_DEFINE(id, start_time_ms, sequence, content)
};

/// \brief Targets that another control host has heard since its last summary.
struct HeartbeatSummary {
  std::uint64_t term = 0;  ///< Of the leader that knows these targets.
  std::vector<HeardTarget> heard;

  MSGPACK_DEFINE(term, heard)
};

/// \brief The leader's answer to a summary.
struct HeartbeatAnswer {
  bool is_accepted = false;  ///< False unless it surely leads in that term.
  std::vector<std::string> unknown;  ///< Ids to be announced in full.

  MSGPACK_DEFINE(is_accepted, unknown)
};

/// \brief Digest of all that an announcement says apart from its sequence;
/// empty for one that has to reach the leader itself: of a target that leaves
/// or is cold, or that has no start.
[[nodiscard]] std::string ContentDigest(const Announcement& announcement);

/// \brief Answers announcements without news at a control host that does not
/// lead, and summarises them for the leader.
///
/// \details Designed for 3,000 targets that announce themselves every 1.2 s. An
/// announcement is without news if the leader of the present term has taken one
/// with the same content from this host. The leader refreshes only the run with
/// just that content: what else it knows by now is announced again in full.
/// Nothing is answered here unless the leader has confirmed a summary or an
/// announcement within kConfirmationLifetime, and a new term starts without any
/// knowledge, so that a new leader hears each target itself.
class HeartbeatRelay {
 public:
  /// \brief True if the call may be answered; it is then part of the next
  /// summary.
  [[nodiscard]] bool Takes(const Announcement& announcement,
                           const HttpRequest& call, TimePoint now);
  /// \brief Records the leader's answer to what was sent to it at `sent_at`:
  /// its term if it holds this content and takes summaries, else 0.
  void RecordAccepted(const Announcement& announcement, std::uint64_t term,
                      TimePoint sent_at);
  /// \brief The next summary, if it is due. An empty one confirms that the
  /// leader still leads.
  [[nodiscard]] std::optional<HeartbeatSummary> TakeSummary(TimePoint now);
  /// \brief Handles the leader's answer to a summary that was sent at
  /// `sent_at`; none if it did not come in time.
  /// \returns Calls to forward in full.
  [[nodiscard]] std::vector<HttpRequest> HandleAnswer(
      const HeartbeatSummary& summary,
      const std::optional<HeartbeatAnswer>& answer, TimePoint sent_at);

  [[nodiscard]] std::size_t size() const noexcept {
    return this->targets.size();
  }

  static constexpr Duration kSummaryInterval = std::chrono::milliseconds(200);
  /// Less than the silence after which the leader probes a target, with the
  /// interval of its announcements.
  static constexpr Duration kConfirmationLifetime =
      std::chrono::milliseconds(800);
  /// A target that is not heard for this time announces itself elsewhere.
  static constexpr Duration kTargetLifetime = std::chrono::seconds(10);

 private:
  struct KnownTarget {
    HeardTarget heard;
    HttpRequest last_call;  ///< Empty unless taken here.
    TimePoint forget_at;
    bool is_unreported = false;  ///< Heard since the last summary.
  };

  /// Forgets a target, and adds its last call to `calls` if it was taken here.
  void TakeCall(const std::string& id, std::vector<HttpRequest>& calls);
  void StartTerm(std::uint64_t next_term);
  /// Reports targets again whose summary may not have arrived.
  void ReportAgain(const HeartbeatSummary& summary);

  std::map<std::string, KnownTarget> targets;
  std::uint64_t term = 0;  ///< 0 if no leader takes summaries.
  TimePoint confirmed_until;
  TimePoint next_summary_at;
};

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_HEARTBEAT_RELAY_H_
