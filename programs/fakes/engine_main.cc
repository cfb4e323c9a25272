// Fake model engine for tests and benchmarks: continuous batching, a memory
// limit, streamed answers, a cold start, optional fencing and fault injection.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "gooseberryturn/app/program.h"
#include "gooseberryturn/core/id.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/listener.h"
#include "gooseberryturn/link/read_buffer.h"

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)
namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Command-line options.
struct EngineOptions {
  std::string listen;
  std::int64_t token_ms = 5;
  std::int64_t prefill_ms = 10;
  std::int64_t tokens = 16;
  /// Padding bytes added to each token.
  std::int64_t token_bytes = 0;
  /// Crashes when the requests in flight reserve more tokens.
  std::int64_t memory_tokens = 1'000'000;
  /// Completed requests until the engine is warm.
  std::int64_t warm_after_requests = 0;
  /// Crashes with more requests in flight while cold.
  std::int64_t max_cold_requests = 1'000'000;
  /// Factor on the prefill time while cold.
  std::int64_t cold_factor = 5;
  /// Closes the connection instead of sending this token, counted from 1; 0 for
  /// never.
  std::int64_t cut_after = 0;
  /// Crashes on a body that contains this.
  std::string crash_text;
  bool check_fence = false;
  /// Delay of each answer to GET /health.
  std::int64_t health_delay_ms = 0;
};

class Engine;

/// A connection that serves one request and is then closed.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, Engine& engine)
      : socket(std::move(socket)), engine(engine) {}

  void Start();
  /// Queues `text`. After a text with `is_last`, the connection is closed once
  /// everything queued is sent.
  void Send(std::string text, bool is_last);
  void Close() {
    error_code ignored;
    this->socket.close(ignored);
  }
  [[nodiscard]] bool is_open() const { return this->socket.is_open(); }

  std::int64_t tokens_left = 0;
  std::int64_t reserved_tokens = 0;
  std::int64_t next_token = 0;
  std::string body_digest;
  TimePoint first_token_at;
  bool is_writing = false;

 private:
  asio::ip::tcp::socket socket;
  Engine& engine;
  link::ReadBuffer buffer;
  http::request<http::string_body> request;
  std::string pending;
  std::string writing;
  bool is_last_queued = false;
};

/// Accepts requests and generates tokens for all of them in one batch.
class Engine {
 public:
  Engine(asio::io_context& context, EngineOptions options)
      : options(std::move(options)), context(context), timer(context) {}

  bool Start() {
    const std::optional<Endpoint> endpoint =
        ParseEndpoint(this->options.listen);
    if (!endpoint.has_value()) {
      std::cerr << "fake-engine: --listen needs IP:PORT\n";
      return false;
    }
    Result<asio::ip::tcp::acceptor> opened =
        link::Listen(this->context, *endpoint);
    if (!opened.has_value()) {
      std::cerr << "fake-engine: " << ToString(opened.error()) << "\n";
      return false;
    }
    this->acceptor =
        std::make_unique<asio::ip::tcp::acceptor>(std::move(*opened));
    this->Accept();
    this->StepBatch();
    return true;
  }

  void Handle(const std::shared_ptr<Session>& session,
              const http::request<http::string_body>& request) {
    const std::string path(request.target());
    if (path == "/health") {
      this->ReplyToHealthCheck(session);
    } else if (path == "/counts") {
      Reply(session, 200,
            "{\"runs\":" + std::to_string(this->runs) +
                ",\"finished\":" + std::to_string(this->finished) +
                ",\"max_in_flight\":" + std::to_string(this->max_in_flight) +
                ",\"cold_max\":" + std::to_string(this->max_cold_in_flight) +
                ",\"max_tokens\":" + std::to_string(this->max_reserved_tokens) +
                "}");
    } else if (path == "/reset") {
      this->Reset(request);
      Reply(session, 200, "{}");
    } else if (path == "/cold") {
      this->completed_since_cold = 0;
      Reply(session, 200, "{}");
    } else {
      this->StartRequest(session, request);
    }
  }

  static void Reply(const std::shared_ptr<Session>& session, int status,
                    const std::string& body) {
    session->Send("HTTP/1.1 " + std::to_string(status) +
                      " X\r\nConnection: close\r\nContent-Type: "
                      "application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body,
                  true);
  }

