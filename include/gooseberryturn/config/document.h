#ifndef GOOSEBERRYTURN_CONFIG_DOCUMENT_H_
#define GOOSEBERRYTURN_CONFIG_DOCUMENT_H_

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/core/name_table.h"

namespace gooseberryturn::config {

/// \brief Kind of the targets of a service.
enum class ServiceKind : std::uint8_t {
  kModel,  ///< Model engines, which stream their answers.
  kPlain,  ///< Ordinary HTTP request-response services.
};

inline constexpr NameTable<ServiceKind, 2> kServiceKindNames = {
    {"model", "plain"}};

/// \brief One HTTP path of a service.
struct Route {
  std::string path;  ///< Starts with `/`; unique among all services.
  bool idempotent = true;
  std::int64_t deadline_ms = 0;

  MSGPACK_DEFINE(path, idempotent, deadline_ms)
};

/// \brief Limits that apply to each replica group of a service.
struct Limits {
  std::int64_t memory_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::int64_t in_flight = 0;
  std::int64_t cold_in_flight = 0;  ///< At most in_flight.
  std::int64_t max_body_bytes = 0;

  MSGPACK_DEFINE(memory_tokens, max_output_tokens, in_flight, cold_in_flight,
                 max_body_bytes)
};

/// \brief A model service or a plain service.
struct Service {
  std::string name;
  ServiceKind kind = ServiceKind::kModel;
  std::int64_t groups = 0;           ///< Desired number of replica groups.
  std::int64_t hosts_per_group = 0;  ///< Hosts in one replica group.
  std::int64_t retry_percent = 0;    ///< Retries per 100 first attempts.
  Limits limits;
  std::vector<Route> routes;

  MSGPACK_DEFINE(name, kind, groups, hosts_per_group, retry_percent, limits,
                 routes)
};

/// \brief A team and its contracted limits.
struct Team {
  std::string name;
  std::int64_t requests_per_second = 0;
  std::int64_t in_flight = 0;

  MSGPACK_DEFINE(name, requests_per_second, in_flight)
};

/// \brief A data centre and the region it belongs to.
struct DataCentre {
  std::string name;
  std::string region;

  MSGPACK_DEFINE(name, region)
};

/// \brief Configuration document of one environment.
struct Document {
  std::string environment;
  std::vector<DataCentre> data_centres;
  std::vector<Service> services;
  std::vector<Team> teams;
};

/// \brief Parses and validates a configuration document.
/// \returns The document, or all faults found in it.
///
/// \code
///   tl::expected<Document, Faults> parsed = ParseDocument(text);
/// \endcode
[[nodiscard]] tl::expected<Document, Faults> ParseDocument(
    const std::string& text);

}  // namespace gooseberryturn::config

MSGPACK_ADD_ENUM(gooseberryturn::config::ServiceKind)

#endif  // GOOSEBERRYTURN_CONFIG_DOCUMENT_H_
