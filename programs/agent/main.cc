#include "gooseberryturn/agent/agent.h"
#include "gooseberryturn/app/server_main.h"
#include "gooseberryturn/config/settings.h"

namespace {

constexpr char kProgram[] = "gooseberryturn-agent";

}  // namespace

int main(int argc, char** argv) {
  using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv, kProgram, "agent that runs beside one target", false);
  app::EndProcess(app::RunProgram<config::AgentSettings>(
      command_line, kProgram, config::ParseAgentSettings,
      app::RunServer<agent::Agent, config::AgentSettings>));
}
