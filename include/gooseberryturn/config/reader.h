#ifndef GOOSEBERRYTURN_CONFIG_READER_H_
#define GOOSEBERRYTURN_CONFIG_READER_H_

#include <cxxtools/serializationinfo.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace gooseberryturn::config {

/// \brief One fault in a settings file or a document.
struct Fault {
  std::string path;      ///< Path of the value, such as `services[0].name`.
  std::string found;     ///< The value that was found.
  std::string expected;  ///< What would be valid.
  int line = 0;          ///< Line of a syntax error, 0 if not known.
};

using Faults = std::vector<Fault>;

/// \brief Formats a fault as "file:line: path: found X, expected Y".
[[nodiscard]] std::string ToString(const Fault& fault, std::string_view file);

/// \brief Allowed range of an integer, inclusive.
struct Range {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// \brief A parsed JSON value.
using JsonValue = cxxtools::SerializationInfo;

/// \brief Parses JSON with `//` and `/* */` comments.
/// \returns The top-level object, or a fault such as a syntax error, with its
/// line if known.
[[nodiscard]] tl::expected<JsonValue, Faults> ParseJson(
    const std::string& text);

/// \brief Reads a whole file.
/// \returns The text, or a fault if the file cannot be opened.
[[nodiscard]] tl::expected<std::string, Faults> ReadFile(
    const std::string& path);

/// \brief Reads the members of one JSON object and appends each fault to a
/// list.
///
/// \details The object and the list must outlive the reader. After a fault,
/// Integer returns the minimum of the range, String an empty string, Boolean
/// false and Array no elements.
///
/// \code
///   ObjectReader reader(object, "", faults);
///   settings.workers = reader.Integer("workers", {1, 64}, 4);
///   reader.Finish();
/// \endcode
class ObjectReader {
 public:
  ObjectReader(const JsonValue& object, std::string path, Faults& faults);

  /// \brief Integer in `range`; a missing key is a fault unless `fallback` is
  /// given.
  [[nodiscard]] std::int64_t Integer(
      const std::string& key, Range range,
      std::optional<std::int64_t> fallback = std::nullopt);
  /// \brief Non-empty string; a missing key is a fault unless `fallback` is
  /// given.
  [[nodiscard]] std::string String(
      const std::string& key,
      const std::optional<std::string>& fallback = std::nullopt);
  /// \brief Boolean; a missing key is a fault unless `fallback` is given.
  [[nodiscard]] bool Boolean(const std::string& key,
                             std::optional<bool> fallback = std::nullopt);
  /// \brief Object, or null if it is missing or of another type; both are
  /// faults.
  [[nodiscard]] const JsonValue* Object(const std::string& key);
  /// \brief Elements of an array; a missing key is a fault unless `optional`.
  [[nodiscard]] std::vector<const JsonValue*> Array(const std::string& key,
                                                    bool optional = false);

  /// \brief Path of member `key`, for faults.
  [[nodiscard]] std::string PathOf(const std::string& key) const;
  /// \brief Adds a fault for member `key`.
  void AddFault(const std::string& key, std::string found,
                std::string expected);
  /// \brief Adds a fault for each duplicate key and each key that was not read.
  void Finish();

 private:
  /// \brief Looks up a member and marks its key as known.
  [[nodiscard]] const JsonValue* Find(const std::string& key, bool required,
                                      std::string_view expected);

  const JsonValue& object;
  std::string path;
  Faults& faults;
  std::set<std::string> known;
};

/// \brief Path of element `index` of the array at `path`, for faults.
[[nodiscard]] std::string ElementPath(const std::string& path,
                                      std::size_t index);

}  // namespace gooseberryturn::config

#endif  // GOOSEBERRYTURN_CONFIG_READER_H_
