// A new configuration no longer has one of the models of a service.

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
  const auto open_groups = [&](const std::string& model) {
    const std::lock_guard<std::recursive_mutex> guard(engines.mutex);
    int count = 0;
    for (const std::unique_ptr<EngineServer>& server : servers) {
      count += server->IsServingHead() && server->group_model() == model;
    }
    return count;
  };
  if (!Eventually(
          [&] { return open_groups("m0") > 0 && open_groups("m1") > 0; },
          30000)) {
    Finish(fleet, record, kCouldNotRun);
  }
  Sleep(10000);
  for (const std::unique_ptr<EngineServer>& server : servers) {
    const std::lock_guard<std::recursive_mutex> guard(engines.mutex);
    record.Line(
        server->name() + ": " + server->group_name() + " " +
        server->group_state() + " " + server->group_model() + ", staged " +
        (server->staged_models().empty() ? "-" : server->staged_models()[0]));
  }
  std::vector<Model> next = engines.models;
  int timeout_ms = 5000;
  if (has_trouble) {
    next.pop_back();
    timeout_ms = 6000;
  }
  const int status =
      fleet.Order(record, "PUT", "/api/config",
                  EngineConfiguration(2, timeout_ms, next), 1, 10000);
  if (status != 200) {
    Finish(fleet, record, kCouldNotRun);
  }
  std::vector<int> ends(Fleet::kControls, 0);
  const double until_s = record.Seconds() + 30;
  while (record.Seconds() < until_s) {
    for (int host = 0; host < Fleet::kControls; ++host) {
      Process& control = *fleet.controls[static_cast<std::size_t>(host)];
      if (control.HasEnded()) {
        ends[static_cast<std::size_t>(host)] += 1;
        record.Line("control " + std::to_string(host) +
                    " ended by itself with " + control.HowEnded());
        // The platform starts it again after a short delay.
        Sleep(500);
        control.Start();
      }
    }
    Sleep(50);
  }
  const Message read_back =
      Call(fleet.Control(0), "GET", "/api/config", {}, "", Ms(1000));
  record.Line("operator: GET /api/config from control 0: " +
              std::to_string(read_back.Status()));
  // Fault: on half of the core, processes end by themselves three times.
  int faulty_hosts = 0;
  for (int host = 0; host < Fleet::kControls; ++host) {
    const int count = ends[static_cast<std::size_t>(host)];
    record.Line("control " + std::to_string(host) + " ended by itself " +
                std::to_string(count) + " times");
    faulty_hosts += count >= 3 ? 1 : 0;
  }
  Finish(fleet, record, 2 * faulty_hosts > Fleet::kControls ? kBroken : kHeld);
}
