#include "../../platform/run.h"
#include "gooseberryturn/direct/entry_host.h"

int main(int argc, char** argv) {
  using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)
  app::EndProcess(platform::Main(argc, argv, "gooseberryturn-direct-entry",
                                 "entry that reaches targets without agents",
                                 platform::RunHost<direct::EntryHost>));
}
