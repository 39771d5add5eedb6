#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/configuration.h"
#include "common/ids.h"
#include "common/units.h"
#include "common/vm_list.h"

namespace jd {

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
