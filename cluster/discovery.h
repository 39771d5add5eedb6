#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/table_watch.h"
#include "common/configuration.h"
#include "common/ids.h"
#include "common/units.h"
#include "common/vm_list.h"

namespace jd {

/// How the operators' table is followed: they write seldom, so a call waits for a change; several
/// versions in a row are taken together. A longer wait would leave a connection that went silent
/// unnoticed for longer than a decision may take to be in force.
inline constexpr TableWatch::Pace kOperatorPace = {250ms, 800ms, 1200ms, 1600ms};
/// How the endpoints' table is followed: upstreams renew their rows every second or two, so a call
/// waits for no change. The greatest patience stays below the two seconds within which a leaving
/// endpoint must be known.
inline constexpr TableWatch::Pace kEndpointPace = {1s, Duration(0), 1200ms, 1600ms};

/// One run of an upstream server as service discovery lists it.
struct EndpointRecord {
  Endpoint endpoint;
  ServiceId service;
  bool leaving = false;  ///< It announced that it drains.
  bool operator==(const EndpointRecord&) const = default;
};

/// What operators decide about traffic, without the endpoints.
struct OperatorConfiguration {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;  ///< Without endpoints.
  CallerLimits limits;
};

/// A change of what the platform tells; absent parts are as before.
struct DiscoveryUpdate {
  std::optional<OperatorConfiguration> configuration;
  std::optional<std::set<ZoneId>> zones_out;
  std::vector<EndpointRecord> endpoints;  ///< New or changed.
  std::vector<EndpointId> removed;
  std::optional<VmList> gateways;
  /// The whole list of endpoints has been read at least once.
  bool endpoints_known = false;
};

}  // namespace jd
