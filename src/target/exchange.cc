#include "gooseberryturn/target/exchange.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <utility>

#include "gooseberryturn/link/message_head.h"

namespace gooseberryturn::target {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr int kHttpVersion = 11;
constexpr int kReceiveBufferBytes = 16 * 1024;
constexpr std::size_t kMaxShortBodyBytes = 64U * 1024U;

}  // namespace

Exchange::Exchange(asio::io_context& context, Endpoint target, Request request,
                   TimePoint deadline)
    : socket(context),
      timer(context),
      target(std::move(target)),
      request(std::move(request)),
      deadline(deadline) {}

Error Exchange::MakeError(Reason reason, const std::string& message) const {
  const Outcome outcome =
      this->has_started_sending ? Outcome::kUnknown : Outcome::kNotRun;
  return {reason, Step::kEngine, outcome, ToString(this->target), message};
}

bool Exchange::FinishOnError(const error_code& error) {
  if (!this->is_done && error) {
    this->Finish(tl::make_unexpected(
        this->MakeError(Reason::kTargetFailed, error.message())));
  }
  return this->is_done;
}

void Exchange::Start() {
  const std::shared_ptr<Exchange> self = this->shared_from_this();
  this->timer.expires_after(this->deadline - Clock::now());
  this->timer.async_wait([self](const error_code& error) {
    if (!error) {
      self->FinishAtDeadline();
    }
  });
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(this->target.address), this->target.port);
  error_code ignored;
  this->socket.open(endpoint.protocol(), ignored);
  // Must be set before connecting, because it limits the TCP receive window
  // that is offered to the target.
  this->socket.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  this->socket.async_connect(endpoint, [self](const error_code& error) {
    if (!self->FinishOnError(error)) {
      self->Write();
    }
  });
}

void Exchange::FinishAtDeadline() {
  this->Finish(tl::make_unexpected(this->MakeError(
      Reason::kDeadline, "the target did not finish before the deadline")));
}

void Exchange::Write() {
  if (Clock::now() >= this->deadline) {
    this->FinishAtDeadline();
    return;
  }
  const Result<void> allowed =
      this->may_send ? this->may_send() : Result<void>();
  if (!allowed.has_value()) {
    this->Cancel(allowed.error());
    return;
  }
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->http_request.method_string(this->request.method);
  this->http_request.target(this->request.path);
  this->http_request.version(kHttpVersion);
  this->http_request.set(http::field::host, ToString(this->target));
  this->http_request.set(http::field::connection, "close");
  this->http_request.set("X-Request-Id", this->request.request_id);
  this->http_request.set("X-Fence", std::to_string(this->request.fence));
  this->http_request.set("X-Deadline-Ms", std::to_string(RemainingMs(
                                              this->deadline, Clock::now())));
  if (!this->request.content_type.empty()) {
    this->http_request.set(http::field::content_type,
                           this->request.content_type);
  }
  if (!this->request.idempotency_key.empty()) {
    this->http_request.set("Idempotency-Key", this->request.idempotency_key);
  }
  this->http_request.body() = std::move(this->request.body);
  this->http_request.prepare_payload();
  this->has_started_sending = true;
  const std::shared_ptr<Exchange> self = this->shared_from_this();
  http::async_write(this->socket, this->http_request,
                    [self](const error_code& error, std::size_t /*size*/) {
                      if (self->FinishOnError(error)) {
                        return;
                      }
                      self->http_request.body().clear();
                      self->ReadHead();
                    });
}

void Exchange::ReadHead() {
  this->parser.emplace();
  this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  const std::shared_ptr<Exchange> self = this->shared_from_this();
  http::async_read_header(
      this->socket, this->read_buffer, *this->parser,
      [self](const error_code& error, std::size_t /*size*/) {
        if (self->FinishOnError(error) ||
            self->FinishOnError(link::CheckHead(self->parser->get()))) {
          return;
        }
        self->OnHead();
      });
}

void Exchange::OnHead() {
  const http::response_header<>& head = this->parser->get();
  if (link::IsInterim(head)) {
    this->interim_answers += 1;
    if (this->interim_answers > link::kMaxInterimAnswers) {
      this->Finish(tl::make_unexpected(
          this->MakeError(Reason::kTargetFailed, "too many interim answers")));
    } else {
      this->ReadHead();
    }
    return;
  }
  this->has_head = true;
  this->on_head({static_cast<int>(head.result_int()),
                 std::string(head[http::field::content_type]),
                 std::string(head["X-Boot"])});
  this->ReadBody();
}

void Exchange::ReadBody() {
  if (this->is_done || this->is_paused || this->is_reading || !this->has_head) {
    return;
  }
  if (this->parser->is_done()) {
    this->Finish({});
    return;
  }
  this->is_reading = true;
  this->parser->get().body().data = this->body_buffer.data();
  this->parser->get().body().size = this->body_buffer.size();
  const std::shared_ptr<Exchange> self = this->shared_from_this();
  http::async_read_some(
      this->socket, this->read_buffer, *this->parser,
      [self](error_code error, std::size_t /*size*/) {
        self->is_reading = false;
        if (error == http::error::need_buffer) {
          error = {};
        }
        if (self->FinishOnError(error)) {
          return;
        }
        const std::size_t size =
            self->body_buffer.size() - self->parser->get().body().size;
        if (size > 0) {
          self->on_body(std::string_view(self->body_buffer.data(), size));
        }
        self->ReadBody();
      });
}

void Exchange::Resume() {
  if (this->is_paused) {
    this->is_paused = false;
    this->ReadBody();
  }
}

void Exchange::Cancel(Error error) {
  error.outcome =
      this->has_started_sending ? Outcome::kUnknown : Outcome::kNotRun;
  this->Finish(tl::make_unexpected(std::move(error)));
}

void Exchange::Finish(Result<void> result) {
  if (this->is_done) {
    return;
  }
  this->is_done = true;
  error_code ignored;
  this->socket.close(ignored);
  this->timer.cancel();
  const std::function<void(Result<void>)> callback = std::move(this->on_done);
  this->may_send = nullptr;
  this->on_head = nullptr;
  this->on_body = nullptr;
  this->on_done = nullptr;
  callback(std::move(result));
}

void SendShortRequest(asio::io_context& context, const Endpoint& target,
                      Request request, TimePoint deadline,
                      std::function<void(Result<std::string>)> on_reply) {
  const std::shared_ptr<Exchange> exchange =
      std::make_shared<Exchange>(context, target, std::move(request), deadline);
  const std::shared_ptr<std::string> body = std::make_shared<std::string>();
  const std::shared_ptr<int> status = std::make_shared<int>(0);
  exchange->on_head = [status](const ResponseHead& head) {
    *status = head.status;
  };
  exchange->on_body = [body](std::string_view bytes) {
    if (body->size() + bytes.size() <= kMaxShortBodyBytes) {
      body->append(bytes);
    }
  };
  exchange->on_done = [body, status, target,
                       on_reply](const Result<void>& result) {
    if (!result.has_value()) {
      on_reply(tl::make_unexpected(result.error()));
    } else if (*status != 200) {
      on_reply(tl::make_unexpected(Error{Reason::kTargetFailed, Step::kEngine,
                                         Outcome::kRan, ToString(target),
                                         "status " + std::to_string(*status)}));
    } else {
      on_reply(*body);
    }
  };
  exchange->Start();
}

}  // namespace gooseberryturn::target
