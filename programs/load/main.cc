// Open-loop load: requests start at their planned instants whether or not
// earlier ones are done, and latencies count from the planned instant.
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
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

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)
namespace accumulators = boost::accumulators;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

struct LoadOptions {
  std::vector<Endpoint> targets;
  std::string path = "/v1/completions";
  std::string team = "pho-hanoi";
  std::string label = "load";
  double rate = 100;
  double seconds = 5;
  std::int64_t tokens = 16;
  std::int64_t body_bytes = 64;
  std::int64_t slow_ms = 0;  ///< Pause between reads of 4 KiB.
  std::int64_t deadline_ms = 10'000;
  std::uint64_t seed = 1;
  bool json = false;
};

/// Quantiles of durations, exact.
class Quantiles {
 public:
  explicit Quantiles(std::size_t capacity)
      : set(accumulators::tag::tail<accumulators::right>::cache_size =
                2 * capacity + 100) {}

  void Add(Duration duration) {
    this->set(std::chrono::duration<double, std::milli>(duration).count());
  }
  [[nodiscard]] double At(double probability) const {
    if (accumulators::count(this->set) == 0) {
      return 0;
    }
    return accumulators::quantile(
        this->set, accumulators::quantile_probability = probability);
  }
  [[nodiscard]] std::size_t count() const {
    return accumulators::count(this->set);
  }

 private:
  accumulators::accumulator_set<
      double, accumulators::stats<
                  accumulators::tag::count,
                  accumulators::tag::tail_quantile<accumulators::right>>>
      set;
};

struct Totals {
  explicit Totals(std::size_t requests, std::size_t tokens)
      : first_byte(requests), between(tokens), whole(requests) {}
  std::int64_t sent = 0;
  std::int64_t complete = 0;
  std::int64_t in_time = 0;
  std::int64_t refused = 0;
  std::int64_t broken = 0;
  std::int64_t tokens = 0;
  std::int64_t open = 0;
  Quantiles first_byte;
  Quantiles between;
  Quantiles whole;
};

/// A connection that is kept for the next request.
struct Connection {
  explicit Connection(asio::io_context& context) : socket(context) {}
  asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
};

class Load;

class Request : public std::enable_shared_from_this<Request> {
 public:
  Request(Load& load, Endpoint target, TimePoint planned_at);
  void Start();

 private:
  using Parser = http::response_parser<http::buffer_body>;

  void Write();
  void ReadHead();
  void ReadSome();
  void Took(std::size_t size);
  void Finish(bool is_broken);

  Load& load;
  Endpoint target;
  TimePoint planned_at;
  TimePoint last_token_at;
  std::int64_t tokens = 0;
  std::shared_ptr<Connection> connection;
  http::request<http::string_body> message;
  std::unique_ptr<Parser> parser = std::make_unique<Parser>();
  std::array<char, 4096> piece;
  asio::steady_timer timer;
};

class Load {
 public:
  explicit Load(LoadOptions given)
      : options(std::move(given)),
        totals(static_cast<std::size_t>(this->options.rate *
                                        this->options.seconds),
               static_cast<std::size_t>(
                   this->options.rate * this->options.seconds *
                   static_cast<double>(this->options.tokens))),
        timer(context),
        random(this->options.seed),
        body_random(this->options.seed + 1) {}

