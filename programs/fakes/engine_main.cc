// Stand-in for a model engine: continuous batching, a memory limit, streamed
// answers, a cold start, fencing on request, and ways to make it fail.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)
namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

struct EngineOptions {
  std::string listen;
  std::int64_t token_ms = 5;
  std::int64_t prefill_ms = 10;
  std::int64_t tokens = 16;
  std::int64_t token_bytes = 0;  ///< Padding of each token.
  std::int64_t memory_tokens = 1'000'000;
  std::int64_t warm_after = 0;          ///< Completed requests until warm.
  std::int64_t cold_bears = 1'000'000;  ///< Dies above this while cold.
  std::int64_t cold_factor = 5;         ///< Prefill is slower while cold.
  std::int64_t cut_after = 0;           ///< Closes after this many tokens.
  std::string poison;                   ///< Dies of a body that contains this.
  bool check_fence = false;
};

class Engine;

/// One connection: one request, its answer, close.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, Engine& engine)
      : socket(std::move(socket)), engine(engine) {}

  void Start();
  void Send(std::string text, bool is_last);
  void Drop() {
    error_code ignored;
    this->socket.close(ignored);
  }
  [[nodiscard]] bool is_open() const { return this->socket.is_open(); }

  std::int64_t tokens_left = 0;
  std::int64_t reserved = 0;
  std::int64_t next_token = 0;
  std::string name;
  TimePoint first_at;
  bool is_writing = false;

 private:
  asio::ip::tcp::socket socket;
  Engine& engine;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::string pending;
  std::string writing;
  bool is_last = false;
};

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
    this->Step();
    return true;
  }

  void Handle(const std::shared_ptr<Session>& session,
              const http::request<http::string_body>& request) {
    const std::string path(request.target());
    if (path == "/health") {
      Reply(session, 200,
            "{\"boot\":\"" + this->boot + "\",\"ready\":true,\"in_flight\":" +
                std::to_string(this->batch.size()) + "}");
    } else if (path == "/counts") {
      Reply(session, 200,
            "{\"runs\":" + std::to_string(this->runs) +
                ",\"finished\":" + std::to_string(this->finished) +
                ",\"max_in_flight\":" + std::to_string(this->max_in_flight) +
                ",\"cold_max\":" + std::to_string(this->cold_max) +
                ",\"max_tokens\":" + std::to_string(this->max_tokens) + "}");
    } else if (path == "/reset") {
      this->Reset(request);
      Reply(session, 200, "{}");
    } else if (path == "/cold") {
      this->warm_count = 0;
      Reply(session, 200, "{}");
    } else {
      this->Run(session, request);
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
  [[nodiscard]] bool IsCold() const {
    return this->warm_count < this->options.warm_after;
  }

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

  void Reset(const http::request<http::string_body>& request) {
    this->fence = NumberAfter(std::string(request["X-Fence"]), "", 0);
    for (const std::shared_ptr<Session>& session : this->batch) {
      session->Drop();
    }
    this->batch.clear();
    this->used_tokens = 0;
  }

  void Run(const std::shared_ptr<Session>& session,
           const http::request<http::string_body>& request) {
    const std::string& body = request.body();
    const bool is_poison = !this->options.poison.empty() &&
                           body.find(this->options.poison) != std::string::npos;
    if (is_poison) {
      std::_Exit(3);
    }
    const std::int64_t fence_number =
        NumberAfter(std::string(request["X-Fence"]), "", 0);
    if (this->options.check_fence && fence_number < this->fence) {
      Reply(session, 409, "{\"error\":\"old fencing number\"}");
      return;
    }
    session->tokens_left =
        NumberAfter(body, "\"max_tokens\"", this->options.tokens);
    session->reserved =
        static_cast<std::int64_t>(body.size()) / 4 + session->tokens_left;
    session->name = Digest(body).substr(0, 8);
    const std::int64_t slow = this->IsCold() ? this->options.cold_factor : 1;
    session->first_at =
        Clock::now() + Milliseconds(this->options.prefill_ms * slow);
    this->batch.insert(session);
    this->runs += 1;
    this->used_tokens += session->reserved;
    const std::int64_t size = static_cast<std::int64_t>(this->batch.size());
    this->max_in_flight = std::max(this->max_in_flight, size);
    this->max_tokens = std::max(this->max_tokens, this->used_tokens);
    if (this->IsCold()) {
      this->cold_max = std::max(this->cold_max, size);
    }
    const bool collapses =
        (this->IsCold() && size > this->options.cold_bears) ||
        this->used_tokens > this->options.memory_tokens;
    if (collapses) {
      std::cerr << "fake-engine: collapsed\n";
      std::_Exit(4);
    }
    session->Send(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: "
        "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        false);
  }

  static std::string ChunkOf(const std::string& text) {
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
  }

  /// One step of the batch: every request that is due gets one token.
  void Step() {
    const TimePoint now = Clock::now();
    const std::set<std::shared_ptr<Session>> current = this->batch;
    for (const std::shared_ptr<Session>& session : current) {
      if (!session->is_open()) {
        this->Leave(session);
        continue;
      }
      if (now < session->first_at || session->is_writing) {
        continue;
      }
      const std::string event =
          "data: {\"token\":\"" + session->name + "-" +
          std::to_string(session->next_token) +
          std::string(static_cast<std::size_t>(this->options.token_bytes),
                      'x') +
          "\"}\n\n";
      session->next_token += 1;
      if (session->next_token == this->options.cut_after) {
        session->Drop();
        this->Leave(session);
        continue;
      }
      session->tokens_left -= 1;
      if (session->tokens_left > 0) {
        session->Send(ChunkOf(event), false);
        continue;
      }
      session->Send(ChunkOf(event) + ChunkOf("data: [DONE]\n\n") + "0\r\n\r\n",
                    true);
      this->finished += 1;
      this->warm_count += 1;
      this->Leave(session);
    }
    this->timer.expires_after(Milliseconds(this->options.token_ms));
    this->timer.async_wait([this](const error_code& error) {
      if (!error) {
        this->Step();
      }
    });
  }

  void Leave(const std::shared_ptr<Session>& session) {
    if (this->batch.erase(session) > 0) {
      this->used_tokens -= session->reserved;
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
  std::int64_t warm_count = 0;
  std::int64_t max_in_flight = 0;
  std::int64_t cold_max = 0;
  std::int64_t used_tokens = 0;
  std::int64_t max_tokens = 0;
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

void Session::Send(std::string text, bool last) {
  this->pending += text;
  this->is_last = this->is_last || last;
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
                        self->Drop();
                      } else if (!self->pending.empty()) {
                        self->Send(std::string(), false);
                      } else if (self->is_last) {
                        error_code ignored;
                        self->socket.shutdown(
                            asio::ip::tcp::socket::shutdown_send, ignored);
                        self->Drop();
                      }
                    });
}

}  // namespace

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  EngineOptions settings;
  options::options_description known(
      "fake-engine: stand-in for a model engine");
  const auto number = [](std::int64_t* place) {
    return options::value<std::int64_t>(place)->default_value(*place);
  };
  known.add_options()("help", "print this text")(
      "listen", options::value<std::string>(&settings.listen)->required(),
      "IP:PORT")("token-ms", number(&settings.token_ms),
                 "time of one step of the batch")(
      "prefill-ms", number(&settings.prefill_ms), "time to the first token")(
      "tokens", number(&settings.tokens), "tokens unless max_tokens is given")(
      "token-bytes", number(&settings.token_bytes), "padding of each token")(
      "memory-tokens", number(&settings.memory_tokens),
      "dies when it holds more")("warm-after", number(&settings.warm_after),
                                 "completed requests until warm")(
      "cold-bears", number(&settings.cold_bears),
      "dies when it holds more requests while cold")(
      "cold-factor", number(&settings.cold_factor),
      "how much slower a cold first token is")(
      "cut-after", number(&settings.cut_after),
      "closes the connection instead of sending this token")(
      "poison", options::value<std::string>(&settings.poison),
      "dies of a body that contains this")(
      "check-fence", options::bool_switch(&settings.check_fence),
      "refuse old fencing numbers");
  const std::optional<int> exit_code =
      app::ParseOptions(argc, argv, "fake-engine", known);
  if (exit_code.has_value()) {
    return *exit_code;
  }
  asio::io_context context;
  Engine engine(context, settings);
  if (!engine.Start()) {
    return 1;
  }
  context.run();
  return 0;
}
