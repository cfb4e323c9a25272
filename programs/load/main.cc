// Open-loop load generator: requests start at their scheduled times whether or
// not earlier ones have finished, and latencies count from the scheduled time.
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <boost/program_options.hpp>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "gooseberryturn/app/program.h"
#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/core/time.h"
#include "gooseberryturn/link/message_head.h"
#include "gooseberryturn/link/read_buffer.h"

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)
namespace accumulators = boost::accumulators;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Command-line options.
struct LoadOptions {
  std::vector<Endpoint> targets;
  std::string path = "/v1/completions";
  std::string team = "pho-hanoi";
  std::string label = "load";
  double rate = 100;
  double seconds = 5;
  std::int64_t tokens = 16;
  std::int64_t body_bytes = 64;
  /// Between reads of at most 4 KiB; 0 for none.
  std::int64_t read_pause_ms = 0;
  std::int64_t deadline_ms = 10'000;
  std::uint64_t seed = 1;
  bool json = false;
};

/// Exact quantiles of durations, in milliseconds. Keeps the 2 * capacity + 100
/// longest durations.
class Quantiles {
 public:
  explicit Quantiles(std::size_t capacity)
      : samples(accumulators::tag::tail<accumulators::right>::cache_size =
                    2 * capacity + 100) {}

  void Add(Duration duration) {
    this->samples(std::chrono::duration<double, std::milli>(duration).count());
  }
  [[nodiscard]] double At(double probability) const {
    if (accumulators::count(this->samples) == 0) {
      return 0;
    }
    return accumulators::quantile(
        this->samples, accumulators::quantile_probability = probability);
  }
  [[nodiscard]] std::size_t count() const {
    return accumulators::count(this->samples);
  }

 private:
  accumulators::accumulator_set<
      double, accumulators::stats<
                  accumulators::tag::count,
                  accumulators::tag::tail_quantile<accumulators::right>>>
      samples;
};

/// Results of a run.
struct Totals {
  explicit Totals(std::size_t expected_requests, std::size_t expected_tokens)
      : first_byte(expected_requests),
        between_tokens(expected_tokens),
        response_time(expected_requests) {}
  std::int64_t sent = 0;
  std::int64_t complete = 0;  ///< Answered in full with status 200.
  std::int64_t in_time = 0;   ///< Complete within the deadline.
  std::int64_t refused = 0;   ///< Answered with another status.
  std::int64_t broken = 0;    ///< The connection failed before the end.
  std::int64_t tokens = 0;
  std::int64_t in_flight = 0;
  Quantiles first_byte;      ///< From the scheduled time to the first token.
  Quantiles between_tokens;  ///< Between two reads that contain tokens.
  Quantiles response_time;   ///< From the scheduled time to the end.
};

/// A connection to a target, reused by later requests.
struct Connection {
  explicit Connection(asio::io_context& context) : socket(context) {}
  asio::ip::tcp::socket socket;
  link::ReadBuffer buffer;
};

class LoadGenerator;

/// One request, from its scheduled time to the end of its answer.
class Request : public std::enable_shared_from_this<Request> {
 public:
  Request(LoadGenerator& generator, Endpoint target, TimePoint scheduled_at);
  void Start();

 private:
  using Parser = http::response_parser<http::buffer_body>;

  void SendRequest();
  void ReadHeader();
  void ReadSome();
  void RecordTokens(std::size_t size);
  void Finish(bool is_broken);

  LoadGenerator& generator;
  Endpoint target;
  TimePoint scheduled_at;
  TimePoint last_token_at;
  std::int64_t tokens = 0;
  std::shared_ptr<Connection> connection;
  http::request<http::string_body> message;
  std::unique_ptr<Parser> parser = std::make_unique<Parser>();
  std::array<char, 4096> read_buffer;
  asio::steady_timer timer;
};

