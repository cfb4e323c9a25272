#ifndef GOOSEBERRYTURN_TESTS_PLATFORM_FAKE_TARGET_H_
#define GOOSEBERRYTURN_TESTS_PLATFORM_FAKE_TARGET_H_

#include <rapidjson/document.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "gooseberryturn/core/endpoint.h"
#include "http_call.h"

namespace gooseberryturn::fleet {

/// How the fake target handles requests.
enum class Behaviour {
  kServe,
  kShed,             ///< Answers 503 and says that the request did not run.
  kCloseUnanswered,  ///< Runs the request and closes without an answer.
  kCutStream,        ///< Breaks off in the middle of an event.
  kFailResumed       ///< The same, and answers 500 to what is resumed.
};

/// How a target ends the connection behind an answer of its script. Where it
/// has not read all of the request, the kernel resets the connection at a
/// close.
enum class ScriptEnd { kReset, kClose, kEndThenClose };

/// A request that arrived at a target.
struct Arrival {
  enum class Fate {
    kTaken,    ///< It ran, or the target waits with it.
    kRefused,  ///< The target said that it did not run.
    kDropped   ///< The target had crashed: it closed the connection unread.
  };
  std::string id;  ///< Of the attempt.
  std::chrono::steady_clock::time_point at;
  std::string group;  ///< Of the target, with the epoch; empty without one.
  Fate fate = Fate::kTaken;
  std::chrono::steady_clock::time_point dropped_at;
};

/// A time in which a target did nothing.
struct Outage {
  std::chrono::steady_clock::time_point begin;
  /// Of a crash without end: the group has lost its member for good.
  std::chrono::steady_clock::time_point end;
  std::string group;  ///< Of the target, with the epoch; empty without one.
};

/// A fake target that speaks the platform's protocol: announces itself, accepts
/// orders, answers plain requests and streams numbered events.
class FakeTarget {
 public:
  FakeTarget(std::string id, Endpoint address, const Endpoint& control,
             std::string service)
      : FakeTarget(std::move(id), std::move(address), std::vector{control},
                   std::move(service)) {}
  /// \param controls Control hosts to announce itself to: the next one is tried
  /// when one does not acknowledge.
  FakeTarget(std::string id, Endpoint address, std::vector<Endpoint> controls,
             std::string service)
      : id(std::move(id)),
        address(std::move(address)),
        controls(std::move(controls)),
        service(std::move(service)),
        acceptor(this->context, {asio::ip::make_address(this->address.address),
                                 this->address.port}) {
    this->threads.emplace_back([this] { this->AcceptConnections(); });
    this->threads.emplace_back([this] { this->SendAnnouncements(); });
  }
  ~FakeTarget() {
    this->is_stopped = true;
    error_code ignored;
    // Connects once, so that the blocking accept returns.
    asio::ip::tcp::socket wake(this->context);
    wake.connect(
        {asio::ip::make_address(this->address.address), this->address.port},
        ignored);
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    for (const std::shared_ptr<Connection>& open : this->connections) {
      open->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    }
    for (std::thread& thread : this->connection_threads) {
      thread.join();
    }
  }
  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;

