#ifndef GOOSEBERRYTURN_REVIEW_ENGINE_H_
#define GOOSEBERRYTURN_REVIEW_ENGINE_H_

// Model servers that form groups, as PROTOCOL.md describes them.

#include <algorithm>

#include "fleet.h"

namespace review {

/// Value of a member of a flat JSON object: the text of a string, number or
/// list. Enough for the orders that the leader sends.
inline std::string JsonValue(const std::string& json, const std::string& key) {
  std::size_t at = json.find("\"" + key + "\"");
  if (at == std::string::npos) {
    return "";
  }
  at = json.find(':', at) + 1;
  while (json[at] == ' ') {
    ++at;
  }
  if (json[at] == '"') {
    return json.substr(at + 1, json.find('"', at + 1) - at - 1);
  }
  const char* ends = json[at] == '[' ? "]" : ",}";
  return json.substr(at, json.find_first_of(ends, at) - at);
}

inline std::vector<std::string> JsonList(const std::string& list) {
  std::vector<std::string> items;
  std::size_t start = 0;
  while ((start = list.find('"', start)) != std::string::npos) {
    const std::size_t end = list.find('"', start + 1);
    items.push_back(list.substr(start + 1, end - start - 1));
    start = end + 1;
  }
  return items;
}

struct Model {
  std::string name;
  std::size_t size = 0;
  double load_s = 0;
  double warm_s = 0;
};

class EngineServer;

/// All model servers of a case, and what was seen of them.
struct Engines {
  std::recursive_mutex mutex;
  std::map<std::string, EngineServer*> servers;
  std::vector<Model> models;
  bool has_traffic = false;
  /// Joins of another group that a server took while the head of its group was
  /// open, closing, or stood still and was not broken yet.
  std::vector<std::string> two;
  const Model* Find(const std::string& name) const {
    for (const Model& model : this->models) {
      if (model.name == name) {
        return &model;
      }
    }
    return nullptr;
  }
};

class EngineServer {
 public:
  static constexpr int kStallMs = 5000;
  static constexpr int kFormMs = 300;

  EngineServer(Record& record, Engines& engines, std::string id,
               Address address, std::vector<Address> controls,
               std::string service, std::string zone, std::string domain)
      : record(record),
        engines(engines),
        id(std::move(id)),
        address(std::move(address)),
        controls(std::move(controls)),
        service(std::move(service)),
        zone(std::move(zone)),
        domain(std::move(domain)),
        born(UnixMs()),
        server(this->address,
               [this](int fd, Reader& reader) { this->Serve(fd, reader); }) {
    {
      const std::lock_guard<std::recursive_mutex> guard(engines.mutex);
      engines.servers[this->id] = this;
    }
    std::thread([this] { this->Beat(); }).detach();
    std::thread([this] { this->Work(); }).detach();
  }

  const std::string& name() const { return this->id; }
  const Address& where() const { return this->address; }
  std::int64_t start_ms() const { return this->born; }
  /// The caller holds the mutex of `Engines`.
  bool IsServingHead() const {
    return this->rank == 0 &&
           (this->state == "open" || this->state == "closing");
  }
  const std::string& group_name() const { return this->group; }
  const std::string& group_state() const { return this->state; }
  const std::string& group_model() const { return this->model; }
  const std::vector<std::string>& staged_models() const { return this->staged; }
  std::size_t group_rank() const { return this->rank; }
  const std::vector<std::string>& group_members() const {
    return this->members;
  }

 private:
  using Guard = std::lock_guard<std::recursive_mutex>;

