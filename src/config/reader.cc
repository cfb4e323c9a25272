#include "gooseberryturn/config/reader.h"

#include <cxxtools/jsondeserializer.h>

#include <algorithm>
#include <charconv>
#include <exception>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

namespace gooseberryturn::config {

namespace {

constexpr std::size_t kMaxDescribedCharacters = 40;
constexpr std::size_t kMaxNesting = 64;

/// Line at which JSON is nested deeper than kMaxNesting, or std::nullopt. Takes
/// linear time; brackets in strings and comments do not count.
std::optional<int> FindDeepNesting(const std::string& text) {
  int line = 1;
  std::size_t depth = 0;
  bool in_string = false;
  for (std::size_t position = 0; position < text.size(); ++position) {
    const char character = text[position];
    line += character == '\n' ? 1 : 0;
    if (in_string) {
      position += character == '\\' ? 1 : 0;
      in_string = character != '"';
      continue;
    }
    const bool is_line_comment = text.compare(position, 2, "//") == 0;
    if (is_line_comment || text.compare(position, 2, "/*") == 0) {
      const std::size_t end =
          text.find(is_line_comment ? "\n" : "*/", position + 2);
      line += static_cast<int>(std::count(
          text.begin() + static_cast<std::ptrdiff_t>(position),
          text.begin() +
              static_cast<std::ptrdiff_t>(std::min(end, text.size())),
          '\n'));
      position = std::min(end, text.size()) - 1;
      continue;
    }
    in_string = character == '"';
    const bool is_opening = character == '[' || character == '{';
    const bool is_closing = character == ']' || character == '}';
    depth += is_opening ? 1 : 0;
    depth -= is_closing && depth > 0 ? 1 : 0;
    if (depth > kMaxNesting) {
      return line;
    }
  }
  return std::nullopt;
}

std::string Describe(const JsonValue& value) {
  if (value.category() == JsonValue::Object) {
    return "an object";
  }
  if (value.category() == JsonValue::Array) {
    return "an array";
  }
  if (value.typeName() == "null") {
    return "null";
  }
  std::string text;
  value.getValue(text);
  if (text.size() > kMaxDescribedCharacters) {
    text = text.substr(0, kMaxDescribedCharacters) + "...";
  }
  return value.typeName() == "string" ? "\"" + text + "\"" : text;
}

std::size_t EditDistance(const std::string& left, const std::string& right) {
  std::vector<std::size_t> row(right.size() + 1);
  for (std::size_t column = 0; column <= right.size(); ++column) {
    row[column] = column;
  }
  for (std::size_t row_index = 1; row_index <= left.size(); ++row_index) {
    std::size_t diagonal = row[0];
    row[0] = row_index;
    for (std::size_t column = 1; column <= right.size(); ++column) {
      const std::size_t substitution =
          diagonal + (left[row_index - 1] == right[column - 1] ? 0 : 1);
      diagonal = row[column];
      row[column] =
          std::min({row[column] + 1, row[column - 1] + 1, substitution});
    }
  }
  return row[right.size()];
}

std::string ClosestKey(const std::string& key,
                       const std::set<std::string>& known) {
  std::string best;
  std::size_t best_distance = key.size();
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(key, candidate);
    if (distance < best_distance) {
      best_distance = distance;
      best = candidate;
    }
  }
  return best;
}

int LineFromMessage(const std::string& message) {
  const std::string marker = "line ";
  const std::size_t start = message.find(marker);
  if (start == std::string::npos) {
    return 0;
  }
  int line = 0;
  std::from_chars(message.data() + start + marker.size(),
                  message.data() + message.size(), line);
  return line;
}

/// Returns true if the rest of the input is only whitespace and comments.
bool OnlyWhitespaceLeft(std::istream& input) {
  std::string rest((std::istreambuf_iterator<char>(input)),
                   std::istreambuf_iterator<char>());
  std::size_t position = 0;
  while (position < rest.size()) {
    if (std::isspace(static_cast<unsigned char>(rest[position])) != 0) {
      ++position;
    } else if (rest.compare(position, 2, "//") == 0) {
      position = std::min(rest.find('\n', position), rest.size());
    } else if (rest.compare(position, 2, "/*") == 0) {
      const std::size_t end = rest.find("*/", position + 2);
      if (end == std::string::npos) {
        return false;
      }
      position = end + 2;
    } else {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string ToString(const Fault& fault, std::string_view file) {
  std::string text(file);
  if (fault.line > 0) {
    text += ":" + std::to_string(fault.line);
  }
  text += ": ";
  if (!fault.path.empty()) {
    text += fault.path + ": ";
  }
  return text + "found " + fault.found + ", expected " + fault.expected;
}

tl::expected<JsonValue, Faults> ParseJson(const std::string& text) {
  // The parser below is recursive and gets slower with each level, so deep
  // nesting is refused before it runs.
  const std::optional<int> deep_line = FindDeepNesting(text);
  if (deep_line.has_value()) {
    return tl::make_unexpected(
        Faults{{"", "nesting deeper than " + std::to_string(kMaxNesting),
                "JSON with comments", *deep_line}});
  }
  std::istringstream input(text);
  try {
    cxxtools::JsonDeserializer deserializer(input);
    JsonValue root;
    deserializer.deserialize(root);
    if (!OnlyWhitespaceLeft(input)) {
      return tl::make_unexpected(
          Faults{{"", "text after the end", "one JSON object", 0}});
    }
    if (root.category() != JsonValue::Object) {
      return tl::make_unexpected(
          Faults{{"", Describe(root), "one JSON object", 0}});
    }
    return root;
  } catch (const std::exception& error) {
    const std::string message = error.what();
    return tl::make_unexpected(
        Faults{{"", message, "JSON with comments", LineFromMessage(message)}});
  }
}

tl::expected<std::string, Faults> ReadFile(const std::string& path) {
  std::ifstream input(path, std::ios::binary);
  if (!input) {
    return tl::make_unexpected(Faults{{"", "no readable file", "a file", 0}});
  }
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

std::string ElementPath(const std::string& path, std::size_t index) {
  return path + "[" + std::to_string(index) + "]";
}

ObjectReader::ObjectReader(const JsonValue& object, std::string path,
                           Faults& faults)
    : object(object), path(std::move(path)), faults(faults) {}

std::string ObjectReader::PathOf(const std::string& key) const {
  return this->path.empty() ? key : this->path + "." + key;
}

void ObjectReader::AddFault(const std::string& key, std::string found,
                            std::string expected) {
  this->faults.push_back(
      {this->PathOf(key), std::move(found), std::move(expected), 0});
}

const JsonValue* ObjectReader::Find(const std::string& key, bool required,
                                    std::string_view expected) {
  this->known.insert(key);
  const JsonValue* member = this->object.findMember(key);
  if (member == nullptr && required) {
    this->AddFault(key, "nothing", std::string(expected));
  }
  return member;
}

std::int64_t ObjectReader::Integer(const std::string& key, Range range,
                                   std::optional<std::int64_t> fallback) {
  const std::string expected = "an integer from " + std::to_string(range.min) +
                               " to " + std::to_string(range.max);
  const JsonValue* member = this->Find(key, !fallback.has_value(), expected);
  if (member == nullptr) {
    return fallback.value_or(range.min);
  }
  if (member->typeName() != "int") {
    this->AddFault(key, Describe(*member), expected);
    return range.min;
  }
  std::string digits;
  member->getValue(digits);
  std::int64_t value = 0;
  const std::from_chars_result parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), value);
  const bool is_read = parsed.ec == std::errc();
  if (!is_read || value < range.min || value > range.max) {
    this->AddFault(key, digits, expected);
    return range.min;
  }
  return value;
}

std::string ObjectReader::String(const std::string& key,
                                 const std::optional<std::string>& fallback) {
  const std::string expected = "a non-empty string";
  const JsonValue* member = this->Find(key, !fallback.has_value(), expected);
  if (member == nullptr) {
    return fallback.value_or("");
  }
  std::string value;
  if (member->typeName() == "string") {
    member->getValue(value);
  }
  if (value.empty()) {
    this->AddFault(key, Describe(*member), expected);
  }
  return value;
}

bool ObjectReader::Boolean(const std::string& key,
                           std::optional<bool> fallback) {
  const std::string expected = "true or false";
  const JsonValue* member = this->Find(key, !fallback.has_value(), expected);
  if (member == nullptr) {
    return fallback.value_or(false);
  }
  if (member->typeName() != "bool") {
    this->AddFault(key, Describe(*member), expected);
    return false;
  }
  bool value = false;
  member->getValue(value);
  return value;
}

const JsonValue* ObjectReader::Object(const std::string& key) {
  const std::string expected = "an object";
  const JsonValue* member = this->Find(key, true, expected);
  if (member != nullptr && member->category() != JsonValue::Object) {
    this->AddFault(key, Describe(*member), expected);
    return nullptr;
  }
  return member;
}

std::vector<const JsonValue*> ObjectReader::Array(const std::string& key,
                                                  bool optional) {
  const std::string expected = "an array";
  std::vector<const JsonValue*> elements;
  const JsonValue* member = this->Find(key, !optional, expected);
  if (member == nullptr) {
    return elements;
  }
  if (member->category() != JsonValue::Array) {
    this->AddFault(key, Describe(*member), expected);
    return elements;
  }
  for (auto element = member->begin(); element != member->end(); ++element) {
    elements.push_back(&*element);
  }
  return elements;
}

void ObjectReader::Finish() {
  if (this->object.category() != JsonValue::Object) {
    this->faults.push_back(
        {this->path, Describe(this->object), "an object", 0});
    return;
  }
  std::set<std::string> seen;
  for (auto member = this->object.begin(); member != this->object.end();
       ++member) {
    const std::string& key = member->name();
    if (!seen.insert(key).second) {
      this->AddFault(key, "the key a second time", "each key once");
    }
    if (this->known.count(key) == 0) {
      const std::string closest = ClosestKey(key, this->known);
      this->AddFault(
          key, "an unknown key",
          closest.empty() ? "a known key" : "a known key, such as " + closest);
    }
  }
}

}  // namespace gooseberryturn::config
