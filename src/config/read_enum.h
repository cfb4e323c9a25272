#ifndef GOOSEBERRYTURN_SRC_CONFIG_READ_ENUM_H_
#define GOOSEBERRYTURN_SRC_CONFIG_READ_ENUM_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::config {

/// \brief Reads the name of an enumeration value; an unknown name is a fault
/// that lists the valid ones.
template <typename Enum, std::size_t Size>
[[nodiscard]] Enum ReadEnum(
    ObjectReader& reader, const std::string& key,
    const NameTable<Enum, Size>& names,
    const std::optional<std::string>& fallback = std::nullopt) {
  const std::string name = reader.String(key, fallback);
  const std::optional<Enum> value = names.Find(name);
  if (!value.has_value() && !name.empty()) {
    std::string expected;
    for (const std::string_view valid_name : names.names) {
      expected +=
          (expected.empty() ? "\"" : " or \"") + std::string(valid_name) + "\"";
    }
    reader.AddFault(key, "\"" + name + "\"", expected);
  }
  return value.value_or(Enum{});
}

}  // namespace gooseberryturn::config

#endif  // GOOSEBERRYTURN_SRC_CONFIG_READ_ENUM_H_
