#include "gooseberryturn/direct/pause_recorder.h"

#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

namespace {

constexpr std::size_t kMaxLoggedHeaderBytes = 64;

}  // namespace

void RecordRequestedPause(TargetNotices& notices,
                          const TargetIncarnation& incarnation,
                          std::string_view retry_after,
                          const std::string& request, observe::Metrics& metrics,
                          TimePoint now) {
  const RequestedPause pause = ReadPause(retry_after);
  if (pause.state == PauseState::kNone) {
    return;
  }
  TimePoint until = now;
  if (pause.state == PauseState::kIgnored) {
    metrics.Add(observe::Metric::kTargetPausesIgnored);
  } else {
    until = notices.RecordPause(incarnation, now + pause.time);
    metrics.Add(observe::Metric::kTargetPauses);
    metrics.Add(observe::Metric::kTargetPausesBounded,
                pause.state == PauseState::kBounded ? 1 : 0);
  }
  observe::LogEvent(observe::Level::kInfo, request, "target_pause",
                    {{"target", incarnation.target},
                     {"retry_after", std::string(retry_after.substr(
                                         0, kMaxLoggedHeaderBytes))},
                     {"as", std::string(kPauseStateNames.Name(pause.state))},
                     {"pauses_ms", std::to_string(WholeMs(until - now))}});
}

}  // namespace gooseberryturn::direct
