#include "gooseberryturn/duty/scale_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberryturn::duty {

namespace {

/// Rounding error of a product of demand and coverage.
constexpr double kRounding = 1e-9;

/// 0 for what is no usable time.
Duration TimeOf(double seconds) {
  return seconds > 0
             ? std::min(FromSeconds(seconds), ScalePlanner::kMaxLeadTime)
             : Duration::zero();
}

/// Time until a host that is ordered now serves any model of the service.
Duration LeadTime(const ServiceLoad& load) {
  Duration load_time = Duration::zero();
  for (const ModelLoad& model : load.models) {
    load_time = std::max(load_time, TimeOf(model.load_s));
  }
  return std::min(TimeOf(load.start_s) + load_time, ScalePlanner::kMaxLeadTime);
}

Duration HoldTime(Duration lead_time) {
  const double seconds = std::chrono::duration<double>(lead_time).count();
  return std::max(ScalePlanner::kMinHoldTime,
                  FromSeconds(ScalePlanner::kHoldFactor * seconds));
}

std::size_t GroupSize(const ModelLoad& model) {
  return std::max<std::size_t>(1, model.size);
}

/// At least one, so that the first request for a model finds a group.
std::size_t GroupCount(double busy_hosts, double coverage, std::size_t size) {
  const double groups =
      std::ceil(busy_hosts * coverage / static_cast<double>(size) - kRounding);
  return static_cast<std::size_t>(std::max(1.0, groups));
}

}  // namespace

// ---------------------------------------------------------------- decisions

ScaleDecision ScalePlanner::Decide(const std::vector<ServiceLoad>& loads,
                                   TimePoint now) {
  ScaleDecision decision;
  std::map<std::string, ServiceState> previous;
  previous.swap(this->services);
  for (const ServiceLoad& load : loads) {
    ServiceState& state = this->services[load.service];
    state = std::move(previous[load.service]);
    Context context = {load, state, decision, now, LeadTime(load)};
    DecideService(context);
    for (const DataCentreTargets& targets : load.data_centres) {
      const DataCentreState& centre = state.data_centres[targets.data_centre];
      if (centre.wanted.has_value()) {
        decision.orders.push_back({load.service, targets.data_centre,
                                   *centre.wanted,
                                   targets.Present() + targets.silent});
      }
    }
  }
  return decision;
}

void ScalePlanner::DecideService(Context& context) {
  context.state.begun_at = context.state.begun_at.value_or(context.now);
  MeasureGroups(context);
  RecordTargets(context);
  const bool is_measured = RecordDemand(context);
  KeepLimits(context);
  const DataCentres serving = InService(context, false);
  if (!is_measured || serving.empty()) {
    return;
  }
  const Division division = Divide(context, serving, kTargetCoverage);
  RaiseNumbers(context, serving, division);
  for (std::size_t index = 0; index < serving.size(); ++index) {
    LowerNumber(context, *serving[index], division.needs[index]);
  }
  HoldLost(context, serving.size());
  for (const DataCentreTargets& targets : context.load.data_centres) {
    if (targets.is_out_of_service) {
      DecideFirst(context, targets, context.load.min_targets);
      LowerNumber(context, targets, context.load.min_targets);
    }
  }
}

void ScalePlanner::KeepLimits(Context& context) {
  const bool may_be_unseen =
      context.now < *context.state.begun_at + kMeasurementTime;
  const bool is_fixed = context.load.min_targets == context.max_targets;
  for (const DataCentreTargets& targets : context.load.data_centres) {
    const std::optional<std::size_t>& wanted =
        context.state.data_centres[targets.data_centre].wanted;
    if (!wanted.has_value() && may_be_unseen && !is_fixed) {
      continue;
    }
    const std::size_t known =
        wanted.value_or(targets.Present() + targets.silent);
    const std::size_t allowed =
        std::clamp(known, context.load.min_targets, context.max_targets);
    if (allowed != known || (is_fixed && !wanted.has_value())) {
      SetWanted(context, targets.data_centre, allowed, ScaleReason::kLimits);
    }
  }
}

void ScalePlanner::DecideFirst(Context& context,
                               const DataCentreTargets& targets,
                               std::size_t need) {
  if (context.state.data_centres[targets.data_centre].wanted.has_value()) {
    return;
  }
  // Targets that are there are removed only after demand has stayed low.
  const std::size_t known = targets.Present() + targets.silent;
  SetWanted(context, targets.data_centre,
            std::clamp(std::max(need, known), context.load.min_targets,
                       context.max_targets),
            ScaleReason::kFirst);
}