/// Starts requests at random times and collects their results.
class LoadGenerator {
 public:
  explicit LoadGenerator(LoadOptions options)
      : options(std::move(options)),
        totals(static_cast<std::size_t>(this->options.rate *
                                        this->options.seconds),
               static_cast<std::size_t>(
                   this->options.rate * this->options.seconds *
                   static_cast<double>(this->options.tokens))),
        timer(context),
        arrival_random(this->options.seed),
        body_random(this->options.seed + 1) {}

  void Run() {
    this->started_at = Clock::now();
    this->next_arrival = this->started_at;
    this->arrivals_end =
        this->started_at +
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(this->options.seconds));
    this->StartDueRequests();
    this->context.run();
    this->finished_at = Clock::now();
  }

  void StartDueRequests() {
    const TimePoint now = Clock::now();
    while (this->next_arrival <= now &&
           this->next_arrival < this->arrivals_end) {
      const std::size_t target_index =
          static_cast<std::size_t>(this->totals.sent) %
          this->options.targets.size();
      this->totals.sent += 1;
      this->totals.in_flight += 1;
      std::make_shared<Request>(*this, this->options.targets[target_index],
                                this->next_arrival)
          ->Start();
      // Arrivals are independent of each other: a Poisson process.
      std::exponential_distribution<double> arrival_gap(this->options.rate);
      this->next_arrival += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(arrival_gap(this->arrival_random)));
    }
    if (this->next_arrival >= this->arrivals_end) {
      return;
    }
    this->timer.expires_after(this->next_arrival - now);
    this->timer.async_wait([this](const error_code& error) {
      if (!error) {
        this->StartDueRequests();
      }
    });
  }

  std::shared_ptr<Connection> TakeConnection(const Endpoint& target) {
    std::deque<std::shared_ptr<Connection>>& idle =
        this->idle_connections[ToString(target)];
    if (idle.empty()) {
      return nullptr;
    }
    std::shared_ptr<Connection> connection = idle.back();
    idle.pop_back();
    return connection;
  }
  void ReturnConnection(const Endpoint& target,
                        std::shared_ptr<Connection> connection) {
    this->idle_connections[ToString(target)].push_back(std::move(connection));
  }
  void RecordFinished() {
    this->totals.in_flight -= 1;
    if (this->totals.in_flight == 0 && Clock::now() >= this->arrivals_end) {
      this->idle_connections.clear();
    }
  }

  void Print() const {
    const double elapsed_seconds =
        std::chrono::duration<double>(this->finished_at - this->started_at)
            .count();
    const auto print_quantiles = [this](const char* name,
                                        const Quantiles& quantiles) {
      std::printf(this->options.json
                      ? ",\"%s_ms\":{\"p50\":%.3f,\"p95\":%.3f,\"p99\":%.3f}"
                      : "%s ms: p50 %.3f, p95 %.3f, p99 %.3f\n",
                  name, quantiles.At(0.5), quantiles.At(0.95),
                  quantiles.At(0.99));
    };
    const double in_time_share =
        static_cast<double>(this->totals.in_time) /
        static_cast<double>(std::max<std::int64_t>(1, this->totals.sent));
    const double request_rate =
        static_cast<double>(this->totals.complete) / elapsed_seconds;
    const double token_rate =
        static_cast<double>(this->totals.tokens) / elapsed_seconds;
    std::printf(
        this->options.json
            ? "{\"label\":\"%s\",\"seed\":%llu,\"sent\":%lld,\"complete\":%lld,"
              "\"in_time_share\":%.4f,\"refused\":%lld,\"broken\":%lld,"
              "\"requests_per_s\":%.1f,\"tokens_per_s\":%.1f"
            : "%s, seed %llu: sent %lld, complete %lld, in time %.4f, refused "
              "%lld, broken %lld, %.1f requests/s, %.1f tokens/s\n",
        this->options.label.c_str(),
        static_cast<unsigned long long>(this->options.seed),           // NOLINT
        static_cast<long long>(this->totals.sent),                     // NOLINT
        static_cast<long long>(this->totals.complete), in_time_share,  // NOLINT
        static_cast<long long>(this->totals.refused),                  // NOLINT
        static_cast<long long>(this->totals.broken), request_rate,     // NOLINT
        token_rate);
    print_quantiles("first_byte", this->totals.first_byte);
    print_quantiles("between_tokens", this->totals.between_tokens);
    print_quantiles("whole", this->totals.response_time);
    std::printf(this->options.json ? "}\n" : "");
  }

  LoadOptions options;
  Totals totals;
  asio::io_context context;
  asio::steady_timer timer;
  std::mt19937_64 arrival_random;
  std::mt19937_64 body_random;
  TimePoint started_at;
  TimePoint next_arrival;
  TimePoint arrivals_end;
  TimePoint finished_at;

 private:
  std::map<std::string, std::deque<std::shared_ptr<Connection>>>
      idle_connections;
};

