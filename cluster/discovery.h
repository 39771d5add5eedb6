#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/rollout_message.h"
#include "cluster/table_watch.h"
#include "common/configuration.h"
#include "common/ids.h"
#include "common/units.h"
#include "common/vm_list.h"
#include "common/workspace_table.h"

namespace jd {

/// Timing of reads of the operators' table. Operators write rarely, so a call waits for a change;
/// versions written in quick succession are read together. A longer wait would delay the detection
/// of a silent connection beyond the time within which an operator's decision must take effect.
inline constexpr TableWatch::Timing kOperatorTableTiming = {250ms, 800ms, 1200ms, 1600ms};
/// Timing of reads of the endpoints' table. Upstreams renew their rows every second or two, so a
/// call does not wait for a change. The maximum takeover delay is below the two seconds within
/// which every gateway must know that an endpoint is leaving.
/// The hold of recalled rows is longer than the store takes to remove the row of a server that no
/// longer renews it.
inline constexpr TableWatch::Timing kEndpointTableTiming = {1s, Duration(0), 1200ms, 1600ms, 6s};

/// One running instance of an upstream server as listed by service discovery.
struct EndpointRecord {
  Endpoint endpoint;
  ServiceId service;
  bool leaving = false;  ///< The endpoint announced that it is draining.
  /// The run of the server: its start time in milliseconds of wall time; 0 if it is not known.
  Incarnation incarnation = {};
  bool operator==(const EndpointRecord&) const = default;
};

/// The part of the configuration that operators write: routes, services and limits, without
/// endpoints.
struct OperatorConfiguration {
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<Service> services;  ///< Without endpoints.
  CallerLimits limits;
  /// Null if callers are not identified by keys.
  std::shared_ptr<const WorkspaceTable> workspace_table = nullptr;
  Fingerprint content = {};  ///< Hash of all that the operators wrote.
};

/// A change of the data read from the platform. Absent parts are unchanged.
struct DiscoveryUpdate {
  std::optional<OperatorConfiguration> configuration;
  std::optional<std::set<ZoneId>> zones_out;
  std::optional<std::map<ServiceId, RolloutOrder>> rollouts;  ///< All orders.
  StoreEra rollouts_era = {};             ///< Era of the store that the orders were read in.
  std::vector<EndpointRecord> endpoints;  ///< New or changed.
  std::vector<EndpointId> removed;
  std::optional<VmList> gateways;
  /// Whether the full list of endpoints has been read at least once.
  bool endpoints_known = false;
};

}  // namespace jd