  std::string StateJson() const {
    std::string json =
        R"("stage":"mixed","domain":")" + this->domain + R"(","staged":[)";
    for (const std::string& copy : this->staged) {
      json += (json.back() == '[' ? "\"" : ",\"") + copy + "\"";
    }
    json += R"(],"models":[)";
    if (!this->model.empty()) {
      json += R"({"name":")" + this->model + R"(","version":1,"adapters":[]})";
    }
    json += "]";
    if (!this->state.empty()) {
      json += R"(,"group":{"name":")" + this->group + R"(","epoch":)" +
              std::to_string(this->epoch) + R"(,"rank":)" +
              std::to_string(this->rank) + R"(,"state":")" + this->state +
              R"("})";
    }
    return json + R"(,"born":)" + std::to_string(this->born);
  }

  void Changed() { this->change += 1; }

  // ------------------------------------------------------------- heartbeats

  void Beat() {
    std::size_t next = std::hash<std::string>()(this->id);
    for (;;) {
      std::string body;
      std::uint64_t seen = 0;
      {
        const Guard guard(this->engines.mutex);
        seen = this->change;
        this->sequence += 1;
        body = R"({"service":")" + this->service + R"(","address":")" +
               this->address.Text() + R"(","zone":")" + this->zone +
               R"(","version":"v1","slots":34,"state":"ready",)"
               R"("cold_left_ms":0,)" +
               this->StateJson() + R"(,"seq":)" +
               std::to_string(this->sequence) + "}";
      }
      const int status =
          Call(this->controls[next % this->controls.size()], "PUT",
               "/api/instances/" + this->id,
               {{"Content-Type", "application/json"}}, body, Ms(1000))
              .Status();
      if (status < 200 || status >= 300) {
        next += 1;
        Sleep(50);
        continue;
      }
      const Steady::time_point until = Steady::now() + Ms(1200);
      while (Steady::now() < until) {
        Sleep(5);
        const Guard guard(this->engines.mutex);
        if (this->change != seen) {
          break;
        }
      }
    }
  }

  // ----------------------------------------------------------------- orders

  /// Finishes joins, loads and openings, and breaks a head that lost a member.
  void Work() {
    for (;;) {
      Sleep(5);
      const Guard guard(this->engines.mutex);
      const Steady::time_point now = Steady::now();
      if (!this->staging.empty() && now >= this->staged_at) {
        this->staged = {std::exchange(this->staging, "")};
        this->Changed();
      }
      if (this->state == "joining" && now >= this->ready_at) {
        this->state = "ready";
        this->model = this->joining_model;
        this->last_model = this->model;
        this->staged = {this->model};
        this->Changed();
      }
      if (this->is_opening && this->state == "ready" && now >= this->open_at) {
        this->state = "open";
        this->is_opening = false;
        this->record.Line(this->id + " opens " + this->group);
        this->Changed();
      }
      if (this->IsServingHead()) {
        if (this->AreMembersThere()) {
          this->lost_at = Steady::time_point();
        } else if (this->lost_at == Steady::time_point()) {
          this->lost_at = now;
          this->record.Line(this->id + ", open head of " + this->group +
                            ", lost a member and stands still");
        } else if (now >= this->lost_at + Ms(kStallMs)) {
          this->state = "broken";
          this->record.Line(this->id + " is broken in " + this->group);
          this->Changed();
        }
      }
    }
  }
  bool AreMembersThere() const {
    return std::all_of(
        this->members.begin(), this->members.end(),
        [this](const std::string& member) {
          const EngineServer* other = this->engines.servers.at(member);
          return other->group == this->group && other->epoch == this->epoch &&
                 !other->state.empty();
        });
  }
  /// The head of the group of this server serves or stands still, unbroken.
  bool IsHeadServing() const {
    if (this->state.empty() || this->members.empty()) {
      return false;
    }
    const EngineServer* head = this->engines.servers.at(this->members.front());
    return head->group == this->group && head->epoch == this->epoch &&
           head->IsServingHead();
  }

  int TakeOrder(const std::string& body) {
    const Guard guard(this->engines.mutex);
    const std::uint64_t given_fence =
        std::strtoull(JsonValue(body, "fence").c_str(), nullptr, 10);
    if (given_fence < this->fence) {
      return 412;
    }
    this->fence = given_fence;
    const std::string op = JsonValue(body, "op");
    if (op == "stage") {
      return this->Stage(JsonValue(body, "model"));
    }
    const std::string name = JsonValue(body, "group");
    const std::uint64_t number =
        std::strtoull(JsonValue(body, "epoch").c_str(), nullptr, 10);
    if (op == "join") {
      return this->Join(name, number, JsonValue(body, "model"),
                        JsonList(JsonValue(body, "members")));
    }
    const bool is_own =
        !this->state.empty() && name == this->group && number == this->epoch;
    if (op == "open") {
      if (!is_own || this->rank != 0) {
        return 409;
      }
      if (this->state == "open") {
        return 200;
      }
      if (this->state != "ready") {
        return 409;
      }
      if (!this->is_opening) {
        this->is_opening = true;
        this->open_at = Steady::now() + Ms(kFormMs);
      }
      return 202;
    }
    if (op == "leave") {
      if (!is_own) {
        return 409;
      }
      this->record.Line(this->id + " leaves " + this->group);
      this->state.clear();
      this->group.clear();
      this->members.clear();
      this->is_opening = false;
      this->Changed();
      return 200;
    }
    return 400;
  }

  int Stage(const std::string& name) {
    const Model* wanted = this->engines.Find(name);
    if (wanted == nullptr || !this->staging.empty()) {
      return 409;
    }
    if (this->staged == std::vector<std::string>{name}) {
      return 200;
    }
    this->staging = name;
    this->staged_at = Steady::now() + this->LoadTime(wanted->load_s);
    return 202;
  }
  /// Before the first request, loads take one tenth of the time.
  Ms LoadTime(double seconds) const {
    return Ms(static_cast<int>(1000 * seconds *
                               (this->engines.has_traffic ? 1 : 0.1)));
  }

  int Join(const std::string& name, std::uint64_t number,
           const std::string& wanted,
           const std::vector<std::string>& new_members) {
    const Model* found = this->engines.Find(wanted);
    if (number < this->highest_epoch) {
      return 412;
    }
    if (name == this->group && number == this->epoch) {
      return new_members == this->members ? 200 : 412;
    }
    if (found == nullptr) {
      return 409;
    }
    if (this->IsHeadServing()) {
      const EngineServer& head =
          *this->engines.servers.at(this->members.front());
      const std::string text =
          this->id + " takes the join of " + name + " while " + head.id +
          ", the head of its group " + this->group + ", is " + head.state;
      this->record.Line("TWO: " + text);
      this->engines.two.push_back(text);
    }
    this->record.Line(this->id + " joins " + name + " for " + wanted);
    const bool is_staged = std::find(this->staged.begin(), this->staged.end(),
                                     wanted) != this->staged.end();
    this->ready_at = Steady::now() +
                     (this->last_model == wanted ? Ms(200)
                      : is_staged ? Ms(static_cast<int>(1000 * found->warm_s))
                                  : this->LoadTime(found->load_s));
    this->highest_epoch = number;
    this->group = name;
    this->epoch = number;
    this->members = new_members;
    this->rank = static_cast<std::size_t>(
        std::find(new_members.begin(), new_members.end(), this->id) -
        new_members.begin());
    this->state = "joining";
    this->joining_model = wanted;
    this->is_opening = false;
    this->lost_at = Steady::time_point();
    this->Changed();
    return 202;
  }

  // --------------------------------------------------------------- requests

  void Serve(int fd, Reader& reader) {
    Message request;
    while (reader.Read(request)) {
      const std::string path = request.Path();
      const std::string target =
          request.Get("X-Gooseberryturn-Target-Instance");
      bool is_sent = false;
      if (!target.empty() && target != this->id) {
        is_sent = this->Reply(fd, request, 421, "{}", true);
      } else if (path == "/api/order") {
        is_sent = this->Reply(fd, request, this->TakeOrder(request.body), "{}",
                              false);
      } else if (path == "/api/report" || path == "/healthz") {
        std::string json;
        {
          const Guard guard(this->engines.mutex);
          json = "{" + this->StateJson() + R"(,"busy":false,"seq":)" +
                 std::to_string(this->sequence) +
                 R"(,"queued":0,"active":0,"kv_used":0,"kv_total":1860000,)"
                 R"("handles":0,"pace":1})";
        }
        is_sent = this->Reply(fd, request, 200, json, false);
      } else {
        is_sent = this->Run(fd, request);
      }
      if (!is_sent) {
        return;
      }
    }
  }
  bool Reply(int fd, const Message& request, int status,
             const std::string& body, bool is_not_run) const {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " -\r\n";
    head += "X-Gooseberryturn-Attempt-Id: " +
            request.Get("X-Gooseberryturn-Attempt-Id") + "\r\n";
    head += "X-Gooseberryturn-Instance-Id: " + this->id + "\r\n";
    head += "X-Gooseberryturn-Server-Seal: " + this->id + "\r\n";
    if (is_not_run) {
      head +=
          "X-Gooseberryturn-Not-Executed: 1\r\nAt-Server: " + this->id + "\r\n";
    }
    return SendAll(fd, head + "Content-Type: application/json\r\n" +
                           "Content-Length: " + std::to_string(body.size()) +
                           "\r\n\r\n" + body);
  }
  /// Streams six events of five tokens each, 40 ms apart.
  bool Run(int fd, const Message& request) {
    std::string own_group;
    {
      const Guard guard(this->engines.mutex);
      this->engines.has_traffic = true;
      if (!this->IsServingHead() ||
          request.Get("X-Gooseberryturn-Model") != this->model) {
        own_group.clear();
      } else {
        own_group = this->group;
      }
    }
    if (own_group.empty()) {
      return this->Reply(fd, request, 421, "{}", true);
    }
    SendAll(fd,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "X-Gooseberryturn-Attempt-Id: " +
                request.Get("X-Gooseberryturn-Attempt-Id") +
                "\r\nX-Gooseberryturn-Server-Seal: " + this->id +
                "\r\nTransfer-Encoding: chunked\r\n\r\n");
    const std::string last = request.Get("Last-Event-Id");
    for (int number = std::atoi(last.c_str()) + 1; number <= 6; ++number) {
      Sleep(40);
      for (;;) {
        {
          const Guard guard(this->engines.mutex);
          if (this->group != own_group || this->state == "broken") {
            return false;
          }
          if (this->AreMembersThere()) {
            break;
          }
        }
        Sleep(10);
      }
      const std::string event = "id: " + std::to_string(number) +
                                "\ndata: piece " + std::to_string(number) +
                                "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!SendAll(fd, size + event + "\r\n")) {
        return false;
      }
    }
    return SendAll(fd, "0\r\n\r\n");
  }

  Record& record;
  Engines& engines;
  std::string id;
  Address address;
  std::vector<Address> controls;
  std::string service;
  std::string zone;
  std::string domain;
  std::int64_t born;
  std::uint64_t sequence = 0;
  std::uint64_t change = 0;
  std::uint64_t fence = 0;
  std::uint64_t highest_epoch = 0;
  std::string group;
  std::uint64_t epoch = 0;
  std::vector<std::string> members;
  std::size_t rank = 0;
  std::string state;  ///< Empty without a group.
  std::string model;
  std::string last_model;
  std::string joining_model;
  std::vector<std::string> staged;
  std::string staging;
  bool is_opening = false;
  Steady::time_point staged_at;
  Steady::time_point ready_at;
  Steady::time_point open_at;
  Steady::time_point lost_at;
  Server server;
};