 private:
  void ReplyToHealthCheck(const std::shared_ptr<Session>& session) {
    const std::shared_ptr<asio::steady_timer> delay =
        std::make_shared<asio::steady_timer>(
            this->context, Milliseconds(this->options.health_delay_ms));
    delay->async_wait([this, session, delay](const error_code& /*error*/) {
      Reply(session, 200,
            "{\"boot\":\"" + this->boot + "\",\"ready\":true,\"in_flight\":" +
                std::to_string(this->batch.size()) + "}");
    });
  }

  [[nodiscard]] bool IsCold() const {
    return this->completed_since_cold < this->options.warm_after_requests;
  }

  /// Returns the first number after `key`, or `fallback`.
  static std::int64_t NumberAfter(const std::string& text,
                                  const std::string& key,
                                  std::int64_t fallback) {
    const std::size_t found = text.find(key);
    if (found == std::string::npos) {
      return fallback;
    }
    const std::size_t digit = text.find_first_of("0123456789", found);
    std::int64_t value = fallback;
    if (digit != std::string::npos) {
      std::from_chars(text.data() + digit, text.data() + text.size(), value);
    }
    return value;
  }

  /// Sets the fence and drops all requests in flight.
  void Reset(const http::request<http::string_body>& request) {
    this->fence = NumberAfter(std::string(request["X-Fence"]), "", 0);
    for (const std::shared_ptr<Session>& session : this->batch) {
      session->Close();
    }
    this->batch.clear();
    this->total_reserved_tokens = 0;
  }

  void StartRequest(const std::shared_ptr<Session>& session,
                    const http::request<http::string_body>& request) {
    const std::string& body = request.body();
    const bool must_crash =
        !this->options.crash_text.empty() &&
        body.find(this->options.crash_text) != std::string::npos;
    if (must_crash) {
      std::_Exit(3);
    }
    const std::int64_t request_fence =
        NumberAfter(std::string(request["X-Fence"]), "", 0);
    if (this->options.check_fence && request_fence < this->fence) {
      Reply(session, 409, "{\"error\":\"stale fencing token\"}");
      return;
    }
    session->tokens_left =
        NumberAfter(body, "\"max_tokens\"", this->options.tokens);
    session->reserved_tokens =
        static_cast<std::int64_t>(body.size()) / 4 + session->tokens_left;
    session->body_digest = Digest(body).substr(0, 8);
    const std::int64_t prefill_factor =
        this->IsCold() ? this->options.cold_factor : 1;
    session->first_token_at =
        Clock::now() + Milliseconds(this->options.prefill_ms * prefill_factor);
    this->batch.insert(session);
    this->runs += 1;
    this->total_reserved_tokens += session->reserved_tokens;
    const std::int64_t size = static_cast<std::int64_t>(this->batch.size());
    this->max_in_flight = std::max(this->max_in_flight, size);
    this->max_reserved_tokens =
        std::max(this->max_reserved_tokens, this->total_reserved_tokens);
    if (this->IsCold()) {
      this->max_cold_in_flight = std::max(this->max_cold_in_flight, size);
    }
    const bool is_overloaded =
        (this->IsCold() && size > this->options.max_cold_requests) ||
        this->total_reserved_tokens > this->options.memory_tokens;
    if (is_overloaded) {
      std::cerr << "fake-engine: overloaded, crashing\n";
      std::_Exit(4);
    }
    session->Send(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Boot: " + this->boot +
            "\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
        false);
  }

  static std::string EncodeChunk(const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
  }

  /// Generates one token for every request whose prefill is done and whose
  /// earlier texts are sent.
  void StepBatch() {
    const TimePoint now = Clock::now();
    const std::set<std::shared_ptr<Session>> sessions = this->batch;
    for (const std::shared_ptr<Session>& session : sessions) {
      if (!session->is_open()) {
        this->RemoveFromBatch(session);
        continue;
      }
      if (now < session->first_token_at || session->is_writing) {
        continue;
      }
      const std::string event =
          "data: {\"token\":\"" + session->body_digest + "-" +
          std::to_string(session->next_token) +
          std::string(static_cast<std::size_t>(this->options.token_bytes),
                      'x') +
          "\"}\n\n";
      session->next_token += 1;
      if (session->next_token == this->options.cut_after) {
        session->Close();
        this->RemoveFromBatch(session);
        continue;
      }
      session->tokens_left -= 1;
      if (session->tokens_left > 0) {
        session->Send(EncodeChunk(event), false);
        continue;
      }
      session->Send(
          EncodeChunk(event) + EncodeChunk("data: [DONE]\n\n") + "0\r\n\r\n",
          true);
      this->finished += 1;
      this->completed_since_cold += 1;
      this->RemoveFromBatch(session);
    }
    this->timer.expires_after(Milliseconds(this->options.token_ms));
    this->timer.async_wait([this](const error_code& error) {
      if (!error) {
        this->StepBatch();
      }
    });
  }

