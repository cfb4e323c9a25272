// Checks a document and prints every fault with its position:
//   check-document examples/thuc-don-ben.json
#include <iostream>
#include <string>

#include "gooseberryturn/config/document.h"

int main(int argc, char** argv) {
  using namespace gooseberryturn::config;  // NOLINT
  if (argc != 2) {
    std::cerr << "usage: check-document FILE\n";
    return 2;
  }
  const tl::expected<std::string, Faults> text = ReadFile(argv[1]);
  const tl::expected<Document, Faults> document = text.and_then(
      [](const std::string& bytes) { return ParseDocument(bytes); });
  if (!document.has_value()) {
    for (const Fault& fault : document.error()) {
      std::cerr << ToString(fault, argv[1]) << "\n";
    }
    return 2;
  }
  std::cout << document->environment << ": " << document->services.size()
            << " services, " << document->teams.size() << " teams\n";
  return 0;
}