void ScalePlanner::RaiseNumbers(Context& context, const DataCentres& serving,
                                const Division& division) {
  bool must_rise = false;
  for (std::size_t index = 0; index < serving.size(); ++index) {
    DecideFirst(context, *serving[index], division.needs[index]);
    const std::size_t wanted =
        *context.state.data_centres[serving[index]->data_centre].wanted;
    must_rise |= static_cast<double>(wanted) <
                 kMinShareOfPart * static_cast<double>(division.needs[index]);
  }
  if (!must_rise && !IsShort(context, serving)) {
    return;
  }
  const ScaleReason reason = serving.size() < context.load.data_centres.size()
                                 ? ScaleReason::kDataCentreLost
                                 : ScaleReason::kDemand;
  for (std::size_t index = 0; index < serving.size(); ++index) {
    const std::string& name = serving[index]->data_centre;
    if (division.needs[index] > *context.state.data_centres[name].wanted) {
      SetWanted(context, name, division.needs[index], reason);
    }
  }
}

void ScalePlanner::HoldLost(Context& context, std::size_t serving_count) {
  const DataCentres in_service = InService(context, true);
  if (in_service.size() == serving_count) {
    return;
  }
  const Division parts = Divide(context, in_service, kTargetCoverage);
  for (std::size_t index = 0; index < in_service.size(); ++index) {
    DecideFirst(context, *in_service[index], parts.needs[index]);
  }
}

void ScalePlanner::LowerNumber(Context& context,
                               const DataCentreTargets& targets,
                               std::size_t need) {
  DataCentreState& state = context.state.data_centres[targets.data_centre];
  while (!state.needs.empty() && state.needs.back().hosts <= need) {
    state.needs.pop_back();
  }
  state.needs.push_back({context.now, need});
  const TimePoint window_start = context.now - HoldTime(context.lead_time);
  while (state.needs.front().at < window_start) {
    state.needs.pop_front();
  }
  const bool is_window_full = *context.state.measured_since <= window_start;
  if (!is_window_full || context.now < state.next_step_down_at) {
    return;
  }
  const std::size_t wanted = *state.wanted;
  const std::size_t highest_need = state.needs.front().hosts;
  const std::size_t step = std::min(context.smallest_group, wanted);
  const std::size_t share = static_cast<std::size_t>(
      std::ceil(kStepDownMargin * static_cast<double>(wanted)));
  const std::size_t margin =
      targets.is_out_of_service ? 1 : std::max(step, share);
  if (wanted < highest_need + margin) {
    return;
  }
  state.next_step_down_at = context.now + kStepDownInterval;
  SetWanted(context, targets.data_centre, std::max(highest_need, wanted - step),
            ScaleReason::kLowDemand);
}

void ScalePlanner::SetWanted(Context& context, const std::string& data_centre,
                             std::size_t wanted, ScaleReason reason) {
  DataCentreState& state = context.state.data_centres[data_centre];
  context.decision.changes.push_back(
      {{context.load.service, data_centre, wanted, 0}, state.wanted, reason});
  if (!state.wanted.has_value() || wanted > *state.wanted) {
    state.delivery_deadline = context.now + kDeliveryFactor * context.lead_time;
  }
  state.wanted = wanted;
}

// ------------------------------------------------------------------- inputs

void ScalePlanner::MeasureGroups(Context& context) {
  const ServiceLoad& load = context.load;
  context.max_targets = std::max(load.min_targets, load.max_targets);
  if (load.models.empty()) {
    return;
  }
  context.smallest_group = GroupSize(load.models.front());
  for (const ModelLoad& model : load.models) {
    const std::size_t size = GroupSize(model);
    context.smallest_group = std::min(context.smallest_group, size);
    context.largest_group = std::max(context.largest_group, size);
    context.decision.ignored_inputs += model.size == 0 ? 1 : 0;
  }
}

bool ScalePlanner::RecordDemand(Context& context) {
  ServiceState& state = context.state;
  const bool has_gap = context.now > state.last_decision_at + kMaxGap;
  state.last_decision_at = context.now;
  if (has_gap) {
    state.forecasts.clear();
    state.measured_since.reset();
  }
  bool is_measured = false;
  for (const ModelLoad& model : context.load.models) {
    if (!model.busy_hosts.has_value()) {
      state.forecasts.erase(model.model);
      continue;
    }
    const bool is_valid =
        state.forecasts[model.model].Add(*model.busy_hosts, context.now);
    is_measured |= is_valid;
    context.decision.ignored_inputs += is_valid ? 0 : 1;
  }
  if (!is_measured) {
    state.forecasts.clear();
    state.measured_since.reset();
    return false;
  }
  state.measured_since = state.measured_since.value_or(context.now);
  return true;
}

