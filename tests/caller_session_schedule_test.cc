#define BOOST_TEST_MODULE caller_session_schedule
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gooseberryturn/entry/caller_session.h"

/// Callers' sessions over real sockets, with flows that use the hooks as
/// RequestFlow does. The event loop runs one handler at a time between random
/// events. Guards the invariant: a request that was handed over is answered to
/// its last byte, or its flow is told of the close, exactly once; none is
/// handed over after its connection closed.
using namespace gooseberryturn;         // NOLINT
using namespace gooseberryturn::entry;  // NOLINT
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

/// What the next looks at a socket without reading from it fail with.
int peek_error = 0;        // NOLINT
int peek_errors_left = 0;  // NOLINT

}  // namespace

// A signal or a wake-up without input, which the kernel leaves to chance.
extern "C" ssize_t recv(int socket, void* bytes, std::size_t size, int flags) {
  if ((flags & MSG_PEEK) != 0 && peek_errors_left > 0) {
    peek_errors_left -= 1;
    errno = peek_error;
    return -1;
  }
  return recvfrom(socket, bytes, size, flags, nullptr, nullptr);
}

namespace {

constexpr milliseconds kHeaderTimeout(10);
constexpr milliseconds kIdleTimeout(10);
constexpr milliseconds kWriteTimeout(10);
constexpr milliseconds kLongTurn(12);
constexpr std::chrono::seconds kEndLimit(5);
constexpr std::size_t kMaxBodyBytes = 32U * 1024U;
constexpr std::size_t kLargeBytes = 128U * 1024U;
constexpr std::size_t kWindowBytes = 64U * 1024U;
constexpr int kReceiveBufferBytes = 8 * 1024;
constexpr int kPeers = 4;
constexpr int kSteps = 400;
constexpr int kDefaultRounds = 30;
constexpr char kLengthField[] = "Content-Length: ";

int ReadNumber(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

CallerLimits TestLimits() {
  CallerLimits limits;
  limits.max_header_bytes = 4096;
  limits.max_body_bytes = kMaxBodyBytes;
  limits.header_timeout = kHeaderTimeout;
  limits.idle_timeout = kIdleTimeout;
  limits.write_timeout = kWriteTimeout;
  return limits;
}

class Random {
 public:
  explicit Random(std::uint64_t seed) : engine(seed) {}
  [[nodiscard]] int Below(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(this->engine);
  }
  [[nodiscard]] bool OneIn(int count) { return this->Below(count) == 0; }

 private:
  std::mt19937_64 engine;
};

/// One request that was handed over.
class Flow : public std::enable_shared_from_this<Flow> {
 public:
  Flow(std::shared_ptr<CallerSession> caller, std::string id, Random& random)
      : id(std::move(id)),
        caller(std::move(caller)),
        random(random),
        is_idempotent(random.OneIn(2)),
        is_stream(random.OneIn(2)),
        is_refusal(random.OneIn(4)) {}

  void Start() {
    const std::shared_ptr<Flow> self = this->shared_from_this();
    this->caller->on_disconnect = [self] { self->OnDisconnect(); };
  }
  /// Takes the next step towards the end of the answer.
  void Step() {
    if (this->is_finished) {
      return;
    }
    if (this->told > 0) {
      this->is_finished = true;
    } else if (this->is_refusal) {
      this->End();
      this->caller->Refuse({Reason::kOverloaded, Step::kRoute, Outcome::kNotRun,
                            "entry", "no capacity"});
    } else if (!this->is_stream) {
      this->body = this->MakeBytes();
      this->End();
      this->caller->SendAnswer(200, "text/plain", this->body, "");
    } else {
      this->StepStream();
    }
  }

  std::string id;
  std::string body;
  int told = 0;
  int ended = 0;
  int ended_turn = -1;
  TimePoint ended_at;
  bool is_finished = false;  ///< The last byte is queued, or the flow was told.
  bool is_answered = false;  ///< The last byte is queued.
  bool is_aborted = false;
  std::shared_ptr<CallerSession> caller;
  std::function<void(Flow&)> on_told;

 private:
  void End() {
    this->is_answered = true;
    this->is_finished = true;
  }
  std::string MakeBytes() {
    const int size = this->random.OneIn(3)
                         ? this->random.Below(static_cast<int>(kLargeBytes))
                         : this->random.Below(200);
    return std::string(static_cast<std::size_t>(size) + 1,
                       static_cast<char>('a' + this->random.Below(26)));
  }
  void StepStream() {
    if (!this->caller->has_started_stream()) {
      const std::weak_ptr<Flow> weak = this->weak_from_this();
      this->caller->on_written = [weak](std::size_t size) {
        const std::shared_ptr<Flow> self = weak.lock();
        if (self != nullptr) {
          self->unwritten -= size;
        }
      };
      this->caller->StartStream(
          200, this->random.OneIn(2) ? "text/event-stream" : "text/plain");
    }
    if (this->unwritten > kWindowBytes) {
      return;
    }
    const int next = this->random.Below(8);
    if (next == 0) {
      this->is_aborted = true;
      this->is_finished = true;
      this->caller->AbortStream({Reason::kAnswerCut, Step::kRelay,
                                 Outcome::kUnknown, "target", "cut"});
    } else if (next == 1) {
      this->End();
      this->caller->FinishStream();
    } else {
      const std::string bytes = this->MakeBytes();
      this->body += bytes;
      this->unwritten += bytes.size();
      this->caller->SendChunk(bytes);
    }
  }
  void OnDisconnect() {
    this->told += 1;
    if (this->is_idempotent) {
      this->is_finished = true;
    }
    this->on_told(*this);
  }

  Random& random;
  std::size_t unwritten = 0;
  bool is_idempotent;
  bool is_stream;
  bool is_refusal;
};

/// A caller with the session that serves it.
struct Peer {
  explicit Peer(asio::io_context& context) : socket(context) {}

  tcp::socket socket;
  std::weak_ptr<CallerSession> session;
  std::vector<std::shared_ptr<Flow>> flows;
  std::string unsent;
  std::size_t made_bytes = 0;
  std::size_t sent_bytes = 0;
  std::vector<std::size_t> request_ends;  ///< Within the bytes that were made.
  std::string received;
  std::string trace;
  bool has_ended_sending = false;
  bool has_closed = false;
  bool is_at_end = false;  ///< Has read to the end of the connection.
  TimePoint begun_at = Clock::now();
  TimePoint sent_at;
  /// Since when the session has had bytes that are not written.
  TimePoint stalled_since = Clock::now();

  /// Adds an event to the trace, with its time in ms.
  void Note(const std::string& event) {
    this->trace += " " + event + "@" +
                   std::to_string(WholeMs(Clock::now() - this->begun_at));
  }
  [[nodiscard]] Flow* Current() const {
    return this->flows.empty() ? nullptr : this->flows.back().get();
  }
  /// True when bytes after the latest request that was handed over were sent.
  [[nodiscard]] bool HasSentMore() const {
    return this->sent_bytes > this->request_ends.at(this->flows.size() - 1);
  }
};

/// Reads the answer to `flow` at `position`, which is moved behind it.
/// \returns False if it is not complete; `is_wrong` if it is another one.
bool ReadAnswer(const std::string& text, const Flow& flow,
                std::size_t& position, bool& is_wrong) {
  const std::size_t end = text.find("\r\n\r\n", position);
  if (end == std::string::npos) {
    return false;
  }
  const std::string head = text.substr(position, end + 2 - position);
  is_wrong = head.find("Gooseberryturn-Request-Id: " + flow.id + "\r\n") ==
             std::string::npos;
  position = end + 4;
  const std::size_t length = head.find(kLengthField);
  std::string body;
  if (length != std::string::npos) {
    const std::size_t size =
        std::stoul(head.substr(length + sizeof(kLengthField) - 1));
    if (text.size() < position + size) {
      return false;
    }
    body = text.substr(position, size);
    position += size;
  } else {
    for (std::size_t size = 1; size > 0;) {
      const std::size_t line_end = text.find("\r\n", position);
      if (line_end == std::string::npos) {
        return false;
      }
      size =
          std::stoul(text.substr(position, line_end - position), nullptr, 16);
      if (text.size() < line_end + 4 + size) {
        return false;
      }
      body += text.substr(line_end + 2, size);
      position = line_end + 4 + size;
    }
  }
  // The text of a refusal is the session's.
  is_wrong = is_wrong || (!flow.body.empty() && body != flow.body);
  return true;
}

/// One schedule of random events for some callers.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed)
      : random(seed),
        acceptor(context,
                 tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    for (std::size_t place = 0; place < kPeers; ++place) {
      this->AddPeer();
      this->places.push_back(place);
    }
  }
  ~Schedule() {
    peek_errors_left = 0;
    for (const std::unique_ptr<Peer>& peer : this->peers) {
      for (const std::shared_ptr<Flow>& flow : peer->flows) {
        flow->caller = nullptr;
      }
    }
  }
  Schedule(const Schedule&) = delete;
  Schedule& operator=(const Schedule&) = delete;

  void Run() {
    for (int step = 0; step < kSteps; ++step) {
      this->TakeStep();
      for (int left = this->random.Below(4); left > 0; --left) {
        this->RunOne();
      }
    }
    peek_errors_left = 0;
    this->End();
    this->Check();
  }

  std::vector<std::string> faults;
  int requests = 0;
  int told = 0;
  int answered = 0;

 private:
  Peer& AddPeer() {
    this->peers.push_back(std::make_unique<Peer>(this->context));
    Peer& peer = *this->peers.back();
    peer.socket.open(tcp::v4());
    peer.socket.set_option(
        asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    // What was sent has arrived.
    peer.socket.set_option(tcp::no_delay(true));
    peer.socket.connect(this->acceptor.local_endpoint());
    peer.socket.non_blocking(true);
    const std::shared_ptr<CallerSession> session =
        std::make_shared<CallerSession>(this->acceptor.accept(), TestLimits(),
                                        this->metrics);
    peer.session = session;
    session->is_closing = [this] { return this->is_stopping; };
    session->on_request = [this, &peer](
                              const std::shared_ptr<CallerSession>& from,
                              const CallerRequest& request) {
      this->OnRequest(peer, from, request);
    };
    session->on_request_ended = [this, &peer] {
      peer.Note("ended");
      Flow* flow = peer.Current();
      flow->ended += 1;
      flow->ended_turn = this->turn;
      flow->ended_at = Clock::now();
      if (flow->ended > 1) {
        this->Fault(peer, "a request ended twice");
      }
    };
    session->Start();
    return peer;
  }
  void Fault(const Peer& peer, const std::string& what) {
    this->faults.push_back(what + ":" + peer.trace);
  }

  void OnRequest(Peer& peer, const std::shared_ptr<CallerSession>& from,
                 const CallerRequest& request) {
    this->requests += 1;
    peer.Note("request");
    const Flow* last = peer.Current();
    if (last != nullptr && (last->told > 0 || last->is_aborted)) {
      this->Fault(peer, "a request was handed over after the close");
    } else if (last != nullptr && (!last->is_answered || last->ended == 0)) {
      this->Fault(peer, "a request was handed over during another");
    }
    const std::shared_ptr<Flow> flow =
        std::make_shared<Flow>(from, request.id, this->random);
    flow->on_told = [this, &peer](Flow& told_flow) {
      this->OnTold(peer, told_flow);
    };
    peer.flows.push_back(flow);
    flow->Start();
    if (this->random.OneIn(3)) {
      flow->Step();
    }
  }
  void OnTold(Peer& peer, Flow& flow) {
    peer.Note("told");
    if (flow.told > 1) {
      this->Fault(peer, "a flow was told twice");
    }
    if (&flow != peer.Current() ||
        (flow.ended > 0 && flow.ended_turn != this->turn)) {
      this->Fault(peer, "a flow was told after its request had ended");
    }
    const bool is_slow_reader =
        flow.caller->unsent_bytes() > 0 &&
        Clock::now() >= peer.stalled_since + kWriteTimeout;
    if (!peer.has_ended_sending && !peer.has_closed && !is_slow_reader) {
      this->Fault(peer, "a flow was told though its caller waited");
    }
  }

  // ------------------------------------------------------------------ events

  bool RunOne() {
    this->turn += 1;
    this->NoteWritten();
    this->context.restart();
    return this->context.poll_one() > 0;
  }
  void NoteWritten() {
    for (const std::unique_ptr<Peer>& peer : this->peers) {
      const std::shared_ptr<CallerSession> session = peer->session.lock();
      if (session != nullptr && session->unsent_bytes() == 0) {
        peer->stalled_since = Clock::now();
      }
    }
  }
  /// A caller that has not closed; one that has gets a successor.
  Peer& PickPeer() {
    const std::size_t place =
        static_cast<std::size_t>(this->random.Below(kPeers));
    Peer& peer = *this->peers.at(this->places.at(place));
    if (!peer.has_closed && !peer.is_at_end) {
      return peer;
    }
    this->places.at(place) = this->peers.size();
    return this->AddPeer();
  }
  void TakeStep() {
    Peer& peer = this->PickPeer();
    this->NoteWritten();
    const int event = this->random.Below(200);
    if (event < 60) {
      this->SendRequest(peer);
    } else if (event < 80) {
      this->Flush(peer, this->random.Below(2000));
    } else if (event < 140) {
      this->StepFlow(peer);
    } else if (event < 170) {
      this->Receive(peer, this->random.OneIn(2) ? 1000 : kLargeBytes);
    } else if (event < 176) {
      peer.Note("long-turn");
      std::this_thread::sleep_for(
          milliseconds(1 + this->random.Below(kLongTurn.count())));
    } else if (event < 186) {
      while (this->RunOne()) {
      }
    } else if (event < 190) {
      this->FailNextPeek(this->random.OneIn(2) ? EINTR : EAGAIN);
    } else if (event < 191) {
      this->is_stopping = this->is_stopping || this->random.OneIn(4);
    } else if (event < 195) {
      this->EndSending(peer);
    } else if (event < 199) {
      this->Close(peer, this->random.OneIn(2));
    } else {
      this->Make(peer, "\x01 no request\r\n\r\n");
    }
  }
  void FailNextPeek(int error) {
    peek_error = error;
    peek_errors_left = 1;
    for (const std::unique_ptr<Peer>& peer : this->peers) {
      peer->Note(error == EINTR ? "peek-interrupted" : "peek-empty");
    }
  }
  void Make(Peer& peer, const std::string& bytes) {
    peer.unsent += bytes;
    peer.made_bytes += bytes.size();
  }
  void SendRequest(Peer& peer) {
    const bool is_large = this->random.OneIn(8);
    const std::size_t size = static_cast<std::size_t>(this->random.Below(
        is_large ? static_cast<int>(kMaxBodyBytes * 5 / 4) : 300));
    this->Make(peer, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                         std::to_string(size) + "\r\n\r\n" +
                         std::string(size, 'b'));
    peer.request_ends.push_back(peer.made_bytes);
    this->Flush(peer,
                this->random.OneIn(3)
                    ? this->random.Below(static_cast<int>(peer.unsent.size()))
                    : static_cast<int>(peer.unsent.size()));
  }
  void Flush(Peer& peer, int limit) {
    if (peer.has_closed || peer.has_ended_sending) {
      return;
    }
    const std::size_t size =
        std::min(peer.unsent.size(), static_cast<std::size_t>(limit));
    error_code error;
    const std::size_t sent =
        peer.socket.write_some(asio::buffer(peer.unsent.data(), size), error);
    peer.unsent.erase(0, sent);
    peer.sent_bytes += sent;
    peer.sent_at = sent > 0 ? Clock::now() : peer.sent_at;
    peer.Note("sent-" + std::to_string(sent));
  }
  void Receive(Peer& peer, std::size_t limit) {
    if (peer.has_closed || peer.is_at_end) {
      return;
    }
    std::string part(limit, '\0');
    error_code error;
    const std::size_t size = peer.socket.read_some(asio::buffer(part), error);
    peer.received.append(part, 0, size);
    if (error && error != asio::error::would_block) {
      peer.is_at_end = true;
      peer.Note(error == asio::error::eof ? "got-end" : "got-reset");
    } else if (size > 0) {
      peer.Note("got-" + std::to_string(size));
    }
  }
  void EndSending(Peer& peer) {
    if (!peer.has_closed && !peer.has_ended_sending) {
      peer.Note("ends-sending");
      peer.has_ended_sending = true;
      error_code ignored;
      peer.socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
  }
  void Close(Peer& peer, bool is_reset) {
    if (!peer.has_closed) {
      peer.Note(is_reset ? "resets" : "closes");
      peer.has_closed = true;
      error_code ignored;
      if (is_reset) {
        peer.socket.set_option(asio::socket_base::linger(true, 0), ignored);
      }
      peer.socket.close(ignored);
    }
  }
  void StepFlow(Peer& peer) {
    Flow* flow = peer.Current();
    if (flow != nullptr && !flow->is_finished) {
      peer.Note("step");
      flow->Step();
      peer.trace += flow->is_answered  ? "-answered"
                    : flow->is_aborted ? "-aborted"
                                       : "";
    }
  }

  // --------------------------------------------------------------------- end

  /// True when the flow may wait for an end of its caller that it isn't told.
  [[nodiscard]] static bool MustBeTold(const Peer& peer) {
    return (peer.has_ended_sending || peer.has_closed) && !peer.HasSentMore();
  }
  [[nodiscard]] static bool HasEnded(const Peer& peer) {
    const Flow* flow = peer.Current();
    return (flow == nullptr || flow->told > 0 || flow->ended > 0) &&
           (peer.is_at_end || peer.has_closed);
  }
  /// Brings every connection to its end: callers close, or read all of their
  /// answers. Flows whose caller has left wait to be told of it.
  void End() {
    for (const std::unique_ptr<Peer>& peer : this->peers) {
      if (this->random.OneIn(3)) {
        this->Close(*peer, this->random.OneIn(2));
      }
    }
    const TimePoint give_up_at = Clock::now() + kEndLimit;
    bool is_over = false;
    while (!is_over && Clock::now() < give_up_at) {
      is_over = true;
      while (this->RunOne()) {
      }
      for (const std::unique_ptr<Peer>& peer : this->peers) {
        this->Receive(*peer, kLargeBytes);
        if (peer->Current() != nullptr && !MustBeTold(*peer)) {
          this->StepFlow(*peer);
        }
        if (peer->is_at_end) {
          this->Close(*peer, false);
        }
        is_over = is_over && HasEnded(*peer);
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  void Check() {
    for (const std::unique_ptr<Peer>& peer : this->peers) {
      this->CheckFlows(*peer);
      this->CheckReceived(*peer);
    }
    // What is left closes by itself: no caller holds its connection open.
    for (const std::unique_ptr<Peer>& peer : this->peers) {
      for (const std::shared_ptr<Flow>& flow : peer->flows) {
        flow->caller = nullptr;
      }
    }
    const TimePoint give_up_at = Clock::now() + kEndLimit;
    while (this->metrics.Get(observe::Metric::kConnections) > 0 &&
           Clock::now() < give_up_at) {
      this->context.restart();
      this->context.run_for(milliseconds(1));
    }
    for (const observe::Metric metric :
         {observe::Metric::kClosesNotReported,
          observe::Metric::kRequestsAfterClose}) {
      if (this->metrics.Get(metric) > 0) {
        this->faults.push_back(std::string(observe::kMetricNames.Name(metric)) +
                               " is not zero");
      }
    }
    for (const std::unique_ptr<Peer>& peer : this->peers) {
      if (!peer->session.expired()) {
        this->Fault(*peer, "a session did not end");
      }
    }
  }
  void CheckFlows(const Peer& peer) {
    for (const std::shared_ptr<Flow>& flow : peer.flows) {
      this->told += flow->told;
      this->answered += flow->is_answered && flow->told == 0 ? 1 : 0;
      if (flow->told == 0 && !flow->is_answered && !flow->is_aborted) {
        this->Fault(peer, "a flow was neither answered nor told");
      }
      if (flow->ended != 1) {
        this->Fault(peer, "a request did not end");
      }
    }
    if (!HasEnded(peer)) {
      this->Fault(peer, "a connection did not end");
    }
  }
  /// True when the caller may have lost what it had not read: it read too
  /// slowly for a later answer, or sent bytes to a connection that had been
  /// closed after its idle time.
  [[nodiscard]] static bool MayHaveLost(const Peer& peer) {
    const Flow& last = *peer.flows.back();
    return last.caller->unsent_bytes() > 0 ||
           (last.ended > 0 && peer.sent_at >= last.ended_at + kIdleTimeout);
  }
  /// Callers that stayed have every answer to its last byte.
  void CheckReceived(const Peer& peer) {
    std::size_t position = 0;
    for (const std::shared_ptr<Flow>& flow : peer.flows) {
      const std::size_t begin = position;
      bool is_wrong = false;
      const bool is_complete =
          ReadAnswer(peer.received, *flow, position, is_wrong);
      if (is_wrong) {
        this->Fault(peer, "an answer belongs to another request");
      }
      if (is_complete && flow->is_aborted) {
        this->Fault(peer, "an answer that was cut looks complete");
      }
      if (!is_complete) {
        if (flow->is_answered && flow->told == 0 && peer.is_at_end &&
            !MayHaveLost(peer)) {
          this->Fault(peer, "an answer of " +
                                std::to_string(flow->body.size()) +
                                " bytes was lost after " +
                                std::to_string(peer.received.size() - begin) +
                                " with its head");
        }
        return;
      }
    }
  }

  Random random;
  asio::io_context context;
  observe::Metrics metrics;
  tcp::acceptor acceptor;
  std::vector<std::unique_ptr<Peer>> peers;
  std::vector<std::size_t> places;  ///< Of those in `peers` that take part.
  int turn = 0;
  bool is_stopping = false;
};

}  // namespace

BOOST_AUTO_TEST_CASE(requests_are_answered_or_their_flows_are_told_once) {
  const int first_seed = ReadNumber("GOOSEBERRYTURN_SCHEDULE_SEED", 1);
  const int rounds =
      ReadNumber("GOOSEBERRYTURN_SCHEDULE_ROUNDS", kDefaultRounds);
  int requests = 0;
  int told = 0;
  int answered = 0;
  for (int seed = first_seed; seed < first_seed + rounds; ++seed) {
    Schedule schedule(static_cast<std::uint64_t>(seed));
    schedule.Run();
    requests += schedule.requests;
    told += schedule.told;
    answered += schedule.answered;
    for (const std::string& fault : schedule.faults) {
      BOOST_ERROR("seed " + std::to_string(seed) + ": " + fault);
    }
  }
  BOOST_TEST_MESSAGE("requests " << requests << ", answered " << answered
                                 << ", told " << told);
  // Schedules without such requests would show nothing.
  BOOST_TEST(answered >= rounds);
  BOOST_TEST(told >= rounds);
}
