#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.h"
#include "policy/retry_budget.h"

namespace jd {

struct PeerSeed {
  GatewayId id;
  ZoneId zone;
  std::string address;
  uint16_t port = 0;
};

/// What a node is told at its start.
struct NodeSettings {
  GatewayId id;
  ZoneId zone;
  Incarnation incarnation;
  std::string address;
  uint16_t peer_port = 0;
  std::vector<PeerSeed> seeds;
  std::string policy =
      "slots";  ///< "slots", "pooled", "round_robin", "least_request", "reported_load".
  bool has_platform = false;   ///< False: the configuration comes from the settings file alone.
  Duration heartbeat = 200ms;  ///< Between heartbeats to each peer.
  /// Peers are the gateways of the own zone alone.
  bool zone_peers = false;
  /// Health pages that all gateways together ask an endpoint for, a second; 0: no bound.
  double probe_rate = 0;
  /// Bound of all gateways together on the calls that are sent again, if there is one.
  std::optional<RetryBudget::Limits> retry_limits;
  /// The gateways of a zone that is out of service are not ready.
  bool leaves_with_zone = true;
  size_t event_capacity = 4096;
  uint64_t seed = 0;
};

}  // namespace jd