/// A configuration like those of tdb-ops, with the models of `engines`.
inline std::string EngineConfiguration(int version, int timeout_ms,
                                       const std::vector<Model>& models) {
  std::string list;
  for (const Model& model : models) {
    list += (list.empty() ? "" : ",") + (R"({"name":")" + model.name) +
            R"(","size":)" + std::to_string(model.size) +
            R"(,"share":0.5,"pace":1.0,"load_s":)" +
            std::to_string(model.load_s) + R"(,"warm_s":)" +
            std::to_string(model.warm_s) + "}";
  }
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-reply","host":"shop.example",)"
         R"("path_prefix":"/reply/","kind":"streaming","timeout_ms":)" +
         std::to_string(timeout_ms) +
         R"(,"slo_ms":300,"priority":1,"service":"menu-llm","attempts":2,)"
         R"("public":false,"sticky":true,"resumable":true,"gap_slo_ms":200}],)"
         R"("services":[{"name":"menu-llm","health_path":"/healthz",)"
         R"("max_conns":526,"protocol":"h1","tls":false,"cold_start_s":3.0,)"
         R"("cold_per_s":36.0,"engine":{"slots":34,"kv_capacity":1860000,)"
         R"("kv_token_bytes":96256,"link_mbps":400000.0,"stride":5,)"
         R"("models":[)" +
         list +
         R"(],"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,)"
         R"("read_per_s":45900.0,"pairs_per_m":0.433,"chunk":2048,)"
         R"("report_lag_ms":200.0,"loads_per_s":3.0,"loads_at_once":6,)"
         R"("delays":[],"usual":{"prompt":919,"answer":135},"retained":1,)"
         R"("far_x":3.0,"form_ms":300.0}}],"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000},"tenants":[{"name":"team-1",)"
         R"("api_keys":["key-1"],"priority":1}]})";
}

}  // namespace review

#endif  // GOOSEBERRYTURN_REVIEW_ENGINE_H_
