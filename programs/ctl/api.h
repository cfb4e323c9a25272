#ifndef GOOSEBERRYTURN_PROGRAMS_CTL_API_H_
#define GOOSEBERRYTURN_PROGRAMS_CTL_API_H_

#include <cxxtools/query_params.h>

#include <string>
#include <vector>

#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/core/endpoint.h"

namespace gooseberryturn::ctl {

/// \brief An answer of the operator API.
struct ApiAnswer {
  int status = 0;  ///< HTTP status; 0 when no host answered.
  std::string body;
  config::JsonValue tree;  ///< Parsed body; empty when it is not JSON.
};

/// \brief Returns member `name` of an object as text; empty when missing.
[[nodiscard]] std::string GetText(const config::JsonValue& tree,
                                  const std::string& name);
/// \brief Returns whether member `name` is true.
[[nodiscard]] bool IsTrue(const config::JsonValue& tree,
                          const std::string& name);
/// \brief Returns the elements of the array `name`; none when missing.
[[nodiscard]] std::vector<const config::JsonValue*> GetItems(
    const config::JsonValue& tree, const std::string& name);

/// \brief Returns whether the leader gave this answer.
///
/// \details Status 421 comes from a host that knows another leader, 503 from
/// one that knows none or could not commit the change; 0 means that no host
/// answered.
[[nodiscard]] bool IsFromLeader(const ApiAnswer& answer);

/// \brief Sends a request to the control hosts in turn until the leader
/// answers.
///
/// \details `control_hosts` must not be empty. Follows the leader address in
/// the answer of another host. Retrying is safe because every change carries an
/// id.
/// \returns The answer of the leader, or the last answer or error received
/// when no leader answered in time; check it with IsFromLeader.
[[nodiscard]] ApiAnswer CallLeader(const std::vector<Endpoint>& control_hosts,
                                   const std::string& method,
                                   const std::string& path,
                                   const cxxtools::QueryParams& query,
                                   const std::string& body);

}  // namespace gooseberryturn::ctl

#endif  // GOOSEBERRYTURN_PROGRAMS_CTL_API_H_