  /// Ids of attempts in the order in which they began to run.
  [[nodiscard]] std::vector<std::string> Runs() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->runs;
  }
  /// Headers of the most recent request that ran.
  [[nodiscard]] std::map<std::string, std::string> LastHeaders() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->last_headers;
  }
  [[nodiscard]] bool IsOpen() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->state == "open";
  }

  /// Sets the Retry-After of refusals; empty for none.
  void SetRetryAfter(const std::string& text) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->retry_after = text;
  }

  /// Answers requests of callers with the bytes of `new_script` from then on,
  /// as soon as their head has arrived, and ends their connections. The script
  /// gets the lines of a head that make an answer the target's own.
  void SetScript(std::function<std::string(const std::string&)> new_script,
                 ScriptEnd end) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->script = std::move(new_script);
    this->script_end = end;
  }

  /// Sends nothing at all for `time`, and goes on then: no answer, no event, no
  /// report and no announcement.
  void FallSilent(std::chrono::milliseconds time) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    const std::chrono::steady_clock::time_point now =
        std::chrono::steady_clock::now();
    this->outages.push_back({now, now + time, this->GroupAndEpoch()});
    this->silent_until = now + time;
  }

  /// Sets a part of prompts on which the target crashes as soon as it begins to
  /// write, unless it is the last part; empty for none.
  void SetCrashingPart(const std::string& part) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->crashing_part = part;
  }
  /// When requests with the crashing part arrived.
  [[nodiscard]] std::vector<std::chrono::steady_clock::time_point>
  CrashingArrivals() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->crashing_arrivals;
  }
  /// When the target crashed.
  [[nodiscard]] std::vector<std::chrono::steady_clock::time_point> Crashes() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->crashes;
  }
  /// Ids of the attempts that a crash interrupted.
  [[nodiscard]] std::set<std::string> Interrupted() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->interrupted;
  }
  /// Requests in the order in which they arrived.
  [[nodiscard]] std::vector<Arrival> Arrivals() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->arrivals;
  }
  /// Crashes and silences.
  [[nodiscard]] std::vector<Outage> Outages() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->outages;
  }
  /// Ends this run: all work in progress is gone. The target starts again after
  /// `down_ms`, under its id and without a group.
  void Crash() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    const std::chrono::steady_clock::time_point now =
        std::chrono::steady_clock::now();
    this->crashes.push_back(now);
    this->outages.push_back({now, std::chrono::steady_clock::time_point::max(),
                             this->GroupAndEpoch()});
    this->interrupted.insert(this->in_progress.begin(),
                             this->in_progress.end());
    this->in_progress.clear();
    this->down_until = now + std::chrono::milliseconds(this->down_ms);
    this->run += 1;
    this->born += 1;
    this->sequence = 0;
    this->state.clear();
  }

  std::atomic<Behaviour> behaviour = Behaviour::kServe;
  std::atomic<int> down_ms = 1500;  ///< Time from a crash to the next start.
  /// Connections of a run that crashed stay open and silent while it is down.
  std::atomic<bool> crashes_silently = false;
  /// Streams come without a length and without chunks and end with their
  /// connection; a crash that is not silent ends them inside an event.
  std::atomic<bool> is_unframed = false;
  std::atomic<bool> says_leaving = false;  ///< In its answers only.
  std::atomic<int> born = 1;               ///< Start time that it announces.
  std::atomic<int> received = 0;   ///< Requests, also those that it refused.
  std::atomic<int> leaves = 0;     ///< Orders to leave its group.
  std::atomic<int> cut_after = 3;  ///< Events before kCutStream breaks off.
  std::atomic<int> event_interval_ms = 10;
  std::atomic<int> pause_ms = 0;         ///< Silence after the first event.
  std::atomic<bool> is_holding = false;  ///< Plain answers wait meanwhile.
  static constexpr int kEventCount = 6;
  /// A body that starts so is followed by the amount of work: the time in ms
  /// that a plain answer takes, or the number of events of a stream.
  static constexpr std::string_view kWorkPrefix = "work ";

 private:
  using Request = http::request<http::string_body>;
  using Response = http::response<http::string_body>;

  struct Connection {
    asio::ip::tcp::socket socket;
    int run =
        0;  ///< The run that accepted it; kNoRun while the target is down.
  };
  static constexpr int kNoRun = -1;
  static constexpr std::uint64_t kMaxBodyBytes = 8U * 1024U * 1024U;
  static constexpr char kAttemptIdHeader[] = "X-Gooseberryturn-Attempt-Id";

  [[nodiscard]] bool IsDown() const {
    return std::chrono::steady_clock::now() < this->down_until.load();
  }

  /// Waits while the target is silent.
  /// \returns False when the run of the connection has ended: it is to be
  /// closed.
  [[nodiscard]] bool MayWrite(const Connection& connection) const {
    this->AwaitEndOfSilence();
    if (connection.run == this->run) {
      return true;
    }
    while (this->crashes_silently && this->IsDown() && !this->is_stopped) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  void AwaitEndOfSilence() const {
    while (std::chrono::steady_clock::now() < this->silent_until.load()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  void AcceptConnections() {
    while (!this->is_stopped) {
      error_code error;
      const std::shared_ptr<Connection> connection =
          std::make_shared<Connection>(
              Connection{asio::ip::tcp::socket(this->context)});
      this->acceptor.accept(connection->socket, error);
      if (!error && !this->is_stopped) {
        connection->run = this->IsDown() ? kNoRun : this->run.load();
        this->connections.push_back(connection);
        this->connection_threads.emplace_back([this, connection] {
          this->ServeConnection(*connection);
          error_code ignored;
          connection->socket.shutdown(asio::ip::tcp::socket::shutdown_both,
                                      ignored);
        });
      }
    }
  }

  void ServeConnection(Connection& connection) {
    boost::beast::flat_buffer buffer;
    error_code error;
    while (!error && !this->is_stopped) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(kMaxBodyBytes);
      http::read_header(connection.socket, buffer, parser, error);
      if (!error && this->SendScripted(connection, parser.get())) {
        return;
      }
      if (!error) {
        http::read(connection.socket, buffer, parser, error);
      }
      if (error) {
        return;
      }
      const Request request = parser.release();
      this->RecordArrival(request);
      if (!this->MayWrite(connection)) {
        this->RecordFate(request, Arrival::Fate::kDropped);
        return;
      }
      const std::string path(request.target());
      const std::string addressed(request["X-Gooseberryturn-Target-Instance"]);
      const bool is_misdirected = !addressed.empty() && addressed != this->id;
      if (path == "/api/order" && is_misdirected) {
        this->Reply(connection, request, 421, "{}", true);
      } else if (path == "/api/order") {
        this->Reply(connection, request, this->TakeOrder(request.body()), "{}");
      } else if (path == "/api/report") {
        this->Reply(connection, request, 200, this->StatusJson());
      } else {
        const bool is_kept = this->HandleRequest(connection, request);
        const std::lock_guard<std::mutex> guard(this->mutex);
        this->in_progress.erase(
            std::string(request["X-Gooseberryturn-Attempt-Id"]));
        if (!is_kept) {
          return;
        }
      }
    }
  }

  /// Answers with the script, if there is one for the request, whose body is
  /// not read.
  bool SendScripted(Connection& connection, const Request& request) {
    const std::string id(request[kAttemptIdHeader]);
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (!this->script || id.empty()) {
      return false;
    }
    this->runs.push_back(id);
    const std::string answer = this->script(
        std::string(kAttemptIdHeader) + ": " + id +
        "\r\nX-Gooseberryturn-Server-Seal: seal-" + this->id + "\r\n");
    error_code ignored;
    asio::write(connection.socket, asio::buffer(answer), ignored);
    if (this->script_end == ScriptEnd::kEndThenClose) {
      connection.socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    connection.socket.set_option(
        asio::socket_base::linger(this->script_end == ScriptEnd::kReset, 0),
        ignored);
    connection.socket.close(ignored);
    return true;
  }

  /// Called with the mutex held.
  [[nodiscard]] std::string GroupAndEpoch() const {
    return this->state.empty()
               ? ""
               : this->group + " " + std::to_string(this->epoch);
  }
  void RecordArrival(const Request& request) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->arrivals.push_back({std::string(request[kAttemptIdHeader]),
                              std::chrono::steady_clock::now(),
                              this->GroupAndEpoch(),
                              Arrival::Fate::kTaken,
                              {}});
  }
  /// Of the latest arrival of the request.
  void RecordFate(const Request& request, Arrival::Fate fate) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    const auto found =
        std::find_if(this->arrivals.rbegin(), this->arrivals.rend(),
                     [&request](const Arrival& arrival) {
                       return arrival.id == request[kAttemptIdHeader];
                     });
    found->fate = fate;
    if (fate == Arrival::Fate::kDropped) {
      found->dropped_at = std::chrono::steady_clock::now();
    }
  }

  void Reply(Connection& connection, const Request& request, int status,
             const std::string& body, bool is_not_run = false) {
    Response response(http::int_to_status(static_cast<unsigned>(status)), 11);
    response.set("X-Gooseberryturn-Attempt-Id",
                 request["X-Gooseberryturn-Attempt-Id"]);
    response.set("X-Gooseberryturn-Server-Seal", "seal-" + this->id);
    if (this->says_leaving) {
      response.set("Server-Leaving", "1");
    }
    if (is_not_run) {
      response.set("X-Gooseberryturn-Not-Executed", "1");
      const std::lock_guard<std::mutex> guard(this->mutex);
      if (!this->retry_after.empty()) {
        response.set("Retry-After", this->retry_after);
      }
    }
    response.body() = body;
    response.prepare_payload();
    error_code ignored;
    if (this->MayWrite(connection)) {
      http::write(connection.socket, response, ignored);
    }
  }

  /// \returns False when the connection is to be closed.
  bool HandleRequest(Connection& connection, const Request& request) {
    this->received += 1;
    if (this->behaviour == Behaviour::kShed) {
      this->RecordFate(request, Arrival::Fate::kRefused);
      this->Reply(connection, request, 503, "", true);
      return true;
    }
    {
      const std::lock_guard<std::mutex> guard(this->mutex);
      this->runs.emplace_back(request["X-Gooseberryturn-Attempt-Id"]);
      this->in_progress.insert(this->runs.back());
      if (this->HasPart(request, this->crashing_part)) {
        this->crashing_arrivals.push_back(std::chrono::steady_clock::now());
      }
      this->last_headers.clear();
      for (const auto& field : request) {
        this->last_headers[std::string(field.name_string())] =
            std::string(field.value());
      }
    }
    if (this->behaviour == Behaviour::kCloseUnanswered) {
      return false;
    }
    if (this->behaviour == Behaviour::kFailResumed &&
        request.find("Last-Event-Id") != request.end()) {
      this->Reply(connection, request, 500, "id: 7\ndata: an error\n\n");
      return true;
    }
    const int work = WorkOf(request.body());
    if (request.find("X-Gooseberryturn-Model") == request.end()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(work));
      while (this->is_holding && !this->is_stopped) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
      }
      this->Reply(connection, request, 200, "answer of " + this->id);
      return true;
    }
    return this->StreamEvents(connection, request,
                              work > 0 ? work : kEventCount);
  }

  [[nodiscard]] bool HasCrashingPart(const Request& request) {
    const std::lock_guard<std::mutex> guard(this->mutex);
    return this->HasPart(request, this->crashing_part);
  }
  /// True when `part` is a part of the prompt other than the last.
  [[nodiscard]] static bool HasPart(const Request& request,
                                    const std::string& part) {
    const std::string parts =
        "," + std::string(request["X-Gooseberryturn-Prefix-Hash"]);
    const std::size_t at = parts.find("," + part + ":");
    return !part.empty() && at != std::string::npos &&
           parts.find(',', at + 1) != std::string::npos;
  }

  /// \returns 0 when the body states none.
  [[nodiscard]] static int WorkOf(const std::string& body) {
    return body.compare(0, kWorkPrefix.size(), kWorkPrefix) == 0
               ? std::atoi(body.c_str() + kWorkPrefix.size())
               : 0;
  }

  bool StreamEvents(Connection& connection, const Request& request,
                    int event_count) {
    asio::ip::tcp::socket& socket = connection.socket;
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    head += "X-Gooseberryturn-Attempt-Id: " +
            std::string(request["X-Gooseberryturn-Attempt-Id"]) + "\r\n";
    head += "X-Gooseberryturn-Server-Seal: seal-" + this->id +
            (this->says_leaving ? "\r\nServer-Leaving: 1" : "") +
            (this->is_unframed ? "\r\nConnection: close\r\n\r\n"
                               : "\r\nTransfer-Encoding: chunked\r\n\r\n");
    if (!this->MayWrite(connection)) {
      return false;
    }
    error_code error;
    asio::write(socket, asio::buffer(head), error);
    if (this->HasCrashingPart(request)) {
      this->Crash();
    }
    const std::string last_event_id(request["Last-Event-Id"]);
    int number = last_event_id.empty() ? 0 : std::stoi(last_event_id);
    const bool is_cut = this->behaviour == Behaviour::kCutStream ||
                        this->behaviour == Behaviour::kFailResumed;
    const int end = is_cut ? number + this->cut_after : event_count;
    while (!error && number < end) {
      number += 1;
      const std::string event = "id: " + std::to_string(number) +
                                "\ndata: " + std::to_string(number) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!this->MayWrite(connection)) {
        if (this->is_unframed && !this->crashes_silently) {
          asio::write(socket, asio::buffer(event.substr(0, event.size() / 2)),
                      error);
        }
        return false;
      }
      asio::write(
          socket,
          asio::buffer(this->is_unframed ? event : size + event + "\r\n"),
          error);
      std::this_thread::sleep_for(
          std::chrono::milliseconds(this->event_interval_ms));
      if (number == 1) {
        std::this_thread::sleep_for(std::chrono::milliseconds(this->pause_ms));
      }
    }
    if (this->is_unframed) {
      return false;
    }
    if (is_cut) {
      asio::write(socket, asio::buffer(std::string("8\r\nid: 99\n")), error);
      return false;
    }
    asio::write(socket, asio::buffer(std::string("0\r\n\r\n")), error);
    return !error;
  }

  /// \returns The HTTP status of the answer.
  int TakeOrder(const std::string& body) {
    rapidjson::Document order;
    order.Parse(body.data(), body.size());
    const std::string op = order["op"].GetString();
    const std::lock_guard<std::mutex> guard(this->mutex);
    if (op == "join") {
      this->group = order["group"].GetString();
      this->epoch = order["epoch"].GetUint64();
      this->model = order["model"].GetString();
      this->rank = 0;
      for (const rapidjson::Value& member : order["members"].GetArray()) {
        if (this->id == member.GetString()) {
          break;
        }
        this->rank += 1;
      }
      this->state = "ready";
    } else if (op == "open") {
      this->state = "open";
    } else if (op == "leave") {
      this->leaves += 1;
      this->state.clear();
    }
    return 202;
  }

  /// The body of announcements and reports.
  std::string StatusJson() {
    const std::lock_guard<std::mutex> guard(this->mutex);
    std::string json = R"({"service":")" + this->service + R"(","address":")" +
                       ToString(this->address) +
                       R"(","zone":"za","state":"ready","born":)" +
                       std::to_string(this->born) + R"(,"seq":)" +
                       std::to_string(++this->sequence);
    if (this->service == "engines") {
      json += R"(,"domain":"d1","staged":["m"],"models":[)";
      json += this->state.empty() ? "]" : R"({"name":"m"}])";
      if (!this->state.empty()) {
        json += R"(,"group":{"name":")" + this->group + R"(","epoch":)" +
                std::to_string(this->epoch) + R"(,"rank":)" +
                std::to_string(this->rank) + R"(,"state":")" + this->state +
                R"("})";
      }
    }
    return json + "}";
  }

  void SendAnnouncements() {
    while (!this->is_stopped) {
      this->AwaitEndOfSilence();
      if (this->IsDown()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        continue;
      }
      const int status =
          Call(this->controls[this->control_index], "PUT",
               "/api/instances/" + this->id, {}, this->StatusJson())
              .ReadAll()
              .status;
      if (status / 100 != 2) {
        this->control_index = (this->control_index + 1) % this->controls.size();
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
  }

  std::string id;
  Endpoint address;
  std::vector<Endpoint> controls;
  std::size_t control_index = 0;
  std::string service;
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor;
  std::atomic<bool> is_stopped = false;
  std::atomic<std::chrono::steady_clock::time_point> silent_until =
      std::chrono::steady_clock::time_point();
  std::atomic<std::chrono::steady_clock::time_point> down_until =
      std::chrono::steady_clock::time_point();
  std::atomic<int> run = 0;  ///< Number of crashes so far.
  std::mutex mutex;
  std::string crashing_part;
  std::vector<std::chrono::steady_clock::time_point> crashing_arrivals;
  std::vector<std::chrono::steady_clock::time_point> crashes;
  std::vector<std::string> runs;
  std::vector<Arrival> arrivals;
  std::vector<Outage> outages;
  std::set<std::string> in_progress;
  std::set<std::string> interrupted;
  std::string retry_after;
  std::function<std::string(const std::string&)> script;  ///< Empty if none.
  ScriptEnd script_end = ScriptEnd::kClose;
  std::map<std::string, std::string> last_headers;
  std::string group;
  std::string model;
  std::string state;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;
  int rank = 0;
  std::list<std::thread> threads;
  std::list<std::thread> connection_threads;
  std::list<std::shared_ptr<Connection>> connections;
};

}  // namespace gooseberryturn::fleet

#endif  // GOOSEBERRYTURN_TESTS_PLATFORM_FAKE_TARGET_H_
