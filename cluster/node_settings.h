#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/rollout_plan.h"
#include "common/ids.h"
#include "policy/retry_budget.h"

namespace jd {

/// A peer that is known from the settings file.
struct PeerSeed {
  GatewayId id;
  ZoneId zone;
  std::string address;
  uint16_t port = 0;
};

/// The settings of a node, fixed for the lifetime of the process.
struct NodeSettings {
  GatewayId id;
  ZoneId zone;
  Incarnation incarnation;  ///< Distinguishes this run of the process from earlier ones.
  std::string address;
  uint16_t peer_port = 0;
  std::vector<PeerSeed> seeds;
  /// Routing policy: "slots", "fresh_load", "pooled", "round_robin", "least_request" or
  /// "reported_load".
  std::string policy = "slots";
  /// Whether the platform's table holds the configuration log, leases and claims. If not, the
  /// configuration comes from the settings file or from discovery.
  bool has_platform = false;
  Duration heartbeat = 200ms;  ///< Interval between heartbeats to each peer.
  /// Whether only gateways of the local zone are peers.
  bool peers_in_local_zone_only = false;
  /// Whether discovery lists the gateways. Until it has, no permits are issued, because the other
  /// gateways that might issue them are unknown.
  bool gateways_listed_by_discovery = false;
  /// Maximum number of probes that all gateways together send to an endpoint per second, on average
  /// over the endpoints of a service; 0: no limit. Only the policy "fresh_load" applies it.
  double probe_rate = 0;
  /// Limits on retries and hedges that keep all gateways together within the configured share; if
  /// absent, the limits of RetryBudget apply.
  std::optional<RetryBudget::Limits> retry_limits;
  RolloutBounds rollout_bounds;
  /// Whether this gateway is reported as not ready while its local zone is out of service.
  bool unready_when_zone_out = true;
  size_t event_capacity = 4096;  ///< Number of events that the timeline keeps.
  uint64_t seed = 0;             ///< Seed of the random number generators.
};

}  // namespace jd
