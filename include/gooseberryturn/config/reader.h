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
  std::string path;      ///< Place, such as `services[0].groups.hosts`.
  std::string found;     ///< What stands there.
  std::string expected;  ///< What should stand there.
  int line = 0;          ///< Line of a syntax error, 0 when not known.
};

using Faults = std::vector<Fault>;

/// \brief Prints a fault as "file:line: path: found X, expected Y".
[[nodiscard]] std::string ToString(const Fault& fault, std::string_view file);

/// \brief Range of an integer value, both ends included.
struct Range {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

/// \brief A parsed JSON text with comments.
using JsonValue = cxxtools::SerializationInfo;

/// \brief Parses JSON with `//` and `/* */` comments.
/// \returns The tree, or the syntax error with its line.
[[nodiscard]] tl::expected<JsonValue, Faults> ParseJson(
    const std::string& text);

/// \brief Reads a whole file.
[[nodiscard]] tl::expected<std::string, Faults> ReadFile(
    const std::string& path);

/// \brief Reads the members of one JSON object and collects every fault.
///
/// \code
///   ObjectReader reader(tree, "", faults);
///   settings.workers = reader.Integer("workers", {1, 64}, 4);
///   reader.Finish();
/// \endcode
class ObjectReader {
 public:
  ObjectReader(const JsonValue& tree, std::string path, Faults& faults);

  /// \brief Integer in `range`; a missing key is a fault unless `fallback`.
  [[nodiscard]] std::int64_t Integer(
      const std::string& key, Range range,
      std::optional<std::int64_t> fallback = std::nullopt);
  /// \brief Non-empty string; a missing key is a fault unless `fallback`.
  [[nodiscard]] std::string String(
      const std::string& key,
      const std::optional<std::string>& fallback = std::nullopt);
  [[nodiscard]] bool Boolean(const std::string& key,
                             std::optional<bool> fallback = std::nullopt);
  /// \brief Member object, or null when it is missing (a fault).
  [[nodiscard]] const JsonValue* Object(const std::string& key);
  /// \brief Elements of a member array; missing is a fault unless `optional`.
  [[nodiscard]] std::vector<const JsonValue*> Array(const std::string& key,
                                                    bool optional = false);

  /// \brief Place of member `key`.
  [[nodiscard]] std::string PathOf(const std::string& key) const;
  /// \brief Records a fault at member `key`.
  void Reject(const std::string& key, std::string found, std::string expected);
  /// \brief Reports duplicate keys and keys that were never asked for.
  void Finish();

 private:
  [[nodiscard]] const JsonValue* Find(const std::string& key, bool required,
                                      std::string_view expected);

  const JsonValue& tree;
  std::string path;
  Faults& faults;
  std::set<std::string> known;
};

/// \brief Place of element `index` of the array at `path`.
[[nodiscard]] std::string ElementPath(const std::string& path,
                                      std::size_t index);

}  // namespace gooseberryturn::config

#endif  // GOOSEBERRYTURN_CONFIG_READER_H_
