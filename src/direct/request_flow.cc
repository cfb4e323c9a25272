#include "gooseberryturn/direct/request_flow.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "gooseberryturn/core/id.h"
#include "gooseberryturn/direct/entry_host.h"
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
/// Rank at the engine of a stream that goes on after a break: its caller has
/// waited already.
constexpr char kResumedPriority[] = "2";
/// Rank of a request that cannot be on time any more: it takes the place of
/// none that can.
constexpr char kLatePriority[] = "7";
/// Share of its objective that a request may wait behind other prompts at a
/// head; one that is late already leaves room for those that are not.
constexpr double kQueueShare = 0.85;
constexpr double kLateQueueShare = 0.25;
constexpr double kPercent = 100;

std::int64_t ReadNumber(std::string_view text, std::int64_t fallback) {
  std::int64_t value = 0;
  const std::from_chars_result read =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return read.ec == std::errc() ? value : fallback;
}

}  // namespace

RequestFlow::RequestFlow(EntryHost& host, std::uint64_t number,
                         std::shared_ptr<CallerConnection> caller,
                         CallerMessage message, TimePoint begun_at)
    : host(host),
      number(number),
      caller(std::move(caller)),
      message(std::move(message)),
      table(host.view.routes()),
      begun_at(begun_at),
      deadline(begun_at),
      objective_at(begun_at),
      give_up_at(begun_at) {}

// ---------------------------------------------------------------- admission

