#include <atomic>
#include <optional>

#include "../standins2.h"

/// Copies of orders that a server carries out late bring a dissolved group back
/// to life, and its servers are joined to another one. See claim.txt.
using namespace review;  // NOLINT

namespace {

constexpr int kCallMs = 1000;
constexpr int kHeartbeatMs = 1200;
/// `form_ms` and `warm_s` of the configuration; a join to the model of the last
/// group takes 0.2 s.
constexpr int kFormMs = 300;
constexpr int kWarmMs = 1100;
constexpr int kSameModelMs = 200;
/// `applied_late`: carried out 2 to 12 s later.
constexpr int kLateMs = 9000;
/// `srv_cut`: for_s = 10.0 in the site file.
constexpr int kCutMs = 10000;
constexpr char kConfiguration[] =
    R"({"version":7,"routes":[{"name":"r1","host":"desk.example",)"
    R"("path_prefix":"/reply/","kind":"streaming","timeout_ms":6000,)"
    R"("slo_ms":300,"priority":1,"service":"menu","attempts":2,"public":true,)"
    R"("sticky":true,"resumable":true,"gap_slo_ms":200}],)"
    R"("services":[{"name":"menu","health_path":"/healthz","max_conns":526,)"
    R"("protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":36.0,)"
    R"("engine":{"slots":34,"kv_capacity":1860000,"kv_token_bytes":96256,)"
    R"("stride":5,"models":[{"name":"m1","size":2,"share":1.0,"pace":0.6,)"
    R"("load_s":12.0,"warm_s":1.1}],"step_ms":7.8,"per_seq_ms":0.0947,)"
    R"("context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,)"
    R"("chunk":2048,"report_lag_ms":200.0,"loads_per_s":3.0,)"
    R"("loads_at_once":6,"usual":{"prompt":919,"answer":135},"retained":1,)"
    R"("far_x":3.0,"form_ms":300.0}}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// The string or number at `key` of a JSON text without nesting at that key.
std::string Field(const std::string& json, const std::string& key) {
  const std::string name = "\"" + key + "\":";
  std::size_t at = json.find(name);
  if (at == std::string::npos) {
    return "";
  }
  at += name.size();
  if (json[at] == '"') {
    return json.substr(at + 1, json.find('"', at + 1) - at - 1);
  }
  if (json[at] == '[') {
    return json.substr(at, json.find(']', at) - at + 1);
  }
  return json.substr(at, json.find_first_of(",}", at) - at);
}

struct Order {
  std::string op;
  std::string group;
  std::uint64_t epoch = 0;
  std::string members;  ///< As JSON.
  std::uint64_t fence = 0;
};

struct Membership {
  std::string group;
  std::uint64_t epoch = 0;
  std::string members;
  std::string head;
  int rank = 0;
  std::string state;
};

class Server;

/// The servers, and what the platform sees of them.
struct Scene {
  explicit Scene(Record& record) : record(record) {}

  Record& record;
  std::mutex mutex;  ///< Of all that the servers hold.
  std::map<std::string, Server*> servers;
  std::atomic<bool> is_over = false;
  std::atomic<int> broken = 0;
  std::atomic<bool> is_group_left = false;
};

/// A model server as PROTOCOL.md tells it; it serves no requests here.
class Server {
 public:
  Server(Scene& scene, std::string id, Address address,
         std::vector<Address> controls, bool is_late)
      : scene(scene),
        id(std::move(id)),
        address(std::move(address)),
        controls(std::move(controls)),
        is_late(is_late) {
    this->born = std::chrono::duration_cast<Ms>(
                     std::chrono::system_clock::now().time_since_epoch())
                     .count();
    this->listener = Listen(this->address);
  }

