// Heartbeats from another writer that can't be read: a chunked body, and after
// its last chunk a trailer line of 70,000 bytes.

#include "../fleet.h"

using namespace review;

namespace {

constexpr std::size_t kTrailerBytes = 70000;
constexpr int kHeartbeatMs = 1200;
constexpr int kBeats = 8;
constexpr int kEndsOfFault = 3;  // Fault: "three times in the day"

std::string Configuration(int version) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-status","host":"shop.example",)"
         R"("path_prefix":"/status/","kind":"safe","timeout_ms":800,)"
         R"("slo_ms":300,"priority":2,"service":"reorder-app","attempts":2,)"
         R"("public":false,"sticky":false}],"services":[{"name":"reorder-app",)"
         R"("health_path":"/healthz","max_conns":130,"protocol":"h1",)"
         R"("tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":)"
         R"({"max_header_bytes":16384,"max_body_bytes":4194304,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":)"
         R"([{"name":"team-1","api_keys":["key-1"]}]})";
}

/// \returns Whether the host answered within a second.
bool SendOddBeat(const Address& control, int number) {
  const int fd = Connect(control, Ms(1000));
  Message answer;
  if (fd < 0) {
    return false;
  }
  const bool is_answered =
      SendAll(fd,
              "PUT /api/instances/other-1 HTTP/1.1\r\nHost: " + control.Text() +
                  "\r\nContent-Type: application/json\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
                  "0\r\nX-Beat-" +
                  std::to_string(number) + ": " +
                  std::string(kTrailerBytes, 'x') + "\r\n\r\n") &&
      Reader(fd).Read(answer);
  close(fd);
  return is_answered;
}

}  // namespace

int main(int, char** argv) {
  const bool has_trouble = std::string(argv[1]) != "0";
  Record record(argv[2]);
  Fleet fleet(1);
  if (!Eventually([&fleet] { return fleet.Leader() >= 0; }, 20000) ||
      fleet.Order(record, "PUT", "/api/config", Configuration(1), 0, 10000) !=
          200) {
    Finish(fleet, record, kCouldNotRun);
  }
  std::vector<int> ends(Fleet::kControls, 0);
  int next = 0;
  for (int beat = 1; beat <= kBeats; ++beat) {
    const Steady::time_point next_beat_at = Steady::now() + Ms(kHeartbeatMs);
    for (int host = 0; has_trouble && host < Fleet::kControls; ++host) {
      const bool is_answered = SendOddBeat(fleet.Control(next), beat);
      record.Line("another writer: heartbeat to control " +
                  std::to_string(next) + ": " +
                  (is_answered ? "answered" : "no answer"));
      if (is_answered) {
        break;
      }
      next = (next + 1) % Fleet::kControls;  // As servers do.
    }
    while (Steady::now() < next_beat_at) {
      for (int host = 0; host < Fleet::kControls; ++host) {
        Process& control = *fleet.controls[static_cast<std::size_t>(host)];
        if (control.HasEnded()) {
          ends[static_cast<std::size_t>(host)] += 1;
          record.Line("control " + std::to_string(host) +
                      " ended by itself with " + control.HowEnded());
          Sleep(100);
          control.Start();  // The platform does, after a short delay.
        }
      }
      Sleep(20);
    }
  }
  int faulty_hosts = 0;
  for (int host = 0; host < Fleet::kControls; ++host) {
    const int count = ends[static_cast<std::size_t>(host)];
    record.Line("control " + std::to_string(host) + " ended by itself " +
                std::to_string(count) + " times");
    faulty_hosts += count >= kEndsOfFault ? 1 : 0;
  }
  Finish(fleet, record, 2 * faulty_hosts > Fleet::kControls ? kBroken : kHeld);
}