Request::Request(LoadGenerator& generator, Endpoint target,
                 TimePoint scheduled_at)
    : generator(generator),
      target(std::move(target)),
      scheduled_at(scheduled_at),
      timer(generator.context) {}

void Request::Start() {
  this->connection = this->generator.TakeConnection(this->target);
  if (this->connection != nullptr) {
    this->SendRequest();
    return;
  }
  this->connection = std::make_shared<Connection>(this->generator.context);
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::make_address(this->target.address), this->target.port);
  error_code ignored;
  this->connection->socket.open(endpoint.protocol(), ignored);
  if (this->generator.options.read_pause_ms > 0) {
    this->connection->socket.set_option(
        asio::socket_base::receive_buffer_size(4096), ignored);
  }
  const std::shared_ptr<Request> self = this->shared_from_this();
  this->connection->socket.async_connect(
      endpoint, [self](const error_code& error) {
        if (error) {
          self->Finish(true);
          return;
        }
        error_code ignored_option_error;
        self->connection->socket.set_option(asio::ip::tcp::no_delay(true),
                                            ignored_option_error);
        self->SendRequest();
      });
}

void Request::SendRequest() {
  const LoadOptions& options = this->generator.options;
  std::string body = "{\"max_tokens\": " + std::to_string(options.tokens) +
                     ", \"prompt\": \"" +
                     std::to_string(this->generator.body_random());
  body.resize(std::max<std::size_t>(
                  body.size(), static_cast<std::size_t>(options.body_bytes)),
              'x');
  this->message.method(http::verb::post);
  this->message.target(options.path);
  this->message.version(11);
  this->message.set(http::field::host, this->target.address);
  this->message.set("Gooseberryturn-Team", options.team);
  this->message.body() = body + "\"}";
  this->message.prepare_payload();
  this->parser->body_limit(1ULL << 40U);
  const std::shared_ptr<Request> self = this->shared_from_this();
  http::async_write(this->connection->socket, this->message,
                    [self](const error_code& error, std::size_t) {
                      error ? self->Finish(true) : self->ReadHeader();
                    });
}

void Request::ReadHeader() {
  const std::shared_ptr<Request> self = this->shared_from_this();
  http::async_read_header(
      this->connection->socket, this->connection->buffer, *this->parser,
      [self](const error_code& error, std::size_t) {
        const bool is_broken = error || link::CheckHead(self->parser->get());
        is_broken ? self->Finish(true) : self->ReadSome();
      });
}

void Request::ReadSome() {
  if (this->parser->is_done()) {
    this->Finish(false);
    return;
  }
  this->parser->get().body().data = this->read_buffer.data();
  this->parser->get().body().size = this->read_buffer.size();
  const std::shared_ptr<Request> self = this->shared_from_this();
  http::async_read_some(
      this->connection->socket, this->connection->buffer, *this->parser,
      [self](error_code error, std::size_t) {
        if (error && error != http::error::need_buffer) {
          self->Finish(true);
          return;
        }
        self->RecordTokens(self->read_buffer.size() -
                           self->parser->get().body().size);
        if (self->generator.options.read_pause_ms == 0) {
          self->ReadSome();
          return;
        }
        self->timer.expires_after(
            Milliseconds(self->generator.options.read_pause_ms));
        self->timer.async_wait([self](const error_code&) { self->ReadSome(); });
      });
}