  [[nodiscard]] bool IsListening() const { return this->listener >= 0; }
  void Start() {
    std::thread([this] { this->Accept(); }).detach();
    std::thread([this] { this->SendHeartbeats(); }).detach();
  }
  /// Partitioned from the core: nothing is sent or answered.
  void SetCut(bool cut) { this->is_cut = cut; }
  [[nodiscard]] std::string StateOf(const std::string& group) const {
    return this->member.has_value() && this->member->group == group
               ? this->member->state
               : "";
  }
  [[nodiscard]] bool IsOpenHead() {
    const std::lock_guard<std::mutex> guard(this->scene.mutex);
    return this->member.has_value() && this->member->state == "open";
  }

 private:
  void Accept() {
    for (;;) {
      const int accepted = accept(this->listener, nullptr, nullptr);
      if (accepted >= 0) {
        std::thread([this, accepted] { this->Answer(accepted); }).detach();
      }
    }
  }

  void Answer(int connected) {
    if (this->is_cut) {
      while (this->is_cut) {
        SleepMs(20);
      }
      close(connected);
      return;
    }
    std::string bytes;
    char buffer[4096];
    std::size_t end = std::string::npos;
    std::size_t length = 0;
    while (end == std::string::npos || bytes.size() < end + 4 + length) {
      const ssize_t size = recv(connected, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        close(connected);
        return;
      }
      bytes.append(buffer, static_cast<std::size_t>(size));
      end = bytes.find("\r\n\r\n");
      const std::size_t at = bytes.find("Content-Length: ");
      length =
          at < end
              ? static_cast<std::size_t>(std::atoll(bytes.c_str() + at + 16))
              : 0;
    }
    int status = 404;
    std::string body = "{}";
    const std::string target = "X-Gooseberryturn-Target-Instance: ";
    const std::size_t named = bytes.find(target);
    const bool is_other =
        named < end && bytes.compare(named + target.size(), this->id.size() + 1,
                                     this->id + "\r") != 0;
    if (is_other) {
      status = 421;
    } else if (bytes.compare(0, 16, "GET /api/report ") == 0) {
      status = 200;
      body = this->StatusJson(false);
    } else if (bytes.compare(0, 16, "POST /api/order ") == 0) {
      status = this->TakeOrder(bytes.substr(end + 4));
    }
    if (status == 0) {
      // Without an answer: the caller gives up.
      (void)recv(connected, buffer, sizeof(buffer), 0);
    } else {
      SendAll(connected,
              "HTTP/1.1 " + std::to_string(status) +
                  " -\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) +
                  "\r\nConnection: close\r\n\r\n" + body);
    }
    close(connected);
  }

  /// \returns The status, or 0 for an order that gets no answer and is carried
  /// out late.
  int TakeOrder(const std::string& json) {
    const Order order = {
        Field(json, "op"), Field(json, "group"),
        std::strtoull(Field(json, "epoch").c_str(), nullptr, 10),
        Field(json, "members"),
        std::strtoull(Field(json, "fence").c_str(), nullptr, 10)};
    bool is_applied_late = false;
    {
      const std::lock_guard<std::mutex> guard(this->scene.mutex);
      const int copy = ++this->copies[order.op + order.group];
      const bool may_be_late = order.op == "join" || order.op == "open";
      is_applied_late = this->is_late && may_be_late && copy == 1 &&
                        this->late_groups.size() < 2 &&
                        (this->late_groups.empty() ||
                         this->late_groups.begin()->first == order.group);
      if (is_applied_late) {
        this->late_groups.emplace(order.group, 0);
      }
    }
    if (is_applied_late) {
      this->Log(order, "gets no answer, is carried out 9 s later");
      std::thread([this, order] {
        SleepMs(kLateMs);
        const std::lock_guard<std::mutex> guard(this->scene.mutex);
        const int status = this->Apply(order);
        this->Log(order, "is carried out late: " + std::to_string(status));
      }).detach();
      return 0;
    }
    const std::lock_guard<std::mutex> guard(this->scene.mutex);
    const int status = this->Apply(order);
    this->Log(order, std::to_string(status));
    return status;
  }

  void Log(const Order& order, const std::string& text) const {
    this->scene.record.Line("server %s: %s %s %s", this->id.c_str(),
                            order.op.c_str(), order.group.c_str(),
                            text.c_str());
  }

