#include "gooseberryturn/app/server_main.h"
#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/entry/entry.h"

namespace {

constexpr char kProgram[] = "gooseberryturn-entry";

}  // namespace

int main(int argc, char** argv) {
  using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)
  const app::CommandLine command_line = app::ParseCommandLine(
      argc, argv, kProgram, "entry that accepts requests from callers", false);
  app::EndProcess(app::RunProgram<config::EntrySettings>(
      command_line, kProgram, config::ParseEntrySettings,
      app::RunServer<entry::Entry, config::EntrySettings>));
}
