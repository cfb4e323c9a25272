#include "status_page.h"

#include <iostream>
#include <string>

#include "api.h"

namespace gooseberryturn::ctl {

void PrintStatus(const config::JsonValue& tree) {
  std::cout << "document version " << Text(tree, "version") << ", digest "
            << Text(tree, "digest") << "\n\ncontrol hosts\n";
  for (const config::JsonValue* host : Items(tree, "control")) {
    std::cout << "  " << Text(*host, "id") << "  " << Text(*host, "http")
              << (IsTrue(*host, "voter") ? "  voter" : "  learner")
              << (IsTrue(*host, "leader") ? ", leads" : "")
              << (IsTrue(*host, "lost_disk")
                      ? ", LOST ITS DISK: replace it under a new id"
                      : "")
              << ", " << Text(*host, "entries_behind") << " entries behind\n";
  }
  std::cout << "\ndata centres\n";
  for (const config::JsonValue* place : Items(tree, "data_centres")) {
    std::cout << "  " << Text(*place, "name") << "  "
              << (IsTrue(*place, "out") ? "OUT, gets no new work" : "in")
              << "\n";
  }
  std::cout << "\nservices\n";
  for (const config::JsonValue* service : Items(tree, "services")) {
    std::cout << "  " << Text(*service, "name") << "  "
              << Text(*service, "kind") << ", "
              << Text(*service, "groups_formed") << " of "
              << Text(*service, "groups_wanted") << " groups formed\n";
  }
  std::cout << "\ngroups\n";
  for (const config::JsonValue* group : Items(tree, "groups")) {
    std::cout << "  " << Text(*group, "name") << "  "
              << Text(*group, "data_centre") << "/"
              << Text(*group, "fabric_domain") << "  ";
    if (IsTrue(*group, "serving")) {
      std::cout << "serving, " << Text(*group, "in_flight") << " of "
                << Text(*group, "limit") << " in flight\n";
    } else {
      std::cout << "NOT SERVING: " << Text(*group, "why") << "\n";
    }
  }
  std::cout << "\nhosts that need a look\n";
  for (const config::JsonValue* host : Items(tree, "hosts")) {
    const bool is_agent = Text(*host, "role") == "agent";
    const bool is_ready = !is_agent || IsTrue(*host, "target_ready");
    if (IsTrue(*host, "alive") && is_ready && !IsTrue(*host, "drained")) {
      continue;
    }
    std::cout << "  " << Text(*host, "name") << "  " << Text(*host, "role")
              << (IsTrue(*host, "alive") ? "" : ", not heard of")
              << (is_ready ? "" : ", target not ready")
              << (IsTrue(*host, "drained") ? ", drained" : "") << "\n";
  }
  for (const config::JsonValue* item : Items(tree, "quarantined")) {
    std::string fingerprint;
    item->getValue(fingerprint);
    std::cout << "\nquarantined request " << fingerprint << "\n";
  }
}

}  // namespace gooseberryturn::ctl
