#include <algorithm>
#include <utility>

#include "gooseberryturn/direct/entry_host.h"
#include "gooseberryturn/direct/request_flow.h"
#include "gooseberryturn/observe/log.h"
#include "header_text.h"

namespace gooseberryturn::direct {

namespace http = boost::beast::http;
using observe::Level;
using observe::LogEvent;

namespace {

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kServerError = 500;
constexpr char kEventStream[] = "text/event-stream";

}  // namespace

// ---------------------------------------------------------------- answering

void RequestFlow::NoteRead() {
  this->host.book.Read(this->target, std::exchange(this->unread_tokens, 0));
}

void RequestFlow::OnHead(const AnswerHead& answer) {
  this->host.book.Progress(this->target, Clock::now());
  this->progress_at = Clock::now();
  this->head = answer;
  const HeaderNames& names = this->host.dialect.headers;
  const std::string_view type = ToView(answer[http::field::content_type]);
  this->is_streaming = answer.result_int() == kOk &&
                       this->route->kind == RouteKind::kStreaming &&
                       !answer[names.proof].empty() &&
                       answer[http::field::content_encoding].empty() &&
                       type.substr(0, sizeof(kEventStream) - 1) == kEventStream;
}

void RequestFlow::OnBody(std::string_view bytes) {
  const TimePoint now = Clock::now();
  this->host.book.Progress(this->target, now);
  this->progress_at = now;
  this->NoteRead();
  if (!this->is_streaming) {
    this->body.append(bytes);
    if (this->body.size() > kMaxBufferedBytes) {
      this->connection->Cancel();
    }
    return;
  }
  const bool is_bounded = this->splitter.Feed(
      bytes, [this](const StreamEvent& event) { this->OnEvent(event); });
  if (!is_bounded) {
    this->connection->Cancel();
  } else if (this->caller->unsent_bytes() > CallerConnection::kHighWaterBytes) {
    this->connection->SetPaused(true);
  }
}

void RequestFlow::OnEvent(const StreamEvent& event) {
  const bool is_repeated = event.id.has_value() &&
                           this->last_event.has_value() &&
                           *event.id <= *this->last_event;
  if (is_repeated || this->is_done) {
    return;
  }
  const TimePoint now = Clock::now();
  if (!this->is_sent_head) {
    this->is_sent_head = true;
    this->first_event_at = now;
    this->host.chooser.Learn(
        this->last_choice_ms,
        static_cast<double>(WholeMs(now - this->tried_at)));
    this->caller->BeginChunks(this->HeadLines());
    this->host.metrics.Observe(observe::Timing::kFirstByte,
                               now - this->begun_at);
  } else {
    this->longest_pause =
        std::max(this->longest_pause, now - this->last_event_at);
  }
  this->last_event_at = now;
  if (event.id.has_value()) {
    this->last_event = event.id;
  }
  this->events += 1;
  this->caller->SendChunk(event.bytes);
}

void RequestFlow::OnEnd(ExchangeEnd end, const std::string& why) {
  const std::shared_ptr<RequestFlow> self = this->shared_from_this();
  const std::shared_ptr<TargetConnection> used =
      std::exchange(this->connection, nullptr);
  const TimePoint now = Clock::now();
  const bool is_full = end == ExchangeEnd::kComplete &&
                       !this->head[this->host.dialect.headers.not_run].empty();
  Evidence evidence = Evidence::kBad;
  if (end == ExchangeEnd::kCancelled || is_full) {
    evidence = Evidence::kNone;
  } else if (end == ExchangeEnd::kComplete) {
    evidence = Evidence::kGood;
  }
  this->NoteRead();
  this->host.book.End(this->target, evidence, now);
  this->host.pool.Give(this->target, used,
                       this->host.MostRestingAt(this->service));
  if (this->is_done) {
    return;
  }
  if (end == ExchangeEnd::kCut) {
    this->host.NoteCut({this->Fingerprint(), this->target});
  }
  if (this->is_streaming) {
    this->OnStreamEnd(end, why);
  } else if (end == ExchangeEnd::kComplete) {
    this->OnWholeAnswer();
  } else {
    this->OnFailedTry(why, end != ExchangeEnd::kNotSent);
  }
  this->host.TryWaiters();
}

void RequestFlow::OnStreamEnd(ExchangeEnd end, const std::string& why) {
  // An answer without a length ends with its connection: one that stops within
  // an event is not whole.
  const bool is_whole = this->splitter.rest().empty();
  if (end != ExchangeEnd::kComplete || !is_whole) {
    this->OnFailedTry(is_whole ? why : "ended within an event", true);
    return;
  }
  if (!this->is_sent_head) {
    this->is_sent_head = true;
    this->caller->BeginChunks(this->HeadLines());
  }
  this->caller->EndChunks();
  if (this->Engine() != nullptr) {
    this->host.demand.RecordAnswer(
        this->route->name, static_cast<double>(this->events) *
                               static_cast<double>(this->Engine()->stride));
  }
  this->host.metrics.Add(observe::Metric::kAnswers);
  this->Finish("served");
}

void RequestFlow::OnWholeAnswer() {
  const HeaderNames& names = this->host.dialect.headers;
  const int status = static_cast<int>(this->head.result_int());
  const bool is_not_run =
      status == kMisdirected || !this->head[names.not_run].empty();
  if (is_not_run) {
    this->OnFailedTry("not_run_" + std::to_string(status), false);
    return;
  }
  const bool is_success = status >= kOk && status < 300;
  const bool is_own = !this->head[names.proof].empty() &&
                      this->head[http::field::content_encoding].empty();
  if (this->is_sent_head || (is_success && !is_own)) {
    this->OnFailedTry("unusable_" + std::to_string(status), true);
    return;
  }
  if (status >= kServerError && this->route->IsIdempotent() &&
      this->MayTryAgain(true)) {
    LogEvent(Level::kInfo, this->id, "try_failed",
             {{"target", this->target}, {"end", std::to_string(status)}});
    this->runs += 1;
    this->Dispatch();
    return;
  }
  this->PassOnAnswer();
}

bool RequestFlow::MayTryAgain(bool may_have_run) {
  if (may_have_run) {
    if (!this->route->IsIdempotent() ||
        this->runs + 1 >= this->route->attempts) {
      return false;
    }
  }
  const bool has_time = Clock::now() < this->deadline;
  const bool may_try = has_time && this->tried.size() < kMaxTries &&
                       this->host.BudgetOf(this->service).TakeRetry();
  if (may_try) {
    this->host.metrics.CountRetry(may_have_run ? Reason::kAnswerCut
                                               : Reason::kTargetBusy);
  }
  return may_try;
}

void RequestFlow::OnFailedTry(const std::string& why, bool may_have_run) {
  const bool is_again = !this->tried.empty() && this->MayTryAgain(may_have_run);
  LogEvent(Level::kInfo, this->id, "try_failed",
           {{"target", this->target},
            {"why", why},
            {"may_have_run", may_have_run ? "true" : "false"},
            {"events", std::to_string(this->events)},
            {"again", is_again ? "true" : "false"}});
  this->runs += may_have_run ? 1 : 0;
  if (!is_again) {
    this->GiveUp();
    return;
  }
  this->give_up_at = std::min(this->deadline, Clock::now() + kPatience);
  this->Dispatch();
}

void RequestFlow::PassOnAnswer() {
  this->host.metrics.Add(observe::Metric::kAnswers);
  this->caller->Answer(this->HeadLines(), this->body);
  this->Finish("answered_" + std::to_string(this->head.result_int()));
}

std::string RequestFlow::HeadLines() const {
  std::string lines = "HTTP/1.1 " + std::to_string(this->head.result_int()) +
                      " " + std::string(this->head.reason()) + "\r\n";
  for (const http::fields::value_type& field : this->head) {
    const std::string_view name = ToView(field.name_string());
    if (!IsHopHeader(name)) {
      lines.append(name).append(": ").append(ToView(field.value()));
      lines += "\r\n";
    }
  }
  return lines;
}

}  // namespace gooseberryturn::direct
