#ifndef GOOSEBERRYTURN_PROGRAMS_CTL_STATUS_PAGE_H_
#define GOOSEBERRYTURN_PROGRAMS_CTL_STATUS_PAGE_H_

#include "gooseberryturn/config/reader.h"

namespace gooseberryturn::ctl {

/// \brief Prints an answer of /v1/status as text on standard output.
void PrintStatus(const config::JsonValue& tree);

}  // namespace gooseberryturn::ctl

#endif  // GOOSEBERRYTURN_PROGRAMS_CTL_STATUS_PAGE_H_
