#include "gooseberryturn/direct/request_flow.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/direct/entry_host.h"
#include "gooseberryturn/direct/request_content.h"
#include "gooseberryturn/observe/log.h"
#include "header_text.h"

namespace gooseberryturn::direct {

namespace http = boost::beast::http;
using observe::Level;
using observe::LogEvent;

namespace {

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr char kBearer[] = "Bearer ";
constexpr char kLastEventId[] = "Last-Event-ID";
constexpr double kPercent = 100;
constexpr double kMsPerSecond = 1000;
/// Of one prompt, whatever its caller claims.
constexpr std::int64_t kMaxPromptTokens = 1'000'000'000;

std::int64_t ReadNumber(std::string_view text, std::int64_t fallback) {
  std::int64_t value = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() ? value : fallback;
}

}  // namespace

RequestFlow::RequestFlow(EntryHost& entry, std::uint64_t flow_id,
                         std::shared_ptr<CallerConnection> caller,
                         CallerMessage message, TimePoint received_at)
    : entry(entry),
      flow_id(flow_id),
      caller(std::move(caller)),
      message(std::move(message)),
      route_table(entry.view.routes()),
      received_at(received_at),
      deadline(received_at),
      dispatch_by(received_at),
      queue_deadline(received_at),
      answer_share(entry.held_bytes) {}

// ---------------------------------------------------------------- admission

void RequestFlow::Start() {
  this->entry.metrics.Add(observe::Metric::kInFlight);
  const std::weak_ptr<RequestFlow> weak = this->weak_from_this();
  this->caller->on_disconnected = [weak](CloseCause cause) {
    const std::shared_ptr<RequestFlow> self = weak.lock();
    if (self != nullptr) {
      self->Finish("unanswered_" + std::string(kCloseCauseNames.Name(cause)));
    }
  };
  this->caller->on_input_end = [weak] {
    const std::shared_ptr<RequestFlow> self = weak.lock();
    return self != nullptr && self->OnInputEnd();
  };
  this->caller->on_writable = [weak] {
    const std::shared_ptr<RequestFlow> self = weak.lock();
    if (self != nullptr) {
      self->SetPaused(false);
    }
  };
  if (this->Admit()) {
    this->Dispatch();
  }
}

std::string RequestFlow::Fingerprint() const {
  std::string text = std::string(this->message.target());
  text += '\n';
  text += this->team == nullptr ? "" : this->team->name;
  text += '\n';
  text += this->message.body();
  return Digest(text);
}

void RequestFlow::ReadSharedParts() {
  const std::string& name = this->entry.dialect.headers.prompt_parts;
  std::string text;
  for (const http::fields::value_type& field : this->message) {
    if (IsSameHeaderName(ToView(field.name_string()), name)) {
      text.append(text.empty() ? "" : ",").append(ToView(field.value()));
    }
  }
  if (text.empty()) {
    return;
  }
  std::vector<std::string> parts = this->entry.dialect.read_prompt_parts(text);
  if (!parts.empty()) {
    parts.pop_back();
  }
  parts.resize(std::min(parts.size(), kMaxSharedParts));
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  this->shared_parts = std::move(parts);
}

std::string RequestFlow::QuarantinedContent() const {
  const FleetView& view = this->entry.view;
  if (!view.HasSuspects()) {
    return "";
  }
  for (const std::string& part : this->shared_parts) {
    const std::string content = PartContentId(part);
    if (view.IsQuarantined(content)) {
      return content;
    }
  }
  if (view.HasQuarantinedRequests()) {
    const std::string content = RequestContentId(this->Fingerprint());
    if (view.IsQuarantined(content)) {
      return content;
    }
  }
  return "";
}

void RequestFlow::RefuseByConfiguration(int status, Reason reason) {
  if (this->entry.MayBeBehind(Clock::now())) {
    this->Refuse(kUnavailable, Reason::kNoView);
  } else {
    this->Refuse(status, reason);
  }
}

bool RequestFlow::Admit() {
  const HeaderNames& names = this->entry.dialect.headers;
  this->caller_attempt_id = std::string(this->message[names.attempt]);
  this->ReadSharedParts();
  if (this->route_table == nullptr) {
    this->Refuse(kUnavailable, Reason::kNoView);
    return false;
  }
  std::string_view path = ToView(this->message.target());
  path = path.substr(0, path.find('?'));
  this->route = this->route_table->FindRoute(
      ToView(this->message[http::field::host]), path);
  if (this->route == nullptr) {
    this->RefuseByConfiguration(kNotFound, Reason::kNoRoute);
    return false;
  }
  if (this->route_table->configuration().has_teams && !this->route->is_public) {
    std::string_view key = ToView(this->message[http::field::authorization]);
    const std::size_t prefix_size = sizeof(kBearer) - 1;
    const bool is_bearer = key.substr(0, prefix_size) == kBearer;
    this->team = is_bearer
                     ? this->route_table->FindTeam(key.substr(prefix_size))
                     : nullptr;
    if (this->team == nullptr) {
      this->RefuseByConfiguration(kUnauthorized, Reason::kUnknownTeam);
      return false;
    }
  }
  if (this->EndIfQuarantined()) {
    return false;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  this->service = PickService(*this->route, draw(this->entry.random));
  if (this->FindEngine() != nullptr) {
    // Plain services have no models: a caller could name any number of them.
    this->model = std::string(this->message[names.model]);
  }
  this->prompt_tokens = static_cast<double>(std::clamp<std::int64_t>(
      ReadNumber(ToView(this->message[names.tokens]), 0), 0, kMaxPromptTokens));
  this->ReadHint();
  const std::int64_t caller_timeout_ms = ReadNumber(
      ToView(this->message[names.deadline]), this->route->timeout_ms);
  this->deadline =
      this->received_at + Milliseconds(std::clamp<std::int64_t>(
                              caller_timeout_ms, 0, this->route->timeout_ms));
  if (this->RefuseIfTooLate()) {
    return false;
  }
  this->dispatch_by = this->received_at + this->MaxOnTimeWait();
  this->queue_deadline =
      std::min(this->deadline, this->received_at + kMaxQueueTime);
  this->RecordDemand();
  this->is_early_retry = this->IsOrderedByPriority() && this->IsEarlyRetry();
  if (this->is_early_retry) {
    this->entry.metrics.Add(observe::Metric::kEarlyRetries);
  }
  this->entry.RetryBudgetOf(this->service)
      .RecordFirstAttempt(static_cast<std::int64_t>(
          kPercent * this->entry.settings.retry_ratio));
  return true;
}

void RequestFlow::ReadHint() {
  const std::string& name = this->entry.dialect.headers.length_hint;
  const auto field = this->message.find(name);
  if (name.empty() || field == this->message.end()) {
    return;
  }
  this->length_hint = ReadLengthHint(ToView(field->value()));
  if (!this->length_hint.has_value()) {
    this->entry.metrics.Add(observe::Metric::kLengthHintsIgnored);
  }
}

bool RequestFlow::RefuseIfTooLate() {
  const bool may_have_run =
      this->IsMoving() || this->is_head_sent || this->possible_executions > 0;
  if (may_have_run || !this->entry.IsTooLateFor(this->deadline)) {
    return false;
  }
  this->LeaveQueue();
  this->Refuse(kUnavailable, Reason::kLeaving);
  return true;
}

const EngineProfile* RequestFlow::FindEngine() const {
  const Service* found =
      this->route_table->configuration().FindService(this->service);
  return found != nullptr && found->engine ? &*found->engine : nullptr;
}

const ModelProfile* RequestFlow::FindModel() const {
  const EngineProfile* engine = this->FindEngine();
  return engine == nullptr ? nullptr : engine->FindModel(this->model);
}

bool RequestFlow::IsOrderedByPriority() const {
  return this->entry.priorities.HasSeveral(this->service);
}

bool RequestFlow::IsEarlyRetry() const {
  return !this->entry.early_retries.empty() &&
         this->entry.early_retries.IsEarly(this->Fingerprint(),
                                           this->received_at);
}

void RequestFlow::RecordDemand() {
  const ModelProfile* model_profile = this->FindModel();
  if (model_profile != nullptr) {
    const EngineProfile& engine = *this->FindEngine();
    this->entry.chooser.RecordPrompt(this->service, this->model,
                                     this->prompt_tokens);
    const double mean_tokens = this->entry.demand.MeanAnswerTokens(
        this->route->name, engine.mean_output_tokens);
    const double output_tokens =
        this->IsOrderedByPriority()
            ? this->entry.lengths
                  .Expect(this->route->name, this->length_hint, mean_tokens)
                  .tokens
            : mean_tokens;
    this->engine_ms = EngineTimeMs(engine, *model_profile, this->prompt_tokens,
                                   output_tokens);
    this->entry.demand.RecordRequest(this->service, this->model,
                                     this->engine_ms);
    AdmissionReserve* reserve = this->entry.FindReserve(this->QueueKey());
    if (reserve != nullptr) {
      reserve->RecordArrival(this->Priority(), this->engine_ms,
                             this->received_at);
    }
  }
}

Duration RequestFlow::MaxOnTimeWait() const {
  const Duration objective = Milliseconds(this->route->objective_ms);
  const ModelProfile* model_profile = this->FindModel();
  if (model_profile == nullptr) {
    return objective;
  }
  const Duration first_event =
      FromSeconds(this->entry.chooser.PredictFirstEventMs(
                      this->service, this->model,
                      FirstEventMs(*this->FindEngine(), *model_profile,
                                   this->prompt_tokens)) /
                  kMsPerSecond);
  return std::max(Duration(0), objective - first_event);
}

std::string RequestFlow::QueueKey() const {
  return direct::QueueKey(this->service, this->model);
}

// ----------------------------------------------------------------- dispatch

void RequestFlow::Dispatch() {
  if (this->EndIfQuarantined()) {
    return;
  }
  const TimePoint now = Clock::now();
  if (this->MustHold(now)) {
    this->Hold(now);
    return;
  }
  const QueuedRequest queued = this->DescribeQueued();
  // Requests with the same queue key that rank higher go first.
  const bool must_wait =
      !this->is_head_sent && !this->entry.wait_queue.GoesFirst(queued, now);
  if (!must_wait && this->TryDispatch()) {
    return;
  }
  if (this->is_done) {
    return;
  }
  if (this->IsClosedOut(now)) {
    this->entry.metrics.Add(observe::Metric::kClosedOut);
    this->Refuse(kUnavailable, Reason::kOverloaded);
    return;
  }
  this->is_queued = true;
  this->entry.wait_queue.Add(queued);
}

bool RequestFlow::IsClosedOut(TimePoint now) {
  AdmissionReserve* reserve = this->entry.FindReserve(this->QueueKey());
  const bool may_be_refused =
      !this->is_head_sent && !this->IsMoving() && this->tried_targets.empty();
  if (reserve == nullptr || !may_be_refused) {
    return false;
  }
  const int priority = this->Priority();
  const double urgent_ms =
      this->entry.wait_queue.MoreUrgentMs(this->QueueKey(), priority, now);
  return reserve->IsClosed(priority, urgent_ms, this->queue_deadline - now,
                           now);
}

bool RequestFlow::IsUnservable(ChoiceFailure reason) const {
  if (this->is_head_sent || this->IsMoving()) {
    return false;
  }
  if (reason == ChoiceFailure::kNotConfigured) {
    return !this->entry.MayBeBehind(Clock::now());
  }
  if (this->model.empty()) {
    return reason == ChoiceFailure::kNoTarget ||
           reason == ChoiceFailure::kLeaving;
  }
  return reason == ChoiceFailure::kLeaving &&
         !this->entry.view.IsGroupStarting(this->service, this->model);
}

bool RequestFlow::TryDispatch() {
  if (this->is_done || this->RefuseIfTooLate()) {
    return true;
  }
  const TimePoint now = Clock::now();
  if (this->EndIfQuarantined()) {
    return true;
  }
  if (this->MustHold(now)) {
    this->LeaveQueue();
    this->Hold(now);
    return true;
  }
  if (this->IsMoving() && !this->HasRetry(true)) {
    this->LeaveQueue();
    return true;
  }
  ChoiceRequest request;
  request.service = this->service;
  request.model = this->model;
  request.tried_targets = this->tried_targets;
  request.prompt_tokens = this->prompt_tokens;
  const double objective_ms = static_cast<double>(this->route->objective_ms);
  const bool is_late = now >= this->dispatch_by;
  request.is_resumed = this->last_event_id.has_value();
  if (!is_late) {
    request.max_prefill_wait_ms = objective_ms * kPrefillWaitShare;
    request.time_to_objective_ms =
        objective_ms - static_cast<double>(WholeMs(now - this->received_at));
  } else {
    request.max_prefill_wait_ms =
        objective_ms *
        (request.is_resumed ? kResumedPrefillWaitShare : kLatePrefillWaitShare);
  }
  const AdmissionReserve* reserve = this->entry.FindReserve(this->QueueKey());
  std::size_t waiting = 0;
  if (reserve != nullptr) {
    const int priority = this->Priority();
    request.room_priority = priority;
    request.reserved_requests =
        request.is_resumed ? 0 : reserve->ReservedRequests(priority, now);
    waiting = this->entry.wait_queue.CountByPriority(this->QueueKey(), is_late,
                                                     now)[priority];
  } else {
    waiting = this->entry.wait_queue.Count(this->QueueKey(), is_late, now);
  }
  request.waiting = waiting + (this->is_queued ? 0 : 1);
  this->is_sent_late = is_late;
  const Choice choice = this->entry.chooser.Choose(
      request, this->entry.view, this->entry.target_tracker,
      this->entry.settings.cold_factor, now);
  if (choice.target == nullptr) {
    if (choice.reason == ChoiceFailure::kPaused) {
      return this->EndIfPaused(choice.resumes_at);
    }
    if (this->IsUnservable(choice.reason)) {
      this->GiveUp();
      return true;
    }
    return false;
  }
  this->LeaveQueue();
  if (this->IsMoving() && !this->TryLeaveTarget(now)) {
    return true;
  }
  this->entry.wait_queue.RecordDispatched(this->DescribeQueued());
  this->load_at_choice = choice.load;
  this->expected_first_event_ms = choice.expected_ms;
  this->published_first_event_ms = choice.published_ms;
  this->predicted_first_event_ms = this->entry.chooser.PredictFirstEventMs(
      this->service, this->model, choice.expected_ms);
  this->StartAttempt(choice.target->name);
  return true;
}

QueuedRequest RequestFlow::DescribeQueued() const {
  QueuedRequest queued;
  queued.id = this->flow_id;
  queued.queue_key = this->QueueKey();
  queued.priority = this->Priority();
  queued.dispatch_by = this->dispatch_by;
  queued.queue_deadline = this->queue_deadline;
  if (this->team != nullptr && this->IsOrderedByPriority()) {
    queued.team = this->team->name;
  }
  queued.engine_ms = this->engine_ms;
  queued.is_early_retry = this->is_early_retry;
  return queued;
}

int RequestFlow::Priority() const {
  return this->team != nullptr && this->team->priority ? *this->team->priority
                                                       : this->route->priority;
}

std::optional<int> RequestFlow::EnginePriority() const {
  if (this->last_event_id.has_value()) {
    return PriorityMap::kResumed;
  }
  if (this->is_sent_late && !this->model.empty()) {
    return PriorityMap::kLate;
  }
  return this->entry.priorities.EnginePriority(this->service, this->Priority());
}

std::string RequestFlow::SerializeRequest(const std::string& target_id) const {
  const HeaderNames& names = this->entry.dialect.headers;
  std::string bytes = std::string(this->message.method_string()) + " " +
                      std::string(this->message.target()) + " HTTP/1.1\r\n";
  const auto add = [&bytes](std::string_view name, std::string_view value) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  };
  for (const http::fields::value_type& field : this->message) {
    const std::string_view name = ToView(field.name_string());
    const bool is_set_by_entry = IsSameHeaderName(name, names.deadline) ||
                                 IsSameHeaderName(name, names.team) ||
                                 IsSameHeaderName(name, names.target) ||
                                 IsSameHeaderName(name, names.priority) ||
                                 IsSameHeaderName(name, "authorization");
    const bool is_replaced =
        this->last_event_id.has_value() && IsSameHeaderName(name, kLastEventId);
    if (!IsHopByHopHeader(name) && !is_set_by_entry && !is_replaced) {
      add(name, ToView(field.value()));
    }
  }
  const TimePoint latest_end = this->entry.LatestEnd(this->deadline);
  add(names.deadline, std::to_string(std::max<std::int64_t>(
                          1, RemainingMs(latest_end, Clock::now()))));
  add(names.target, target_id);
  if (this->team != nullptr) {
    add(names.team, this->team->name);
  }
  if (this->last_event_id.has_value()) {
    add(kLastEventId, std::to_string(*this->last_event_id));
  }
  const std::optional<int> engine_priority = this->EnginePriority();
  if (engine_priority.has_value()) {
    add(names.priority, std::to_string(*engine_priority));
  }
  const bool has_body =
      !this->message.body().empty() ||
      this->message.find(http::field::content_length) != this->message.end() ||
      this->message.chunked();
  if (has_body) {
    add("Content-Length", std::to_string(this->message.body().size()));
  }
  bytes += "\r\n";
  bytes += this->message.body();
  return bytes;
}

void RequestFlow::StartAttempt(const std::string& target_id) {
  const TargetView* view = this->entry.view.FindTarget(target_id);
  const TimePoint now = Clock::now();
  this->target = target_id;
  this->target_incarnation = view->Incarnation();
  this->tried_targets.push_back(target_id);
  this->attempt_started_at = now;
  if (this->tried_targets.size() == 1) {
    this->first_attempt_at = now;
  }
  this->last_progress_at = now;
  this->attempt_began_at = TimePoint();
  this->attempt_event_at = TimePoint();
  this->is_gap_paused = false;
  this->is_cut_reported = false;
  this->is_observed_cut_reported = false;
  this->is_streaming = false;
  this->answer_body = std::string();
  this->splitter.Reset();
  this->answer_share.Release();
  this->pending_prefill_tokens =
      static_cast<std::uint32_t>(std::max(0.0, this->prompt_tokens));
  this->entry.target_tracker.BeginRequest(target_id,
                                          this->pending_prefill_tokens, now);
  this->MeterBegin(now);
  this->connection = this->entry.target_pool.Acquire(target_id, view->address);
  ExchangeHooks hooks;
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->attempt_number += 1;
  hooks.on_head = [self](const ResponseHead& head) { self->OnHead(head); };
  hooks.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  hooks.on_end = [self, attempt = this->attempt_number](
                     ExchangeEnd end, const std::string& cause) {
    if (attempt == self->attempt_number) {
      self->OnEnd(end, cause);
    }
  };
  hooks.send_by = this->entry.LatestEnd(this->deadline);
  this->connection->Exchange(this->SerializeRequest(target_id),
                             this->entry.dialect.headers.attempt,
                             this->caller_attempt_id, std::move(hooks));
}

}  // namespace gooseberryturn::direct
