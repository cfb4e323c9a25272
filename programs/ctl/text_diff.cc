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

using Table = std::vector<std::vector<std::size_t>>;

/// Length of the longest common subsequence of the tails from each place.
Table CommonTails(const std::vector<std::string>& left,
                  const std::vector<std::string>& right) {
  Table table(left.size() + 1, std::vector<std::size_t>(right.size() + 1, 0));
  for (std::size_t i = left.size(); i-- > 0;) {
    for (std::size_t j = right.size(); j-- > 0;) {
      table[i][j] = left[i] == right[j]
                        ? table[i + 1][j + 1] + 1
                        : std::max(table[i + 1][j], table[i][j + 1]);
    }
  }
  return table;
}

}  // namespace

std::string DiffLines(const std::string& before, const std::string& after) {
  const std::vector<std::string> left = SplitLines(before);
  const std::vector<std::string> right = SplitLines(after);
  const Table table = CommonTails(left, right);
  std::string result;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < left.size() || j < right.size()) {
    if (i < left.size() && j < right.size() && left[i] == right[j]) {
      ++i;
      ++j;
    } else if (j == right.size() ||
               (i < left.size() && table[i + 1][j] >= table[i][j + 1])) {
      result += "-" + left[i] + "\n";
      ++i;
    } else {
      result += "+" + right[j] + "\n";
      ++j;
    }
  }
  return result;
}

}  // namespace gooseberryturn::ctl