  void RemoveFromBatch(const std::shared_ptr<Session>& session) {
    if (this->batch.erase(session) > 0) {
      this->total_reserved_tokens -= session->reserved_tokens;
    }
  }

  void Accept() {
    this->acceptor->async_accept(
        [this](const error_code& error, asio::ip::tcp::socket socket) {
          if (!error) {
            std::make_shared<Session>(std::move(socket), *this)->Start();
          }
          this->Accept();
        });
  }

  EngineOptions options;
  asio::io_context& context;
  asio::steady_timer timer;
  std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
  std::string boot = RandomHexId();
  std::set<std::shared_ptr<Session>> batch;
  std::int64_t fence = 0;
  std::int64_t runs = 0;
  std::int64_t finished = 0;
  std::int64_t completed_since_cold = 0;
  std::int64_t max_in_flight = 0;
  std::int64_t max_cold_in_flight = 0;
  std::int64_t total_reserved_tokens = 0;
  std::int64_t max_reserved_tokens = 0;
};

void Session::Start() {
  error_code ignored;
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const std::shared_ptr<Session> self = this->shared_from_this();
  http::async_read(this->socket, this->buffer, this->request,
                   [self](const error_code& error, std::size_t /*size*/) {
                     if (!error) {
                       self->engine.Handle(self, self->request);
                     }
                   });
}

void Session::Send(std::string text, bool is_last) {
  this->pending += text;
  this->is_last_queued = this->is_last_queued || is_last;
  if (this->is_writing) {
    return;
  }
  this->is_writing = true;
  this->writing.swap(this->pending);
  this->pending.clear();
  const std::shared_ptr<Session> self = this->shared_from_this();
  asio::async_write(this->socket, asio::buffer(this->writing),
                    [self](const error_code& error, std::size_t /*size*/) {
                      self->is_writing = false;
                      if (error) {
                        self->Close();
                      } else if (!self->pending.empty()) {
                        self->Send(std::string(), false);
                      } else if (self->is_last_queued) {
                        error_code ignored;
                        self->socket.shutdown(
                            asio::ip::tcp::socket::shutdown_send, ignored);
                        self->Close();
                      }
                    });
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  EngineOptions options;
  po::options_description description(
      "fake-engine: fake model engine for tests");
  const auto number_option = [](std::int64_t* variable) {
    return po::value<std::int64_t>(variable)->default_value(*variable);
  };
  description.add_options()("help", "print this text")(
      "listen", po::value<std::string>(&options.listen)->required(), "IP:PORT")(
      "token-ms", number_option(&options.token_ms),
      "duration of one batch step")("prefill-ms",
                                    number_option(&options.prefill_ms),
                                    "time to the first token")(
      "tokens", number_option(&options.tokens),
      "tokens per answer unless max_tokens is given")(
      "token-bytes", number_option(&options.token_bytes),
      "padding bytes added to each token")(
      "memory-tokens", number_option(&options.memory_tokens),
      "crashes when requests in flight reserve more tokens")(
      "warm-after", number_option(&options.warm_after_requests),
      "completed requests until it is warm")(
      "cold-bears", number_option(&options.max_cold_requests),
      "crashes with more requests in flight while cold")(
      "cold-factor", number_option(&options.cold_factor),
      "how many times longer prefill takes while cold")(
      "cut-after", number_option(&options.cut_after),
      "closes the connection instead of sending this token")(
      "poison", po::value<std::string>(&options.crash_text),
      "crashes on a body that contains this")(
      "check-fence", po::bool_switch(&options.check_fence),
      "refuse requests with a stale fencing token")(
      "health-delay-ms", number_option(&options.health_delay_ms),
      "delay of each answer to a health check");
  const std::optional<int> exit_code =
      app::ParseOptions(argc, argv, "fake-engine", description);
  if (exit_code.has_value()) {
    return *exit_code;
  }
  asio::io_context context;
  Engine engine(context, options);
  if (!engine.Start()) {
    return 1;
  }
  context.run();
  return 0;
}