  void Run() {
    this->started_at = Clock::now();
    this->next_at = this->started_at;
    this->end_at = this->started_at +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(this->options.seconds));
    this->Next();
    this->context.run();
    this->finished_at = Clock::now();
  }

  void Next() {
    const TimePoint now = Clock::now();
    while (this->next_at <= now && this->next_at < this->end_at) {
      const std::size_t place = static_cast<std::size_t>(this->totals.sent) %
                                this->options.targets.size();
      this->totals.sent += 1;
      this->totals.open += 1;
      std::make_shared<Request>(*this, this->options.targets[place],
                                this->next_at)
          ->Start();
      // Arrivals are independent of each other.
      std::exponential_distribution<double> gap(this->options.rate);
      this->next_at += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap(this->random)));
    }
    if (this->next_at >= this->end_at) {
      return;
    }
    this->timer.expires_after(this->next_at - now);
    this->timer.async_wait([this](const error_code& error) {
      if (!error) {
        this->Next();
      }
    });
  }

  std::shared_ptr<Connection> Take(const Endpoint& target) {
    std::deque<std::shared_ptr<Connection>>& idle =
        this->pool[ToString(target)];
    if (idle.empty()) {
      return nullptr;
    }
    std::shared_ptr<Connection> connection = idle.back();
    idle.pop_back();
    return connection;
  }
  void Give(const Endpoint& target, std::shared_ptr<Connection> connection) {
    this->pool[ToString(target)].push_back(std::move(connection));
  }
  void Over() {
    this->totals.open -= 1;
    if (this->totals.open == 0 && Clock::now() >= this->end_at) {
      this->pool.clear();
    }
  }

  void Print() const {
    const double length =
        std::chrono::duration<double>(this->finished_at - this->started_at)
            .count();
    const auto line = [this](const char* name, const Quantiles& quantiles) {
      std::printf(this->options.json
                      ? ",\"%s_ms\":{\"p50\":%.3f,\"p95\":%.3f,\"p99\":%.3f}"
                      : "%s ms: p50 %.3f, p95 %.3f, p99 %.3f\n",
                  name, quantiles.At(0.5), quantiles.At(0.95),
                  quantiles.At(0.99));
    };
    const double share =
        static_cast<double>(this->totals.in_time) /
        static_cast<double>(std::max<std::int64_t>(1, this->totals.sent));
    const double per_second =
        static_cast<double>(this->totals.complete) / length;
    const double tokens = static_cast<double>(this->totals.tokens) / length;
    std::printf(
        this->options.json
            ? "{\"label\":\"%s\",\"seed\":%llu,\"sent\":%lld,\"complete\":%lld,"
              "\"in_time_share\":%.4f,\"refused\":%lld,\"broken\":%lld,"
              "\"requests_per_s\":%.1f,\"tokens_per_s\":%.1f"
            : "%s, seed %llu: sent %lld, complete %lld, in time %.4f, refused "
              "%lld, broken %lld, %.1f requests/s, %.1f tokens/s\n",
        this->options.label.c_str(),
        static_cast<unsigned long long>(this->options.seed),      // NOLINT
        static_cast<long long>(this->totals.sent),                // NOLINT
        static_cast<long long>(this->totals.complete), share,     // NOLINT
        static_cast<long long>(this->totals.refused),             // NOLINT
        static_cast<long long>(this->totals.broken), per_second,  // NOLINT
        tokens);
    line("first_byte", this->totals.first_byte);
    line("between_tokens", this->totals.between);
    line("whole", this->totals.whole);
    std::printf(this->options.json ? "}\n" : "");
  }

  LoadOptions options;
  Totals totals;
  asio::io_context context;
  asio::steady_timer timer;
  std::mt19937_64 random;
  std::mt19937_64 body_random;
  TimePoint started_at;
  TimePoint next_at;
  TimePoint end_at;
  TimePoint finished_at;

 private:
  std::map<std::string, std::deque<std::shared_ptr<Connection>>> pool;
};

Request::Request(Load& load, Endpoint target, TimePoint planned_at)
    : load(load),
      target(std::move(target)),
      planned_at(planned_at),
      timer(load.context) {}

void Request::Start() {
  this->connection = this->load.Take(this->target);
  if (this->connection != nullptr) {
    this->Write();
    return;
  }
  this->connection = std::make_shared<Connection>(this->load.context);
  const asio::ip::tcp::endpoint place(
      asio::ip::make_address(this->target.address), this->target.port);
  error_code ignored;
  this->connection->socket.open(place.protocol(), ignored);
  if (this->load.options.slow_ms > 0) {
    this->connection->socket.set_option(
        asio::socket_base::receive_buffer_size(4096), ignored);
  }
  const std::shared_ptr<Request> self = this->shared_from_this();
  this->connection->socket.async_connect(
      place, [self](const error_code& error) {
        if (error) {
          self->Finish(true);
          return;
        }
        error_code no_effect;
        self->connection->socket.set_option(asio::ip::tcp::no_delay(true),
                                            no_effect);
        self->Write();
      });
}

void Request::Write() {
  const LoadOptions& options = this->load.options;
  std::string body = "{\"max_tokens\": " + std::to_string(options.tokens) +
                     ", \"prompt\": \"" +
                     std::to_string(this->load.body_random());
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
                      error ? self->Finish(true) : self->ReadHead();
                    });
}