void RequestFlow::Start() {
  this->host.metrics.Add(observe::Metric::kInFlight);
  const std::weak_ptr<RequestFlow> weak = this->weak_from_this();
  this->caller->on_gone = [weak] {
    const std::shared_ptr<RequestFlow> self = weak.lock();
    if (self != nullptr) {
      self->Finish("caller_gone");
    }
  };
  this->caller->on_writable = [weak] {
    const std::shared_ptr<RequestFlow> self = weak.lock();
    if (self != nullptr && self->connection != nullptr) {
      self->connection->SetPaused(false);
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

bool RequestFlow::Admit() {
  const HeaderNames& names = this->host.dialect.headers;
  this->id = std::string(this->message[names.attempt]);
  if (this->table == nullptr) {
    this->Refuse(kUnavailable, Reason::kNoView);
    return false;
  }
  std::string_view path = ToView(this->message.target());
  path = path.substr(0, path.find('?'));
  this->route =
      this->table->FindRoute(ToView(this->message[http::field::host]), path);
  if (this->route == nullptr) {
    this->Refuse(kNotFound, Reason::kNoRoute);
    return false;
  }
  if (this->table->configuration().has_teams && !this->route->is_public) {
    std::string_view key = ToView(this->message[http::field::authorization]);
    const std::size_t prefix = sizeof(kBearer) - 1;
    const bool is_bearer = key.substr(0, prefix) == kBearer;
    this->team =
        is_bearer ? this->table->FindTeam(key.substr(prefix)) : nullptr;
    if (this->team == nullptr) {
      this->Refuse(kUnauthorized, Reason::kUnknownTeam);
      return false;
    }
  }
  if (this->host.view.HasQuarantine() &&
      this->host.view.IsQuarantined(this->Fingerprint())) {
    this->Refuse(kUnavailable, Reason::kQuarantined);
    return false;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  this->service = PickService(*this->route, draw(this->host.random));
  this->model = std::string(this->message[names.model]);
  this->prompt_tokens =
      static_cast<double>(ReadNumber(ToView(this->message[names.tokens]), 0));
  const std::int64_t caller_ms = ReadNumber(
      ToView(this->message[names.deadline]), this->route->timeout_ms);
  this->deadline = this->begun_at +
                   Milliseconds(std::min(caller_ms, this->route->timeout_ms));
  this->objective_at = this->begun_at + this->OnTimeMargin();
  this->give_up_at = std::min(this->deadline, this->begun_at + kPatience);
  this->NoteDemand();
  this->host.BudgetOf(this->service)
      .RecordFirstAttempt(static_cast<std::int64_t>(
          kPercent * this->host.settings.retry_share));
  return true;
}

const EngineProfile* RequestFlow::Engine() const {
  const Service* chosen =
      this->table->configuration().FindService(this->service);
  return chosen != nullptr && chosen->engine ? &*chosen->engine : nullptr;
}

const ModelProfile* RequestFlow::Model() const {
  const EngineProfile* engine = this->Engine();
  return engine == nullptr ? nullptr : engine->FindModel(this->model);
}

void RequestFlow::NoteDemand() {
  const ModelProfile* profile = this->Model();
  if (profile != nullptr) {
    const EngineProfile& engine = *this->Engine();
    const double answer =
        this->host.demand.UsualAnswer(this->route->name, engine.usual_answer);
    this->host.demand.Arrived(
        this->service, this->model,
        EngineMs(engine, *profile, this->prompt_tokens, answer));
  }
}

Duration RequestFlow::OnTimeMargin() const {
  const Duration objective = Milliseconds(this->route->objective_ms);
  const ModelProfile* profile = this->Model();
  if (profile == nullptr) {
    return objective;
  }
  const Duration first = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(
          this->host.chooser.FirstEventAfter(
              FirstEventMs(*this->Engine(), *profile, this->prompt_tokens))));
  return std::max(Duration(0), objective - first);
}

std::string RequestFlow::Lane() const {
  return this->service + "/" + this->model;
}

// ------------------------------------------------------------------ sending

void RequestFlow::Dispatch() {
  const int priority = this->team != nullptr && this->team->priority
                           ? *this->team->priority
                           : this->route->priority;
  const TimePoint now = Clock::now();
  // Nobody overtakes those that wait for the same room and are more urgent.
  const bool must_wait =
      !this->is_sent_head &&
      this->host.line.CountAhead(this->Lane(), priority, this->objective_at,
                                 now) > 0;
  if (!must_wait && this->TryAgain()) {
    return;
  }
  if (this->is_done) {
    return;
  }
  this->is_waiting = true;
  this->host.line.Add({this->number, this->Lane(), priority, this->objective_at,
                       this->give_up_at});
}

bool RequestFlow::TryAgain() {
  if (this->is_done) {
    return true;
  }
  ChoiceRequest request;
  request.service = this->service;
  request.model = this->model;
  request.tried = this->tried;
  request.prompt_tokens = this->prompt_tokens;
  const double objective_ms = static_cast<double>(this->route->objective_ms);
  const TimePoint now = Clock::now();
  const bool is_late = now >= this->objective_at;
  request.most_queue_ms =
      objective_ms * (is_late ? kLateQueueShare : kQueueShare);
  if (!is_late) {
    request.on_time_within_ms =
        objective_ms - static_cast<double>(WholeMs(now - this->begun_at));
  }
  request.is_resumed = this->last_event.has_value();
  this->is_sent_late = is_late;
  const Choice choice =
      this->host.chooser.Choose(request, this->host.view, this->host.book,
                                this->host.settings.cold_factor, now);
  if (choice.target == nullptr) {
    if (choice.reason == NoChoice::kNoTarget && this->model.empty() &&
        !this->is_sent_head) {
      this->OnFailedTry("no_target", false);
      return true;
    }
    return false;
  }
  this->is_waiting = false;
  this->host.line.Remove(this->number);
  this->last_choice_load = choice.load;
  this->last_choice_ms = choice.expected_ms;
  this->Run(choice.target->name);
  return true;
}

std::string RequestFlow::RequestBytes(const std::string& to) const {
  const HeaderNames& names = this->host.dialect.headers;
  std::string bytes = std::string(this->message.method_string()) + " " +
                      std::string(this->message.target()) + " HTTP/1.1\r\n";
  const auto add = [&bytes](std::string_view name, std::string_view value) {
    bytes.append(name).append(": ").append(value).append("\r\n");
  };
  for (const http::fields::value_type& field : this->message) {
    const std::string_view name = ToView(field.name_string());
    const bool is_own =
        IsSameName(name, names.deadline) || IsSameName(name, names.team) ||
        IsSameName(name, names.target) || IsSameName(name, names.priority) ||
        IsSameName(name, "authorization");
    const bool is_replaced =
        this->last_event.has_value() && IsSameName(name, kLastEventId);
    if (!IsHopHeader(name) && !is_own && !is_replaced) {
      add(name, ToView(field.value()));
    }
  }
  add(names.deadline, std::to_string(std::max<std::int64_t>(
                          1, RemainingMs(this->deadline, Clock::now()))));
  add(names.target, to);
  if (this->team != nullptr) {
    add(names.team, this->team->name);
  }
  if (this->last_event.has_value()) {
    add(kLastEventId, std::to_string(*this->last_event));
    add(names.priority, kResumedPriority);
  } else if (this->is_sent_late && !this->model.empty()) {
    add(names.priority, kLatePriority);
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

void RequestFlow::Run(const std::string& to) {
  const TargetView* view = this->host.view.FindTarget(to);
  const TimePoint now = Clock::now();
  this->target = to;
  this->tried.push_back(to);
  this->tried_at = now;
  if (this->tried.size() == 1) {
    this->first_tried_at = now;
  }
  this->progress_at = now;
  this->is_streaming = false;
  this->body.clear();
  this->splitter.Reset();
  this->unread_tokens =
      static_cast<std::uint32_t>(std::max(0.0, this->prompt_tokens));
  this->host.book.Begin(to, this->unread_tokens, now);
  this->connection = this->host.pool.Take(to, view->address);
  ExchangeHooks hooks;
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  this->try_number += 1;
  hooks.on_head = [self](const AnswerHead& answer) { self->OnHead(answer); };
  hooks.on_body = [self](std::string_view bytes) { self->OnBody(bytes); };
  hooks.on_end = [self, attempt = this->try_number](ExchangeEnd end,
                                                    const std::string& why) {
    if (attempt == self->try_number) {
      self->OnEnd(end, why);
    }
  };
  this->connection->Exchange(this->RequestBytes(to),
                             this->host.dialect.headers.attempt, this->id,
                             std::move(hooks));
}

}  // namespace gooseberryturn::direct
