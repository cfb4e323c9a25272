#include "text_diff.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace gooseberryturn::ctl {

namespace {

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream input(text);
  std::string line;
  while (std::getline(input, line)) {
    lines.push_back(line);
  }
  return lines;
}

using LengthTable = std::vector<std::vector<std::size_t>>;

/// Cell [i][j] is the length of the longest common subsequence of two lists:
/// old_lines from index i to the end, and new_lines from index j to the end.
LengthTable CommonSuffixLengths(const std::vector<std::string>& old_lines,
                                const std::vector<std::string>& new_lines) {
  LengthTable common_lengths(old_lines.size() + 1,
                             std::vector<std::size_t>(new_lines.size() + 1, 0));
  for (std::size_t i = old_lines.size(); i-- > 0;) {
    for (std::size_t j = new_lines.size(); j-- > 0;) {
      common_lengths[i][j] =
          old_lines[i] == new_lines[j]
              ? common_lengths[i + 1][j + 1] + 1
              : std::max(common_lengths[i + 1][j], common_lengths[i][j + 1]);
    }
  }
  return common_lengths;
}

}  // namespace

std::string DiffLines(const std::string& before, const std::string& after) {
  const std::vector<std::string> old_lines = SplitLines(before);
  const std::vector<std::string> new_lines = SplitLines(after);
  const LengthTable common_lengths = CommonSuffixLengths(old_lines, new_lines);
  std::string result;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < old_lines.size() || j < new_lines.size()) {
    if (i < old_lines.size() && j < new_lines.size() &&
        old_lines[i] == new_lines[j]) {
      ++i;
      ++j;
    } else if (j == new_lines.size() ||
               (i < old_lines.size() &&
                common_lengths[i + 1][j] >= common_lengths[i][j + 1])) {
      result += "-" + old_lines[i] + "\n";
      ++i;
    } else {
      result += "+" + new_lines[j] + "\n";
      ++j;
    }
  }
  return result;
}

}  // namespace gooseberryturn::ctl
