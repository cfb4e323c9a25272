#ifndef GOOSEBERRYTURN_CORE_NAME_TABLE_H_
#define GOOSEBERRYTURN_CORE_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace gooseberryturn {

/// \brief Names of the values of an enumeration, indexed by value.
///
/// \details The enumeration must start at zero without gaps.
template <typename Enum, std::size_t Size>
struct NameTable {
  std::array<std::string_view, Size> names;

  /// \brief Name of `value`, or "invalid" when out of range.
  [[nodiscard]] constexpr std::string_view Name(Enum value) const noexcept {
    const std::size_t index = static_cast<std::size_t>(value);
    return index < Size ? this->names[index] : std::string_view("invalid");
  }

  /// \brief Value called `name`, or nothing.
  [[nodiscard]] constexpr std::optional<Enum> Find(
      std::string_view name) const noexcept {
    for (std::size_t index = 0; index < Size; ++index) {
      if (this->names[index] == name) {
        return static_cast<Enum>(index);
      }
    }
    return std::nullopt;
  }
};

}  // namespace gooseberryturn

#endif  // GOOSEBERRYTURN_CORE_NAME_TABLE_H_
