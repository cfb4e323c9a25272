#include "gooseberryturn/direct/async_http.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "gooseberryturn/direct/http_server_session.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/link/message_reader.h"
#include "header_text.h"

namespace gooseberryturn::direct {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Longest body of an answer that SendHttpRequest takes.
constexpr std::uint64_t kMaxAnswerBytes = 1024U * 1024U;

Error MakeError(const Endpoint& peer, Outcome outcome,
                const std::string& message) {
  return {Reason::kTargetFailed, Step::kConnect, outcome, ToString(peer),
          message};
}

/// The request of one SendHttpRequest call.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(asio::io_context& context, Endpoint peer,
                std::function<void(Result<HttpResponse>)> on_response,
                std::function<bool()> may_send)
      : peer(std::move(peer)),
        socket(context),
        timer(context),
        on_response(std::move(on_response)),
        may_send(std::move(may_send)) {}

  void Start(const HttpRequest& call, const std::vector<HttpHeader>& headers,
             TimePoint deadline) {
    this->request.method_string(call.method);
    this->request.target(call.path);
    this->request.version(11);
    this->request.set(http::field::host, ToString(this->peer));
    for (const HttpHeader& header : headers) {
      this->request.set(header.name, header.value);
    }
    if (!call.body.empty()) {
      this->request.set(http::field::content_type, "application/json");
      this->request.body() = call.body;
    }
    this->request.keep_alive(false);
    this->request.prepare_payload();
    const std::shared_ptr<ClientSession> self = this->shared_from_this();
    this->timer.expires_after(deadline - Clock::now());
    this->timer.async_wait([self](error_code error) {
      if (!error) {
        self->Finish(tl::make_unexpected(
            MakeError(self->peer, Outcome::kUnknown, "no response in time")));
      }
    });
    error_code bad_address;
    const tcp::endpoint target(
        asio::ip::make_address(this->peer.address, bad_address),
        this->peer.port);
    if (bad_address) {
      this->Fail(Outcome::kNotRun, bad_address);
      return;
    }
    this->socket.async_connect(target, [self](error_code error) {
      if (error) {
        self->Fail(Outcome::kNotRun, error);
      } else {
        self->Write();
      }
    });
  }

 private:
  void Write() {
    if (this->may_send && !this->may_send()) {
      this->Finish(tl::make_unexpected(MakeError(
          this->peer, Outcome::kNotRun, "the request may not be sent now")));
      return;
    }
    const std::shared_ptr<ClientSession> self = this->shared_from_this();
    http::async_write(this->socket, this->request,
                      [self](error_code error, std::size_t /*size*/) {
                        if (error) {
                          self->Fail(Outcome::kUnknown, error);
                        } else {
                          self->Read();
                        }
                      });
  }

  void Read() {
    const std::shared_ptr<ClientSession> self = this->shared_from_this();
    link::ReadAnswer(this->socket, this->buffer, this->parser, kMaxAnswerBytes,
                     this->share, [self](const error_code& error) {
                       if (error) {
                         self->Fail(Outcome::kUnknown, error);
                       } else {
                         self->Finish(self->TakeResponse());
                       }
                     });
  }

  HttpResponse TakeResponse() {
    http::response<http::string_body> response = this->parser->release();
    HttpResponse taken{static_cast<int>(response.result_int()), "",
                       std::move(response.body())};
    for (const http::fields::value_type& field : response) {
      taken.headers.push_back({std::string(ToView(field.name_string())),
                               std::string(ToView(field.value()))});
    }
    return taken;
  }

  void Fail(Outcome outcome, const error_code& error) {
    this->Finish(
        tl::make_unexpected(MakeError(this->peer, outcome, error.message())));
  }

  void Finish(Result<HttpResponse> result) {
    if (!this->on_response) {
      return;
    }
    const std::function<void(Result<HttpResponse>)> done =
        std::exchange(this->on_response, nullptr);
    this->timer.cancel();
    error_code ignored;
    if (this->may_send && !result.has_value()) {
      // Resets the connection, so that nothing is transmitted any more.
      this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    this->socket.close(ignored);
    done(std::move(result));
  }

  Endpoint peer;
  tcp::socket socket;
  asio::steady_timer timer;
  std::function<void(Result<HttpResponse>)> on_response;
  std::function<bool()> may_send;  ///< Empty if it always may.
  link::ReadBuffer buffer;
  http::request<http::string_body> request;
  ByteShare share;  ///< Without a budget: answers are short and few.
  std::optional<link::MessageParser<false>> parser;
};

}  // namespace