void ScalePlanner::RecordTargets(Context& context) {
  std::map<std::string, DataCentreState> previous;
  previous.swap(context.state.data_centres);
  for (const DataCentreTargets& targets : context.load.data_centres) {
    const auto found = previous.find(targets.data_centre);
    DataCentreState& state = context.state.data_centres[targets.data_centre];
    if (found != previous.end()) {
      state = std::move(found->second);
    } else {
      state.expected = targets.Present() + targets.silent;
    }
    UpdateLoss(context, targets, state);
  }
}

void ScalePlanner::UpdateLoss(const Context& context,
                              const DataCentreTargets& targets,
                              DataCentreState& state) {
  const std::size_t present = targets.Present();
  state.expected = std::max(state.expected, present);
  if (state.wanted.has_value()) {
    const bool is_due = context.now >= state.delivery_deadline;
    state.expected =
        is_due ? *state.wanted : std::min(state.expected, *state.wanted);
  }
  if (targets.is_out_of_service) {
    state.expected = 0;
  }
  if (present >= state.expected - state.expected / 2) {
    state.short_since.reset();
    state.is_lost = false;
    return;
  }
  state.short_since = state.short_since.value_or(context.now);
  state.is_lost = state.expected - present >= kMinLostTargets ||
                  context.now >= *state.short_since + context.lead_time;
}

// ------------------------------------------------------------------- needs

ScalePlanner::DataCentres ScalePlanner::InService(const Context& context,
                                                  bool includes_lost) {
  DataCentres all;
  DataCentres not_lost;
  for (const DataCentreTargets& targets : context.load.data_centres) {
    if (targets.is_out_of_service) {
      continue;
    }
    all.push_back(&targets);
    if (!context.state.data_centres[targets.data_centre].is_lost) {
      not_lost.push_back(&targets);
    }
  }
  // When all seem lost, it is more likely that this host hears no target.
  return includes_lost || not_lost.empty() ? all : not_lost;
}

std::size_t ScalePlanner::Spares(const Context& context,
                                 const DataCentreTargets& targets,
                                 std::size_t hosts) {
  if (context.largest_group == 1 || hosts == 0) {
    return 0;
  }
  const double share = std::ceil(kSpareShare * static_cast<double>(hosts));
  return std::max(
      {std::size_t{1}, targets.domains, static_cast<std::size_t>(share)});
}

std::size_t ScalePlanner::HostsInGroups(const Context& context,
                                        const DataCentreTargets& targets,
                                        std::size_t count) {
  if (context.largest_group == 1) {
    return count;
  }
  const std::size_t least_spares = std::max<std::size_t>(1, targets.domains);
  const double by_share =
      std::floor(static_cast<double>(count) / (1 + kSpareShare) + kRounding);
  return std::min(static_cast<std::size_t>(by_share),
                  count - std::min(count, least_spares));
}

ScalePlanner::Division ScalePlanner::Divide(const Context& context,
                                            const DataCentres& centres,
                                            double coverage) {
  std::vector<GroupNeed> needs;
  for (const ModelLoad& model : context.load.models) {
    const double busy_hosts =
        context.state.forecasts[model.model].Predict(context.lead_time);
    const std::size_t size = GroupSize(model);
    needs.push_back({size, GroupCount(busy_hosts, coverage, size)});
  }
  std::vector<std::size_t> room;
  room.reserve(centres.size());
  for (const DataCentreTargets* targets : centres) {
    room.push_back(HostsInGroups(context, *targets, context.max_targets));
  }
  const GroupDivision groups = DivideGroups(std::move(needs), room);
  Division division;
  division.group_sizes = groups.group_sizes;
  division.is_complete = groups.is_complete;
  for (std::size_t index = 0; index < centres.size(); ++index) {
    const std::size_t hosts = groups.hosts[index];
    const std::size_t need = hosts + Spares(context, *centres[index], hosts);
    division.needs.push_back(
        groups.is_complete
            ? std::clamp(need, context.load.min_targets, context.max_targets)
            : context.max_targets);
  }
  return division;
}

bool ScalePlanner::IsShort(const Context& context, const DataCentres& serving) {
  const Division least = Divide(context, serving, kMinCoverage);
  std::vector<std::size_t> room;
  room.reserve(serving.size());
  for (const DataCentreTargets* targets : serving) {
    const std::size_t wanted =
        *context.state.data_centres[targets->data_centre].wanted;
    room.push_back(HostsInGroups(context, *targets, wanted));
  }
  return !least.is_complete || !FitGroups(least.group_sizes, std::move(room));
}

}  // namespace gooseberryturn::duty
