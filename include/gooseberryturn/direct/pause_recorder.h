#ifndef GOOSEBERRYTURN_DIRECT_PAUSE_RECORDER_H_
#define GOOSEBERRYTURN_DIRECT_PAUSE_RECORDER_H_

#include <string>
#include <string_view>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/target_notices.h"
#include "gooseberryturn/observe/metrics.h"

namespace gooseberryturn::direct {

/// \brief Records the pause that a target asks for in an answer with status
/// 503, counts and logs it.
///
/// \param retry_after The answer's Retry-After header; nothing happens if it is
/// empty.
/// \param request Id of the answered request for the log; empty for others.
void RecordRequestedPause(TargetNotices& notices,
                          const TargetIncarnation& incarnation,
                          std::string_view retry_after,
                          const std::string& request, observe::Metrics& metrics,
                          TimePoint now);

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_PAUSE_RECORDER_H_