  /// Called under the lock.
  int Apply(const Order& order) {
    if (order.fence < this->fence) {
      return 412;
    }
    this->fence = order.fence;
    if (order.op == "stage") {
      return 200;
    }
    if (order.op == "join") {
      return this->Join(order);
    }
    const bool is_own = this->member.has_value() &&
                        this->member->group == order.group &&
                        this->member->epoch == order.epoch;
    if (order.op == "leave") {
      if (is_own) {
        this->scene.is_group_left = true;
        this->member.reset();
        this->changes += 1;
      }
      return 200;
    }
    if (!is_own) {
      return 409;
    }
    if (order.op == "open") {
      if (this->member->state == "open") {
        return 200;
      }
      if (this->member->state != "ready") {
        return 409;
      }
      this->ChangeLater(kFormMs, "ready", "open");
      return 202;
    }
    this->member->state = "ready";
    this->changes += 1;
    return 202;
  }

  int Join(const Order& order) {
    const bool is_own = this->member.has_value() &&
                        this->member->group == order.group &&
                        this->member->epoch == order.epoch;
    if (order.epoch < this->epoch ||
        (is_own && this->member->members != order.members)) {
      return 412;
    }
    if (is_own) {
      return 200;
    }
    this->Judge(order);
    this->epoch = order.epoch;
    Membership next;
    next.group = order.group;
    next.epoch = order.epoch;
    next.members = order.members;
    next.head = order.members.substr(2, order.members.find('"', 2) - 2);
    next.rank = next.head == this->id ? 0 : 1;
    next.state = "joining";
    this->member = next;
    this->changes += 1;
    this->ChangeLater(this->has_served ? kSameModelMs : kWarmMs, "joining",
                      "ready");
    this->has_served = true;
    return 202;
  }

  /// TWO: the head of the group that this server is in is open or closing.
  void Judge(const Order& order) {
    if (!this->member.has_value() || this->member->group == order.group) {
      return;
    }
    const Server* head = this->scene.servers.at(this->member->head);
    const std::string state = head->StateOf(this->member->group);
    if (state == "open" || state == "closing") {
      this->scene.broken += 1;
      this->scene.record.Line(
          "BROKEN: server %s takes a join of %s while the head %s of its group "
          "%s is %s",
          this->id.c_str(), order.group.c_str(), this->member->head.c_str(),
          this->member->group.c_str(), state.c_str());
    }
  }

  /// Called under the lock; does nothing if the membership has changed by then.
  void ChangeLater(int after_ms, std::string from, std::string to) {
    std::thread([this, after_ms, from = std::move(from), to = std::move(to),
                 group = this->member->group] {
      SleepMs(after_ms);
      const std::lock_guard<std::mutex> guard(this->scene.mutex);
      if (this->StateOf(group) == from) {
        this->member->state = to;
        this->changes += 1;
        this->scene.record.Line("server %s: %s of group %s", this->id.c_str(),
                                to.c_str(), group.c_str());
      }
    }).detach();
  }

