#include "../../platform/run.h"
#include "gooseberryturn/direct/control_host.h"
#include "gooseberryturn/direct/control_relay.h"

namespace {

using namespace gooseberryturn;  // NOLINT(google-build-using-namespace)

int Run(const direct::HostSettings& settings) {
  return settings.data_folder.empty()
             ? platform::RunHost<direct::ControlRelay>(settings)
             : platform::RunHost<direct::ControlHost>(settings);
}

}  // namespace

int main(int argc, char** argv) {
  app::EndProcess(platform::Main(argc, argv, "gooseberryturn-direct-control",
                                 "control host of a fleet without agents",
                                 Run));
}