void Request::RecordTokens(std::size_t size) {
  if (size == 0 || this->parser->get().result_int() != 200) {
    return;
  }
  const TimePoint now = Clock::now();
  const std::string_view text(this->read_buffer.data(), size);
  std::int64_t token_count = 0;
  std::size_t position = text.find("data: {");
  while (position != std::string_view::npos) {
    ++token_count;
    position = text.find("data: {", position + 1);
  }
  if (token_count == 0) {
    return;
  }
  if (this->tokens == 0) {
    this->generator.totals.first_byte.Add(now - this->scheduled_at);
  } else {
    this->generator.totals.between_tokens.Add(now - this->last_token_at);
  }
  this->tokens += token_count;
  this->last_token_at = now;
  this->generator.totals.tokens += token_count;
}

void Request::Finish(bool is_broken) {
  Totals& totals = this->generator.totals;
  if (is_broken) {
    totals.broken += 1;
  } else if (this->parser->get().result_int() == 200) {
    const Duration elapsed = Clock::now() - this->scheduled_at;
    totals.complete += 1;
    totals.response_time.Add(elapsed);
    totals.in_time +=
        elapsed <= Milliseconds(this->generator.options.deadline_ms) ? 1 : 0;
  } else {
    totals.refused += 1;
  }
  const bool can_reuse = !is_broken && this->parser->get().keep_alive();
  if (can_reuse) {
    this->generator.ReturnConnection(this->target, this->connection);
  }
  this->generator.RecordFinished();
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  LoadOptions options;
  std::string target_addresses;
  po::options_description description(
      "gooseberryturn-load: open-loop load generator");
  description.add_options()("help", "print this text")(
      "targets", po::value<std::string>(&target_addresses)->required(),
      "IP:PORT[,IP:PORT...]")(
      "path",
      po::value<std::string>(&options.path)->default_value(options.path),
      "path of the route")(
      "team",
      po::value<std::string>(&options.team)->default_value(options.team),
      "team")("label", po::value<std::string>(&options.label),
              "name of the run")(
      "rate", po::value<double>(&options.rate)->default_value(options.rate),
      "requests per second")(
      "seconds",
      po::value<double>(&options.seconds)->default_value(options.seconds),
      "how long requests are started")(
      "tokens", po::value<std::int64_t>(&options.tokens)->default_value(16),
      "tokens per answer")(
      "body-bytes",
      po::value<std::int64_t>(&options.body_bytes)->default_value(64),
      "minimum length of a body")(
      "slow-ms", po::value<std::int64_t>(&options.read_pause_ms),
      "pause between reads of at most 4 KiB")(
      "deadline-ms",
      po::value<std::int64_t>(&options.deadline_ms)->default_value(10'000),
      "answers within this time count as in time")(
      "seed", po::value<std::uint64_t>(&options.seed)->default_value(1),
      "seed of the arrivals and bodies")("json", po::bool_switch(&options.json),
                                         "print one line of JSON");
  const std::optional<int> exit_code =
      app::ParseOptions(argc, argv, "gooseberryturn-load", description);
  if (exit_code.has_value()) {
    return *exit_code;
  }
  std::istringstream addresses(target_addresses);
  std::string item;
  while (std::getline(addresses, item, ',')) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(item);
    if (!endpoint.has_value()) {
      std::cerr << "gooseberryturn-load: \"" << item << "\" is not IP:PORT\n";
      return 2;
    }
    options.targets.push_back(*endpoint);
  }
  LoadGenerator generator(options);
  generator.Run();
  generator.Print();
  return 0;
}
