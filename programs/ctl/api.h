#ifndef GOOSEBERRYTURN_PROGRAMS_CTL_API_H_
#define GOOSEBERRYTURN_PROGRAMS_CTL_API_H_

#include <cxxtools/query_params.h>

#include <string>
#include <vector>

#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/core/endpoint.h"

namespace gooseberryturn::ctl {

/// \brief An answer of the operators' API.
struct ApiAnswer {
  int status = 0;
  std::string body;
  config::JsonValue tree;
};

/// \brief Member `name` of an object as text, empty when it is missing.
[[nodiscard]] std::string Text(const config::JsonValue& tree,
                               const std::string& name);
/// \brief Whether member `name` is true.
[[nodiscard]] bool IsTrue(const config::JsonValue& tree,
                          const std::string& name);
/// \brief Elements of the array `name`.
[[nodiscard]] std::vector<const config::JsonValue*> Items(
    const config::JsonValue& tree, const std::string& name);

/// \brief Whether the host that leads gave this answer.
[[nodiscard]] bool IsFromLeader(const ApiAnswer& answer);

/// \brief Asks the control hosts in turn until the leader answers.
///
/// \details Changes carry an id, so that asking again is safe.
[[nodiscard]] ApiAnswer Call(const std::vector<Endpoint>& control,
                             const std::string& method, const std::string& path,
                             const cxxtools::QueryParams& query,
                             const std::string& body);

}  // namespace gooseberryturn::ctl

#endif  // GOOSEBERRYTURN_PROGRAMS_CTL_API_H_
