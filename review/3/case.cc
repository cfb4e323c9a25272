// A heartbeat from another writer, for a service that no configuration names,
// comes in under the address of a running head.

#include "../engine.h"

using namespace review;

int main(int, char** argv) {
  const bool has_trouble = std::string(argv[1]) != "0";
  Record record(argv[2]);
  Fleet fleet(1);
  Engines engines;
  engines.models = {{"m0", 4, 16.0, 1.6}, {"m1", 2, 12.0, 1.1}};
  if (!Eventually([&fleet] { return fleet.Leader() >= 0; }, 20000) ||
      fleet.Order(record, "PUT", "/api/config",
                  EngineConfiguration(1, 6000, engines.models), 0,
                  10000) != 200) {
    Finish(fleet, record, kCouldNotRun);
  }
  std::vector<std::unique_ptr<EngineServer>> servers;
  for (int number = 0; number < 10; ++number) {
    servers.push_back(std::make_unique<EngineServer>(
        record, engines, "i-" + std::to_string(number),
        Address{fleet.Ip(31 + number), 8120}, fleet.Controls(), "menu-llm",
        Fleet::Zone(0), "d0"));
  }
  const auto find_head = [&]() -> EngineServer* {
    const std::lock_guard<std::recursive_mutex> guard(engines.mutex);
    for (const std::unique_ptr<EngineServer>& server : servers) {
      if (server->IsServingHead()) {
        return server.get();
      }
    }
    return nullptr;
  };
  if (!Eventually([&] { return find_head() != nullptr; }, 30000)) {
    Finish(fleet, record, kCouldNotRun);
  }
  Sleep(6000);
  EngineServer* head = find_head();
  if (head == nullptr || !engines.two.empty()) {
    Finish(fleet, record, kCouldNotRun);
  }
  if (has_trouble) {
    const std::string body =
        R"({"service":"not-named","address":")" + head->where().Text() +
        R"(","zone":"vn-south-a","version":"v1","slots":34,"state":"ready",)"
        R"("cold_left_ms":0,"born":)" +
        std::to_string(UnixMs()) + R"(,"seq":1})";
    const int status =
        Call(fleet.Control(0), "PUT", "/api/instances/other-1",
             {{"Content-Type", "application/json"}}, body, Ms(1000))
            .Status();
    record.Line("another writer: PUT /api/instances/other-1 " + body + ": " +
                std::to_string(status));
  }
  Sleep(20000);
  const std::lock_guard<std::recursive_mutex> guard(engines.mutex);
  record.Line("TWO: " + std::to_string(engines.two.size()) + " times");
  Finish(fleet, record, engines.two.empty() ? kHeld : kBroken);
}
