// A zone's evacuation is withdrawn while one control host is frozen, then
// ordered again. When the frozen host wakes, it passes on the old withdrawal.

#include "../fleet.h"

using namespace review;

namespace {

constexpr int kEntries = 3;
constexpr int kRounds = 6;
constexpr int kFreezeMs = 3900;   // node_freeze on core: 4 s at most.
constexpr double kEvacuateS = 5;  // bounds.evacuate_ms
constexpr double kMaxSkewS = 5;   // bounds.max_skew_ms, see RULES, Outer
constexpr double kStableS = 3;    // bounds.stable_window_ms

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
  std::vector<std::unique_ptr<PlainServer>> servers;
  for (int zone = 0; zone < Fleet::kControls; ++zone) {
    servers.push_back(std::make_unique<PlainServer>(
        record, "i-" + std::to_string(zone), Address{fleet.Ip(31 + zone), 8120},
        fleet.Controls(), "reorder-app", Fleet::Zone(zone)));
  }
  PlainServer& evacuated = *servers[1];
  std::atomic<bool> is_over = false;
  std::atomic<int> served = 0;
  std::vector<std::thread> clients;
  for (int entry = 0; entry < kEntries; ++entry) {
    clients.emplace_back([&, entry] {
      for (int number = 1; !is_over; ++number) {
        const std::string id =
            "a" + std::to_string(entry) + "-" + std::to_string(number);
        const int status = Call(fleet.Front(entry), "GET", "/status/1",
                                {{"Host", "shop.example"},
                                 {"X-Gooseberryturn-Attempt-Id", id},
                                 {"X-Gooseberryturn-Deadline-Ms", "1500"},
                                 {"Authorization", "Bearer key-1"}},
                                "", Ms(1500))
                               .Status();
        served += status == 200 ? 1 : 0;
        Sleep(50);
      }
    });
  }
  const auto end = [&](int result) {
    is_over = true;
    for (std::thread& client : clients) {
      client.join();
    }
    record.Line("served " + std::to_string(served) + " requests");
    Finish(fleet, record, result);
  };
  if (!Eventually([&evacuated] { return evacuated.Runs().size() > 20; },
                  20000)) {
    end(kCouldNotRun);
  }
  const std::string path = "/api/evacuations/" + evacuated.zone_name();
  if (fleet.Order(record, "POST", path, "", 0) != 200) {
    end(kCouldNotRun);
  }
  const auto count_runs_after = [&evacuated](double from_s) {
    int count = 0;
    for (const Run& run : evacuated.Runs()) {
      count += run.at_s > from_s ? 1 : 0;
    }
    return count;
  };
  double acknowledged_s = 0;
  double woken_s = 0;
  for (int round = 1; round <= kRounds; ++round) {
    Sleep(2000);
    // The operator reads the configuration from each host.
    for (int host = 0; host < Fleet::kControls; ++host) {
      fleet.Order(record, "GET", "/api/config", "", host);
    }
    const int leader = fleet.Leader();
    if (leader < 0) {
      end(kCouldNotRun);
    }
    const int frozen = (leader + 1) % Fleet::kControls;
    Process& host = *fleet.controls[static_cast<std::size_t>(frozen)];
    if (has_trouble) {
      host.Signal(SIGSTOP);
      record.Line("control " + std::to_string(frozen) + " freezes");
    }
    const Steady::time_point wakes_at = Steady::now() + Ms(kFreezeMs);
    // The operator calls the frozen host first, and the next one after a
    // second.
    if (fleet.Order(record, "DELETE", path, "", frozen) != 200) {
      end(kCouldNotRun);
    }
    Sleep(1000);
    if (fleet.Order(record, "POST", path, "", leader) != 200) {
      end(kCouldNotRun);
    }
    acknowledged_s = record.Seconds();
    std::this_thread::sleep_until(wakes_at);
    if (has_trouble) {
      host.Signal(SIGCONT);
      record.Line("control " + std::to_string(frozen) + " wakes");
    }
    woken_s = record.Seconds();
    Sleep(4000);
    if (count_runs_after(woken_s + 2) > 0) {
      break;
    }
  }
  const double from_s =
      std::max(acknowledged_s + kEvacuateS + kMaxSkewS, woken_s + 2 * kStableS);
  while (record.Seconds() < from_s + 5) {
    Sleep(100);
  }
  const int late = count_runs_after(from_s);
  record.Line("EVAC: " + std::to_string(late) + " requests reached " +
              evacuated.zone_name() + " later than " +
              std::to_string(from_s - acknowledged_s) +
              " s after its evacuation was acknowledged; it was not taken "
              "back since");
  end(late > 0 ? kBroken : kHeld);
}
