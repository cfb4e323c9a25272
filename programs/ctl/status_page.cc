#include "status_page.h"

#include <iostream>
#include <string>

#include "api.h"

namespace gooseberryturn::ctl {

void PrintStatus(const config::JsonValue& tree) {
  std::cout << "document version " << GetText(tree, "version") << ", digest "
            << GetText(tree, "digest") << "\n\ncontrol hosts\n";
  for (const config::JsonValue* host : GetItems(tree, "control")) {
    std::cout << "  " << GetText(*host, "id") << "  " << GetText(*host, "http")
              << (IsTrue(*host, "voter") ? "  voter" : "  learner")
              << (IsTrue(*host, "leader") ? ", leads" : "")
              << (IsTrue(*host, "lost_disk")
                      ? ", LOST ITS DISK: replace it under a new id"
                      : "")
              << ", " << GetText(*host, "entries_behind")
              << " entries behind\n";
  }
  std::cout << "\ndata centres\n";
  for (const config::JsonValue* data_centre : GetItems(tree, "data_centres")) {
    std::cout << "  " << GetText(*data_centre, "name") << "  "
              << (IsTrue(*data_centre, "out") ? "OUT, gets no new work" : "in")
              << "\n";
  }
  std::cout << "\nservices\n";
  for (const config::JsonValue* service : GetItems(tree, "services")) {
    std::cout << "  " << GetText(*service, "name") << "  "
              << GetText(*service, "kind") << ", "
              << GetText(*service, "groups_formed") << " of "
              << GetText(*service, "groups_wanted") << " groups formed\n";
  }
  std::cout << "\ngroups\n";
  for (const config::JsonValue* group : GetItems(tree, "groups")) {
    std::cout << "  " << GetText(*group, "name") << "  "
              << GetText(*group, "data_centre") << "/"
              << GetText(*group, "fabric_domain") << "  ";
    if (IsTrue(*group, "serving")) {
      std::cout << "serving, " << GetText(*group, "in_flight") << " of "
                << GetText(*group, "limit") << " in flight\n";
    } else {
      std::cout << "NOT SERVING: " << GetText(*group, "why") << "\n";
    }
  }
  std::cout << "\nhosts that need attention\n";
  for (const config::JsonValue* host : GetItems(tree, "hosts")) {
    const bool is_agent = GetText(*host, "role") == "agent";
    const bool is_target_ready = !is_agent || IsTrue(*host, "target_ready");
    if (IsTrue(*host, "alive") && is_target_ready &&
        !IsTrue(*host, "drained")) {
      continue;
    }
    std::cout << "  " << GetText(*host, "name") << "  "
              << GetText(*host, "role")
              << (IsTrue(*host, "alive") ? "" : ", not heard of")
              << (is_target_ready ? "" : ", target not ready")
              << (IsTrue(*host, "drained") ? ", drained" : "") << "\n";
  }
  for (const config::JsonValue* item : GetItems(tree, "quarantined")) {
    std::string fingerprint;
    item->getValue(fingerprint);
    std::cout << "\nquarantined request " << fingerprint << "\n";
  }
}

}  // namespace gooseberryturn::ctl