std::string HttpResponse::Header(const std::string& name) const {
  for (const HttpHeader& header : this->headers) {
    if (IsSameHeaderName(header.name, name)) {
      return header.value;
    }
  }
  return "";
}

AsyncHttpServer::AsyncHttpServer(asio::io_context& context, Handler handler,
                                 const HttpServerLimits& limits)
    : context(context),
      handler(std::make_shared<Handler>(std::move(handler))),
      limits(limits),
      stop_timer(context.get_executor()) {
  if (this->limits.budget == nullptr) {
    this->limits.budget = std::make_shared<ByteBudget>(kMaxHeldBytes);
  }
}

Result<void> AsyncHttpServer::Start(const Endpoint& endpoint) {
  Result<tcp::acceptor> opened = link::Listen(this->context, endpoint);
  if (!opened.has_value()) {
    return tl::make_unexpected(opened.error());
  }
  this->acceptor = std::make_unique<tcp::acceptor>(std::move(*opened));
  this->Accept();
  return {};
}

void AsyncHttpServer::Stop(TimePoint deadline, std::function<void()> on_done) {
  this->on_stopped = std::move(on_done);
  this->is_stopping = true;
  if (this->acceptor != nullptr) {
    this->AcceptBacklog();
    error_code ignored;
    this->acceptor->close(ignored);
  }
  this->stop_timer.Set(deadline, [this] { this->FinishStop(); });
  const std::set<Session> open = this->sessions;
  for (const Session& session : open) {
    session->Leave();
  }
  if (this->sessions.empty()) {
    this->FinishStop();
  }
}

void AsyncHttpServer::FinishStop() {
  this->stop_timer.Cancel();
  if (this->on_stopped) {
    std::exchange(this->on_stopped, nullptr)();
  }
}

void AsyncHttpServer::OnSessionClosed(const Session& session) {
  this->sessions.erase(session);
  if (this->sessions.empty() && this->on_stopped) {
    this->FinishStop();
  }
}

void AsyncHttpServer::AddSession(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const Session session = std::make_shared<HttpServerSession>(
      std::move(socket), this->handler, this->limits);
  session->on_closed = [this](const Session& closed) {
    this->OnSessionClosed(closed);
  };
  this->sessions.insert(session);
  session->Start();
  if (this->is_stopping) {
    session->Leave();
  }
}

void AsyncHttpServer::AcceptBacklog() {
  error_code error;
  this->acceptor->non_blocking(true, error);
  while (!error) {
    tcp::socket socket(this->context);
    this->acceptor->accept(socket, error);
    if (!error) {
      this->AddSession(std::move(socket));
    }
  }
}

void AsyncHttpServer::Accept() {
  this->acceptor->async_accept([this](error_code error, tcp::socket socket) {
    if (!error) {
      this->AddSession(std::move(socket));
    }
    if (this->acceptor->is_open()) {
      this->Accept();
    }
  });
}

void SendHttpRequest(asio::io_context& context, const Endpoint& peer,
                     const HttpRequest& call,
                     const std::vector<HttpHeader>& headers, TimePoint deadline,
                     std::function<void(Result<HttpResponse>)> on_response,
                     std::function<bool()> may_send) {
  std::make_shared<ClientSession>(context, peer, std::move(on_response),
                                  std::move(may_send))
      ->Start(call, headers, deadline);
}

}  // namespace gooseberryturn::direct
