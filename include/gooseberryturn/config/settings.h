#ifndef GOOSEBERRYTURN_CONFIG_SETTINGS_H_
#define GOOSEBERRYTURN_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "gooseberryturn/config/reader.h"
#include "gooseberryturn/core/endpoint.h"
#include "gooseberryturn/placement/policy.h"
#include "gooseberryturn/routing/policy.h"

namespace gooseberryturn::config {

/// \brief Settings that all programs share.
struct CommonSettings {
  std::string host;         ///< Name of this host, unique among all hosts.
  std::string data_centre;  ///< Data centre of this host.
  std::string log_level;    ///< DEBUG, INFO, WARN or ERROR.
  Endpoint http;            ///< Listen address for metrics, readiness
                            ///< and the operators' API.
};

/// \brief Settings of gooseberryturn-entry.
struct EntrySettings {
  CommonSettings common;
  Endpoint callers;               ///< Listen address for callers.
  std::vector<Endpoint> control;  ///< Link addresses of the control hosts.
  std::int64_t max_connections = 0;
  std::int64_t max_header_bytes = 0;
  std::int64_t header_timeout_ms = 0;
  std::int64_t write_timeout_ms = 0;
  std::int64_t serve_without_control_s = 0;
  routing::Policy routing = routing::Policy::kTwoChoice;
};

/// \brief Settings of gooseberryturn-agent.
struct AgentSettings {
  CommonSettings common;
  Endpoint link;          ///< Listen address for entries and other agents.
  Endpoint target;        ///< The engine or plain service on this host.
  bool is_model = false;  ///< Whether the target is a model engine.
  std::string service;
  std::string fabric_domain;
  std::vector<Endpoint> control;
  std::int64_t serve_without_control_s = 0;
};

/// \brief Id and addresses of one control host.
struct ControlPeer {
  std::uint64_t id = 0;
  Endpoint link;
  Endpoint http;
};

/// \brief Settings of gooseberryturn-control.
struct ControlSettings {
  CommonSettings common;
  std::uint64_t id = 0;  ///< Id in the quorum; must never be reused.
  std::string data_folder;
  std::vector<ControlPeer> peers;  ///< Initial quorum, including this host.
  std::int64_t view_lease_ms = 0;
  std::int64_t max_clock_drift_ms = 0;
  placement::Policy placement = placement::Policy::kBestFit;
};

/// \brief Parse and validate the settings of each program.
/// \returns The settings, or all faults found in them.
[[nodiscard]] tl::expected<EntrySettings, Faults> ParseEntrySettings(
    const std::string& text);
[[nodiscard]] tl::expected<AgentSettings, Faults> ParseAgentSettings(
    const std::string& text);
[[nodiscard]] tl::expected<ControlSettings, Faults> ParseControlSettings(
    const std::string& text);

}  // namespace gooseberryturn::config

#endif  // GOOSEBERRYTURN_CONFIG_SETTINGS_H_