  std::string StatusJson(bool is_heartbeat) {
    const std::lock_guard<std::mutex> guard(this->scene.mutex);
    std::string json = R"({"stage":"mixed","domain":"d0","staged":["m1"],)";
    json += this->member.has_value()
                ? R"("models":[{"name":"m1","version":1,"adapters":[]}],)"
                : R"("models":[],)";
    if (this->member.has_value()) {
      json += R"("group":{"name":")" + this->member->group + R"(","epoch":)" +
              std::to_string(this->member->epoch) + R"(,"rank":)" +
              std::to_string(this->member->rank) + R"(,"state":")" +
              this->member->state + R"("},)";
    }
    json += R"("born":)" + std::to_string(this->born);
    if (!is_heartbeat) {
      return json + R"(,"busy":false,"seq":1,"queued":0,"active":0,)"
                    R"("kv_used":0,"kv_total":1860000,"handles":0,"pace":1})";
    }
    return json + R"(,"service":"menu","address":")" + ToString(this->address) +
           R"(","zone":"vn-south-a","version":"v1","slots":34,)"
           R"("state":"ready","cold_left_ms":0,"seq":)" +
           std::to_string(++this->sequence) + "}";
  }

  /// Every heartbeat_ms, and immediately after a change.
  void SendHeartbeats() {
    std::size_t next = 0;
    while (!this->scene.is_over) {
      if (!this->is_cut) {
        const int status =
            Call(this->controls[next % this->controls.size()], "PUT",
                 "/api/instances/" + this->id, this->StatusJson(true), kCallMs)
                .status;
        if (status / 100 != 2) {
          next += 1;
          SleepMs(100);
          continue;
        }
      }
      const int seen = this->changes;
      for (int waited = 0; waited < kHeartbeatMs && this->changes == seen;
           waited += 10) {
        SleepMs(10);
      }
    }
  }

  Scene& scene;
  std::string id;
  Address address;
  std::vector<Address> controls;
  /// The first copies of the orders to join its first group and to open it get
  /// no answer and are carried out late.
  bool is_late;
  int listener = -1;
  std::int64_t born = 0;
  std::atomic<bool> is_cut = false;
  std::atomic<int> changes = 0;
  std::optional<Membership> member;
  std::uint64_t epoch = 0;  ///< Highest that this life has seen.
  std::uint64_t fence = 0;
  std::uint64_t sequence = 0;
  bool has_served = false;
  std::map<std::string, int> copies;
  std::map<std::string, int> late_groups;
};

Verdict Run(Record& record) {
  // Detached threads of the servers use it to the end of the process.
  Machines machines(record);
  for (const int number : {1, 2, 3}) {
    machines.StartControl(number, {1, 2, 3}, true);
  }
  record.Line("platform: machines 1, 2 and 3 serve control");
  const bool is_acknowledged = Eventually(
      [&machines] {
        return Call(machines.Control(1), "PUT", "/api/config", kConfiguration,
                    kCallMs)
                   .status == 200;
      },
      Ms(15000));
  if (!is_acknowledged) {
    return Verdict::kCouldNotRun;
  }
  Scene& scene = *new Scene(record);
  std::vector<Server*> servers;
  const std::vector<Address> controls = {
      machines.Control(1), machines.Control(2), machines.Control(3)};
  for (const int number : {1, 2}) {
    const std::string id = "i-" + std::to_string(number);
    servers.push_back(new Server(scene, id, machines.At(20 + number, 8080),
                                 controls, IsTroubled()));
    if (!servers.back()->IsListening()) {
      return Verdict::kCouldNotRun;
    }
    scene.servers[id] = servers.back();
  }
  for (Server* server : servers) {
    server->Start();
  }
  Server* head = nullptr;
  const bool is_open = Eventually(
      [&servers, &head] {
        for (Server* server : servers) {
          head = server->IsOpenHead() ? server : head;
        }
        return head != nullptr;
      },
      Ms(20000));
  if (!is_open) {
    record.Line("no group was opened");
    return Verdict::kCouldNotRun;
  }
  Server* other = head == servers[0] ? servers[1] : servers[0];
  other->SetCut(true);
  record.Line("platform: the other member is partitioned from the core (10 s)");
  SleepMs(kCutMs);
  other->SetCut(false);
  record.Line("platform: the cut has healed");
  SleepMs(8000);
  scene.is_over = true;
  if (!scene.is_group_left) {
    record.Line("the group was never told to leave: the case shows nothing");
    return scene.broken > 0 ? Verdict::kBroken : Verdict::kCouldNotRun;
  }
  if (scene.broken > 0) {
    return Verdict::kBroken;
  }
  record.Line("held: no server was joined to another group beside an open one");
  return Verdict::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  Record record(argc > 1 ? argv[1] : "record.txt");
  const Verdict verdict = Run(record);
  // Without destructors: threads of the servers may still run.
  std::_Exit(static_cast<int>(verdict));
}
