#include "gooseberryturn/app/server_main.h"
#include "gooseberryturn/config/settings.h"
#include "gooseberryturn/entry/entry.h"

namespace {

constexpr char kProgram[] = "gooseberryturn-entry";

}  // namespace

int main(int argc, char** argv) {
  using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)
  const app::CommandLine line =
      app::ParseCommandLine(argc, argv, kProgram, "entry for callers", false);
  return app::RunProgram<config::EntrySettings>(
      line, kProgram, config::ParseEntrySettings,
      app::RunServer<entry::Entry, config::EntrySettings>);
}
