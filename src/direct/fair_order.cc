#include "gooseberryturn/direct/fair_order.h"

namespace gooseberryturn::direct {

double FairOrder::Finish(const std::string& team) const {
  const auto known = this->finish_by_team.find(team);
  return known == this->finish_by_team.end() ? 0 : known->second;
}

void FairOrder::RecordDispatched(const std::string& team, double engine_ms) {
  const double start = this->Start(team);
  const double finish = start + CostMs(engine_ms);
  const auto known = this->finish_by_team.find(team);
  if (known != this->finish_by_team.end()) {
    this->teams_by_finish.erase({known->second, team});
  }
  this->finish_by_team[team] = finish;
  this->teams_by_finish.insert({finish, team});
  this->virtual_time = start;
  while (!this->teams_by_finish.empty() &&
         this->teams_by_finish.begin()->first <= this->virtual_time) {
    this->finish_by_team.erase(this->teams_by_finish.begin()->second);
    this->teams_by_finish.erase(this->teams_by_finish.begin());
  }
}

}  // namespace gooseberryturn::direct
