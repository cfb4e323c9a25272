#ifndef GOOSEBERRYTURN_SRC_CONFIG_READ_NAMED_H_
#define GOOSEBERRYTURN_SRC_CONFIG_READ_NAMED_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::config {

/// \brief Value of an enumeration by its name; a fault lists the names.
template <typename Enum, std::size_t Size>
[[nodiscard]] Enum ReadNamed(
    ObjectReader& reader, const std::string& key,
    const NameTable<Enum, Size>& names,
    const std::optional<std::string>& fallback = std::nullopt) {
  const std::string name = reader.String(key, fallback);
  const std::optional<Enum> found = names.Find(name);
  if (!found.has_value() && !name.empty()) {
    std::string expected;
    for (const std::string_view known : names.names) {
      expected +=
          (expected.empty() ? "\"" : " or \"") + std::string(known) + "\"";
    }
    reader.Reject(key, "\"" + name + "\"", expected);
  }
  return found.value_or(Enum{});
}

}  // namespace gooseberryturn::config

#endif  // GOOSEBERRYTURN_SRC_CONFIG_READ_NAMED_H_
