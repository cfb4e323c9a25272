#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "gooseberryturn/direct/entry_host.h"
#include "gooseberryturn/direct/request_flow.h"
#include "gooseberryturn/observe/log.h"

namespace gooseberryturn::direct {

using observe::Level;
using observe::LogEvent;

namespace {

/// Well below the time after which the leader forgets a report.
constexpr Duration kMaxReportInterval = std::chrono::milliseconds(500);

}  // namespace

// ------------------------------------- updates from and reports to the leader

Result<ConfigurationText> EntryHost::ReadText(const FleetUpdate& update) const {
  if (update.config_patch.version > this->held_text.version) {
    return ApplyPatch(update.config_patch, this->held_text);
  }
  const bool is_newer = update.config_version > this->held_text.version;
  if (is_newer && !update.config_text.empty()) {
    return ConfigurationText{update.config_version, update.config_text};
  }
  return this->held_text;
}

bool EntryHost::ApplyUpdate(const FleetUpdate& update) {
  Result<ConfigurationText> text = this->ReadText(update);
  if (!text.has_value()) {
    LogEvent(Level::kWarn, "", "configuration_patch_refused",
             observe::FieldsOf(text.error()));
    this->held_text = {};
    return false;
  }
  std::shared_ptr<const RouteTable> table;
  if (text->version > this->held_text.version) {
    this->held_text = std::move(*text);
    const Result<Configuration> read =
        this->dialect.read_configuration(this->held_text.text);
    if (read.has_value()) {
      table = std::make_shared<const RouteTable>(*read);
    }
    LogEvent(read.has_value() ? Level::kInfo : Level::kError, "",
             "configuration_in_force",
             {{"version", std::to_string(update.config_version)},
              {"before", std::to_string(this->view.version())}});
  }
  const bool has_new_configuration = table != nullptr;
  this->view.Apply(update, std::move(table));
  for (const HandledReport& handled : update.handled_reports) {
    if (handled.incarnation == this->incarnation) {
      this->freshness.RecordHandled(handled.number);
    }
  }
  if (has_new_configuration) {
    this->priorities = PriorityMap(this->view.routes()->configuration());
    for (const std::shared_ptr<CallerConnection>& caller : this->callers) {
      caller->SetLimits(this->LimitsInForce());
    }
  }
  if (this->usage_meter.has_value()) {
    this->usage_meter->SetTime(update.unix_ms, duty::OwnUnixMs(), Clock::now());
  }
  if (!update.in_flight_work.empty()) {
    this->target_tracker.SetTotals(update.in_flight_work);
    this->BeginRound(Clock::now());
  }
  this->UpdateReserves();
  this->ApplyLearntCapacities(update);
  for (const std::string& removed : update.removed_targets) {
    this->target_pool.CloseIdle(removed);
  }
  if (update.term != this->leader_term) {
    this->leader_term = update.term;
    this->cut_reports.SendAgain();
    this->answered_contents.ReportAgain();
  }
  this->ForgetTrials();
  this->RecheckContents();
  this->DispatchQueued();
  return true;
}

void EntryHost::ApplyLearntCapacities(const FleetUpdate& update) {
  if (!this->settings.learns_capacity) {
    return;
  }
  const std::size_t ignored = this->capacity_learner.ApplyMerged(
      update.learnt_capacities, this->view.entries(), Clock::now());
  this->metrics.Add(observe::Metric::kLearntCapacitiesIgnored,
                    static_cast<std::int64_t>(ignored));
}

void EntryHost::BeginRound(TimePoint now) {
  RoomShare::WaitingByPool waiting;
  for (const std::string& key : this->wait_queue.QueueKeys()) {
    const bool is_by_priority = this->FindReserve(key) != nullptr;
    for (const bool is_late : {false, true}) {
      if (!is_by_priority) {
        waiting[RoomPool(key, is_late)] =
            this->wait_queue.Count(key, is_late, now);
        continue;
      }
      for (const std::pair<const int, std::size_t>& count :
           this->wait_queue.CountByPriority(key, is_late, now)) {
        waiting[RoomPool(key, is_late, count.first)] = count.second;
      }
    }
  }
  this->chooser.BeginRound(this->view.entries(), waiting, now);
}

void EntryHost::UpdateReserves() {
  if (this->view.routes() == nullptr) {
    return;
  }
  std::map<std::string, AdmissionReserve> before = std::move(this->reserves);
  this->reserves.clear();
  for (const Service& service : this->view.routes()->configuration().services) {
    if (!this->priorities.HasSeveral(service.name)) {
      continue;
    }
    for (const ModelProfile& model : service.engine->models) {
      const std::string key = QueueKey(service.name, model.name);
      AdmissionReserve& reserve = this->reserves[key];
      reserve = std::move(before[key]);
      reserve.SetCapacity(
          {this->view.Heads(service.name, model).size(), this->view.entries()});
      reserve.on_closed = [key](int priority, std::size_t refused) {
        LogEvent(Level::kInfo, "", "priority_closed",
                 {{"model", key},
                  {"priority", std::to_string(priority)},
                  {"refused", std::to_string(refused)}});
      };
    }
  }
}

AdmissionReserve* EntryHost::FindReserve(const std::string& queue_key) {
  const auto found = this->reserves.find(queue_key);
  return found == this->reserves.end() ? nullptr : &found->second;
}

bool EntryHost::HasIdleRoom(const std::string& service,
                            const std::string& model, TimePoint now) {
  const Service* found =
      this->view.routes()->configuration().FindService(service);
  const ModelProfile* profile = found != nullptr && found->engine.has_value()
                                    ? found->engine->FindModel(model)
                                    : nullptr;
  const std::string key = QueueKey(service, model);
  const bool has_waiting = this->wait_queue.Count(key, false, now) > 0 ||
                           this->wait_queue.Count(key, true, now) > 0;
  if (profile == nullptr || has_waiting) {
    return false;
  }
  std::size_t load = 0;
  std::size_t slots = 0;
  for (const TargetView* head : this->view.Heads(service, *profile)) {
    load += this->target_tracker.Load(head->name);
    slots += found->engine->slots;
  }
  return 2 * load < slots;
}

void EntryHost::SendReport(TimePoint now) {
  EntryReport report;
  std::vector<std::string> suspects = this->target_tracker.StalledTargets(now);
  for (std::string& target : this->target_tracker.BrokenTargets(now)) {
    suspects.push_back(std::move(target));
  }
  for (const std::string& target : suspects) {
    const GroupView* group = this->view.GroupOfHead(target);
    if (group != nullptr) {
      report.stalled_groups.push_back(group->name);
    }
  }
  const bool is_new_stall =
      report.stalled_groups.size() > this->reported_stall_count;
  if (now < this->next_report_at && !is_new_stall &&
      !this->cut_reports.IsUrgent()) {
    return;
  }
  this->next_report_at =
      now + std::clamp<Duration>(this->view.entries() * kReportIntervalPerEntry,
                                 kReportInterval, kMaxReportInterval);
  this->reported_stall_count = report.stalled_groups.size();
  report.in_flight_work = this->target_tracker.ReportInFlightWork();
  report.cut_requests = this->cut_reports.Waiting(now);
  report.has_received_request = this->has_received_request;
  report.config_version = this->view.version();
  report.model_work = this->demand.Totals();
  if (!this->follow_client.is_connected()) {
    return;
  }
  report.answered_contents = this->answered_contents.TakeReport(
      now, [this](const std::string& content) {
        return this->view.IsWatched(content);
      });
  report.held_contents.assign(this->held_contents.begin(),
                              this->held_contents.end());
  report.refused_contents.assign(this->refused_contents.begin(),
                                 this->refused_contents.end());
  if (this->usage_meter.has_value()) {
    report.unix_ms = duty::OwnUnixMs();
    report.usage = this->usage_meter->TakeReport(now);
  }
  if (this->settings.learns_capacity) {
    report.learnt_capacities = this->capacity_learner.TakeReport(now);
    this->metrics.Set(
        observe::Metric::kCapacityProbes,
        static_cast<std::int64_t>(this->capacity_learner.probes()));
    this->metrics.Set(
        observe::Metric::kRequestLimitDecreases,
        static_cast<std::int64_t>(this->capacity_learner.decreases()));
  }
  report.number = this->freshness.RecordSent(now);
  if (this->follow_client.Send(report)) {
    this->cut_reports.RecordSent(now);
    this->held_contents.clear();
    this->refused_contents.clear();
  }
}

}  // namespace gooseberryturn::direct
