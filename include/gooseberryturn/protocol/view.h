#ifndef GOOSEBERRYTURN_PROTOCOL_VIEW_H_
#define GOOSEBERRYTURN_PROTOCOL_VIEW_H_

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <string>
#include <vector>

#include "gooseberryturn/config/document.h"
#include "gooseberryturn/core/endpoint.h"

namespace gooseberryturn::protocol {

/// \brief A host of a replica group, with the incarnation of its agent.
struct Member {
  std::string host;
  std::uint64_t incarnation = 0;
  Endpoint link;

  [[nodiscard]] bool operator==(const Member& other) const noexcept {
    return this->host == other.host && this->incarnation == other.incarnation &&
           this->link == other.link;
  }
  MSGPACK_DEFINE(host, incarnation, link)
};

/// \brief A replica group; its first member is the leader.
struct Group {
  std::string name;
  std::string service;
  std::string data_centre;
  std::string fabric_domain;
  std::uint64_t fence = 0;  ///< Log index of the assignment.
  std::vector<Member> members;

  MSGPACK_DEFINE(name, service, data_centre, fabric_domain, fence, members)
};

/// \brief Whether a data centre accepts new requests.
struct DataCentreState {
  std::string name;
  std::string region;
  bool out = false;  ///< Taken out of service; gets no new requests.

  MSGPACK_DEFINE(name, region, out)
};

/// \brief Number of target crashes after which a request is quarantined
/// (refused).
inline constexpr std::uint64_t kQuarantineDeaths = 2;

/// \brief A request that targets held when they crashed.
struct Suspect {
  std::string name;          ///< Fingerprint of the request.
  std::uint64_t deaths = 0;  ///< Number of those crashes.

  MSGPACK_DEFINE(name, deaths)
};

/// \brief Part of the replicated state of which entries and agents hold a copy.
struct View {
  std::uint64_t index = 0;  ///< Log index up to which it is up to date.
  std::map<std::string, config::Service> services;
  std::map<std::string, config::Team> teams;
  std::map<std::string, DataCentreState> data_centres;
  std::map<std::string, Group> groups;
  std::map<std::string, Suspect> suspects;
};

/// \brief Changes of a view from log index `from` (exclusive) to `to`.
///
/// \details If `from` is zero, the delta holds the whole view and replaces that
/// of the receiver.
struct ViewDelta {
  std::uint64_t from = 0;
  std::uint64_t to = 0;
  std::vector<config::Service> services;
  std::vector<config::Team> teams;
  std::vector<DataCentreState> data_centres;
  std::vector<Group> groups;
  std::vector<Suspect> suspects;
  std::vector<std::string> removed_services;
  std::vector<std::string> removed_teams;
  std::vector<std::string> removed_data_centres;
  std::vector<std::string> removed_groups;
  std::vector<std::string> removed_suspects;

  MSGPACK_DEFINE(from, to, services, teams, data_centres, groups, suspects,
                 removed_services, removed_teams, removed_data_centres,
                 removed_groups, removed_suspects)
};

/// \brief Applies `delta` to `view`.
/// \returns False, with `view` unchanged, if `delta.to` is less than the view's
/// index, or if `delta.from` is neither that index nor zero.
[[nodiscard]] bool ApplyDelta(const ViewDelta& delta, View& view);

}  // namespace gooseberryturn::protocol

#endif  // GOOSEBERRYTURN_PROTOCOL_VIEW_H_
