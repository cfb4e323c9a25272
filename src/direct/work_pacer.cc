#include "gooseberryturn/direct/work_pacer.h"

#include <algorithm>
#include <chrono>

namespace gooseberryturn::direct {

void WorkPacer::RecordRun(TimePoint started_at, TimePoint ended_at) noexcept {
  if (ended_at - started_at < kFreeRun) {
    this->next_at = ended_at;
    return;
  }
  const double run_s =
      std::chrono::duration<double>(ended_at - started_at).count();
  const double pause_s = std::max(0.0, run_s * (1 / this->share - 1));
  const double max_pause_s =
      std::chrono::duration<double>(this->max_pause).count();
  this->next_at = ended_at + FromSeconds(std::min(pause_s, max_pause_s));
}

}  // namespace gooseberryturn::direct
