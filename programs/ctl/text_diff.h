#ifndef GOOSEBERRYTURN_PROGRAMS_CTL_TEXT_DIFF_H_
#define GOOSEBERRYTURN_PROGRAMS_CTL_TEXT_DIFF_H_

#include <string>

namespace gooseberryturn::ctl {

/// \brief Returns the removed lines prefixed with "-" and the added lines with
/// "+"; unchanged lines are left out.
[[nodiscard]] std::string DiffLines(const std::string& before,
                                    const std::string& after);

}  // namespace gooseberryturn::ctl

#endif  // GOOSEBERRYTURN_PROGRAMS_CTL_TEXT_DIFF_H_
