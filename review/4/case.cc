// One of three servers spoils a few of its answers: after the last chunk comes
// a trailer line of 70,000 bytes.

#include "../fleet.h"

using namespace review;

namespace {

constexpr int kEntries = 2;
constexpr int kClients = 40;          // Kept connections, half to each entry.
constexpr double kSpoilShare = 0.02;  // garble: x = 0.02, share = 0.35
constexpr double kSpoilS = 5.5;       // garble: for_s = 5.5
constexpr std::size_t kTrailerBytes = 70000;
constexpr int kAllowedLosses = 3;  // LOST: "more than three times"

std::string Configuration() {
  return R"({"version":1,"routes":[{"name":"r-status","host":"shop.example",)"
         R"("path_prefix":"/status/","kind":"safe","timeout_ms":800,)"
         R"("slo_ms":300,"priority":2,"service":"reorder-app","attempts":2,)"
         R"("public":false,"sticky":false}],"services":[{"name":"reorder-app",)"
         R"("health_path":"/healthz","max_conns":130,"protocol":"h1",)"
         R"("tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":)"
         R"({"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":)"
         R"([{"name":"team-1","api_keys":["key-1"]}]})";
}

}  // namespace

int main(int, char** argv) {
  const bool has_trouble = std::string(argv[1]) != "0";
  Record record(argv[2]);
  Fleet fleet(kEntries);
  if (!Eventually([&fleet] { return fleet.Leader() >= 0; }, 20000) ||
      fleet.Order(record, "PUT", "/api/config", Configuration(), 0, 10000) !=
          200) {
    Finish(fleet, record, kCouldNotRun);
  }
  std::atomic<bool> is_spoiling = false;
  std::mutex mutex;
  std::mt19937 random(1);
  std::vector<std::unique_ptr<PlainServer>> servers;
  for (int zone = 0; zone < Fleet::kControls; ++zone) {
    servers.push_back(std::make_unique<PlainServer>(
        record, "i-" + std::to_string(zone), Address{fleet.Ip(31 + zone), 8120},
        fleet.Controls(), "reorder-app", Fleet::Zone(zone)));
    servers.back()->work_ms = 100;
  }
  // No entry is in the zone of the faulty server.
  servers[2]->spoil = [&](const std::string& attempt) -> std::string {
    const std::lock_guard<std::mutex> guard(mutex);
    const double draw = std::uniform_real_distribution<double>(0, 1)(random);
    if (!is_spoiling || draw >= kSpoilShare) {
      return "";
    }
    return "HTTP/1.1 200 OK\r\nX-Gooseberryturn-Attempt-Id: " + attempt +
           "\r\nX-Gooseberryturn-Server-Seal: i-2\r\n"
           "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Spoilt: " +
           std::string(kTrailerBytes, 'x') + "\r\n\r\n";
  };
  if (!Eventually(
          [&] {
            return std::all_of(servers.begin(), servers.end(),
                               [](const std::unique_ptr<PlainServer>& server) {
                                 return server->is_announced.load();
                               }) &&
                   fleet.IsEntryReady(0) && fleet.IsEntryReady(1);
          },
          20000)) {
    Finish(fleet, record, kCouldNotRun);
  }
  Sleep(500);

  std::atomic<bool> is_over = false;
  std::atomic<int> served = 0;
  /// Attempts that a kept connection took, and that ended without an answer.
  std::vector<std::pair<int, std::string>> unanswered;
  std::vector<std::thread> clients;
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      const int entry = client % kEntries;
      int fd = -1;
      bool is_kept = false;
      for (int number = 1; !is_over; ++number) {
        const std::string id =
            "a" + std::to_string(client) + "-" + std::to_string(number);
        if (fd < 0) {
          fd = Connect(fleet.Front(entry), Ms(1000));
          is_kept = false;
        }
        if (fd < 0) {
          Sleep(100);
          continue;
        }
        SetTimeout(fd, Ms(1500));
        Message answer;
        const bool is_sent =
            SendAll(fd, WriteRequest("GET", "/status/1",
                                     {{"Host", "shop.example"},
                                      {"X-Gooseberryturn-Attempt-Id", id},
                                      {"X-Gooseberryturn-Deadline-Ms", "1500"},
                                      {"Authorization", "Bearer key-1"}},
                                     ""));
        const bool is_answered = Reader(fd).Read(answer);
        served += is_answered && answer.Status() == 200 ? 1 : 0;
        if (!is_answered && is_sent && is_kept) {
          const std::lock_guard<std::mutex> guard(mutex);
          unanswered.push_back({entry, id});
        }
        is_kept = true;
        if (!is_answered || answer.Get("Connection") == "close") {
          close(fd);
          fd = -1;
        }
        Sleep(20);
      }
    });
  }
  Sleep(3000);
  is_spoiling = has_trouble;
  std::vector<int> ends(kEntries, 0);
  const double until_s = record.Seconds() + kSpoilS + 3;
  while (record.Seconds() < until_s) {
    is_spoiling = is_spoiling && record.Seconds() < until_s - 3;
    for (int entry = 0; entry < kEntries; ++entry) {
      Process& process = *fleet.entries[static_cast<std::size_t>(entry)];
      if (process.HasEnded()) {
        ends[static_cast<std::size_t>(entry)] += 1;
        record.Line("entry " + std::to_string(entry) +
                    " ended by itself with " + process.HowEnded());
        Sleep(300);
        process.Start();  // The platform does, after a short delay.
      }
    }
    Sleep(20);
  }
  is_over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  // Only requests that had reached a sound server count.
  std::set<std::string> at_sound_servers;
  for (std::size_t sound = 0; sound < 2; ++sound) {
    for (const Run& run : servers[sound]->Runs()) {
      at_sound_servers.insert(run.attempt);
    }
  }
  int most = 0;
  for (int entry = 0; entry < kEntries; ++entry) {
    int losses = 0;
    for (const std::pair<int, std::string>& lost : unanswered) {
      const bool counts =
          lost.first == entry && at_sound_servers.count(lost.second) > 0;
      losses += counts ? 1 : 0;
      if (counts) {
        record.Line("LOST: " + lost.second + " was at a sound server; entry " +
                    std::to_string(entry) + " closed its kept connection");
      }
    }
    record.Line("entry " + std::to_string(entry) + ": ended by itself " +
                std::to_string(ends[static_cast<std::size_t>(entry)]) +
                " times, closed " + std::to_string(losses) +
                " kept connections without an answer");
    most = std::max(most, losses);
  }
  record.Line("served " + std::to_string(served));
  Finish(fleet, record, most > kAllowedLosses ? kBroken : kHeld);
}
