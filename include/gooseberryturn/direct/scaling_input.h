#ifndef GOOSEBERRYTURN_DIRECT_SCALING_INPUT_H_
#define GOOSEBERRYTURN_DIRECT_SCALING_INPUT_H_

#include <set>
#include <string>
#include <vector>

#include "gooseberryturn/core/time.h"
#include "gooseberryturn/direct/configuration.h"
#include "gooseberryturn/direct/group_planner.h"
#include "gooseberryturn/duty/scale_planner.h"

namespace gooseberryturn::direct {

/// \brief Demand for a scaled service and its targets, for duty::ScalePlanner.
///
/// \details Demand for engines is that of `capacities`, for models whose demand
/// is measured; that for plain targets is their requests in flight, divided by
/// those that one target takes at a time.
/// \param data_centres Those in which the service is to be scaled.
[[nodiscard]] duty::ServiceLoad MeasureServiceLoad(
    const Service& service, const std::set<std::string>& data_centres,
    const std::vector<ModelCapacity>& capacities, const PlanInput& input,
    TimePoint now);

}  // namespace gooseberryturn::direct

#endif  // GOOSEBERRYTURN_DIRECT_SCALING_INPUT_H_