void Request::ReadHead() {
  const std::shared_ptr<Request> self = this->shared_from_this();
  http::async_read_header(this->connection->socket, this->connection->buffer,
                          *this->parser,
                          [self](const error_code& error, std::size_t) {
                            error ? self->Finish(true) : self->ReadSome();
                          });
}

void Request::ReadSome() {
  if (this->parser->is_done()) {
    this->Finish(false);
    return;
  }
  this->parser->get().body().data = this->piece.data();
  this->parser->get().body().size = this->piece.size();
  const std::shared_ptr<Request> self = this->shared_from_this();
  http::async_read_some(
      this->connection->socket, this->connection->buffer, *this->parser,
      [self](error_code error, std::size_t) {
        if (error && error != http::error::need_buffer) {
          self->Finish(true);
          return;
        }
        self->Took(self->piece.size() - self->parser->get().body().size);
        if (self->load.options.slow_ms == 0) {
          self->ReadSome();
          return;
        }
        self->timer.expires_after(Milliseconds(self->load.options.slow_ms));
        self->timer.async_wait([self](const error_code&) { self->ReadSome(); });
      });
}

void Request::Took(std::size_t size) {
  if (size == 0 || this->parser->get().result_int() != 200) {
    return;
  }
  const TimePoint now = Clock::now();
  const std::string_view text(this->piece.data(), size);
  std::int64_t count = 0;
  std::size_t at = text.find("data: {");
  while (at != std::string_view::npos) {
    ++count;
    at = text.find("data: {", at + 1);
  }
  if (count == 0) {
    return;
  }
  if (this->tokens == 0) {
    this->load.totals.first_byte.Add(now - this->planned_at);
  } else {
    this->load.totals.between.Add(now - this->last_token_at);
  }
  this->tokens += count;
  this->last_token_at = now;
  this->load.totals.tokens += count;
}

void Request::Finish(bool is_broken) {
  Totals& totals = this->load.totals;
  if (is_broken) {
    totals.broken += 1;
  } else if (this->parser->get().result_int() == 200) {
    const Duration taken = Clock::now() - this->planned_at;
    totals.complete += 1;
    totals.whole.Add(taken);
    totals.in_time +=
        taken <= Milliseconds(this->load.options.deadline_ms) ? 1 : 0;
  } else {
    totals.refused += 1;
  }
  const bool keeps = !is_broken && this->parser->get().keep_alive();
  if (keeps) {
    this->load.Give(this->target, this->connection);
  }
  this->load.Over();
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  LoadOptions given;
  std::string targets;
  po::options_description known("gooseberryturn-load: open-loop load");
  known.add_options()("help", "print this text")(
      "targets", po::value<std::string>(&targets)->required(),
      "IP:PORT[,IP:PORT...]")(
      "path", po::value<std::string>(&given.path)->default_value(given.path),
      "path of the route")(
      "team", po::value<std::string>(&given.team)->default_value(given.team),
      "team")("label", po::value<std::string>(&given.label), "name of the run")(
      "rate", po::value<double>(&given.rate)->default_value(given.rate),
      "requests a second")(
      "seconds",
      po::value<double>(&given.seconds)->default_value(given.seconds),
      "how long requests are started")(
      "tokens", po::value<std::int64_t>(&given.tokens)->default_value(16),
      "tokens of an answer")(
      "body-bytes",
      po::value<std::int64_t>(&given.body_bytes)->default_value(64),
      "least length of a body")("slow-ms",
                                po::value<std::int64_t>(&given.slow_ms),
                                "pause between reads of at most 4 KiB")(
      "deadline-ms",
      po::value<std::int64_t>(&given.deadline_ms)->default_value(10'000),
      "what counts as in time")(
      "seed", po::value<std::uint64_t>(&given.seed)->default_value(1),
      "seed of the arrivals")("json", po::bool_switch(&given.json),
                              "print one line of JSON");
  const std::optional<int> exit_code =
      app::ParseOptions(argc, argv, "gooseberryturn-load", known);
  if (exit_code.has_value()) {
    return *exit_code;
  }
  std::istringstream list(targets);
  std::string item;
  while (std::getline(list, item, ',')) {
    const std::optional<Endpoint> endpoint = ParseEndpoint(item);
    if (!endpoint.has_value()) {
      std::cerr << "gooseberryturn-load: \"" << item << "\" is no IP:PORT\n";
      return 2;
    }
    given.targets.push_back(*endpoint);
  }
  Load load(given);
  load.Run();
  load.Print();
  return 0;
}
